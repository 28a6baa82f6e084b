//! One stand-in host, without I/O: admission by the shared module, and simulated work. Cores, memory and service
//! are simulated figures, as the users' pages describe them; frames and their times are real.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{
    Admission, AdmissionDecision, AdmissionPolicy, DeduplicationTable, TaskRequest, TaskStage,
};
use maplethread_wire::frame::{Frame, NoteKind, Offer, Reason};

use crate::scenario::Scenario;
use crate::world::{RunContext, SeededRng};

/// What goes wrong with a host just now.
#[derive(Clone, Debug, Default)]
pub struct HostFaults {
    /// It reads and never answers.
    pub is_silent: bool,
    /// Share of the starts that fail at once.
    pub error_share: f64,
    /// Share of one class's asks that fail (true) or stay unanswered (false).
    pub class_fault: Option<(String, f64, bool)>,
    /// Share of the answers that are lost.
    pub lost_answer_share: f64,
    /// Share of the cores that another program takes.
    pub neighbour_core_share: f64,
    /// Looking at an ask takes so many times as long; 0 for as long as ever.
    pub admission_slowdown: f64,
    /// Share of one class's new tasks that use three times the cores and twice the memory that they would.
    pub heavy_tail: Option<(String, f64)>,
    /// Share of the services all of whose tasks use twice the cores that they asked for.
    pub hot_service_share: f64,
    /// The programs that were kept are gone.
    pub has_lost_programs: bool,
}

/// What a host has to do later.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// Look at the next ask.
    AdmitNext,
    /// A start is done.
    StartFinished(u64),
    /// A task's life is over.
    TaskFinished(u64),
}

/// What a host wants done.
pub enum HostAction {
    /// Send a frame to this placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Call back after so long, µs.
    SetTimer(u64, Timer),
    /// It has fallen over and stays down.
    Crash,
}

struct HostedTask {
    offer: Offer,
    placer: Arc<str>,
    received_at: u64,
    /// What it uses once it runs, and its memory after growing.
    cores: f64,
    memory: f64,
    running_since: Option<u64>,
    reported_at: u64,
}

/// What a task uses while so large a share of the services is hot: all hosts see the same ones so.
fn used_cores(task: &HostedTask, hot: f64) -> f64 {
    let place = task
        .offer
        .service
        .bytes()
        .fold(11, |h: u32, b| h.wrapping_mul(16_777_619) ^ u32::from(b));
    let is_hot = f64::from(place % 1000) < hot * 1000.0;
    if is_hot {
        task.cores.max(2.0 * task.offer.requested.cores)
    } else {
        task.cores
    }
}

/// The kind of a host and where it stands.
#[derive(Clone, Debug)]
pub struct HostSpec {
    pub name: Arc<str>,
    pub zone: String,
    pub cell: String,
    pub cores: f64,
    pub memory: f64,
    pub speed: f64,
}

/// A host's process.
pub struct EmulatedHost {
    pub spec: HostSpec,
    pub started_us: u64,
    faults: HostFaults,
    scenario: Arc<Scenario>,
    world: RunContext,
    admission: Admission,
    tasks: BTreeMap<u64, HostedTask>,
    /// Asks in the line, by attempt.
    queued: BTreeMap<u64, HostedTask>,
    is_admitting: bool,
    rng: SeededRng,
    /// Offers while it is cold.
    recent_offers: Vec<u64>,
    contention_reported_at: BTreeMap<Arc<str>, u64>,
    /// When it last measured all that runs, where it measures together.
    last_measured: u64,
}

/// What runs is measured, and told to its placers, this often, µs.
const MEASURE_INTERVAL_US: u64 = 2_000_000;
/// Over this share of memory all tasks slow down, and placers are told.
const MEMORY_PRESSURE: f64 = 0.92;

