//! Markdown pages with generated parts: blocks between markers on their own lines, and figures within the text.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::figure::KeyError;

const BLOCK_BEGIN: &str = "<!-- begin generated:";
const BLOCK_END: &str = "<!-- end generated:";
const FIGURE_BEGIN: &str = "<!-- figure:";
const FIGURE_END: &str = "<!-- /figure -->";
const MARKER_CLOSE: &str = "-->";

/// Supplies the contents of a page's generated parts.
pub trait PageContents {
    /// The names of the blocks that the page must contain.
    fn required_blocks(&self) -> Vec<String>;
    /// The text of a block.
    fn block(&self, name: &str) -> String;
    /// The text of a figure.
    ///
    /// # Errors
    ///
    /// The key is invalid.
    fn figure(&self, key: &str) -> Result<String, KeyError>;
}

/// Why a page can't be generated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// A required block is missing.
    #[error(
        "no block `{name}`: add the lines `<!-- begin generated: {name} -->` and `<!-- end generated: {name} -->`"
    )]
    MissingBlock {
        /// The name of the block.
        name: String,
    },
    /// A block occurs twice.
    #[error("line {line}: block `{name}` occurs a second time")]
    RepeatedBlock {
        /// The line of its second occurrence.
        line: usize,
        /// The name of the block.
        name: String,
    },
    /// A block has no end marker.
    #[error("line {line}: block `{name}` has no end marker")]
    UnclosedBlock {
        /// The line of its begin marker.
        line: usize,
        /// The name of the block.
        name: String,
    },
    /// An end marker has no begin marker.
    #[error("line {line}: end marker without a begin marker")]
    UnopenedBlock {
        /// The line of the end marker.
        line: usize,
    },
    /// A figure does not end on its line.
    #[error("line {line}: no `{FIGURE_END}` on the line of a figure")]
    UnclosedFigure {
        /// The line.
        line: usize,
    },
    /// A figure has an invalid key.
    #[error("line {line}: figure `{key}`: {problem}")]
    Figure {
        /// The line.
        line: usize,
        /// The key.
        key: String,
        /// Why it is invalid.
        problem: KeyError,
    },
}

/// A generated part of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PagePart {
    /// A block.
    Block(String),
    /// A figure, by its key.
    Figure(String),
}

impl std::fmt::Display for PagePart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Block(name) => write!(f, "block `{name}`"),
            Self::Figure(key) => write!(f, "figure `{key}`"),
        }
    }
}

/// A page with regenerated parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegeneratedPage {
    /// The text of the page.
    pub text: String,
    /// The parts whose text changed.
    pub changed: Vec<PagePart>,
}

/// Regenerates the generated parts of a page and keeps the rest.
///
/// # Errors
///
/// A marker has no counterpart, a block is missing or occurs twice, or the key of a figure is invalid.
pub fn regenerate(page: &str, contents: &dyn PageContents) -> Result<RegeneratedPage, PageError> {
    let mut writer = Writer {
        contents,
        text: String::new(),
        changed: Vec::new(),
        blocks: BTreeSet::new(),
    };
    let mut lines = page.split_inclusive('\n').zip(1..);
    while let Some((line, line_number)) = lines.next() {
        if let Some(name) = marker(line, BLOCK_BEGIN) {
            let body = block_body(&mut lines, name, line_number)?;
            writer.block(name, line_number, &body)?;
        } else if marker(line, BLOCK_END).is_some() {
            return Err(PageError::UnopenedBlock { line: line_number });
        } else {
            writer.line(line, line_number)?;
        }
    }
    let missing = contents
        .required_blocks()
        .into_iter()
        .find(|name| !writer.blocks.contains(name));
    match missing {
        Some(name) => Err(PageError::MissingBlock { name }),
        None => Ok(RegeneratedPage {
            text: writer.text,
            changed: writer.changed,
        }),
    }
}

/// The name in a line that consists of a marker; none for other lines.
fn marker<'a>(line: &'a str, opening: &str) -> Option<&'a str> {
    Some(
        line.trim()
            .strip_prefix(opening)?
            .strip_suffix(MARKER_CLOSE)?
            .trim(),
    )
}

/// Consumes the lines of a block including its end marker; returns those before the marker.
fn block_body<'a>(
    lines: &mut impl Iterator<Item = (&'a str, usize)>,
    name: &str,
    begin_line: usize,
) -> Result<String, PageError> {
    let mut body = String::new();
    for (line, _) in lines {
        if marker(line, BLOCK_END) == Some(name) {
            return Ok(body);
        }
        if marker(line, BLOCK_BEGIN)
            .or(marker(line, BLOCK_END))
            .is_some()
        {
            break;
        }
        body += line;
    }
    Err(PageError::UnclosedBlock {
        line: begin_line,
        name: name.to_owned(),
    })
}

struct Writer<'a> {
    contents: &'a dyn PageContents,
    text: String,
    changed: Vec<PagePart>,
    blocks: BTreeSet<String>,
}

impl Writer<'_> {
    fn block(&mut self, name: &str, line: usize, previous: &str) -> Result<(), PageError> {
        if !self.blocks.insert(name.to_owned()) {
            return Err(PageError::RepeatedBlock {
                line,
                name: name.to_owned(),
            });
        }
        let body = format!("\n{}\n\n", self.contents.block(name).trim());
        if body != previous {
            self.changed.push(PagePart::Block(name.to_owned()));
        }
        self.text += &format!(
            "{BLOCK_BEGIN} {name} {MARKER_CLOSE}\n{body}{BLOCK_END} {name} {MARKER_CLOSE}\n"
        );
        Ok(())
    }

    fn line(&mut self, line: &str, line_number: usize) -> Result<(), PageError> {
        let mut rest = line;
        while let Some((text_before, figure)) = rest.split_once(FIGURE_BEGIN) {
            let unclosed = PageError::UnclosedFigure { line: line_number };
            let (key, value_and_rest) = figure.split_once(MARKER_CLOSE).ok_or(unclosed.clone())?;
            let (value, after_figure) = value_and_rest.split_once(FIGURE_END).ok_or(unclosed)?;
            self.text += text_before;
            self.figure(key.trim(), value, line_number)?;
            rest = after_figure;
        }
        self.text += rest;
        Ok(())
    }

    fn figure(&mut self, key: &str, previous: &str, line: usize) -> Result<(), PageError> {
        let figure_error = |problem| PageError::Figure {
            line,
            key: key.to_owned(),
            problem,
        };
        let value = self.contents.figure(key).map_err(figure_error)?;
        if value != previous {
            self.changed.push(PagePart::Figure(key.to_owned()));
        }
        self.text += &format!("{FIGURE_BEGIN} {key} {MARKER_CLOSE}{value}{FIGURE_END}");
        Ok(())
    }
}
