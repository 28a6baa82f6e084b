//! What the processes of tasks use.

use std::collections::BTreeMap;

use super::{all_pids, read_stat};

/// What the processes of one group use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time so far, ticks.
    pub cpu_ticks: u64,
    /// Resident memory, bytes.
    pub resident_bytes: u64,
}

/// What each process group uses, in one pass over `/proc`.
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

/// Ticks of processor time in a second.
pub fn ticks_per_second() -> u64 {
    rustix::param::clock_ticks_per_second()
}
