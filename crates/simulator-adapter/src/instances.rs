//! The placers that the simulator runs, and the host lists that it has sent.

use std::collections::BTreeMap;

use maplethread::{Event, MachineEntry, MachineState, Micros, Placer, Resources, Settings};
use maplethread_platform_settings::host_names::stable_hash;
use maplethread_platform_settings::{CapacityReporting, FieldError, HostNames};

/// One placer, the host names it has been sent, and its events of the current batch.
pub(crate) struct Instance {
    /// None once the placer has failed.
    pub(crate) placer: Option<Placer>,
    pub(crate) hosts: HostNames,
    pub(crate) reports: CapacityReporting,
    pub(crate) events: Vec<Event>,
    /// What is to be reported as broken with the next reply.
    pub(crate) fault: Option<String>,
}

impl Instance {
    /// Starts a placer; settings that cannot be used are its fault.
    pub(crate) fn launch(seed: u64, settings: Settings, reports: CapacityReporting) -> Instance {
        let (placer, fault) = match Placer::new(settings, seed) {
            Ok(placer) => (Some(placer), None),
            Err(error) => (None, Some(format!("settings: {error}"))),
        };
        Instance {
            placer,
            hosts: HostNames::default(),
            reports,
            events: Vec::new(),
            fault,
        }
    }
}

/// An entry of a roster, before any instance has numbered its host.
pub(crate) struct RosterRow {
    pub(crate) host: String,
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) kind: usize,
    pub(crate) state: MachineState,
    pub(crate) started_at: Option<Micros>,
    pub(crate) unallocated: Resources,
}

impl RosterRow {
    fn to_entry(&self, reports_capacity: bool, hosts: &mut HostNames) -> MachineEntry {
        MachineEntry {
            machine: hosts.id_or_assign(&self.host),
            stable_hash: stable_hash(&self.host),
            zone: self.zone,
            cell: self.cell,
            kind: self.kind,
            state: self.state,
            started_at: self.started_at,
            unallocated: reports_capacity.then_some(self.unallocated),
        }
    }
}

/// All instances by the simulator's number, and the rosters by theirs.
#[derive(Default)]
pub(crate) struct Instances {
    pub(crate) by_number: BTreeMap<u32, Instance>,
    pub(crate) rosters: BTreeMap<u64, Vec<RosterRow>>,
}

impl Instances {
    /// # Errors
    ///
    /// No instance of that number is up.
    pub(crate) fn instance(&mut self, who: u32) -> Result<&mut Instance, FieldError> {
        self.by_number.get_mut(&who).ok_or_else(|| not_up(who))
    }

    /// # Errors
    ///
    /// No instance of that number is up.
    pub(crate) fn reports(&self, who: u32) -> Result<CapacityReporting, FieldError> {
        let instance = self.by_number.get(&who).ok_or_else(|| not_up(who))?;
        Ok(instance.reports)
    }

    /// The machines of a roster as an instance numbers them; none if there is no such roster.
    ///
    /// # Errors
    ///
    /// No instance of that number is up.
    pub(crate) fn machines(
        &mut self,
        who: u32,
        roster: u64,
    ) -> Result<Option<Vec<MachineEntry>>, FieldError> {
        let instance = self.by_number.get_mut(&who).ok_or_else(|| not_up(who))?;
        let reports_capacity = instance.reports.in_endpoint_lists;
        let hosts = &mut instance.hosts;
        let rows = self.rosters.get(&roster);
        Ok(rows.map(|rows| {
            rows.iter()
                .map(|row| row.to_entry(reports_capacity, hosts))
                .collect()
        }))
    }
}

fn not_up(who: u32) -> FieldError {
    FieldError::new("-", "who", format!("an instance that is up, not {who}"))
}
