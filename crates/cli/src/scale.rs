//! `maplethread scale`: what the placer program costs by the size of its fleet.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use maplethread_config::Document;
use maplethread_scale::{InterruptFlag, SweepFile, SweepOptions, run};

use crate::error::{CommandError, ErrorContext};
use crate::interrupt::interrupt_flag;
use crate::scale_report::{self, ReportArgs};

/// What can be done with sweeps.
#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Measure a sweep: real placers under hollow workers, one size after the other
    Run(RunArgs),
    /// Derive laws, budgets and plots from the results of sweeps, and write them into the page
    Report(ReportArgs),
}

/// Arguments of `scale run`.
#[derive(Args)]
pub struct RunArgs {
    /// The sweep file, as in config/scale
    file: PathBuf,
    /// The folder of the results
    #[arg(long, default_value = "docs/capacity", value_name = "DIR")]
    output: PathBuf,
    /// Nothing else uses the loopback interface: count its packets too
    #[arg(long)]
    alone: bool,
    /// Measure the placers of another build, to compare the two: a program that takes `placer --config FILE` as this one
    /// does
    #[arg(long, value_name = "PROGRAM")]
    placer: Option<PathBuf>,
}

/// Runs a command on sweeps.
///
/// # Errors
///
/// What is wrong with a file, or what kept a sweep from running.
pub fn command(command: &ScaleCommand) -> Result<ExitCode, CommandError> {
    match command {
        ScaleCommand::Run(args) => measure(args),
        ScaleCommand::Report(args) => scale_report::run(args),
    }
}

fn measure(args: &RunArgs) -> Result<ExitCode, CommandError> {
    let file = args.file.display().to_string();
    let text = std::fs::read_to_string(&args.file).in_file(&args.file)?;
    let sweep = SweepFile::parse(Document {
        file: &file,
        text: &text,
    })
    .in_library()?;
    let name = stem(&args.file)?;
    let alone = if args.alone { " --alone" } else { "" };
    let own_program = || std::env::current_exe().in_step("own program");
    let (program, placer) = match &args.placer {
        Some(placer) => (placer.clone(), format!(" --placer {}", stem(placer)?)),
        None => (own_program()?, String::new()),
    };
    let options = SweepOptions {
        sweep,
        command: format!("maplethread scale run {file}{alone}{placer}"),
        name: name.clone(),
        program,
        owns_loopback: args.alone,
        shows_progress: true,
        interrupted: InterruptFlag(interrupt_flag()?),
    };
    let result = run(&options).in_library()?;
    let mut json = serde_json::to_string_pretty(&result).in_library()?;
    json.push('\n');
    std::fs::create_dir_all(&args.output).in_file(&args.output)?;
    let path = args.output.join(format!("{name}.json"));
    std::fs::write(&path, json).in_file(&path)?;
    println!("{} points in {}", result.points.len(), path.display());
    Ok(ExitCode::SUCCESS)
}

fn stem(file: &Path) -> Result<String, CommandError> {
    let stem = file.file_stem().and_then(|stem| stem.to_str());
    stem.map(str::to_owned)
        .ok_or_else(|| CommandError::file(file, "not a file name"))
}
