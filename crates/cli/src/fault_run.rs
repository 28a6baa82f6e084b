//! `maplethread fault-run`: injects faults into a fleet of real placers, emulated hosts and owners, and checks the five
//! rules.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use maplethread_config::{DampingMode, Document};
use maplethread_emulator::mutant::MutantOutcome;
use maplethread_emulator::recorded_scenario::{self, RecordedScenario};
use maplethread_emulator::report::Report;
use maplethread_emulator::scenario::Scenario;
use maplethread_emulator::scenario_run;

use crate::error::{CommandError, ErrorContext};
use crate::interrupt::interrupt_flag;
use crate::trace;

/// Arguments of `fault-run`.
#[derive(Args)]
pub struct FaultRunArgs {
    /// A scenario file; by default the standard scenario
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Draw demand and faults from the seed
    #[arg(long, conflicts_with = "scenario")]
    drawn: bool,
    /// Leave out faults of this kind, such as `rolling_restart`
    #[arg(long, value_name = "KIND")]
    without: Vec<String>,
    /// Replay the demand and the faults of these trace files, and compare the report with the recording; --scenario sets
    /// the behaviour of hosts and classes
    #[arg(long, value_name = "FILE", num_args = 1.., conflicts_with_all = ["drawn", "seconds", "hosts", "placers"])]
    from_trace: Vec<PathBuf>,
    /// With --from-trace: speed-up factor
    #[arg(long, default_value_t = 1.0, value_name = "X", requires = "from_trace")]
    speed: f64,
    /// Write the scenario to this file
    #[arg(long, value_name = "FILE")]
    write_scenario: Option<PathBuf>,
    /// Length of the run, s; the times of faults are scaled with it
    #[arg(long, value_name = "N")]
    seconds: Option<f64>,
    /// Seed of the random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of placers
    #[arg(long, value_name = "N")]
    placers: Option<u32>,
    /// Number of emulated hosts; services and cells scale with it
    #[arg(long, value_name = "N")]
    hosts: Option<usize>,
    /// Use the random-choice baseline instead of the policy
    #[arg(long)]
    random: bool,
    /// Use a mutant that breaks rule N on purpose (6: rule 1, around pauses only), to test that the checker detects it
    #[arg(long = "rogue", default_value_t = 0, value_name = "N", value_parser = clap::value_parser!(u8).range(0..=6))]
    mutant: u8,
    /// Register hosts and placers in a Consul emulator, and inject its faults as well
    #[arg(long)]
    consul: bool,
    /// With --consul: how recoveries of flapping hosts are suppressed
    #[arg(long, value_enum, default_value_t = DampingArg::Off, requires = "consul")]
    damping: DampingArg,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
    /// Keep the placers' settings and debug logs in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Write the placers' trace files to this folder
    #[arg(long, value_name = "FOLDER")]
    trace: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum DampingArg {
    Penalty,
    Off,
    Hold,
}

/// Runs a fault scenario and prints its report.
///
/// # Errors
///
/// Returns an error if an option or a file is not valid, or if the scenario could not be run.
pub fn run(args: &FaultRunArgs) -> Result<ExitCode, CommandError> {
    let mut scenario = match &args.scenario {
        None if args.drawn => Scenario::random(args.seed),
        None if args.consul => Scenario::standard_with_catalogue(),
        None => Scenario::standard(),
        Some(file) => read_scenario(file)?,
    };
    if let Some(seconds) = args.seconds {
        if !(seconds.is_finite() && seconds >= 1.0) {
            return Err(CommandError::invalid_option("--seconds: at least 1"));
        }
        scenario = scenario.with_duration(seconds);
    }
    scenario.placers = args.placers.unwrap_or(scenario.placers).max(1);
    if let Some(hosts) = args.hosts {
        scenario = scenario.with_host_count(hosts.max(1));
    }
    let recorded = match args.from_trace.as_slice() {
        [] => None,
        files => Some(read_traces(files, &scenario, args)?),
    };
    if let Some(recorded) = &recorded {
        scenario = recorded.scenario.clone();
    }
    for kind in &args.without {
        let fault_kind = serde_json::from_value(kind.as_str().into());
        scenario = scenario.without_fault(fault_kind.in_step(format!("--without {kind}"))?);
    }
    if let Some(file) = &args.write_scenario {
        let text = toml::to_string(&scenario).in_library()?;
        std::fs::write(file, text).in_file(file)?;
    }
    if scenario
        .replica_indexes
        .is_some_and(|slots| slots < scenario.placers)
        && !args.consul
    {
        return Err(CommandError::invalid_option(
            "the scenario has fewer slots than placers: placers then lease their numbers, which needs --consul",
        ));
    }
    let options = scenario_run::RunOptions {
        scenario,
        seed: args.seed,
        program: std::env::current_exe().in_step("path of this program")?,
        use_random_choice: args.random,
        mutant: args.mutant,
        consul: args.consul.then_some(match args.damping {
            DampingArg::Penalty => DampingMode::Penalty,
            DampingArg::Off => DampingMode::Off,
            DampingArg::Hold => DampingMode::Hold,
        }),
        show_progress: !args.json,
        log_folder: args.keep.clone(),
        trace_folder: absolute_folder(&args.trace)?,
        arrivals: recorded.as_ref().map(|r| r.arrivals.clone()),
        membership: None,
        interrupted: interrupt_flag()?,
    };
    let report = scenario_run::run_scenario(&options).in_step("fault run")?;
    if args.json {
        let mut json = report.json();
        if let Some(recorded) = &recorded {
            json["recorded"] = recorded.summary.clone();
        }
        println!("{json}");
    } else {
        if let Some(recorded) = &recorded {
            print!(
                "{}",
                compare_with_recording(&recorded.summary, &report.json())
            );
        }
        print!("{}", report.text());
    }
    Ok(exit_code(&report))
}

/// The exit status of a run with a mutant that had no opportunity to break its rule.
const EXIT_NO_OPPORTUNITY: u8 = 3;
/// The exit status of a run with a mutant that broke its rule undetected.
const EXIT_MISSED: u8 = 4;

/// A run with a mutant never succeeds: either the checker detected the broken rule, or the run does not show that it can.
fn exit_code(report: &Report) -> ExitCode {
    let Some(mutant) = report.mutant else {
        return if report.has_passed() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        };
    };
    match mutant.outcome() {
        MutantOutcome::Detected => ExitCode::FAILURE,
        MutantOutcome::NoOpportunity => exit_not_detected(&mutant.text(), EXIT_NO_OPPORTUNITY),
        MutantOutcome::Missed => exit_not_detected(&mutant.text(), EXIT_MISSED),
    }
}

