//! What a member publishes about itself.

use serde::{Deserialize, Serialize};

use crate::identity::MemberName;
use crate::text::BoundedText;

/// What a member publishes about itself. Only the member changes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Facts {
    /// The version of its program.
    pub version: BoundedText<32>,
    /// Its zone.
    pub zone: BoundedText<32>,
    /// When its process started, ms of Unix time.
    pub started_ms: u64,
    /// Whether it accepts no new requests.
    #[serde(rename = "draining")]
    pub is_draining: bool,
    /// Its index among the placers, if it has one.
    #[serde(rename = "number")]
    pub replica_index: Option<u32>,
    /// Its load in percent.
    #[serde(rename = "load")]
    pub load_percent: u8,
}

/// The version of a member's facts: later generations, and later sequence numbers within a generation, are newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FactsVersion {
    pub(crate) generation: u64,
    pub(crate) sequence: u32,
}

/// Facts as they are sent: with the member they belong to and their version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FactsRecord {
    pub(crate) name: MemberName,
    pub(crate) generation: u64,
    pub(crate) sequence: u32,
    /// Whether the member leaves the fleet on purpose.
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

    /// Whether this record announces that the given generation leaves, or a later one has left.
    pub(crate) fn announces_leave_of(&self, generation: u64) -> bool {
        self.is_leaving && self.generation >= generation
    }
}
