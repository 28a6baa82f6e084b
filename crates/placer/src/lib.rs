//! The placer's daemon: the engine on sockets. It reads all that is readable, gives it to the engine with the
//! time, lets it decide once, and writes what came out. Nothing here knows what the bytes mean.

mod consul_client;
mod daemon;
mod decision_time;
mod http_call;
mod membership;
mod pending_writes;
mod start;
mod trace_queue;
mod trace_recorder;

pub use consul_client::ConsulClient;
pub use daemon::run;
pub use http_call::get_json;
pub use maplethread_reactor::Clock;
pub use start::{Error, Options, load_config};
