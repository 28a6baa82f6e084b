//! Troubles laid out: what each does to hosts, placers, inventory, catalogue and owners, and when.

use maplethread_config::HostState;
use maplethread_consul_standin::Faults as CatalogueFaults;

use crate::options::PlacerAct;
use crate::rack::Command;
use crate::scenario::{Scenario, Trouble, TroubleKind};
use crate::world::Dice;

/// Something that happens at a time of the day.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Host(Command),
    HostListed(usize, HostState),
    /// Changes a host's faults.
    Fault(usize, Fault, bool),
    Placer(PlacerAct),
    Garbage(&'static str),
    Flap(usize, bool),
    Catalogue(CatalogueFaults),
    LoseLeader(u64),
    HangUps(f64),
    Late(f64),
}

/// A fault of a host.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
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
fn sick_wave(acts: &mut Vec<(u64, Act)>, n: usize, host: usize, from: u64, period: u64) {
    let (bad, good, well) = (from + period / 10, from + period / 2, from + period * 3 / 4);
    acts.push((bad, Act::Flap(host, false)));
    acts.push((good, Act::Flap(host, true)));
    let mut ails = |fault: Fault| {
        acts.push((from, Act::Fault(host, fault.clone(), true)));
        acts.push((well, Act::Fault(host, fault, false)));
    };
    match n % 3 {
        0 => ails(Fault::Errors(0.7)),
        1 => {
            ails(Fault::Slow(40.0));
            acts.push((from, Act::Host(Command::ResetMidFrame(host))));
            acts.push((good + period / 8, Act::Host(Command::ResetMidFrame(host))));
        }
        _ => {
            acts.push((from, Act::Host(Command::Crash(host))));
            acts.push((good, Act::Host(Command::Start(host))));
        }
    }
}

/// What the troubles of a scenario do, in no order; who is struck is drawn.
pub(crate) fn plan(scenario: &Scenario, dice: &mut Dice) -> Vec<(u64, Act)> {
    Plan { scenario, dice }.all()
}

