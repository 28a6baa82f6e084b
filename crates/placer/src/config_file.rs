//! Loading of a placer's settings file.

use std::path::{Path, PathBuf};

use maplethread_config::{Document, PlacerConfig};
use maplethread_reactor::ResourceError;

use crate::error::Error;

/// Options for running a placer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file.
    pub config_path: PathBuf,
}

/// Reads and validates a settings file. Relative paths in it are resolved against the folder that contains it.
///
/// # Errors
/// If the file can't be read or its settings are invalid.
pub fn load_config(path: &Path) -> Result<PlacerConfig, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(ResourceError::for_resource(file.clone()))?;
    let document = Document {
        file: &file,
        text: &text,
    };
    let mut config = PlacerConfig::parse(document).map_err(Error::Config)?;
    if let Some(folder) = path.parent() {
        resolve_paths(&mut config, folder);
    }
    Ok(config)
}

/// Resolves relative paths in the settings against `folder`.
fn resolve_paths(config: &mut PlacerConfig, folder: &Path) {
    if let Some(inventory) = &mut config.hosts.inventory {
        *inventory = folder.join(&inventory);
    }
    if let Some(membership) = &mut config.fleet {
        membership.key_file = folder.join(&membership.key_file);
    }
    if let Some(trace) = &mut config.trace {
        trace.folder = folder.join(&trace.folder);
    }
    if let Some(consul) = &mut config.consul
        && let Some(token_file) = &mut consul.token_file
    {
        *token_file = folder.join(&token_file);
    }
}
