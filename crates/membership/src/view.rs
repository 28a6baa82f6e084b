//! The published state of a member: its view of the fleet, its counters, and notices about itself. All are published as
//! JSON, with the field names given by `serde`.

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

use crate::facts::Facts;
use crate::member_table::Member;

/// An event that concerns the local member itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Notice {
    /// The process was paused. All timers are delayed by the pause, so that no other member is suspected because of it.
    #[serde(rename = "stood_still")]
    ProcessPaused {
        /// The duration of the pause, in ms.
        #[serde(rename = "ms")]
        duration_ms: u64,
    },
    /// The member was declared down or superseded, and continues with a new generation.
    Renewed {
        /// The new generation.
        #[serde(rename = "life")]
        generation: u64,
    },
    /// Another running process holds the member's name. The local process does not participate until the other one has
    /// stopped.
    Displaced {
        /// The address of the other process.
        by: SocketAddr,
    },
    /// Another running process claims the member's name, and does not participate.
    Claimed {
        /// The address of the other process.
        by: SocketAddr,
    },
    /// The process that held the member's name has stopped, and the local process participates again.
    Reinstated,
}

/// The text in the log. Operators search for it, so it must not change.
impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::ProcessPaused { duration_ms } => {
                write!(f, "StoodStill {{ ms: {duration_ms} }}")
            }
            Notice::Renewed { generation } => write!(f, "Renewed {{ life: {generation} }}"),
            Notice::Displaced { by } => write!(f, "Displaced {{ by: {by} }}"),
            Notice::Claimed { by } => write!(f, "Claimed {{ by: {by} }}"),
            Notice::Reinstated => f.write_str("Reinstated"),
        }
    }
}

/// Counts of datagrams and updates, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DatagramCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Rejected: too long.
    pub oversize: u64,
    /// Rejected: too short, or of another version of the format.
    #[serde(rename = "foreign")]
    pub unknown_version: u64,
    /// Rejected: signed with none of the keys.
    pub unauthenticated: u64,
    /// Rejected: authenticated, but not decodable.
    #[serde(rename = "unreadable")]
    pub malformed: u64,
    /// Rejected: sent long before the newest datagram of the same sender.
    #[serde(rename = "late")]
    pub stale: u64,
    /// Rejected: from a generation that has ended.
    pub superseded: u64,
    /// Datagrams from unknown senders that were answered with a challenge.
    pub challenged: u64,
    /// Updates that were rejected because the table of members is full.
    #[serde(rename = "full")]
    pub over_capacity: u64,
    /// Messages that the SWIM library rejected.
    #[serde(rename = "refused")]
    pub rejected_by_swim: u64,
}

/// The view that one member has of the fleet.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipView {
    /// The name of the local member.
    pub name: String,
    /// The address of the local member.
    pub address: SocketAddr,
    /// The generation of the local member.
    #[serde(rename = "life")]
    pub generation: u64,
    /// The facts that the local member publishes.
    pub facts: Facts,
    /// The digest of the live members, including the local one, with their states and facts, as 16 hex digits. Members with
    /// equal views have equal digests.
    pub digest: String,
    /// How many times the digest has changed.
    pub version: u64,
    /// The time since the last change of the digest, in ms.
    #[serde(rename = "settled_ms")]
    pub unchanged_ms: u64,
    /// The local health score, from 0 (healthy) to 8. A higher score delays probes and suspicions of other members.
    #[serde(rename = "health")]
    pub health_score: u32,
    /// The address of the process that holds the member's name, while the local process does not participate.
    pub displaced_by: Option<SocketAddr>,
    /// The address of a running process that claims the member's name.
    pub claimed_by: Option<SocketAddr>,
    /// All other known members, ordered by name.
    pub members: Vec<Member>,
    /// Counts of datagrams.
    pub counters: DatagramCounters,
}
