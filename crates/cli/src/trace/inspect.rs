//! `trace info`, `trace cat` and `trace verify`: print the contents of trace files.

use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::{FilePart, Record, policy_hash};
use serde_json::json;

use super::files::{for_each_part, open};
use crate::error::{CommandError, ErrorContext};

/// Prints the header and the size of a file, as JSON.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn info(file: &Path) -> Result<ExitCode, CommandError> {
    let mut trace = open(file)?;
    let index = trace.read_index().in_file(file)?;
    let header = trace.header.clone();
    let (length, _) = trace.progress();
    let (mut blocks, mut records, mut first, mut last) = (0, 0u64, u64::MAX, 0);
    if let Some(index) = &index {
        for entry in index {
            (blocks, records) = (blocks + 1, records + u64::from(entry.record_count));
            (first, last) = (first.min(entry.first_us), last.max(entry.last_us));
        }
    } else {
        for_each_part(file, &mut trace, |part| {
            if let FilePart::Block { info, .. } = part {
                (blocks, records) = (blocks + 1, records + u64::from(info.record_count));
                (first, last) = (first.min(info.first_us), last.max(info.last_us));
            }
            Ok(())
        })?;
    }
    let text = json!({
        "writer": header.writer, "placer": header.placer, "started_ms": header.started_ms, "part": header.part,
        "module": header.policy_hash, "module_is_this_one": header.policy_hash == policy_hash(),
        "replayable": header.settings.is_some(), "changed": header.operations, "classes": header.classes,
        "octets": length, "finished": index.is_some(), "blocks": blocks, "records": records,
        "first_us": (records > 0).then_some(first), "last_us": (records > 0).then_some(last),
    });
    println!("{text:#}");
    Ok(ExitCode::SUCCESS)
}

/// Prints the records as JSON lines.
///
/// # Errors
///
/// Returns an error if a file can't be read or standard output can't be written, except that a closed pipe ends the
/// output without one.
pub fn cat(files: &[PathBuf]) -> Result<ExitCode, CommandError> {
    let mut out = BufWriter::new(io::stdout().lock());
    for file in files {
        let mut trace = open(file)?;
        for_each_part(file, &mut trace, |part| {
            let result = match part {
                FilePart::Block { records, .. } => records.iter().try_for_each(|r| {
                    serde_json::to_writer(&mut out, r)?;
                    out.write_all(b"\n")
                }),
                FilePart::Damaged {
                    offset: position,
                    byte_count: length,
                    reason: cause,
                } => {
                    writeln!(
                        out,
                        "{}",
                        json!({"damaged": {"at": position, "octets": length, "why": cause}})
                    )
                }
            };
            result.map_err(CommandError::Output)
        })
        .or_else(|error| match error {
            CommandError::Output(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            error => Err(error),
        })?;
    }
    let _ = out.flush();
    Ok(ExitCode::SUCCESS)
}

/// Reads every block, and prints the damaged ones.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn verify(file: &Path) -> Result<ExitCode, CommandError> {
    let mut trace = open(file)?;
    let finished = trace.read_index().in_file(file)?.is_some();
    let (mut blocks, mut records, mut damaged, mut unknown, mut gaps) = (0, 0, 0, 0, 0);
    for_each_part(file, &mut trace, |part| {
        match part {
            FilePart::Block {
                records: block_records,
                unknown_records,
                ..
            } => {
                (blocks, records, unknown) = (
                    blocks + 1,
                    records + block_records.len(),
                    unknown + unknown_records,
                );
                gaps += block_records
                    .iter()
                    .filter(|r| matches!(r.record, Record::Gap { .. }))
                    .count();
            }
            FilePart::Damaged {
                offset: position,
                byte_count: length,
                reason: cause,
            } => {
                damaged += 1;
                println!("octet {position}: {length} octets are not a valid block: {cause}");
            }
        }
        Ok(())
    })?;
    println!(
        "{blocks} blocks, {records} records, {unknown} of unknown kinds, {gaps} gaps, {damaged} damaged places"
    );
    if !finished {
        println!("no valid index: the file is truncated, or its placer still writes it");
    }
    Ok(if damaged == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
