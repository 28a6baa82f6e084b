//! The tools for trace files. All go through a file block by block, in memory that does not grow with it.

mod anonymise;
mod replay;
mod timeline;

use std::fs::File;
use std::io::{self, BufReader, BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use maplethread_trace::cut::{Filter, SelectedTasks};
use maplethread_trace::losses::LossCollector;
use maplethread_trace::merge::MergePlan;
use maplethread_trace::summary::Summary;
use maplethread_trace::{Part, Reader, Record, TimedRecord, TraceError, Writer, module_hash};
use serde_json::json;

pub type TraceFile = Reader<BufReader<File>>;

#[derive(Subcommand)]
pub enum TraceCommand {
    /// Tell what a file is: placer, run, module, times, blocks, and whether it was finished
    Info {
        /// The trace file
        file: PathBuf,
    },
    /// Print the records as JSON lines
    Cat {
        /// The trace files, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Copy a part to a new file: by time, service, host, request or outcome
    Cut(CutArgs),
    /// Sum up: outcomes by class and reason, times, hosts, drains, the worst ten seconds
    Summary {
        /// The trace files of a run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
        /// Also draw what happened second by second, as SVG
        #[arg(long, value_name = "FILE")]
        svg: Option<PathBuf>,
    },
    /// Tell what kept tasks from running while they were wanted: by class, cause, what took the time, and hosts
    Losses {
        /// The merged trace, or the files of one run, in order
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
    /// Read every block, and tell what is damaged; exit code 1 if anything is
    Verify {
        /// The trace file
        file: PathBuf,
    },
    /// Copy all sound blocks to a new file with an index; a gap stands where something was damaged
    Repair {
        /// The damaged file
        file: PathBuf,
        /// The new file, which must not be there yet
        out: PathBuf,
    },
    /// Feed the trace to a fresh module and compare every action; exit code 1 at a difference
    Replay {
        /// The trace files of one run, in order, from its first part on
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Go on though the module's text is not the one that decided, and tell what it would do instead
        #[arg(long)]
        build_differs: bool,
        /// What if: with the settings of this placer's file in place of the recorded ones
        #[arg(long, value_name = "FILE")]
        settings: Option<PathBuf>,
    },
    /// Make one trace of several: parts of a run, runs, placers whose clocks differ, merged ones
    Merge {
        /// The new file, which must not be there yet
        out: PathBuf,
        /// The trace files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Copy with all names, ids, keys and free text replaced by keyed hashes, and look for any of them in the copy
    Anonymise(anonymise::AnonymiseArgs),
    /// Compare two traces record by record; exit code 1 at a difference
    Diff {
        /// One
        a: PathBuf,
        /// The other
        b: PathBuf,
    },
}

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

pub fn run(command: &TraceCommand) -> Result<ExitCode, String> {
    match command {
        TraceCommand::Info { file } => info(file),
        TraceCommand::Cat { files } => cat(files),
        TraceCommand::Cut(args) => cut(args),
        TraceCommand::Summary { files, json, svg } => summary(files, *json, svg.as_deref()),
        TraceCommand::Losses { files, json } => losses(files, *json),
        TraceCommand::Verify { file } => verify(file),
        TraceCommand::Repair { file, out } => repair(file, out),
        TraceCommand::Replay {
            files,
            build_differs,
            settings,
        } => replay::replay(files, *build_differs, settings.as_deref()),
        TraceCommand::Merge { out, files } => merge(out, files),
        TraceCommand::Anonymise(args) => anonymise::anonymise(args),
        TraceCommand::Diff { a, b } => diff(a, b),
    }
}

fn in_file(file: &Path) -> impl Fn(TraceError) -> String {
    move |e| format!("{}: {e}", file.display())
}

pub fn open(file: &Path) -> Result<TraceFile, String> {
    let opened = File::open(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let trace = Reader::open(BufReader::new(opened)).map_err(in_file(file))?;
    if trace.is_newer_minor_version() {
        eprintln!(
            "{}: a newer program wrote it; records of kinds unknown here are passed over",
            file.display()
        );
    }
    Ok(trace)
}

/// Goes through all parts of a file, telling how far it is where a person looks on.
fn for_each_part(
    file: &Path,
    trace: &mut TraceFile,
    mut part: impl FnMut(Part) -> Result<(), String>,
) -> Result<(), String> {
    let (length, _) = trace.progress();
    let shown = length > 64 << 20 && io::stderr().is_terminal();
    let (mut told, from) = (0, trace.progress().1);
    while let Some(next) = trace.next_part().map_err(in_file(file))? {
        part(next)?;
        let percent = (trace.progress().1 - from) * 100 / length.max(1);
        if shown && percent > told {
            told = percent;
            eprint!("\r{percent:3}% ");
        }
    }
    if shown {
        eprintln!();
    }
    Ok(())
}

fn create_new(out: &Path) -> Result<File, String> {
    File::create_new(out).map_err(|e| format!("{}: {e}", out.display()))
}

fn info(file: &Path) -> Result<ExitCode, String> {
    let mut trace = open(file)?;
    let index = trace.read_index().map_err(in_file(file))?;
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
            if let Part::Block { info, .. } = part {
                (blocks, records) = (blocks + 1, records + u64::from(info.record_count));
                (first, last) = (first.min(info.first_us), last.max(info.last_us));
            }
            Ok(())
        })?;
    }
    let text = json!({
        "writer": header.writer, "placer": header.placer, "started_ms": header.started_ms, "part": header.part,
        "module": header.module, "module_is_this_one": header.module == module_hash(),
        "replayable": header.settings.is_some(), "changed": header.changed, "classes": header.classes,
        "octets": length, "finished": index.is_some(), "blocks": blocks, "records": records,
        "first_us": (records > 0).then_some(first), "last_us": (records > 0).then_some(last),
    });
    println!("{text:#}");
    Ok(ExitCode::SUCCESS)
}

fn cat(files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut out = BufWriter::new(io::stdout().lock());
    for file in files {
        let mut trace = open(file)?;
        for_each_part(file, &mut trace, |part| {
            let result = match part {
                Part::Block { records, .. } => records.iter().try_for_each(|r| {
                    serde_json::to_writer(&mut out, r)?;
                    out.write_all(b"\n")
                }),
                Part::Damaged {
                    offset: at,
                    byte_count: octets,
                    reason: why,
                } => {
                    writeln!(
                        out,
                        "{}",
                        json!({"damaged": {"at": at, "octets": octets, "why": why}})
                    )
                }
            };
            result.map_err(|e| e.to_string())
        })
        .or_else(|e| {
            if e.contains("Broken pipe") {
                Ok(())
            } else {
                Err(e)
            }
        })?;
    }
    let _ = out.flush();
    Ok(ExitCode::SUCCESS)
}

/// The numbers of a service and a host by their names, looked for in the names that blocks say.
fn find_ids(
    file: &Path,
    trace: &mut TraceFile,
    args: &CutArgs,
) -> Result<(Option<u64>, Option<u32>, u64), String> {
    let (mut service, mut machine, mut first) = (None, None, None);
    while let Some(part) = trace.next_part().map_err(in_file(file))? {
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
            return Err(format!("{}: no {what} {name:?} in it", file.display()));
        }
    }
    Ok((service, machine, first.unwrap_or(0)))
}

fn cut(args: &CutArgs) -> Result<ExitCode, String> {
    let file = args.file.as_path();
    let mut trace = open(file)?;
    let (service, machine, first) = find_ids(file, &mut trace, args)?;
    let time = |s: Option<f64>| s.map(|s| first + (s.max(0.0) * 1e6) as u64);
    let wanted = Filter {
        from: time(args.from_s),
        until: time(args.until_s),
        service,
        machine,
        request: args.request.clone(),
        outcome: args.outcome.clone(),
    };
    // With an index only blocks that may hold something of it are read; a service's number says which.
    let index = trace.read_index().map_err(in_file(file))?;
    let blocks: Option<Vec<u64>> = index.map(|all| {
        all.iter()
            .filter(|e| wanted.may_match_block(e))
            .map(|e| e.offset)
            .collect()
    });
    let mut go = |visit: &mut dyn FnMut(&TimedRecord) -> Result<(), String>| -> Result<(), String> {
        match &blocks {
            Some(blocks) => {
                for &at in blocks {
                    if let Part::Block { records, .. } =
                        trace.read_block(at).map_err(in_file(file))?
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
    let mut writer = Writer::new(out, &header).map_err(in_file(&args.out))?;
    go(&mut |r| match chosen.filter_record(&wanted, r) {
        Some(kept) if matches!(kept.record, Record::Host { .. } | Record::Service { .. }) => {
            writer.register_name(&kept);
            Ok(())
        }
        Some(kept) => writer.push(&kept).map_err(in_file(&args.out)),
        None => Ok(()),
    })?;
    let totals = writer.finish().map_err(in_file(&args.out))?;
    let (length, read) = trace.progress();
    println!(
        "{} records kept; {read} of {length} octets read",
        totals.records
    );
    Ok(ExitCode::SUCCESS)
}

fn merge(out: &Path, files: &[PathBuf]) -> Result<ExitCode, String> {
    let mut inputs = files
        .iter()
        .map(|f| open(f))
        .collect::<Result<Vec<_>, _>>()?;
    let plan = MergePlan::new(&mut inputs).map_err(|e| e.to_string())?;
    drop(inputs);
    let mut writer =
        Writer::new(BufWriter::new(create_new(out)?), plan.header()).map_err(in_file(out))?;
    let again = |n: usize| Reader::open(BufReader::new(File::open(&files[n])?));
    plan.write(again, &mut writer).map_err(|e| e.to_string())?;
    let totals = writer.finish().map_err(in_file(out))?;
    println!(
        "{} records of {} runs",
        totals.records,
        plan.header().sources.len()
    );
    for source in &plan.header().sources {
        let error = source.error_us.map_or("unknown".to_owned(), |us| {
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

fn summary(files: &[PathBuf], as_json: bool, svg: Option<&Path>) -> Result<ExitCode, String> {
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
        return Err("no file is given".to_owned());
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

fn losses(files: &[PathBuf], as_json: bool) -> Result<ExitCode, String> {
    let mut losses: Option<(LossCollector, (String, u64))> = None;
    for file in files {
        let mut trace = open(file)?;
        let run = (trace.header.placer.clone(), trace.header.started_ms);
        let (losses, first) =
            losses.get_or_insert_with(|| (LossCollector::new(&trace.header.classes), run.clone()));
        if *first != run {
            return Err(format!(
                "{}: another run than the first file's; merge them first",
                file.display()
            ));
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

fn verify(file: &Path) -> Result<ExitCode, String> {
    let mut trace = open(file)?;
    let finished = trace.read_index().map_err(in_file(file))?.is_some();
    let (mut blocks, mut records, mut damaged, mut unknown, mut gaps) = (0, 0, 0, 0, 0);
    for_each_part(file, &mut trace, |part| {
        match part {
            Part::Block {
                records: all,
                unknown_records: passed,
                ..
            } => {
                (blocks, records, unknown) = (blocks + 1, records + all.len(), unknown + passed);
                gaps += all
                    .iter()
                    .filter(|r| matches!(r.record, Record::Gap { .. }))
                    .count();
            }
            Part::Damaged {
                offset: at,
                byte_count: octets,
                reason: why,
            } => {
                damaged += 1;
                println!("octet {at}: {octets} octets are no sound block: {why}");
            }
        }
        Ok(())
    })?;
    println!(
        "{blocks} blocks, {records} records, {unknown} of unknown kinds, {gaps} gaps, {damaged} damaged places"
    );
    if !finished {
        println!("it has no sound index: it was cut off, or its placer still writes it");
    }
    Ok(if damaged == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}

fn repair(file: &Path, out: &Path) -> Result<ExitCode, String> {
    let mut trace = open(file)?;
    let mut header = trace.header.clone();
    header.changed.push("repair".to_owned());
    let mut writer =
        Writer::new(BufWriter::new(create_new(out)?), &header).map_err(in_file(out))?;
    let (mut lost, mut last) = (0, 0);
    for_each_part(file, &mut trace, |part| {
        match part {
            Part::Block { records, .. } => {
                for record in records {
                    last = record.at;
                    writer.push(&record).map_err(in_file(out))?;
                }
            }
            Part::Damaged {
                byte_count: octets,
                reason: why,
                ..
            } => {
                lost += octets;
                // How many turns were in it is not known; one at least, or a replay would go on over it.
                let record = Record::Gap {
                    turns: 1,
                    records: 1,
                    reason: format!("{octets} octets: {why}"),
                };
                writer
                    .push(&TimedRecord { at: last, record })
                    .map_err(in_file(out))?;
            }
        }
        Ok(())
    })?;
    let totals = writer.finish().map_err(in_file(out))?;
    println!(
        "{} records copied; {lost} octets were no sound blocks",
        totals.records
    );
    Ok(ExitCode::SUCCESS)
}

/// The records of a file one by one.
struct Records {
    file: PathBuf,
    trace: TraceFile,
    block: std::vec::IntoIter<TimedRecord>,
}

impl Records {
    fn next(&mut self) -> Result<Option<TimedRecord>, String> {
        loop {
            // Names are said wherever a block begins, which is no difference.
            let named =
                |r: &TimedRecord| matches!(r.record, Record::Host { .. } | Record::Service { .. });
            if let Some(record) = self.block.find(|r| !named(r)) {
                return Ok(Some(record));
            }
            match self.trace.next_part().map_err(self::in_file(&self.file))? {
                Some(Part::Block { records, .. }) => self.block = records.into_iter(),
                Some(Part::Damaged { .. }) => {}
                None => return Ok(None),
            }
        }
    }
}

fn diff(a: &Path, b: &Path) -> Result<ExitCode, String> {
    let records = |file: &Path| -> Result<Records, String> {
        Ok(Records {
            file: file.to_owned(),
            trace: open(file)?,
            block: Vec::new().into_iter(),
        })
    };
    let (mut a, mut b) = (records(a)?, records(b)?);
    let mut same = 0u64;
    loop {
        match (a.next()?, b.next()?) {
            (None, None) => {
                println!("{same} records, all the same");
                return Ok(ExitCode::SUCCESS);
            }
            (x, y) if x == y => same += 1,
            (x, y) => {
                let shown = |r: Option<TimedRecord>| {
                    r.map_or_else(|| "the end".to_owned(), |r| json!(r).to_string())
                };
                println!("record {same} differs\n  {}\n  {}", shown(x), shown(y));
                return Ok(ExitCode::from(1));
            }
        }
    }
}
