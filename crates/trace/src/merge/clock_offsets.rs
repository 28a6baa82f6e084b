//! How far the clocks of sources differ, by when each first saw the same start of the same host.

use std::collections::BTreeMap;

use maplethread::Event;

use crate::record::Turn;

/// Starts of hosts that are compared.
const MAX_OBSERVED_STARTS: usize = 1 << 17;
/// What an input names, by its own numbers.
#[derive(Default)]
pub(super) struct InputHosts {
    pub(super) hosts: BTreeMap<u32, [String; 4]>,
}

/// Takes in the starts that a turn tells of: for each, when a source first saw it.
pub(super) fn record_observed_starts(
    turn: &Turn,
    at: u64,
    source: usize,
    named: &InputHosts,
    seen: &mut BTreeMap<(String, u64), BTreeMap<usize, u64>>,
) {
    for event in &turn.events {
        let Event::EndpointsUpdated { machines, .. } = event else {
            continue;
        };
        for listing in machines {
            let (Some(started), Some(host)) =
                (listing.started_at, named.hosts.get(&listing.machine.0))
            else {
                continue;
            };
            if seen.len() < MAX_OBSERVED_STARTS {
                let times = seen.entry((host[0].clone(), started)).or_default();
                let first = times.entry(source).or_insert(at);
                *first = at.min(*first);
            }
        }
    }
}

/// For each source: what to add to its times, and how far what it witnessed then still lies from what others did at
/// the median of nine in ten; none if nobody shared a sight with it.
pub(super) fn estimate_offsets(
    seen: &BTreeMap<(String, u64), BTreeMap<usize, u64>>,
    sources: usize,
) -> Vec<(i64, Option<u64>)> {
    let median = |mut all: Vec<i64>| -> Option<i64> {
        all.sort_unstable();
        all.get(all.len() / 2).copied()
    };
    let mut apart: Vec<Vec<i64>> = vec![Vec::new(); sources];
    for times in seen.values().filter(|times| times.len() > 1) {
        let base = times.values().min().copied().unwrap_or(0);
        let middle = median(times.values().map(|&t| (t - base) as i64).collect()).unwrap_or(0);
        for (&source, &at) in times {
            apart[source].push(middle - (at - base) as i64);
        }
    }
    apart
        .into_iter()
        .map(|all| match median(all.clone()) {
            None => (0, None),
            Some(offset) => {
                let mut left: Vec<u64> = all.iter().map(|d| d.abs_diff(offset)).collect();
                left.sort_unstable();
                (offset, left.get(left.len() * 9 / 10).copied())
            }
        })
        .collect()
}
