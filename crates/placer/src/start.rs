//! What a placer is started with, and why it may not start.

use std::io;
use std::path::{Path, PathBuf};

use maplethread::SettingsError;
use maplethread_config::{ConfigErrors, Document, PlacerConfig};

/// How to run a placer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its settings file.
    pub config_path: PathBuf,
}

/// Why a placer could not run.
#[derive(Debug)]
pub enum Error {
    /// The settings file can't be used.
    Config(ConfigErrors),
    /// The decider does not take the settings.
    Settings(SettingsError),
    /// A file, socket or signal could not be had.
    Io(String, io::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Config(e) => write!(f, "{e}"),
            Error::Settings(e) => write!(f, "{e}"),
            Error::Io(what, e) => write!(f, "{what}: {e}"),
        }
    }
}

impl std::error::Error for Error {}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    let what = what.into();
    move |e| Error::Io(what, e)
}

/// Reads a settings file; the inventory's path is taken from its folder.
pub fn load_config(path: &Path) -> Result<PlacerConfig, Error> {
    let text = std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
    let file = path.display().to_string();
    let mut config = PlacerConfig::parse(Document {
        file: &file,
        text: &text,
    })
    .map_err(Error::Config)?;
    if let Some(folder) = path.parent() {
        config.hosts.inventory = config.hosts.inventory.map(|path| folder.join(path));
        if let Some(fleet) = &mut config.fleet {
            fleet.key_file = folder.join(&fleet.key_file);
        }
        if let Some(trace) = &mut config.trace {
            trace.folder = folder.join(&trace.folder);
        }
        if let Some(consul) = &mut config.consul {
            consul.token_file = consul.token_file.take().map(|path| folder.join(path));
        }
    }
    Ok(config)
}
