//! Command lines from templates.
//!
//! An argument is text with typed placeholders. Names from the wire fill in placeholders and are never read as a
//! command, an option or a path.

use maplethread_wire::frame::Offer;

/// What a placeholder stands for.
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

    /// The name between braces, as operators write it.
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

/// What is wrong with a template.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TemplateError {
    /// A `{` without a `}` after it.
    #[error("a `{{` is not closed")]
    UnclosedBrace,
    /// A `}` without a `{` before it.
    #[error("a `}}` stands alone; write `}}}}`")]
    UnopenedBrace,
    /// A placeholder that does not exist.
    #[error("no placeholder `{{{0}}}`; there are {names}", names = placeholder_names())]
    UnknownPlaceholder(String),
}

fn placeholder_names() -> String {
    Placeholder::ALL.map(Placeholder::name).join(", ")
}

/// A name from the wire that may not be an argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidName {
    /// It contains a NUL byte.
    #[error("a name contains a NUL byte")]
    ContainsNul,
    /// An argument that is a name alone would be read as an option.
    #[error("a name that is an argument of its own begins with `-`")]
    LooksLikeOption,
}

/// The template of one argument.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArgumentTemplate(Vec<Segment>);

impl ArgumentTemplate {
    /// Parses a template: `{name}` is a placeholder, `{{` and `}}` are braces.
    ///
    /// # Errors
    /// If braces are not paired, or a placeholder does not exist.
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

    /// The argument for a task.
    ///
    /// # Errors
    /// If a name in the offer contains a NUL byte, or would make the argument an option.
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
