//! What the placer is started with, and why it may not start.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maplethread_platform_wire::config::Config;

/// Why the placer could not start, or not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration can't be used.
    #[error("{}: {why}", .file.display())]
    Config {
        /// The file.
        file: PathBuf,
        /// What is wrong, and where.
        why: String,
    },
    /// A file, socket or signal could not be had.
    #[error("{0}: {1}")]
    Io(String, io::Error),
}

pub(crate) fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> Error {
    let what = what.into();
    move |e| Error::Io(what, e)
}

/// The longest configuration file.
const LONGEST: u64 = 8 << 20;

/// Reads the configuration; name and address come from `RELAY_NAME` and `RELAY_LISTEN` where it lacks them.
pub(crate) fn load(path: &Path) -> Result<(Config, SocketAddr), Error> {
    let wrong = |why: String| Error::Config { file: path.to_owned(), why };
    let length = std::fs::metadata(path).map_err(io_error(path.display().to_string()))?.len();
    if length > LONGEST {
        return Err(wrong(format!("{length} bytes; at most {LONGEST} are read")));
    }
    let text = std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
    let mut config = Config::parse(&text).map_err(wrong)?;
    if config.name.is_empty() {
        config.name = std::env::var("RELAY_NAME").unwrap_or_default();
    }
    let listen = match config.listen {
        Some(listen) => listen,
        None => {
            let listen = std::env::var("RELAY_LISTEN").unwrap_or_default();
            let expected =
                || wrong(format!("field listen: absent, and RELAY_LISTEN is {listen:?}, no address"));
            listen.parse().map_err(|_| expected())?
        }
    };
    Ok((config, listen))
}
