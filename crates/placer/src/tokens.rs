//! Tokens under which sockets and files are registered with the poller.

/// The listening socket for clients.
pub(crate) const LISTENER_TOKEN: u64 = 0;
pub(crate) const SIGNALS_TOKEN: u64 = 1;
/// The watch on the inventory file.
pub(crate) const INVENTORY_TOKEN: u64 = 2;
/// The socket of the membership protocol.
pub(crate) const MEMBERSHIP_TOKEN: u64 = 3;
/// The watch on the key file of the membership protocol.
pub(crate) const MEMBERSHIP_KEYS_TOKEN: u64 = 4;
/// Connections get tokens above this one.
const LAST_RESERVED_TOKEN: u64 = 16;

/// Allocates a token for each connection. Tokens are never reused, so that a late readiness event of a closed
/// connection can't be attributed to another one.
#[derive(Debug)]
pub struct TokenAllocator {
    last: u64,
}

impl Default for TokenAllocator {
    fn default() -> TokenAllocator {
        TokenAllocator {
            last: LAST_RESERVED_TOKEN,
        }
    }
}

impl TokenAllocator {
    /// Returns a token that was never used before.
    pub fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
