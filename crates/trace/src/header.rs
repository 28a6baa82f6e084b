//! The beginning of a file: versions, and all that a replay needs besides the turns.

use std::io::{Read, Write};

use maplethread::Settings;
use serde::{Deserialize, Serialize};

use crate::TraceError;

/// A reader refuses files of another major version.
pub const MAJOR: u16 = 1;
/// Files of a newer minor version hold kinds of records that this one passes over.
pub const MINOR: u16 = 1;
const FILE_MAGIC: &[u8; 8] = b"MAPLETRC";
/// The longest header.
const MAX_HEADER_BYTES: u32 = 16 << 20;
const CHECKSUM_BYTES: usize = 16;

/// The header: JSON, so that other programs read it without this one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name and version of the program that wrote it.
    pub writer: String,
    /// The hash of the module's text.
    pub module: String,
    /// The placer's name.
    pub placer: String,
    /// When its process started, Unix time in ms: tells its runs apart.
    pub started_ms: u64,
    /// The module's seed.
    pub seed: u64,
    /// The module's settings; none if something else decided.
    pub settings: Option<Settings>,
    /// The names of classes, in their order.
    pub classes: Vec<String>,
    /// Which file of the run this is, from 0. Only from the first on can the module be fed anew.
    pub part: u32,
    /// What was done to the file since it was written: `cut`, `repair`.
    #[serde(default)]
    pub changed: Vec<String>,
    /// The runs of placers that a merged trace is of; none in any other. Since 1.1.
    #[serde(default)]
    pub sources: Vec<Source>,
}

/// One run of one placer in a merged trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The placer's name.
    pub placer: String,
    /// When its process started, Unix time in ms.
    pub started_ms: u64,
    /// The hash of the module's text.
    pub module: String,
    /// Which files of the run are in it.
    pub parts: Vec<u32>,
    /// What was added to its times.
    pub offset_us: i64,
    /// How far nine in ten of its sights then still lie from those of others; none if no other shared one.
    pub error_us: Option<u64>,
}

/// The files that hold the decisions, with their text: those of `policy` in `deploy/balancer.toml`, in that order.
pub const POLICY_SOURCES: [(&str, &str); 17] = [
    (
        "src/policy/mod.rs",
        include_str!("../../../src/policy/mod.rs"),
    ),
    (
        "src/policy/answer_times.rs",
        include_str!("../../../src/policy/answer_times.rs"),
    ),
    (
        "src/policy/answers.rs",
        include_str!("../../../src/policy/answers.rs"),
    ),
    (
        "src/policy/attempts.rs",
        include_str!("../../../src/policy/attempts.rs"),
    ),
    (
        "src/policy/endpoints.rs",
        include_str!("../../../src/policy/endpoints.rs"),
    ),
    (
        "src/policy/feasibility.rs",
        include_str!("../../../src/policy/feasibility.rs"),
    ),
    (
        "src/policy/load.rs",
        include_str!("../../../src/policy/load.rs"),
    ),
    (
        "src/policy/machine.rs",
        include_str!("../../../src/policy/machine.rs"),
    ),
    (
        "src/policy/migration.rs",
        include_str!("../../../src/policy/migration.rs"),
    ),
    (
        "src/policy/outlier.rs",
        include_str!("../../../src/policy/outlier.rs"),
    ),
    (
        "src/policy/placements.rs",
        include_str!("../../../src/policy/placements.rs"),
    ),
    (
        "src/policy/placing.rs",
        include_str!("../../../src/policy/placing.rs"),
    ),
    (
        "src/policy/random.rs",
        include_str!("../../../src/policy/random.rs"),
    ),
    (
        "src/policy/restart_throttle.rs",
        include_str!("../../../src/policy/restart_throttle.rs"),
    ),
    (
        "src/policy/selection.rs",
        include_str!("../../../src/policy/selection.rs"),
    ),
    (
        "src/policy/service_rate.rs",
        include_str!("../../../src/policy/service_rate.rs"),
    ),
    (
        "src/policy/slow_start.rs",
        include_str!("../../../src/policy/slow_start.rs"),
    ),
];

/// The hash of the text of the decision modules that this program decides with, one file after the other in the order of
/// [`POLICY_SOURCES`].
pub fn module_hash() -> String {
    let mut hasher = blake3::Hasher::new();
    for (_, text) in POLICY_SOURCES {
        hasher.update(text.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

impl Header {
    /// Writes magic, version, length, JSON and checksum.
    pub fn write(&self, out: &mut impl Write) -> Result<u64, TraceError> {
        let json = serde_json::to_vec(self).map_err(std::io::Error::other)?;
        let mut bytes = Vec::with_capacity(json.len() + 32);
        bytes.extend_from_slice(FILE_MAGIC);
        bytes.extend_from_slice(&MAJOR.to_le_bytes());
        bytes.extend_from_slice(&MINOR.to_le_bytes());
        bytes.extend_from_slice(&(json.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&json);
        let check = blake3::hash(&bytes);
        bytes.extend_from_slice(&check.as_bytes()[..CHECKSUM_BYTES]);
        out.write_all(&bytes)?;
        Ok(bytes.len() as u64)
    }

    /// Reads it; returns how many octets it took, and the minor version.
    pub fn read(from: &mut impl Read) -> Result<(Header, u64, u16), TraceError> {
        let mut start = [0; 16];
        from.read_exact(&mut start)
            .map_err(|_| TraceError::NotATrace("it is too short"))?;
        if &start[..8] != FILE_MAGIC {
            return Err(TraceError::NotATrace("it does not begin with MAPLETRC"));
        }
        let two = |at: usize| u16::from_le_bytes([start[at], start[at + 1]]);
        let (major, minor) = (two(8), two(10));
        if major != MAJOR {
            return Err(TraceError::UnsupportedVersion(major, minor));
        }
        let length = u32::from_le_bytes([start[12], start[13], start[14], start[15]]);
        if length > MAX_HEADER_BYTES {
            return Err(TraceError::NotATrace("its header is too long"));
        }
        let mut rest = Vec::new();
        from.take(u64::from(length) + CHECKSUM_BYTES as u64)
            .read_to_end(&mut rest)?;
        if rest.len() != length as usize + CHECKSUM_BYTES {
            return Err(TraceError::NotATrace("its header is cut off"));
        }
        let (json, check) = rest.split_at(length as usize);
        let mut hash = blake3::Hasher::new();
        hash.update(&start).update(json);
        if &hash.finalize().as_bytes()[..CHECKSUM_BYTES] != check {
            return Err(TraceError::NotATrace("its header is damaged"));
        }
        let header = serde_json::from_slice(json)
            .map_err(|_| TraceError::NotATrace("its header is not understood"))?;
        Ok((header, 16 + rest.len() as u64, minor))
    }
}
