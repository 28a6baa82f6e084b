//! Identification of hosts by name: an id that is local to a placer, and a hash that is the same at all placers.

use std::collections::BTreeMap;

use maplethread::MachineId;

/// Host names and the ids that a placer has assigned to them, in the order in which the names were first used.
#[derive(Debug, Default)]
pub struct HostNames {
    names: BTreeMap<MachineId, String>,
    ids: BTreeMap<String, MachineId>,
    next_id: u32,
}

impl HostNames {
    /// Returns the id of a host. A new name is assigned a new id.
    pub fn id_or_assign(&mut self, name: &str) -> MachineId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = MachineId(self.next_id);
        self.next_id += 1;
        self.names.insert(id, name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// The id of a host, if it has one.
    pub fn id_of(&self, name: &str) -> Option<MachineId> {
        self.ids.get(name).copied()
    }

    /// The name of the host with this id.
    pub fn name(&self, id: MachineId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Removes a host. Its id is never assigned again.
    pub fn remove(&mut self, id: MachineId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }

    /// The number of hosts with an id.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no host has an id.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The FNV-1a hash of a host's name. It is the same at all placers, unlike the host's id.
pub fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests;
