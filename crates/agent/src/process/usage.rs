//! Resource usage of task processes.

use std::collections::BTreeMap;

use super::{all_pids, read_stat};

/// The resource usage of the processes of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// CPU time used so far, ticks.
    pub cpu_ticks: u64,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
}

/// Measures the resource usage of each process group, in one pass over `/proc`.
pub fn measure_groups() -> BTreeMap<u32, ResourceUsage> {
    let page_bytes = rustix::param::page_size() as u64;
    let mut groups: BTreeMap<u32, ResourceUsage> = BTreeMap::new();
    for stat in all_pids().filter_map(read_stat) {
        let group = groups.entry(stat.group_id).or_default();
        group.cpu_ticks += stat.cpu_ticks;
        group.resident_bytes += stat.resident_pages * page_bytes;
    }
    groups
}

/// The number of clock ticks per second.
pub fn ticks_per_second() -> u64 {
    rustix::param::clock_ticks_per_second()
}
