//! `maplethread load`: one placer under an open-loop load of requests.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use maplethread_emulator::load_test::{self, LoadOptions, LoadResult};

use crate::error::{CommandError, ErrorContext};
use crate::fault_run;

/// Arguments of `load`.
#[derive(Args)]
pub struct LoadArgs {
    /// Requests per second
    #[arg(long, default_value_t = 370.0, value_name = "N")]
    rate: f64,
    /// Duration, s
    #[arg(long, default_value_t = 10.0, value_name = "N")]
    seconds: f64,
    /// Number of emulated hosts
    #[arg(long, default_value_t = 130, value_name = "N")]
    hosts: usize,
    /// Number of client connections, each with pipelined requests
    #[arg(long, default_value_t = 64, value_name = "N")]
    connections: usize,
    /// Tasks end after this time, ms; 0 for never
    #[arg(long, default_value_t = 5000, value_name = "MS")]
    life_ms: u64,
    /// Read the hosts from a catalogue whose entries change N times per second in the second half of the run
    #[arg(long, value_name = "N")]
    storm: Option<f64>,
    /// Search for the highest sustained rate (p99 from due time to answer below 50 ms), starting from --rate
    #[arg(long)]
    max: bool,
    /// Write the placer's trace files to this folder
    #[arg(long, value_name = "FOLDER")]
    trace: Option<PathBuf>,
    /// Print one JSON object per run
    #[arg(long)]
    json: bool,
}

/// Measures a placer under load.
///
/// # Errors
///
/// Returns an error if an option is out of range or the load could not be run.
pub fn run(args: &LoadArgs) -> Result<ExitCode, CommandError> {
    if !(args.rate > 0.0 && args.seconds > 0.0 && args.hosts > 0) {
        return Err(CommandError::invalid_option(
            "--rate, --seconds and --hosts: above 0",
        ));
    }
    let program = std::env::current_exe().in_step("own program")?;
    let trace = fault_run::absolute_folder(&args.trace)?;
    let measure = |rate: f64| {
        let options = LoadOptions {
            program: program.clone(),
            requests_per_s: rate,
            duration_s: args.seconds,
            host_count: args.hosts,
            connection_count: args.connections,
            task_duration_ms: args.life_ms,
            seed: 1,
            health_changes_per_s: args.storm,
            trace_folder: trace.clone(),
        };
        let measured = load_test::run(&options).in_step("load")?;
        if args.json {
            println!("{}", measured.json());
        } else {
            println!("{}", measured.text());
        }
        Ok::<_, CommandError>(measured)
    };
    let first = measure(args.rate)?;
    if args.max {
        let sustained = |m: &LoadResult| m.answer_times_us[1] < 50_000 && m.placed == m.requests;
        let (mut low, mut high) = (0.0, args.rate);
        let mut last = first;
        while sustained(&last) {
            (low, high) = (high, high * 1.5);
            last = measure(high)?;
        }
        for _ in 0..4 {
            let middle = (low + high) / 2.0;
            if sustained(&measure(middle)?) {
                low = middle
            } else {
                high = middle
            }
        }
        println!("highest sustained rate: {low:.0} requests per second");
    }
    Ok(ExitCode::SUCCESS)
}
