//! Machines, as listed by discovery.

use super::{Micros, Resources, TopologyLevel};

/// The id of a machine, assigned by the caller. It is valid for the lifetime of the placer and has no other meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineId(pub u32);

/// The state of a machine, as reported by discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MachineState {
    /// It accepts new tasks.
    Ready,
    /// It finishes its running tasks and must get no new ones.
    Draining,
    /// It was removed.
    Gone,
}

/// One entry of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineEntry {
    /// The machine.
    pub machine: MachineId,
    /// A hash that is the same at every placer, such as one of its address.
    #[cfg_attr(feature = "serde", serde(rename = "label"))]
    pub stable_hash: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell; unique over all zones.
    pub cell: u32,
    /// Its kind, an index into [`Settings::machine_kinds`](super::Settings::machine_kinds).
    pub kind: usize,
    /// Its state.
    pub state: MachineState,
    /// When its process started, if that was recently.
    #[cfg_attr(feature = "serde", serde(rename = "started"))]
    pub started_at: Option<Micros>,
    /// The resources that no task had requested when the entry was written. Negative if the machine is overcommitted.
    #[cfg_attr(feature = "serde", serde(rename = "unasked"))]
    pub unallocated: Option<Resources>,
}

impl MachineEntry {
    /// The id of the domain of this level that contains the machine.
    pub fn domain(&self, level: TopologyLevel) -> u32 {
        match level {
            TopologyLevel::Machine => self.machine.0,
            TopologyLevel::Cell => self.cell,
            TopologyLevel::Zone => self.zone,
        }
    }
}

/// What an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum UpdateScope {
    /// Only the machines that changed.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// All machines; those absent from the list are gone.
    Full,
    /// All machines as recorded by this placer before its restart; may be out of date.
    Restored,
}
