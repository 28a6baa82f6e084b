//! Troubles laid out: what each does to hosts, placers, inventory, catalogue and owners, and when.

use maplethread_config::HostState;
use maplethread_consul_emulator::Faults as CatalogueFaults;

use crate::rack::HostCommand;
use crate::run_options::PlacerFault;
use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::world::SeededRng;

/// Something that happens at a time of the day.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledAction {
    Host(HostCommand),
    ListHost(usize, HostState),
    /// Changes a host's faults.
    SetHostFault(usize, HostFault, bool),
    PlacerFault(PlacerFault),
    ReplaceInventory(&'static str),
    SetHealth(usize, bool),
    SetCatalogueFaults(CatalogueFaults),
    LoseCatalogueLeader(u64),
    SetDisconnectShare(f64),
    SetInventoryDelay(f64),
}

/// A fault of a host.
#[derive(Clone, Debug)]
pub(crate) enum HostFault {
    Silent,
    Errors(f64),
    Class(String, f64, bool),
    AnswersLost(f64),
    Neighbour(f64),
    Slow(f64),
    HeavyTail(String, f64),
    HotServices(f64),
    ProgramsLost,
}

/// One wave of a host that is truly poor: what ails it begins a tenth of the period before its health shows it, and
/// ends a quarter of the period after its health is back.
fn failing_flap(
    acts: &mut Vec<(u64, ScheduledAction)>,
    n: usize,
    host: usize,
    from: u64,
    period: u64,
) {
    let (bad, good, well) = (from + period / 10, from + period / 2, from + period * 3 / 4);
    acts.push((bad, ScheduledAction::SetHealth(host, false)));
    acts.push((good, ScheduledAction::SetHealth(host, true)));
    let mut ails = |fault: HostFault| {
        acts.push((
            from,
            ScheduledAction::SetHostFault(host, fault.clone(), true),
        ));
        acts.push((well, ScheduledAction::SetHostFault(host, fault, false)));
    };
    match n % 3 {
        0 => ails(HostFault::Errors(0.7)),
        1 => {
            ails(HostFault::Slow(40.0));
            acts.push((
                from,
                ScheduledAction::Host(HostCommand::ResetMidFrame(host)),
            ));
            acts.push((
                good + period / 8,
                ScheduledAction::Host(HostCommand::ResetMidFrame(host)),
            ));
        }
        _ => {
            acts.push((from, ScheduledAction::Host(HostCommand::Crash(host))));
            acts.push((good, ScheduledAction::Host(HostCommand::Start(host))));
        }
    }
}

/// What the troubles of a scenario do, in no order; who is struck is drawn.
pub(crate) fn plan(scenario: &Scenario, dice: &mut SeededRng) -> Vec<(u64, ScheduledAction)> {
    Plan {
        scenario,
        rng: dice,
    }
    .actions()
}

struct Plan<'a> {
    scenario: &'a Scenario,
    rng: &'a mut SeededRng,
}

