//! What can be wrong with a line, and its times, for all that read a part of one.

use std::fmt;

use maplethread::Micros;

/// What was wrong with a line.
#[derive(Debug)]
pub struct FieldError {
    message: String,
    field: String,
    expected: String,
}

impl FieldError {
    /// In this message, this field is not what was expected.
    pub fn new(message: &str, field: &str, expected: String) -> Self {
        FieldError {
            message: message.to_owned(),
            field: field.to_owned(),
            expected,
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "message {}, field {}: expected {}",
            self.message, self.field, self.expected
        )
    }
}

/// Milliseconds to microseconds.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}
