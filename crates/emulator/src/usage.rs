//! Resource usage of a process, read from `/proc`.

use std::io;

/// Clock ticks a second in `/proc`; 100 on all common Linux platforms (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time so far, user and system, s.
    pub cpu_s: f64,
    /// Resident memory, KiB.
    pub resident_kib: u64,
}

/// Proportional memory and descriptors of a process, which take longer to read than [`process_usage`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessResources {
    /// Proportional memory, KiB: shared pages are divided among the processes that share them.
    pub proportional_kib: u64,
    /// Number of open descriptors.
    pub descriptors: u32,
}

/// Processor time of a process so far and its resident memory.
///
/// # Errors
///
/// The process has ended, or `/proc` cannot be read.
pub fn process_usage(pid: u32) -> io::Result<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    Ok(ProcessUsage {
        cpu_s: (ticks(11) + ticks(12)) / CLOCK_TICKS_PER_S,
        resident_kib: kib(&status, "VmRSS:"),
    })
}

/// Proportional memory and open descriptors of a process.
///
/// # Errors
///
/// The process has ended, or `/proc` cannot be read.
pub fn process_resources(pid: u32) -> io::Result<ProcessResources> {
    let rollup = std::fs::read_to_string(format!("/proc/{pid}/smaps_rollup"))?;
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"))?.count() as u32;
    Ok(ProcessResources {
        proportional_kib: kib(&rollup, "Pss:"),
        descriptors,
    })
}

fn kib(text: &str, key: &str) -> u64 {
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    line.and_then(|l| l.split_whitespace().next())
        .and_then(|k| k.parse().ok())
        .unwrap_or(0)
}
