//! What the placer is started with, and why it may not start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maplethread::{LoadReport, Micros, Settings};
use maplethread_platform_settings::{FieldError, PlatformSettings};
use maplethread_platform_wire::config::Config;
use maplethread_reactor::ResourceError;
use serde_json::Value;

/// Why the placer could not start, or not go on.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be used.
    #[error("{}: {why}", .file.display())]
    Config {
        /// The file.
        file: PathBuf,
        /// What is wrong, and where.
        why: String,
    },
    /// A file, socket or signal could not be opened or used.
    #[error(transparent)]
    Resource(#[from] ResourceError),
}

/// How far apart the decisions on two offers, and their arrival, may lie besides the time that a connection may take to
/// come up: turns, and the pause before a connection is opened anew.
const DELIVERY_ALLOWANCE: Micros = 100_000;

/// The decisions' settings and the platform's terms, from the settings object; the error names the first key that is
/// missing or wrong.
pub fn decode_settings(settings: &Value) -> Result<(Settings, PlatformSettings), FieldError> {
    let (mut decisions, _) = maplethread_platform_settings::decode_policy_settings(settings)?;
    let terms = maplethread_platform_settings::decode_platform_settings(settings)?;
    // Offers wait for connections that are being made, and leave together: what is decided within a window and that time
    // may reach a host that came up cold within one window.
    decisions.rules.overload_window += terms.connect_timeout + DELIVERY_ALLOWANCE;
    // The protocol's page knows neither load reports in hosts' messages nor room in lists, whatever the settings say, and
    // neither is read here: the decisions reckon without them.
    (decisions.load_report, decisions.endpoints_report_capacity) = (LoadReport::Silent, false);
    Ok((decisions, terms))
}

/// The longest configuration file.
const LONGEST: u64 = 8 << 20;

/// Reads the configuration; name and address come from `RELAY_NAME` and `RELAY_LISTEN` where it lacks them.
pub(crate) fn load_config(path: &Path) -> Result<(Config, SocketAddr), StartError> {
    let wrong = |why: String| StartError::Config {
        file: path.to_owned(),
        why,
    };
    let length = std::fs::metadata(path)
        .map_err(ResourceError::of(path.display().to_string()))?
        .len();
    if length > LONGEST {
        return Err(wrong(format!("{length} bytes; at most {LONGEST} are read")));
    }
    let text =
        std::fs::read_to_string(path).map_err(ResourceError::of(path.display().to_string()))?;
    let mut config = Config::parse(&text).map_err(wrong)?;
    if config.name.is_empty() {
        config.name = std::env::var("RELAY_NAME").unwrap_or_default();
    }
    let listen = match config.listen {
        Some(listen) => listen,
        None => {
            let listen = std::env::var("RELAY_LISTEN").unwrap_or_default();
            let expected = || {
                wrong(format!(
                    "field listen: absent, and RELAY_LISTEN is {listen:?}, no address"
                ))
            };
            listen.parse().map_err(|_| expected())?
        }
    };
    Ok((config, listen))
}
