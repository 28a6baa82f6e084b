//! `maplethread worker`: a small real task. It uses the given cores and memory, ends as its options say, and writes its
//! start and end to a log that nobody else writes, so that what really ran can be counted.

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
    /// Memory to hold, MiB
    #[arg(long, default_value_t = 0, value_name = "N")]
    memory_mib: usize,
    /// Ends well after so many ms; 0 for never
    #[arg(long, default_value_t = 0, value_name = "MS")]
    life_ms: u64,
    /// Ends with this code
    #[arg(long, default_value_t = 0)]
    exit_code: u8,
    /// Takes no notice of SIGTERM
    #[arg(long)]
    ignore_term: bool,
    /// Whose work it is, for the log
    #[arg(long, default_value = "")]
    task: String,
    /// Appends its life to this file
    #[arg(long, value_name = "FILE")]
    life_log: Option<PathBuf>,
}

/// One line, in one write, so that lines of several workers do not mix.
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
    // Touched, so that it is resident.
    let mut held = vec![0u8; args.memory_mib << 20];
    held.iter_mut().step_by(4096).for_each(|octet| *octet = 1);
    let from = Instant::now();
    let life = (args.life_ms > 0).then(|| Duration::from_millis(args.life_ms));
    let over = move || life.is_some_and(|life| from.elapsed() >= life);
    let mut left = args.cores;
    let mut threads = Vec::new();
    while left > 0.0 {
        let share = left.min(1.0);
        left -= share;
        threads.push(std::thread::spawn(move || {
            let slice = Duration::from_millis(20);
            while !over() {
                let busy = Instant::now();
                while busy.elapsed() < slice.mul_f64(share) {
                    std::hint::spin_loop();
                }
                std::thread::sleep(slice.mul_f64(1.0 - share));
            }
        }));
    }
    match life {
        Some(life) => std::thread::sleep(life),
        None => loop {
            std::thread::sleep(Duration::from_secs(3600));
        },
    }
    for thread in threads {
        let _ = thread.join();
    }
    std::hint::black_box(&held);
    append_to_log(args, "end")?;
    Ok(ExitCode::from(args.exit_code))
}
