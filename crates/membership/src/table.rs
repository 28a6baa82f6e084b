//! The view: who is in the fleet, in which state, since when and by whose word, and what that comes to.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use maplethread_timers::Timers;
use serde::Serialize;

use crate::id::{Facts, Id, Record, hash};
use crate::packet::BUCKETS;

/// Time, µs; where it starts is the caller's matter.
pub type Micros = u64;

/// A member's state, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It failed a test, and has some time to show that it lives.
    Suspect,
    /// It said that it leaves.
    Left,
    /// It did not show in time that it lives.
    Down,
}

impl MemberState {
    /// Whether it counts as a member of the fleet.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// A change of the view.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The member.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Which life of it.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Its state before; nothing where it was not known.
    #[serde(rename = "from")]
    pub previous_state: Option<MemberState>,
    /// Its state now; nothing where it is forgotten.
    #[serde(rename = "to")]
    pub new_state: Option<MemberState>,
    /// By whose word: a member's name, or what this one found out itself.
    #[serde(rename = "by")]
    pub reported_by: String,
}

/// A member.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Which life of it.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Its incarnation in that life.
    pub incarnation: u16,
    /// Its state.
    pub state: MemberState,
    /// For so long, ms.
    pub for_ms: u64,
    /// What it says of itself, once that has come.
    pub facts: Option<Facts>,
}

/// What is known of another member.
pub(crate) struct Known {
    pub(crate) id: Id,
    pub(crate) incarnation: u16,
    pub(crate) state: MemberState,
    pub(crate) since: Micros,
    /// What it adds to the digest.
    mark: u64,
}

/// All other members that are known.
#[derive(Default)]
pub(crate) struct Table {
    members: BTreeMap<u64, Known>,
    live_count: usize,
    sums: [u64; BUCKETS],
}

fn mark(id: &Id, state: MemberState, record: Option<&Record>) -> u64 {
    if !state.is_live() {
        return 0;
    }
    let (life, seq) = record
        .filter(|r| r.generation == id.generation)
        .map_or((0, 0), Record::age);
    let address = id.address.to_string();
    let mut bytes = Vec::with_capacity(64);
    for number in [
        id.name.hash(),
        id.generation,
        u64::from(state == MemberState::Suspect),
        life,
        u64::from(seq),
    ] {
        bytes.extend_from_slice(&number.to_le_bytes());
    }
    bytes.extend_from_slice(address.as_bytes());
    hash(&bytes)
}

fn bucket(name: u64) -> usize {
    (name % BUCKETS as u64) as usize
}

impl Table {
    pub(crate) fn get(&self, name: u64) -> Option<&Known> {
        self.members.get(&name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Known> {
        self.members.values()
    }

    /// Members but this one that are alive or suspect.
    pub(crate) fn live_count(&self) -> usize {
        self.live_count
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// The live member at this place of their order.
    pub(crate) fn nth_live(&self, n: usize) -> Option<&Id> {
        self.members
            .values()
            .filter(|k| k.state.is_live())
            .nth(n)
            .map(|k| &k.id)
    }

    /// Takes in what is known of a member now; its state before, if anything of what is shown has changed.
    pub(crate) fn set(
        &mut self,
        now: Micros,
        id: &Id,
        incarnation: u16,
        state: MemberState,
        record: Option<&Record>,
    ) -> Option<Option<MemberState>> {
        let name = id.name.hash();
        let before = self.members.remove(&name);
        if let Some(known) = &before {
            self.live_count -= usize::from(known.state.is_live());
            self.sums[bucket(name)] = self.sums[bucket(name)].wrapping_sub(known.mark);
        }
        let mark = mark(id, state, record);
        self.live_count += usize::from(state.is_live());
        self.sums[bucket(name)] = self.sums[bucket(name)].wrapping_add(mark);
        let same = before.as_ref().filter(|k| k.state == state && k.id == *id);
        let since = same.map_or(now, |k| k.since);
        let changed = same.is_none();
        let from = before.map(|k| k.state);
        self.members.insert(
            name,
            Known {
                id: id.clone(),
                incarnation,
                state,
                since,
                mark,
            },
        );
        changed.then_some(from)
    }

    pub(crate) fn forget(&mut self, name: u64) -> Option<Known> {
        let known = self.members.remove(&name)?;
        self.live_count -= usize::from(known.state.is_live());
        self.sums[bucket(name)] = self.sums[bucket(name)].wrapping_sub(known.mark);
        Some(known)
    }

    /// The view, part by part, with this member itself in it.
    pub(crate) fn sums(&self, me: &Id, record: Option<&Record>) -> [u64; BUCKETS] {
        let mut sums = self.sums;
        let own = &mut sums[bucket(me.name.hash())];
        *own = own.wrapping_add(mark(me, MemberState::Alive, record));
        sums
    }

    /// What others compare.
    pub(crate) fn buckets(&self, me: &Id, record: Option<&Record>) -> Vec<u32> {
        self.sums(me, record)
            .iter()
            .map(|sum| (sum ^ (sum >> 32)) as u32)
            .collect()
    }

    pub(crate) fn in_bucket(name: u64) -> usize {
        bucket(name)
    }
}

/// Timers of a member in its awake time, which stands still while the process does.
pub(crate) struct Awake<T> {
    pub(crate) timers: Timers<T>,
    asleep: Micros,
}

impl<T> Default for Awake<T> {
    fn default() -> Self {
        Awake {
            timers: Timers::default(),
            asleep: 0,
        }
    }
}

impl<T> Awake<T> {
    /// Awake time.
    pub(crate) fn at(&self, now: Micros) -> Micros {
        now - self.asleep
    }

    pub(crate) fn slept(&mut self, span: Micros) {
        self.asleep += span;
    }

    pub(crate) fn set(&mut self, now: Micros, after: Micros, what: T) {
        self.timers.schedule(now - self.asleep + after, what);
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.timers.next_due_at().map(|at| at + self.asleep)
    }

    pub(crate) fn due(&mut self, now: Micros) -> Option<T> {
        self.timers.pop_due(now - self.asleep)
    }
}
