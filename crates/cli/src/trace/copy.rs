//! `trace merge` and `trace repair`: rewrite whole traces.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::merge::MergePlan;
use maplethread_trace::{FilePart, Reader, Record, TimedRecord, Writer};

use super::files::{create_new, for_each_part, open};
use crate::error::{CommandError, ErrorContext};

/// Merges several traces into one.
///
/// # Errors
///
/// Returns an error if a file can't be read or written, or if the files can't be merged.
pub fn merge(out: &Path, files: &[PathBuf]) -> Result<ExitCode, CommandError> {
    let mut inputs = files
        .iter()
        .map(|f| open(f))
        .collect::<Result<Vec<_>, _>>()?;
    let plan = MergePlan::new(&mut inputs).in_library()?;
    drop(inputs);
    let mut writer = Writer::new(BufWriter::new(create_new(out)?), plan.header()).in_file(out)?;
    let reopen = |n: usize| Reader::open(BufReader::new(File::open(&files[n])?));
    plan.write(reopen, &mut writer).in_library()?;
    let totals = writer.finish().in_file(out)?;
    println!(
        "{} records of {} runs",
        totals.records,
        plan.header().sources.len()
    );
    for source in &plan.header().sources {
        let error = source.residual_error_us.map_or("unknown".to_owned(), |us| {
            format!("{:.3} ms", us as f64 / 1000.0)
        });
        let offset = source.offset_us as f64 / 1000.0;
        println!(
            "  {} started {}: offset {offset:.3} ms, residual error {error}",
            source.placer, source.started_ms
        );
    }
    Ok(ExitCode::SUCCESS)
}

/// Copies the sound blocks of a damaged file.
///
/// # Errors
///
/// Returns an error if a file can't be read or written.
pub fn repair(file: &Path, out: &Path) -> Result<ExitCode, CommandError> {
    let mut trace = open(file)?;
    let mut header = trace.header.clone();
    header.operations.push("repair".to_owned());
    let mut writer = Writer::new(BufWriter::new(create_new(out)?), &header).in_file(out)?;
    let (mut lost_bytes, mut last_us) = (0, 0);
    for_each_part(file, &mut trace, |part| {
        match part {
            FilePart::Block { records, .. } => {
                for record in records {
                    last_us = record.at;
                    writer.push(&record).in_file(out)?;
                }
            }
            FilePart::Damaged {
                byte_count, reason, ..
            } => {
                lost_bytes += byte_count;
                // The number of lost turns is unknown. Without any, a replay would continue across the gap.
                let record = Record::Gap {
                    turns: 1,
                    records: 1,
                    reason: format!("{byte_count} octets: {reason}"),
                };
                writer
                    .push(&TimedRecord {
                        at: last_us,
                        record,
                    })
                    .in_file(out)?;
            }
        }
        Ok(())
    })?;
    let totals = writer.finish().in_file(out)?;
    println!(
        "{} records copied; {lost_bytes} octets of damaged blocks left out",
        totals.records
    );
    Ok(ExitCode::SUCCESS)
}
