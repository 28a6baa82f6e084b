//! Hosts by name: numbered for one placer, labelled alike for all.

use std::collections::BTreeMap;

use maplethread::MachineId;

/// Host names, numbered by one placer in the order in which its own lists named them.
#[derive(Debug, Default)]
pub struct HostNames {
    names: BTreeMap<MachineId, String>,
    ids: BTreeMap<String, MachineId>,
    next_id: u32,
}

impl HostNames {
    /// The number of a host, a new one for a name not heard before.
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

    /// The number of a host that has one.
    pub fn id_of(&self, name: &str) -> Option<MachineId> {
        self.ids.get(name).copied()
    }

    /// The name of a number.
    pub fn name(&self, id: MachineId) -> Option<&str> {
        self.names.get(&id).map(String::as_str)
    }

    /// Forgets a host that is gone for good. Its number is not given again.
    pub fn forget(&mut self, id: MachineId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }

    /// How many have a number.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether none has.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// FNV-1a of a host's name: the same at every placer, whichever hosts it has heard of.
pub fn stable_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[cfg(test)]
mod tests;