impl EmulatedHost {
    pub fn new(
        spec: HostSpec,
        scenario: Arc<Scenario>,
        world: RunContext,
        mut rng: SeededRng,
        cold: bool,
    ) -> EmulatedHost {
        let fleet = &scenario.fleet;
        let policy = AdmissionPolicy {
            cores: spec.cores,
            memory_gib: spec.memory,
            cpu_overcommit: fleet.cpu_overcommit,
            memory_overcommit: fleet.memory_overcommit,
            max_queue_length: fleet.max_queued,
            max_concurrent_starts: fleet.max_concurrent_starts,
            max_warm_programs: fleet.max_kept_programs,
            allows_preemption: fleet.preempts,
        };
        // A host that is up when the day begins started long ago.
        let now = world.clock.now();
        let started_us = if cold { now } else { now - 3_600_000_000 } / 1000 * 1000;
        // Hosts don't measure in step with each other.
        let ago = if fleet.measures_together {
            rng.between([0.0, MEASURE_INTERVAL_US as f64]) as u64
        } else {
            0
        };
        EmulatedHost {
            spec,
            started_us,
            faults: HostFaults::default(),
            admission: Admission::new(policy),
            scenario,
            world,
            tasks: BTreeMap::new(),
            queued: BTreeMap::new(),
            is_admitting: false,
            rng,
            recent_offers: Vec::new(),
            contention_reported_at: BTreeMap::new(),
            last_measured: now - ago,
        }
    }

    /// A new process in its place, cold.
    pub fn restart(&mut self) {
        self.stop();
        let cold = self.rng.seed();
        *self = EmulatedHost::new(
            self.spec.clone(),
            self.scenario.clone(),
            self.world.clone(),
            SeededRng::new(cold, 5),
            true,
        );
    }

    /// All that ran is lost.
    pub fn stop(&mut self) {
        for task in self.tasks.values().filter(|t| t.running_since.is_some()) {
            self.world
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        self.tasks.clear();
        self.queued.clear();
    }

    /// What ails it from now on.
    pub fn set_faults(&mut self, faults: HostFaults) {
        if faults.has_lost_programs && !self.faults.has_lost_programs {
            self.admission.forget_warm_programs();
        }
        self.faults = faults;
    }

    /// Whether it reads and never answers.
    pub fn is_silent(&self) -> bool {
        self.faults.is_silent
    }

    /// Lets go of keys that it let stand.
    pub fn release_keys(&mut self, keys: &mut DeduplicationTable) {
        for attempt in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.admission.remove(attempt, keys);
        }
    }

    pub fn is_draining(&self) -> bool {
        self.admission.is_draining()
    }

    pub fn drain(&mut self) {
        self.admission.drain();
    }

    /// What it holds of a placer.
    pub fn held_frames(&self, placer: &str) -> Vec<Frame> {
        let own = self.tasks.values().filter(|t| *t.placer == *placer);
        own.map(|t| Frame::Held(t.offer.clone(), t.running_since.is_some()))
            .collect()
    }

    /// Its pace, less while it is cold.
    fn speed_factor(&self, now: u64) -> f64 {
        let rules = &self.scenario.rules;
        let age = (now - self.started_us.min(now)) as f64 / 1000.0 / rules.warm_up_ms as f64;
        (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age).min(1.0)
            * (1.0 - self.faults.neighbour_core_share)
            * self.spec.speed
    }

    /// Answers of attempts may be lost on the way; other frames are not.
    fn send_answer(&mut self, placer: &Arc<str>, frame: Frame, out: &mut Vec<HostAction>) {
        if !self.faults.is_silent && !self.rng.random_bool(self.faults.lost_answer_share) {
            out.push(HostAction::Send(placer.clone(), frame));
        }
    }

    /// A frame from a placer that has greeted.
    pub fn handle_frame(
        &mut self,
        now: u64,
        placer: &Arc<str>,
        frame: Frame,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        match frame {
            Frame::Offer(offer) => self.handle_offer(now, placer, offer, out),
            Frame::Cancel(attempt) | Frame::Stop(attempt) => {
                let mine = |t: &HostedTask| *t.placer == **placer;
                if self.tasks.get(&attempt).is_some_and(mine)
                    || self.queued.get(&attempt).is_some_and(mine)
                {
                    let ran = self.remove_task(attempt, keys);
                    let ended = self.admission.end_frame(attempt, Reason::Stopped, ran);
                    self.send_answer(placer, ended, out);
                    self.start_next(now, out);
                }
            }
            Frame::Probe(nonce) if !self.faults.is_silent => {
                let report = Frame::Report(nonce, self.admission.unallocated());
                out.push(HostAction::Send(placer.clone(), report));
            }
            Frame::Ping(nonce) if !self.faults.is_silent => {
                out.push(HostAction::Send(placer.clone(), Frame::Pong(nonce)))
            }
            _ => {}
        }
    }

