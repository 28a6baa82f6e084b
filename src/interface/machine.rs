//! Machines, as discovery lists them.

use super::{Micros, Resources, TopologyLevel};

/// A machine, numbered by the caller. The number has no meaning and is kept for the life of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineId(pub u32);

/// What discovery says of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MachineState {
    /// It takes tasks.
    Ready,
    /// It finishes its work and must get nothing new.
    Draining,
    /// It was removed.
    Gone,
}

/// One line of a list of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineEntry {
    /// The machine.
    pub machine: MachineId,
    /// A number that is the same at every placer, such as a hash of its address.
    #[cfg_attr(feature = "serde", serde(rename = "label"))]
    pub stable_hash: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell; unique over all zones.
    pub cell: u32,
    /// Its kind, an index into [`Settings::kinds`](super::Settings::kinds).
    pub kind: usize,
    /// Its state.
    pub state: MachineState,
    /// When its process started, if that was not long ago.
    #[cfg_attr(feature = "serde", serde(rename = "started"))]
    pub started_at: Option<Micros>,
    /// What no task had requested, some time ago. Below zero where more was accepted.
    #[cfg_attr(feature = "serde", serde(rename = "unasked"))]
    pub unallocated: Option<Resources>,
}

impl MachineEntry {
    /// The number of the domain of this level that the machine is in.
    pub fn domain(&self, level: TopologyLevel) -> u32 {
        match level {
            TopologyLevel::Machine => self.machine.0,
            TopologyLevel::Cell => self.cell,
            TopologyLevel::Zone => self.zone,
        }
    }
}

/// How much a list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum UpdateScope {
    /// Only what changed.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// All machines; those not in it are gone.
    Full,
    /// All machines as this placer last knew them before its restart; may be out of date.
    Restored,
}
