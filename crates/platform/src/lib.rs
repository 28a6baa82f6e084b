//! The placer for the operators' platform.
//!
//! The input of the [`engine`] is messages from owners and hosts, events of the command channel and the time; its output
//! is messages to send, connections to open or close, and timers. [`channel_poll`] keeps one long poll of the command
//! channel in flight. Both perform no I/O; the shell transfers bytes between them and the sockets. The placement policy
//! decides where a task is placed, how long an attempt may take and when a request fails; this crate carries that out.

pub mod channel_poll;
pub mod engine;
mod memory_limits;
mod shell;
mod shutdown;
mod startup;

pub use shell::run;
pub use startup::{ConfigError, StartError, decode_settings};
