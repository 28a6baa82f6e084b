//! The numbers under which sockets and files are registered with the poller.

/// New connections of clients.
pub(crate) const LISTENER_TOKEN: u64 = 0;
/// Signals.
pub(crate) const SIGNALS_TOKEN: u64 = 1;
/// The inventory file.
pub(crate) const INVENTORY_TOKEN: u64 = 2;
/// The socket of the membership protocol.
pub(crate) const MEMBERSHIP_TOKEN: u64 = 3;
/// Its key file.
pub(crate) const MEMBERSHIP_KEYS_TOKEN: u64 = 4;
/// The last token that no connection gets.
const LAST_RESERVED_TOKEN: u64 = 16;

/// Gives each connection a token of its own. No token is given twice, so that a late readiness of a closed connection
/// meets no other.
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
    /// A token that nothing had before.
    pub fn allocate(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
