//! Checks a run: compares the views that placers reported with the recorded states of their processes. It shares no
//! state with the processes.

use std::collections::{BTreeMap, BTreeSet};

use maplethread_emulator::run_options::{PlacerFault, RunEvent};
use serde_json::{Value, json};

use crate::observers::{Observations, Sample};

#[cfg(test)]
mod tests;

/// The state of a placer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    Paused,
    Stopped,
}

/// The state changes of the placers' processes, by placer number, in order of time.
#[derive(Clone, Debug, Default)]
pub struct ProcessHistory {
    by_placer: BTreeMap<usize, Vec<(u64, ProcessState)>>,
}

impl ProcessHistory {
    /// Derives the state changes from the events of a run.
    pub fn from_events(events: &[RunEvent]) -> ProcessHistory {
        let mut process_history = ProcessHistory::default();
        for event in events {
            let (at, placer, state) = match *event {
                RunEvent::PlacerServing(at, placer, _) => (at, placer, ProcessState::Running),
                RunEvent::FaultInjected(
                    at,
                    PlacerFault::Kill(p)
                    | PlacerFault::Terminate(p)
                    | PlacerFault::KillIfRunning(p),
                ) => (at, p, ProcessState::Stopped),
                RunEvent::FaultInjected(at, PlacerFault::Pause(p)) => (at, p, ProcessState::Paused),
                RunEvent::FaultInjected(at, PlacerFault::Resume(p)) => {
                    (at, p, ProcessState::Running)
                }
                RunEvent::FaultInjected(..) | RunEvent::Started(_) => continue,
            };
            process_history
                .by_placer
                .entry(placer)
                .or_default()
                .push((at, state));
        }
        process_history
    }

    fn state_at(&self, placer: usize, at: u64) -> ProcessState {
        let last_change = self
            .by_placer
            .get(&placer)
            .into_iter()
            .flatten()
            .rev()
            .find(|s| s.0 <= at);
        last_change.map_or(ProcessState::Stopped, |s| s.1)
    }

    /// Placers that run and are not paused at a time.
    fn running_at(&self, at: u64) -> Vec<usize> {
        self.by_placer
            .keys()
            .copied()
            .filter(|&p| self.state_at(p, at) == ProcessState::Running)
            .collect()
    }

    /// Whether a placer ran without a pause throughout a time span.
    fn ran_throughout(&self, placer: usize, from: u64, to: u64) -> bool {
        let changes = self.by_placer.get(&placer).into_iter().flatten();
        self.state_at(placer, from) == ProcessState::Running
            && !changes.clone().any(|s| (from..=to).contains(&s.0))
    }
}

/// The result of the check of a run.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Descriptions of the violations; empty if there are none.
    pub violations: Vec<String>,
    /// Time from the end of the faults until all live members had the same view, s; `None` if there are violations.
    pub settled_s: Option<f64>,
    /// Number of times that a running member was declared down by another's own probe while the network had no fault.
    pub false_alarms: usize,
    /// The same while the network had a fault.
    pub false_alarms_under_faults: usize,
    /// Time from a kill until the placer was live in no view any more, s, for each placer that stayed down longer.
    pub removal_times_s: Vec<f64>,
    /// Number of running members at the end.
    pub members: usize,
    /// Number of views read.
    pub samples: usize,
}

/// The name of the placer with a number.
pub fn placer_name(number: usize) -> String {
    format!("placer-{number}")
}

