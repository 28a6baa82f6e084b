//! Troubles laid out: what each does to hosts, placers, inventory, catalogue and owners, and when.

use maplethread_config::HostState;
use maplethread_consul_emulator::Faults as CatalogueFaults;

use crate::rack::HostCommand;
use crate::run_options::PlacerFault;
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::world::SeededRng;

/// Something that happens at a time of the day.
#[derive(Clone, Debug)]
pub(crate) enum ScheduledAction {
    Host(HostCommand),
    HostListed(usize, HostState),
    /// Changes a host's faults.
    SetHostFault(usize, HostFault, bool),
    PlacerFault(PlacerFault),
    Garbage(&'static str),
    SetHealth(usize, bool),
    Catalogue(CatalogueFaults),
    LoseLeader(u64),
    HangUps(f64),
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
fn sick_wave(
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
    Plan { scenario, dice }.all()
}

struct Plan<'a> {
    scenario: &'a Scenario,
    dice: &'a mut SeededRng,
}

impl Plan<'_> {
    /// Draws the hosts that a trouble strikes.
    fn struck(&mut self, trouble: &Trouble) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.fleet.hosts).collect();
        if let Some(zone) = &trouble.zone {
            all.retain(|&h| self.scenario.place_of(h).0 == *zone);
            if trouble.reach == 0.0 {
                return all;
            }
        }
        self.dice.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    fn struck_placers(&mut self, trouble: &Trouble) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.scenario.placers as usize).collect();
        self.dice.shuffle(&mut all);
        let n = (all.len() as f64 * trouble.reach).round().max(1.0) as usize;
        all.truncate(n);
        all
    }

    /// What each trouble does, and when.
    fn all(&mut self) -> Vec<(u64, ScheduledAction)> {
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
                TroubleKind::HostCrash | TroubleKind::ZoneLoss => {
                    for host in self.struck(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::Crash(host))));
                        acts.push((at, ScheduledAction::HostListed(host, HostState::Gone)));
                        acts.push((until, ScheduledAction::Host(HostCommand::Start(host))));
                        acts.push((
                            until + 1,
                            ScheduledAction::HostListed(host, HostState::Ready),
                        ));
                    }
                }
                TroubleKind::Silence => {
                    for host in self.struck(trouble) {
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
                            ScheduledAction::HostListed(host, HostState::Ready),
                        ));
                    }
                }
                TroubleKind::RollingDeploy => {
                    let hosts = self.struck(trouble);
                    let batch = ((scenario.fleet.hosts as f64 * size).round() as usize).max(1);
                    let batches = hosts.len().div_ceil(batch).max(1) as u64;
                    let step = (until - at) / batches;
                    for (i, host) in hosts.into_iter().enumerate() {
                        let at = at + (i / batch) as u64 * step;
                        acts.push((at, ScheduledAction::Host(HostCommand::Drain(host))));
                        acts.push((at, ScheduledAction::HostListed(host, HostState::Draining)));
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
                            ScheduledAction::HostListed(host, HostState::Ready),
                        ));
                    }
                }
                TroubleKind::Shrink => {
                    for host in self.struck(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::Drain(host))));
                        acts.push((at, ScheduledAction::HostListed(host, HostState::Draining)));
                        acts.push((until, ScheduledAction::Host(HostCommand::Crash(host))));
                        acts.push((until, ScheduledAction::HostListed(host, HostState::Gone)));
                    }
                }
                TroubleKind::FastErrors => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, HostFault::Errors(size));
                    }
                }
                TroubleKind::ClassErrors | TroubleKind::ClassSilence => {
                    let errors = trouble.kind == TroubleKind::ClassErrors;
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.classes[0].rules.name.clone());
                    for host in self.struck(trouble) {
                        both(
                            &mut acts,
                            host,
                            HostFault::Class(class.clone(), size, errors),
                        );
                    }
                }
                TroubleKind::AnswersLost => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, HostFault::AnswersLost(size));
                    }
                }
                TroubleKind::Neighbour => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, HostFault::Neighbour(size));
                    }
                }
                TroubleKind::SlowAnswers => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, HostFault::Slow(size));
                    }
                }
                TroubleKind::PlacerKill => {
                    let notice = scenario.demand.failover_delay_ms * 1000;
                    for placer in self.struck_placers(trouble) {
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
                TroubleKind::RollingRestart => {
                    let mut placers: Vec<usize> = (0..scenario.placers as usize).collect();
                    self.dice.shuffle(&mut placers);
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
                TroubleKind::PlacerPause => {
                    for placer in self.struck_placers(trouble) {
                        acts.push((at, ScheduledAction::PlacerFault(PlacerFault::Pause(placer))));
                        acts.push((
                            until,
                            ScheduledAction::PlacerFault(PlacerFault::Resume(placer)),
                        ));
                    }
                }
                TroubleKind::PlacerStalls => {
                    let still = (size.max(0.05) * 1e6) as u64;
                    for placer in self.struck_placers(trouble) {
                        // Apart from one another; as long again and a second lie between two.
                        let mut from = at + self.dice.index_below(still as usize) as u64;
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
                TroubleKind::HeavyTail => {
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.classes[0].rules.name.clone());
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, HostFault::HeavyTail(class.clone(), size));
                    }
                }
                TroubleKind::HotServices => {
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, HostFault::HotServices(size));
                    }
                }
                TroubleKind::ProgramsLost => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, HostFault::ProgramsLost);
                    }
                }
                TroubleKind::ResetMidFrame => {
                    for host in self.struck(trouble) {
                        acts.push((at, ScheduledAction::Host(HostCommand::ResetMidFrame(host))));
                    }
                }
                TroubleKind::InventoryLate => {
                    acts.push((at, ScheduledAction::SetInventoryDelay(size.max(1.0))));
                    acts.push((until, ScheduledAction::SetInventoryDelay(1.0)));
                }
                TroubleKind::InventoryEmpty => {
                    acts.push((at, ScheduledAction::Garbage("")));
                    acts.push((until, ScheduledAction::Garbage("sound")));
                }
                TroubleKind::InventoryGarbage => {
                    acts.push((
                        at,
                        ScheduledAction::Garbage(
                            "[[host]]\nname = \"host-00\"\nadress = \"?\u{0}\" [[",
                        ),
                    ));
                    acts.push((until, ScheduledAction::Garbage("sound")));
                }
                TroubleKind::HealthFlaps => {
                    let period = ((size.max(0.05)) * 1e6) as u64;
                    for host in self.struck(trouble) {
                        let offset = self.dice.index_below(period as usize) as u64;
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
                TroubleKind::SickFlaps => {
                    let period = (size.max(0.2) * 1e6) as u64;
                    for (n, host) in self.struck(trouble).into_iter().enumerate() {
                        let mut from = at + self.dice.index_below(period as usize) as u64;
                        while from < until {
                            sick_wave(&mut acts, n, host, from, period);
                            from += period;
                        }
                    }
                }
                TroubleKind::LeaderLost => acts.push((at, ScheduledAction::LoseLeader(until - at))),
                TroubleKind::CatalogueLate
                | TroubleKind::CatalogueStorm
                | TroubleKind::CatalogueCut
                | TroubleKind::CataloguePartial
                | TroubleKind::CatalogueStale => {
                    let none = CatalogueFaults::default;
                    let faults = match trouble.kind {
                        TroubleKind::CatalogueLate => CatalogueFaults {
                            delay_us: (size * 1e6) as u64,
                            ..none()
                        },
                        TroubleKind::CatalogueStorm => CatalogueFaults {
                            error_status: Some((size as u16, 1.0)),
                            ..none()
                        },
                        TroubleKind::CatalogueCut => CatalogueFaults {
                            truncated_share: 0.7,
                            ..none()
                        },
                        TroubleKind::CataloguePartial => CatalogueFaults {
                            partial_share: size,
                            ..none()
                        },
                        _ => CatalogueFaults {
                            index_offset: size as u64,
                            ..none()
                        },
                    };
                    acts.push((at, ScheduledAction::Catalogue(faults)));
                    acts.push((until, ScheduledAction::Catalogue(none())));
                }
                // It is in the arrivals, which are drawn ahead.
                TroubleKind::Overload => {}
                TroubleKind::HangUps => {
                    acts.push((at, ScheduledAction::HangUps(size)));
                    acts.push((until, ScheduledAction::HangUps(0.0)));
                }
            }
            all.extend(acts);
        }
        all
    }
}
