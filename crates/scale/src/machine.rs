//! The machine and the program that a sweep is measured on.

use std::process::Command;

use maplethread_capacity::MachineInfo;

/// Describes the machine, from `/proc`.
pub(crate) fn describe_machine() -> MachineInfo {
    let cpus = read_file("/proc/cpuinfo");
    let processor = cpus
        .lines()
        .find_map(|l| l.strip_prefix("model name"))
        .unwrap_or(": unknown");
    MachineInfo {
        processor: processor.trim_start_matches([' ', '\t', ':']).to_owned(),
        cores: std::thread::available_parallelism().map_or(1, |n| n.get() as u32),
        memory_mib: memory_kib("MemTotal:") / 1024,
        kernel: read_file("/proc/sys/kernel/osrelease").trim().to_owned(),
    }
}

/// The value of a line of `/proc/meminfo`, KiB; 0 if it can't be read.
pub(crate) fn memory_kib(key: &str) -> u64 {
    let text = read_file("/proc/meminfo");
    let line = text.lines().find_map(|l| l.strip_prefix(key));
    line.and_then(|l| l.split_whitespace().next())
        .and_then(|k| k.parse().ok())
        .unwrap_or(0)
}

/// The commit of the working tree, as `git describe` prints it.
pub(crate) fn current_commit() -> String {
    let output = Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .output();
    match output {
        Ok(output) if output.status.success() => {
            String::from_utf8_lossy(&output.stdout).trim().to_owned()
        }
        _ => "unknown".to_owned(),
    }
}

/// Packets that the loopback interface has received; it receives each packet that it sends.
pub(crate) fn loopback_packets() -> Option<u64> {
    let text = read_file("/proc/net/dev");
    let line = text
        .lines()
        .find_map(|l| l.trim_start().strip_prefix("lo:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn read_file(path: &str) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}