impl Plan<'_> {
    /// Draws the hosts that a trouble strikes.
    fn affected_hosts(&mut self, trouble: &ScheduledFault) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.fleet.hosts).collect();
        if let Some(zone) = &trouble.zone {
            all.retain(|&h| self.scenario.location_of(h).0 == *zone);
            if trouble.reach == 0.0 {
                return all;
            }
        }
        self.rng.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    fn affected_placers(&mut self, trouble: &ScheduledFault) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.placers as usize).collect();
        self.rng.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    /// What each trouble does, and when.
    fn actions(&mut self) -> Vec<(u64, ScheduledAction)> {
        let scenario = self.scenario;
        let mut all = Vec::new();
        for trouble in &scenario.trouble {
            let at = (trouble.at_s * 1e6) as u64;
            let until = at + (trouble.for_s * 1e6) as u64;
            let mut acts: Vec<(u64, ScheduledAction)> = Vec::new();
            let size = trouble.size;
            let both = |acts: &mut Vec<(u64, ScheduledAction)>, host: usize, fault: HostFault| {
                acts.push((at, ScheduledAction::SetHostFault(host, fault.clone(), true)));
                acts.push((until, ScheduledAction::SetHostFault(host, fault, false)));
            };
            match trouble.kind {
                FaultKind::HostCrash | FaultKind::ZoneLoss => {
                    for host in self.affected_hosts(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::Crash(host))));
                        acts.push((at, ScheduledAction::ListHost(host, HostState::Gone)));
                        acts.push((until, ScheduledAction::Host(HostCommand::Start(host))));
                        acts.push((until + 1, ScheduledAction::ListHost(host, HostState::Ready)));
                    }
                }
                FaultKind::Silence => {
                    for host in self.affected_hosts(trouble) {
                        acts.push((
                            at,
                            ScheduledAction::SetHostFault(host, HostFault::Silent, true),
                        ));
                        acts.push((until, ScheduledAction::Host(HostCommand::Crash(host))));
                        acts.push((
                            until + 1,
                            ScheduledAction::SetHostFault(host, HostFault::Silent, false),
                        ));
                        acts.push((
                            until + 300_000,
                            ScheduledAction::Host(HostCommand::Start(host)),
                        ));
                        acts.push((
                            until + 300_001,
                            ScheduledAction::ListHost(host, HostState::Ready),
                        ));
                    }
                }
                FaultKind::RollingDeploy => {
                    let hosts = self.affected_hosts(trouble);
                    let batch = ((scenario.fleet.hosts as f64 * size).round() as usize).max(1);
                    let batches = hosts.len().div_ceil(batch).max(1) as u64;
                    let step = (until - at) / batches;
                    for (i, host) in hosts.into_iter().enumerate() {
                        let at = at + (i / batch) as u64 * step;
                        acts.push((at, ScheduledAction::Host(HostCommand::Drain(host))));
                        acts.push((at, ScheduledAction::ListHost(host, HostState::Draining)));
                        acts.push((
                            at + step / 2,
                            ScheduledAction::Host(HostCommand::Crash(host)),
                        ));
                        acts.push((
                            at + step / 2 + 300_000,
                            ScheduledAction::Host(HostCommand::Start(host)),
                        ));
                        acts.push((
                            at + step / 2 + 300_001,
                            ScheduledAction::ListHost(host, HostState::Ready),
                        ));
                    }
                }
                FaultKind::Shrink => {
                    for host in self.affected_hosts(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::Drain(host))));
                        acts.push((at, ScheduledAction::ListHost(host, HostState::Draining)));
                        acts.push((until, ScheduledAction::Host(HostCommand::Crash(host))));
                        acts.push((until, ScheduledAction::ListHost(host, HostState::Gone)));
                    }
                }
                FaultKind::FastErrors => {
                    for host in self.affected_hosts(trouble) {
                        both(&mut acts, host, HostFault::Errors(size));
                    }
                }
                FaultKind::ClassErrors | FaultKind::ClassSilence => {
                    let errors = trouble.kind == FaultKind::ClassErrors;
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.classes[0].rules.name.clone());
                    for host in self.affected_hosts(trouble) {
                        both(
                            &mut acts,
                            host,
                            HostFault::Class(class.clone(), size, errors),
                        );
                    }
                }
                FaultKind::AnswersLost => {
                    for host in self.affected_hosts(trouble) {
                        both(&mut acts, host, HostFault::AnswersLost(size));
                    }
                }
                FaultKind::Neighbour => {
                    for host in self.affected_hosts(trouble) {
                        both(&mut acts, host, HostFault::Neighbour(size));
                    }
                }
                FaultKind::SlowAnswers => {
                    for host in self.affected_hosts(trouble) {
                        both(&mut acts, host, HostFault::Slow(size));
                    }
                }
                FaultKind::PlacerKill => {
                    let notice = scenario.demand.failover_delay_ms * 1000;
                    for placer in self.affected_placers(trouble) {
                        acts.push((at, ScheduledAction::PlacerFault(PlacerFault::Kill(placer))));
                        acts.push((
                            (at + notice).min(until),
                            ScheduledAction::PlacerFault(PlacerFault::MarkDown(placer)),
                        ));
                        acts.push((
                            until + 1,
                            ScheduledAction::PlacerFault(PlacerFault::Restart(placer)),
                        ));
                    }
                }
                FaultKind::RollingRestart => {
                    let mut placers: Vec<usize> = (0..scenario.placers as usize).collect();
                    self.rng.shuffle(&mut placers);
                    let step = (until - at) / placers.len().max(1) as u64;
                    let notice = (scenario.demand.failover_delay_ms * 1000).min(step / 2);
                    for (i, placer) in placers.into_iter().enumerate() {
                        let at = at + i as u64 * step;
                        acts.push((at, ScheduledAction::PlacerFault(PlacerFault::Kill(placer))));
                        acts.push((
                            at + notice,
                            ScheduledAction::PlacerFault(PlacerFault::MarkDown(placer)),
                        ));
                        acts.push((
                            at + step / 2 + 1,
                            ScheduledAction::PlacerFault(PlacerFault::Restart(placer)),
                        ));
                    }
                }
                FaultKind::PlacerPause => {
                    for placer in self.affected_placers(trouble) {
                        acts.push((at, ScheduledAction::PlacerFault(PlacerFault::Pause(placer))));
                        acts.push((
                            until,
                            ScheduledAction::PlacerFault(PlacerFault::Resume(placer)),
                        ));
                    }
                }
                FaultKind::PlacerStalls => {
                    let still = (size.max(0.05) * 1e6) as u64;
                    for placer in self.affected_placers(trouble) {
                        // Apart from one another; as long again and a second lie between two.
                        let mut from = at + self.rng.index_below(still as usize) as u64;
                        while from < until {
                            acts.push((
                                from,
                                ScheduledAction::PlacerFault(PlacerFault::Pause(placer)),
                            ));
                            acts.push((
                                (from + still).min(until),
                                ScheduledAction::PlacerFault(PlacerFault::Resume(placer)),
                            ));
                            from += 2 * still + 1_000_000;
                        }
                    }
                }
                FaultKind::HeavyTail => {
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.classes[0].rules.name.clone());
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, HostFault::HeavyTail(class.clone(), size));
                    }
                }
                FaultKind::HotServices => {
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, HostFault::HotServices(size));
                    }
                }
                FaultKind::ProgramsLost => {
                    for host in self.affected_hosts(trouble) {
                        both(&mut acts, host, HostFault::ProgramsLost);
                    }
                }
                FaultKind::ResetMidFrame => {
                    for host in self.affected_hosts(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::ResetMidFrame(host))));
                    }
                }
                FaultKind::InventoryLate => {
                    acts.push((at, ScheduledAction::SetInventoryDelay(size.max(1.0))));
                    acts.push((until, ScheduledAction::SetInventoryDelay(1.0)));
                }
                FaultKind::InventoryEmpty => {
                    acts.push((at, ScheduledAction::ReplaceInventory("")));
                    acts.push((until, ScheduledAction::ReplaceInventory("sound")));
                }
                FaultKind::InventoryGarbage => {
                    acts.push((
                        at,
                        ScheduledAction::ReplaceInventory(
                            "[[host]]\nname = \"host-00\"\nadress = \"?\u{0}\" [[",
                        ),
                    ));
                    acts.push((until, ScheduledAction::ReplaceInventory("sound")));
                }
                FaultKind::HealthFlaps => {
                    let period = ((size.max(0.05)) * 1e6) as u64;
                    for host in self.affected_hosts(trouble) {
                        let offset = self.rng.index_below(period as usize) as u64;
                        let mut at = at + offset;
                        while at < until {
                            acts.push((at, ScheduledAction::SetHealth(host, false)));
                            acts.push((
                                (at + period / 2).min(until),
                                ScheduledAction::SetHealth(host, true),
                            ));
                            at += period;
                        }
                    }
                }
                FaultKind::SickFlaps => {
                    let period = (size.max(0.2) * 1e6) as u64;
                    for (n, host) in self.affected_hosts(trouble).into_iter().enumerate() {
                        let mut from = at + self.rng.index_below(period as usize) as u64;
                        while from < until {
                            failing_flap(&mut acts, n, host, from, period);
                            from += period;
                        }
                    }
                }
                FaultKind::LeaderLost => {
                    acts.push((at, ScheduledAction::LoseCatalogueLeader(until - at)))
                }
                FaultKind::CatalogueLate
                | FaultKind::CatalogueStorm
                | FaultKind::CatalogueCut
                | FaultKind::CataloguePartial
                | FaultKind::CatalogueStale => {
                    let none = CatalogueFaults::default;
                    let faults = match trouble.kind {
                        FaultKind::CatalogueLate => CatalogueFaults {
                            delay_us: (size * 1e6) as u64,
                            ..none()
                        },
                        FaultKind::CatalogueStorm => CatalogueFaults {
                            error_status: Some((size as u16, 1.0)),
                            ..none()
                        },
                        FaultKind::CatalogueCut => CatalogueFaults {
                            truncated_share: 0.7,
                            ..none()
                        },
                        FaultKind::CataloguePartial => CatalogueFaults {
                            partial_share: size,
                            ..none()
                        },
                        _ => CatalogueFaults {
                            index_offset: size as u64,
                            ..none()
                        },
                    };
                    acts.push((at, ScheduledAction::SetCatalogueFaults(faults)));
                    acts.push((until, ScheduledAction::SetCatalogueFaults(none())));
                }
                // It is in the arrivals, which are drawn ahead.
                FaultKind::Overload => {}
                FaultKind::HangUps => {
                    acts.push((at, ScheduledAction::SetDisconnectShare(size)));
                    acts.push((until, ScheduledAction::SetDisconnectShare(0.0)));
                }
            }
            all.extend(acts);
        }
        all
    }
}
