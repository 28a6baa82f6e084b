//! What a member shows: its view of the fleet, its counters, and notices about itself. All of it is published as JSON, with
//! the field names given by `serde`.

use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

use crate::facts::Facts;
use crate::member_table::Member;

/// An event that concerns the local member itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Notice {
    /// The process was paused. Timers that ran out meanwhile do not count against other members.
    #[serde(rename = "stood_still")]
    ProcessPaused {
        /// How long, in ms.
        #[serde(rename = "ms")]
        duration_ms: u64,
    },
    /// The member was declared down, or had to give way to another generation, and goes on in a new generation.
    Renewed {
        /// The new generation.
        #[serde(rename = "life")]
        generation: u64,
    },
    /// Another running process holds the member's name: this one takes no part until the other one is gone.
    Displaced {
        /// The address of the other process.
        by: SocketAddr,
    },
    /// Another running process claims the member's name, and takes no part.
    Claimed {
        /// The address of the other process.
        by: SocketAddr,
    },
    /// The process that held the member's name is gone, and this one takes part again.
    Reinstated,
}

/// The text under which operators find the notice in the log.
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

/// Counts of datagrams, by what became of them.
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
    /// Rejected: sent long before another datagram of its sender.
    #[serde(rename = "late")]
    pub stale: u64,
    /// Rejected: of a generation that has ended.
    pub superseded: u64,
    /// Datagrams of unknown senders that were answered by a challenge.
    pub challenged: u64,
    /// Updates of members that were rejected because the table is full.
    #[serde(rename = "full")]
    pub over_capacity: u64,
    /// Messages that the SWIM library rejected.
    #[serde(rename = "refused")]
    pub rejected_by_swim: u64,
}

/// The fleet as one member sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipView {
    /// The name of the local member.
    pub name: String,
    /// The address to which others send.
    pub address: SocketAddr,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// What it publishes about itself.
    pub facts: Facts,
    /// The digest of the live members, the local one included, with their states and facts, as 16 hex digits: equal at two
    /// members that see the same.
    pub digest: String,
    /// How many different digests there were before.
    pub version: u64,
    /// How long the digest has not changed, in ms.
    #[serde(rename = "settled_ms")]
    pub unchanged_ms: u64,
    /// The local health score, from 0 (healthy) to 8: each step makes the member slower to declare others down.
    #[serde(rename = "health")]
    pub health_score: u32,
    /// The address of the process that holds the member's name, while this one takes no part.
    pub displaced_by: Option<SocketAddr>,
    /// The address of a running process that claims the member's name.
    pub claimed_by: Option<SocketAddr>,
    /// All other known members, ordered by name.
    pub members: Vec<Member>,
    /// Counts of datagrams.
    pub counters: DatagramCounters,
}
