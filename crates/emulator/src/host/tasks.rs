//! The life cycle of a task on an emulated host: offered, queued, admitted or rejected, started, ended.

use std::sync::Arc;

use maplethread_admission::{AdmissionDecision, DeduplicationTable, TaskRequest, TaskStage};
use maplethread_config::DeduplicationScope;
use maplethread_wire::frame::{Frame, Offer, Reason};

use super::{EmulatedHost, FaultyAnswer, HostAction, HostedTask, Timer};

/// Ranges of the random factors on a task's mean usage of cores and memory.
const CORES_VARIATION: [f64; 2] = [0.6, 1.4];
const MEMORY_VARIATION: [f64; 2] = [0.8, 1.2];
/// Range of the random factor on the mean duration of a start.
const START_VARIATION: [f64; 2] = [0.7, 1.3];
/// Cores and memory of a task under the heavy-tail fault, as multiples of its usual usage.
const HEAVY_CORES_FACTOR: f64 = 3.0;
const HEAVY_MEMORY_FACTOR: f64 = 2.0;
/// Duration of a start of a class that is not in the scenario, ms.
const DEFAULT_START_WORK_MS: f64 = 50.0;
/// The same in the capacity of a warming host, for a scenario without classes, ms.
const DEFAULT_WARM_UP_WORK_MS: f64 = 100.0;
/// Minimum speed that is used for the duration of starts.
const MIN_START_SPEED: f64 = 0.02;

impl EmulatedHost {
    pub(super) fn handle_offer(
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
        if self.is_silent() || self.fails_at_once(placer, &offer, out) {
            return;
        }
        let attempt = offer.attempt_id;
        let request = TaskRequest::from_offer(&offer, self.deduplication_group(&offer.class));
        match self.admission.enqueue(request) {
            Err(rejection) => {
                let refused = self.admission.rejection_frame(attempt, rejection);
                self.send_answer(placer, refused, out);
            }
            Ok(()) => {
                let task = self.new_task(now, placer, offer);
                self.queued.insert(attempt, task);
                self.schedule_admission(out);
            }
        }
    }

    /// Whether a fault affects an offer; if so, the offer is answered or left unanswered according to the fault.
    fn fails_at_once(
        &mut self,
        placer: &Arc<str>,
        offer: &Offer,
        out: &mut Vec<HostAction>,
    ) -> bool {
        let attempt = offer.attempt_id;
        if self.rng.random_bool(self.faults.error_share) {
            let ran = self.rng.random_bool(0.5);
            self.send_answer(placer, Frame::Ended(attempt, Reason::Error, ran, None), out);
            return true;
        }
        let Some(fault) = &self.faults.class_fault else {
            return false;
        };
        let (answer, share) = (fault.answer, fault.share);
        if fault.class != offer.class || !self.rng.random_bool(share) {
            return false;
        }
        if answer == FaultyAnswer::Error {
            let ended = Frame::Ended(attempt, Reason::Error, false, None);
            self.send_answer(placer, ended, out);
        }
        true
    }

    /// The group of hosts that share idempotency keys of a class, as a hash.
    fn deduplication_group(&self, class: &str) -> u64 {
        let group = match self
            .class(class)
            .and_then(|c| c.placer_class.deduplication_scope)
        {
            Some(DeduplicationScope::Zone) => self.spec.zone.clone(),
            Some(DeduplicationScope::Cell) => format!("{}/{}", self.spec.zone, self.spec.cell),
            _ => String::new(),
        };
        polynomial_hash(&group)
    }

    /// Creates a task and draws its usage.
    fn new_task(&mut self, now: u64, placer: &Arc<str>, offer: Offer) -> HostedTask {
        let used_share = self.class(&offer.class).map_or([1.0; 2], |c| c.used_share);
        let variation = self.rng.between(CORES_VARIATION);
        let is_heavy = match &self.faults.heavy_tail {
            Some((class, share)) if *class == offer.class => self.rng.random_bool(*share),
            _ => false,
        };
        let (heavy_cores, heavy_memory) = if is_heavy {
            (HEAVY_CORES_FACTOR, HEAVY_MEMORY_FACTOR)
        } else {
            (1.0, 1.0)
        };
        let memory_gib =
            offer.requested.memory_gib * used_share[1] * self.rng.between(MEMORY_VARIATION);
        HostedTask {
            cores: (offer.requested.cores * used_share[0] * variation * heavy_cores).max(0.0),
            memory_gib: (memory_gib * heavy_memory).max(0.0),
            offer,
            placer: placer.clone(),
            received_at: now,
            running_since: None,
            reported_at: now,
        }
    }

    /// Whether a warming host has received too many offers in the overload window, which makes it crash.
    fn is_overloaded(&mut self, now: u64) -> bool {
        let rules = &self.scenario.rules;
        if now >= self.started_us + rules.warm_up_ms * 1000 {
            self.recent_offers.clear();
            return false;
        }
        let window = rules.overload_window_ms * 1000;
        self.recent_offers.retain(|&at| at + window >= now);
        self.recent_offers.push(now);
        let first_class = self.scenario.classes.first();
        let work = first_class.map_or(DEFAULT_WARM_UP_WORK_MS, |c| c.start_duration_ms) * 1000.0;
        let concurrent = self.scenario.fleet.max_concurrent_starts as f64;
        let capacity = self.speed_factor(now) * concurrent * window as f64 / work;
        self.recent_offers.len() as f64
            > rules.warm_up_offers.max(rules.overload_multiple * capacity)
    }

