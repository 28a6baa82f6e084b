//! One emulated host, without I/O: admission by the crate that real agents use, and simulated work. Cores, memory and
//! service are simulated, as specified for real hosts; frames and their times are real.

mod faults;
mod service;
mod tasks;

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{Admission, AdmissionPolicy, DeduplicationTable};
use maplethread_wire::frame::{Frame, Offer, Reason};

pub use faults::{ClassFault, FaultyAnswer, HostFaults};

use crate::run_context::RunContext;
use crate::scenario::{Class, Scenario};
use crate::seeded_rng::SeededRng;
use service::MEASURE_INTERVAL_US;

/// Age of hosts at the beginning of a run, µs, so that they are warm.
const INITIAL_AGE_US: u64 = 3_600_000_000;
/// The random stream of a restarted host process.
const RESTART_STREAM: u64 = 5;

/// Timers of a host.
#[derive(Clone, Copy, Debug)]
pub enum Timer {
    /// Decide on the next queued task.
    AdmitNext,
    /// The start of a task has finished.
    StartFinished(u64),
    /// A task has run for its expected duration.
    TaskFinished(u64),
}

/// Actions that a host requests of its caller.
pub enum HostAction {
    /// Send a frame to this placer, if it is connected.
    Send(Arc<str>, Frame),
    /// Set a timer to expire after this time, µs.
    SetTimer(u64, Timer),
    /// The host crashes under overload and stays down.
    Crash,
}

/// A task that is queued or held by a host.
struct HostedTask {
    offer: Offer,
    placer: Arc<str>,
    received_at: u64,
    /// Cores that it uses once it runs.
    cores: f64,
    /// Memory that it uses once it has grown to its full size, GiB.
    memory_gib: f64,
    running_since: Option<u64>,
    /// When its usage was last reported to its placer.
    reported_at: u64,
}

/// The size, speed and location of a host.
#[derive(Clone, Debug)]
pub struct HostSpec {
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
    /// Its cores.
    pub cores: f64,
    /// Its memory, GiB.
    pub memory_gib: f64,
    /// Relative speed of its cores; 1 is the normal speed.
    pub speed: f64,
}

/// An emulated host process.
pub struct EmulatedHost {
    /// Its size, speed and location.
    pub spec: HostSpec,
    /// When it started, Unix time in µs.
    pub started_us: u64,
    faults: HostFaults,
    scenario: Arc<Scenario>,
    context: RunContext,
    admission: Admission,
    tasks: BTreeMap<u64, HostedTask>,
    /// Tasks whose admission is pending, by attempt.
    queued: BTreeMap<u64, HostedTask>,
    is_admitting: bool,
    rng: SeededRng,
    /// Times of recent offers while it warms up.
    recent_offers: Vec<u64>,
    /// When contention was last reported to each placer.
    contention_reported_at: BTreeMap<Arc<str>, u64>,
    /// When all running tasks were last measured, if they are measured together.
    last_measured: u64,
}

impl EmulatedHost {
    /// A host that has just started if `is_cold`, and otherwise one that started long ago.
    pub fn new(
        spec: HostSpec,
        scenario: Arc<Scenario>,
        context: RunContext,
        mut rng: SeededRng,
        is_cold: bool,
    ) -> EmulatedHost {
        let fleet = &scenario.fleet;
        let policy = AdmissionPolicy {
            cores: spec.cores,
            memory_gib: spec.memory_gib,
            cpu_overcommit: fleet.cpu_overcommit,
            memory_overcommit: fleet.memory_overcommit,
            max_queue_length: fleet.max_queued,
            max_concurrent_starts: fleet.max_concurrent_starts,
            max_warm_programs: fleet.max_kept_programs,
            allows_preemption: fleet.preempts,
        };
        let now = context.clock.now();
        let started = if is_cold { now } else { now - INITIAL_AGE_US };
        // A random offset, so that hosts do not measure at the same times as each other.
        let measured_ago = if fleet.measures_together {
            rng.between([0.0, MEASURE_INTERVAL_US as f64]) as u64
        } else {
            0
        };
        EmulatedHost {
            spec,
            // Whole milliseconds, the resolution of frames and of the inventory.
            started_us: started / 1000 * 1000,
            faults: HostFaults::default(),
            admission: Admission::new(policy),
            scenario,
            context,
            tasks: BTreeMap::new(),
            queued: BTreeMap::new(),
            is_admitting: false,
            rng,
            recent_offers: Vec::new(),
            contention_reported_at: BTreeMap::new(),
            last_measured: now - measured_ago,
        }
    }

