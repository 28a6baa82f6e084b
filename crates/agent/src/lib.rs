//! The node agent: the host side of the host protocol with real processes.
//!
//! - [`agent`] holds the state and decides, without I/O. Frames of placers, ends of processes and timers go in, a list
//!   of [`Action`]s comes out, ordered so that nothing leaves the host before it is durable.
//! - [`store`] keeps accepted tasks in an embedded database.
//! - [`process`] starts, finds, measures and stops processes; a process is identified by pid and start time.
//! - [`config`] is the settings file that operators write, [`template`] makes command lines from it.
//! - [`run`] connects all of it to sockets, processes and signals.
//!
//! Which offers are accepted is decided by `maplethread-admission`, as on emulated hosts.

pub mod agent;
pub mod config;
pub mod process;
pub mod run;
pub mod store;
pub mod template;

pub use agent::{
    Action, Agent, ProcessIdentity, RecoveryOutcome, StopMode, StoredTask, TaskState, Timer,
};
pub use config::{AgentConfig, SettingsError};
