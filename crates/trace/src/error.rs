//! What can be wrong with a trace.

/// Why a trace can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// It does not begin as a trace does.
    #[error("this is no trace file: {0}")]
    NotATrace(&'static str),
    /// It is of a version that this program can't read.
    #[error("format version {0}.{1}, this program reads {MAJOR}.x", MAJOR = crate::header::MAJOR)]
    UnsupportedVersion(u16, u16),
    /// A block is damaged.
    #[error("octet {at}: {why}")]
    Damaged {
        /// Where it begins.
        at: u64,
        /// What is wrong.
        why: &'static str,
    },
    /// A record is larger than a block may be.
    #[error("a record of {0} octets is too large")]
    RecordTooLarge(usize),
}
