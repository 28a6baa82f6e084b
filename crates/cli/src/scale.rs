//! `maplethread scale`: measures the resource use of the placer program by the size of its fleet.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use maplethread_config::Document;
use maplethread_scale::{InterruptFlag, SweepFile, SweepOptions, run};

use crate::error::{CommandError, ErrorContext};
use crate::interrupt::interrupt_flag;
use crate::scale_report::{self, ReportArgs};

/// Commands on sweeps.
#[derive(Subcommand)]
pub enum ScaleCommand {
    /// Measure a sweep: real placers with hollow workers, at one fleet size after the other
    Run(RunArgs),
    /// Derive growth laws, budgets and plots from the results of sweeps, and write them into the page
    Report(ReportArgs),
}

/// Arguments of `scale run`.
#[derive(Args)]
pub struct RunArgs {
    /// The sweep file; config/scale has examples
    file: PathBuf,
    /// The folder for the results
    #[arg(long, default_value = "docs/capacity", value_name = "DIR")]
    output: PathBuf,
    /// Also count the packets of the loopback interface, which nothing else may use meanwhile
    #[arg(long)]
    alone: bool,
    /// Measure the placers of another build, for comparison: a program that accepts `placer --config FILE` like this one
    #[arg(long, value_name = "PROGRAM")]
    placer: Option<PathBuf>,
}

/// Runs a command on sweeps.
///
/// # Errors
///
/// Returns an error if a file is not valid or a sweep could not be run.
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
    let own_program = || std::env::current_exe().in_step("path of this program");
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
        .ok_or_else(|| CommandError::file(file, "path has no file name in UTF-8"))
}
