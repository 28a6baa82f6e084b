//! Why a command failed. The text is what the program prints after its name.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// The error of a library, of whichever type.
pub type Source = Box<dyn Error + Send + Sync>;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An option that is out of range, is missing, or does not go with another.
    #[error("{0}")]
    InvalidOption(String),
    /// A file could not be read, written or understood.
    #[error("{}: {source}", file.display())]
    File {
        /// The file, or the folder.
        file: PathBuf,
        /// What is wrong.
        source: Source,
    },
    /// A step of a command failed.
    #[error("{step}: {source}")]
    Step {
        /// The step.
        step: String,
        /// What is wrong.
        source: Source,
    },
    /// Standard output could not be written.
    #[error(transparent)]
    Output(io::Error),
    /// A library failed, with a text that says all.
    #[error("{0}")]
    Library(Source),
    /// The command ran, and what it checked is not as it should be.
    #[error("{0}")]
    CheckFailed(String),
}

impl CommandError {
    /// An invalid option, with its text.
    pub fn invalid_option(text: impl Into<String>) -> CommandError {
        CommandError::InvalidOption(text.into())
    }

    /// A problem of a file.
    pub fn file(file: &Path, problem: impl Into<Source>) -> CommandError {
        CommandError::File {
            file: file.to_owned(),
            source: problem.into(),
        }
    }
}

/// Says where an error of a library arose.
pub trait ErrorContext<T> {
    /// At this file or folder.
    ///
    /// # Errors
    ///
    /// The error, as [`CommandError::File`].
    fn in_file(self, file: &Path) -> Result<T, CommandError>;

    /// In this step.
    ///
    /// # Errors
    ///
    /// The error, as [`CommandError::Step`].
    fn in_step(self, step: impl Into<String>) -> Result<T, CommandError>;

    /// Nowhere that its text does not name.
    ///
    /// # Errors
    ///
    /// The error, as [`CommandError::Library`].
    fn in_library(self) -> Result<T, CommandError>;
}

impl<T, E: Into<Source>> ErrorContext<T> for Result<T, E> {
    fn in_file(self, file: &Path) -> Result<T, CommandError> {
        self.map_err(|e| CommandError::file(file, e))
    }

    fn in_step(self, step: impl Into<String>) -> Result<T, CommandError> {
        self.map_err(|e| CommandError::Step {
            step: step.into(),
            source: e.into(),
        })
    }

    fn in_library(self) -> Result<T, CommandError> {
        self.map_err(|e| CommandError::Library(e.into()))
    }
}
