//! `maplethread scale`: what the placer program costs by the size of its fleet.

use std::process::ExitCode;

use clap::Subcommand;

use crate::scale_report::{self, ReportArgs};

/// What can be done with sweeps.
#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Derive laws, budgets and plots from the results of sweeps, and write them into the page
    Report(ReportArgs),
}

/// Runs a command on sweeps.
pub fn command(command: &ScaleCommand) -> Result<ExitCode, String> {
    match command {
        ScaleCommand::Report(args) => scale_report::run(args),
    }
}
