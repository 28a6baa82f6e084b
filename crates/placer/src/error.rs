//! Errors that keep a placer from starting or running.

use maplethread::SettingsError;
use maplethread_config::ConfigErrors;
use maplethread_reactor::ResourceError;

/// An error that keeps a placer from starting or running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file is invalid.
    #[error("{0}")]
    Config(ConfigErrors),
    /// The decider rejected the settings.
    #[error("{0}")]
    Settings(SettingsError),
    /// A file, socket or signal could not be opened or used.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}
