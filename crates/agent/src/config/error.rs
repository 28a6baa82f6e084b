//! Errors in a settings file.

use std::fmt;
use std::io;

use maplethread_config::ConfigError;

/// An error in reading or validating a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read, or a path in it cannot be resolved.
    #[error("{file}: {source}")]
    Io {
        /// The settings file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file cannot be parsed.
    #[error(transparent)]
    Parse(#[from] ConfigError),
    /// Settings are invalid.
    #[error("{}", join_faults(file, faults))]
    Invalid {
        /// The settings file.
        file: String,
        /// All invalid settings.
        faults: Vec<SettingFault>,
    },
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// The key of the setting.
    pub key: String,
    /// The requirement that the value does not meet, or the error in the value.
    pub problem: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// One line for each fault.
fn join_faults(file: &str, faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{file}: {fault}"))
        .collect();
    lines.join("\n")
}
