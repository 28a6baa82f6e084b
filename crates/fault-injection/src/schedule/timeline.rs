//! Converts a schedule into timed steps for the network and for the placers' processes.

use maplethread_emulator::run_options::PlacerFault;
use maplethread_simnet::{Link, Network};

use super::{FaultKind, Schedule};

/// A change of the network's faults.
#[derive(Clone, Debug)]
pub enum NetworkStep {
    /// Sets the default link.
    SetDefaultLink(Link),
    /// Sets the link from the first placer to the second.
    SetLink(usize, usize, Link),
    /// Replaces the partitions; an empty list ends them.
    Partition(Vec<Vec<usize>>),
    /// Cuts the link from the first placer to the second, one way.
    Cut(usize, usize),
    /// Ends a one-way cut.
    Restore(usize, usize),
}

impl NetworkStep {
    /// Applies the change to a network.
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
    /// The changes of the network with their times in µs after the start of the run, sorted by time. After the last one
    /// the network has no faults.
    pub fn network_steps(&self) -> Vec<(u64, NetworkStep)> {
        let mut steps = Vec::new();
        for fault in &self.faults {
            let (at, until) = (
                to_micros(fault.at_s),
                to_micros(fault.at_s + fault.duration_s),
            );
            match &fault.kind {
                FaultKind::Loss {
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
                FaultKind::Late { share, by_s } => {
                    let link = Link {
                        late_probability: *share,
                        late_delay: to_micros(*by_s),
                        ..Link::default()
                    };
                    steps.push((at, NetworkStep::SetDefaultLink(link)));
                    steps.push((until, NetworkStep::SetDefaultLink(Link::default())));
                }
                FaultKind::Link {
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
                FaultKind::Partition { parts } => {
                    steps.push((at, NetworkStep::Partition(parts.clone())));
                    steps.push((until, NetworkStep::Partition(Vec::new())));
                }
                FaultKind::OneWay { from, to } => {
                    steps.push((at, NetworkStep::Cut(*from, *to)));
                    steps.push((until, NetworkStep::Restore(*from, *to)));
                }
                FaultKind::Unheard { placers } => {
                    for &from in placers {
                        for to in (0..self.placers).filter(|&to| to != from) {
                            steps.push((at, NetworkStep::Cut(from, to)));
                            steps.push((until, NetworkStep::Restore(from, to)));
                        }
                    }
                }
                FaultKind::Flap { from, to } => {
                    for second in 0..fault.duration_s as u64 {
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
                FaultKind::Kill { .. }
                | FaultKind::Lose { .. }
                | FaultKind::Pause { .. }
                | FaultKind::RollingRestart => {}
            }
        }
        steps.sort_by_key(|s| s.0);
        steps
    }

    /// The faults of the placers' processes with their times in µs after the start of the run, sorted by time.
    pub fn placer_faults(&self) -> Vec<(u64, PlacerFault)> {
        /// Delay after which the front layer detects a killed placer.
        const DETECTION_DELAY_US: u64 = 500_000;
        let mut faults = Vec::new();
        for fault in &self.faults {
            let (at, until) = (
                to_micros(fault.at_s),
                to_micros(fault.at_s + fault.duration_s),
            );
            match &fault.kind {
                FaultKind::Kill { placers } | FaultKind::Lose { placers } => {
                    for &placer in placers {
                        faults.push((at, PlacerFault::Kill(placer)));
                        faults.push((
                            (at + DETECTION_DELAY_US).min(until),
                            PlacerFault::MarkDown(placer),
                        ));
                        if matches!(fault.kind, FaultKind::Kill { .. }) {
                            faults.push((until + 1, PlacerFault::Restart(placer)));
                        }
                    }
                }
                FaultKind::Pause { placers } => {
                    for &placer in placers {
                        faults.push((at, PlacerFault::Pause(placer)));
                        faults.push((until, PlacerFault::Resume(placer)));
                    }
                }
                FaultKind::RollingRestart => {
                    let step = (until - at) / self.placers.max(1) as u64;
                    for placer in 0..self.placers {
                        let at = at + placer as u64 * step;
                        faults.push((at, PlacerFault::Terminate(placer)));
                        faults.push((at + step / 2, PlacerFault::KillIfRunning(placer)));
                        faults.push((at + step / 2 + 1, PlacerFault::Restart(placer)));
                    }
                }
                _ => {}
            }
        }
        faults.sort_by_key(|a| a.0);
        faults
    }
}
