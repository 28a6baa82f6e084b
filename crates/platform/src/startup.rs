//! The configuration and settings that a placer is started with, and the errors of a start.

use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use maplethread::{LoadReportContent, Micros, Settings, SettingsError};
use maplethread_platform_settings::{FieldError, PlatformSettings};
use maplethread_platform_wire::config::Config;
use maplethread_reactor::ResourceError;
use serde_json::Value;

/// The maximum size of the configuration file.
const MAX_CONFIG_BYTES: u64 = 8 << 20;
/// The longest time, in addition to the connect timeout, from the decision on an offer to its arrival at the host. It
/// covers the length of turns and the delay before a connection is reopened.
const DELIVERY_ALLOWANCE: Micros = 100_000;

/// Why the placer could not start or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration is invalid.
    #[error("{}: {error}", .file.display())]
    Config {
        /// The configuration file.
        file: PathBuf,
        /// What is wrong with it.
        error: ConfigError,
    },
    /// A file, socket or signal could not be opened or used.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is too large.
    #[error("file has {0} bytes; at most {MAX_CONFIG_BYTES} are allowed")]
    TooLong(u64),
    /// The file is not valid JSON or lacks a field.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Neither the file nor the environment gives a valid listen address.
    #[error("field listen: missing, and RELAY_LISTEN is {value:?}, which is not a socket address")]
    NoListenAddress {
        /// The value of the environment variable.
        value: String,
        /// Why it is not an address.
        source: AddrParseError,
    },
    /// A key of the settings object is missing or invalid.
    #[error("settings: {0}")]
    Key(#[from] FieldError),
    /// The policy rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl ConfigError {
    /// Adds the path of the configuration file to the error.
    pub(crate) fn in_file(self, file: &Path) -> StartError {
        StartError::Config {
            file: file.to_owned(),
            error: self,
        }
    }
}

/// Decodes the two parts of the settings object: the policy's, and the placer's own.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_settings(settings: &Value) -> Result<(Settings, PlatformSettings), FieldError> {
    let (mut policy_settings, _) = maplethread_platform_settings::decode_policy_settings(settings)?;
    let platform_settings = maplethread_platform_settings::decode_platform_settings(settings)?;
    // The warm-up budget limits the offers that arrive within a window, but the policy counts offers when it decides on them.
    // Offers that wait for a connection are sent together once it is established, so offers from a longer time than a window
    // can arrive within one. The window is therefore extended by the longest delay of an offer.
    policy_settings.rules.overload_window += platform_settings.connect_timeout + DELIVERY_ALLOWANCE;
    // In the platform protocol, hosts' messages contain no load reports and host lists no capacity, even if the settings
    // announce them.
    policy_settings.load_report_content = LoadReportContent::Nothing;
    policy_settings.endpoints_report_capacity = false;
    Ok((policy_settings, platform_settings))
}

/// Reads the configuration and the listen address. If the file lacks the name or the address, they are taken from
/// `RELAY_NAME` and `RELAY_LISTEN`.
pub(crate) fn load_config(path: &Path) -> Result<(Config, SocketAddr), StartError> {
    let name = || path.display().to_string();
    let length = std::fs::metadata(path)
        .map_err(ResourceError::for_resource(name()))?
        .len();
    if length > MAX_CONFIG_BYTES {
        return Err(ConfigError::TooLong(length).in_file(path));
    }
    let text = std::fs::read_to_string(path).map_err(ResourceError::for_resource(name()))?;
    parse_config(&text).map_err(|error| error.in_file(path))
}

fn parse_config(text: &str) -> Result<(Config, SocketAddr), ConfigError> {
    let mut config = Config::parse(text)?;
    if config.name.is_empty() {
        config.name = std::env::var("RELAY_NAME").unwrap_or_default();
    }
    let listen = match config.listen {
        Some(listen) => listen,
        None => {
            let value = std::env::var("RELAY_LISTEN").unwrap_or_default();
            value
                .parse()
                .map_err(|source| ConfigError::NoListenAddress { value, source })?
        }
    };
    Ok((config, listen))
}
