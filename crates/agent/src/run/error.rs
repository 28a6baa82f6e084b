//! Errors of running an agent.

use std::io;
use std::path::PathBuf;

use crate::config::SettingsError;
use crate::store::StoreError;

/// An error in starting or running an agent.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The store cannot be used.
    #[error("{}: {source}", path.display())]
    Store {
        /// The path of the store.
        path: PathBuf,
        /// The error of the store.
        source: StoreError,
    },
    /// The output folder could not be created, or the configured sockets could not be set up.
    #[error("{}: {source}", path.display())]
    Setup {
        /// The folder, or the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The kernel's boot id could not be read.
    #[error("cannot read the boot id: {0}")]
    BootId(#[source] io::Error),
    /// Waiting for events failed.
    #[error("cannot wait for events: {0}")]
    Serve(#[source] io::Error),
}
