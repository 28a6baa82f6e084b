//! Why an agent could not be run.

use std::io;
use std::path::PathBuf;

use crate::config::SettingsError;
use crate::store::StoreError;

/// Why an agent could not be run, or stopped running.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings file can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The store can't be used.
    #[error("{}: {source}", path.display())]
    Store {
        /// The file of the store.
        path: PathBuf,
        /// Why it can't be used.
        source: StoreError,
    },
    /// The folder for output could not be created, or the sockets that the settings name could not be set up.
    #[error("{}: {source}", path.display())]
    Setup {
        /// The folder, or the settings file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The kernel's id of this boot could not be read.
    #[error("boot id: {0}")]
    BootId(#[source] io::Error),
    /// Waiting for events failed.
    #[error("agent: {0}")]
    Serve(#[source] io::Error),
}
