//! What a node agent does, without I/O: frames of placers, ends of processes and timers in, a list of [`Do`] out.
//!
//! The list is carried out in two steps. First everything to be kept is made durable, in one commit; then the rest is
//! done in its order. So an acceptance leaves only after it is durable, and a program is started only after the intent
//! to start it is. If the commit fails nothing of the rest is done, and [`Agent::unkept`] takes the turn back.
//!
//! A task's fate goes accepted, starting, running, ended. After a kill at any instruction:
//!
//! - *accepted* never started, for starting is kept before the start: it is started now;
//! - *starting* may have a process or not: it is looked for by the marker in its environment, and if there is none the
//!   task may have run, and is ended so;
//! - *running* has a process with this pid and start time, or has ended while nobody looked;
//! - *ended* is told to its placer at the next greeting.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{
    Admission, AdmissionDecision, AdmissionPolicy, Deduplication as AskCopies, DeduplicationTable,
    RejectionReason, TaskRequest, TaskStage,
};
use maplethread_wire::frame::{DuplicatePolicy, Frame, NoteKind, Offer, Reason, ResourceAmounts};

/// Ends that no placer has heard of yet; beyond it the oldest attempt is forgotten, and its placer finds it missing.
const MAX_UNREPORTED: usize = 1 << 16;

/// A store that failed is tried again after this, µs.
const STORE_RETRY_DELAY_US: u64 = 1_000_000;

/// A process that can't be mistaken for a later one of the same pid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Its pid, which is its process group's too.
    pub pid: u32,
    /// When it started, in the kernel's ticks since boot.
    pub start_ticks: u64,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Taken, not started.
    Accepted,
    /// About to be started: from here on it may have run.
    Starting,
    /// It runs as this process.
    Running(ProcessIdentity),
    /// It has ended; with whether it ever ran, or may have.
    Finished(Reason, bool),
}

/// What is kept of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredTask {
    /// Whose it is.
    pub placer: Arc<str>,
    /// What was offered.
    pub offer: Offer,
    /// How far it has come.
    pub state: TaskState,
}

/// What is to be done later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A task that was asked to end is ended by force.
    ForceStop(u64),
    /// The store is tried again.
    RetryStore,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Keep this of an attempt.
    StoreTask(u64, StoredTask),
    /// Keep nothing of it any more.
    RemoveTask(u64),
    /// Keep that the host drains.
    StoreDraining,
    /// Send a frame to a placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Start an attempt's program, and tell by [`Agent::spawned`].
    StartProcess(u64),
    /// Ask a process group to end, or make it.
    StopProcess(ProcessIdentity, bool),
    /// Call [`Agent::due`] after so many µs.
    SetTimer(u64, Timer),
}

struct HeldTask {
    record: StoredTask,
    /// When its offer was read, µs; 0 for one of an earlier life.
    received_at_us: u64,
    /// It was asked to end, and this is what its end will be told as.
    stop_reason: Option<Reason>,
}

/// What a recovered task's process was found to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryOutcome {
    /// It runs.
    Running(ProcessIdentity),
    /// There is none.
    NotFound,
}

/// The agent of one host.
pub struct Agent {
    name: Arc<str>,
    started_ms: u64,
    stop_grace_us: u64,
    admission: Admission,
    deduplication_table: DeduplicationTable,
    held: BTreeMap<u64, HeldTask>,
    /// Ends that their placers have not heard of.
    unreported: BTreeMap<u64, StoredTask>,
    /// Ends that were told just now.
    reported: Vec<u64>,
    /// The store takes nothing.
    is_store_unavailable: bool,
    /// Attempts that may still be in the store and have no place there.
    unconfirmed_removals: Vec<u64>,
    now_us: u64,
}

impl Agent {
    /// An agent that holds nothing; `stop_grace` µs after it was asked to, a task is made to end.
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

