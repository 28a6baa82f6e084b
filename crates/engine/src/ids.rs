//! Names as numbers that every placer sees alike.

use std::collections::BTreeMap;

/// A hash of a name, alike at every placer and in every build (the first 8 bytes of BLAKE3).
pub fn stable_hash(name: &str) -> u64 {
    let bytes = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&bytes.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Numbers names in the order in which they come.
#[derive(Default)]
pub struct IdTable {
    ids: BTreeMap<String, u32>,
}

impl IdTable {
    /// The number of a name.
    pub fn id_of(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.ids.get(name) {
            return n;
        }
        let n = self.ids.len() as u32;
        self.ids.insert(name.to_owned(), n);
        n
    }
}
