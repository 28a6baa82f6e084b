//! Access to the fields of one message by position.

use maplethread::{AttemptId, Micros, TaskId};
use maplethread_platform_settings::{FieldError, micros_from_ms};
use serde_json::Value;

/// The values of one array, with the name of its message for error texts.
pub(super) struct Fields<'a> {
    pub(super) message: &'a str,
    pub(super) values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub(super) fn error(&self, field: &str, expected: &str) -> FieldError {
        FieldError::new(self.message, field, expected.to_owned())
    }

    /// The value at a position, or none if it is absent or null.
    pub(super) fn get(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|value| !value.is_null())
    }

    pub(super) fn u64(&self, at: usize, field: &str) -> Result<u64, FieldError> {
        self.get(at)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.error(field, "a whole number"))
    }

    pub(super) fn u32(&self, at: usize, field: &str) -> Result<u32, FieldError> {
        u32::try_from(self.u64(at, field)?).map_err(|_| self.error(field, "a number below 2^32"))
    }

    pub(super) fn u64_or_zero(&self, at: usize, field: &str) -> Result<u64, FieldError> {
        self.get(at).map_or(Ok(0), |_| self.u64(at, field))
    }

    pub(super) fn f64(&self, at: usize, field: &str) -> Result<f64, FieldError> {
        self.get(at)
            .and_then(Value::as_f64)
            .ok_or_else(|| self.error(field, "a number"))
    }

    pub(super) fn f64_or_zero(&self, at: usize, field: &str) -> Result<f64, FieldError> {
        self.get(at).map_or(Ok(0.0), |_| self.f64(at, field))
    }

    /// A point in time or a duration, which the wire has in milliseconds.
    pub(super) fn time(&self, at: usize, field: &str) -> Result<Micros, FieldError> {
        Ok(micros_from_ms(self.f64(at, field)?))
    }

    pub(super) fn optional_time(
        &self,
        at: usize,
        field: &str,
    ) -> Result<Option<Micros>, FieldError> {
        self.get(at).map(|_| self.time(at, field)).transpose()
    }

    pub(super) fn str(&self, at: usize, field: &str) -> Result<&'a str, FieldError> {
        self.get(at)
            .and_then(Value::as_str)
            .ok_or_else(|| self.error(field, "text"))
    }

    pub(super) fn array(&self, at: usize, field: &str) -> Result<&'a [Value], FieldError> {
        self.get(at)
            .and_then(Value::as_array)
            .map(Vec::as_slice)
            .ok_or_else(|| self.error(field, "an array"))
    }

    pub(super) fn bool(&self, at: usize, field: &str) -> Result<bool, FieldError> {
        self.get(at)
            .and_then(Value::as_bool)
            .ok_or_else(|| self.error(field, "true or false"))
    }

    pub(super) fn task(&self, at: usize) -> Result<TaskId, FieldError> {
        Ok(TaskId(u64::from(self.u32(at, "ticket")?)))
    }

    /// An attempt id: the task is always the second value, and the number is at the given position.
    pub(super) fn attempt(&self, at: usize) -> Result<AttemptId, FieldError> {
        Ok(AttemptId {
            task: self.task(1)?,
            number: self.u32(at, "leg")?,
        })
    }
}