    /// Takes up what an earlier life kept; `found` tells of the process of each that may have one.
    pub fn recover(
        &mut self,
        now: u64,
        drains: bool,
        kept: Vec<(u64, StoredTask)>,
        found: impl Fn(u64, &StoredTask) -> RecoveryOutcome,
        out: &mut Vec<Action>,
    ) {
        self.now_us = now;
        for (attempt, mut kept) in kept {
            let stage = match kept.state {
                TaskState::Finished(..) => {
                    self.unreported.insert(attempt, kept);
                    continue;
                }
                TaskState::Accepted => TaskStage::Waiting,
                TaskState::Starting | TaskState::Running(_) => match found(attempt, &kept) {
                    RecoveryOutcome::Running(identity) => {
                        kept.state = TaskState::Running(identity);
                        out.push(Action::StoreTask(attempt, kept.clone()));
                        TaskStage::Running
                    }
                    RecoveryOutcome::NotFound => {
                        // How it ended, nobody saw; a start that was cut off may have run.
                        let reason = match kept.state {
                            TaskState::Starting => Reason::Error,
                            _ => Reason::Unknown,
                        };
                        kept.state = TaskState::Finished(reason, true);
                        out.push(Action::StoreTask(attempt, kept.clone()));
                        self.unreported.insert(attempt, kept);
                        continue;
                    }
                },
            };
            self.admission.restore(
                task_request(&kept.offer),
                stage,
                &mut self.deduplication_table,
            );
            self.held.insert(
                attempt,
                HeldTask {
                    record: kept,
                    received_at_us: 0,
                    stop_reason: None,
                },
            );
        }
        if drains {
            self.admission.drain();
        }
        self.start_waiting_tasks(out);
    }

    /// What was offered as an attempt.
    pub fn offer(&self, attempt: u64) -> Option<&Offer> {
        self.held.get(&attempt).map(|t| &t.record.offer)
    }

    /// All that is held, with its process if it has one.
    pub fn running_processes(&self) -> impl Iterator<Item = (u64, ProcessIdentity)> {
        self.held
            .iter()
            .filter_map(|(&attempt, t)| match t.record.state {
                TaskState::Running(identity) => Some((attempt, identity)),
                _ => None,
            })
    }

    fn unallocated(&self) -> ResourceAmounts {
        let (cores, memory) = self.admission.requested();
        let policy = self.admission.policy();
        ResourceAmounts {
            cores: policy.cores - cores,
            memory_gib: policy.memory_gib - memory,
        }
    }

    /// A placer has greeted: who this is, the ends that it has not heard of, and all that is held of it. A placer of
    /// minor version 0 takes ends after that only, with [`Agent::tell`], and has taken those tasks for lost by then.
    pub fn handle_greeting(&mut self, placer: &Arc<str>, minor: u16, out: &mut Vec<Action>) {
        let send = |frame| Action::Send(placer.clone(), frame);
        out.push(send(Frame::Hello {
            major: maplethread_wire::frame::MAJOR,
            minor: maplethread_wire::frame::MINOR,
            name: self.name.to_string(),
            started_ms: self.started_ms,
            max_offers: self.admission.policy().max_queue_length as u32,
        }));
        if minor >= 1 {
            self.report_finished(|connected| *connected == **placer, out);
        }
        for task in self.held.values().filter(|t| t.record.placer == *placer) {
            let runs = matches!(task.record.state, TaskState::Running(_));
            out.push(send(Frame::Held(task.record.offer.clone(), runs)));
        }
        out.push(send(Frame::HeldEnd));
        if self.admission.is_draining() {
            out.push(send(Frame::Drain));
        }
    }

