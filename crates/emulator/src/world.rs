//! What the parts of a run share: the clock, the record of traffic, and the ledger of what was wanted and served.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use maplethread_checker::{HistoryEntry, Observation};
use maplethread_placer::Clock;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

#[cfg(test)]
mod tests;

/// Locks, whatever another thread's panic left behind: the record stays readable.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Shared by all threads of a run.
#[derive(Clone)]
pub struct RunContext {
    /// The clock of the record; Unix time, µs.
    pub clock: Clock,
    /// Nothing is recorded without it.
    history: Option<Arc<Mutex<Vec<HistoryEntry>>>>,
    accounting: Arc<Mutex<ServiceAccounting>>,
}

impl RunContext {
    /// A world in which nothing was seen yet, with so many classes.
    pub fn new(classes: usize) -> RunContext {
        let clock = Clock::start();
        let ledger = ServiceAccounting::new(clock.now(), classes);
        RunContext {
            clock,
            history: Some(Arc::default()),
            accounting: Arc::new(Mutex::new(ledger)),
        }
    }

    /// A world that records nothing, for hosts that run for long.
    pub fn without_history(classes: usize) -> RunContext {
        RunContext {
            history: None,
            ..RunContext::new(classes)
        }
    }

    /// Records what was seen; the order of the record is that of its times.
    pub fn record(&self, seen: Observation) {
        let Some(record) = &self.history else { return };
        let mut record = lock(record);
        record.push(HistoryEntry {
            at_us: self.clock.now(),
            observation: seen,
        });
    }

    /// The record.
    pub fn take_history(&self) -> Vec<HistoryEntry> {
        self.history
            .as_ref()
            .map(|record| std::mem::take(&mut *lock(record)))
            .unwrap_or_default()
    }

    /// The ledger.
    pub fn service_accounting(&self) -> MutexGuard<'_, ServiceAccounting> {
        lock(&self.accounting)
    }
}

/// A task that an owner wants.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand {
    /// Its class.
    pub class: usize,
    /// Worth of a second.
    pub value_per_s: f64,
    /// From when...
    pub from_us: u64,
    /// ...until when, µs.
    pub until_us: u64,
    /// A first start by then is worth...
    pub objective_us: u64,
    /// ...so much...
    pub start_bonus: f64,
    /// ...and later, by then, so much.
    pub deadline_us: u64,
    /// The bonus of a late start.
    pub late_start_bonus: f64,
}

#[derive(Default)]
struct ServedState {
    /// Where it runs now: how many copies.
    running_copies: u32,
    has_started: bool,
    /// Served up to this time, so that two copies count once.
    served_until: u64,
}

/// Worth wanted and served, by second and by class.
pub struct ServiceAccounting {
    start: u64,
    tasks: HashMap<Arc<str>, (TaskDemand, ServedState)>,
    by_second: Vec<(f64, f64)>,
    /// The same of each class.
    class_seconds: Vec<Vec<(f64, f64)>>,
    /// Seconds that second copies ran, which earn nothing.
    pub duplicate_run_s: f64,
    /// Worth of starts that came late or never, and of crowding while tasks ran.
    late_start_loss: f64,
    contention_loss: f64,
}

/// What the worth that was not served was lost to, as shares of the worth that was asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoss {
    /// First starts later than their aim, or none at all.
    pub late_start: f64,
    /// Tasks that did not run while they were wanted.
    pub not_running: f64,
    /// Tasks that ran on crowded hosts.
    pub contended: f64,
}

/// Service, as shares of the worth that was asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceShares {
    /// Over the whole run.
    pub overall: f64,
    /// In the worst ten seconds.
    pub worst_10_s: f64,
    /// Of the worst-served class.
    pub worst_class: f64,
}

impl ServiceAccounting {
    fn new(start: u64, classes: usize) -> ServiceAccounting {
        let class_seconds = vec![Vec::new(); classes];
        ServiceAccounting {
            start,
            tasks: HashMap::new(),
            by_second: Vec::new(),
            class_seconds,
            duplicate_run_s: 0.0,
            late_start_loss: 0.0,
            contention_loss: 0.0,
        }
    }

    /// Adds worth of a class that was wanted and served at a time.
    fn add(&mut self, class: usize, at: u64, wanted: f64, served: f64) {
        let second = (at.saturating_sub(self.start) / 1_000_000) as usize;
        for seconds in [&mut self.by_second, &mut self.class_seconds[class]] {
            if seconds.len() <= second {
                seconds.resize(second + 1, (0.0, 0.0));
            }
            seconds[second].0 += wanted;
            seconds[second].1 += served;
        }
    }

    /// An owner wants a task.
    pub fn add_demand(&mut self, actor: &Arc<str>, wanted: TaskDemand) {
        self.late_start_loss += wanted.start_bonus;
        self.add(wanted.class, wanted.from_us, wanted.start_bonus, 0.0);
        let mut at = wanted.from_us;
        while at < wanted.until_us {
            let next = (at + 1_000_000).min(wanted.until_us);
            self.add(
                wanted.class,
                at,
                wanted.value_per_s * (next - at) as f64 / 1e6,
                0.0,
            );
            at = next;
        }
        self.tasks
            .insert(actor.clone(), (wanted, ServedState::default()));
    }

