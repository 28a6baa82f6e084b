//! The state machine of a node agent, without I/O: it takes frames from placers, process exits and timer expiries, and
//! returns a list of [`Action`]s.
//!
//! The caller executes a list in two steps. It first commits all changes of the store in one transaction, then executes
//! the other actions in order. An acceptance is therefore sent only after it is durable, and a program is started only
//! after the intent to start it is durable. If the commit fails, the other actions are not executed, and
//! [`Agent::handle_store_failure`] returns a list that replaces the failed one.
//!
//! A task passes through the states accepted, starting, running and finished. If the agent is killed at any point, its
//! next process handles the task by its stored state:
//!
//! - *accepted*: the task never started, because *starting* is stored before the start; it is started now;
//! - *starting*: the task may have a process, which is searched for by the marker in its environment; if there is none,
//!   the task is reported as ended and possibly started;
//! - *running*: the process with the stored pid and start time is still running, or has exited unobserved;
//! - *finished*: the result is reported when the placer connects again.

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

/// The state machine of the agent of one host.
pub struct Agent {
    name: Arc<str>,
    /// When this agent process started, Unix time in ms.
    started_ms: u64,
    stop_grace_us: u64,
    admission: Admission,
    deduplication_table: DeduplicationTable,
    /// Tasks that have not finished, by attempt.
    held: BTreeMap<u64, HeldTask>,
    /// Finished tasks whose result has not been sent to the placer, by attempt.
    unreported: BTreeMap<u64, StoredTask>,
    /// Attempts whose result is sent by the current list of actions; the next list removes them from the store.
    reported: Vec<u64>,
    is_store_unavailable: bool,
    /// Attempts to remove from the store, whose removal is not known to be committed.
    unconfirmed_removals: Vec<u64>,
    /// The time of the latest event, µs.
    now_us: u64,
}

impl Agent {
    /// Creates an agent without tasks. A task that is being stopped is killed after `stop_grace_us`.
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

    /// The offer of an unfinished attempt.
    pub fn offer(&self, attempt: u64) -> Option<&Offer> {
        self.held.get(&attempt).map(|task| &task.record.offer)
    }

    /// The running attempts, each with its process.
    pub fn running_processes(&self) -> impl Iterator<Item = (u64, ProcessIdentity)> {
        self.held
            .iter()
            .filter_map(|(&attempt, task)| match task.record.state {
                TaskState::Running(identity) => Some((attempt, identity)),
                _ => None,
            })
    }

    /// Handles the expiry of a timer.
    pub fn handle_timer(&mut self, now_us: u64, timer: Timer, out: &mut Vec<Action>) {
        self.advance_clock(now_us);
        match timer {
            Timer::ForceStop(attempt) => self.force_stop(attempt, out),
            Timer::RetryStore => self.retry_store(out),
        }
    }

    /// Rejects all offers from now on, and notifies the connected `placers`.
    pub fn drain(&mut self, placers: impl Iterator<Item = Arc<str>>, out: &mut Vec<Action>) {
        if !self.admission.is_draining() {
            self.admission.drain();
            out.push(Action::StoreDraining);
            out.extend(placers.map(|placer| Action::Send(placer, Frame::Drain)));
        }
    }

    /// Reports the resource usage of a task to its placer.
    pub fn report_usage(&self, attempt: u64, cores: f64, memory_gib: f64, out: &mut Vec<Action>) {
        let Some(task) = self.held.get(&attempt) else {
            return;
        };
        for (kind, value) in [(NoteKind::Cores, cores), (NoteKind::Memory, memory_gib)] {
            let note = Frame::Note(attempt, kind, value);
            out.push(Action::Send(task.record.placer.clone(), note));
        }
    }

    /// Advances the clock; an earlier time than that of a previous event leaves it unchanged.
    fn advance_clock(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
    }
}
