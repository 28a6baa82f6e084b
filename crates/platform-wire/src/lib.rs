//! Codecs of the operators' platform: the JSON lines of owners ([`owner`]), the binary messages of hosts ([`host`]), the
//! events of the command channel ([`command_channel`]) and the configuration ([`config`]). They decode bytes incrementally,
//! use no sockets, clocks or threads, and limit the memory that a peer can make them use. The engine interprets the
//! messages.

mod cause;
pub mod command_channel;
pub mod config;
pub mod host;
mod json_fields;
pub mod owner;
mod setup_id;

pub use cause::Cause;
pub use setup_id::SetupId;

/// The maximum length of a message of owners or hosts.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;
