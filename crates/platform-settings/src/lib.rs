//! What the operators' platform and their simulator tell alike, in the decisions' terms: the settings object
//! ([`settings`]), and hosts by name, numbered and labelled ([`hosts`]). Both adapters read it here, so that both
//! give the module the same picture. Sans-I/O, without clock, and it decides nothing.

mod field_error;
pub mod host_names;
pub mod settings;

pub use field_error::{FieldError, micros};
pub use host_names::HostNames;
pub use settings::{
    CapacityReporting, PlatformSettings, decode_platform_settings, decode_policy_settings,
};
