//! `maplethread worker`: a synthetic task. It uses the given cores and memory, exits as its options say, and appends its
//! start and end to a log that only workers write, so that the tasks that actually ran can be counted.

use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Args;
use serde_json::json;

use crate::error::{CommandError, ErrorContext};

#[derive(Args)]
pub struct WorkerArgs {
    /// Cores to keep busy
    #[arg(long, default_value_t = 0.0, value_name = "X")]
    cores: f64,
    /// Memory to allocate, MiB
    #[arg(long, default_value_t = 0, value_name = "N")]
    memory_mib: usize,
    /// Exit after this time, ms; 0 for never
    #[arg(long, default_value_t = 0, value_name = "MS")]
    life_ms: u64,
    /// Exit code
    #[arg(long, default_value_t = 0)]
    exit_code: u8,
    /// Ignore SIGTERM
    #[arg(long)]
    ignore_term: bool,
    /// Name of the task, for the log
    #[arg(long, default_value = "")]
    task: String,
    /// Append the start and the end to this file
    #[arg(long, value_name = "FILE")]
    life_log: Option<PathBuf>,
}

/// Appends one line in a single write, so that lines of several workers do not interleave.
fn append_to_log(args: &WorkerArgs, event: &str) -> Result<(), CommandError> {
    let Some(file) = &args.life_log else {
        return Ok(());
    };
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64);
    let line = json!({"at": at, "event": event, "task": args.task, "pid": std::process::id()});
    let written = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .and_then(|mut f| f.write_all(format!("{line}\n").as_bytes()));
    written.in_file(file)
}

pub fn run(args: &WorkerArgs) -> Result<ExitCode, CommandError> {
    if !(args.cores.is_finite() && (0.0..=256.0).contains(&args.cores)) {
        return Err(CommandError::invalid_option("--cores: 0 to 256"));
    }
    let ignored = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    if args.ignore_term {
        signal_hook::flag::register(signal_hook::consts::SIGTERM, ignored).in_library()?;
    }
    append_to_log(args, "start")?;
    // Writes to every page, so that the memory is resident.
    let mut memory = vec![0u8; args.memory_mib << 20];
    memory.iter_mut().step_by(4096).for_each(|byte| *byte = 1);
    let started = Instant::now();
    let lifetime = (args.life_ms > 0).then(|| Duration::from_millis(args.life_ms));
    let has_expired = move || lifetime.is_some_and(|lifetime| started.elapsed() >= lifetime);
    let mut remaining_cores = args.cores;
    let mut threads = Vec::new();
    while remaining_cores > 0.0 {
        let share = remaining_cores.min(1.0);
        remaining_cores -= share;
        threads.push(std::thread::spawn(move || {
            let slice = Duration::from_millis(20);
            while !has_expired() {
                let busy = Instant::now();
                while busy.elapsed() < slice.mul_f64(share) {
                    std::hint::spin_loop();
                }
                std::thread::sleep(slice.mul_f64(1.0 - share));
            }
        }));
    }
    match lifetime {
        Some(lifetime) => std::thread::sleep(lifetime),
        None => loop {
            std::thread::sleep(Duration::from_secs(3600));
        },
    }
    for thread in threads {
        let _ = thread.join();
    }
    std::hint::black_box(&memory);
    append_to_log(args, "end")?;
    Ok(ExitCode::from(args.exit_code))
}
