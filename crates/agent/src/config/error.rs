//! What can be wrong with a settings file.

use std::fmt;
use std::io;

use maplethread_config::ConfigError;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read, or a path in it can't be resolved.
    #[error("{file}: {source}")]
    Io {
        /// The settings file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file can't be parsed.
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
    /// What it has to be, or what is wrong with it.
    pub problem: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

/// A line for each fault.
fn join_faults(file: &str, faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("{file}: {fault}"))
        .collect();
    lines.join("\n")
}
