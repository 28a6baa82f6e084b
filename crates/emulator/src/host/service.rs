//! The simulated service of an emulated host: the service of its running tasks, measurements and reports, and eviction
//! when memory runs out.

use std::collections::BTreeMap;
use std::sync::Arc;

use maplethread_admission::{DeduplicationTable, TaskStage};
use maplethread_wire::frame::{Frame, NoteKind, Reason};

use super::{EmulatedHost, HostAction, HostedTask};

/// Interval at which the usage of running tasks is measured and reported to their placers, µs.
pub(super) const MEASURE_INTERVAL_US: u64 = 2_000_000;
/// Minimum interval between reports of contention to a placer, µs.
const CONTENTION_INTERVAL_US: u64 = 1_000_000;
/// Share of a host's memory in use above which all its tasks slow down; evictions reduce memory to this share.
const MEMORY_PRESSURE_SHARE: f64 = 0.92;
/// Share of a host's memory in use above which the share is reported to placers.
const REPORTED_MEMORY_SHARE: f64 = 0.85;
/// Share of full service that the tasks of a host without free memory lose.
const MAX_MEMORY_SLOWDOWN: f64 = 0.7;
/// A task that receives a smaller share of full service than this is reported to its placer.
const REPORTED_SERVICE_SHARE: f64 = 0.95;
/// Time over which a task's memory grows to its full size, µs.
const MEMORY_GROWTH_US: f64 = 4_000_000.0;
/// Share of its full memory that a task uses when it starts.
const INITIAL_MEMORY_SHARE: f64 = 0.3;
/// Weight of a task of lower priority in the load that applies to tasks of higher priority.
const LOWER_PRIORITY_WEIGHT: f64 = 0.4;
/// Cores that a start uses.
const START_CORES: f64 = 0.5;
/// Minimum usage of a task of a hot service, as a multiple of the requested cores.
const HOT_SERVICE_CORES_FACTOR: f64 = 2.0;

/// The load of a host in an interval.
struct HostLoad {
    /// Priority and cores wanted of each running task.
    running: Vec<(u32, f64)>,
    /// Cores that starts use.
    starting: f64,
    /// Cores that are available to tasks.
    available: f64,
    /// Share of full service that is left under memory pressure.
    memory_slowdown: f64,
}

impl HostLoad {
    /// Ratio of wanted to available cores that applies to tasks of a priority.
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

/// The task of a placer that received the least service.
struct WorstServed {
    attempt: u64,
    share: f64,
}

impl EmulatedHost {
    /// Simulates the service of running tasks from one time to another, µs; reports usage and contention to placers;
    /// evicts tasks when memory runs out.
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
                .find(|c| c.placer_class.name == task.offer.class);
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

    /// Evicts tasks until the remaining ones fit into memory.
    fn evict(&mut self, now: u64, keys: &mut DeduplicationTable, out: &mut Vec<HostAction>) {
        let used = |attempt: u64| {
            self.tasks
                .get(&attempt)
                .map_or(0.0, |task| task.used_memory_gib(now))
        };
        let limit = self.spec.memory_gib * MEMORY_PRESSURE_SHARE;
        for attempt in self.admission.select_evictions(limit, used) {
            self.end_task(now, attempt, Reason::Evicted, keys, out);
        }
    }

    fn host_load(&self, memory_share: f64) -> HostLoad {
        let available =
            self.spec.cores * (1.0 - self.faults.neighbour_core_share) * self.spec.speed;
        let excess = (memory_share - MEMORY_PRESSURE_SHARE) / (1.0 - MEMORY_PRESSURE_SHARE);
        let memory_slowdown = if memory_share > MEMORY_PRESSURE_SHARE {
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

    /// A predicate for the tasks that are due to be measured: each at its own times, or, if tasks are measured
    /// together, those that ran at the last common measurement.
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

    /// Reports to each placer its worst-served task, and that the host is short of memory.
    fn contention_reports(
        &mut self,
        now: u64,
        memory_share: f64,
        mut worst: BTreeMap<Arc<str>, WorstServed>,
    ) -> Vec<HostAction> {
        let is_short_of_memory = memory_share > REPORTED_MEMORY_SHARE;
        if is_short_of_memory {
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
                let note = Frame::Note(attempt, NoteKind::ServiceShare, share);
                service.push(HostAction::Send(placer.clone(), note));
            }
            if is_short_of_memory {
                let note = Frame::Note(attempt, NoteKind::HostMemoryShare, memory_share);
                memory.push(HostAction::Send(placer, note));
            }
        }
        service.extend(memory);
        service
    }
}

impl HostedTask {
    /// Memory that the task uses at present, GiB; it grows once the task runs.
    fn used_memory_gib(&self, now: u64) -> f64 {
        let share = self.running_since.map_or(INITIAL_MEMORY_SHARE, |since| {
            ((now - since.min(now)) as f64 / MEMORY_GROWTH_US).clamp(INITIAL_MEMORY_SHARE, 1.0)
        });
        self.memory_gib * share
    }

    /// Cores that the task uses while this share of the services is hot. The hot services are chosen by a hash, so that
    /// they are the same on all hosts.
    fn used_cores(&self, hot_service_share: f64) -> f64 {
        let hash = self.offer.service.bytes().fold(11, |hash: u32, byte| {
            hash.wrapping_mul(16_777_619) ^ u32::from(byte)
        });
        if f64::from(hash % 1000) < hot_service_share * 1000.0 {
            self.cores
                .max(HOT_SERVICE_CORES_FACTOR * self.offer.requested.cores)
        } else {
            self.cores
        }
    }

    /// The frames that report the task's usage to its placer.
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
