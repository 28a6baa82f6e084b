//! Codecs of the operators' platform, and nothing else: owners' JSON lines ([`owner`]), hosts' binary messages
//! ([`host`]), the command channel's events ([`channel`]) and the configuration ([`config`]). They take bytes as they
//! come, hold no socket, clock or thread, and bound everything that a peer can make them keep. What a message means is
//! the engine's business.

pub mod cause;
pub mod command_channel;
pub mod config;
pub mod host;
pub mod owner;

/// The longest message, bytes, in either form.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;

/// The id of a set-up: 16 hex digits in JSON, 8 bytes in binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SetupId(pub u64);

impl SetupId {
    /// Reads 16 lower-case hex digits.
    pub fn parse(text: &str) -> Option<SetupId> {
        parse_hex16(text).map(SetupId)
    }
}

impl std::fmt::Display for SetupId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A number of 16 lower-case hex digits.
fn parse_hex16(text: &str) -> Option<u64> {
    let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let digits = text.len() == 16 && text.bytes().all(digit);
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
