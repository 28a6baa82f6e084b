//! The event loop of the project's processes on Linux: readiness by epoll, TCP connections with bounded buffers,
//! listening, signals, a clock, and the watch on a file. One thread each, no runtime.
//!
//! The crate knows nothing of what the bytes mean. A connection reads a bounded number of bytes in one round, so that one
//! busy peer does not starve the others, and asks for write readiness only while something is left to write.
//!
//! A process starts with an [`EventLoop`], which owns the clock, the poller and the signals. It registers connections
//! ([`TcpConnection`]), listeners ([`Listener`]) and files ([`FileWatch`]) under tokens of its own choice, waits, and finds
//! those tokens in the [`Readiness`] of each event.

mod clock;
mod connection;
mod error;
mod event_loop;
mod file_watch;
mod listener;
mod poller;
mod signals;

pub use clock::Clock;
pub use connection::{ReadOutcome, TcpConnection};
pub use error::ResourceError;
pub use event_loop::EventLoop;
pub use file_watch::FileWatch;
pub use listener::{Backlog, Listener, is_resource_exhausted};
pub use poller::{MAX_EVENTS_PER_WAIT, Poller, Readiness};
pub use signals::Signals;
