//! The simulated service of an emulated host: what its running tasks get, what is measured and reported, and eviction when
//! memory runs out.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{DeduplicationTable, TaskStage};
use maplethread_wire::frame::{Frame, NoteKind, Reason};

use super::{EmulatedHost, HostAction, HostedTask};

/// What runs is measured, and reported to its placers, this often, µs.
pub(super) const MEASURE_INTERVAL_US: u64 = 2_000_000;
/// Placers are told of contention at most this often, µs.
const CONTENTION_INTERVAL_US: u64 = 1_000_000;
/// Over this share of its memory all tasks of a host slow down; evictions bring it back to this.
const MEMORY_PRESSURE: f64 = 0.92;
/// Over this share of its memory placers are told.
const REPORTED_MEMORY_SHARE: f64 = 0.85;
/// The share of full service that a host without any free memory loses.
const MAX_MEMORY_SLOWDOWN: f64 = 0.7;
/// A task that gets a smaller share of full service is reported to its placer.
const REPORTED_SERVICE_SHARE: f64 = 0.95;
/// A task's memory grows to its full size over this time, µs.
const MEMORY_GROWTH_US: f64 = 4_000_000.0;
/// The share of its full memory that a task has when it starts.
const INITIAL_MEMORY_SHARE: f64 = 0.3;
/// What a task of a lower priority counts in the load of those above it.
const LOWER_PRIORITY_WEIGHT: f64 = 0.4;
/// Cores that a start takes.
const START_CORES: f64 = 0.5;
/// What a task of a hot service uses at least, as a multiple of the requested cores.
const HOT_SERVICE_CORES: f64 = 2.0;

/// The load of a host in an interval.
struct HostLoad {
    /// Cores that all running tasks want, by their priority.
    running: Vec<(u32, f64)>,
    /// Cores that starts take.
    starting: f64,
    /// Cores that the host can give.
    available: f64,
    /// What memory pressure leaves of full service.
    memory_slowdown: f64,
}

impl HostLoad {
    /// Cores wanted over cores available, as tasks of a priority see it.
    fn utilization(&self, priority: u32) -> f64 {
        let running = self.running.iter().map(|&(other, cores)| {
            if other >= priority {
                cores
            } else {
                LOWER_PRIORITY_WEIGHT * cores
            }
        });
        (running.sum::<f64>() + self.starting) / self.available.max(0.1)
    }
}

/// Which task of a placer got least.
struct WorstServed {
    attempt: u64,
    share: f64,
}

impl EmulatedHost {
    /// Serves what runs from one time to another, µs, tells placers what their tasks use and get, and evicts when memory
    /// runs out.
    pub fn serve_interval(
        &mut self,
        from: u64,
        now: u64,
        keys: &mut DeduplicationTable,
        out: &mut Vec<HostAction>,
    ) {
        let memory_gib: f64 = self
            .tasks
            .values()
            .map(|task| task.used_memory_gib(now))
            .sum();
        if memory_gib > self.spec.memory_gib {
            self.evict(now, keys, out);
        }
        let memory_share = memory_gib / self.spec.memory_gib;
        let load = self.host_load(memory_share);
        let is_due = self.advance_measurements(now);
        let mut worst = BTreeMap::new();
        let mut reports = Vec::new();
        for (&attempt, task) in &mut self.tasks {
            let Some(since) = task.running_since else {
                continue;
            };
            let class = self
                .scenario
                .classes
                .iter()
                .find(|c| c.rules.name == task.offer.class);
            let (onset, range) =
                class.map_or((1.0, 1.0), |c| (c.contention_onset, c.contention_range));
            let contention = load.utilization(task.offer.priority) - onset;
            let share = (1.0 - contention / range.max(1e-6)).clamp(0.0, 1.0) * load.memory_slowdown;
            self.context.service_accounting().record_service(
                &task.offer.actor,
                from.max(since),
                now,
                share,
            );
            if share < REPORTED_SERVICE_SHARE {
                let entry = worst
                    .entry(task.placer.clone())
                    .or_insert(WorstServed { attempt, share });
                if share < entry.share {
                    *entry = WorstServed { attempt, share };
                }
            }
            if is_due(task) {
                task.reported_at = now;
                reports.extend(task.usage_reports(attempt, now, self.faults.hot_service_share));
            }
        }
        reports.extend(self.contention_reports(now, memory_share, worst));
        if !self.is_silent() {
            out.extend(reports);
        }
    }

    /// Evicts tasks until what remains fits.
    fn evict(&mut self, now: u64, keys: &mut DeduplicationTable, out: &mut Vec<HostAction>) {
        let used = |attempt: u64| {
            self.tasks
                .get(&attempt)
                .map_or(0.0, |task| task.used_memory_gib(now))
        };
        let limit = self.spec.memory_gib * MEMORY_PRESSURE;
        for attempt in self.admission.select_evictions(limit, used) {
            self.end_task(now, attempt, Reason::Evicted, keys, out);
        }
    }

