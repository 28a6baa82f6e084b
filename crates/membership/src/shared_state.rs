//! State that the local member shares with the callbacks of the SWIM library.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use foca::State;

use crate::facts::FactsRecord;
use crate::identity::{MemberIdentity, NameHash};

/// The shared state as its owners hold it: the local member, the codec and the store of facts, all on one thread.
pub(crate) type Shared = Rc<RefCell<SharedState>>;

/// A report that another generation holds the local member's name, or that its own generation is down.
#[derive(Clone)]
pub(crate) struct ConflictReport {
    pub(crate) holder: MemberIdentity,
    pub(crate) is_down: bool,
}

/// State that the local member shares with the callbacks of the SWIM library.
pub(crate) struct SharedState {
    /// The current identity of the local member.
    pub(crate) identity: MemberIdentity,
    /// The generation with the highest precedence that was reported for the local member's name.
    pub(crate) conflict: Option<ConflictReport>,
    /// What the messages that were just decoded report of members.
    pub(crate) reported: Vec<foca::Member<MemberIdentity>>,
    /// Whether somebody suspects the local member.
    pub(crate) is_suspected: bool,
    /// The generation of each known member.
    pub(crate) known_generations: BTreeMap<NameHash, u64>,
    /// How many members may be known.
    pub(crate) max_members: usize,
    /// Updates that were rejected because too many members are known.
    pub(crate) over_capacity: u64,
    /// The newest facts of each member.
    pub(crate) facts: BTreeMap<NameHash, FactsRecord>,
    /// Members whose facts have changed since they were last looked at.
    pub(crate) updated_facts: BTreeSet<NameHash>,
}

impl SharedState {
    pub(crate) fn new(identity: MemberIdentity, max_members: usize) -> SharedState {
        SharedState {
            identity,
            conflict: None,
            reported: Vec::new(),
            is_suspected: false,
            known_generations: BTreeMap::new(),
            max_members,
            over_capacity: 0,
            facts: BTreeMap::new(),
            updated_facts: BTreeSet::new(),
        }
    }

    /// The facts that the local member published last.
    pub(crate) fn own_facts(&self) -> Option<&FactsRecord> {
        self.facts.get(&self.identity.name.hash())
    }

    /// Forgets a member.
    pub(crate) fn forget(&mut self, name: NameHash) {
        self.known_generations.remove(&name);
        self.facts.remove(&name);
    }

    /// Stores facts that are newer than those known, and returns whether they are. Facts of another generation of a known
    /// member are ignored, even of a higher one: its clock may have been wrong, or its successor's may be.
    pub(crate) fn store_if_newer(&mut self, record: &FactsRecord) -> bool {
        let name = record.name.hash();
        let generation = self.known_generations.get(&name).copied();
        let is_newer = generation.is_none_or(|generation| generation == record.generation)
            && self.facts.get(&name).is_none_or(|known| {
                known.version() < record.version()
                    || generation.is_some_and(|generation| generation != known.generation)
            });
        let has_room = self.facts.contains_key(&name) || self.facts.len() < self.max_members;
        let is_of_ended_own_generation =
            name == self.identity.name.hash() && record.generation != self.identity.generation;
        if !is_newer || !has_room || is_of_ended_own_generation {
            return false;
        }
        self.facts.insert(name, record.clone());
        self.updated_facts.insert(name);
        true
    }

    /// Returns an update of a member as the library may see it.
    ///
    /// The library must not see another generation under the local member's name: it would declare that one down, and two
    /// running processes of one name would declare each other down for ever. Nor does it see members for which there is no
    /// room. In their place it gets an update that the local member is alive, which changes nothing.
    pub(crate) fn filter_update(
        &mut self,
        update: foca::Member<MemberIdentity>,
    ) -> foca::Member<MemberIdentity> {
        let identity = update.id();
        if identity.name == self.identity.name {
            return self.filter_update_of_own_name(update);
        }
        if !self.known_generations.contains_key(&identity.name.hash())
            && self.known_generations.len() >= self.max_members
        {
            self.over_capacity += 1;
            return self.no_update();
        }
        self.reported.push(update.clone());
        update
    }

    fn filter_update_of_own_name(
        &mut self,
        update: foca::Member<MemberIdentity>,
    ) -> foca::Member<MemberIdentity> {
        let identity = update.id();
        let is_down = update.state() == State::Down;
        if *identity == self.identity {
            self.is_suspected |= update.state() == State::Suspect;
            if !is_down {
                return update;
            }
            // This very generation was declared down: the local member starts a new one.
            let report = ConflictReport {
                holder: self.identity.clone(),
                is_down: true,
            };
            self.conflict.get_or_insert(report);
        } else if identity.precedence() > self.identity.precedence()
            && self
                .conflict
                .as_ref()
                .is_none_or(|known| known.holder.precedence() <= identity.precedence())
        {
            self.conflict = Some(ConflictReport {
                holder: identity.clone(),
                is_down,
            });
        }
        self.no_update()
    }

    fn no_update(&self) -> foca::Member<MemberIdentity> {
        foca::Member::alive(self.identity.clone())
    }
}
