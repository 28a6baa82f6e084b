//! Why a placer could not start, or not go on.

use maplethread::SettingsError;
use maplethread_config::ConfigErrors;
use maplethread_reactor::ResourceError;

/// Why a placer could not start, or not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file can't be used.
    #[error("{0}")]
    Config(ConfigErrors),
    /// The decider does not take the settings.
    #[error("{0}")]
    Settings(SettingsError),
    /// A file, socket or signal could not be opened or used.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}
