//! Ids of set-ups, and the hexadecimal encoding that they share with ids of services.

use std::fmt;

/// The id of a set-up, encoded as 16 hexadecimal digits in JSON and as 8 bytes in binary messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetupId(pub u64);

impl SetupId {
    /// Parses exactly 16 lower-case hexadecimal digits.
    pub fn parse(text: &str) -> Option<SetupId> {
        parse_hex16(text).map(SetupId)
    }
}

impl fmt::Display for SetupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Parses a number of exactly 16 lower-case hexadecimal digits.
pub(crate) fn parse_hex16(text: &str) -> Option<u64> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != 16 || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
