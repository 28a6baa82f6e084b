//! The programs that tasks run.

use std::collections::BTreeMap;
use std::path::PathBuf;

use maplethread_wire::frame::Offer;
use serde::Deserialize;

use crate::template::{ArgumentTemplate, InvalidName, TemplateError};

/// A program that tasks run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// It runs tasks of this class; of any class if left out.
    pub class: Option<String>,
    /// It runs tasks of this service; of any service if left out.
    pub service: Option<String>,
    /// The absolute path of the program.
    pub path: PathBuf,
    /// Its arguments, with placeholders such as `{actor}`.
    #[serde(default)]
    pub args: Vec<String>,
    /// Environment variables of the agent that it receives; it receives no others.
    #[serde(default)]
    pub env: Vec<String>,
    /// Environment variables that it receives besides.
    #[serde(default)]
    pub set: BTreeMap<String, String>,
    /// Its working directory; the folder of the tasks' output if left out.
    pub folder: Option<PathBuf>,
}

/// A program with its arguments parsed.
#[derive(Clone, Debug)]
pub struct PreparedProgram {
    /// The program as in the settings.
    pub program: Program,
    templates: Vec<ArgumentTemplate>,
}

impl PreparedProgram {
    /// Parses the arguments of a program.
    pub(super) fn new(program: &Program) -> Result<PreparedProgram, TemplateError> {
        let templates = program.args.iter().map(|arg| ArgumentTemplate::parse(arg));
        Ok(PreparedProgram {
            templates: templates.collect::<Result<_, _>>()?,
            program: program.clone(),
        })
    }

    /// The arguments for a task.
    ///
    /// # Errors
    /// If a name in the offer may not be an argument.
    pub fn render_args(&self, offer: &Offer) -> Result<Vec<String>, InvalidName> {
        self.templates
            .iter()
            .map(|template| template.render(offer))
            .collect()
    }

    /// Whether the program runs tasks of this class and service.
    fn matches(&self, offer: &Offer) -> bool {
        let is_match = |wanted: &Option<String>, offered: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == offered)
        };
        is_match(&self.program.class, &offer.class)
            && is_match(&self.program.service, &offer.service)
    }
}

/// The first program that matches a task.
pub fn find_program<'a>(
    programs: &'a [PreparedProgram],
    offer: &Offer,
) -> Option<&'a PreparedProgram> {
    programs.iter().find(|program| program.matches(offer))
}
