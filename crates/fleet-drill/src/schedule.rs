//! What befalls a drill's network and placers, and when: from a TOML file or drawn from a seed.

use maplethread_config::{ConfigErrors, Doc, parse};
use maplethread_simnet::{Link, Network};
use maplethread_standin::options::PlacerAct;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

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

/// A step of the network's faults.
#[derive(Clone, Debug)]
pub enum Step {
    /// The default link is this from now on.
    SetDefaultLink(Link),
    /// The link from one to the other is this from now on.
    SetLink(usize, usize, Link),
    /// Partitions, in place of earlier ones.
    Partition(Vec<Vec<usize>>),
    /// A one-way cut.
    Cut(usize, usize),
    /// The end of it.
    Restore(usize, usize),
}

impl Step {
    /// Takes the step.
    pub fn apply(&self, network: &mut Network) {
        match self {
            Step::SetDefaultLink(link) => network.default_link = *link,
            Step::SetLink(from, to, link) => network.set_link(*from, *to, *link),
            Step::Partition(parts) => network.partition(parts),
            Step::Cut(from, to) => network.cut(*from, *to),
            Step::Restore(from, to) => network.restore(*from, *to),
        }
    }
}

fn us(s: f64) -> u64 {
    (s * 1e6) as u64
}

impl Schedule {
    /// Reads and checks a schedule; all that is wrong is told at once.
    pub fn parse(doc: Doc<'_>) -> Result<Schedule, ConfigErrors> {
        let schedule: Schedule = parse(doc)?;
        let mut wrong = Vec::new();
        let mut check = |fine: bool, key: String, message: &str| {
            if !fine {
                wrong.push(doc.error(&key, message));
            }
        };
        check((1..=64).contains(&schedule.placers), "placers".into(), "1 to 64");
        check((1..=400).contains(&schedule.hosts), "hosts".into(), "1 to 400");
        check((1..=20).contains(&schedule.faster), "faster".into(), "1 to 20");
        check(schedule.forget_after_s >= 15, "forget_after_s".into(), "at least 15");
        let time = |s: f64| s.is_finite() && (0.0..=3600.0).contains(&s);
        check(time(schedule.faults_s), "faults_s".into(), "0 to 3600");
        check(time(schedule.settle_s) && schedule.settle_s >= 1.0, "settle_s".into(), "1 to 3600");
        for (n, fault) in schedule.fault.iter().enumerate() {
            let sound = time(fault.at_s) && time(fault.for_s);
            check(sound, format!("fault[{n}].at_s"), "times are 0 to 3600 s");
            let ends = fault.at_s + fault.for_s <= schedule.faults_s;
            check(ends, format!("fault[{n}].for_s"), "it has to be over before faults_s");
            let share = match fault.kind {
                Kind::Loss { share, .. } | Kind::Late { share, .. } | Kind::Link { share, .. } => share,
                _ => 0.0,
            };
            check((0.0..=1.0).contains(&share), format!("fault[{n}].share"), "0 to 1");
            let known = fault.placers().iter().all(|&p| p < schedule.placers);
            check(known, format!("fault[{n}]"), "placers are counted from 0 to below `placers`");
        }
        if wrong.is_empty() { Ok(schedule) } else { Err(ConfigErrors(wrong)) }
    }

