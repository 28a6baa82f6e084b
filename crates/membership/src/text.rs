//! Text of bounded length, validated when it is created or received.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Text of 1 to `MAX_BYTES` bytes without control characters.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct BoundedText<const MAX_BYTES: usize>(Arc<str>);

/// A text that is empty, too long, or contains control characters.
#[derive(Clone, Debug, thiserror::Error)]
#[error("invalid text `{text}`: expected 1 to {max_bytes} bytes without control characters")]
pub struct TextError {
    /// The beginning of the rejected text, with special characters escaped.
    pub text: String,
    /// The limit, in bytes.
    pub max_bytes: usize,
}

impl<const MAX_BYTES: usize> BoundedText<MAX_BYTES> {
    /// The text as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl<const MAX_BYTES: usize> TryFrom<String> for BoundedText<MAX_BYTES> {
    type Error = TextError;

    fn try_from(text: String) -> Result<Self, TextError> {
        if !text.is_empty() && text.len() <= MAX_BYTES && !text.chars().any(char::is_control) {
            return Ok(BoundedText(text.into()));
        }
        let end = (0..=text.len().min(2 * MAX_BYTES))
            .rev()
            .find(|&index| text.is_char_boundary(index))
            .unwrap_or(0);
        Err(TextError {
            text: text[..end].escape_default().to_string(),
            max_bytes: MAX_BYTES,
        })
    }
}

impl<const MAX_BYTES: usize> From<BoundedText<MAX_BYTES>> for String {
    fn from(text: BoundedText<MAX_BYTES>) -> String {
        text.0.as_ref().to_owned()
    }
}

impl<const MAX_BYTES: usize> fmt::Display for BoundedText<MAX_BYTES> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl<const MAX_BYTES: usize> fmt::Debug for BoundedText<MAX_BYTES> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}
