//! Estimates the clock offsets of sources from the times at which each first observed the same start of the same host.

use std::collections::BTreeMap;

use maplethread::Event;

use crate::record::Turn;

/// The maximum number of host starts that are compared.
const MAX_OBSERVED_STARTS: usize = 1 << 17;

/// The hosts of an input, by its own numbers: name, zone, cell and kind.
#[derive(Default)]
pub(super) struct InputHosts {
    pub(super) hosts: BTreeMap<u32, [String; 4]>,
}

/// Records the host starts in a turn's events: for each, the time at which the source first observed it.
pub(super) fn record_observed_starts(
    turn: &Turn,
    at: u64,
    source: usize,
    input_hosts: &InputHosts,
    observed_starts: &mut BTreeMap<(String, u64), BTreeMap<usize, u64>>,
) {
    for event in &turn.events {
        let Event::EndpointsUpdated { machines, .. } = event else {
            continue;
        };
        for entry in machines {
            let (Some(started_at), Some(host)) =
                (entry.started_at, input_hosts.hosts.get(&entry.machine.0))
            else {
                continue;
            };
            if observed_starts.len() < MAX_OBSERVED_STARTS {
                let times = observed_starts
                    .entry((host[0].clone(), started_at))
                    .or_default();
                let first_observed = times.entry(source).or_insert(at);
                *first_observed = at.min(*first_observed);
            }
        }
    }
}

/// Returns for each source the offset to add to its times, and the 90th percentile of the residual differences between
/// its observations and the median of all sources; none if it shares no observation with another source.
pub(super) fn estimate_offsets(
    observed_starts: &BTreeMap<(String, u64), BTreeMap<usize, u64>>,
    source_count: usize,
) -> Vec<(i64, Option<u64>)> {
    let median = |mut all: Vec<i64>| -> Option<i64> {
        all.sort_unstable();
        all.get(all.len() / 2).copied()
    };
    let mut differences: Vec<Vec<i64>> = vec![Vec::new(); source_count];
    for times in observed_starts.values().filter(|times| times.len() > 1) {
        let earliest = times.values().min().copied().unwrap_or(0);
        let median_time =
            median(times.values().map(|&t| (t - earliest) as i64).collect()).unwrap_or(0);
        for (&source, &at) in times {
            differences[source].push(median_time - (at - earliest) as i64);
        }
    }
    differences
        .into_iter()
        .map(|all| match median(all.clone()) {
            None => (0, None),
            Some(offset) => {
                let mut residuals: Vec<u64> = all
                    .iter()
                    .map(|difference| difference.abs_diff(offset))
                    .collect();
                residuals.sort_unstable();
                (offset, residuals.get(residuals.len() * 9 / 10).copied())
            }
        })
        .collect()
}