fn exit_not_detected(message: &str, status: u8) -> ExitCode {
    eprintln!("maplethread: {message}");
    ExitCode::from(status)
}

fn read_traces(
    files: &[PathBuf],
    base: &Scenario,
    args: &FaultRunArgs,
) -> Result<RecordedScenario, CommandError> {
    if !(args.speed.is_finite() && (0.01..=1000.0).contains(&args.speed)) {
        return Err(CommandError::invalid_option("--speed: 0.01 to 1000"));
    }
    let mut traces = files
        .iter()
        .map(|f| trace::open(f))
        .collect::<Result<Vec<_>, _>>()?;
    recorded_scenario::read(&mut traces, base, args.speed, args.seed).in_step("--from-trace")
}

/// Compares the answers of the recording with those of the run, as text.
fn compare_with_recording(recorded: &serde_json::Value, replayed: &serde_json::Value) -> String {
    let over_all_classes = |outcome: &str| -> u64 {
        let classes = recorded["classes"].as_object().into_iter().flatten();
        classes
            .filter_map(|(_, c)| c["outcomes"][outcome].as_u64())
            .sum()
    };
    let mut text =
        String::from("outcomes of requests, including repeated ones: recorded, replayed\n");
    for outcome in ["placed", "refused", "failed"] {
        text += &format!(
            "  {outcome}: {}, {}\n",
            over_all_classes(outcome),
            replayed[outcome]
        );
    }
    let (recorded_ms, replayed_ms) = (&recorded["ask_to_placed_ms"], &replayed["place_ms"]);
    text += &format!(
        "  request to placement, p50 and p99 in ms (at the placer, at the owner): {} {}, {:.1} {:.1}\n",
        recorded_ms["p50"],
        recorded_ms["p99"],
        replayed_ms["p50"].as_f64().unwrap_or(0.0),
        replayed_ms["p99"].as_f64().unwrap_or(0.0)
    );
    text
}

/// Reads a scenario file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is not valid.
pub fn read_scenario(file: &Path) -> Result<Scenario, CommandError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).in_file(file)?;
    Scenario::parse(Document {
        file: &name,
        text: &text,
    })
    .in_library()
}

/// The absolute path of the trace folder, for placers with another working folder.
///
/// # Errors
///
/// Returns an error if the working folder can't be determined.
pub fn absolute_folder(folder: &Option<PathBuf>) -> Result<Option<PathBuf>, CommandError> {
    folder
        .as_ref()
        .map(std::path::absolute)
        .transpose()
        .in_step("--trace")
}