    /// A frame of a placer that has greeted.
    pub fn handle_frame(
        &mut self,
        now: u64,
        placer: &Arc<str>,
        frame: Frame,
        out: &mut Vec<Action>,
    ) {
        self.now_us = self.now_us.max(now);
        match frame {
            Frame::Offer(offer) => self.handle_offer(placer, offer, out),
            Frame::Cancel(attempt) | Frame::Stop(attempt)
                if self
                    .held
                    .get(&attempt)
                    .is_some_and(|t| t.record.placer == *placer) =>
            {
                self.stop_task(attempt, Reason::Stopped, out);
            }
            Frame::Probe(nonce) => out.push(Action::Send(
                placer.clone(),
                Frame::Report(nonce, self.unallocated()),
            )),
            Frame::Ping(nonce) => out.push(Action::Send(placer.clone(), Frame::Pong(nonce))),
            _ => {}
        }
    }

    fn handle_offer(&mut self, placer: &Arc<str>, offer: Offer, out: &mut Vec<Action>) {
        let attempt = offer.attempt_id;
        if self.held.contains_key(&attempt) || self.unreported.contains_key(&attempt) {
            // Attempt numbers are used once; a second one is a placer's error and starts nothing.
            tracing::warn!(%placer, attempt, "an attempt was offered twice");
            return;
        }
        let refuse = |reason, load| {
            Action::Send(placer.clone(), Frame::Refused(attempt, reason, Some(load)))
        };
        if self.is_store_unavailable {
            out.push(refuse(Reason::Ineligible, self.unallocated()));
            return;
        }
        if let Err(refusal) = self.admission.enqueue(task_request(&offer)) {
            out.push(refuse(rejection_reason(refusal), self.unallocated()));
            return;
        }
        let task = HeldTask {
            record: StoredTask {
                placer: placer.clone(),
                offer,
                state: TaskState::Accepted,
            },
            received_at_us: self.now_us,
            stop_reason: None,
        };
        self.held.insert(attempt, task);
        while let Some((ask, verdict)) = self.admission.decide_next(&mut self.deduplication_table) {
            self.apply_decision(ask.attempt_id, verdict, out);
        }
        self.start_waiting_tasks(out);
    }

    fn apply_decision(&mut self, attempt: u64, verdict: AdmissionDecision, out: &mut Vec<Action>) {
        match verdict {
            AdmissionDecision::Rejected(refusal) => {
                if let Some(task) = self.held.remove(&attempt) {
                    let refused = Frame::Refused(
                        attempt,
                        rejection_reason(refusal),
                        Some(self.unallocated()),
                    );
                    out.push(Action::Send(task.record.placer, refused));
                }
            }
            AdmissionDecision::Admitted {
                preempted: push_out,
            } => {
                // Their room is another's already.
                push_out
                    .into_iter()
                    .for_each(|gone| self.stop_task(gone, Reason::Preempted, out));
                let Some(task) = self.held.get(&attempt) else {
                    return;
                };
                out.push(Action::StoreTask(attempt, task.record.clone()));
                let took = self.time_since_offer_ms(task);
                out.push(Action::Send(
                    task.record.placer.clone(),
                    Frame::Accepted(attempt, took),
                ));
            }
        }
    }

    fn time_since_offer_ms(&self, task: &HeldTask) -> u32 {
        if task.received_at_us == 0 {
            0
        } else {
            (self.now_us.saturating_sub(task.received_at_us) / 1000) as u32
        }
    }

    fn start_waiting_tasks(&mut self, out: &mut Vec<Action>) {
        while let Some((attempt, _)) = self.admission.next_start() {
            let Some(task) = self.held.get_mut(&attempt) else {
                continue;
            };
            task.record.state = TaskState::Starting;
            out.push(Action::StoreTask(attempt, task.record.clone()));
            out.push(Action::StartProcess(attempt));
        }
    }

