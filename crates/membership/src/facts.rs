//! Facts that a member publishes about itself.

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::text::BoundedText;

/// Facts that a member publishes about itself. Only the member itself changes them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The version of the program.
    pub version: BoundedText<32>,
    /// The zone.
    pub zone: BoundedText<32>,
    /// When the process started, ms of Unix time.
    pub started_ms: u64,
    /// Whether the member is draining: it accepts no new requests.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// The index among the placers, if the member has one.
    #[serde(rename = "number")]
    pub replica_index: Option<u32>,
    /// The load in percent.
    #[serde(rename = "load")]
    pub load_percent: u8,
}

/// The version of a member's facts, ordered by generation, then by sequence number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FactsVersion {
    pub(crate) generation: u64,
    pub(crate) sequence: u32,
}

/// Facts as they are sent, with the name of the member and their version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FactsRecord {
    pub(crate) name: MemberName,
    pub(crate) generation: u64,
    pub(crate) sequence: u32,
    /// Whether the member is leaving the fleet on purpose.
    pub(crate) is_leaving: bool,
    pub(crate) facts: Facts,
}

impl FactsRecord {
    pub(crate) fn version(&self) -> FactsVersion {
        FactsVersion {
            generation: self.generation,
            sequence: self.sequence,
        }
    }

    /// Whether this record announces the leave of this generation or of a later one.
    pub(crate) fn announces_leave_of(&self, generation: u64) -> bool {
        self.is_leaving && self.generation >= generation
    }
}
