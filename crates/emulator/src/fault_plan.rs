//! Expands the faults of a scenario into single actions on hosts, placers, inventory, catalogue and owners, each with
//! its time.

use maplethread_config::HostState;
use maplethread_consul_emulator::Faults as CatalogueFaults;

use crate::host_pool::HostCommand;
use crate::run_options::PlacerFault;
use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::seeded_rng::SeededRng;

#[cfg(test)]
mod tests;

/// Time that a host stays down after its crash before it restarts, µs; for silent hosts and rolling deploys.
const RESTART_DELAY_US: u64 = 300_000;
/// Minimum length of one pause of a placer that is paused repeatedly, s.
const MIN_STALL_S: f64 = 0.05;
/// Minimum period of health flaps, s.
const MIN_FLAP_S: f64 = 0.05;
/// Minimum period of health flaps of a host that really fails, s.
const MIN_FAILING_FLAP_S: f64 = 0.2;
/// Share of the catalogue's answers that are truncated under a `CatalogueTruncated` fault.
const TRUNCATED_ANSWER_SHARE: f64 = 0.7;

/// The contents of the inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum InventoryContent {
    /// The listed states of the hosts.
    Valid,
    /// An empty file.
    Empty,
    /// Text that cannot be parsed as an inventory.
    Invalid,
}

/// A fault of a host.
#[derive(Clone, Debug)]
pub(crate) enum HostFault {
    Silent,
    Errors { share: f64 },
    ClassErrors { class: String, share: f64 },
    ClassSilence { class: String, share: f64 },
    AnswersLost { share: f64 },
    NoisyNeighbour { core_share: f64 },
    SlowAdmission { factor: f64 },
    HeavyTail { class: String, share: f64 },
    HotServices { share: f64 },
    ProgramsLost,
}

/// An action that injects a fault or ends one.
#[derive(Clone, Debug)]
pub(crate) enum FaultAction {
    Host(HostCommand),
    /// The inventory lists a host in this state after its delay.
    ListHost {
        host: usize,
        state: HostState,
    },
    SetHostFault {
        host: usize,
        fault: HostFault,
        is_active: bool,
    },
    Placer(PlacerFault),
    ReplaceInventory(InventoryContent),
    /// The health of a host changes, if the host is up and listed accordingly.
    SetHealth {
        host: usize,
        is_healthy: bool,
    },
    SetCatalogueFaults(CatalogueFaults),
    LoseCatalogueLeader {
        for_us: u64,
    },
    /// This share of the requests is abandoned by an early disconnect.
    SetDisconnectShare(f64),
    /// The inventory lists changes later by this factor.
    SetInventoryDelay {
        factor: f64,
    },
}

/// An action with its time.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledAction {
    /// When, µs after the start of the run.
    pub(crate) at_us: u64,
    pub(crate) action: FaultAction,
}

/// The actions of all faults of a scenario, unordered. The hosts and placers that they affect are drawn at random.
pub(crate) fn plan(scenario: &Scenario, rng: &mut SeededRng) -> Vec<ScheduledAction> {
    let mut plan = Plan {
        scenario,
        rng,
        actions: Vec::new(),
    };
    for fault in &scenario.faults {
        plan.add_fault(fault);
    }
    plan.actions
}

/// The time of a fault, µs after the start of the run.
#[derive(Clone, Copy)]
struct Window {
    from: u64,
    until: u64,
}

impl Window {
    fn of(fault: &ScheduledFault) -> Window {
        let from = (fault.at_s * 1e6) as u64;
        Window {
            from,
            until: from + (fault.duration_s * 1e6) as u64,
        }
    }

    fn length(self) -> u64 {
        self.until - self.from
    }
}

struct Plan<'a> {
    scenario: &'a Scenario,
    rng: &'a mut SeededRng,
    actions: Vec<ScheduledAction>,
}

