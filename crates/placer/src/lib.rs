//! The placer daemon: runs the engine on sockets. Each round of its event loop reads the available input, passes it to
//! the engine with the current time, lets the engine decide once, and writes the output. Only the engine interprets the
//! bytes of clients and hosts.
//!
//! [`run`] runs a placer until it is stopped by a signal. The event loop is in `daemon`. Separate modules contain what it
//! uses besides the engine: the Consul client ([`ConsulClient`]), the membership protocol, trace recording and
//! measurements.

mod config_file;
mod consul_client;
mod daemon;
mod decision_times;
mod error;
mod http_call;
mod loop_time;
mod membership;
mod pending_writes;
mod stall_detection;
mod tokens;
mod trace_queue;
mod trace_recorder;

pub use config_file::{Options, load_config};
pub use consul_client::ConsulClient;
pub use daemon::run;
pub use error::Error;
pub use http_call::get_json;
pub use maplethread_reactor::Clock;
pub use tokens::TokenAllocator;
