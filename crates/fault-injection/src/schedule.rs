//! Schedules of the network and process faults in a run, read from a TOML file or generated from a seed.

use maplethread_config::{ConfigErrors, Document, parse_toml};
use serde::{Deserialize, Serialize};

mod random;
#[cfg(test)]
mod tests;
mod timeline;

pub use timeline::NetworkStep;

/// The settings and the faults of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of placers.
    pub placers: usize,
    /// Number of emulated hosts on which they place tasks.
    #[serde(default = "default_hosts")]
    pub hosts: usize,
    /// Length of the first phase of the run, in which all faults begin and end, s.
    #[serde(rename = "faults_s")]
    pub fault_phase_s: f64,
    /// Time after the faults within which all placers must have the same view, s.
    #[serde(default = "default_settle_s")]
    pub settle_s: f64,
    /// Factor by which the members' intervals and timeouts are shorter than in production.
    #[serde(default = "default_speedup")]
    #[serde(rename = "faster")]
    pub speedup: u32,
    /// Time after which members that are gone are removed from memory, s.
    #[serde(default = "default_forget_after_s")]
    pub forget_after_s: u64,
    /// The faults.
    #[serde(default)]
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

fn default_forget_after_s() -> u64 {
    600
}

fn default_hosts() -> usize {
    12
}
fn default_settle_s() -> f64 {
    20.0
}
fn default_speedup() -> u32 {
    4
}

/// A fault and the time span in which it is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, s after the start of the run.
    pub at_s: f64,
    /// How long it lasts, s.
    #[serde(rename = "for_s")]
    pub duration_s: f64,
    /// The kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

/// The kind of a fault. Placers are identified by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// Every link loses this share of the datagrams, duplicates 5%, and has this maximum latency.
    Loss {
        /// The share that is lost, 0 to 1.
        share: f64,
        /// The maximum latency, ms.
        #[serde(rename = "most_ms")]
        max_latency_ms: f64,
    },
    /// Every link delivers this share of the datagrams late.
    Late {
        /// The share that is late, 0 to 1.
        share: f64,
        /// The additional delay, s.
        by_s: f64,
    },
    /// The link from one placer to another loses datagrams and has a higher latency.
    Link {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The share that is lost, 0 to 1.
        share: f64,
        /// The maximum latency, ms.
        #[serde(rename = "most_ms")]
        max_latency_ms: f64,
    },
    /// Nothing is delivered between these partitions. Placers that are not listed belong to the first one.
    Partition {
        /// The placers of each partition.
        parts: Vec<Vec<usize>>,
    },
    /// Nothing is delivered from one placer to the other; the reverse direction works.
    OneWay {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// These placers receive everything, but nothing that they send is delivered.
    Unheard {
        /// Their numbers.
        placers: Vec<usize>,
    },
    /// The link between two placers is alternately cut and restored, for a second each.
    Flap {
        /// One end of the link.
        from: usize,
        /// The other end.
        to: usize,
    },
    /// These placers are killed, and restarted at the end of the fault.
    Kill {
        /// Their numbers.
        placers: Vec<usize>,
    },
    /// These placers are killed and not restarted.
    Lose {
        /// Their numbers.
        placers: Vec<usize>,
    },
    /// These placers are paused, and resumed at the end of the fault.
    Pause {
        /// Their numbers.
        placers: Vec<usize>,
    },
    /// All placers are terminated and restarted, one after the other.
    RollingRestart,
}

impl Schedule {
    /// Parses and validates a schedule.
    ///
    /// # Errors
    ///
    /// If the document is not a valid schedule. All invalid values are reported together.
    pub fn parse(document: Document<'_>) -> Result<Schedule, ConfigErrors> {
        let schedule: Schedule = parse_toml(document)?;
        let mut errors = Vec::new();
        let mut check = |is_valid: bool, key: String, message: &str| {
            if !is_valid {
                errors.push(document.error(&key, message));
            }
        };
        check(
            (1..=64).contains(&schedule.placers),
            "placers".into(),
            "must be 1 to 64",
        );
        check(
            (1..=400).contains(&schedule.hosts),
            "hosts".into(),
            "must be 1 to 400",
        );
        check(
            (1..=20).contains(&schedule.speedup),
            "faster".into(),
            "must be 1 to 20",
        );
        check(
            schedule.forget_after_s >= 15,
            "forget_after_s".into(),
            "must be at least 15",
        );
        let is_valid_time = |s: f64| s.is_finite() && (0.0..=3600.0).contains(&s);
        check(
            is_valid_time(schedule.fault_phase_s),
            "faults_s".into(),
            "must be 0 to 3600",
        );
        check(
            is_valid_time(schedule.settle_s) && schedule.settle_s >= 1.0,
            "settle_s".into(),
            "must be 1 to 3600",
        );
        for (n, fault) in schedule.faults.iter().enumerate() {
            let has_valid_times = is_valid_time(fault.at_s) && is_valid_time(fault.duration_s);
            check(
                has_valid_times,
                format!("fault[{n}].at_s"),
                "times must be 0 to 3600 s",
            );
            let ends_in_time = fault.at_s + fault.duration_s <= schedule.fault_phase_s;
            check(
                ends_in_time,
                format!("fault[{n}].for_s"),
                "the fault must end before faults_s",
            );
            let share = match fault.kind {
                FaultKind::Loss { share, .. }
                | FaultKind::Late { share, .. }
                | FaultKind::Link { share, .. } => share,
                _ => 0.0,
            };
            check(
                (0.0..=1.0).contains(&share),
                format!("fault[{n}].share"),
                "must be 0 to 1",
            );
            let are_placers_valid = fault.placers().iter().all(|&p| p < schedule.placers);
            check(
                are_placers_valid,
                format!("fault[{n}]"),
                "placer numbers must be less than `placers`",
            );
        }
        if errors.is_empty() {
            Ok(schedule)
        } else {
            Err(ConfigErrors(errors))
        }
    }
}

impl Fault {
    fn placers(&self) -> Vec<usize> {
        match &self.kind {
            FaultKind::Partition { parts } => parts.iter().flatten().copied().collect(),
            FaultKind::OneWay { from, to }
            | FaultKind::Flap { from, to }
            | FaultKind::Link { from, to, .. } => {
                vec![*from, *to]
            }
            FaultKind::Unheard { placers }
            | FaultKind::Kill { placers }
            | FaultKind::Lose { placers }
            | FaultKind::Pause { placers } => placers.clone(),
            FaultKind::Loss { .. } | FaultKind::Late { .. } | FaultKind::RollingRestart => {
                Vec::new()
            }
        }
    }
}