impl Plan<'_> {
    fn add_fault(&mut self, fault: &ScheduledFault) {
        let window = Window::of(fault);
        match fault.kind {
            FaultKind::HostCrash | FaultKind::ZoneLoss => self.crash_hosts(fault, window),
            FaultKind::Silence => self.silence_hosts(fault, window),
            FaultKind::RollingDeploy => self.deploy_hosts(fault, window),
            FaultKind::FleetShrink => self.remove_hosts(fault, window),
            FaultKind::ResetMidFrame => self.reset_connections(fault, window),
            FaultKind::FastErrors
            | FaultKind::ClassErrors
            | FaultKind::ClassSilence
            | FaultKind::AnswersLost
            | FaultKind::NoisyNeighbour
            | FaultKind::SlowAdmission
            | FaultKind::ProgramsLost => {
                let hosts = self.affected_hosts(fault);
                self.set_host_faults(fault, window, hosts);
            }
            FaultKind::HeavyTail | FaultKind::HotServices => {
                let hosts = (0..self.scenario.fleet.hosts).collect();
                self.set_host_faults(fault, window, hosts);
            }
            FaultKind::HealthFlaps => self.flap_health(fault, window),
            FaultKind::FailingHostFlaps => self.flap_failing_hosts(fault, window),
            FaultKind::PlacerKill => self.kill_placers(fault, window),
            FaultKind::RollingRestart => self.restart_placers(window),
            FaultKind::PlacerPause => self.pause_placers(fault, window),
            FaultKind::PlacerStalls => self.stall_placers(fault, window),
            FaultKind::InventoryDelay
            | FaultKind::InventoryEmpty
            | FaultKind::InventoryInvalid
            | FaultKind::EarlyDisconnects => self.set_during_window(fault, window),
            FaultKind::CatalogueDelay
            | FaultKind::CatalogueErrors
            | FaultKind::CatalogueTruncated
            | FaultKind::CataloguePartial
            | FaultKind::CatalogueStale => self.set_catalogue_faults(fault, window),
            FaultKind::CatalogueLeaderLost => {
                let for_us = window.length();
                self.add(window.from, FaultAction::LoseCatalogueLeader { for_us });
            }
            // Already part of the arrivals, which are drawn before the run.
            FaultKind::Overload => {}
        }
    }

    fn add(&mut self, at_us: u64, action: FaultAction) {
        self.actions.push(ScheduledAction { at_us, action });
    }

    fn add_host(&mut self, at_us: u64, command: HostCommand) {
        self.add(at_us, FaultAction::Host(command));
    }

    fn add_listing(&mut self, at_us: u64, host: usize, state: HostState) {
        self.add(at_us, FaultAction::ListHost { host, state });
    }

    fn add_placer(&mut self, at_us: u64, fault: PlacerFault) {
        self.add(at_us, FaultAction::Placer(fault));
    }

    fn add_host_fault(&mut self, window: Window, host: usize, fault: &HostFault) {
        for (at_us, is_active) in [(window.from, true), (window.until, false)] {
            let fault = fault.clone();
            self.add(
                at_us,
                FaultAction::SetHostFault {
                    host,
                    fault,
                    is_active,
                },
            );
        }
    }

    /// Draws the hosts that a fault affects; all hosts of its zone if it has a zone and no share.
    fn affected_hosts(&mut self, fault: &ScheduledFault) -> Vec<usize> {
        let mut hosts: Vec<usize> = (0..self.scenario.fleet.hosts).collect();
        if let Some(zone) = &fault.zone {
            hosts.retain(|&host| self.scenario.location_of(host).0 == *zone);
            if fault.affected_share == 0.0 {
                return hosts;
            }
        }
        self.draw_share(hosts, fault.affected_share)
    }

    /// Draws the placers that a fault affects.
    fn affected_placers(&mut self, fault: &ScheduledFault) -> Vec<usize> {
        let placers = (0..self.scenario.placers as usize).collect();
        self.draw_share(placers, fault.affected_share)
    }

    /// Draws a share of the items, at least one.
    fn draw_share(&mut self, mut all: Vec<usize>, share: f64) -> Vec<usize> {
        self.rng.shuffle(&mut all);
        let count = (all.len() as f64 * share).round().max(1.0) as usize;
        all.truncate(count);
        all
    }

    fn crash_hosts(&mut self, fault: &ScheduledFault, window: Window) {
        for host in self.affected_hosts(fault) {
            self.add_host(window.from, HostCommand::Crash(host));
            self.add_listing(window.from, host, HostState::Gone);
            self.add_host(window.until, HostCommand::Start(host));
            self.add_listing(window.until + 1, host, HostState::Ready);
        }
    }

    fn silence_hosts(&mut self, fault: &ScheduledFault, window: Window) {
        for host in self.affected_hosts(fault) {
            let set = |is_active| FaultAction::SetHostFault {
                host,
                fault: HostFault::Silent,
                is_active,
            };
            let restart = window.until + RESTART_DELAY_US;
            self.add(window.from, set(true));
            self.add_host(window.until, HostCommand::Crash(host));
            self.add(window.until + 1, set(false));
            self.add_host(restart, HostCommand::Start(host));
            self.add_listing(restart + 1, host, HostState::Ready);
        }
    }

    fn deploy_hosts(&mut self, fault: &ScheduledFault, window: Window) {
        let hosts = self.affected_hosts(fault);
        let fleet = self.scenario.fleet.hosts as f64;
        let batch_size = ((fleet * fault.intensity).round() as usize).max(1);
        let batch_count = hosts.len().div_ceil(batch_size).max(1) as u64;
        let step = window.length() / batch_count;
        for (position, host) in hosts.into_iter().enumerate() {
            let drain = window.from + (position / batch_size) as u64 * step;
            let crash = drain + step / 2;
            let restart = crash + RESTART_DELAY_US;
            self.add_host(drain, HostCommand::Drain(host));
            self.add_listing(drain, host, HostState::Draining);
            self.add_host(crash, HostCommand::Crash(host));
            self.add_host(restart, HostCommand::Start(host));
            self.add_listing(restart + 1, host, HostState::Ready);
        }
    }

    fn remove_hosts(&mut self, fault: &ScheduledFault, window: Window) {
        for host in self.affected_hosts(fault) {
            self.add_host(window.from, HostCommand::Drain(host));
            self.add_listing(window.from, host, HostState::Draining);
            self.add_host(window.until, HostCommand::Crash(host));
            self.add_listing(window.until, host, HostState::Gone);
        }
    }

    fn reset_connections(&mut self, fault: &ScheduledFault, window: Window) {
        for host in self.affected_hosts(fault) {
            self.add_host(window.from, HostCommand::ResetMidFrame(host));
        }
    }

    /// Sets a fault of these hosts for the whole window.
    fn set_host_faults(&mut self, fault: &ScheduledFault, window: Window, hosts: Vec<usize>) {
        let Some(host_fault) = self.host_fault(fault) else {
            return;
        };
        for host in hosts {
            self.add_host_fault(window, host, &host_fault);
        }
    }

    fn host_fault(&self, fault: &ScheduledFault) -> Option<HostFault> {
        let share = fault.intensity;
        let class = || {
            let first = || self.scenario.classes[0].placer_class.name.clone();
            fault.class.clone().unwrap_or_else(first)
        };
        Some(match fault.kind {
            FaultKind::FastErrors => HostFault::Errors { share },
            FaultKind::ClassErrors => HostFault::ClassErrors {
                class: class(),
                share,
            },
            FaultKind::ClassSilence => HostFault::ClassSilence {
                class: class(),
                share,
            },
            FaultKind::AnswersLost => HostFault::AnswersLost { share },
            FaultKind::NoisyNeighbour => HostFault::NoisyNeighbour { core_share: share },
            FaultKind::SlowAdmission => HostFault::SlowAdmission {
                factor: fault.intensity,
            },
            FaultKind::HeavyTail => HostFault::HeavyTail {
                class: class(),
                share,
            },
            FaultKind::HotServices => HostFault::HotServices { share },
            FaultKind::ProgramsLost => HostFault::ProgramsLost,
            _ => return None,
        })
    }

    fn flap_health(&mut self, fault: &ScheduledFault, window: Window) {
        let period = (fault.intensity.max(MIN_FLAP_S) * 1e6) as u64;
        for host in self.affected_hosts(fault) {
            let mut at = window.from + self.rng.index_below(period as usize) as u64;
            while at < window.until {
                let back_at = (at + period / 2).min(window.until);
                for (at, is_healthy) in [(at, false), (back_at, true)] {
                    self.add(at, FaultAction::SetHealth { host, is_healthy });
                }
                at += period;
            }
        }
    }

    fn flap_failing_hosts(&mut self, fault: &ScheduledFault, window: Window) {
        let period = (fault.intensity.max(MIN_FAILING_FLAP_S) * 1e6) as u64;
        for (position, host) in self.affected_hosts(fault).into_iter().enumerate() {
            let mut from = window.from + self.rng.index_below(period as usize) as u64;
            while from < window.until {
                self.add_failing_flap(position, host, from, period);
                from += period;
            }
        }
    }

    /// One flap of a host that really fails: the fault begins a tenth of the period before the health shows it, and
    /// ends a quarter of the period after the health is back. The position among the affected hosts selects the fault.
    fn add_failing_flap(&mut self, position: usize, host: usize, from: u64, period: u64) {
        let (unhealthy, healthy) = (from + period / 10, from + period / 2);
        let fault_window = Window {
            from,
            until: from + period * 3 / 4,
        };
        for (at, is_healthy) in [(unhealthy, false), (healthy, true)] {
            self.add(at, FaultAction::SetHealth { host, is_healthy });
        }
        match position % 3 {
            0 => self.add_host_fault(fault_window, host, &HostFault::Errors { share: 0.7 }),
            1 => {
                let slow = HostFault::SlowAdmission { factor: 40.0 };
                self.add_host_fault(fault_window, host, &slow);
                self.add_host(from, HostCommand::ResetMidFrame(host));
                self.add_host(healthy + period / 8, HostCommand::ResetMidFrame(host));
            }
            _ => {
                self.add_host(from, HostCommand::Crash(host));
                self.add_host(healthy, HostCommand::Start(host));
            }
        }
    }

    fn kill_placers(&mut self, fault: &ScheduledFault, window: Window) {
        let failover = self.scenario.demand.failover_delay_ms * 1000;
        for placer in self.affected_placers(fault) {
            let noticed = (window.from + failover).min(window.until);
            self.add_placer(window.from, PlacerFault::Kill(placer));
            self.add_placer(noticed, PlacerFault::MarkDown(placer));
            self.add_placer(window.until + 1, PlacerFault::Restart(placer));
        }
    }

    fn restart_placers(&mut self, window: Window) {
        let mut placers: Vec<usize> = (0..self.scenario.placers as usize).collect();
        self.rng.shuffle(&mut placers);
        let step = window.length() / placers.len().max(1) as u64;
        let failover = (self.scenario.demand.failover_delay_ms * 1000).min(step / 2);
        for (position, placer) in placers.into_iter().enumerate() {
            let at = window.from + position as u64 * step;
            self.add_placer(at, PlacerFault::Kill(placer));
            self.add_placer(at + failover, PlacerFault::MarkDown(placer));
            self.add_placer(at + step / 2 + 1, PlacerFault::Restart(placer));
        }
    }

    fn pause_placers(&mut self, fault: &ScheduledFault, window: Window) {
        for placer in self.affected_placers(fault) {
            self.add_placer(window.from, PlacerFault::Pause(placer));
            self.add_placer(window.until, PlacerFault::Resume(placer));
        }
    }

    fn stall_placers(&mut self, fault: &ScheduledFault, window: Window) {
        let pause = (fault.intensity.max(MIN_STALL_S) * 1e6) as u64;
        for placer in self.affected_placers(fault) {
            // A random offset per placer, so that placers pause at different times. The time between two pauses is the
            // length of a pause plus 1 s.
            let mut from = window.from + self.rng.index_below(pause as usize) as u64;
            while from < window.until {
                let until = (from + pause).min(window.until);
                self.add_placer(from, PlacerFault::Pause(placer));
                self.add_placer(until, PlacerFault::Resume(placer));
                from += 2 * pause + 1_000_000;
            }
        }
    }

    /// Faults that are set at the beginning of the window and reset at its end.
    fn set_during_window(&mut self, fault: &ScheduledFault, window: Window) {
        let (begin, end) = match fault.kind {
            FaultKind::InventoryDelay => (
                FaultAction::SetInventoryDelay {
                    factor: fault.intensity.max(1.0),
                },
                FaultAction::SetInventoryDelay { factor: 1.0 },
            ),
            FaultKind::InventoryEmpty => (
                FaultAction::ReplaceInventory(InventoryContent::Empty),
                FaultAction::ReplaceInventory(InventoryContent::Valid),
            ),
            FaultKind::InventoryInvalid => (
                FaultAction::ReplaceInventory(InventoryContent::Invalid),
                FaultAction::ReplaceInventory(InventoryContent::Valid),
            ),
            _ => (
                FaultAction::SetDisconnectShare(fault.intensity),
                FaultAction::SetDisconnectShare(0.0),
            ),
        };
        self.add(window.from, begin);
        self.add(window.until, end);
    }

    fn set_catalogue_faults(&mut self, fault: &ScheduledFault, window: Window) {
        let mut faults = CatalogueFaults::default();
        match fault.kind {
            FaultKind::CatalogueDelay => faults.delay_us = (fault.intensity * 1e6) as u64,
            FaultKind::CatalogueErrors => faults.error_status = Some((fault.intensity as u16, 1.0)),
            FaultKind::CatalogueTruncated => faults.truncated_share = TRUNCATED_ANSWER_SHARE,
            FaultKind::CataloguePartial => faults.partial_share = fault.intensity,
            _ => faults.index_offset = fault.intensity as u64,
        }
        self.add(window.from, FaultAction::SetCatalogueFaults(faults));
        let none = CatalogueFaults::default();
        self.add(window.until, FaultAction::SetCatalogueFaults(none));
    }
}
