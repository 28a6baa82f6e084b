//! Errors of the store.

use super::STORE_VERSION;

/// An error in opening, reading or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the store open.
    #[error("the store is open in another process")]
    Locked,
    /// The store was written by a newer version of the program.
    #[error(
        "the store has version {0}, this program supports {STORE_VERSION}; use the program version that wrote it"
    )]
    NewerVersion(u32),
    /// The store is damaged.
    #[error(
        "the store is damaged: {0}; move the file away, and check which tasks are running before starting without it"
    )]
    Damaged(#[from] Damage),
    /// A value could not be encoded.
    #[error("cannot encode a value: {0}")]
    Encode(#[source] postcard::Error),
    /// The disk failed, is full, or is not writable.
    #[error("{0}")]
    Storage(#[source] Box<redb::Error>),
}

/// The kind of damage to a store.
#[derive(Debug, thiserror::Error)]
pub enum Damage {
    /// The file is not a database.
    #[error("the file is not a database")]
    NotAStore,
    /// The database library detected corruption.
    #[error("{0}")]
    Corrupted(String),
    /// The stored version is not 4 bytes long.
    #[error("the stored version is not 4 bytes long")]
    Version,
    /// The facts about the host cannot be decoded.
    #[error("cannot decode the facts about the host: {0}")]
    HostFacts(#[source] postcard::Error),
    /// A task cannot be decoded.
    #[error("cannot decode task {attempt:016x}: {source}")]
    Task {
        /// The attempt.
        attempt: u64,
        /// The error of the decoder.
        source: postcard::Error,
    },
    /// The offer of a task cannot be decoded.
    #[error("cannot decode the offer of task {attempt:016x}")]
    Offer {
        /// The attempt.
        attempt: u64,
    },
    /// The attempt id in the offer of a task differs from the key of the task.
    #[error("task {attempt:016x} contains the offer of attempt {offered:016x}")]
    AttemptMismatch {
        /// The attempt in the key.
        attempt: u64,
        /// The attempt in the stored offer.
        offered: u64,
    },
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        match error {
            redb::Error::DatabaseAlreadyOpen => StoreError::Locked,
            redb::Error::Corrupted(cause) => StoreError::Damaged(Damage::Corrupted(cause)),
            redb::Error::UpgradeRequired(version) => StoreError::NewerVersion(u32::from(version)),
            other => StoreError::Storage(Box::new(other)),
        }
    }
}

/// Converts any of the database's error types.
pub(super) fn storage_error(error: impl Into<redb::Error>) -> StoreError {
    error.into().into()
}
