//! What kept tasks from running while they were wanted: by class, by how the gap began, and by what took the time.
//!
//! An actor is wanted from the reading of its first ask on, for the life that this ask tells. While it is wanted and
//! no copy of it is known to run there is a *gap*. A gap begins with the first ask or with the loss of the last copy,
//! and its time goes to phases: held for want of something, offered without an answer, accepted and starting, or with
//! its owner, who has not asked again. What no placer was told, as a start whose note was lost, is not known here.

mod report;

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use maplethread::{Action, AttemptId, AttemptOutcome, AttemptResult, Event, Micros, TaskReport};

pub use report::LossReport;

use crate::record::{Outcome, Record, TimedRecord, Turn};
use crate::report_names;

/// Actors that are followed at a time; when as many are wanted, new ones are counted as not followed.
const MAX_ACTORS: usize = 1 << 18;
/// Times beyond it count as this long, µs.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// A time without a running copy, on its way.
struct Outage {
    cause: String,
    phase: String,
    phase_started: Micros,
    /// The host that the phase is spent at, if at one.
    host: Option<u32>,
    phase_times: Vec<(String, Option<u32>, Micros)>,
}

struct Actor {
    class: usize,
    requested_at: Micros,
    /// Until when it is wanted; known once the module was given its first ask.
    required_until: Option<Micros>,
    has_started: bool,
    running_copies: u32,
    outage: Option<Outage>,
}

impl Actor {
    /// Ends the phase that a gap is in, and begins the next.
    fn begin_phase(&mut self, now: Micros, phase: impl Into<String>, host: Option<u32>) {
        let until = self.required_until.unwrap_or(now);
        let Some(gap) = &mut self.outage else { return };
        let spent = now.min(until).saturating_sub(gap.phase_started.min(until));
        let ended = std::mem::replace(&mut gap.phase, phase.into());
        if spent > 0 {
            gap.phase_times.push((ended, gap.host, spent));
        }
        (gap.phase_started, gap.host) = (now, host);
    }
}

/// Times of one class.
struct ClassLosses {
    name: String,
    actors: u64,
    never_started: u64,
    required_time: Micros,
    outages: BTreeMap<String, (u64, BTreeMap<String, Micros>)>,
    first_start_times: Histogram<u64>,
}

/// Losses on their way. Records are to come in the order of a merged trace, or of one run of a placer.
pub struct LossCollector {
    classes: Vec<ClassLosses>,
    actors: HashMap<String, Actor>,
    /// Which actor a task is for, and attempts made.
    tasks: HashMap<u64, (String, u32)>,
    /// Hosts of attempts that have not ended, and whether they run.
    attempts: HashMap<(u64, u32), (u32, bool)>,
    host_names: BTreeMap<u32, String>,
    host_phase_times: BTreeMap<u32, BTreeMap<String, Micros>>,
    untracked_actors: u64,
    now: Micros,
}

impl LossCollector {
    /// Losses of these classes.
    pub fn new(classes: &[String]) -> LossCollector {
        let class = |name: &String| ClassLosses {
            name: name.clone(),
            actors: 0,
            never_started: 0,
            required_time: 0,
            outages: BTreeMap::new(),
            first_start_times: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
                .expect("bounds in range"),
        };
        LossCollector {
            classes: classes.iter().map(class).collect(),
            actors: HashMap::new(),
            tasks: HashMap::new(),
            attempts: HashMap::new(),
            host_names: BTreeMap::new(),
            host_phase_times: BTreeMap::new(),
            untracked_actors: 0,
            now: 0,
        }
    }

    /// Takes in a record.
    pub fn feed(&mut self, stamped: &TimedRecord) {
        self.now = self.now.max(stamped.at);
        match &stamped.record {
            Record::Host { machine, name, .. } => {
                drop(self.host_names.insert(*machine, name.clone()))
            }
            Record::RequestReceived {
                task,
                actor,
                class,
                received_at: read,
                ..
            } => {
                self.handle_request(stamped.at, *task, actor, *class as usize, *read);
            }
            Record::Answered { task, outcome, .. } => {
                self.handle_answer(stamped.at, *task, outcome)
            }
            Record::Turn(turn) => self.handle_turn(stamped.at, turn),
            _ => {}
        }
    }

    fn handle_request(&mut self, now: Micros, task: u64, name: &str, class: usize, read: Micros) {
        if class >= self.classes.len() {
            return;
        }
        if let Some(actor) = self.actors.get_mut(name) {
            actor.begin_phase(now, "asked", None);
        } else {
            if self.actors.len() >= MAX_ACTORS {
                self.forget_finished_actors();
            }
            if self.actors.len() >= MAX_ACTORS {
                self.untracked_actors += 1;
                return;
            }
            let gap = Outage {
                cause: "first start".into(),
                phase: "asked".into(),
                phase_started: read,
                host: None,
                phase_times: Vec::new(),
            };
            let actor = Actor {
                class,
                requested_at: read,
                required_until: None,
                has_started: false,
                running_copies: 0,
                outage: Some(gap),
            };
            self.actors.insert(name.to_owned(), actor);
            self.classes[class].actors += 1;
        }
        self.tasks.insert(task, (name.to_owned(), 0));
    }

