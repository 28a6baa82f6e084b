//! `maplethread membership-test`: injects faults between real placers, and checks their membership and the five rules.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use maplethread_config::Document;
use maplethread_fault_injection::run::{self, FaultInjectionRun};
use maplethread_fault_injection::schedule::Schedule;

use crate::error::{CommandError, ErrorContext};
use crate::interrupt::interrupt_flag;

#[derive(Args)]
pub struct MembershipTestArgs {
    /// A schedule of faults; by default one is drawn from the seed
    #[arg(long, value_name = "FILE")]
    schedule: Option<PathBuf>,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of tests, with the seeds from --seed on
    #[arg(long = "drills", default_value_t = 1, value_name = "N")]
    tests: u64,
    /// Number of placers in a drawn schedule
    #[arg(
        long,
        default_value_t = 8,
        value_name = "N",
        conflicts_with = "schedule"
    )]
    placers: usize,
    /// Length of a drawn schedule's faults, s
    #[arg(
        long,
        default_value_t = 20.0,
        value_name = "S",
        conflicts_with = "schedule"
    )]
    seconds: f64,
    /// Write the schedule to this file
    #[arg(long, value_name = "FILE")]
    write_schedule: Option<PathBuf>,
    /// Run without membership, to compare the placing; membership is not checked then
    #[arg(long)]
    without_view: bool,
    /// Print one JSON object per test
    #[arg(long)]
    json: bool,
    /// Keep the placers' settings and debug logs in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

pub fn run(args: &MembershipTestArgs) -> Result<ExitCode, CommandError> {
    if !(1..=64).contains(&args.placers) || !(5.0..=3600.0).contains(&args.seconds) {
        return Err(CommandError::invalid_option(
            "--placers: 1 to 64; --seconds: 5 to 3600",
        ));
    }
    let mut passed_all = true;
    let interrupted = interrupt_flag()?;
    for seed in args.seed..args.seed.saturating_add(args.tests.max(1)) {
        let schedule = match &args.schedule {
            None => Schedule::random(seed, args.placers, args.seconds),
            Some(file) => {
                let name = file.display().to_string();
                let text = std::fs::read_to_string(file).in_file(file)?;
                Schedule::parse(Document {
                    file: &name,
                    text: &text,
                })
                .in_library()?
            }
        };
        if let Some(file) = &args.write_schedule {
            let text = toml::to_string(&schedule).in_library()?;
            std::fs::write(file, text).in_file(file)?;
        }
        let test = FaultInjectionRun {
            schedule,
            seed,
            program: std::env::current_exe().in_step("path of this program")?,
            kept_folder: args.keep.clone(),
            shows_progress: !args.json,
            without_membership: args.without_view,
            interrupted: interrupted.clone(),
        };
        let outcome = run::run(&test).in_step(format!("membership test {seed}"))?;
        passed_all &= if args.without_view {
            outcome.service.has_passed()
        } else {
            outcome.passed()
        };
        let mut json = outcome.to_json();
        json["seed"] = seed.into();
        if args.json {
            println!("{json}");
            continue;
        }
        let kinds: Vec<String> = test
            .schedule
            .faults
            .iter()
            .map(|f| format!("{:?} at {} s", f.kind, f.at_s))
            .collect();
        println!(
            "drill {seed}: {} placers, {} faults\n  {}",
            test.schedule.placers,
            kinds.len(),
            kinds.join("\n  ")
        );
        let fleet = &outcome.membership;
        match fleet.settled_s {
            Some(s) => println!(
                "membership converged {s:.1} s after the last fault, with {} members",
                fleet.members
            ),
            None => println!(
                "MEMBERSHIP DID NOT CONVERGE:\n  {}",
                fleet.violations.join("\n  ")
            ),
        }
        let worst = fleet.removal_times_s.iter().copied().fold(0.0, f64::max);
        println!(
            "{} placers left or failed, the slowest recorded by all others after {worst:.1} s",
            fleet.removal_times_s.len()
        );
        println!(
            "false alarms: {} without a network fault, {} during one",
            fleet.false_alarms, fleet.false_alarms_under_faults
        );
        print!("{}", outcome.service.text());
    }
    Ok(if passed_all {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
