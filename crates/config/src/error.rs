//! Errors with file, line and key, and the TOML parsing that returns them.

use std::fmt;

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

/// An error in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// The line, counted from 1, if the error refers to one.
    pub line: Option<usize>,
    /// The key, such as `class[1].aim_ms`; empty if the text is not valid TOML.
    pub key: String,
    /// A description of the error.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for ConfigError {}

/// All errors in a file; at least one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![error])
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, error) in self.0.iter().enumerate() {
            if n > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigErrors {}

/// A file's name and text, for errors about its contents.
#[derive(Clone, Copy)]
pub struct Document<'a> {
    /// Its name.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
}

impl Document<'_> {
    /// An error about the value of `key`, such as `class[1].aim_ms`.
    pub fn error(&self, key: &str, message: impl Into<String>) -> ConfigError {
        let line = self.line_of(key);
        ConfigError {
            file: self.file.to_owned(),
            line,
            key: key.to_owned(),
            message: message.into(),
        }
    }

    /// Checks a condition on the value of `key`.
    ///
    /// # Errors
    ///
    /// An error about `key` if the condition is false.
    pub fn ensure(
        &self,
        condition: bool,
        key: &str,
        message: impl Into<String>,
    ) -> Result<(), ConfigError> {
        if condition {
            Ok(())
        } else {
            Err(self.error(key, message))
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        self.text.as_bytes()[..offset.min(self.text.len())]
            .iter()
            .filter(|&&b| b == b'\n')
            .count()
            + 1
    }

    /// The line of a key, or of its nearest parent that is in the file.
    fn line_of(&self, key: &str) -> Option<usize> {
        let root = DeTable::parse(self.text).ok()?;
        let mut table = root.get_ref();
        let mut line = None;
        for part in key.split('.') {
            let (name, index) = match part.split_once('[') {
                Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
                None => (part, None),
            };
            let Some((found, value)) = table.iter().find(|(k, _)| k.get_ref() == name) else {
                return line;
            };
            line = Some(self.line_at(found.span().start));
            let mut value = value;
            if let (Some(index), DeValue::Array(items)) = (index, value.get_ref()) {
                let Some(item) = items.get(index) else {
                    return line;
                };
                line = Some(self.line_at(item.span().start));
                value = item;
            }
            match value.get_ref() {
                DeValue::Table(inner) => table = inner,
                _ => return line,
            }
        }
        line
    }
}

/// Parses a TOML text. Errors about unknown keys suggest a similar one.
///
/// # Errors
///
/// If the text is not valid TOML or does not match `T`, with the line and key as far as they are known.
pub fn parse_toml<T: DeserializeOwned>(doc: Document<'_>) -> Result<T, ConfigError> {
    toml::from_str(doc.text).map_err(|e| {
        let line = e.span().map(|span| doc.line_at(span.start));
        let message = e.message().trim().to_owned();
        let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
        let mut key = String::new();
        let mut hint = String::new();
        if let (true, Some((unknown, known))) =
            (message.starts_with("unknown field"), quoted.split_first())
        {
            key = (*unknown).to_owned();
            let distance = |k: &&&str| strsim::damerau_levenshtein(k, unknown);
            if let Some(closest) = known
                .iter()
                .min_by_key(distance)
                .filter(|k| distance(k) <= 1 + unknown.len() / 3)
            {
                hint = format!("; did you mean `{closest}`?");
            }
        }
        ConfigError {
            file: doc.file.to_owned(),
            line,
            key,
            message: format!("{message}{hint}"),
        }
    })
}
