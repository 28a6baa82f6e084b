//! Errors with file, line and key, and the parsing that gives them.

use std::fmt;

use serde::de::DeserializeOwned;
use toml::de::{DeTable, DeValue};

/// A file that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The file.
    pub file: String,
    /// The line, counted from 1, if one is to blame.
    pub line: Option<usize>,
    /// The key, such as `class[1].aim_ms`; empty where the text is no TOML.
    pub key: String,
    /// What is wrong.
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

/// All that is wrong with a file; at least one fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors(pub Vec<ConfigError>);

impl From<ConfigError> for ConfigErrors {
    fn from(one: ConfigError) -> ConfigErrors {
        ConfigErrors(vec![one])
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

/// A file's name and text, for errors about what it holds.
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

    /// Returns an error unless `fine`.
    ///
    /// # Errors
    ///
    /// The error about `key`, unless `fine`.
    pub fn ensure(
        &self,
        fine: bool,
        key: &str,
        message: impl Into<String>,
    ) -> Result<(), ConfigError> {
        if fine {
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

    /// The line of a key, or of the nearest part above it that stands in the file.
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

/// Parses a TOML text; unknown keys come with a suggestion.
///
/// # Errors
///
/// Text that is no TOML, or does not fit `T`, with the line and key as far as they are known.
pub fn parse_toml<T: DeserializeOwned>(doc: Document<'_>) -> Result<T, ConfigError> {
    toml::from_str(doc.text).map_err(|e| {
        let line = e.span().map(|span| doc.line_at(span.start));
        let message = e.message().trim().to_owned();
        let quoted: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
        let mut key = String::new();
        let mut hint = String::new();
        if let (true, Some((wrong, known))) =
            (message.starts_with("unknown field"), quoted.split_first())
        {
            key = (*wrong).to_owned();
            let like = |k: &&&str| strsim::damerau_levenshtein(k, wrong);
            if let Some(best) = known
                .iter()
                .min_by_key(like)
                .filter(|k| like(k) <= 1 + wrong.len() / 3)
            {
                hint = format!("; did you mean `{best}`?");
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
