//! Settings of trace files.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// Trace files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Trace")]
pub struct TraceSettings {
    /// Where they are put; made if it is not there.
    pub folder: PathBuf,
    /// A file is closed, and the next begun, once it has so many MiB...
    #[serde(default = "d::rotate_mib")]
    pub rotate_mib: u64,
    /// ...or is so old, s.
    #[serde(default = "d::rotate_s")]
    pub rotate_s: u64,
    /// The oldest files of this placer are removed while all of them have more than so many MiB.
    #[serde(default = "d::keep_mib")]
    #[serde(rename = "keep_mib")]
    pub max_total_mib: u64,
    /// Records that may wait to be written; beyond it they are lost, and a gap tells how many.
    #[serde(default = "d::queue_records")]
    #[serde(rename = "queue_records")]
    pub max_queued_records: usize,
}
