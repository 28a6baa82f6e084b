//! The error of a message or settings object with a missing or invalid field.

/// A field that is missing, of the wrong type or out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message {message}, field {field}: expected {expected}")]
pub struct FieldError {
    message: String,
    field: String,
    expected: String,
}

impl FieldError {
    /// Creates the error of a field in the message with this name.
    pub fn new(message: &str, field: &str, expected: String) -> Self {
        FieldError {
            message: message.to_owned(),
            field: field.to_owned(),
            expected,
        }
    }
}
