//! Executes the actions of the fault plan.

use std::io;

use maplethread_checker::Observation;
use maplethread_consul_emulator::Faults as CatalogueFaults;
use rustix::process::Signal;

use super::ScenarioRun;
use crate::fault_plan::{FaultAction, HostFault, InventoryContent};
use crate::host::{ClassFault, FaultyAnswer, HostFaults};
use crate::host_pool::HostCommand;
use crate::owners::Owners;
use crate::run_options::{PlacerFault, RunEvent};
use crate::settings::placer_name;

/// The catalogue server that returns lower indexes; all other catalogue faults affect every server.
const STALE_SERVER: usize = 1;

impl ScenarioRun<'_> {
    pub(super) fn apply_action(&mut self, action: FaultAction, owners: &Owners) -> io::Result<()> {
        tracing::debug!(?action, "applying fault action");
        match action {
            FaultAction::Host(command) => self.command_host(command),
            FaultAction::ListHost { host, state } => self.list_host(host, state),
            FaultAction::SetHostFault {
                host,
                fault,
                is_active,
            } => {
                let faults = &mut self.host_faults[host];
                set_host_fault(faults, fault, is_active);
                let command = HostCommand::SetFaults(host, faults.clone());
                self.host_pool.command(command);
            }
            FaultAction::Placer(fault) => {
                self.apply_placer_fault(fault, owners)?;
                self.notify(RunEvent::FaultInjected(self.context.clock.now(), fault));
            }
            FaultAction::SetHealth { host, is_healthy } => self.set_health(host, is_healthy)?,
            FaultAction::SetCatalogueFaults(faults) => self.set_catalogue_faults(faults),
            FaultAction::LoseCatalogueLeader { for_us } => {
                if let Some(servers) = &self.servers {
                    self.context.record(Observation::CatalogueLeaderLost {
                        duration_us: for_us,
                    });
                    servers.lose_leader(for_us);
                }
            }
            FaultAction::ReplaceInventory(content) if self.servers.is_some() => {
                self.set_catalogue_faults(as_catalogue_faults(content));
            }
            FaultAction::ReplaceInventory(content) => self.replace_inventory(content)?,
            FaultAction::SetDisconnectShare(share) => owners.behaviour().disconnect_share = share,
            FaultAction::SetInventoryDelay { factor } => {
                let normal_delay_us = self.scenario.fleet.inventory_delay_ms as f64 * 1000.0;
                self.listed.delay_us = (normal_delay_us * factor) as u64;
            }
        }
        Ok(())
    }

    fn command_host(&mut self, command: HostCommand) {
        match command {
            HostCommand::Drain(host) => drop(self.draining_hosts.insert(host)),
            HostCommand::Start(host) => drop(self.draining_hosts.remove(&host)),
            _ => {}
        }
        self.host_pool.command(command);
    }

    fn set_catalogue_faults(&self, faults: CatalogueFaults) {
        if let Some(servers) = &self.servers {
            let server = (faults.index_offset > 0).then_some(STALE_SERVER);
            servers.set_faults(server, faults);
        }
    }

    fn apply_placer_fault(&mut self, fault: PlacerFault, owners: &Owners) -> io::Result<()> {
        match fault {
            PlacerFault::Kill(number) => {
                if !self.placers.all[number].is_paused {
                    self.record_placer_stopped(number);
                    self.kill_placer(number)?;
                }
            }
            PlacerFault::MarkDown(number) => {
                if self.placers.all[number].child.is_none() {
                    owners.behaviour().placers[number].is_down = true;
                }
            }
            PlacerFault::Restart(number) => {
                if self.placers.all[number].child.is_none() {
                    self.spawn_placer(number)?;
                }
            }
            PlacerFault::Pause(number) => {
                if self.placers.all[number].child.is_some() {
                    self.context.record(Observation::PlacerPaused {
                        placer: placer_name(number).into(),
                    });
                    self.placers.signal(number, Signal::STOP)?;
                    self.placers.all[number].is_paused = true;
                }
            }
            PlacerFault::Resume(number) => {
                if std::mem::take(&mut self.placers.all[number].is_paused) {
                    self.placers.signal(number, Signal::CONT)?;
                    self.context.record(Observation::PlacerResumed {
                        placer: placer_name(number).into(),
                    });
                }
            }
            PlacerFault::Terminate(number) => {
                let placer = &self.placers.all[number];
                if placer.child.is_some() && !placer.is_paused {
                    // Recorded as stopped at once, so that requests which it does not answer while it exits do not
                    // count as violations. The load balancer marks it down at the same time.
                    self.record_placer_stopped(number);
                    owners.behaviour().placers[number].is_down = true;
                    self.placers.signal(number, Signal::TERM)?;
                }
            }
            PlacerFault::KillIfRunning(number) => self.kill_placer(number)?,
        }
        Ok(())
    }

    fn record_placer_stopped(&self, number: usize) {
        self.context.record(Observation::PlacerStopped {
            placer: placer_name(number).into(),
        });
    }

    fn kill_placer(&mut self, number: usize) -> io::Result<()> {
        if let Some(mut child) = self.placers.all[number].child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }
}

/// Sets or clears a fault of a host.
fn set_host_fault(faults: &mut HostFaults, fault: HostFault, is_active: bool) {
    let if_active = |value: f64| if is_active { value } else { 0.0 };
    let class_fault = |class, share, answer| {
        is_active.then_some(ClassFault {
            class,
            share,
            answer,
        })
    };
    match fault {
        HostFault::Silent => faults.is_silent = is_active,
        HostFault::Errors { share } => faults.error_share = if_active(share),
        HostFault::ClassErrors { class, share } => {
            faults.class_fault = class_fault(class, share, FaultyAnswer::Error);
        }
        HostFault::ClassSilence { class, share } => {
            faults.class_fault = class_fault(class, share, FaultyAnswer::Silence);
        }
        HostFault::AnswersLost { share } => faults.lost_answer_share = if_active(share),
        HostFault::NoisyNeighbour { core_share } => {
            faults.neighbour_core_share = if_active(core_share)
        }
        HostFault::SlowAdmission { factor } => faults.admission_slowdown = if_active(factor),
        HostFault::HeavyTail { class, share } => {
            faults.heavy_tail = is_active.then_some((class, share));
        }
        HostFault::HotServices { share } => faults.hot_service_share = if_active(share),
        HostFault::ProgramsLost => faults.has_lost_programs = is_active,
    }
}

/// The catalogue faults that correspond to the contents of an inventory file.
fn as_catalogue_faults(content: InventoryContent) -> CatalogueFaults {
    let mut faults = CatalogueFaults::default();
    match content {
        InventoryContent::Valid => {}
        InventoryContent::Empty => faults.empty_lists = true,
        InventoryContent::Invalid => faults.truncated_share = 1.0,
    }
    faults
}
