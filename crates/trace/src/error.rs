//! Errors of reading and writing traces.

use crate::block::MAX_UNPACKED_BYTES;

/// Why a trace can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The file does not begin with a valid trace header.
    #[error("not a trace file: {0}")]
    NotATrace(&'static str),
    /// The format has a major version that this program can't read; the fields are the major and the minor version.
    #[error("format version {0}.{1}, this program reads {MAJOR}.x", MAJOR = crate::header::MAJOR)]
    UnsupportedVersion(u16, u16),
    /// A block is damaged, or the file ends within it.
    #[error("damaged at byte {offset}: {reason}")]
    Damaged {
        /// The offset in the file.
        offset: u64,
        /// The check that failed.
        reason: &'static str,
    },
    /// An encoded record, of this many bytes, does not fit into a block.
    #[error("record of {0} bytes exceeds the block size limit of {MAX} bytes", MAX = MAX_UNPACKED_BYTES)]
    RecordTooLarge(usize),
}
