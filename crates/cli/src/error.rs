//! Errors of the commands. The program prints the error's text after its own name.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};

/// The error of a library, of any type.
pub type Source = Box<dyn Error + Send + Sync>;

/// The error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An option is out of range, missing, or in conflict with another one.
    #[error("{0}")]
    InvalidOption(String),
    /// A file could not be read, written or parsed.
    #[error("{}: {source}", file.display())]
    File {
        /// The path of the file or folder.
        file: PathBuf,
        /// The cause.
        source: Source,
    },
    /// A step of a command failed.
    #[error("{step}: {source}")]
    Step {
        /// What the command was doing.
        step: String,
        /// The cause.
        source: Source,
    },
    /// Standard output could not be written.
    #[error(transparent)]
    Output(io::Error),
    /// A library failed, with an error text that needs no context.
    #[error("{0}")]
    Library(Source),
    /// The command ran, and its check failed.
    #[error("{0}")]
    CheckFailed(String),
}

impl CommandError {
    /// Makes an [`CommandError::InvalidOption`] of this text.
    pub fn invalid_option(text: impl Into<String>) -> CommandError {
        CommandError::InvalidOption(text.into())
    }

    /// Makes a [`CommandError::File`] of this file and cause.
    pub fn file(file: &Path, cause: impl Into<Source>) -> CommandError {
        CommandError::File {
            file: file.to_owned(),
            source: cause.into(),
        }
    }
}

/// Adds to a library's error where it arose.
pub trait ErrorContext<T> {
    /// The error is about this file or folder.
    ///
    /// # Errors
    ///
    /// The error, as [`CommandError::File`].
    fn in_file(self, file: &Path) -> Result<T, CommandError>;

    /// The error arose in this step.
    ///
    /// # Errors
    ///
    /// The error, as [`CommandError::Step`].
    fn in_step(self, step: impl Into<String>) -> Result<T, CommandError>;

    /// The error's text needs no context.
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
