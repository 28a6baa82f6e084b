//! Machines, as discovery lists them.

use super::{Micros, Resources, TopologyLevel};

/// A machine, numbered by the caller. The number means nothing and is kept for the placer's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineId(pub u32);

/// What discovery says of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MachineState {
    /// It takes tasks.
    Ready,
    /// It finishes its work and is to get nothing new.
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
    /// A number that every placer sees alike, such as a hash of its address.
    #[cfg_attr(feature = "serde", serde(rename = "label"))]
    pub stable_hash: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell; unique over all zones.
    pub cell: u32,
    /// Its kind, an index into [`Settings::kinds`].
    pub kind: usize,
    /// Its state.
    pub state: MachineState,
    /// When it last started, if that was not long ago.
    #[cfg_attr(feature = "serde", serde(rename = "started"))]
    pub started_at: Option<Micros>,
    /// What nobody had asked for, some time ago. Below zero where more was accepted.
    #[cfg_attr(feature = "serde", serde(rename = "unasked"))]
    pub unallocated: Option<Resources>,
}

impl MachineEntry {
    /// The number of the place of this kind that the machine is in.
    pub fn domain(&self, kind: TopologyLevel) -> u32 {
        match kind {
            TopologyLevel::Machine => self.machine.0,
            TopologyLevel::Cell => self.cell,
            TopologyLevel::Zone => self.zone,
        }
    }
}

/// How far a list reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum UpdateScope {
    /// Only what changed.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// All machines; those not in it are gone.
    Full,
    /// All machines as this placer last knew them before its restart; may be old.
    Restored,
}
