//! The error of a resource of the operating system, with the name of the resource.

use std::io;

/// A file, socket or signal that could not be opened or used.
#[derive(Debug, thiserror::Error)]
#[error("{resource}: {source}")]
pub struct ResourceError {
    /// What could not be used, as an operator knows it: a path, an address, `epoll`.
    pub resource: String,
    /// Why.
    pub source: io::Error,
}

impl ResourceError {
    /// Names the resource that an I/O error is about, for [`Result::map_err`].
    pub fn of(resource: impl Into<String>) -> impl FnOnce(io::Error) -> ResourceError {
        let resource = resource.into();
        |source| ResourceError { resource, source }
    }
}