    fn host_load(&self, memory_share: f64) -> HostLoad {
        let available =
            self.spec.cores * (1.0 - self.faults.neighbour_core_share) * self.spec.speed;
        let excess = (memory_share - MEMORY_PRESSURE) / (1.0 - MEMORY_PRESSURE);
        let memory_slowdown = if memory_share > MEMORY_PRESSURE {
            1.0 - MAX_MEMORY_SLOWDOWN * excess.min(1.0)
        } else {
            1.0
        };
        let running = self
            .tasks
            .values()
            .filter(|task| task.running_since.is_some())
            .map(|task| {
                let cores = task.used_cores(self.faults.hot_service_share);
                (task.offer.priority, cores)
            })
            .collect();
        let starting = self
            .admission
            .admitted_tasks()
            .filter(|(_, stage)| *stage == TaskStage::Starting)
            .map(|_| START_CORES)
            .sum();
        HostLoad {
            running,
            starting,
            available,
            memory_slowdown,
        }
    }

    /// Which tasks are due to be measured: each at its own times, or all that ran at the last common one.
    fn advance_measurements(&mut self, now: u64) -> impl Fn(&HostedTask) -> bool + use<> {
        let measures_together = self.scenario.fleet.measures_together;
        let last_measured = self.last_measured;
        let intervals = now.saturating_sub(last_measured) / MEASURE_INTERVAL_US;
        if measures_together {
            self.last_measured += intervals * MEASURE_INTERVAL_US;
        }
        move |task| {
            if measures_together {
                intervals > 0
                    && task
                        .running_since
                        .is_some_and(|since| since <= last_measured)
            } else {
                task.reported_at + MEASURE_INTERVAL_US <= now
            }
        }
    }

    /// Tells each placer of its worst-served task, and of a host that has little memory left.
    fn contention_reports(
        &mut self,
        now: u64,
        memory_share: f64,
        mut worst: BTreeMap<Arc<str>, WorstServed>,
    ) -> Vec<HostAction> {
        let has_little_memory = memory_share > REPORTED_MEMORY_SHARE;
        if has_little_memory {
            for (&attempt, task) in &self.tasks {
                if task.running_since.is_some() && !worst.contains_key(&task.placer) {
                    worst.insert(
                        task.placer.clone(),
                        WorstServed {
                            attempt,
                            share: 1.0,
                        },
                    );
                }
            }
        }
        let (mut service, mut memory) = (Vec::new(), Vec::new());
        for (placer, WorstServed { attempt, share }) in worst {
            let reported_at = self
                .contention_reported_at
                .entry(placer.clone())
                .or_default();
            if *reported_at + CONTENTION_INTERVAL_US > now {
                continue;
            }
            *reported_at = now;
            if share < REPORTED_SERVICE_SHARE {
                let note = Frame::Note(attempt, NoteKind::ServedShare, share);
                service.push(HostAction::Send(placer.clone(), note));
            }
            if has_little_memory {
                let note = Frame::Note(attempt, NoteKind::HostMemoryShare, memory_share);
                memory.push(HostAction::Send(placer, note));
            }
        }
        service.extend(memory);
        service
    }
}

impl HostedTask {
    /// The memory that it uses, which grows once it runs, GiB.
    fn used_memory_gib(&self, now: u64) -> f64 {
        let share = self.running_since.map_or(INITIAL_MEMORY_SHARE, |since| {
            ((now - since.min(now)) as f64 / MEMORY_GROWTH_US).clamp(INITIAL_MEMORY_SHARE, 1.0)
        });
        self.memory_gib * share
    }

    /// The cores that it uses while such a share of the services is hot; all hosts agree on which ones are.
    fn used_cores(&self, hot_service_share: f64) -> f64 {
        let hash = self.offer.service.bytes().fold(11, |hash: u32, byte| {
            hash.wrapping_mul(16_777_619) ^ u32::from(byte)
        });
        if f64::from(hash % 1000) < hot_service_share * 1000.0 {
            self.cores
                .max(HOT_SERVICE_CORES * self.offer.requested.cores)
        } else {
            self.cores
        }
    }

    /// The frames that report to its placer what it uses.
    fn usage_reports(&self, attempt: u64, now: u64, hot_service_share: f64) -> [HostAction; 2] {
        let cores = self.used_cores(hot_service_share);
        [
            (NoteKind::Cores, cores),
            (NoteKind::Memory, self.used_memory_gib(now)),
        ]
        .map(|(kind, value)| {
            HostAction::Send(self.placer.clone(), Frame::Note(attempt, kind, value))
        })
    }
}
