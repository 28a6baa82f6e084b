//! What operators write: a placer's settings and the inventory of hosts, both TOML. Files are parsed and checked
//! whole before anything uses them, and every complaint names the file, the line and the key. Other crates parse
//! their own files with [`parse`], so that all complaints read alike.

mod checks;
mod defaults;
mod error;
mod fleet;
mod inventory;
mod placer;
mod trace;

pub use error::{ConfigError, ConfigErrors, Document, parse_toml};
pub use fleet::FleetSettings;
pub use inventory::{HostEntry, HostState, Inventory};
pub use placer::*;
pub use trace::TraceSettings;
