//! What befalls a drill's network and placers, and when: from a TOML file or drawn from a seed.

use maplethread_config::{ConfigErrors, Document, parse_toml};
use serde::{Deserialize, Serialize};

mod random;
#[cfg(test)]
mod tests;
mod timeline;

pub use timeline::NetworkStep;

/// A drill.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Placers.
    pub placers: usize,
    /// Stand-in hosts on which they place.
    #[serde(default = "hosts")]
    pub hosts: usize,
    /// Faults stop after this, s.
    pub faults_s: f64,
    /// Then all has to be settled within this, s.
    #[serde(default = "settle")]
    pub settle_s: f64,
    /// The members' periods are so many times as short as usual.
    #[serde(default = "faster")]
    pub faster: u32,
    /// Members that are gone are forgotten after this, s.
    #[serde(default = "forget_after")]
    pub forget_after_s: u64,
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

fn forget_after() -> u64 {
    600
}

fn hosts() -> usize {
    12
}
fn settle() -> f64 {
    20.0
}
fn faster() -> u32 {
    4
}

/// A fault, from one time to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, s after the drill did.
    pub at_s: f64,
    /// How long it lasts, s.
    pub for_s: f64,
    /// What it is.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Kinds of faults. Placers go by their numbers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Kind {
    /// Every link loses this share, duplicates a twentieth, and takes up to so many ms.
    Loss {
        /// The share.
        share: f64,
        /// The longest latency, ms.
        #[serde(rename = "most_ms")]
        max_latency_ms: f64,
    },
    /// This share comes so much later.
    Late {
        /// The share.
        share: f64,
        /// By so much, s.
        by_s: f64,
    },
    /// The link from one to another is worse than the others.
    Link {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// The share that is lost.
        share: f64,
        /// The longest latency, ms.
        #[serde(rename = "most_ms")]
        max_latency_ms: f64,
    },
    /// Nothing comes through between these parts; who is not named is in the first.
    Partition {
        /// The parts.
        parts: Vec<Vec<usize>>,
    },
    /// Nothing comes from one to the other; the way back stays.
    OneWay {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// These hear all and are heard by none.
    Unheard {
        /// Who.
        placers: Vec<usize>,
    },
    /// The link between two is cut and whole in turn, a second each.
    Flap {
        /// One end.
        from: usize,
        /// The other.
        to: usize,
    },
    /// These are killed, and start again at the end.
    Kill {
        /// Who.
        placers: Vec<usize>,
    },
    /// These are killed for good.
    Lose {
        /// Who.
        placers: Vec<usize>,
    },
    /// These stand still.
    Pause {
        /// Who.
        placers: Vec<usize>,
    },
    /// All are told to end and started again, one after the other.
    RollingRestart,
}

impl Schedule {
    /// Reads and checks a schedule; all that is wrong is told at once.
    pub fn parse(doc: Document<'_>) -> Result<Schedule, ConfigErrors> {
        let schedule: Schedule = parse_toml(doc)?;
        let mut wrong = Vec::new();
        let mut check = |fine: bool, key: String, message: &str| {
            if !fine {
                wrong.push(doc.error(&key, message));
            }
        };
        check(
            (1..=64).contains(&schedule.placers),
            "placers".into(),
            "1 to 64",
        );
        check(
            (1..=400).contains(&schedule.hosts),
            "hosts".into(),
            "1 to 400",
        );
        check(
            (1..=20).contains(&schedule.faster),
            "faster".into(),
            "1 to 20",
        );
        check(
            schedule.forget_after_s >= 15,
            "forget_after_s".into(),
            "at least 15",
        );
        let time = |s: f64| s.is_finite() && (0.0..=3600.0).contains(&s);
        check(time(schedule.faults_s), "faults_s".into(), "0 to 3600");
        check(
            time(schedule.settle_s) && schedule.settle_s >= 1.0,
            "settle_s".into(),
            "1 to 3600",
        );
        for (n, fault) in schedule.fault.iter().enumerate() {
            let sound = time(fault.at_s) && time(fault.for_s);
            check(sound, format!("fault[{n}].at_s"), "times are 0 to 3600 s");
            let ends = fault.at_s + fault.for_s <= schedule.faults_s;
            check(
                ends,
                format!("fault[{n}].for_s"),
                "it has to be over before faults_s",
            );
            let share = match fault.kind {
                Kind::Loss { share, .. } | Kind::Late { share, .. } | Kind::Link { share, .. } => {
                    share
                }
                _ => 0.0,
            };
            check(
                (0.0..=1.0).contains(&share),
                format!("fault[{n}].share"),
                "0 to 1",
            );
            let known = fault.placers().iter().all(|&p| p < schedule.placers);
            check(
                known,
                format!("fault[{n}]"),
                "placers are counted from 0 to below `placers`",
            );
        }
        if wrong.is_empty() {
            Ok(schedule)
        } else {
            Err(ConfigErrors(wrong))
        }
    }
}

impl Fault {
    fn placers(&self) -> Vec<usize> {
        match &self.kind {
            Kind::Partition { parts } => parts.iter().flatten().copied().collect(),
            Kind::OneWay { from, to } | Kind::Flap { from, to } | Kind::Link { from, to, .. } => {
                vec![*from, *to]
            }
            Kind::Unheard { placers }
            | Kind::Kill { placers }
            | Kind::Lose { placers }
            | Kind::Pause { placers } => placers.clone(),
            Kind::Loss { .. } | Kind::Late { .. } | Kind::RollingRestart => Vec::new(),
        }
    }
}