struct Plan<'a> {
    scenario: &'a Scenario,
    dice: &'a mut Dice,
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
    fn all(&mut self) -> Vec<(u64, Act)> {
        let scenario = self.scenario;
        let mut all = Vec::new();
        for trouble in &scenario.trouble {
            let at = (trouble.at_s * 1e6) as u64;
            let until = at + (trouble.for_s * 1e6) as u64;
            let mut acts: Vec<(u64, Act)> = Vec::new();
            let size = trouble.size;
            let both = |acts: &mut Vec<(u64, Act)>, host: usize, fault: Fault| {
                acts.push((at, Act::Fault(host, fault.clone(), true)));
                acts.push((until, Act::Fault(host, fault, false)));
            };
            match trouble.kind {
                TroubleKind::HostCrash | TroubleKind::ZoneLoss => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::Crash(host))));
                        acts.push((at, Act::HostListed(host, HostState::Gone)));
                        acts.push((until, Act::Host(Command::Start(host))));
                        acts.push((until + 1, Act::HostListed(host, HostState::Ready)));
                    }
                }
                TroubleKind::Silence => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Fault(host, Fault::Silent, true)));
                        acts.push((until, Act::Host(Command::Crash(host))));
                        acts.push((until + 1, Act::Fault(host, Fault::Silent, false)));
                        acts.push((until + 300_000, Act::Host(Command::Start(host))));
                        acts.push((until + 300_001, Act::HostListed(host, HostState::Ready)));
                    }
                }
                TroubleKind::RollingDeploy => {
                    let hosts = self.struck(trouble);
                    let batch = ((scenario.fleet.hosts as f64 * size).round() as usize).max(1);
                    let batches = hosts.len().div_ceil(batch).max(1) as u64;
                    let step = (until - at) / batches;
                    for (i, host) in hosts.into_iter().enumerate() {
                        let at = at + (i / batch) as u64 * step;
                        acts.push((at, Act::Host(Command::Drain(host))));
                        acts.push((at, Act::HostListed(host, HostState::Draining)));
                        acts.push((at + step / 2, Act::Host(Command::Crash(host))));
                        acts.push((at + step / 2 + 300_000, Act::Host(Command::Start(host))));
                        acts.push((
                            at + step / 2 + 300_001,
                            Act::HostListed(host, HostState::Ready),
                        ));
                    }
                }
                TroubleKind::Shrink => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::Drain(host))));
                        acts.push((at, Act::HostListed(host, HostState::Draining)));
                        acts.push((until, Act::Host(Command::Crash(host))));
                        acts.push((until, Act::HostListed(host, HostState::Gone)));
                    }
                }
                TroubleKind::FastErrors => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Errors(size));
                    }
                }
                TroubleKind::ClassErrors | TroubleKind::ClassSilence => {
                    let errors = trouble.kind == TroubleKind::ClassErrors;
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.class[0].rules.name.clone());
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Class(class.clone(), size, errors));
                    }
                }
                TroubleKind::AnswersLost => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::AnswersLost(size));
                    }
                }
                TroubleKind::Neighbour => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Neighbour(size));
                    }
                }
                TroubleKind::SlowAnswers => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::Slow(size));
                    }
                }
                TroubleKind::PlacerKill => {
                    let notice = scenario.demand.front_notice_ms * 1000;
                    for placer in self.struck_placers(trouble) {
                        acts.push((at, Act::Placer(PlacerAct::Kill(placer))));
                        acts.push((
                            (at + notice).min(until),
                            Act::Placer(PlacerAct::Noticed(placer)),
                        ));
                        acts.push((until + 1, Act::Placer(PlacerAct::Respawn(placer))));
                    }
                }
                TroubleKind::RollingRestart => {
                    let mut placers: Vec<usize> = (0..scenario.placers as usize).collect();
                    self.dice.shuffle(&mut placers);
                    let step = (until - at) / placers.len().max(1) as u64;
                    let notice = (scenario.demand.front_notice_ms * 1000).min(step / 2);
                    for (i, placer) in placers.into_iter().enumerate() {
                        let at = at + i as u64 * step;
                        acts.push((at, Act::Placer(PlacerAct::Kill(placer))));
                        acts.push((at + notice, Act::Placer(PlacerAct::Noticed(placer))));
                        acts.push((at + step / 2 + 1, Act::Placer(PlacerAct::Respawn(placer))));
                    }
                }
                TroubleKind::PlacerPause => {
                    for placer in self.struck_placers(trouble) {
                        acts.push((at, Act::Placer(PlacerAct::Pause(placer))));
                        acts.push((until, Act::Placer(PlacerAct::GoOn(placer))));
                    }
                }
                TroubleKind::PlacerStalls => {
                    let still = (size.max(0.05) * 1e6) as u64;
                    for placer in self.struck_placers(trouble) {
                        // Apart from one another; as long again and a second lie between two.
                        let mut from = at + self.dice.below(still as usize) as u64;
                        while from < until {
                            acts.push((from, Act::Placer(PlacerAct::Pause(placer))));
                            acts.push((
                                (from + still).min(until),
                                Act::Placer(PlacerAct::GoOn(placer)),
                            ));
                            from += 2 * still + 1_000_000;
                        }
                    }
                }
                TroubleKind::HeavyTail => {
                    let class = trouble
                        .class
                        .clone()
                        .unwrap_or_else(|| scenario.class[0].rules.name.clone());
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, Fault::HeavyTail(class.clone(), size));
                    }
                }
                TroubleKind::HotServices => {
                    for host in 0..scenario.fleet.hosts {
                        both(&mut acts, host, Fault::HotServices(size));
                    }
                }
                TroubleKind::ProgramsLost => {
                    for host in self.struck(trouble) {
                        both(&mut acts, host, Fault::ProgramsLost);
                    }
                }
                TroubleKind::ResetMidFrame => {
                    for host in self.struck(trouble) {
                        acts.push((at, Act::Host(Command::ResetMidFrame(host))));
                    }
                }
                TroubleKind::InventoryLate => {
                    acts.push((at, Act::Late(size.max(1.0))));
                    acts.push((until, Act::Late(1.0)));
                }
                TroubleKind::InventoryEmpty => {
                    acts.push((at, Act::Garbage("")));
                    acts.push((until, Act::Garbage("sound")));
                }
                TroubleKind::InventoryGarbage => {
                    acts.push((
                        at,
                        Act::Garbage("[[host]]\nname = \"host-00\"\nadress = \"?\u{0}\" [["),
                    ));
                    acts.push((until, Act::Garbage("sound")));
                }
                TroubleKind::HealthFlaps => {
                    let period = ((size.max(0.05)) * 1e6) as u64;
                    for host in self.struck(trouble) {
                        let offset = self.dice.below(period as usize) as u64;
                        let mut at = at + offset;
                        while at < until {
                            acts.push((at, Act::Flap(host, false)));
                            acts.push(((at + period / 2).min(until), Act::Flap(host, true)));
                            at += period;
                        }
                    }
                }
                TroubleKind::SickFlaps => {
                    let period = (size.max(0.2) * 1e6) as u64;
                    for (n, host) in self.struck(trouble).into_iter().enumerate() {
                        let mut from = at + self.dice.below(period as usize) as u64;
                        while from < until {
                            sick_wave(&mut acts, n, host, from, period);
                            from += period;
                        }
                    }
                }
                TroubleKind::LeaderLost => acts.push((at, Act::LoseLeader(until - at))),
                TroubleKind::CatalogueLate
                | TroubleKind::CatalogueStorm
                | TroubleKind::CatalogueCut
                | TroubleKind::CataloguePartial
                | TroubleKind::CatalogueStale => {
                    let none = CatalogueFaults::default;
                    let faults = match trouble.kind {
                        TroubleKind::CatalogueLate => CatalogueFaults {
                            late: (size * 1e6) as u64,
                            ..none()
                        },
                        TroubleKind::CatalogueStorm => CatalogueFaults {
                            storm: Some((size as u16, 1.0)),
                            ..none()
                        },
                        TroubleKind::CatalogueCut => CatalogueFaults { cut: 0.7, ..none() },
                        TroubleKind::CataloguePartial => CatalogueFaults {
                            partial: size,
                            ..none()
                        },
                        _ => CatalogueFaults {
                            index_back: size as u64,
                            ..none()
                        },
                    };
                    acts.push((at, Act::Catalogue(faults)));
                    acts.push((until, Act::Catalogue(none())));
                }
                // It is in the arrivals, which are drawn ahead.
                TroubleKind::Overload => {}
                TroubleKind::HangUps => {
                    acts.push((at, Act::HangUps(size)));
                    acts.push((until, Act::HangUps(0.0)));
                }
            }
            all.extend(acts);
        }
        all
    }
}
