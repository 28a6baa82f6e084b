//! Templates of command-line arguments.
//!
//! An argument is text with typed placeholders. Placeholders are filled with values from the offer, which are untrusted:
//! the program's path is fixed by the settings, no shell is involved, and a value cannot turn its argument into an option.

use maplethread_wire::frame::Offer;

/// The field of an offer that a placeholder is replaced by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placeholder {
    Service,
    Actor,
    Class,
    Request,
    Attempt,
    Cores,
    MemoryMib,
    ExpectedDurationMs,
}

impl Placeholder {
    const ALL: [Placeholder; 8] = [
        Placeholder::Service,
        Placeholder::Actor,
        Placeholder::Class,
        Placeholder::Request,
        Placeholder::Attempt,
        Placeholder::Cores,
        Placeholder::MemoryMib,
        Placeholder::ExpectedDurationMs,
    ];

    /// The name between the braces in the settings file.
    fn name(self) -> &'static str {
        match self {
            Placeholder::Service => "service",
            Placeholder::Actor => "actor",
            Placeholder::Class => "class",
            Placeholder::Request => "request",
            Placeholder::Attempt => "attempt",
            Placeholder::Cores => "cores",
            Placeholder::MemoryMib => "memory_mib",
            Placeholder::ExpectedDurationMs => "life_ms",
        }
    }

    fn from_name(name: &str) -> Option<Placeholder> {
        Placeholder::ALL
            .into_iter()
            .find(|placeholder| placeholder.name() == name)
    }

    fn render(self, offer: &Offer) -> String {
        match self {
            Placeholder::Service => offer.service.clone(),
            Placeholder::Actor => offer.actor.clone(),
            Placeholder::Class => offer.class.clone(),
            Placeholder::Request => offer.request_id.clone(),
            Placeholder::Attempt => format!("{:016x}", offer.attempt_id),
            Placeholder::Cores => offer.requested.cores.to_string(),
            Placeholder::MemoryMib => {
                let mib = (offer.requested.memory_gib * 1024.0).max(0.0);
                (mib as u64).to_string()
            }
            Placeholder::ExpectedDurationMs => offer.expected_duration_ms.to_string(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Text(String),
    Placeholder(Placeholder),
}

/// A syntax error in a template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// A `{` without a `}` after it.
    #[error("`{{` without a matching `}}`; write `{{{{` for a literal brace")]
    UnclosedBrace,
    /// A `}` without a `{` before it.
    #[error("`}}` without a matching `{{`; write `}}}}` for a literal brace")]
    UnopenedBrace,
    /// A placeholder that does not exist.
    #[error("unknown placeholder `{{{0}}}`, expected one of {names}", names = placeholder_names())]
    UnknownPlaceholder(String),
}

fn placeholder_names() -> String {
    Placeholder::ALL.map(Placeholder::name).join(", ")
}

/// A value from an offer that cannot be used in an argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidName {
    /// The argument would contain a NUL byte.
    #[error("a value from the offer contains a NUL byte")]
    ContainsNul,
    /// The argument begins with a placeholder, and its value would make the argument an option.
    #[error("a value from the offer at the start of an argument begins with `-`")]
    LooksLikeOption,
}

/// The template of one argument.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArgumentTemplate(Vec<Segment>);

impl ArgumentTemplate {
    /// Parses a template: `{name}` is a placeholder, `{{` and `}}` are literal braces.
    ///
    /// # Errors
    /// If braces are not paired, or a placeholder is unknown.
    pub fn parse(text: &str) -> Result<ArgumentTemplate, TemplateError> {
        let (mut segments, mut plain, mut rest) = (Vec::new(), String::new(), text);
        while let Some(c) = rest.chars().next() {
            if rest.starts_with("{{") || rest.starts_with("}}") {
                plain.push(c);
                rest = &rest[2..];
            } else if c == '{' {
                let (name, after) = rest[1..]
                    .split_once('}')
                    .ok_or(TemplateError::UnclosedBrace)?;
                let placeholder = Placeholder::from_name(name)
                    .ok_or_else(|| TemplateError::UnknownPlaceholder(name.to_owned()))?;
                if !plain.is_empty() {
                    segments.push(Segment::Text(std::mem::take(&mut plain)));
                }
                segments.push(Segment::Placeholder(placeholder));
                rest = after;
            } else if c == '}' {
                return Err(TemplateError::UnopenedBrace);
            } else {
                plain.push(c);
                rest = &rest[c.len_utf8()..];
            }
        }
        if !plain.is_empty() {
            segments.push(Segment::Text(plain));
        }
        Ok(ArgumentTemplate(segments))
    }

    /// Renders the argument for a task.
    ///
    /// # Errors
    /// If a value from the offer contains a NUL byte, or would make the argument an option.
    pub fn render(&self, offer: &Offer) -> Result<String, InvalidName> {
        let rendered = self.0.iter().map(|segment| match segment {
            Segment::Text(text) => text.clone(),
            Segment::Placeholder(placeholder) => placeholder.render(offer),
        });
        let argument: String = rendered.collect();
        if argument.contains('\0') {
            return Err(InvalidName::ContainsNul);
        }
        if matches!(self.0.first(), Some(Segment::Placeholder(_))) && argument.starts_with('-') {
            return Err(InvalidName::LooksLikeOption);
        }
        Ok(argument)
    }
}