    /// A schedule drawn from a seed: which kinds exist at all is drawn too.
    pub fn drawn(seed: u64, placers: usize, faults_s: f64) -> Schedule {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x00f1_ee70);
        let mut draw = move |below: u64| (rng.next_u64() % below.max(1)) as usize;
        let kinds = draw(1 << 9);
        let mut fault = Vec::new();
        // A placer is killed, lost or paused at most once, so that the drill knows at any time which it is.
        let mut free: Vec<usize> = (0..placers).collect();
        let mut rolls = false;
        for _ in 0..3 + draw(6) {
            let at_s = 1.0 + draw(((faults_s - 4.0).max(1.0) * 10.0) as u64) as f64 / 10.0;
            let for_s = (1.0 + draw(80) as f64 / 10.0).min(faults_s - at_s - 0.5);
            let (from, to) = (draw(placers as u64), draw(placers as u64));
            let kind = match draw(10) {
                9 if from != to => Kind::Link {
                    from,
                    to,
                    share: draw(100) as f64 / 100.0,
                    max_latency_ms: 5.0 + draw(500) as f64,
                },
                0 if kinds & 1 != 0 => {
                    Kind::Loss { share: draw(25) as f64 / 100.0, max_latency_ms: 5.0 + draw(60) as f64 }
                }
                1 if kinds & 2 != 0 => Kind::Late { share: draw(10) as f64 / 100.0, by_s: draw(15) as f64 },
                2 if kinds & 4 != 0 => {
                    let mut parts = vec![Vec::new(); 2 + draw(2)];
                    let ways = parts.len() as u64;
                    (0..placers).for_each(|p| parts[draw(ways)].push(p));
                    Kind::Partition { parts }
                }
                3 if kinds & 8 != 0 && from != to => Kind::OneWay { from, to },
                4 if kinds & 16 != 0 => Kind::Unheard { placers: vec![from] },
                5 if kinds & 32 != 0 && from != to => Kind::Flap { from, to },
                6 if kinds & 64 != 0 && !rolls && free.len() > 1 => {
                    Kind::Kill { placers: some(&mut draw, &mut free, placers / 2) }
                }
                7 if kinds & 128 != 0 && !rolls && free.len() > 2 => {
                    Kind::Lose { placers: some(&mut draw, &mut free, 2) }
                }
                8 if kinds & 256 != 0 && !rolls && free.len() > 1 => {
                    Kind::Pause { placers: some(&mut draw, &mut free, placers / 3) }
                }
                _ if kinds & 448 == 0 && !rolls && free.len() == placers && for_s > 3.0 => {
                    rolls = true;
                    Kind::RollingRestart
                }
                _ => continue,
            };
            fault.push(Fault { at_s, for_s, kind });
        }
        Schedule {
            placers,
            hosts: hosts(),
            faults_s,
            settle_s: settle(),
            faster: faster(),
            forget_after_s: forget_after(),
            fault,
        }
    }

    /// What befalls the network, µs after the drill began, in order. At the end of the faults it is whole.
    pub fn steps(&self) -> Vec<(u64, Step)> {
        let mut steps = Vec::new();
        for fault in &self.fault {
            let (at, until) = (us(fault.at_s), us(fault.at_s + fault.for_s));
            match &fault.kind {
                Kind::Loss { share, max_latency_ms } => {
                    let max_latency = us(max_latency_ms / 1000.0);
                    let link = Link { loss: *share, duplicate: 0.05, max_latency, ..Link::default() };
                    steps.push((at, Step::SetDefaultLink(link)));
                    steps.push((until, Step::SetDefaultLink(Link::default())));
                }
                Kind::Late { share, by_s } => {
                    let link = Link { late: *share, late_by: us(*by_s), ..Link::default() };
                    steps.push((at, Step::SetDefaultLink(link)));
                    steps.push((until, Step::SetDefaultLink(Link::default())));
                }
                Kind::Link { from, to, share, max_latency_ms } => {
                    let max_latency = us(max_latency_ms / 1000.0);
                    let link = Link { loss: *share, max_latency, ..Link::default() };
                    steps.push((at, Step::SetLink(*from, *to, link)));
                    steps.push((until, Step::SetLink(*from, *to, Link::default())));
                }
                Kind::Partition { parts } => {
                    steps.push((at, Step::Partition(parts.clone())));
                    steps.push((until, Step::Partition(Vec::new())));
                }
                Kind::OneWay { from, to } => {
                    steps.push((at, Step::Cut(*from, *to)));
                    steps.push((until, Step::Restore(*from, *to)));
                }
                Kind::Unheard { placers } => {
                    for &from in placers {
                        for to in (0..self.placers).filter(|&to| to != from) {
                            steps.push((at, Step::Cut(from, to)));
                            steps.push((until, Step::Restore(from, to)));
                        }
                    }
                }
                Kind::Flap { from, to } => {
                    for second in 0..fault.for_s as u64 {
                        let at = at + second * 1_000_000;
                        let step: fn(usize, usize) -> Step =
                            if second % 2 == 0 { Step::Cut } else { Step::Restore };
                        steps.push((at, step(*from, *to)));
                        steps.push((at, step(*to, *from)));
                    }
                    steps.push((until, Step::Restore(*from, *to)));
                    steps.push((until, Step::Restore(*to, *from)));
                }
                Kind::Kill { .. } | Kind::Lose { .. } | Kind::Pause { .. } | Kind::RollingRestart => {}
            }
        }
        steps.sort_by_key(|s| s.0);
        steps
    }

    /// What befalls placers, µs after the drill began.
    pub fn acts(&self) -> Vec<(u64, PlacerAct)> {
        /// The front layer notices this long after.
        const NOTICE: u64 = 500_000;
        let mut acts = Vec::new();
        for fault in &self.fault {
            let (at, until) = (us(fault.at_s), us(fault.at_s + fault.for_s));
            match &fault.kind {
                Kind::Kill { placers } | Kind::Lose { placers } => {
                    for &placer in placers {
                        acts.push((at, PlacerAct::Kill(placer)));
                        acts.push(((at + NOTICE).min(until), PlacerAct::Noticed(placer)));
                        if matches!(fault.kind, Kind::Kill { .. }) {
                            acts.push((until + 1, PlacerAct::Respawn(placer)));
                        }
                    }
                }
                Kind::Pause { placers } => {
                    for &placer in placers {
                        acts.push((at, PlacerAct::Pause(placer)));
                        acts.push((until, PlacerAct::GoOn(placer)));
                    }
                }
                Kind::RollingRestart => {
                    let step = (until - at) / self.placers.max(1) as u64;
                    for placer in 0..self.placers {
                        let at = at + placer as u64 * step;
                        acts.push((at, PlacerAct::End(placer)));
                        acts.push((at + step / 2, PlacerAct::Reap(placer)));
                        acts.push((at + step / 2 + 1, PlacerAct::Respawn(placer)));
                    }
                }
                _ => {}
            }
        }
        acts.sort_by_key(|a| a.0);
        acts
    }
}

