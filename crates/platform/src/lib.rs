//! The placer in service on the operators' platform.
//!
//! The [`engine`] takes messages of owners and hosts, events of the command channel and the time; it returns messages,
//! connections to open or close, and timers. [`channel_poll`] keeps one poll of the command channel in flight. Both
//! perform no I/O; the shell carries bytes between them and the sockets. Nothing here decides where a task is placed, how
//! long an answer is waited for or when a task is given up: the decisions do.

pub mod channel_poll;
pub mod engine;
mod shell;
mod shutdown;
mod startup;

pub use shell::run;
pub use startup::{ConfigError, StartError, decode_settings};
