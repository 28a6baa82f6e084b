//! An event loop for single-threaded processes on Linux: readiness from epoll, TCP connections with bounded buffers,
//! listeners, signals, a clock and file watches. No async runtime is used.
//!
//! The crate does not interpret the transferred bytes. A connection reads a bounded number of bytes per call, so that a
//! peer that sends a lot does not delay the others, and watches for write readiness only while it has unwritten bytes.
//!
//! A process creates an [`EventLoop`], which owns the clock, the poller and the signals. It registers connections
//! ([`TcpConnection`]), listeners ([`Listener`]) and files ([`FileWatch`]) under tokens of its own choice. The
//! [`Readiness`] of an event contains the token.

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
