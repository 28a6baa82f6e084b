//! Parsing of `/proc/PID/stat`.

use crate::agent::ProcessIdentity;

/// Fields of `/proc/PID/stat`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStat {
    /// The state: `R`, `S`, `Z` and so on.
    pub state: char,
    /// The process group id.
    pub group_id: u32,
    /// The start time, ticks since boot.
    pub start_ticks: u64,
    /// User and system CPU time, ticks.
    pub cpu_ticks: u64,
    /// Resident memory, pages.
    pub resident_pages: u64,
}

/// Parses a line of `/proc/PID/stat`. The program name may contain any characters, including closing parentheses.
pub(super) fn parse_stat(line: &str) -> Option<ProcessStat> {
    let (_, rest) = line.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_ascii_whitespace().collect();
    // proc(5) numbers fields from 1; field 3, the state, is the first one after the program name.
    let number = |n: usize| fields.get(n - 3)?.parse::<u64>().ok();
    Some(ProcessStat {
        state: fields.first()?.chars().next()?,
        group_id: u32::try_from(number(5)?).ok()?,
        start_ticks: number(22)?,
        cpu_ticks: number(14)? + number(15)?,
        resident_pages: number(24)?,
    })
}

/// Reads the fields of the process that currently has this pid.
pub fn read_stat(pid: u32) -> Option<ProcessStat> {
    parse_stat(&String::from_utf8_lossy(
        &std::fs::read(format!("/proc/{pid}/stat")).ok()?,
    ))
}

/// Whether the process is still running, and its pid has not been reused.
pub fn is_alive(identity: ProcessIdentity) -> bool {
    read_stat(identity.pid).is_some_and(|stat| {
        stat.start_ticks == identity.start_ticks && stat.state != 'Z' && stat.state != 'X'
    })
}
