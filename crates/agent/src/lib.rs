//! The node agent of a host: it implements the host side of the host protocol, and runs each task as a process.
//!
//! - [`agent`] is the state machine, without I/O: it takes frames from placers, process exits and timer expiries, and
//!   returns a list of [`Action`]s, ordered so that nothing is sent before the state it depends on is durable.
//! - [`store`] persists accepted tasks in an embedded database.
//! - [`process`] starts, finds, measures and stops processes; a process is identified by pid and start time.
//! - [`config`] reads the settings file written by operators, [`template`] renders command lines from it.
//! - [`run`] connects these modules to sockets, processes and signals.
//!
//! Admission control (which offers are accepted) is in `maplethread-admission`, which emulated hosts use too.

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
