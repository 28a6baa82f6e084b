//! `maplethread scale report`: writes or checks the capacity page and its plots, from the results of sweeps.

use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use maplethread_capacity::{Plot, RegeneratedPage, Report, SweepResult, parse_result, regenerate};

use crate::error::{CommandError, ErrorContext};

/// Arguments of `scale report`.
#[derive(Args)]
pub struct ReportArgs {
    /// The folder of the results and the plots
    #[arg(long, default_value = "docs/capacity", value_name = "DIR")]
    results: PathBuf,
    /// The page with the generated sections
    #[arg(long, default_value = "docs/CAPACITY.md", value_name = "FILE")]
    page: PathBuf,
    /// Write nothing, and fail if the page or a plot differs from the results
    #[arg(long)]
    check: bool,
}

/// Writes or checks the page and the plots.
///
/// # Errors
///
/// Returns an error if a file is not valid, or if a check found differences.
pub fn run(args: &ReportArgs) -> Result<ExitCode, CommandError> {
    let report = Report::new(read_results(&args.results)?, &plot_folder(args));
    let plots = report.plots().in_library()?;
    let before = fs::read_to_string(&args.page).in_file(&args.page)?;
    let page = regenerate(&before, &report).in_file(&args.page)?;
    if args.check {
        check(args, &before, &page, &plots)
    } else {
        write(args, &page, &plots)
    }
}

fn difference(file: &Path, problem: impl std::fmt::Display) -> String {
    format!("{}: {problem}", file.display())
}

/// The path of the plots relative to the page.
fn plot_folder(args: &ReportArgs) -> String {
    let relative = args
        .page
        .parent()
        .and_then(|folder| args.results.strip_prefix(folder).ok());
    relative.unwrap_or(&args.results).display().to_string()
}

/// Reads the results in a folder; none if the folder does not exist.
fn read_results(folder: &Path) -> Result<Vec<SweepResult>, CommandError> {
    let entries = match fs::read_dir(folder) {
        Ok(entries) => entries,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(CommandError::file(folder, error)),
    };
    let mut files = Vec::new();
    for entry in entries {
        let file = entry.in_file(folder)?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    files.sort();
    files.iter().map(|file| read_result(file)).collect()
}

fn read_result(file: &Path) -> Result<SweepResult, CommandError> {
    let text = fs::read_to_string(file).in_file(file)?;
    parse_result(&file.display().to_string(), &text).in_library()
}

fn write(
    args: &ReportArgs,
    page: &RegeneratedPage,
    plots: &[Plot],
) -> Result<ExitCode, CommandError> {
    for plot in plots {
        let file = args.results.join(&plot.file_name);
        fs::write(&file, &plot.svg).in_file(&file)?;
    }
    fs::write(&args.page, &page.text).in_file(&args.page)?;
    println!(
        "{}: {} parts changed, {} plots",
        args.page.display(),
        page.changed.len(),
        plots.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn check(
    args: &ReportArgs,
    before: &str,
    page: &RegeneratedPage,
    plots: &[Plot],
) -> Result<ExitCode, CommandError> {
    let mut differing: Vec<String> = page
        .changed
        .iter()
        .map(|part| difference(&args.page, format!("{part} differs")))
        .collect();
    if differing.is_empty() && before != page.text {
        differing.push(difference(
            &args.page,
            "a marker of a generated section differs",
        ));
    }
    for plot in plots {
        let file = args.results.join(&plot.file_name);
        if let Some(problem) = plot_problem(&file, plot)? {
            differing.push(difference(&file, problem));
        }
    }
    if differing.is_empty() {
        println!("{}: matches the results", args.page.display());
        return Ok(ExitCode::SUCCESS);
    }
    Err(CommandError::CheckFailed(format!(
        "{}\nthe page or its plots differ from the results; `maplethread scale report` regenerates them",
        differing.join("\n")
    )))
}

fn plot_problem(file: &Path, plot: &Plot) -> Result<Option<&'static str>, CommandError> {
    match fs::read_to_string(file) {
        Ok(svg) => Ok((svg != plot.svg).then_some("differs")),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(Some("does not exist")),
        Err(error) => Err(CommandError::file(file, error)),
    }
}