    /// A program was started, or could not be.
    pub fn handle_start_result(
        &mut self,
        now: u64,
        attempt: u64,
        process: Result<ProcessIdentity, Reason>,
        out: &mut Vec<Action>,
    ) {
        self.now_us = self.now_us.max(now);
        match process {
            Ok(identity) => {
                self.admission.mark_running(attempt);
                let Some(task) = self.held.get_mut(&attempt) else {
                    return;
                };
                task.record.state = TaskState::Running(identity);
                out.push(Action::StoreTask(attempt, task.record.clone()));
                let task = &self.held[&attempt];
                out.push(Action::Send(
                    task.record.placer.clone(),
                    Frame::Started(attempt, self.time_since_offer_ms(task)),
                ));
                if let Some(reason) = task.stop_reason {
                    self.stop_task(attempt, reason, out);
                }
            }
            Err(reason) => self.finish_task(attempt, reason, false, out),
        }
        self.start_waiting_tasks(out);
    }

    /// A process has ended; `well` tells whether it said that all went well, if that is known.
    pub fn handle_process_exit(
        &mut self,
        now: u64,
        attempt: u64,
        well: Option<bool>,
        out: &mut Vec<Action>,
    ) {
        self.now_us = self.now_us.max(now);
        let stopping = self.held.get(&attempt).and_then(|t| t.stop_reason);
        let reason = stopping.unwrap_or(match well {
            Some(true) => Reason::Completed,
            Some(false) => Reason::Error,
            None => Reason::Unknown,
        });
        self.finish_task(attempt, reason, true, out);
        self.start_waiting_tasks(out);
    }

    fn finish_task(&mut self, attempt: u64, reason: Reason, ran: bool, out: &mut Vec<Action>) {
        self.admission
            .remove(attempt, &mut self.deduplication_table);
        let Some(mut task) = self.held.remove(&attempt) else {
            return;
        };
        task.record.state = TaskState::Finished(reason, ran);
        out.push(Action::StoreTask(attempt, task.record.clone()));
        self.unreported.insert(attempt, task.record);
        while self.unreported.len() > MAX_UNREPORTED
            && let Some((oldest, _)) = self.unreported.pop_first()
        {
            out.push(Action::RemoveTask(oldest));
        }
    }

    /// Tells ends to the placers that are connected, and forgets in the next turn those told in this one: an end is in
    /// the store until it has left.
    pub fn report_finished(&mut self, connected: impl Fn(&str) -> bool, out: &mut Vec<Action>) {
        out.extend(self.reported.drain(..).map(Action::RemoveTask));
        let heard: Vec<u64> = self
            .unreported
            .iter()
            .filter(|(_, k)| connected(&k.placer))
            .map(|(&attempt, _)| attempt)
            .collect();
        for attempt in heard {
            let Some(kept) = self.unreported.remove(&attempt) else {
                continue;
            };
            if let TaskState::Finished(reason, ran) = kept.state {
                let ended = Frame::Ended(attempt, reason, ran, Some(self.unallocated()));
                out.push(Action::Send(kept.placer, ended));
            }
            self.reported.push(attempt);
        }
    }

    /// A task is to end, and to be told so.
    fn stop_task(&mut self, attempt: u64, reason: Reason, out: &mut Vec<Action>) {
        let Some(task) = self.held.get_mut(&attempt) else {
            return;
        };
        match task.record.state {
            // Its process is being made: it is asked to end as soon as there is one.
            TaskState::Starting => task.stop_reason = Some(reason),
            TaskState::Running(identity) => {
                task.stop_reason = Some(reason);
                out.push(Action::StopProcess(identity, false));
                out.push(Action::SetTimer(
                    self.stop_grace_us,
                    Timer::ForceStop(attempt),
                ));
            }
            TaskState::Accepted | TaskState::Finished(..) => {
                self.finish_task(attempt, reason, false, out);
                self.start_waiting_tasks(out);
            }
        }
    }

