//! The placer in service on the operators' platform. The [`engine`] is sans-I/O: messages of owners and hosts, news of
//! the command channel and the time go in; what the decisions are told and want becomes messages, connections wanted
//! or closed, and timers. [`channel`] keeps a poll of the command channel out, sans-I/O too. The shell carries
//! bytes between sockets and both. Nothing here decides where a task goes, how long an answer is waited for, or when
//! a task is given up: that is the module's.

pub mod channel_poll;
pub mod engine;
mod shell;
mod shutdown;
mod startup;

pub use shell::run;
pub use startup::{StartError, decode_settings};
