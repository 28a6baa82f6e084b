//! The placer instances that the simulator has launched, and the rosters (host lists) that it has sent.

use std::collections::BTreeMap;

use maplethread::{Event, MachineEntry, MachineState, Micros, Placer, Resources, Settings};
use maplethread_platform_settings::host_names::stable_hash;
use maplethread_platform_settings::{CapacityReporting, FieldError, HostNames};

/// One placer with its host names and its events of the current batch.
pub(crate) struct Instance {
    /// None if the settings were invalid or the placer has panicked.
    pub(crate) placer: Option<Placer>,
    pub(crate) hosts: HostNames,
    pub(crate) capacity_reporting: CapacityReporting,
    pub(crate) events: Vec<Event>,
    /// A fault to be reported with the next reply.
    pub(crate) fault: Option<String>,
}

impl Instance {
    /// Starts a placer. Invalid settings are recorded as a fault.
    pub(crate) fn launch(
        seed: u64,
        settings: Settings,
        capacity_reporting: CapacityReporting,
    ) -> Instance {
        let (placer, fault) = match Placer::new(settings, seed) {
            Ok(placer) => (Some(placer), None),
            Err(error) => (None, Some(format!("settings: {error}"))),
        };
        Instance {
            placer,
            hosts: HostNames::default(),
            capacity_reporting,
            events: Vec::new(),
            fault,
        }
    }
}

/// An entry of a roster. Each instance assigns its own id to the host.
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

/// All instances and rosters, by the ids that the simulator assigned.
#[derive(Default)]
pub(crate) struct Instances {
    pub(crate) by_id: BTreeMap<u32, Instance>,
    pub(crate) rosters: BTreeMap<u64, Vec<RosterRow>>,
}

impl Instances {
    /// The running instance of an id.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance with that id is running.
    pub(crate) fn instance(&mut self, instance_id: u32) -> Result<&mut Instance, FieldError> {
        self.by_id
            .get_mut(&instance_id)
            .ok_or_else(|| unknown_instance(instance_id))
    }

    /// The sources of machine capacity that an instance uses.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance with that id is running.
    pub(crate) fn capacity_reporting(
        &self,
        instance_id: u32,
    ) -> Result<CapacityReporting, FieldError> {
        let instance = self
            .by_id
            .get(&instance_id)
            .ok_or_else(|| unknown_instance(instance_id))?;
        Ok(instance.capacity_reporting)
    }

    /// The entries of a roster, with the host names replaced by the instance's machine ids. Returns none if no roster
    /// with this id was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if no instance with that id is running.
    pub(crate) fn machines(
        &mut self,
        instance_id: u32,
        roster: u64,
    ) -> Result<Option<Vec<MachineEntry>>, FieldError> {
        let instance = self
            .by_id
            .get_mut(&instance_id)
            .ok_or_else(|| unknown_instance(instance_id))?;
        let reports_capacity = instance.capacity_reporting.in_endpoint_lists;
        let hosts = &mut instance.hosts;
        let rows = self.rosters.get(&roster);
        Ok(rows.map(|rows| {
            rows.iter()
                .map(|row| row.to_entry(reports_capacity, hosts))
                .collect()
        }))
    }
}

fn unknown_instance(instance_id: u32) -> FieldError {
    FieldError::new("-", "who", format!("a running instance, got {instance_id}"))
}
