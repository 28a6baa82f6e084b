//! The inventory file: loaded at startup and whenever it changes.

use std::io;
use std::path::Path;

use maplethread_config::{Document, Inventory, PlacerConfig};
use maplethread_engine::Decide;
use maplethread_reactor::{FileWatch, Poller, ResourceError};

use super::Daemon;
use crate::error::Error;
use crate::tokens::INVENTORY_TOKEN;

const MAX_INVENTORY_BYTES: u64 = 16 << 20;

/// Watches the inventory file, if the settings name one.
pub(super) fn watch(config: &PlacerConfig, poller: &Poller) -> Result<Option<FileWatch>, Error> {
    let Some(path) = &config.hosts.inventory else {
        return Ok(None);
    };
    let resource = format!("watching {}", path.display());
    let watch = FileWatch::new(path).map_err(ResourceError::for_resource(resource))?;
    poller
        .register(&watch, INVENTORY_TOKEN, false)
        .map_err(ResourceError::for_resource("inotify"))?;
    Ok(Some(watch))
}

/// Reads a file of at most `MAX_INVENTORY_BYTES`.
fn read_limited(path: &Path) -> io::Result<String> {
    // If the metadata can't be read, neither can the file, and reading it returns the reason.
    let is_too_long = std::fs::metadata(path).is_ok_and(|m| m.len() > MAX_INVENTORY_BYTES);
    if is_too_long {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            "larger than 16 MiB",
        ));
    }
    std::fs::read_to_string(path)
}

impl<D: Decide> Daemon<D> {
    pub(super) fn on_inventory_ready(&mut self) {
        if self
            .inventory_watch
            .as_mut()
            .is_some_and(FileWatch::has_changed)
        {
            self.load_inventory();
        }
    }

    /// Loads the inventory file, if one is configured. If it can't be used, the last valid list stays in use.
    pub(super) fn load_inventory(&mut self) {
        let Some(watch) = &self.inventory_watch else {
            return;
        };
        let file = watch.path().display().to_string();
        let text = match read_limited(watch.path()) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%file, %error, "cannot read the inventory; keeping the last valid list");
                return;
            }
        };
        let document = Document {
            file: &file,
            text: &text,
        };
        match Inventory::parse(document, &self.config) {
            Ok(inventory) => {
                tracing::info!(%file, hosts = inventory.hosts.len(), "inventory loaded");
                self.engine
                    .apply_inventory(self.event_loop.now(), &inventory);
            }
            Err(error) => tracing::error!(%error, "bad inventory; keeping the last valid list"),
        }
    }
}
