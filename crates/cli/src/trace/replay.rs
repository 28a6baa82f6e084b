//! `trace replay`: feeds the recorded turns to a new instance of the policy module, and compares its actions with the
//! recorded ones.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use maplethread_trace::replay::Replay;
use maplethread_trace::{ActionList, FilePart, Record, policy_hash};

use super::files::{for_each_part, open};
use crate::error::{CommandError, ErrorContext};

pub fn replay(
    files: &[PathBuf],
    build_differs: bool,
    settings: Option<&Path>,
) -> Result<ExitCode, CommandError> {
    let first = files
        .first()
        .ok_or_else(|| CommandError::invalid_option("no trace file given"))?;
    let header = open(first)?.header;
    if header.policy_hash != policy_hash() {
        let warning = "the trace was made with another version of the policy module: the hashes of the source differ";
        if !build_differs {
            let problem = format!("{warning}; --build-differs replays it nevertheless");
            return Err(CommandError::file(first, problem));
        }
        eprintln!("{}: {warning}", first.display());
    }
    let what_if = match settings {
        None => None,
        Some(file) => Some(
            maplethread_placer::load_config(file)
                .in_library()?
                .policy_settings(),
        ),
    };
    if let Some(file) = settings {
        println!(
            "WHAT IF: settings of {} in place of the recorded ones",
            file.display()
        );
    }
    let mut replay = Replay::with_settings(&header, what_if).in_file(first)?;
    let mut names: BTreeMap<u32, String> = BTreeMap::new();
    let started = std::time::Instant::now();
    let (mut from, mut until) = (u64::MAX, 0);
    for (n, file) in files.iter().enumerate() {
        let mut trace = open(file)?;
        let run = (
            &trace.header.placer,
            trace.header.started_ms,
            trace.header.part as usize,
        );
        if run != (&header.placer, header.started_ms, n) {
            let problem = format!("got part {}, expected part {n} of the same run", run.2);
            return Err(CommandError::file(file, problem));
        }
        for_each_part(file, &mut trace, |part| {
            match part {
                FilePart::Block { info, records, .. } => {
                    (from, until) = (from.min(info.first_us), until.max(info.last_us));
                    for record in &records {
                        if let Record::Host { machine, name, .. } = &record.record {
                            names.insert(*machine, name.clone());
                        }
                        replay.feed(record);
                    }
                }
                FilePart::Damaged { .. } => replay.mark_gap(),
            }
            Ok(())
        })?;
    }
    let result = &replay.result;
    let (span, took) = (
        until.saturating_sub(from) as f64 / 1e6,
        started.elapsed().as_secs_f64(),
    );
    println!(
        "{} turns, {} actions compared, {} turns differ, {} turns after a gap not compared; {span:.1} s in {took:.2} s",
        result.turns, result.compared_actions, result.differing_turns, result.turns_after_gap
    );
    if build_differs || settings.is_some() {
        println!("on the recorded events: recorded, replayed");
        for (kind, [recorded, replayed]) in &result.actions_by_kind {
            println!("  {kind}: {recorded}, {replayed}");
        }
        println!(
            "{:.1}% of the offers would go to other hosts; the largest changes:",
            100.0 * result.moved_offer_share()
        );
        let mut hosts: Vec<(u32, [u64; 2])> = result
            .offers_by_host
            .iter()
            .map(|(&n, &counts)| (n, counts))
            .collect();
        hosts.sort_by_key(|&(n, [a, b])| (std::cmp::Reverse(a.abs_diff(b)), n));
        for (n, [recorded, replayed]) in hosts.into_iter().take(5).filter(|(_, [a, b])| a != b) {
            let name = names.get(&n).cloned().unwrap_or_else(|| format!("#{n}"));
            println!("  offers to {name}: {recorded}, {replayed}");
        }
    }
    if let Some(first) = &result.first_difference {
        println!(
            "first difference: turn {} at {} us",
            first.turn_index, first.time_us
        );
        println!("  recorded: {}", ActionList(&first.recorded));
        println!("  replayed: {}", ActionList(&first.replayed));
    }
    Ok(if result.differing_turns == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    })
}