    /// Schedules the admission decision on the next queued task.
    fn schedule_admission(&mut self, out: &mut Vec<HostAction>) {
        if !self.is_admitting && self.admission.queue_length() > 0 {
            self.is_admitting = true;
            let ms = self.rng.between(self.scenario.fleet.admission_ms)
                * self.faults.admission_slowdown.max(1.0);
            out.push(HostAction::SetTimer((ms * 1000.0) as u64, Timer::AdmitNext));
        }
    }

    pub(super) fn admit_next(
        &mut self,
        now: u64,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        self.is_admitting = false;
        if let Some((request, decision)) = self.admission.decide_next(keys) {
            self.apply_admission(now, request.attempt_id, decision, out);
        }
        self.schedule_admission(out);
        self.start_next(now, out);
    }

    fn apply_admission(
        &mut self,
        now: u64,
        attempt: u64,
        decision: AdmissionDecision,
        out: &mut Vec<HostAction>,
    ) {
        let Some(task) = self.queued.remove(&attempt) else {
            return;
        };
        let placer = task.placer.clone();
        match decision {
            AdmissionDecision::Rejected(rejection) => {
                let refused = self.admission.rejection_frame(attempt, rejection);
                self.send_answer(&placer, refused, out);
            }
            AdmissionDecision::Admitted { preempted } => {
                for preempted in preempted {
                    if let Some(task) = self.tasks.remove(&preempted) {
                        self.report_task_end(&task, preempted, Reason::Preempted, out);
                    }
                }
                let after_ms = ((now - task.received_at) / 1000) as u32;
                self.tasks.insert(attempt, task);
                self.send_answer(&placer, Frame::Accepted(attempt, after_ms), out);
            }
        }
    }

    pub(super) fn finish_start(&mut self, now: u64, attempt: u64, out: &mut Vec<HostAction>) {
        self.admission.mark_running(attempt);
        let Some(task) = self.tasks.get_mut(&attempt) else {
            return;
        };
        task.running_since = Some(now);
        let after_ms = ((now - task.received_at) / 1000) as u32;
        let (placer, duration) = (task.placer.clone(), task.offer.expected_duration_ms * 1000);
        self.context
            .service_accounting()
            .record_start(&task.offer.actor, now);
        self.send_answer(&placer, Frame::Started(attempt, after_ms), out);
        if duration > 0 {
            out.push(HostAction::SetTimer(duration, Timer::TaskFinished(attempt)));
        }
        self.start_next(now, out);
    }

    /// Starts admitted tasks, up to the limit on concurrent starts.
    pub(super) fn start_next(&mut self, now: u64, out: &mut Vec<HostAction>) {
        while let Some(start) = self.admission.next_start() {
            let attempt = start.attempt_id;
            let task = self.tasks.get(&attempt);
            let class = task.and_then(|task| self.class(&task.offer.class));
            let work_ms = class.map_or(DEFAULT_START_WORK_MS, |c| c.start_duration_ms);
            let factor = if start.is_program_warm {
                1.0
            } else {
                self.scenario.fleet.cold_start_factor
            };
            let speed = self.speed_factor(now).max(MIN_START_SPEED);
            let duration_ms = work_ms * factor * self.rng.between(START_VARIATION) / speed;
            out.push(HostAction::SetTimer(
                (duration_ms * 1000.0) as u64,
                Timer::StartFinished(attempt),
            ));
        }
    }

    /// Ends a task that the host holds, and reports that to its placer.
    pub(super) fn end_task(
        &mut self,
        now: u64,
        attempt: u64,
        reason: Reason,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        self.admission.remove(attempt, keys);
        if let Some(task) = self.tasks.remove(&attempt) {
            self.report_task_end(&task, attempt, reason, out);
        }
        self.start_next(now, out);
    }

    fn report_task_end(
        &mut self,
        task: &HostedTask,
        attempt: u64,
        reason: Reason,
        out: &mut Vec<HostAction>,
    ) {
        let ran = task.running_since.is_some();
        if ran {
            self.context
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        // Ends are not subject to the lost-answers fault: the next hello of the host reports them at the latest.
        if !self.is_silent() {
            let ended = self.admission.end_frame(attempt, reason, ran);
            out.push(HostAction::Send(task.placer.clone(), ended));
        }
    }

    /// Removes a task without reporting it; returns whether it may have started.
    pub(super) fn remove_task(&mut self, attempt: u64, keys: &mut DeduplicationTable) -> bool {
        let stage = self.admission.remove(attempt, keys);
        self.queued.remove(&attempt);
        if let Some(task) = self.tasks.remove(&attempt)
            && task.running_since.is_some()
        {
            self.context
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        stage.is_some_and(TaskStage::is_possibly_started)
    }
}

/// A hash that is stable across machines and versions.
fn polynomial_hash(text: &str) -> u64 {
    text.bytes().fold(11, |hash, byte| {
        hash.wrapping_mul(131).wrapping_add(u64::from(byte))
    })
}
