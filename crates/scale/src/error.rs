//! Why a sweep could not be run.

use std::io;

use maplethread_config::ConfigError;

/// Why a sweep could not be run.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The sweep file can't be used.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The machine is too small for the sweep.
    #[error("{what}: the sweep needs about {needed}, and {available} may be used; {remedy}")]
    DoesNotFit {
        /// What there is too little of.
        what: &'static str,
        /// How much the sweep needs.
        needed: u64,
        /// How much there is for it.
        available: u64,
        /// What can be done.
        remedy: &'static str,
    },
    /// The fleet did not come to the state that is to be measured.
    #[error("{0}")]
    NotSettled(String),
    /// The sweep was interrupted.
    #[error("interrupted")]
    Interrupted,
    /// A file, socket or process could not be had.
    #[error("{what}: {source}")]
    Io {
        /// What it was for.
        what: String,
        /// The error of the operating system.
        source: io::Error,
    },
}

impl ScaleError {
    /// An error of the operating system while something was done.
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(io::Error) -> ScaleError {
        let what = what.into();
        move |source| ScaleError::Io { what, source }
    }
}
