//! Consul's catalogue and health API as a source of hosts, and its sessions and keys as a source of placer numbers.
//!
//! All of it is sans-I/O: [`Source`] gives calls to be made (server, bytes, how long to wait), takes answers and
//! failures with the time, and gives changes of the list of hosts and of the placer's slot. [`rows`] takes in
//! long lists in steps, [`catalogue`] turns their entries into hosts, [`trust`] decides which answers to believe, [`lease`] holds the slot, and the damping of
//! flaps is a crate of its own. Written from Consul's published HTTP API documentation.

pub mod catalogue;
pub mod confidence;
mod index_watch;
pub mod json_rows;
pub mod lease;
pub mod query;
mod source;

pub use source::{CallId, CatalogueReport, ConsulSource, Output, Update};

/// A point in time, or a span, in microseconds.
pub type Micros = u64;
