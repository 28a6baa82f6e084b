//! The placer's daemon: the engine on sockets. It reads all that is readable, gives it to the engine with the time, lets
//! it decide once, and writes what came out. Nothing here knows what the bytes mean.
//!
//! [`run`] is the whole process. The loop is in `daemon`; what it needs beside the engine has a module each: Consul
//! ([`ConsulClient`]), the membership protocol, the recording of a trace, and the measurements.

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
