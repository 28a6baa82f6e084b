//! threads. It knows nothing of what the bytes mean. Connections read a bounded amount a turn, so that one busy
//! peer can't starve the rest, and ask for write readiness only while something is left to write.

mod accept;
mod clock;
mod conn;
mod poll;
mod watch;

pub use accept::{is_resource_exhausted, listen};
pub use clock::Clock;
pub use conn::{ReadOutcome, TcpConnection};
pub use poll::{MAX_EVENTS_PER_WAIT, Poller, Readiness, Signals};
pub use watch::FileWatch;
