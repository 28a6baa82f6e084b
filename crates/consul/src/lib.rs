//! Hosts and placer slots from Consul's HTTP API.
//!
//! The crate does no I/O. [`ConsulSource`] says which HTTP calls to make (server, bytes, timeout), is given responses
//! and failures together with the time, and returns changes of the host list and of the placer's slot.
//!
//! - [`json_rows`] reads long lists in steps, [`catalogue`] turns their entries into hosts.
//! - [`confidence`] decides which lists to accept.
//! - [`lease`] holds the placer's slot by a session and a locked key.
//! - [`request`], [`response`] and [`backoff`] are what all calls share.
//!
//! Flap damping is a crate of its own. Written from Consul's published HTTP API documentation.

pub mod backoff;
pub mod catalogue;
pub mod confidence;
mod index_watch;
pub mod json_rows;
pub mod lease;
pub mod request;
pub mod response;
mod source;

pub use source::{CallId, CatalogueReport, ConsulSource, Output, Update};

/// A point in time, or a duration, in microseconds.
pub type Micros = u64;