    /// A copy of a task runs.
    pub fn record_start(&mut self, actor: &str, now: u64) {
        let Some((wanted, served)) = self.tasks.get_mut(actor) else {
            return;
        };
        served.running_copies += 1;
        if std::mem::replace(&mut served.has_started, true) {
            return;
        }
        let (wanted, bonus) = (
            *wanted,
            if now <= wanted.objective_us {
                wanted.start_bonus
            } else if now <= wanted.deadline_us {
                wanted.late_start_bonus
            } else {
                0.0
            },
        );
        self.late_start_loss -= bonus;
        self.add(wanted.class, wanted.from_us, 0.0, bonus);
    }

    /// A copy of a task does not run any more.
    pub fn record_end(&mut self, actor: &str) {
        if let Some((_, served)) = self.tasks.get_mut(actor) {
            served.running_copies = served.running_copies.saturating_sub(1);
        }
    }

    /// A copy was served with this share of full service.
    pub fn record_service(&mut self, actor: &str, from: u64, to: u64, share: f64) {
        let Some((wanted, served)) = self.tasks.get_mut(actor) else {
            return;
        };
        let whole = to.saturating_sub(from);
        let from = from.max(served.served_until).max(wanted.from_us);
        let to_wanted = to.min(wanted.until_us);
        served.served_until = served.served_until.max(to);
        let span = to_wanted.saturating_sub(from) as f64 / 1e6;
        let (wanted, copies) = (*wanted, served.running_copies);
        if copies > 1 && span == 0.0 {
            self.duplicate_run_s += whole as f64 / 1e6;
        }
        self.contention_loss += wanted.value_per_s * (1.0 - share) * span;
        self.add(
            wanted.class,
            to_wanted.max(wanted.from_us),
            0.0,
            wanted.value_per_s * share * span,
        );
    }

    /// The share of the worth asked for up to a time that each class was served, in the order of the classes; 1 where none
    /// was asked for.
    pub fn service_by_class(&self, until: u64) -> Vec<f64> {
        let seconds = (until.saturating_sub(self.start) / 1_000_000) as usize;
        let share = |all: &Vec<(f64, f64)>| {
            let (wanted, served) = all.iter().take(seconds).fold((0.0, 0.0), |sum, second| {
                (sum.0 + second.0, sum.1 + second.1)
            });
            if wanted > 0.0 { served / wanted } else { 1.0 }
        };
        self.class_seconds.iter().map(share).collect()
    }

    /// Whether some copy runs.
    pub fn is_running(&self, actor: &str) -> bool {
        self.tasks
            .get(actor)
            .is_some_and(|(_, served)| served.running_copies > 0)
    }

    /// What the worth that was not served up to a time was lost to.
    pub fn loss(&self, until: u64) -> ServiceLoss {
        let seconds = (until.saturating_sub(self.start) / 1_000_000) as usize;
        let all = &self.by_second[..seconds.min(self.by_second.len())];
        let all = all
            .iter()
            .fold((0.0, 0.0), |sum, b| (sum.0 + b.0, sum.1 + b.1));
        let part = |worth: f64| worth / all.0.max(f64::MIN_POSITIVE);
        let not_running = (all.0 - all.1 - self.late_start_loss - self.contention_loss).max(0.0);
        ServiceLoss {
            late_start: part(self.late_start_loss),
            not_running: part(not_running),
            contended: part(self.contention_loss),
        }
    }

    /// The service up to a time.
    pub fn service_shares(&self, until: u64) -> ServiceShares {
        let seconds = (until.saturating_sub(self.start) / 1_000_000) as usize;
        let part = |from: usize, to: usize| {
            let all = &self.by_second[from.min(self.by_second.len())..to.min(self.by_second.len())];
            let sum = all.iter().fold((0.0, 0.0), |s, b| (s.0 + b.0, s.1 + b.1));
            if sum.0 > 0.0 { sum.1 / sum.0 } else { 1.0 }
        };
        let last = seconds.saturating_sub(10);
        let worst_10_s = (0..=last)
            .map(|from| part(from, from + 10))
            .fold(1.0, f64::min);
        let worst_class = self.service_by_class(until).into_iter().fold(1.0, f64::min);
        ServiceShares {
            overall: part(0, seconds),
            worst_10_s,
            worst_class,
        }
    }
}

/// Seeded random numbers with the draws that the stand-ins need.
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Dice of this seed, one of several sets.
    pub fn new(seed: u64, set: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(
            seed ^ set.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        ))
    }

    /// A number in 0..1.
    pub fn fraction(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether something of this likelihood happens.
    pub fn random_bool(&mut self, likely: f64) -> bool {
        self.fraction() < likely
    }

    /// A number below `n`.
    pub fn index_below(&mut self, n: usize) -> usize {
        ((self.fraction() * n as f64) as usize).min(n.saturating_sub(1))
    }

    /// A number between two.
    pub fn between(&mut self, range: [f64; 2]) -> f64 {
        range[0] + (range[1] - range[0]) * self.fraction()
    }

    /// An exponential draw of this mean.
    pub fn exp(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.fraction()).ln()
    }

    /// Puts items in a random order.
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for i in (1..items.len()).rev() {
            let j = self.index_below(i + 1);
            items.swap(i, j);
        }
    }

    /// A seed for something else.
    pub fn seed(&mut self) -> u64 {
        self.0.next_u64()
    }
}
