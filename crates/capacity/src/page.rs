//! A Markdown page with generated parts: blocks between markers on their own lines, and figures inside sentences.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::figure::KeyError;

const BEGIN: &str = "<!-- begin generated:";
const END: &str = "<!-- end generated:";
const FIGURE: &str = "<!-- figure:";
const FIGURE_END: &str = "<!-- /figure -->";
const CLOSE: &str = "-->";

/// What a generated part of the page has to say.
pub trait Contents {
    /// The names of the blocks that the page has to have.
    fn required_blocks(&self) -> Vec<String>;
    /// The text of a block.
    fn block(&self, name: &str) -> String;
    /// The text of a figure, or what is wrong with its key.
    fn figure(&self, key: &str) -> Result<String, KeyError>;
}

/// Why a page cannot be generated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// A block that has to be there is not.
    #[error(
        "no block `{name}`: add the lines `<!-- begin generated: {name} -->` and `<!-- end generated: {name} -->`"
    )]
    MissingBlock {
        /// The name of the block.
        name: String,
    },
    /// A block that is there twice.
    #[error("line {line}: block `{name}` is there twice")]
    RepeatedBlock {
        /// The line of the second one.
        line: usize,
        /// The name of the block.
        name: String,
    },
    /// A block without its end.
    #[error("line {line}: block `{name}` has no end marker")]
    UnendedBlock {
        /// The line of its beginning.
        line: usize,
        /// The name of the block.
        name: String,
    },
    /// The end of a block that did not begin.
    #[error("line {line}: an end marker without its beginning")]
    UnbegunBlock {
        /// The line of the end.
        line: usize,
    },
    /// A figure without its end on the same line.
    #[error("line {line}: a figure without `{FIGURE_END}` on its line")]
    UnendedFigure {
        /// The line.
        line: usize,
    },
    /// A figure that there is none of.
    #[error("line {line}: figure `{key}`: {problem}")]
    Figure {
        /// The line.
        line: usize,
        /// The key.
        key: String,
        /// What is wrong with it.
        problem: KeyError,
    },
}

/// A generated part of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartName {
    /// A block.
    Block(String),
    /// A figure, by its key.
    Figure(String),
}

impl std::fmt::Display for PartName {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Block(name) => write!(f, "block `{name}`"),
            Self::Figure(key) => write!(f, "figure `{key}`"),
        }
    }
}

/// A page with its generated parts anew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Regenerated {
    /// The text of the page.
    pub text: String,
    /// The parts that differ from what the page said.
    pub changed: Vec<PartName>,
}

/// Generates the parts of a page anew and leaves the rest as it is.
pub fn regenerate(page: &str, contents: &dyn Contents) -> Result<Regenerated, PageError> {
    let mut writer = Writer {
        contents,
        text: String::new(),
        changed: Vec::new(),
        blocks: BTreeSet::new(),
    };
    let mut lines = page.split_inclusive('\n').zip(1..);
    while let Some((line, number)) = lines.next() {
        if let Some(name) = marker(line, BEGIN) {
            let body = block_body(&mut lines, name, number)?;
            writer.block(name, number, &body)?;
        } else if marker(line, END).is_some() {
            return Err(PageError::UnbegunBlock { line: number });
        } else {
            writer.line(line, number)?;
        }
    }
    let missing = contents
        .required_blocks()
        .into_iter()
        .find(|name| !writer.blocks.contains(name));
    match missing {
        Some(name) => Err(PageError::MissingBlock { name }),
        None => Ok(Regenerated {
            text: writer.text,
            changed: writer.changed,
        }),
    }
}

/// The name in a marker that has a line of its own.
fn marker<'a>(line: &'a str, opening: &str) -> Option<&'a str> {
    Some(
        line.trim()
            .strip_prefix(opening)?
            .strip_suffix(CLOSE)?
            .trim(),
    )
}

/// The lines of a block up to its end marker.
fn block_body<'a>(
    lines: &mut impl Iterator<Item = (&'a str, usize)>,
    name: &str,
    begun: usize,
) -> Result<String, PageError> {
    let mut body = String::new();
    for (line, _) in lines {
        if marker(line, END) == Some(name) {
            return Ok(body);
        }
        if marker(line, BEGIN).or(marker(line, END)).is_some() {
            break;
        }
        body += line;
    }
    Err(PageError::UnendedBlock {
        line: begun,
        name: name.to_owned(),
    })
}

struct Writer<'a> {
    contents: &'a dyn Contents,
    text: String,
    changed: Vec<PartName>,
    blocks: BTreeSet<String>,
}

impl Writer<'_> {
    fn block(&mut self, name: &str, line: usize, before: &str) -> Result<(), PageError> {
        if !self.blocks.insert(name.to_owned()) {
            return Err(PageError::RepeatedBlock {
                line,
                name: name.to_owned(),
            });
        }
        let body = format!("\n{}\n\n", self.contents.block(name).trim());
        if body != before {
            self.changed.push(PartName::Block(name.to_owned()));
        }
        self.text += &format!("{BEGIN} {name} {CLOSE}\n{body}{END} {name} {CLOSE}\n");
        Ok(())
    }

    fn line(&mut self, line: &str, number: usize) -> Result<(), PageError> {
        let mut rest = line;
        while let Some((before, figure)) = rest.split_once(FIGURE) {
            let unended = PageError::UnendedFigure { line: number };
            let (key, value_on) = figure.split_once(CLOSE).ok_or(unended.clone())?;
            let (value, after) = value_on.split_once(FIGURE_END).ok_or(unended)?;
            self.text += before;
            self.figure(key.trim(), value, number)?;
            rest = after;
        }
        self.text += rest;
        Ok(())
    }

    fn figure(&mut self, key: &str, before: &str, line: usize) -> Result<(), PageError> {
        let problem = |problem| PageError::Figure {
            line,
            key: key.to_owned(),
            problem,
        };
        let value = self.contents.figure(key).map_err(problem)?;
        if value != before {
            self.changed.push(PartName::Figure(key.to_owned()));
        }
        self.text += &format!("{FIGURE} {key} {CLOSE}{value}{FIGURE_END}");
        Ok(())
    }
}