    /// Lets go of actors that are not wanted any more.
    fn forget_finished_actors(&mut self) {
        let now = self.now;
        let over: Vec<String> = self
            .actors
            .iter()
            .filter(|(_, a)| a.required_until.is_some_and(|until| until < now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in over {
            if let Some(actor) = self.actors.remove(&name) {
                self.finish_actor(actor);
            }
        }
        let actors = &self.actors;
        self.tasks.retain(|_, (name, _)| actors.contains_key(name));
        let tasks = &self.tasks;
        self.attempts
            .retain(|(task, _), _| tasks.contains_key(task));
    }

    /// An actor's last gap ends with its time, or with the trace.
    fn finish_actor(&mut self, mut actor: Actor) {
        let now = self.now;
        actor.begin_phase(now, "", None);
        let class = &mut self.classes[actor.class];
        class.never_started += u64::from(!actor.has_started);
        let until = actor.required_until.unwrap_or(now).min(now);
        class.required_time += until.saturating_sub(actor.requested_at);
        if let Some(gap) = actor.outage {
            self.count_outage(actor.class, gap);
        }
    }

    fn count_outage(&mut self, class: usize, gap: Outage) {
        let (gaps, phases) = self.classes[class].outages.entry(gap.cause).or_default();
        *gaps += 1;
        for (phase, host, spent) in gap.phase_times {
            *phases.entry(phase.clone()).or_default() += spent;
            if let Some(host) = host {
                *self
                    .host_phase_times
                    .entry(host)
                    .or_default()
                    .entry(phase)
                    .or_default() += spent;
            }
        }
    }

    fn actor(&mut self, task: u64) -> Option<&mut Actor> {
        let (name, _) = self.tasks.get(&task)?;
        self.actors.get_mut(name)
    }

    fn handle_answer(&mut self, now: Micros, task: u64, outcome: &Outcome) {
        let phase = match outcome {
            Outcome::Placed { .. } => return,
            Outcome::Rejected { reason, .. } => format!("with its owner, refused for {reason}"),
            Outcome::Failed => "with its owner, failed".to_owned(),
            Outcome::ClientDisconnected => "with its owner, who hung up".to_owned(),
        };
        if let Some(actor) = self.actor(task) {
            actor.begin_phase(now, phase, None);
        }
    }

    fn handle_turn(&mut self, now: Micros, turn: &Turn) {
        for event in &turn.events {
            match event {
                Event::PlacementRequested(task) => {
                    if let Some(actor) = self.actor(task.id.0) {
                        // Without a life it is wanted until it is done.
                        let until = task
                            .expected_duration
                            .map_or(Micros::MAX, |life| actor.requested_at.saturating_add(life));
                        actor.required_until.get_or_insert(until);
                    }
                }
                Event::AttemptAccepted { attempt: id, .. } => {
                    let host = self.attempts.get(&attempt_key(id)).map(|a| a.0);
                    if let Some(actor) = self.actor(id.task.0) {
                        actor.begin_phase(now, "accepted, starting", host);
                    }
                }
                Event::TaskReported {
                    attempt: id,
                    report: TaskReport::Started,
                } => self.handle_started(now, id),
                Event::AttemptFinished {
                    attempt: id,
                    result: end,
                } => self.handle_finished(now, id, *end),
                _ => {}
            }
        }
        for action in &turn.actions {
            match action {
                Action::Offer { task, machine, .. } => {
                    let Some((_, made)) = self.tasks.get_mut(&task.0) else {
                        continue;
                    };
                    let number = *made;
                    *made += 1;
                    self.attempts.insert((task.0, number), (machine.0, false));
                    if let Some(actor) = self.actor(task.0) {
                        actor.begin_phase(now, "offered", Some(machine.0));
                    }
                }
                Action::Blocked { task, reason: lack } => {
                    if let Some(actor) = self.actor(task.0) {
                        actor.begin_phase(
                            now,
                            format!("held for {}", report_names::block_reason(*lack)),
                            None,
                        );
                    }
                }
                _ => {}
            }
        }
    }

    fn handle_started(&mut self, now: Micros, id: &AttemptId) {
        match self.attempts.get_mut(&attempt_key(id)) {
            Some((_, runs)) if !*runs => *runs = true,
            _ => return,
        }
        let Some(actor) = self.actor(id.task.0) else {
            return;
        };
        actor.running_copies += 1;
        actor.begin_phase(now, "", None);
        let (class, first, after) = (
            actor.class,
            !actor.has_started,
            now.saturating_sub(actor.requested_at),
        );
        actor.has_started = true;
        let gap = actor.outage.take();
        if first {
            self.classes[class]
                .first_start_times
                .saturating_record(after.max(1));
        }
        if let Some(gap) = gap {
            self.count_outage(class, gap);
        }
    }

    fn handle_finished(&mut self, now: Micros, id: &AttemptId, end: AttemptResult) {
        let Some((host, ran)) = self.attempts.remove(&attempt_key(id)) else {
            return;
        };
        let why = report_names::attempt_result(&end);
        let Some(actor) = self.actor(id.task.0) else {
            return;
        };
        if ran {
            actor.running_copies = actor.running_copies.saturating_sub(1);
            if end.outcome == AttemptOutcome::Completed {
                actor.required_until = Some(actor.required_until.unwrap_or(now).min(now));
            } else if actor.running_copies == 0 && actor.outage.is_none() {
                let phase = "with its owner, told of the loss".to_owned();
                actor.outage = Some(Outage {
                    cause: why,
                    phase,
                    phase_started: now,
                    host: None,
                    phase_times: Vec::new(),
                });
            }
        } else if let Some(gap) = &mut actor.outage {
            // What was waited for in vain is told apart from what came.
            gap.phase = format!("{}, in vain: {why}", gap.phase);
            gap.host = Some(host);
            actor.begin_phase(now, "between attempts", None);
        }
    }

    /// The end of the trace: all counts.
    pub fn finish(mut self) -> LossReport {
        for (_, actor) in std::mem::take(&mut self.actors) {
            self.finish_actor(actor);
        }
        LossReport(self)
    }
}

fn attempt_key(id: &AttemptId) -> (u64, u32) {
    (id.task.0, id.number)
}