    fn handle_offer(
        &mut self,
        now: u64,
        placer: &Arc<str>,
        offer: Offer,
        out: &mut Vec<HostAction>,
    ) {
        if self.is_overloaded(now) {
            out.push(HostAction::Crash);
            return;
        }
        if self.faults.is_silent {
            return;
        }
        let attempt = offer.attempt_id;
        if self.rng.random_bool(self.faults.error_share) {
            let ran = self.rng.random_bool(0.5);
            self.send_answer(placer, Frame::Ended(attempt, Reason::Error, ran, None), out);
            return;
        }
        if let Some((class, share, errors)) = self.faults.class_fault.clone()
            && class == offer.class
            && self.rng.random_bool(share)
        {
            if errors {
                self.send_answer(
                    placer,
                    Frame::Ended(attempt, Reason::Error, false, None),
                    out,
                );
            }
            return;
        }
        let group = self.group(&offer.class);
        let request = TaskRequest::from_offer(&offer, group);
        match self.admission.enqueue(request) {
            Err(refusal) => {
                let refused = self.admission.rejection_frame(attempt, refusal);
                self.send_answer(placer, refused, out);
            }
            Ok(()) => {
                let uses = self
                    .scenario
                    .classes
                    .iter()
                    .find(|c| c.rules.name == offer.class)
                    .map_or([1.0; 2], |c| c.used_share);
                let swing = self.rng.between([0.6, 1.4]);
                let heavy = match self.faults.heavy_tail.clone() {
                    Some((class, share)) if class == offer.class && self.rng.random_bool(share) => {
                        [3.0, 2.0]
                    }
                    _ => [1.0, 1.0],
                };
                let memory = offer.requested.memory_gib * uses[1] * self.rng.between([0.8, 1.2]);
                let task = HostedTask {
                    cores: (offer.requested.cores * uses[0] * swing * heavy[0]).max(0.0),
                    memory: (memory * heavy[1]).max(0.0),
                    offer,
                    placer: placer.clone(),
                    received_at: now,
                    running_since: None,
                    reported_at: now,
                };
                self.queued.insert(attempt, task);
                self.schedule_admission(out);
            }
        }
    }

    /// Hosts that know each other's keys of a class.
    fn group(&self, class: &str) -> u64 {
        use maplethread_config::DeduplicationScope;
        let rules = self.scenario.classes.iter().find(|c| c.rules.name == class);
        let place = match rules.and_then(|c| c.rules.deduplication_scope) {
            Some(DeduplicationScope::Zone) => self.spec.zone.clone(),
            Some(DeduplicationScope::Cell) => format!("{}/{}", self.spec.zone, self.spec.cell),
            _ => String::new(),
        };
        place.bytes().fold(11, |h: u64, b| {
            h.wrapping_mul(131).wrapping_add(u64::from(b))
        })
    }

    /// A cold host that is sent too much falls over.
    fn is_overloaded(&mut self, now: u64) -> bool {
        let rules = &self.scenario.rules;
        if now >= self.started_us + rules.warm_up_ms * 1000 {
            self.recent_offers.clear();
            return false;
        }
        let window = rules.overload_window_ms * 1000;
        self.recent_offers.retain(|&at| at + window >= now);
        self.recent_offers.push(now);
        let work = self.scenario.classes.first().map_or(100.0, |c| c.work_ms) * 1000.0;
        let can = self.speed_factor(now)
            * self.scenario.fleet.max_concurrent_starts as f64
            * window as f64
            / work;
        self.recent_offers.len() as f64 > rules.warm_up_offers.max(rules.overload_multiple * can)
    }

    fn schedule_admission(&mut self, out: &mut Vec<HostAction>) {
        if !self.is_admitting && self.admission.queue_length() > 0 {
            self.is_admitting = true;
            let ms = self.rng.between(self.scenario.fleet.admission_ms)
                * self.faults.admission_slowdown.max(1.0);
            out.push(HostAction::SetTimer((ms * 1000.0) as u64, Timer::AdmitNext));
        }
    }