/// Checks a run. `faults` are the time spans in which the network had a fault. All faults were over at
/// `faults_ended_at`, and the run ended at `end`; times are Unix time, µs.
pub fn check(
    process_history: &ProcessHistory,
    observations: &Observations,
    faults: &[(u64, u64)],
    faults_ended_at: u64,
    end: u64,
) -> CheckResult {
    let mut failures = Vec::new();
    let running = process_history.running_at(end);
    let names: BTreeSet<String> = running.iter().map(|&p| placer_name(p)).collect();
    // A placer is settled from its first sample after which its view equals the final view of the first placer.
    let last_sample = |p: &usize| observations.samples.get(p).and_then(|s| s.last());
    let final_samples: Vec<Option<&Sample>> = running.iter().map(last_sample).collect();
    let digest = final_samples
        .first()
        .copied()
        .flatten()
        .map(|s| s.digest.clone());
    let mut settled_at = faults_ended_at;
    for (&placer, sample) in running.iter().zip(&final_samples) {
        let Some(sample) = sample else {
            failures.push(format!("{} reported no view", placer_name(placer)));
            continue;
        };
        let live: BTreeSet<String> = sample.live.iter().cloned().collect();
        let unexpected: Vec<&String> = live.difference(&names).collect();
        let missing: Vec<&String> = names.difference(&live).collect();
        if !unexpected.is_empty() {
            failures.push(format!(
                "{} still lists {unexpected:?} as live",
                placer_name(placer)
            ));
        }
        if !missing.is_empty() {
            failures.push(format!(
                "{} does not list {missing:?} as live",
                placer_name(placer)
            ));
        }
        if Some(&sample.digest) != digest.as_ref() {
            failures.push(format!(
                "the view of {} differs from the view of {}",
                placer_name(placer),
                placer_name(running[0])
            ));
        }
        let samples = &observations.samples[&placer];
        let last_unsettled = samples
            .iter()
            .rev()
            .find(|s| Some(&s.digest) != digest.as_ref());
        let first_settled = samples
            .iter()
            .find(|s| last_unsettled.is_none_or(|u| s.at > u.at));
        settled_at = settled_at.max(first_settled.map_or(end, |s| s.at));
    }
    let settled_s = failures
        .is_empty()
        .then(|| settled_at.saturating_sub(faults_ended_at) as f64 / 1e6);
    let (false_alarms, alarms_under_faults) =
        count_false_alarms(process_history, observations, faults);
    CheckResult {
        violations: failures,
        settled_s,
        false_alarms,
        false_alarms_under_faults: alarms_under_faults,
        removal_times_s: removal_times(process_history, observations, end),
        members: running.len(),
        samples: observations.samples.values().map(Vec::len).sum(),
    }
}

/// Counts how often a running member was declared down by another's own probe: without and with a network fault.
fn count_false_alarms(
    process_history: &ProcessHistory,
    observations: &Observations,
    faults: &[(u64, u64)],
) -> (usize, usize) {
    /// Time span before a change whose faults can have caused it.
    const LOOKBACK_US: u64 = 5_000_000;
    let (mut without_faults, mut under_faults) = (0, 0);
    for (&reporter, changes) in &observations.changes {
        for change in changes {
            let is_own_probe = change.event["to"] == "down"
                && change.event["by"] == maplethread_membership::OWN_PROBE;
            let member = change.event["name"]
                .as_str()
                .and_then(|n| n.strip_prefix("placer-")?.parse().ok());
            let Some(member) = member.filter(|_| is_own_probe) else {
                continue;
            };
            let lookback_start = change.at.saturating_sub(LOOKBACK_US);
            if !process_history.ran_throughout(member, lookback_start, change.at)
                || !process_history.ran_throughout(reporter, lookback_start, change.at)
            {
                continue;
            }
            let is_network_faulty = faults
                .iter()
                .any(|&(begin, until)| begin <= change.at && lookback_start <= until);
            if is_network_faulty {
                under_faults += 1
            } else {
                without_faults += 1
            }
        }
    }
    (without_faults, under_faults)
}

/// How long after each kill the placer was still live in some view, s. Kills after which the placer came back before it
/// was removed from all views are left out.
fn removal_times(
    process_history: &ProcessHistory,
    observations: &Observations,
    end: u64,
) -> Vec<f64> {
    let mut spans = Vec::new();
    for (&placer, states) in &process_history.by_placer {
        for (n, &(at, state)) in states.iter().enumerate() {
            if state != ProcessState::Stopped || n > 0 && states[n - 1].1 == ProcessState::Stopped {
                continue;
            }
            let came_back_at = states[n + 1..]
                .iter()
                .find(|s| s.1 != ProcessState::Stopped)
                .map_or(end, |s| s.0);
            let lists_placer = |s: &&Sample| {
                s.at > at && s.at < came_back_at && s.live.contains(&placer_name(placer))
            };
            let other_placers = observations.samples.iter().filter(|(p, _)| **p != placer);
            let last_listed_at = other_placers
                .filter_map(|(_, s)| s.iter().rev().find(lists_placer))
                .map(|s| s.at)
                .max();
            let is_removed = observations
                .samples
                .values()
                .flatten()
                .any(|s| s.at > last_listed_at.unwrap_or(at) && s.at < came_back_at);
            if is_removed {
                spans.push(last_listed_at.map_or(0, |l| l - at) as f64 / 1e6);
            }
        }
    }
    spans
}

impl CheckResult {
    /// The result as a JSON object.
    pub fn to_json(&self) -> Value {
        let worst = self.removal_times_s.iter().copied().fold(0.0, f64::max);
        json!({
            "broken": self.violations, "settled_s": self.settled_s, "false_alarms": self.false_alarms,
            "alarms_under_faults": self.false_alarms_under_faults, "kills_seen": self.removal_times_s.len(),
            "kill_seen_by_all_worst_s": worst, "members": self.members, "samples": self.samples,
        })
    }
}
