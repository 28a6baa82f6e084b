//! The state of a process in `/proc/PID/stat`.

use crate::agent::ProcessIdentity;

/// Fields of `/proc/PID/stat`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStat {
    /// `R`, `S`, `Z` and so on.
    pub state: char,
    /// Its process group.
    pub group_id: u32,
    /// When it started, ticks since boot.
    pub start_ticks: u64,
    /// Processor time that it has used, ticks.
    pub cpu_ticks: u64,
    /// Resident memory, pages.
    pub resident_pages: u64,
}

/// Parses a line of `/proc/PID/stat`. The name of the program may hold anything, closing parentheses too.
pub(super) fn parse_stat(line: &str) -> Option<ProcessStat> {
    let (_, rest) = line.rsplit_once(')')?;
    let fields: Vec<&str> = rest.split_ascii_whitespace().collect();
    // Fields are numbered from 1 in proc(5), and the state is the third.
    let number = |n: usize| fields.get(n - 3)?.parse::<u64>().ok();
    Some(ProcessStat {
        state: fields.first()?.chars().next()?,
        group_id: u32::try_from(number(5)?).ok()?,
        start_ticks: number(22)?,
        cpu_ticks: number(14)? + number(15)?,
        resident_pages: number(24)?,
    })
}

/// The state of the process that has this pid now.
pub fn read_stat(pid: u32) -> Option<ProcessStat> {
    parse_stat(&String::from_utf8_lossy(
        &std::fs::read(format!("/proc/{pid}/stat")).ok()?,
    ))
}

/// Whether this very process still runs.
pub fn is_alive(identity: ProcessIdentity) -> bool {
    read_stat(identity.pid).is_some_and(|stat| {
        stat.start_ticks == identity.start_ticks && stat.state != 'Z' && stat.state != 'X'
    })
}
