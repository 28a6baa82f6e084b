//! Command lines from templates. An argument is text with typed placeholders; what comes over the wire fills them in
//! and is never read as a command, an option or a path.

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
    LifeMs,
}

const PLACEHOLDERS: [(&str, Placeholder); 8] = [
    ("service", Placeholder::Service),
    ("actor", Placeholder::Actor),
    ("class", Placeholder::Class),
    ("request", Placeholder::Request),
    ("attempt", Placeholder::Attempt),
    ("cores", Placeholder::Cores),
    ("memory_mib", Placeholder::MemoryMib),
    ("life_ms", Placeholder::LifeMs),
];

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Text(String),
    Placeholder(Placeholder),
}

/// One argument.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArgumentTemplate(Vec<Segment>);

/// A name from the wire that may not be an argument.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidName {
    /// It has an octet of zero.
    #[error("a name holds a zero octet")]
    ContainsNul,
    /// An argument that is a name alone would be read as an option.
    #[error("a name that is an argument of its own begins with `-`")]
    LooksLikeOption,
}

impl ArgumentTemplate {
    /// Reads a template: `{name}` for a placeholder, `{{` and `}}` for braces.
    pub fn parse(text: &str) -> Result<ArgumentTemplate, String> {
        let (mut parts, mut plain, mut rest) = (Vec::new(), String::new(), text);
        while let Some(c) = rest.chars().next() {
            if rest.starts_with("{{") || rest.starts_with("}}") {
                plain.push(c);
                rest = &rest[2..];
            } else if c == '{' {
                let (name, after) = rest[1..].split_once('}').ok_or("a `{` is not closed")?;
                let known = PLACEHOLDERS.iter().find(|(n, _)| *n == name);
                let names = || {
                    PLACEHOLDERS
                        .iter()
                        .map(|f| f.0)
                        .collect::<Vec<_>>()
                        .join(", ")
                };
                let (_, field) = known
                    .ok_or_else(|| format!("no placeholder `{{{name}}}`; there are {}", names()))?;
                if !plain.is_empty() {
                    parts.push(Segment::Text(std::mem::take(&mut plain)));
                }
                parts.push(Segment::Placeholder(*field));
                rest = after;
            } else if c == '}' {
                return Err("a `}` stands alone; write `}}`".to_owned());
            } else {
                plain.push(c);
                rest = &rest[c.len_utf8()..];
            }
        }
        if !plain.is_empty() {
            parts.push(Segment::Text(plain));
        }
        Ok(ArgumentTemplate(parts))
    }

    /// The argument for a task.
    pub fn render(&self, offer: &Offer) -> Result<String, InvalidName> {
        let mut out = String::new();
        for part in &self.0 {
            match part {
                Segment::Text(text) => out.push_str(text),
                Segment::Placeholder(Placeholder::Service) => out.push_str(&offer.service),
                Segment::Placeholder(Placeholder::Actor) => out.push_str(&offer.actor),
                Segment::Placeholder(Placeholder::Class) => out.push_str(&offer.class),
                Segment::Placeholder(Placeholder::Request) => out.push_str(&offer.request_id),
                Segment::Placeholder(Placeholder::Attempt) => {
                    out.push_str(&format!("{:016x}", offer.attempt_id))
                }
                Segment::Placeholder(Placeholder::Cores) => {
                    out.push_str(&offer.requested.cores.to_string())
                }
                Segment::Placeholder(Placeholder::MemoryMib) => {
                    out.push_str(
                        &((offer.requested.memory_gib * 1024.0).max(0.0) as u64).to_string(),
                    );
                }
                Segment::Placeholder(Placeholder::LifeMs) => {
                    out.push_str(&offer.expected_duration_ms.to_string())
                }
            }
        }
        if out.contains('\0') {
            return Err(InvalidName::ContainsNul);
        }
        if matches!(self.0.first(), Some(Segment::Placeholder(_))) && out.starts_with('-') {
            return Err(InvalidName::LooksLikeOption);
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use maplethread_wire::frame::{DuplicatePolicy, ResourceAmounts};

    use super::*;

    fn offer(actor: &str) -> Offer {
        Offer {
            attempt_id: 0xab,
            prior_attempts: 0,
            service: "web".into(),
            actor: actor.into(),
            class: "c".into(),
            request_id: "r".into(),
            requested: ResourceAmounts {
                cores: 0.5,
                memory_gib: 1.5,
            },
            priority: 0,
            duplicate_policy: DuplicatePolicy::Idempotent,
            expected_duration_ms: 700,
            answer_timeout_ms: 0,
        }
    }

    #[test]
    fn renders_placeholders_from_the_offer() {
        let argument =
            ArgumentTemplate::parse("--name={service}/{actor}:{attempt}").expect("a template");
        assert_eq!(
            argument.render(&offer("a b;$(x)")).expect("text"),
            "--name=web/a b;$(x):00000000000000ab"
        );
        let sizes =
            ArgumentTemplate::parse("{cores} {memory_mib} {life_ms} {{}}").expect("a template");
        assert_eq!(sizes.render(&offer("a")).expect("text"), "0.5 1536 700 {}");
    }

    #[test]
    fn rejects_malformed_template_with_its_cause() {
        for (text, why) in [
            ("{nobody}", "no placeholder"),
            ("{actor", "not closed"),
            ("a}", "stands alone"),
        ] {
            let error = ArgumentTemplate::parse(text).expect_err(text);
            assert!(error.contains(why), "{text}: {error}");
        }
    }

    #[test]
    fn rejects_name_from_the_wire_that_would_be_an_option() {
        let alone = ArgumentTemplate::parse("{actor}").expect("a template");
        assert_eq!(
            alone.render(&offer("--force")),
            Err(InvalidName::LooksLikeOption)
        );
        assert_eq!(alone.render(&offer("a\0b")), Err(InvalidName::ContainsNul));
        let after = ArgumentTemplate::parse("--actor={actor}").expect("a template");
        assert_eq!(
            after.render(&offer("--force")).expect("text"),
            "--actor=--force"
        );
    }
}
