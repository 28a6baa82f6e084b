//! State that the local member shares with the callbacks of the SWIM library.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use foca::State;

use crate::facts::FactsRecord;
use crate::identity::{MemberIdentity, NameHash};

/// A shared reference to the state, held by the local member, the codec and the fact store, all on one thread.
pub(crate) type Shared = Rc<RefCell<SharedState>>;

/// A report that another generation holds the local member's name, or that a generation of it was declared down.
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
    /// Updates in the messages that were decoded during the current call of the library.
    pub(crate) reported: Vec<foca::Member<MemberIdentity>>,
    /// Whether another member suspects the local one.
    pub(crate) is_suspected: bool,
    /// The generation of each known member.
    pub(crate) known_generations: BTreeMap<NameHash, u64>,
    /// Maximum number of known members.
    pub(crate) max_members: usize,
    /// The number of updates that were rejected because the table of members is full.
    pub(crate) over_capacity: u64,
    /// The newest facts of each member.
    pub(crate) facts: BTreeMap<NameHash, FactsRecord>,
    /// Members whose facts have changed since the table of members was last updated.
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

    /// The facts that the local member last published.
    pub(crate) fn own_facts(&self) -> Option<&FactsRecord> {
        self.facts.get(&self.identity.name.hash())
    }

    /// Removes a member.
    pub(crate) fn remove(&mut self, name: NameHash) {
        self.known_generations.remove(&name);
        self.facts.remove(&name);
    }

    /// Stores facts if they are newer than the stored ones, and returns whether they are. Facts of a generation other than
    /// the known one are ignored, even of a higher one: generations are start times, and the clock of one of the two
    /// processes may have been wrong.
    pub(crate) fn store_if_newer(&mut self, record: &FactsRecord) -> bool {
        let name = record.name.hash();
        let generation = self.known_generations.get(&name).copied();
        let is_newer = generation.is_none_or(|generation| generation == record.generation)
            && self.facts.get(&name).is_none_or(|known| {
                known.version() < record.version()
                    || generation.is_some_and(|generation| generation != known.generation)
            });
        let has_capacity = self.facts.contains_key(&name) || self.facts.len() < self.max_members;
        let is_of_ended_own_generation =
            name == self.identity.name.hash() && record.generation != self.identity.generation;
        if !is_newer || !has_capacity || is_of_ended_own_generation {
            return false;
        }
        self.facts.insert(name, record.clone());
        self.updated_facts.insert(name);
        true
    }

    /// Filters an update before it is passed to the library.
    ///
    /// The library must not receive another generation of the local member's name: it would declare that generation down,
    /// and two running processes with the same name would declare each other down forever. Updates of new members are also
    /// rejected if the table is full. A rejected update is replaced by one that the local member is alive, which changes
    /// nothing.
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
            return self.neutral_update();
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
            // The current generation was declared down, so the local member starts a new one.
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
        self.neutral_update()
    }

    fn neutral_update(&self) -> foca::Member<MemberIdentity> {
        foca::Member::alive(self.identity.clone())
    }
}
