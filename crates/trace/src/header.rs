//! The file header: the format version, and everything besides the turns that a replay needs.

use std::io::{Read, Write};

use maplethread::Settings;
use serde::{Deserialize, Serialize};

use crate::TraceError;

/// The major format version. A reader rejects files of another one.
pub const MAJOR: u16 = 1;
/// The minor format version. Files of a newer one may hold kinds of records that this program skips.
pub const MINOR: u16 = 1;
const FILE_MAGIC: &[u8; 8] = b"MAPLETRC";
/// The maximum length of a header's JSON.
const MAX_HEADER_BYTES: u32 = 16 << 20;
const CHECKSUM_BYTES: usize = 16;

/// The header, stored as JSON so that other programs can read it too.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The name and version of the program that wrote the file.
    pub writer: String,
    /// The hash of the policy's source text.
    #[serde(rename = "module")]
    pub policy_hash: String,
    /// The placer's name.
    pub placer: String,
    /// The time at which the process started, Unix time in ms; identifies the run.
    pub started_ms: u64,
    /// The policy's seed.
    pub seed: u64,
    /// The policy's settings; none if something else decided, or the trace is cut, merged or anonymised.
    pub settings: Option<Settings>,
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// The index of the file in its run, from 0. A replay has to start with file 0.
    pub part: u32,
    /// The operations applied to the file since it was written, such as `cut` or `repair`.
    #[serde(default)]
    #[serde(rename = "changed")]
    pub operations: Vec<String>,
    /// In a merged trace, the runs that it was merged from; otherwise empty. Since format version 1.1.
    #[serde(default)]
    pub sources: Vec<Source>,
}

/// One run of one placer in a merged trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// The placer's name.
    pub placer: String,
    /// The time at which its process started, Unix time in ms.
    pub started_ms: u64,
    /// The hash of the policy's source text.
    #[serde(rename = "module")]
    pub policy_hash: String,
    /// The indices of the run's files that were merged.
    pub parts: Vec<u32>,
    /// The clock offset that was added to its times, µs.
    pub offset_us: i64,
    /// The residual clock error, µs: the 90th percentile over the observations shared with other sources; none if
    /// there were none.
    #[serde(rename = "error_us")]
    pub residual_error_us: Option<u64>,
}

/// The policy's source files with their text: those of `policy` in `deploy/balancer.toml`, in that order.
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

/// The hash of the policy's source text in this program: the files of [`POLICY_SOURCES`], concatenated in that order.
pub fn policy_hash() -> String {
    let mut hasher = blake3::Hasher::new();
    for (_, text) in POLICY_SOURCES {
        hasher.update(text.as_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

impl Header {
    /// Writes magic, version, length, JSON and checksum; returns the number of bytes written.
    ///
    /// # Errors
    ///
    /// Writing failed.
    pub fn write(&self, out: &mut impl Write) -> Result<u64, TraceError> {
        let json = serde_json::to_vec(self).map_err(std::io::Error::other)?;
        let mut bytes = Vec::with_capacity(json.len() + 32);
        bytes.extend_from_slice(FILE_MAGIC);
        bytes.extend_from_slice(&MAJOR.to_le_bytes());
        bytes.extend_from_slice(&MINOR.to_le_bytes());
        bytes.extend_from_slice(&(json.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&json);
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(&checksum.as_bytes()[..CHECKSUM_BYTES]);
        out.write_all(&bytes)?;
        Ok(bytes.len() as u64)
    }

    /// Reads a header; returns it with its length in bytes and the minor version.
    ///
    /// # Errors
    ///
    /// Reading failed, the file does not begin with a valid header, or it has another major version.
    pub fn read(input: &mut impl Read) -> Result<(Header, u64, u16), TraceError> {
        let mut start = [0; 16];
        input.read_exact(&mut start).map_err(|_| {
            TraceError::NotATrace("shorter than the 16 bytes before the header's JSON")
        })?;
        if &start[..8] != FILE_MAGIC {
            return Err(TraceError::NotATrace("magic MAPLETRC missing"));
        }
        let read_u16 = |at: usize| u16::from_le_bytes([start[at], start[at + 1]]);
        let (major, minor) = (read_u16(8), read_u16(10));
        if major != MAJOR {
            return Err(TraceError::UnsupportedVersion(major, minor));
        }
        let length = u32::from_le_bytes([start[12], start[13], start[14], start[15]]);
        if length > MAX_HEADER_BYTES {
            return Err(TraceError::NotATrace("header length out of range"));
        }
        let mut rest = Vec::new();
        input
            .take(u64::from(length) + CHECKSUM_BYTES as u64)
            .read_to_end(&mut rest)?;
        if rest.len() != length as usize + CHECKSUM_BYTES {
            return Err(TraceError::NotATrace("header truncated"));
        }
        let (json, checksum) = rest.split_at(length as usize);
        let mut hash = blake3::Hasher::new();
        hash.update(&start).update(json);
        if &hash.finalize().as_bytes()[..CHECKSUM_BYTES] != checksum {
            return Err(TraceError::NotATrace("header checksum mismatch"));
        }
        let header = serde_json::from_slice(json)
            .map_err(|_| TraceError::NotATrace("header JSON invalid"))?;
        Ok((header, 16 + rest.len() as u64, minor))
    }
}
