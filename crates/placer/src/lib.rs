//! The placer's daemon: the engine on sockets. It reads all that is readable, gives it to the engine with the
//! time, lets it decide once, and writes what came out. Nothing here knows what the bytes mean.

mod call;
mod catalogue;
mod daemon;
mod decide_time;
mod dirty;
mod fleet;
mod recorder;
mod recording;
mod start;

pub use call::get_json;
pub use catalogue::ConsulClient;
pub use daemon::run;
pub use maplethread_reactor::Clock;
pub use start::{Error, Options, load_config};
