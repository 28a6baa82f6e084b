//! Hosts and placer slots from Consul's HTTP API.
//!
//! The crate does no I/O. [`ConsulSource`] returns the HTTP calls to make (server, bytes, timeout), takes responses and
//! failures together with the current time, and returns changes of the host list and of the placer's slot.
//!
//! - [`json_rows`] reads long lists in steps, [`catalogue`] turns their entries into hosts.
//! - [`list_validator`] decides which lists to accept.
//! - [`lease`] holds the placer's slot by a session and a locked key.
//! - [`request`], [`response`] and [`backoff`] are shared by all calls.
//!
//! Flap damping is in a separate crate. The requests follow the documentation of Consul's HTTP API.

pub mod backoff;
pub mod catalogue;
mod index_watch;
pub mod json_rows;
pub mod lease;
pub mod list_validator;
pub mod request;
pub mod response;
mod source;

pub use source::{CallId, CatalogueReport, ConsulSource, Output, Update};

/// A point in time, or a duration, in microseconds.
pub type Micros = u64;
