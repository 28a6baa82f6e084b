//! The inventory file: read at the start, and again whenever it changes.

use std::io;
use std::path::Path;

use maplethread_config::{Document, Inventory, PlacerConfig};
use maplethread_engine::Decide;
use maplethread_reactor::{FileWatch, Poller, ResourceError};

use super::Daemon;
use crate::error::Error;
use crate::tokens::INVENTORY_TOKEN;

/// The longest inventory file.
const MAX_INVENTORY_BYTES: u64 = 16 << 20;

/// Watches the inventory file, if the settings name one.
pub(super) fn watch(config: &PlacerConfig, poller: &Poller) -> Result<Option<FileWatch>, Error> {
    let Some(path) = &config.hosts.inventory else {
        return Ok(None);
    };
    let resource = format!("watching {}", path.display());
    let watch = FileWatch::new(path).map_err(ResourceError::of(resource))?;
    poller
        .register(&watch, INVENTORY_TOKEN, false)
        .map_err(ResourceError::of("inotify"))?;
    Ok(Some(watch))
}

/// Reads a file unless it is too long.
fn read_limited(path: &Path) -> io::Result<String> {
    // A file that can't be looked at can't be read either, and reading says why.
    let is_too_long = std::fs::metadata(path).is_ok_and(|m| m.len() > MAX_INVENTORY_BYTES);
    if is_too_long {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, "over 16 MiB"));
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

    /// Reads the inventory file, if there is one. A file that can't be used leaves the last good list in place.
    pub(super) fn load_inventory(&mut self) {
        let Some(watch) = &self.inventory_watch else {
            return;
        };
        let file = watch.path().display().to_string();
        let text = match read_limited(watch.path()) {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(%file, %error, "inventory can't be read; the last good list is kept");
                return;
            }
        };
        let document = Document {
            file: &file,
            text: &text,
        };
        match Inventory::parse(document, &self.config) {
            Ok(inventory) => {
                tracing::info!(%file, hosts = inventory.hosts.len(), "inventory read");
                self.engine
                    .apply_inventory(self.event_loop.now(), &inventory);
            }
            Err(error) => tracing::error!(%error, "bad inventory; the last good list is kept"),
        }
    }
}
