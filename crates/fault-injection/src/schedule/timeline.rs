//! What a schedule does to the network and to placers, step by step.

use maplethread_emulator::run_options::PlacerFault;
use maplethread_simnet::{Link, Network};

use super::{Kind, Schedule};

/// A step of the network's faults.
#[derive(Clone, Debug)]
pub enum NetworkStep {
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

impl NetworkStep {
    /// Takes the step.
    pub fn apply(&self, network: &mut Network) {
        match self {
            NetworkStep::SetDefaultLink(link) => network.default_link = *link,
            NetworkStep::SetLink(from, to, link) => network.set_link(*from, *to, *link),
            NetworkStep::Partition(parts) => network.partition(parts),
            NetworkStep::Cut(from, to) => network.cut(*from, *to),
            NetworkStep::Restore(from, to) => network.restore(*from, *to),
        }
    }
}

fn to_micros(s: f64) -> u64 {
    (s * 1e6) as u64
}

impl Schedule {
    /// What befalls the network, µs after the drill began, in order. At the end of the faults it is whole.
    pub fn network_steps(&self) -> Vec<(u64, NetworkStep)> {
        let mut steps = Vec::new();
        for fault in &self.fault {
            let (at, until) = (to_micros(fault.at_s), to_micros(fault.at_s + fault.for_s));
            match &fault.kind {
                Kind::Loss {
                    share,
                    max_latency_ms,
                } => {
                    let max_latency = to_micros(max_latency_ms / 1000.0);
                    let link = Link {
                        loss_probability: *share,
                        duplicate_probability: 0.05,
                        max_latency,
                        ..Link::default()
                    };
                    steps.push((at, NetworkStep::SetDefaultLink(link)));
                    steps.push((until, NetworkStep::SetDefaultLink(Link::default())));
                }
                Kind::Late { share, by_s } => {
                    let link = Link {
                        late_probability: *share,
                        late_delay: to_micros(*by_s),
                        ..Link::default()
                    };
                    steps.push((at, NetworkStep::SetDefaultLink(link)));
                    steps.push((until, NetworkStep::SetDefaultLink(Link::default())));
                }
                Kind::Link {
                    from,
                    to,
                    share,
                    max_latency_ms,
                } => {
                    let max_latency = to_micros(max_latency_ms / 1000.0);
                    let link = Link {
                        loss_probability: *share,
                        max_latency,
                        ..Link::default()
                    };
                    steps.push((at, NetworkStep::SetLink(*from, *to, link)));
                    steps.push((until, NetworkStep::SetLink(*from, *to, Link::default())));
                }
                Kind::Partition { parts } => {
                    steps.push((at, NetworkStep::Partition(parts.clone())));
                    steps.push((until, NetworkStep::Partition(Vec::new())));
                }
                Kind::OneWay { from, to } => {
                    steps.push((at, NetworkStep::Cut(*from, *to)));
                    steps.push((until, NetworkStep::Restore(*from, *to)));
                }
                Kind::Unheard { placers } => {
                    for &from in placers {
                        for to in (0..self.placers).filter(|&to| to != from) {
                            steps.push((at, NetworkStep::Cut(from, to)));
                            steps.push((until, NetworkStep::Restore(from, to)));
                        }
                    }
                }
                Kind::Flap { from, to } => {
                    for second in 0..fault.for_s as u64 {
                        let at = at + second * 1_000_000;
                        let step: fn(usize, usize) -> NetworkStep = if second % 2 == 0 {
                            NetworkStep::Cut
                        } else {
                            NetworkStep::Restore
                        };
                        steps.push((at, step(*from, *to)));
                        steps.push((at, step(*to, *from)));
                    }
                    steps.push((until, NetworkStep::Restore(*from, *to)));
                    steps.push((until, NetworkStep::Restore(*to, *from)));
                }
                Kind::Kill { .. }
                | Kind::Lose { .. }
                | Kind::Pause { .. }
                | Kind::RollingRestart => {}
            }
        }
        steps.sort_by_key(|s| s.0);
        steps
    }

    /// What befalls placers, µs after the drill began.
    pub fn placer_faults(&self) -> Vec<(u64, PlacerFault)> {
        /// The front layer notices this long after.
        const NOTICE: u64 = 500_000;
        let mut acts = Vec::new();
        for fault in &self.fault {
            let (at, until) = (to_micros(fault.at_s), to_micros(fault.at_s + fault.for_s));
            match &fault.kind {
                Kind::Kill { placers } | Kind::Lose { placers } => {
                    for &placer in placers {
                        acts.push((at, PlacerFault::Kill(placer)));
                        acts.push(((at + NOTICE).min(until), PlacerFault::MarkDown(placer)));
                        if matches!(fault.kind, Kind::Kill { .. }) {
                            acts.push((until + 1, PlacerFault::Restart(placer)));
                        }
                    }
                }
                Kind::Pause { placers } => {
                    for &placer in placers {
                        acts.push((at, PlacerFault::Pause(placer)));
                        acts.push((until, PlacerFault::Resume(placer)));
                    }
                }
                Kind::RollingRestart => {
                    let step = (until - at) / self.placers.max(1) as u64;
                    for placer in 0..self.placers {
                        let at = at + placer as u64 * step;
                        acts.push((at, PlacerFault::Terminate(placer)));
                        acts.push((at + step / 2, PlacerFault::KillIfRunning(placer)));
                        acts.push((at + step / 2 + 1, PlacerFault::Restart(placer)));
                    }
                }
                _ => {}
            }
        }
        acts.sort_by_key(|a| a.0);
        acts
    }
}
