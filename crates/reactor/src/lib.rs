//! threads. It knows nothing of what the bytes mean. Connections read a bounded amount a turn, so that one busy
//! peer can't starve the rest, and ask for write readiness only while something is left to write.

mod clock;
mod connection;
mod file_watch;
mod listener;
mod poller;

pub use clock::Clock;
pub use connection::{ReadOutcome, TcpConnection};
pub use file_watch::FileWatch;
pub use listener::{is_resource_exhausted, listen};
pub use poller::{MAX_EVENTS_PER_WAIT, Poller, Readiness, Signals};
