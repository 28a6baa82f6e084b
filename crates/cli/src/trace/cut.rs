//! `trace cut`: a part of a trace as a file of its own.

use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use maplethread_trace::cut::{Filter, SelectedTasks};
use maplethread_trace::{Part, Record, TimedRecord, Writer};

use super::files::{TraceFile, create_new, for_each_part, open};
use crate::error::{CommandError, ErrorContext};

/// Arguments of `trace cut`.
#[derive(Args)]
pub struct CutArgs {
    /// The trace file
    file: PathBuf,
    /// The new file, which must not be there yet
    out: PathBuf,
    /// Seconds after the first record from which on
    #[arg(long, value_name = "S")]
    from_s: Option<f64>,
    /// Seconds after the first record up to which
    #[arg(long, value_name = "S")]
    until_s: Option<f64>,
    /// Only asks of this service
    #[arg(long)]
    service: Option<String>,
    /// Only asks that were offered to this host, and what was told of it
    #[arg(long)]
    host: Option<String>,
    /// Only the ask with this id
    #[arg(long)]
    request: Option<String>,
    /// Only asks that ended so
    #[arg(long, value_parser = ["placed", "refused", "failed", "hung_up"])]
    outcome: Option<String>,
}

/// What the names of the arguments stand for in a file.
struct Selection {
    /// The number of the service, if one is selected.
    service: Option<u64>,
    /// The number of the host, if one is selected.
    machine: Option<u32>,
    /// The time of the first block, in microseconds.
    first_us: u64,
}

/// Looks for the service and the host in the names that blocks hold.
fn find_ids(file: &Path, trace: &mut TraceFile, args: &CutArgs) -> Result<Selection, CommandError> {
    let (mut service, mut machine, mut first) = (None, None, None);
    while let Some(part) = trace.next_part().in_file(file)? {
        let Part::Block { info, records, .. } = part else {
            continue;
        };
        first.get_or_insert(info.first_us);
        for r in &records {
            match &r.record {
                Record::Service { service: n, name } if args.service.as_ref() == Some(name) => {
                    service = Some(*n)
                }
                Record::Host {
                    machine: n, name, ..
                } if args.host.as_ref() == Some(name) => machine = Some(*n),
                _ => {}
            }
        }
        if service.is_some() == args.service.is_some() && machine.is_some() == args.host.is_some() {
            break;
        }
    }
    for (wanted, found, what) in [
        (&args.service, service.is_some(), "service"),
        (&args.host, machine.is_some(), "host"),
    ] {
        if let Some(name) = wanted
            && !found
        {
            return Err(CommandError::file(
                file,
                format!("no {what} {name:?} in it"),
            ));
        }
    }
    Ok(Selection {
        service,
        machine,
        first_us: first.unwrap_or(0),
    })
}

/// Copies a part of a trace.
///
/// # Errors
///
/// A file can't be read or written, or the service or host is not in it.
pub fn cut(args: &CutArgs) -> Result<ExitCode, CommandError> {
    let file = args.file.as_path();
    let mut trace = open(file)?;
    let Selection {
        service,
        machine,
        first_us,
    } = find_ids(file, &mut trace, args)?;
    let time = |s: Option<f64>| s.map(|s| first_us + (s.max(0.0) * 1e6) as u64);
    let wanted = Filter {
        from: time(args.from_s),
        until: time(args.until_s),
        service,
        machine,
        request: args.request.clone(),
        outcome: args.outcome.clone(),
    };
    // With an index only blocks that may hold something of it are read; a service's number says which.
    let index = trace.read_index().in_file(file)?;
    let blocks: Option<Vec<u64>> = index.map(|all| {
        all.iter()
            .filter(|e| wanted.may_match_block(e))
            .map(|e| e.offset)
            .collect()
    });
    let mut go = |visit: &mut dyn FnMut(&TimedRecord) -> Result<(), CommandError>| -> Result<(), CommandError> {
        match &blocks {
            Some(blocks) => {
                for &at in blocks {
                    if let Part::Block { records, .. } =
                        trace.read_block(at).in_file(file)?
                    {
                        records.iter().try_for_each(&mut *visit)?;
                    }
                }
                Ok(())
            }
            None => {
                trace.rewind();
                for_each_part(file, &mut trace, |part| match part {
                    Part::Block { records, .. } => records.iter().try_for_each(&mut *visit),
                    Part::Damaged { .. } => Ok(()),
                })
            }
        }
    };
    let mut chosen = SelectedTasks::default();
    if wanted.selects_tasks() {
        go(&mut |r| {
            chosen.scan(&wanted, r);
            Ok(())
        })?;
    }
    let mut header = open(file)?.header;
    header.changed.push("cut".to_owned());
    // What is left of the turns is not what the module was given.
    header.settings = None;
    let out = BufWriter::new(create_new(&args.out)?);
    let mut writer = Writer::new(out, &header).in_file(&args.out)?;
    go(&mut |r| match chosen.filter_record(&wanted, r) {
        Some(kept) if matches!(kept.record, Record::Host { .. } | Record::Service { .. }) => {
            writer.register_name(&kept);
            Ok(())
        }
        Some(kept) => writer.push(&kept).in_file(&args.out),
        None => Ok(()),
    })?;
    let totals = writer.finish().in_file(&args.out)?;
    let (length, read) = trace.progress();
    println!(
        "{} records kept; {read} of {length} octets read",
        totals.records
    );
    Ok(ExitCode::SUCCESS)
}