/// Takes some of the free ones, at most so many.
fn some(draw: &mut impl FnMut(u64) -> usize, free: &mut Vec<usize>, max: usize) -> Vec<usize> {
    let n = (1 + draw(max.max(1) as u64)).min(free.len());
    (0..n).map(|_| free.swap_remove(draw(free.len() as u64))).collect()
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

#[cfg(test)]
mod tests {
    use super::*;

    fn faults(text: &str) -> String {
        Schedule::parse(Doc { file: "f", text }).map_or_else(|e| e.to_string(), |_| String::new())
    }

    #[test]
    fn drawn_schedules_are_sound_and_survive_being_written() {
        for seed in 0..300 {
            let drawn = Schedule::drawn(seed, 8, 20.0);
            let text = toml::to_string(&drawn).expect("TOML");
            assert_eq!(Schedule::parse(Doc { file: "f", text: &text }).expect("sound"), drawn, "{text}");
        }
    }

    #[test]
    fn what_is_wrong_is_named() {
        let with = |fault: &str| faults(&format!("placers = 4\nfaults_s = 9.0\n[[fault]]\n{fault}\n"));
        let kill = "kind = \"kill\"\nplacers = [0, 3]";
        assert_eq!(with(&format!("at_s = 1.0\nfor_s = 2.0\n{kill}")), "");
        assert!(with(&format!("at_s = 8.0\nfor_s = 2.0\n{kill}")).contains("before faults_s"));
        assert!(with("at_s = 1.0\nfor_s = 2.0\nkind = \"kill\"\nplacers = [4]").contains("fault[0]"));
        assert!(
            with("at_s = 1.0\nfor_s = 2.0\nkind = \"loss\"\nshare = 2.0\nmost_ms = 1.0").contains("share")
        );
        assert!(!with(&format!("at_s = 1.0\nfor_s = 2.0\nspeed = 3\n{kill}")).is_empty());
        assert!(!with("at_s = 1.0\nfor_s = 2.0\nkind = \"earthquake\"").is_empty());
        assert!(faults("placers = 0\nfaults_s = -1.0").lines().count() == 2);
    }
}
