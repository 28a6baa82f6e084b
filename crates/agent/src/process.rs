//! Processes: started in groups of their own with a marker in their environment, told apart by pid and start time,
//! found again by the marker, and measured, all by `/proc`.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use maplethread_wire::frame::Offer;
use rustix::process::{Pid, Signal};

use crate::agent::ProcessIdentity;
use crate::config::PreparedProgram;

/// The variable that tells whose a process is.
pub const MARKER_VARIABLE: &str = "MAPLETHREAD_TASK";

/// What marks a task's processes.
pub fn marker_value(agent: &str, attempt: u64) -> String {
    format!("{agent}:{attempt:016x}")
}

/// The kernel's id of this boot.
pub fn boot_id() -> io::Result<String> {
    Ok(std::fs::read_to_string("/proc/sys/kernel/random/boot_id")?
        .trim()
        .to_owned())
}

/// What `/proc/PID/stat` tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStat {
    /// `R`, `S`, `Z` and so on.
    pub state: char,
    /// Its process group.
    pub group_id: u32,
    /// When it started, ticks since boot.
    pub start_ticks: u64,
    /// Processor time that it used, ticks.
    pub cpu_ticks: u64,
    /// Resident pages.
    pub resident_pages: u64,
}

/// Reads a line of `/proc/PID/stat`; a program's name may hold anything, closing brackets too.
fn parse_stat(line: &str) -> Option<ProcessStat> {
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

/// What runs under a pid.
pub fn read_stat(pid: u32) -> Option<ProcessStat> {
    parse_stat(&String::from_utf8_lossy(
        &std::fs::read(format!("/proc/{pid}/stat")).ok()?,
    ))
}

/// Whether this very process still runs.
pub fn is_alive(identity: ProcessIdentity) -> bool {
    read_stat(identity.pid)
        .is_some_and(|s| s.start_ticks == identity.start_ticks && s.state != 'Z' && s.state != 'X')
}

fn all_pids() -> impl Iterator<Item = u32> {
    let entries = std::fs::read_dir("/proc").into_iter().flatten().flatten();
    entries.filter_map(|e| e.file_name().to_str()?.parse().ok())
}

/// The processes that carry this agent's marker, by attempt: those that lead their group first.
pub fn find_marked(agent: &str) -> BTreeMap<u64, Vec<ProcessIdentity>> {
    let mut found: BTreeMap<u64, Vec<ProcessIdentity>> = BTreeMap::new();
    let prefix = format!("{MARKER_VARIABLE}={agent}:");
    for pid in all_pids() {
        let Ok(environ) = std::fs::read(format!("/proc/{pid}/environ")) else {
            continue;
        };
        let mut vars = environ
            .split(|&b| b == 0)
            .filter_map(|var| std::str::from_utf8(var).ok());
        let Some(attempt) = vars.find_map(|var| var.strip_prefix(&prefix)) else {
            continue;
        };
        let (Ok(attempt), Some(stat)) = (u64::from_str_radix(attempt, 16), read_stat(pid)) else {
            continue;
        };
        if stat.state == 'Z' {
            continue;
        }
        let all = found.entry(attempt).or_default();
        let identity = ProcessIdentity {
            pid,
            start_ticks: stat.start_ticks,
        };
        if stat.group_id == pid {
            all.insert(0, identity)
        } else {
            all.push(identity)
        }
    }
    found
}

/// Starts a task's program; its output goes to a file of its own.
pub fn spawn(
    runnable: &PreparedProgram,
    offer: &Offer,
    agent: &str,
    folder: &Path,
) -> io::Result<(Child, ProcessIdentity)> {
    let bad = |e| io::Error::new(io::ErrorKind::InvalidInput, e);
    let program = &runnable.program;
    let output = OpenOptions::new()
        .create(true)
        .append(true)
        .open(output_path(folder, offer.attempt_id))?;
    let mut command = Command::new(&program.path);
    command
        .args(runnable.render_args(offer).map_err(bad)?)
        .env_clear()
        .envs(
            program
                .env
                .iter()
                .filter_map(|name| Some((name, std::env::var_os(name)?))),
        )
        .envs(&program.set)
        .env(MARKER_VARIABLE, marker_value(agent, offer.attempt_id))
        .current_dir(program.folder.as_deref().unwrap_or(folder))
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .process_group(0);
    let child = command.spawn()?;
    let pid = child.id();
    // It is not reaped before it is waited for, so its pid is its own until then.
    let born = read_stat(pid).map_or(0, |s| s.start_ticks);
    Ok((
        child,
        ProcessIdentity {
            pid,
            start_ticks: born,
        },
    ))
}

/// Where a task's output goes.
pub fn output_path(folder: &Path, attempt: u64) -> std::path::PathBuf {
    folder.join(format!("{attempt:016x}.log"))
}

/// Asks a task's processes to end, or makes them. Nothing is sent to a pid that is another's by now, unless it
/// becomes so in the instant after the look.
pub fn signal_group(identity: ProcessIdentity, force: bool) {
    let (signal, pid) = (
        if force { Signal::KILL } else { Signal::TERM },
        Pid::from_raw(identity.pid as i32),
    );
    // A leader that has ended and is not reaped still holds its pid, and others of its group may live.
    if let Some(pid) = pid
        && read_stat(identity.pid).is_some_and(|s| s.start_ticks == identity.start_ticks)
    {
        let _ = rustix::process::kill_process_group(pid, signal);
    }
}

/// What the processes of a group use: ticks of processor time so far, and resident octets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time, ticks.
    pub cpu_ticks: u64,
    /// Resident memory, octets.
    pub resident_bytes: u64,
}

/// The use of all process groups, in one pass over `/proc`.
pub fn measure_groups() -> BTreeMap<u32, ResourceUsage> {
    let page = rustix::param::page_size() as u64;
    let mut groups: BTreeMap<u32, ResourceUsage> = BTreeMap::new();
    for stat in all_pids().filter_map(read_stat) {
        let group = groups.entry(stat.group_id).or_default();
        group.cpu_ticks += stat.cpu_ticks;
        group.resident_bytes += stat.resident_pages * page;
    }
    groups
}

/// Ticks of processor time a second.
pub fn ticks_per_second() -> u64 {
    rustix::param::clock_ticks_per_second()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_stat_line_when_program_name_contains_parentheses() {
        let line = "12 (a) b) 3) S 1 77 0 0 -1 0 0 0 0 0 30 12 0 0 20 0 1 0 4242 9000 55 0";
        let stat = parse_stat(line).expect("a line");
        assert_eq!(
            stat,
            ProcessStat {
                state: 'S',
                group_id: 77,
                start_ticks: 4242,
                cpu_ticks: 42,
                resident_pages: 55
            }
        );
        assert_eq!(parse_stat("12 (cut) S 1"), None);
        assert_eq!(parse_stat(""), None);
    }

    #[test]
    fn is_alive_only_for_matching_start_time() {
        let pid = std::process::id();
        let start_ticks = read_stat(pid).expect("this process").start_ticks;
        assert!(is_alive(ProcessIdentity { pid, start_ticks }));
        assert!(!is_alive(ProcessIdentity {
            pid,
            start_ticks: start_ticks + 1
        }));
    }
}