    /// Something falls due.
    pub fn handle_timer(
        &mut self,
        now: u64,
        later: Timer,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        match later {
            Timer::AdmitNext => {
                self.is_admitting = false;
                if let Some((ask, verdict)) = self.admission.decide_next(keys) {
                    self.apply_admission(now, ask, verdict, out);
                }
                self.schedule_admission(out);
                self.start_next(now, out);
            }
            Timer::StartFinished(attempt) => {
                self.admission.mark_running(attempt);
                let Some(task) = self.tasks.get_mut(&attempt) else {
                    return;
                };
                task.running_since = Some(now);
                let took = ((now - task.received_at) / 1000) as u32;
                let (placer, life) = (task.placer.clone(), task.offer.expected_duration_ms * 1000);
                self.world
                    .service_accounting()
                    .record_start(&task.offer.actor, now);
                self.send_answer(&placer, Frame::Started(attempt, took), out);
                if life > 0 {
                    out.push(HostAction::SetTimer(life, Timer::TaskFinished(attempt)));
                }
                self.start_next(now, out);
            }
            Timer::TaskFinished(attempt) => {
                self.end_task(now, attempt, Reason::Completed, keys, out)
            }
        }
    }

    fn apply_admission(
        &mut self,
        now: u64,
        ask: TaskRequest,
        verdict: AdmissionDecision,
        out: &mut Vec<HostAction>,
    ) {
        let Some(task) = self.queued.remove(&ask.attempt_id) else {
            return;
        };
        let placer = task.placer.clone();
        match verdict {
            AdmissionDecision::Rejected(refusal) => {
                let refused = self.admission.rejection_frame(ask.attempt_id, refusal);
                self.send_answer(&placer, refused, out);
            }
            AdmissionDecision::Admitted {
                preempted: push_out,
            } => {
                for attempt in push_out {
                    if let Some(gone) = self.tasks.remove(&attempt) {
                        self.report_task_end(&gone, attempt, Reason::Preempted, out);
                    }
                }
                let took = ((now - task.received_at) / 1000) as u32;
                self.tasks.insert(ask.attempt_id, task);
                self.send_answer(&placer, Frame::Accepted(ask.attempt_id, took), out);
            }
        }
    }

