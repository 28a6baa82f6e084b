//! The errors of sweeps.

use std::io;

use maplethread_config::ConfigError;

/// The error of a sweep.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The sweep file is not valid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The machine is too small for the sweep.
    #[error("{what}: the sweep needs about {needed}, available are {available}; {remedy}")]
    InsufficientResources {
        /// The resource that is too small, with its unit.
        what: &'static str,
        /// The estimated need of the sweep.
        needed: u64,
        /// How much of the resource a sweep may use.
        available: u64,
        /// What the operator can do.
        remedy: &'static str,
    },
    /// The fleet did not reach the state to be measured.
    #[error("{0}")]
    NotSettled(String),
    /// The sweep was interrupted.
    #[error("interrupted")]
    Interrupted,
    /// An operation on a file, socket or process failed.
    #[error("{what}: {source}")]
    Io {
        /// The purpose of the operation.
        what: String,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ScaleError {
    /// Returns a function that makes an [`ScaleError::Io`] for this purpose.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |source| ScaleError::Io { what, source }
    }
}
