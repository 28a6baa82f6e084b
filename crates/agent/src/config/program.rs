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
    /// The class of tasks that run the program; any class if omitted.
    pub class: Option<String>,
    /// The service of tasks that run the program; any service if omitted.
    pub service: Option<String>,
    /// The absolute path of the program.
    pub path: PathBuf,
    /// The arguments, with placeholders such as `{actor}`.
    #[serde(default)]
    pub args: Vec<String>,
    /// Names of the environment variables that the program inherits from the agent; it inherits no others.
    #[serde(default)]
    pub env: Vec<String>,
    /// Additional environment variables.
    #[serde(default)]
    pub set: BTreeMap<String, String>,
    /// The working directory; the folder of the tasks' output if omitted.
    pub folder: Option<PathBuf>,
}

/// A program with its arguments parsed.
#[derive(Clone, Debug)]
pub struct PreparedProgram {
    /// The program as configured.
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

    /// Renders the arguments for a task.
    ///
    /// # Errors
    /// If a name in the offer cannot be used as an argument.
    pub fn render_args(&self, offer: &Offer) -> Result<Vec<String>, InvalidName> {
        self.templates
            .iter()
            .map(|template| template.render(offer))
            .collect()
    }

    /// Whether the program runs tasks with the class and service of the offer.
    fn matches(&self, offer: &Offer) -> bool {
        let is_match = |wanted: &Option<String>, offered: &str| {
            wanted.as_ref().is_none_or(|wanted| wanted == offered)
        };
        is_match(&self.program.class, &offer.class)
            && is_match(&self.program.service, &offer.service)
    }
}

/// Returns the first program that matches an offer.
pub fn find_program<'a>(
    programs: &'a [PreparedProgram],
    offer: &Offer,
) -> Option<&'a PreparedProgram> {
    programs.iter().find(|program| program.matches(offer))
}
