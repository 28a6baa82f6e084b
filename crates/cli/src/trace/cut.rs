//! `trace cut`: copies a selection of a trace to a new file.

use std::io::BufWriter;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use maplethread_trace::cut::{Filter, SelectedTasks};
use maplethread_trace::{FilePart, Record, TimedRecord, Writer};

use super::files::{TraceFile, create_new, for_each_part, open};
use crate::error::{CommandError, ErrorContext};

/// Arguments of `trace cut`.
#[derive(Args)]
pub struct CutArgs {
    /// The trace file
    file: PathBuf,
    /// The new file, which must not exist yet
    out: PathBuf,
    /// Start of the selection, s after the first record
    #[arg(long, value_name = "S")]
    from_s: Option<f64>,
    /// End of the selection, s after the first record
    #[arg(long, value_name = "S")]
    until_s: Option<f64>,
    /// Only requests of this service
    #[arg(long)]
    service: Option<String>,
    /// Only requests that were offered to this host, and events of the host
    #[arg(long)]
    host: Option<String>,
    /// Only the request with this id
    #[arg(long)]
    request: Option<String>,
    /// Only requests with this outcome
    #[arg(long, value_parser = ["placed", "refused", "failed", "hung_up"])]
    outcome: Option<String>,
}

/// The arguments of a cut, as ids and times of the file.
struct Selection {
    /// The id of the service, if one is selected.
    service: Option<u64>,
    /// The id of the host, if one is selected.
    machine: Option<u32>,
    /// The time of the first block, in microseconds.
    first_us: u64,
}

/// Looks up the ids of the service and the host in the name records of the blocks.
fn find_ids(file: &Path, trace: &mut TraceFile, args: &CutArgs) -> Result<Selection, CommandError> {
    let (mut service, mut machine, mut first) = (None, None, None);
    while let Some(part) = trace.next_part().in_file(file)? {
        let FilePart::Block { info, records, .. } = part else {
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
                format!("the trace has no {what} named {name:?}"),
            ));
        }
    }
    Ok(Selection {
        service,
        machine,
        first_us: first.unwrap_or(0),
    })
}

/// Copies a selection of a trace.
///
/// # Errors
///
/// Returns an error if a file can't be read or written, or if the trace does not have the service or host.
pub fn cut(args: &CutArgs) -> Result<ExitCode, CommandError> {
    let file = args.file.as_path();
    let mut trace = open(file)?;
    let Selection {
        service,
        machine,
        first_us,
    } = find_ids(file, &mut trace, args)?;
    let time = |s: Option<f64>| s.map(|s| first_us + (s.max(0.0) * 1e6) as u64);
    let filter = Filter {
        from: time(args.from_s),
        until: time(args.until_s),
        service,
        machine,
        request: args.request.clone(),
        outcome: args.outcome.clone(),
    };
    // The index tells by time and service id which blocks may hold selected records; only those are read.
    let index = trace.read_index().in_file(file)?;
    let blocks: Option<Vec<u64>> = index.map(|all| {
        all.iter()
            .filter(|e| filter.may_match_block(e))
            .map(|e| e.offset)
            .collect()
    });
    let mut for_each_record = |visit: &mut dyn FnMut(&TimedRecord) -> Result<(), CommandError>| -> Result<(), CommandError> {
        match &blocks {
            Some(blocks) => {
                for &at in blocks {
                    if let FilePart::Block { records, .. } =
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
                    FilePart::Block { records, .. } => records.iter().try_for_each(&mut *visit),
                    FilePart::Damaged { .. } => Ok(()),
                })
            }
        }
    };
    let mut selected = SelectedTasks::default();
    if filter.selects_tasks() {
        for_each_record(&mut |r| {
            selected.scan(&filter, r);
            Ok(())
        })?;
    }
    let mut header = open(file)?.header;
    header.operations.push("cut".to_owned());
    // The cut leaves out input of the module, so the copy can't be replayed.
    header.settings = None;
    let out = BufWriter::new(create_new(&args.out)?);
    let mut writer = Writer::new(out, &header).in_file(&args.out)?;
    for_each_record(&mut |r| match selected.filter_record(&filter, r) {
        Some(record) if matches!(record.record, Record::Host { .. } | Record::Service { .. }) => {
            writer.register_name(&record);
            Ok(())
        }
        Some(record) => writer.push(&record).in_file(&args.out),
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
