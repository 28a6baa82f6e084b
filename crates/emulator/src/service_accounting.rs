//! Accounting of service: the value of the service that owners wanted and that they received, by second and by class.

use std::collections::HashMap;
use std::sync::Arc;

#[cfg(test)]
mod tests;

const SECOND_US: u64 = 1_000_000;

/// A task that an owner wants, and its value.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand {
    /// Its class, by index.
    pub class: usize,
    /// The value of one second of full service.
    pub value_per_s: f64,
    /// Start of the time in which it is wanted, µs.
    pub from_us: u64,
    /// End of the time in which it is wanted, µs.
    pub until_us: u64,
    /// A first start up to this time earns the full bonus, µs.
    pub objective_us: u64,
    /// The bonus of a first start.
    pub start_bonus: f64,
    /// A first start up to this time earns the late bonus, and a later one no bonus, µs.
    pub deadline_us: u64,
    /// The bonus of a late first start.
    pub late_start_bonus: f64,
}

impl TaskDemand {
    fn bonus_of_start(&self, now: u64) -> f64 {
        if now <= self.objective_us {
            self.start_bonus
        } else if now <= self.deadline_us {
            self.late_start_bonus
        } else {
            0.0
        }
    }
}

#[derive(Default)]
struct ServedState {
    /// Copies that are running.
    running_copies: u32,
    has_started: bool,
    /// Time up to which service is counted, µs, so that the service of two copies counts once.
    served_until: u64,
}

struct Task {
    demand: TaskDemand,
    served: ServedState,
}

/// Value that was wanted, and the part of it that was served.
#[derive(Clone, Copy, Default)]
struct Value {
    wanted: f64,
    served: f64,
}

impl Value {
    fn sum<'a>(values: impl IntoIterator<Item = &'a Value>) -> Value {
        let mut sum = Value::default();
        for value in values {
            sum.wanted += value.wanted;
            sum.served += value.served;
        }
        sum
    }

    /// The served share; 1 if nothing was wanted.
    fn served_share(self) -> f64 {
        if self.wanted > 0.0 {
            self.served / self.wanted
        } else {
            1.0
        }
    }
}

/// Value wanted and served, by second and by class.
pub struct ServiceAccounting {
    start: u64,
    tasks: HashMap<Arc<str>, Task>,
    by_second: Vec<Value>,
    /// The same for each class.
    by_second_of_class: Vec<Vec<Value>>,
    /// Seconds for which second copies ran; they earn nothing.
    pub duplicate_run_s: f64,
    /// Value lost to first starts that came late or never.
    late_start_loss: f64,
    /// Value lost to contention while tasks ran.
    contention_loss: f64,
}

/// Causes of lost service, as shares of the value that was wanted.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoss {
    /// First starts later than their objective, or none at all.
    pub late_start: f64,
    /// Time in which wanted tasks did not run.
    pub not_running: f64,
    /// Contention on the hosts of running tasks.
    pub contended: f64,
}

