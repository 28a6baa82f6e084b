//! Settings of trace files.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// Trace files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Trace")]
pub struct TraceSettings {
    /// The folder of the files; created if missing.
    pub folder: PathBuf,
    /// Size above which a file is closed and the next one opened, MiB.
    #[serde(default = "d::rotate_mib")]
    pub rotate_mib: u64,
    /// Age above which a file is closed and the next one opened, s.
    #[serde(default = "d::rotate_s")]
    pub rotate_s: u64,
    /// The oldest files of this placer are removed while the total size is above this many MiB.
    #[serde(default = "d::keep_mib")]
    #[serde(rename = "keep_mib")]
    pub max_total_mib: u64,
    /// Maximum number of records waiting to be written; further ones are lost, and a gap record gives their number.
    #[serde(default = "d::queue_records")]
    #[serde(rename = "queue_records")]
    pub max_queued_records: usize,
}
