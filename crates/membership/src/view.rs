//! What a member shows: the fleet as it sees it, what became of datagrams, and news of itself.

use std::net::SocketAddr;

use serde::Serialize;

use crate::core::LocalMember;
use crate::id::Facts;
use crate::table::{Member, Micros};

/// News of this member itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Notice {
    /// It stood still for so long, and judges nobody by timers that ran out meanwhile.
    StoodStill {
        /// ms.
        ms: u64,
    },
    /// It was taken for down and goes on as this life.
    Renewed {
        /// The new life.
        life: u64,
    },
    /// Another live process holds its name: this one takes no part until that one is gone.
    Displaced {
        /// Where the other is.
        by: SocketAddr,
    },
    /// Another live process claims its name, and takes no part.
    Claimed {
        /// Where the other is.
        by: SocketAddr,
    },
    /// The name is its own again.
    Reinstated,
}

/// Datagrams and what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Sent, and their bytes.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Read.
    pub received: u64,
    /// Too long.
    pub oversize: u64,
    /// Too short or of another version.
    pub foreign: u64,
    /// Without this fleet's keyed hash.
    pub unauthenticated: u64,
    /// Of this fleet, and not readable.
    pub unreadable: u64,
    /// Much older than another of the same sender.
    #[serde(rename = "late")]
    pub stale: u64,
    /// Of a life that is over.
    pub superseded: u64,
    /// Of senders that nobody has told of, which were asked who they are.
    pub challenged: u64,
    /// News of members beyond the most that are taken in.
    #[serde(rename = "full")]
    pub over_capacity: u64,
    /// Messages that the SWIM library did not take.
    pub refused: u64,
}

/// The fleet as one member sees it.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This member's name.
    pub name: String,
    /// Where others send to it.
    pub address: SocketAddr,
    /// Its life.
    #[serde(rename = "life")]
    pub generation: u64,
    /// What it says of itself.
    pub facts: Facts,
    /// Members that are live, this one included, and their states come to this: equal at two members that see the same.
    pub digest: String,
    /// So many different ones were seen before.
    pub version: u64,
    /// The digest has not changed for so long, ms.
    pub settled_ms: u64,
    /// Its own condition: 0 is well; each step makes it slower to judge others.
    pub health: u32,
    /// A live process that holds its name, while this one takes no part.
    pub displaced_by: Option<SocketAddr>,
    /// A live process that claims its name.
    pub claimed_by: Option<SocketAddr>,
    /// All others that are known, by name.
    pub members: Vec<Member>,
    /// Datagrams.
    pub counters: Counters,
}

impl LocalMember {
    /// The fleet as this member sees it.
    pub fn view(&self, now: Micros) -> View {
        let shared = self.shared.borrow();
        let mut members: Vec<Member> = self
            .table
            .iter()
            .map(|known| Member {
                name: known.id.name.to_string(),
                address: known.id.address,
                generation: known.id.generation,
                incarnation: known.incarnation,
                state: known.state,
                for_ms: now.saturating_sub(known.since) / 1000,
                facts: shared
                    .records
                    .get(&known.id.name.hash())
                    .map(|r| r.facts.clone()),
            })
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        View {
            name: shared.me.name.to_string(),
            address: shared.me.address,
            generation: shared.me.generation,
            facts: self.facts.clone(),
            digest: format!("{:016x}", self.digest),
            version: self.version,
            settled_ms: now.saturating_sub(self.settled) / 1000,
            health: self.health,
            displaced_by: self.rival.as_ref().map(|r| r.id.address),
            claimed_by: self.claimed_by(now),
            members,
            counters: Counters {
                over_capacity: shared.full,
                ..self.counters
            },
        }
    }
}
