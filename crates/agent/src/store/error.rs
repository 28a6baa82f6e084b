//! Why a store can't be used.

use super::STORE_VERSION;

/// Why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another agent uses it.
    #[error("another process has it open")]
    Locked,
    /// A newer program wrote it.
    #[error(
        "it has version {0}, and this program knows {STORE_VERSION}; use the program that wrote it"
    )]
    NewerVersion(u32),
    /// It is damaged.
    #[error("it is damaged: {0}; put it aside and see what runs before starting without it")]
    Damaged(#[from] Damage),
    /// A value could not be encoded.
    #[error("a value could not be encoded: {0}")]
    Encode(#[source] postcard::Error),
    /// The disk fails, is full, or may not be written.
    #[error("{0}")]
    Storage(#[source] Box<redb::Error>),
}

/// How a store is damaged.
#[derive(Debug, thiserror::Error)]
pub enum Damage {
    /// The file is not a database.
    #[error("the file is not a store")]
    NotAStore,
    /// The database found itself corrupted.
    #[error("{0}")]
    Corrupted(String),
    /// The version is not a number of 4 bytes.
    #[error("its version is not a number")]
    Version,
    /// The facts of the host can't be decoded.
    #[error("facts of the host: {0}")]
    HostFacts(#[source] postcard::Error),
    /// A task can't be decoded.
    #[error("task {attempt:016x}: {source}")]
    Task {
        /// The attempt.
        attempt: u64,
        /// Why it can't be decoded.
        source: postcard::Error,
    },
    /// The offer of a task can't be decoded.
    #[error("task {attempt:016x}: its offer can't be decoded")]
    Offer {
        /// The attempt.
        attempt: u64,
    },
    /// A task is stored under the key of another attempt.
    #[error("task {attempt:016x}: its offer is that of attempt {offered:016x}")]
    OtherAttempt {
        /// The attempt that is the key.
        attempt: u64,
        /// The attempt of the stored offer.
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
