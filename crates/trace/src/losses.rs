//! Reports the time during which required actors were not running: by class, by the cause of the outage, and by phase.
//!
//! An actor is required from the receipt of its first request on, for the duration that this request states. While it
//! is required and no copy of it is reported as running, there is an *outage* (`gap` in the reports). An outage
//! begins with the first request or with the loss of the last copy, and its time is attributed to phases: blocked,
//! offered without an answer, accepted and starting, or with its owner, which has not sent another request. Events
//! that no placer received are not in the trace and so not counted, such as a start whose report was lost.

mod report;

use std::collections::{BTreeMap, HashMap};

use hdrhistogram::Histogram;
use maplethread::{Action, AttemptId, AttemptOutcome, AttemptResult, Event, Micros, TaskReport};

pub use report::LossReport;

use crate::record::{Outcome, Record, TimedRecord, Turn};
use crate::report_names;

/// The maximum number of actors that are tracked; if that many are required, further ones are counted as not followed.
const MAX_ACTORS: usize = 1 << 18;
/// Longer times to the first start are recorded as this long.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// A time without a running copy that has not ended.
struct Outage {
    cause: String,
    phase: String,
    phase_started: Micros,
    /// The host that the phase is attributed to, if there is one.
    host: Option<u32>,
    /// The ended phases, with the host and the duration of each.
    phase_times: Vec<(String, Option<u32>, Micros)>,
}

struct Actor {
    class: usize,
    requested_at: Micros,
    /// The end of the time during which it is required; known once the policy has received its first request.
    required_until: Option<Micros>,
    has_started: bool,
    running_copies: u32,
    outage: Option<Outage>,
}

impl Actor {
    /// Ends the current phase of the outage, if there is one, and begins the next.
    fn begin_phase(&mut self, now: Micros, phase: impl Into<String>, host: Option<u32>) {
        let required_until = self.required_until.unwrap_or(now);
        let Some(outage) = &mut self.outage else {
            return;
        };
        let duration = now
            .min(required_until)
            .saturating_sub(outage.phase_started.min(required_until));
        let ended_phase = std::mem::replace(&mut outage.phase, phase.into());
        if duration > 0 {
            outage
                .phase_times
                .push((ended_phase, outage.host, duration));
        }
        (outage.phase_started, outage.host) = (now, host);
    }
}

/// The losses of one class.
struct ClassLosses {
    name: String,
    actors: u64,
    never_started: u64,
    required_time: Micros,
    /// By cause, the number of outages and their time by phase.
    outages: BTreeMap<String, (u64, BTreeMap<String, Micros>)>,
    first_start_times: Histogram<u64>,
}

/// Collects losses. Records have to be fed in the order of a merged trace or of one run of a placer.
pub struct LossCollector {
    classes: Vec<ClassLosses>,
    actors: HashMap<String, Actor>,
    /// By task, its actor and the number of attempts made.
    tasks: HashMap<u64, (String, u32)>,
    /// By task and number of an attempt that has not finished, its host and whether it is running.
    attempts: HashMap<(u64, u32), (u32, bool)>,
    host_names: BTreeMap<u32, String>,
    /// By host, the time of outages by phase.
    host_phase_times: BTreeMap<u32, BTreeMap<String, Micros>>,
    untracked_actors: u64,
    /// The latest time of a record.
    now: Micros,
}

impl LossCollector {
    /// Starts collecting the losses of these classes, in the order of the header.
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

    /// Processes a record.
    pub fn feed(&mut self, timed_record: &TimedRecord) {
        self.now = self.now.max(timed_record.at);
        match &timed_record.record {
            Record::Host { machine, name, .. } => {
                drop(self.host_names.insert(*machine, name.clone()))
            }
            Record::RequestReceived {
                task,
                actor,
                class,
                received_at,
                ..
            } => {
                self.handle_request(timed_record.at, *task, actor, *class as usize, *received_at);
            }
            Record::Answered { task, outcome, .. } => {
                self.handle_answer(timed_record.at, *task, outcome)
            }
            Record::Turn(turn) => self.handle_turn(timed_record.at, turn),
            _ => {}
        }
    }

