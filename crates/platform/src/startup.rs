//! What a placer is started with: its configuration and settings, and the reasons why it can't start.

use std::net::{AddrParseError, SocketAddr};
use std::path::{Path, PathBuf};

use maplethread::{LoadReport, Micros, Settings, SettingsError};
use maplethread_platform_settings::{FieldError, PlatformSettings};
use maplethread_platform_wire::config::Config;
use maplethread_reactor::ResourceError;
use serde_json::Value;

/// The longest configuration file, in bytes.
const MAX_CONFIG_BYTES: u64 = 8 << 20;
/// How far apart the decisions on two offers and their arrivals may lie, besides the time that a connection may take to be
/// established: turns, and the delay before a connection is reopened. In microseconds.
const DELIVERY_ALLOWANCE: Micros = 100_000;

/// Why the placer could not start, or had to stop.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be used.
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

/// What is wrong with a configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file is too long.
    #[error("{0} bytes; at most {MAX_CONFIG_BYTES} are read")]
    TooLong(u64),
    /// It is no JSON object of this form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It has no address to listen at, and the environment gives none.
    #[error("field listen: absent, and RELAY_LISTEN is {value:?}, no address")]
    NoListenAddress {
        /// The value of the environment variable.
        value: String,
        /// Why it is no address.
        source: AddrParseError,
    },
    /// A key of the settings object is missing or invalid.
    #[error("settings: {0}")]
    Key(#[from] FieldError),
    /// The decisions can't use the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

impl ConfigError {
    /// This error, of this file.
    pub(crate) fn in_file(self, file: &Path) -> StartError {
        StartError::Config {
            file: file.to_owned(),
            error: self,
        }
    }
}

/// Decodes both parts of the settings object: what the decisions use, and what the service uses.
///
/// # Errors
///
/// Returns an error that names the first key that is missing or invalid.
pub fn decode_settings(settings: &Value) -> Result<(Settings, PlatformSettings), FieldError> {
    let (mut policy_settings, _) = maplethread_platform_settings::decode_policy_settings(settings)?;
    let platform_settings = maplethread_platform_settings::decode_platform_settings(settings)?;
    // Offers wait for connections that are being opened, and are sent together: offers that were decided within a window
    // and this time may all reach a host that is warming up within one window.
    policy_settings.rules.overload_window += platform_settings.connect_timeout + DELIVERY_ALLOWANCE;
    // This protocol has neither load reports in hosts' messages nor capacity in lists, whatever the settings say.
    policy_settings.load_report = LoadReport::Silent;
    policy_settings.endpoints_report_capacity = false;
    Ok((policy_settings, platform_settings))
}

/// Reads the configuration and the address to listen at. Name and address come from `RELAY_NAME` and `RELAY_LISTEN` where
/// the file lacks them.
pub(crate) fn load_config(path: &Path) -> Result<(Config, SocketAddr), StartError> {
    let name = || path.display().to_string();
    let length = std::fs::metadata(path)
        .map_err(ResourceError::of(name()))?
        .len();
    if length > MAX_CONFIG_BYTES {
        return Err(ConfigError::TooLong(length).in_file(path));
    }
    let text = std::fs::read_to_string(path).map_err(ResourceError::of(name()))?;
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
