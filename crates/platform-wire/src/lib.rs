//! Codecs of the operators' platform, and nothing else: owners' JSON lines ([`owner`]), hosts' binary messages
//! ([`host`]), the command channel's events ([`command_channel`]) and the configuration ([`config`]). They decode bytes as
//! they arrive, hold no socket, clock or thread, and bound everything that a peer can make them keep. What a message
//! means is up to the engine.

mod cause;
pub mod command_channel;
pub mod config;
pub mod host;
pub mod owner;
mod setup_id;

pub use cause::Cause;
pub use setup_id::SetupId;

/// The longest message in bytes, in either form.
pub const MAX_MESSAGE_BYTES: usize = 16 << 10;