    fn handle_request(
        &mut self,
        now: Micros,
        task: u64,
        name: &str,
        class: usize,
        received_at: Micros,
    ) {
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
            let outage = Outage {
                cause: "first start".into(),
                phase: "asked".into(),
                phase_started: received_at,
                host: None,
                phase_times: Vec::new(),
            };
            let actor = Actor {
                class,
                requested_at: received_at,
                required_until: None,
                has_started: false,
                running_copies: 0,
                outage: Some(outage),
            };
            self.actors.insert(name.to_owned(), actor);
            self.classes[class].actors += 1;
        }
        self.tasks.insert(task, (name.to_owned(), 0));
    }

    /// Counts and removes the actors that are no longer required.
    fn forget_finished_actors(&mut self) {
        let now = self.now;
        let finished: Vec<String> = self
            .actors
            .iter()
            .filter(|(_, a)| {
                a.required_until
                    .is_some_and(|required_until| required_until < now)
            })
            .map(|(name, _)| name.clone())
            .collect();
        for name in finished {
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

    /// Counts an actor; its last outage ends with the time for which it is required, or with the trace.
    fn finish_actor(&mut self, mut actor: Actor) {
        let now = self.now;
        actor.begin_phase(now, "", None);
        let class = &mut self.classes[actor.class];
        class.never_started += u64::from(!actor.has_started);
        let required_until = actor.required_until.unwrap_or(now).min(now);
        class.required_time += required_until.saturating_sub(actor.requested_at);
        if let Some(outage) = actor.outage {
            self.count_outage(actor.class, outage);
        }
    }

    fn count_outage(&mut self, class: usize, outage: Outage) {
        let (outage_count, phases) = self.classes[class].outages.entry(outage.cause).or_default();
        *outage_count += 1;
        for (phase, host, duration) in outage.phase_times {
            *phases.entry(phase.clone()).or_default() += duration;
            if let Some(host) = host {
                *self
                    .host_phase_times
                    .entry(host)
                    .or_default()
                    .entry(phase)
                    .or_default() += duration;
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
                        // Without an expected duration it is required until it completes.
                        let required_until = task
                            .expected_duration
                            .map_or(Micros::MAX, |life| actor.requested_at.saturating_add(life));
                        actor.required_until.get_or_insert(required_until);
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
                    result,
                } => self.handle_finished(now, id, *result),
                _ => {}
            }
        }
        for action in &turn.actions {
            match action {
                Action::Offer { task, machine, .. } => {
                    let Some((_, attempts_made)) = self.tasks.get_mut(&task.0) else {
                        continue;
                    };
                    let attempt_number = *attempts_made;
                    *attempts_made += 1;
                    self.attempts
                        .insert((task.0, attempt_number), (machine.0, false));
                    if let Some(actor) = self.actor(task.0) {
                        actor.begin_phase(now, "offered", Some(machine.0));
                    }
                }
                Action::Blocked { task, reason } => {
                    if let Some(actor) = self.actor(task.0) {
                        actor.begin_phase(
                            now,
                            format!("held for {}", report_names::block_reason(*reason)),
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
            Some((_, is_running)) if !*is_running => *is_running = true,
            _ => return,
        }
        let Some(actor) = self.actor(id.task.0) else {
            return;
        };
        actor.running_copies += 1;
        actor.begin_phase(now, "", None);
        let (class, is_first_start, elapsed) = (
            actor.class,
            !actor.has_started,
            now.saturating_sub(actor.requested_at),
        );
        actor.has_started = true;
        let outage = actor.outage.take();
        if is_first_start {
            self.classes[class]
                .first_start_times
                .saturating_record(elapsed.max(1));
        }
        if let Some(outage) = outage {
            self.count_outage(class, outage);
        }
    }

    fn handle_finished(&mut self, now: Micros, id: &AttemptId, result: AttemptResult) {
        let Some((host, was_running)) = self.attempts.remove(&attempt_key(id)) else {
            return;
        };
        let result_name = report_names::attempt_result(&result);
        let Some(actor) = self.actor(id.task.0) else {
            return;
        };
        if was_running {
            actor.running_copies = actor.running_copies.saturating_sub(1);
            if result.outcome == AttemptOutcome::Completed {
                actor.required_until = Some(actor.required_until.unwrap_or(now).min(now));
            } else if actor.running_copies == 0 && actor.outage.is_none() {
                let phase = "with its owner, told of the loss".to_owned();
                actor.outage = Some(Outage {
                    cause: result_name,
                    phase,
                    phase_started: now,
                    host: None,
                    phase_times: Vec::new(),
                });
            }
        } else if let Some(outage) = &mut actor.outage {
            // Time spent on an attempt that failed is reported apart from that of a successful one.
            outage.phase = format!("{}, in vain: {result_name}", outage.phase);
            outage.host = Some(host);
            actor.begin_phase(now, "between attempts", None);
        }
    }

    /// Ends the collection with the end of the trace.
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
