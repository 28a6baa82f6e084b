//! I/O errors with the name of the operating system resource that they concern.

use std::io;

/// An error of opening or using a file, socket or signal.
#[derive(Debug, thiserror::Error)]
#[error("{resource}: {source}")]
pub struct ResourceError {
    /// The name of the resource, for the operator: for example a path, an address or `epoll`.
    pub resource: String,
    /// The error of the operating system.
    pub source: io::Error,
}

impl ResourceError {
    /// Returns a function for [`Result::map_err`] that adds the name of the resource to an I/O error.
    pub fn for_resource(resource: impl Into<String>) -> impl FnOnce(io::Error) -> ResourceError {
        let resource = resource.into();
        |source| ResourceError { resource, source }
    }
}
