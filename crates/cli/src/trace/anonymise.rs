//! `trace anonymise`: writes the copy, and searches it for identifiers of the original.

use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use aho_corasick::AhoCorasick;
use clap::Args;
use maplethread_trace::anonymise::{Anonymiser, Identifiers};
use maplethread_trace::{FilePart, Record, TimedRecord, Writer};

use super::files::{create_new, for_each_part, open};
use crate::error::{CommandError, ErrorContext};

/// The copy is searched for this number of identifiers at a time, which bounds the memory of the search.
const MAX_IDENTIFIERS_PER_PASS: usize = 1 << 18;

#[derive(Args)]
pub struct AnonymiseArgs {
    /// The trace file
    file: PathBuf,
    /// The new file, which must not exist yet
    out: PathBuf,
    /// Also write the key to this file, which must not exist yet; otherwise the key is lost
    #[arg(long, value_name = "FILE")]
    keep_key: Option<PathBuf>,
    /// Shift all times by this, s
    #[arg(
        long,
        default_value_t = 0.0,
        allow_negative_numbers = true,
        value_name = "S"
    )]
    shift_s: f64,
    /// Round requested cores and memory up to multiples of this
    #[arg(long, default_value_t = 0.0, value_name = "X")]
    round: f64,
}

pub fn anonymise(args: &AnonymiseArgs) -> Result<ExitCode, CommandError> {
    let mut key = [0; 32];
    getrandom::fill(&mut key).in_step("random key")?;
    if let Some(file) = &args.keep_key {
        let hex: String = key.iter().map(|b| format!("{b:02x}")).collect();
        use std::io::Write;
        writeln!(create_new(file)?, "{hex}").in_file(file)?;
    }
    let shift = (args.shift_s * 1e6) as i64 as u64;
    let anonymiser = Anonymiser::new(key, shift, args.round);
    let mut trace = open(&args.file)?;
    let out = BufWriter::new(create_new(&args.out)?);
    let mut writer =
        Writer::new(out, &anonymiser.anonymise_header(&trace.header)).in_file(&args.out)?;
    for_each_part(&args.file, &mut trace, |part| match part {
        FilePart::Block { records, .. } => records.iter().try_for_each(|r| {
            writer
                .push(&anonymiser.anonymise_record(r))
                .in_file(&args.out)
        }),
        FilePart::Damaged { byte_count, .. } => {
            let record = Record::Gap {
                turns: 1,
                records: 1,
                reason: "other".to_owned(),
            };
            eprintln!("{byte_count} damaged bytes left out");
            writer
                .push(&TimedRecord { at: 0, record })
                .in_file(&args.out)
        }
    })?;
    let totals = writer.finish().in_file(&args.out)?;
    drop(writer);
    let (searched, found) = find_leaks(&args.file, &args.out)?;
    println!(
        "{} records copied; looked for {searched} identifiers of the original: {} found",
        totals.records,
        found.len()
    );
    for found in found.iter().take(10) {
        println!("  {found:?}");
    }
    if found.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    std::fs::remove_file(&args.out).in_file(&args.out)?;
    Err(CommandError::CheckFailed(
        "the copy was removed: it contained identifiers of the original".to_owned(),
    ))
}

/// Searches the copy for the original's identifiers, both as values and anywhere in the unpacked bytes. Returns the number
/// of identifiers searched for, and those found.
fn find_leaks(original: &Path, copy: &Path) -> Result<(usize, Vec<String>), CommandError> {
    let (mut searched, mut found) = (0, Vec::new());
    let mut identifiers = Identifiers::default();
    identifiers.add_header(&open(original)?.header);
    let mut trace = open(original)?;
    for_each_part(original, &mut trace, |part| {
        if let FilePart::Block { records, .. } = part {
            records.iter().for_each(|r| identifiers.add_record(r));
            if identifiers.len() >= MAX_IDENTIFIERS_PER_PASS {
                let all = std::mem::take(&mut identifiers);
                searched += all.len();
                found.extend(find_in_copy(&all, copy)?);
            }
        }
        Ok(())
    })?;
    searched += identifiers.len();
    found.extend(find_in_copy(&identifiers, copy)?);
    Ok((searched, found))
}

fn find_in_copy(identifiers: &Identifiers, copy: &Path) -> Result<Vec<String>, CommandError> {
    let texts: Vec<&str> = identifiers.searchable_texts().collect();
    let matcher = AhoCorasick::new(&texts).in_library()?;
    let mut trace = open(copy)?;
    // Only the header's values: its keys are part of the format.
    let header = [&[trace.header.placer.clone()], &trace.header.classes[..]]
        .concat()
        .join("\n");
    let mut found: Vec<String> = matcher
        .find_iter(&header)
        .map(|m| texts[m.pattern().as_usize()].to_owned())
        .collect();
    let mut blocks = Vec::new();
    for_each_part(copy, &mut trace, |part| {
        if let FilePart::Block {
            offset: at,
            records,
            ..
        } = part
        {
            found.extend(records.iter().filter_map(|r| identifiers.find_in(r)));
            blocks.push(at);
        }
        Ok(())
    })?;
    for at in blocks {
        let bytes = trace.read_block_bytes(at).in_file(copy)?;
        found.extend(
            matcher
                .find_iter(&bytes)
                .map(|m| texts[m.pattern().as_usize()].to_owned()),
        );
    }
    found.sort();
    found.dedup();
    Ok(found)
}