    /// Something falls due.
    pub fn handle_timer(&mut self, now: u64, later: Timer, out: &mut Vec<Action>) {
        self.now_us = self.now_us.max(now);
        match later {
            Timer::ForceStop(attempt) => {
                if let Some(HeldTask {
                    record:
                        StoredTask {
                            state: TaskState::Running(identity),
                            ..
                        },
                    stop_reason: Some(_),
                    ..
                }) = self.held.get(&attempt)
                {
                    out.push(Action::StopProcess(*identity, true));
                }
            }
            Timer::RetryStore => {
                self.is_store_unavailable = false;
                out.extend(self.unconfirmed_removals.drain(..).map(Action::RemoveTask));
                self.start_waiting_tasks(out);
            }
        }
    }

    /// Takes nothing new from now on.
    pub fn drain(&mut self, placers: impl Iterator<Item = Arc<str>>, out: &mut Vec<Action>) {
        if !self.admission.is_draining() {
            self.admission.drain();
            out.push(Action::StoreDraining);
            out.extend(placers.map(|placer| Action::Send(placer, Frame::Drain)));
        }
    }

    /// What was to be kept in a turn could not be, and nothing of the turn was told or begun. Whether an acceptance is in
    /// the store all the same is not known, and a later life might start it: so it is answered that it may have run, and
    /// forgotten once the store takes it. Starts wait. All else is told as it is: a later life that reads the older
    /// fate finds the process, or finds it gone. Nothing new is taken until the store is tried again.
    pub fn handle_store_failure(&mut self, turn: &[Action], out: &mut Vec<Action>) {
        for what in turn {
            match what {
                Action::StoreTask(..) | Action::StoreDraining => {}
                Action::RemoveTask(attempt) => self.unconfirmed_removals.push(*attempt),
                Action::Send(placer, Frame::Accepted(attempt, _)) => {
                    self.admission
                        .remove(*attempt, &mut self.deduplication_table);
                    self.held.remove(attempt);
                    self.unconfirmed_removals.push(*attempt);
                    let ended =
                        Frame::Ended(*attempt, Reason::Error, true, Some(self.unallocated()));
                    out.push(Action::Send(placer.clone(), ended));
                }
                Action::StartProcess(attempt) => {
                    if let Some(task) = self.held.get_mut(attempt) {
                        task.record.state = TaskState::Accepted;
                        self.admission.requeue_start(*attempt);
                    }
                }
                other => out.push(other.clone()),
            }
        }
        if !std::mem::replace(&mut self.is_store_unavailable, true) {
            out.push(Action::SetTimer(STORE_RETRY_DELAY_US, Timer::RetryStore));
        }
    }

    /// Notes of what a task's processes use.
    pub fn report_usage(&self, attempt: u64, cores: f64, memory_gib: f64, out: &mut Vec<Action>) {
        let Some(task) = self.held.get(&attempt) else {
            return;
        };
        let note =
            |kind, x| Action::Send(task.record.placer.clone(), Frame::Note(attempt, kind, x));
        out.push(note(NoteKind::Cores, cores));
        out.push(note(NoteKind::Memory, memory_gib));
    }
}

fn task_request(offer: &Offer) -> TaskRequest {
    let copies = match offer.duplicate_policy {
        DuplicatePolicy::IdempotencyKey(key) => AskCopies::OnePerKey { group: 0, key },
        DuplicatePolicy::Idempotent | DuplicatePolicy::NonIdempotent => AskCopies::Disabled,
    };
    TaskRequest {
        attempt_id: offer.attempt_id,
        program_id: offer.service.bytes().fold(7, |h: u64, b| {
            h.wrapping_mul(131).wrapping_add(u64::from(b))
        }),
        cores: offer.requested.cores,
        memory_gib: offer.requested.memory_gib,
        priority: offer.priority,
        deduplication: copies,
    }
}

fn rejection_reason(refusal: RejectionReason) -> Reason {
    match refusal {
        RejectionReason::InsufficientCores => Reason::Cores,
        RejectionReason::InsufficientMemory => Reason::Memory,
        RejectionReason::QueueFull => Reason::QueueFull,
        RejectionReason::Draining | RejectionReason::DuplicateKey => Reason::Ineligible,
    }
}
