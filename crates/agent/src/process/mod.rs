//! Task processes, inspected through `/proc`.
//!
//! The process of a task is the leader of its own process group and has a marker in its environment. A process is
//! identified by pid and start time; if the agent was killed before it stored these, the marker identifies the process.

mod signal;
mod spawn;
mod stat;
#[cfg(test)]
mod tests;
mod usage;

use std::collections::BTreeMap;
use std::io;

use crate::agent::ProcessIdentity;

pub use signal::signal_group;
pub use spawn::{StartError, output_path, spawn};
pub use stat::{ProcessStat, is_alive, read_stat};
pub use usage::{ResourceUsage, measure_groups, ticks_per_second};

/// The environment variable that marks task processes.
pub const MARKER_VARIABLE: &str = "MAPLETHREAD_TASK";

/// The value of [`MARKER_VARIABLE`] for the processes of an attempt.
pub fn marker_value(agent: &str, attempt: u64) -> String {
    format!("{agent}:{attempt:016x}")
}

/// The kernel's id of the current boot.
///
/// # Errors
/// If `/proc` cannot be read.
pub fn boot_id() -> io::Result<String> {
    Ok(std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?
        .trim()
        .to_owned())
}

/// The pids of all processes.
fn all_pids() -> impl Iterator<Item = u32> {
    let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok())
}

/// The processes with the marker of this agent, by attempt; process group leaders first.
pub fn find_marked(agent: &str) -> BTreeMap<u64, Vec<ProcessIdentity>> {
    let prefix = format!("{MARKER_VARIABLE}={agent}:");
    let mut found: BTreeMap<u64, Vec<ProcessIdentity>> = BTreeMap::new();
    for pid in all_pids() {
        let Some(attempt) = marked_attempt(pid, &prefix) else {
            continue;
        };
        let Some(stat) = read_stat(pid).filter(|stat| stat.state != 'Z') else {
            continue;
        };
        let identity = ProcessIdentity {
            pid,
            start_ticks: stat.start_ticks,
        };
        let of_attempt = found.entry(attempt).or_default();
        if stat.group_id == pid {
            of_attempt.insert(0, identity);
        } else {
            of_attempt.push(identity);
        }
    }
    found
}

/// The attempt in the marker of a process, if the process has one with this prefix.
fn marked_attempt(pid: u32, prefix: &str) -> Option<u64> {
    let environment = std::fs::read(format!("/proc/{pid}/environ")).ok()?;
    let attempt = environment
        .split(|&byte| byte == 0)
        .filter_map(|variable| std::str::from_utf8(variable).ok())
        .find_map(|variable| variable.strip_prefix(prefix))?;
    u64::from_str_radix(attempt, 16).ok()
}
