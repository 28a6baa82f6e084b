//! The node agent: the host side of the host protocol with real processes. [`agent`] decides without I/O: frames of
//! placers, ends of processes and timers go in; what is to be kept, sent, started and killed comes out, in an order
//! in which nothing leaves before it is durable. [`store`] keeps it, [`process`] starts processes and tells them
//! apart by pid and start time, [`template`] makes command lines, [`config`] is what operators write, and [`run`] is
//! the shell on sockets. Which asks are taken is decided by `maplethread-admission`, as on stand-in hosts.

pub mod agent;
pub mod config;
pub mod process;
pub mod run;
pub mod store;
pub mod template;

pub use agent::{Action, Agent, ProcessIdentity, StoredTask, TaskState};
pub use config::AgentConfig;
