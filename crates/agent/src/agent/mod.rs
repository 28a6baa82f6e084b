//! The decisions of a node agent, without I/O: frames of placers, ends of processes and timers go in, a list of
//! [`Action`]s comes out.
//!
//! A list is carried out in two steps. First all that is to be stored is made durable, in one commit; then the rest is
//! done in its order. So an acceptance leaves only after it is durable, and a program is started only after the intent
//! to start it is. If the commit fails, nothing of the rest is done, and [`Agent::handle_store_failure`] replaces the
//! list.
//!
//! A task passes through the states accepted, starting, running, finished. After a kill of the agent at any point:
//!
//! - *accepted*: the task never started, as *starting* is stored before the start; it is started now;
//! - *starting*: the task may have a process, which is looked for by the marker in its environment; if there is none,
//!   the task may have run, and is reported so;
//! - *running*: its process runs with this pid and start time, or has ended unobserved;
//! - *finished*: the end is reported to its placer at the next greeting.

mod action;
mod offers;
mod recovery;
mod store_failure;
mod task;
mod task_control;

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{Admission, AdmissionPolicy, DeduplicationTable};
use maplethread_wire::frame::{Frame, NoteKind, Offer};

pub use action::{Action, StopMode, Timer};
use task::HeldTask;
pub use task::{ProcessIdentity, RecoveryOutcome, StoredTask, TaskState};

/// The agent of one host.
pub struct Agent {
    name: Arc<str>,
    /// When this process of the agent started, Unix time in ms.
    started_ms: u64,
    stop_grace_us: u64,
    admission: Admission,
    deduplication_table: DeduplicationTable,
    /// Tasks that have not ended, by attempt.
    held: BTreeMap<u64, HeldTask>,
    /// Tasks that have ended and whose placers have not been sent the end, by attempt.
    unreported: BTreeMap<u64, StoredTask>,
    /// Attempts whose ends were sent in this turn; the next turn removes them from the store.
    reported: Vec<u64>,
    is_store_unavailable: bool,
    /// Attempts that may still be in the store and are to be removed from it.
    unconfirmed_removals: Vec<u64>,
    /// The time of the latest event, µs.
    now_us: u64,
}

impl Agent {
    /// An agent that holds nothing. A task that was asked to stop is killed after `stop_grace_us`.
    pub fn new(name: &str, started_ms: u64, policy: AdmissionPolicy, stop_grace_us: u64) -> Agent {
        Agent {
            name: name.into(),
            started_ms,
            stop_grace_us,
            admission: Admission::new(policy),
            deduplication_table: DeduplicationTable::default(),
            held: BTreeMap::new(),
            unreported: BTreeMap::new(),
            reported: Vec::new(),
            is_store_unavailable: false,
            unconfirmed_removals: Vec::new(),
            now_us: 0,
        }
    }

    /// The offer of an attempt that is held.
    pub fn offer(&self, attempt: u64) -> Option<&Offer> {
        self.held.get(&attempt).map(|task| &task.record.offer)
    }

    /// The attempts that have a process, with it.
    pub fn running_processes(&self) -> impl Iterator<Item = (u64, ProcessIdentity)> {
        self.held
            .iter()
            .filter_map(|(&attempt, task)| match task.record.state {
                TaskState::Running(identity) => Some((attempt, identity)),
                _ => None,
            })
    }

    /// A timer has expired.
    pub fn handle_timer(&mut self, now_us: u64, timer: Timer, out: &mut Vec<Action>) {
        self.advance_clock(now_us);
        match timer {
            Timer::ForceStop(attempt) => self.force_stop(attempt, out),
            Timer::RetryStore => self.retry_store(out),
        }
    }

    /// Rejects all offers from now on, and tells the connected `placers`.
    pub fn drain(&mut self, placers: impl Iterator<Item = Arc<str>>, out: &mut Vec<Action>) {
        if !self.admission.is_draining() {
            self.admission.drain();
            out.push(Action::StoreDraining);
            out.extend(placers.map(|placer| Action::Send(placer, Frame::Drain)));
        }
    }

    /// Reports what the processes of a task use to its placer.
    pub fn report_usage(&self, attempt: u64, cores: f64, memory_gib: f64, out: &mut Vec<Action>) {
        let Some(task) = self.held.get(&attempt) else {
            return;
        };
        for (kind, value) in [(NoteKind::Cores, cores), (NoteKind::Memory, memory_gib)] {
            let note = Frame::Note(attempt, kind, value);
            out.push(Action::Send(task.record.placer.clone(), note));
        }
    }

    /// Time never runs backwards, whatever the order in which events are handed in.
    fn advance_clock(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
    }
}
