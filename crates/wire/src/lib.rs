//! Codecs for HTTP/1.1 messages ([`http`]) and for the frames of the host protocol ([`frame`]).
//!
//! Both accept bytes in pieces of any size, have no I/O, clock or threads, and limit the memory that a peer can make
//! them use. They do not interpret messages; their callers do.

pub mod frame;
pub mod http;
