//! `trace summary` and `trace losses`: reports about a run.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::Part;
use maplethread_trace::losses::LossCollector;
use maplethread_trace::summary::Summary;

use super::files::{for_each_part, open};
use super::timeline;
use crate::error::CommandError;

/// Prints the summary of a run.
///
/// # Errors
///
/// A file can't be read, or the drawing not be written.
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
                Part::Block {
                    records,
                    unknown_records: unknown,
                    ..
                } => {
                    records.iter().for_each(|r| summary.feed(r));
                    summary.add_unknown_records(unknown);
                }
                Part::Damaged {
                    byte_count: octets, ..
                } => summary.add_damaged_bytes(octets),
            }
            Ok(())
        })?;
    }
    let Some(summary) = summary else {
        return Err(CommandError::invalid_option("no file is given"));
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

/// Prints what kept tasks from running.
///
/// # Errors
///
/// A file can't be read, or is of another run.
pub fn losses(files: &[PathBuf], as_json: bool) -> Result<ExitCode, CommandError> {
    let mut losses: Option<(LossCollector, (String, u64))> = None;
    for file in files {
        let mut trace = open(file)?;
        let run = (trace.header.placer.clone(), trace.header.started_ms);
        let (losses, first) =
            losses.get_or_insert_with(|| (LossCollector::new(&trace.header.classes), run.clone()));
        if *first != run {
            let problem = "another run than the first file's; merge them first";
            return Err(CommandError::file(file, problem));
        }
        for_each_part(file, &mut trace, |part| {
            if let Part::Block { records, .. } = part {
                records.iter().for_each(|r| losses.feed(r));
            }
            Ok(())
        })?;
    }
    let Some((losses, _)) = losses else {
        return Ok(ExitCode::SUCCESS);
    };
    let counted = losses.finish();
    if as_json {
        println!("{:#}", counted.to_json());
    } else {
        print!("{}", counted.to_text());
    }
    Ok(ExitCode::SUCCESS)
}
