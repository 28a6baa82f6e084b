//! Access to the keys of the settings object by path, with errors that name the key.

use maplethread::Micros;
use serde_json::Value;

use crate::{FieldError, micros};

/// The name under which errors report the settings object: that of the message that carries it.
const MESSAGE: &str = "LAUNCH";

/// An object within the settings, whose values are found by paths such as `domain.ack`.
#[derive(Clone, Copy)]
pub(crate) struct Node<'a>(&'a Value);

impl<'a> Node<'a> {
    /// The object itself.
    pub(crate) fn root(object: &'a Value) -> Node<'a> {
        Node(object)
    }

    /// The error of a key that is not what was expected.
    pub(crate) fn error(path: &str, expected: &str) -> FieldError {
        FieldError::new(MESSAGE, path, expected.to_owned())
    }

    fn find(self, path: &str) -> Option<&'a Value> {
        path.split('.')
            .try_fold(self.0, |value, key| value.get(key))
            .filter(|value| !value.is_null())
    }

    fn require<T>(
        self,
        path: &str,
        expected: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, FieldError> {
        self.find(path)
            .and_then(read)
            .ok_or_else(|| Node::error(path, expected))
    }

    pub(crate) fn number(self, path: &str) -> Result<f64, FieldError> {
        self.require(path, "a number", Value::as_f64)
    }

    pub(crate) fn number_or(self, path: &str, absent: f64) -> Result<f64, FieldError> {
        self.find(path).map_or(Ok(absent), |_| self.number(path))
    }

    /// The value at `index` of a list that has one number for each class or kind.
    pub(crate) fn number_at(self, path: &str, index: usize) -> Result<f64, FieldError> {
        self.array(path)?
            .get(index)
            .and_then(Value::as_f64)
            .ok_or_else(|| Node::error(path, "a number for each class or kind"))
    }

    /// A time that is given in milliseconds.
    pub(crate) fn duration(self, path: &str) -> Result<Micros, FieldError> {
        self.number(path).map(micros)
    }

    /// A time above zero that is given in milliseconds.
    pub(crate) fn positive_duration(self, path: &str) -> Result<Micros, FieldError> {
        self.require(path, "milliseconds, above 0", |value| {
            value.as_f64().filter(|&ms| ms > 0.0)
        })
        .map(micros)
    }

    pub(crate) fn integer(self, path: &str) -> Result<u32, FieldError> {
        self.require(path, "a small whole number", |value| {
            value.as_u64().and_then(|number| u32::try_from(number).ok())
        })
    }

    pub(crate) fn bool(self, path: &str) -> Result<bool, FieldError> {
        self.require(path, "true or false", Value::as_bool)
    }

    pub(crate) fn string(self, path: &str) -> Result<&'a str, FieldError> {
        self.require(path, "text", Value::as_str)
    }

    /// The value of the word that stands at `path`; `words` are all that are allowed there.
    pub(crate) fn one_of<T: Copy>(
        self,
        path: &str,
        expected: &str,
        words: &[(&str, T)],
    ) -> Result<T, FieldError> {
        let word = self.string(path)?;
        words
            .iter()
            .find(|(allowed, _)| *allowed == word)
            .map(|&(_, value)| value)
            .ok_or_else(|| Node::error(path, expected))
    }

    pub(crate) fn array(self, path: &str) -> Result<&'a [Value], FieldError> {
        self.require(path, "an array", |value| {
            value.as_array().map(Vec::as_slice)
        })
    }

    /// A list of texts, each read from its entry by `read`.
    pub(crate) fn strings(
        self,
        path: &str,
        read: impl Fn(&Value) -> Option<&str>,
    ) -> Result<Vec<String>, FieldError> {
        self.require(path, "names", |value| {
            let entries = value.as_array()?.iter();
            entries
                .map(|entry| read(entry).map(str::to_owned))
                .collect()
        })
    }
}
