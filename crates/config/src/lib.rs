//! The files that operators write: a placer's settings and the inventory of hosts, both in TOML. A file is parsed and
//! validated as a whole before anything uses it, and every error names the file, the line and the key. Other crates
//! parse their own files with [`parse_toml`], so that all errors have the same format.

mod checks;
mod class;
mod consul;
mod defaults;
mod error;
mod fleet;
mod inventory;
mod placer;
mod policy;
mod trace;

pub use class::{DeduplicationScope, HostKind, RetrySafety, TaskClass, TopologyLevel};
pub use consul::{ConsulSettings, DampingMode, ReadConsistency, SlotLeaseSettings};
pub use error::{ConfigError, ConfigErrors, Document, parse_toml};
pub use fleet::FleetSettings;
pub use inventory::{HostEntry, HostState, Inventory};
pub use placer::{
    AcceptancePoint, ApiSettings, CostSettings, HostSettings, Identity, LoadReport,
    PlacementSettings, PlacerConfig, RuleSettings,
};
pub use trace::TraceSettings;
