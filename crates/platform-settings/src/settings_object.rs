//! Access to values of the settings object by path, with errors that contain the path.

use maplethread::Micros;
use serde_json::Value;

use crate::{FieldError, micros_from_ms};

/// The name of the message that contains the settings object, for errors.
const MESSAGE: &str = "LAUNCH";

/// A JSON object: the settings object or one within it. Its values are accessed by paths such as `domain.ack`.
#[derive(Clone, Copy)]
pub(crate) struct SettingsObject<'a>(&'a Value);

impl<'a> SettingsObject<'a> {
    pub(crate) fn new(object: &'a Value) -> SettingsObject<'a> {
        SettingsObject(object)
    }

    /// Creates the error of a value that is missing or invalid.
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
            .ok_or_else(|| SettingsObject::error(path, expected))
    }

    pub(crate) fn number(self, path: &str) -> Result<f64, FieldError> {
        self.require(path, "a number", Value::as_f64)
    }

    pub(crate) fn number_or(self, path: &str, default: f64) -> Result<f64, FieldError> {
        self.find(path).map_or(Ok(default), |_| self.number(path))
    }

    /// The number at `index` of an array with one number for each class or machine type.
    pub(crate) fn number_at(self, path: &str, index: usize) -> Result<f64, FieldError> {
        self.array(path)?
            .get(index)
            .and_then(Value::as_f64)
            .ok_or_else(|| SettingsObject::error(path, "a number for each class or machine type"))
    }

    /// A duration that is given in milliseconds.
    pub(crate) fn duration(self, path: &str) -> Result<Micros, FieldError> {
        self.number(path).map(micros_from_ms)
    }

    /// A duration above zero that is given in milliseconds.
    pub(crate) fn positive_duration(self, path: &str) -> Result<Micros, FieldError> {
        self.require(path, "milliseconds above 0", |value| {
            value.as_f64().filter(|&ms| ms > 0.0)
        })
        .map(micros_from_ms)
    }

    pub(crate) fn integer(self, path: &str) -> Result<u32, FieldError> {
        self.require(path, "an integer from 0 to 4294967295", |value| {
            value.as_u64().and_then(|number| u32::try_from(number).ok())
        })
    }

    pub(crate) fn bool(self, path: &str) -> Result<bool, FieldError> {
        self.require(path, "true or false", Value::as_bool)
    }

    pub(crate) fn string(self, path: &str) -> Result<&'a str, FieldError> {
        self.require(path, "a string", Value::as_str)
    }

    /// Maps the string at `path` to its value in `choices`. Other strings are invalid.
    pub(crate) fn one_of<T: Copy>(
        self,
        path: &str,
        expected: &str,
        choices: &[(&str, T)],
    ) -> Result<T, FieldError> {
        let text = self.string(path)?;
        choices
            .iter()
            .find(|(choice, _)| *choice == text)
            .map(|&(_, value)| value)
            .ok_or_else(|| SettingsObject::error(path, expected))
    }

    pub(crate) fn array(self, path: &str) -> Result<&'a [Value], FieldError> {
        self.require(path, "an array", |value| {
            value.as_array().map(Vec::as_slice)
        })
    }

    /// An array of strings, each extracted from its entry by `read`.
    pub(crate) fn strings(
        self,
        path: &str,
        read: impl Fn(&Value) -> Option<&str>,
    ) -> Result<Vec<String>, FieldError> {
        self.require(path, "an array of names", |value| {
            let entries = value.as_array()?.iter();
            entries
                .map(|entry| read(entry).map(str::to_owned))
                .collect()
        })
    }
}
