//! Input of the policy that the operators' platform and their simulator share: the settings object ([`settings`]), and the
//! ids and hashes of host names ([`host_names`]). The placer and the simulator adapter both use this crate, so that the
//! policy gets the same input in both. It performs no I/O and reads no clock.

mod field_error;
pub mod host_names;
pub mod settings;
mod settings_object;
mod units;

pub use field_error::FieldError;
pub use host_names::HostNames;
pub use settings::{
    CapacityReporting, PlatformSettings, decode_platform_settings, decode_policy_settings,
};
pub use units::micros_from_ms;