    fn report_task_end(
        &mut self,
        task: &HostedTask,
        attempt: u64,
        why: Reason,
        out: &mut Vec<HostAction>,
    ) {
        let ran = task.running_since.is_some();
        if ran {
            self.world
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        // Losing a task is not an answer that gets lost on its way: the next greeting tells it at the latest.
        if !self.faults.is_silent {
            let ended = self.admission.end_frame(attempt, why, ran);
            out.push(HostAction::Send(task.placer.clone(), ended));
        }
    }

    fn end_task(
        &mut self,
        now: u64,
        attempt: u64,
        why: Reason,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        self.admission.remove(attempt, keys);
        if let Some(task) = self.tasks.remove(&attempt) {
            self.report_task_end(&task, attempt, why, out);
        }
        self.start_next(now, out);
    }

    /// Takes a task away without a word; whether it ever ran.
    fn remove_task(&mut self, attempt: u64, keys: &mut DeduplicationTable) -> bool {
        let stage = self.admission.remove(attempt, keys);
        self.queued.remove(&attempt);
        if let Some(task) = self.tasks.remove(&attempt)
            && task.running_since.is_some()
        {
            self.world
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        stage.is_some_and(TaskStage::is_possibly_started)
    }

    fn start_next(&mut self, now: u64, out: &mut Vec<HostAction>) {
        while let Some(start) = self.admission.next_start() {
            let attempt = start.attempt_id;
            let class = self
                .tasks
                .get(&attempt)
                .map(|t| t.offer.class.clone())
                .unwrap_or_default();
            let class = self.scenario.classes.iter().find(|c| c.rules.name == class);
            let work = class.map_or(50.0, |c| c.work_ms)
                * if start.is_program_warm {
                    1.0
                } else {
                    self.scenario.fleet.cold_start_factor
                };
            let took = work * self.rng.between([0.7, 1.3]) / self.speed_factor(now).max(0.02);
            out.push(HostAction::SetTimer(
                (took * 1000.0) as u64,
                Timer::StartFinished(attempt),
            ));
        }
    }

    /// Whether it holds tasks, so that a span of service matters.
    pub fn has_tasks(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Serves what runs for a span, tells placers how it fares, and evicts when memory runs out.
    pub fn serve_interval(
        &mut self,
        from: u64,
        now: u64,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        let grows = 4_000_000.0;
        let memory_of = |t: &HostedTask| {
            let part = t
                .running_since
                .map_or(0.3, |s| ((now - s.min(now)) as f64 / grows).clamp(0.3, 1.0));
            t.memory * part
        };
        let memory: f64 = self.tasks.values().map(memory_of).sum();
        if memory > self.spec.memory {
            let used = |a: u64| self.tasks.get(&a).map_or(0.0, memory_of);
            for attempt in self
                .admission
                .select_evictions(self.spec.memory * MEMORY_PRESSURE, used)
            {
                self.end_task(now, attempt, Reason::Evicted, keys, out);
            }
        }
        let cores = self.spec.cores * (1.0 - self.faults.neighbour_core_share) * self.spec.speed;
        let share = memory / self.spec.memory;
        let slow = if share > MEMORY_PRESSURE {
            1.0 - 0.7 * ((share - MEMORY_PRESSURE) / (1.0 - MEMORY_PRESSURE)).min(1.0)
        } else {
            1.0
        };
        let running: Vec<(u32, f64)> = self
            .tasks
            .values()
            .filter(|t| t.running_since.is_some())
            .map(|t| {
                (
                    t.offer.priority,
                    used_cores(t, self.faults.hot_service_share),
                )
            })
            .collect();
        let starting: f64 = self
            .admission
            .admitted_tasks()
            .filter(|t| t.1 == TaskStage::Starting)
            .map(|_| 0.5)
            .sum();
        let together = self.scenario.fleet.measures_together;
        let periods = now.saturating_sub(self.last_measured) / MEASURE_INTERVAL_US;
        let (measures, measured) = (together && periods > 0, self.last_measured);
        if measures {
            self.last_measured += periods * MEASURE_INTERVAL_US;
        }
        let mut worst: BTreeMap<Arc<str>, (u64, f64)> = BTreeMap::new();
        let mut notes = Vec::new();
        for (&attempt, task) in &mut self.tasks {
            let Some(since) = task.running_since else {
                continue;
            };
            let class = self
                .scenario
                .classes
                .iter()
                .find(|c| c.rules.name == task.offer.class);
            let (calm, fade) =
                class.map_or((1.0, 1.0), |c| (c.contention_onset, c.contention_range));
            let own = task.offer.priority;
            let busy: f64 = running
                .iter()
                .map(|&(p, c)| if p >= own { c } else { 0.4 * c })
                .sum::<f64>()
                + starting;
            let busy = busy / cores.max(0.1);
            let served = (1.0 - (busy - calm) / fade.max(1e-6)).clamp(0.0, 1.0) * slow;
            self.world.service_accounting().record_service(
                &task.offer.actor,
                from.max(since),
                now,
                served,
            );
            if served < 0.95 {
                let entry = worst
                    .entry(task.placer.clone())
                    .or_insert((attempt, served));
                if served < entry.1 {
                    *entry = (attempt, served);
                }
            }
            let due = if together {
                measures && since <= measured
            } else {
                task.reported_at + MEASURE_INTERVAL_US <= now
            };
            if due {
                task.reported_at = now;
                notes.push((
                    task.placer.clone(),
                    Frame::Note(
                        attempt,
                        NoteKind::Cores,
                        used_cores(task, self.faults.hot_service_share),
                    ),
                ));
                notes.push((
                    task.placer.clone(),
                    Frame::Note(attempt, NoteKind::Memory, memory_of(task)),
                ));
            }
        }
        let mut tight = Vec::new();
        if share > 0.85 {
            for (&attempt, task) in &self.tasks {
                if task.running_since.is_some() && !worst.contains_key(&task.placer) {
                    worst.insert(task.placer.clone(), (attempt, 1.0));
                }
            }
        }
        for (placer, (attempt, served)) in worst {
            let told = self
                .contention_reported_at
                .entry(placer.clone())
                .or_default();
            if *told + 1_000_000 > now {
                continue;
            }
            *told = now;
            if served < 0.95 {
                notes.push((
                    placer.clone(),
                    Frame::Note(attempt, NoteKind::ServedShare, served),
                ));
            }
            if share > 0.85 {
                tight.push((
                    placer,
                    Frame::Note(attempt, NoteKind::HostMemoryShare, share),
                ));
            }
        }
        if !self.faults.is_silent {
            out.extend(
                notes
                    .into_iter()
                    .chain(tight)
                    .map(|(placer, frame)| HostAction::Send(placer, frame)),
            );
        }
    }
}
