//! What the operators' platform and their simulator have in common, in terms of the decisions: the settings object
//! ([`settings`]), and the numbering and hashing of host names ([`host_names`]). The service and the simulator's adapter
//! both decode it here, so that both give the decisions the same input. It performs no I/O, reads no clock and decides
//! nothing.

mod field_error;
pub mod host_names;
mod node;
pub mod settings;
mod units;

pub use field_error::FieldError;
pub use host_names::HostNames;
pub use settings::{
    CapacityReporting, PlatformSettings, decode_platform_settings, decode_policy_settings,
};
pub use units::micros;
