//! Codecs for HTTP/1.1 messages ([`http`]) and for the frames of the host protocol ([`frame`]).
//!
//! Both accept bytes in pieces of any size, have no I/O, clock or threads, and limit what a peer can make them keep in
//! memory. They do not interpret messages; that is left to the engine.

pub mod frame;
pub mod http;
