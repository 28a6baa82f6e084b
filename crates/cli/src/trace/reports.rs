//! `trace summary` and `trace losses`: reports on a run.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::FilePart;
use maplethread_trace::losses::LossCollector;
use maplethread_trace::summary::Summary;

use super::files::{for_each_part, open};
use super::timeline;
use crate::error::CommandError;

/// Prints the summary of a run.
///
/// # Errors
///
/// Returns an error if a file can't be read, or the SVG can't be written.
pub fn summary(
    files: &[PathBuf],
    as_json: bool,
    svg: Option<&Path>,
) -> Result<ExitCode, CommandError> {
    let mut summary = None;
    for file in files {
        let mut trace = open(file)?;
        let summary = summary.get_or_insert_with(|| Summary::new(&trace.header));
        for_each_part(file, &mut trace, |part| {
            match part {
                FilePart::Block {
                    records,
                    unknown_records,
                    ..
                } => {
                    records.iter().for_each(|r| summary.feed(r));
                    summary.add_unknown_records(unknown_records);
                }
                FilePart::Damaged { byte_count, .. } => summary.add_damaged_bytes(byte_count),
            }
            Ok(())
        })?;
    }
    let Some(summary) = summary else {
        return Err(CommandError::invalid_option("no trace file given"));
    };
    if let Some(svg) = svg {
        timeline::draw(svg, summary.seconds())?;
    }
    if as_json {
        println!("{}", summary.to_json())
    } else {
        print!("{}", summary.to_text())
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the time that wanted tasks did not run, by cause.
///
/// # Errors
///
/// Returns an error if a file can't be read, or is of another run than the first.
pub fn losses(files: &[PathBuf], as_json: bool) -> Result<ExitCode, CommandError> {
    let mut losses: Option<(LossCollector, (String, u64))> = None;
    for file in files {
        let mut trace = open(file)?;
        let run = (trace.header.placer.clone(), trace.header.started_ms);
        let (losses, first) =
            losses.get_or_insert_with(|| (LossCollector::new(&trace.header.classes), run.clone()));
        if *first != run {
            let problem = "file of another run than the first file's; merge the files first";
            return Err(CommandError::file(file, problem));
        }
        for_each_part(file, &mut trace, |part| {
            if let FilePart::Block { records, .. } = part {
                records.iter().for_each(|r| losses.feed(r));
            }
            Ok(())
        })?;
    }
    let Some((losses, _)) = losses else {
        return Ok(ExitCode::SUCCESS);
    };
    let report = losses.finish();
    if as_json {
        println!("{:#}", report.to_json());
    } else {
        print!("{}", report.to_text());
    }
    Ok(ExitCode::SUCCESS)
}