/// Service received, as shares of the value that was wanted.
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
    pub(crate) fn new(start: u64, class_count: usize) -> ServiceAccounting {
        ServiceAccounting {
            start,
            tasks: HashMap::new(),
            by_second: Vec::new(),
            by_second_of_class: vec![Vec::new(); class_count],
            duplicate_run_s: 0.0,
            late_start_loss: 0.0,
            contention_loss: 0.0,
        }
    }

    /// Adds a task that an owner wants.
    pub fn add_demand(&mut self, actor: &Arc<str>, demand: TaskDemand) {
        self.late_start_loss += demand.start_bonus;
        self.add_wanted(demand.class, demand.from_us, demand.start_bonus);
        let mut at = demand.from_us;
        while at < demand.until_us {
            let next = (at + SECOND_US).min(demand.until_us);
            let value = demand.value_per_s * (next - at) as f64 / 1e6;
            self.add_wanted(demand.class, at, value);
            at = next;
        }
        let served = ServedState::default();
        self.tasks.insert(actor.clone(), Task { demand, served });
    }

    /// Records that a copy of a task has started to run.
    pub fn record_start(&mut self, actor: &str, now: u64) {
        let Some(Task { demand, served }) = self.tasks.get_mut(actor) else {
            return;
        };
        served.running_copies += 1;
        if std::mem::replace(&mut served.has_started, true) {
            return;
        }
        let (demand, bonus) = (*demand, demand.bonus_of_start(now));
        self.late_start_loss -= bonus;
        self.add_served(demand.class, demand.from_us, bonus);
    }

    /// Records that a copy of a task has stopped running.
    pub fn record_end(&mut self, actor: &str) {
        if let Some(task) = self.tasks.get_mut(actor) {
            task.served.running_copies = task.served.running_copies.saturating_sub(1);
        }
    }

    /// Records that a copy of a task received this share of full service from one time to another, µs.
    pub fn record_service(&mut self, actor: &str, from: u64, to: u64, share: f64) {
        let Some(Task { demand, served }) = self.tasks.get_mut(actor) else {
            return;
        };
        let duration_us = to.saturating_sub(from);
        let from = from.max(served.served_until).max(demand.from_us);
        let to_wanted = to.min(demand.until_us);
        served.served_until = served.served_until.max(to);
        let span_s = to_wanted.saturating_sub(from) as f64 / 1e6;
        let (demand, copies) = (*demand, served.running_copies);
        if copies > 1 && span_s == 0.0 {
            self.duplicate_run_s += duration_us as f64 / 1e6;
        }
        self.contention_loss += demand.value_per_s * (1.0 - share) * span_s;
        let at = to_wanted.max(demand.from_us);
        self.add_served(demand.class, at, demand.value_per_s * share * span_s);
    }

    /// Whether any copy of a task is running.
    pub fn is_running(&self, actor: &str) -> bool {
        self.tasks
            .get(actor)
            .is_some_and(|task| task.served.running_copies > 0)
    }

    /// For each class, in order, the served share of the value that was wanted up to a time; 1 if nothing was wanted.
    pub fn service_by_class(&self, until: u64) -> Vec<f64> {
        let seconds = self.seconds_until(until);
        self.by_second_of_class
            .iter()
            .map(|values| Value::sum(values.iter().take(seconds)).served_share())
            .collect()
    }

    /// The causes of service lost up to a time.
    pub fn loss(&self, until: u64) -> ServiceLoss {
        let seconds = self.seconds_until(until);
        let total = Value::sum(self.by_second.iter().take(seconds));
        let share = |value: f64| value / total.wanted.max(f64::MIN_POSITIVE);
        let unserved = total.wanted - total.served;
        let not_running = (unserved - self.late_start_loss - self.contention_loss).max(0.0);
        ServiceLoss {
            late_start: share(self.late_start_loss),
            not_running: share(not_running),
            contended: share(self.contention_loss),
        }
    }

    /// The service received up to a time.
    pub fn service_shares(&self, until: u64) -> ServiceShares {
        let seconds = self.seconds_until(until);
        let share = |from: usize, to: usize| {
            let values = self.by_second.iter().take(to).skip(from);
            Value::sum(values).served_share()
        };
        let last = seconds.saturating_sub(10);
        ServiceShares {
            overall: share(0, seconds),
            worst_10_s: (0..=last)
                .map(|from| share(from, from + 10))
                .fold(1.0, f64::min),
            worst_class: self.service_by_class(until).into_iter().fold(1.0, f64::min),
        }
    }

    fn add_wanted(&mut self, class: usize, at: u64, value: f64) {
        for second in self.seconds_at(class, at) {
            second.wanted += value;
        }
    }

    fn add_served(&mut self, class: usize, at: u64, value: f64) {
        for second in self.seconds_at(class, at) {
            second.served += value;
        }
    }

    /// The second that contains a time, in the overall values and in those of a class.
    fn seconds_at(&mut self, class: usize, at: u64) -> [&mut Value; 2] {
        let second = (at.saturating_sub(self.start) / SECOND_US) as usize;
        [&mut self.by_second, &mut self.by_second_of_class[class]].map(|seconds| {
            if seconds.len() <= second {
                seconds.resize(second + 1, Value::default());
            }
            &mut seconds[second]
        })
    }

    fn seconds_until(&self, until: u64) -> usize {
        (until.saturating_sub(self.start) / SECOND_US) as usize
    }
}