    /// Replaces the process by a new one, which has to warm up.
    pub fn restart(&mut self) {
        self.stop();
        let rng = SeededRng::new(self.rng.seed(), RESTART_STREAM);
        *self = EmulatedHost::new(
            self.spec.clone(),
            self.scenario.clone(),
            self.context.clone(),
            rng,
            true,
        );
    }

    /// Ends the process; all its tasks are lost.
    pub fn stop(&mut self) {
        for task in self.tasks.values().filter(|t| t.running_since.is_some()) {
            self.context
                .service_accounting()
                .record_end(&task.offer.actor);
        }
        self.tasks.clear();
        self.queued.clear();
    }

    /// Replaces the present faults.
    pub fn set_faults(&mut self, faults: HostFaults) {
        if faults.has_lost_programs && !self.faults.has_lost_programs {
            self.admission.clear_warm_programs();
        }
        self.faults = faults;
    }

    /// Whether the host reads and never answers.
    pub fn is_silent(&self) -> bool {
        self.faults.is_silent
    }

    /// Releases the idempotency keys of the host's tasks.
    pub fn release_keys(&mut self, keys: &mut DeduplicationTable) {
        for attempt in self.tasks.keys() {
            self.admission.remove(*attempt, keys);
        }
    }

    /// Whether the host is draining and rejects new offers.
    pub fn is_draining(&self) -> bool {
        self.admission.is_draining()
    }

    /// Starts a drain: new offers are rejected from now on.
    pub fn drain(&mut self) {
        self.admission.drain();
    }

    /// The `Held` frames for a placer: the tasks of that placer that the host holds.
    pub fn held_frames(&self, placer: &str) -> Vec<Frame> {
        let tasks = self.tasks.values().filter(|t| *t.placer == *placer);
        tasks
            .map(|t| Frame::Held(t.offer.clone(), t.running_since.is_some()))
            .collect()
    }

    /// Whether the host holds tasks, so that service has to be simulated.
    pub fn has_tasks(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Handles a frame from a placer that has sent its hello.
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
                let is_own = |task: &HostedTask| *task.placer == **placer;
                let task = self.tasks.get(&attempt).or(self.queued.get(&attempt));
                if task.is_some_and(is_own) {
                    let ran = self.remove_task(attempt, keys);
                    let ended = self.admission.end_frame(attempt, Reason::Stopped, ran);
                    self.send_answer(placer, ended, out);
                    self.start_next(now, out);
                }
            }
            Frame::Probe(nonce) if !self.is_silent() => {
                let report = Frame::Report(nonce, self.admission.unallocated());
                out.push(HostAction::Send(placer.clone(), report));
            }
            Frame::Ping(nonce) if !self.is_silent() => {
                out.push(HostAction::Send(placer.clone(), Frame::Pong(nonce)));
            }
            _ => {}
        }
    }

    /// Handles a timer that has expired.
    pub fn handle_timer(
        &mut self,
        now: u64,
        timer: Timer,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        match timer {
            Timer::AdmitNext => self.admit_next(now, keys, out),
            Timer::StartFinished(attempt) => self.finish_start(now, attempt, out),
            Timer::TaskFinished(attempt) => {
                self.end_task(now, attempt, Reason::Completed, keys, out)
            }
        }
    }

    /// Sends an answer to an attempt, which is lost if the host is silent or by the lost-answers fault; other frames
    /// are not subject to that fault.
    fn send_answer(&mut self, placer: &Arc<str>, frame: Frame, out: &mut Vec<HostAction>) {
        if !self.is_silent() && !self.rng.random_bool(self.faults.lost_answer_share) {
            out.push(HostAction::Send(placer.clone(), frame));
        }
    }

    /// The class of this name.
    fn class(&self, name: &str) -> Option<&Class> {
        self.scenario
            .classes
            .iter()
            .find(|c| c.placer_class.name == name)
    }

    /// The present speed, which is lower while the host warms up.
    fn speed_factor(&self, now: u64) -> f64 {
        let rules = &self.scenario.rules;
        let age_ms = (now - self.started_us.min(now)) as f64 / 1000.0;
        let age = age_ms / rules.warm_up_ms as f64;
        let initial = rules.initial_capacity_share;
        (initial + (1.0 - initial) * age).min(1.0)
            * (1.0 - self.faults.neighbour_core_share)
            * self.spec.speed
    }
}
