//! What a drill came to, from what placers showed and what befell them. Shares no state with the processes.

use std::collections::{BTreeMap, BTreeSet};

use maplethread_emulator::run_options::{PlacerFault, RunEvent};
use serde_json::{Value, json};

use crate::observers::{Observations, Sample};

#[cfg(test)]
mod tests;

/// A placer's process over time: whether it runs, and whether it stands still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Running,
    Paused,
    Stopped,
}

/// What befell placers, by number, in order of time.
#[derive(Clone, Debug, Default)]
pub struct ProcessHistory {
    by_placer: BTreeMap<usize, Vec<(u64, ProcessState)>>,
}

impl ProcessHistory {
    /// From what the day told.
    pub fn from_events(news: &[RunEvent]) -> ProcessHistory {
        let mut truth = ProcessHistory::default();
        for news in news {
            let (at, placer, is) = match *news {
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
            truth.by_placer.entry(placer).or_default().push((at, is));
        }
        truth
    }

    fn state_at(&self, placer: usize, at: u64) -> ProcessState {
        let before = self
            .by_placer
            .get(&placer)
            .into_iter()
            .flatten()
            .rev()
            .find(|s| s.0 <= at);
        before.map_or(ProcessState::Stopped, |s| s.1)
    }

    /// Placers that run, and don't stand still, at a time.
    fn running_at(&self, at: u64) -> Vec<usize> {
        self.by_placer
            .keys()
            .copied()
            .filter(|&p| self.state_at(p, at) == ProcessState::Running)
            .collect()
    }

    /// Whether a placer was up, unpaused, for all of a span.
    fn ran_throughout(&self, placer: usize, from: u64, to: u64) -> bool {
        let changes = self.by_placer.get(&placer).into_iter().flatten();
        self.state_at(placer, from) == ProcessState::Running
            && !changes.clone().any(|s| (from..=to).contains(&s.0))
    }
}

/// What the drill came to.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// What was broken, for a person; nothing where all held.
    pub violations: Vec<String>,
    /// From the end of the faults until all live members held one view, s.
    pub settled_s: Option<f64>,
    /// Members called down by another's own test that ran all the while, with no fault of the network then.
    pub false_alarms: usize,
    /// The same while some fault of the network stood.
    pub false_alarms_under_faults: usize,
    /// From a kill to the last live view that still had it, s, for each placer that stayed away for longer.
    pub removal_times_s: Vec<f64>,
    /// Members at the end.
    pub members: usize,
    /// Samples read.
    pub samples: usize,
}

/// The name of the placer of a number.
pub fn placer_name(number: usize) -> String {
    format!("placer-{number}")
}

/// Judges a drill whose faults of the network stood in `faults`, and were all over by `quiet`; it ended at `end`.
pub fn check(
    truth: &ProcessHistory,
    watched: &Observations,
    faults: &[(u64, u64)],
    quiet: u64,
    end: u64,
) -> CheckResult {
    let mut broken = Vec::new();
    let running = truth.running_at(end);
    let names: BTreeSet<String> = running.iter().map(|&p| placer_name(p)).collect();
    // Settled: from when on all of a placer's samples show just the live ones, and all placers' are equal.
    let last = |p: &usize| watched.samples.get(p).and_then(|s| s.last());
    let finals: Vec<Option<&Sample>> = running.iter().map(last).collect();
    let digest = finals.first().copied().flatten().map(|s| s.digest.clone());
    let mut settled_at = quiet;
    for (&placer, sample) in running.iter().zip(&finals) {
        let Some(sample) = sample else {
            broken.push(format!("{} showed no view", placer_name(placer)));
            continue;
        };
        let live: BTreeSet<String> = sample.live.iter().cloned().collect();
        let ghosts: Vec<&String> = live.difference(&names).collect();
        let missing: Vec<&String> = names.difference(&live).collect();
        if !ghosts.is_empty() {
            broken.push(format!(
                "{} still holds {ghosts:?} for live",
                placer_name(placer)
            ));
        }
        if !missing.is_empty() {
            broken.push(format!("{} lacks {missing:?}", placer_name(placer)));
        }
        if Some(&sample.digest) != digest.as_ref() {
            broken.push(format!(
                "{} holds another view than {}",
                placer_name(placer),
                placer_name(running[0])
            ));
        }
        let all = &watched.samples[&placer];
        let unsettled = all
            .iter()
            .rev()
            .find(|s| Some(&s.digest) != digest.as_ref());
        let since = all.iter().find(|s| unsettled.is_none_or(|u| s.at > u.at));
        settled_at = settled_at.max(since.map_or(end, |s| s.at));
    }
    let settled_s = broken
        .is_empty()
        .then(|| settled_at.saturating_sub(quiet) as f64 / 1e6);
    let (false_alarms, alarms_under_faults) = count_false_alarms(truth, watched, faults);
    CheckResult {
        violations: broken,
        settled_s,
        false_alarms,
        false_alarms_under_faults: alarms_under_faults,
        removal_times_s: removal_times(truth, watched, end),
        members: running.len(),
        samples: watched.samples.values().map(Vec::len).sum(),
    }
}

/// Who was called down by another's own test while it ran.
fn count_false_alarms(
    truth: &ProcessHistory,
    watched: &Observations,
    faults: &[(u64, u64)],
) -> (usize, usize) {
    /// What a judgement may rest on.
    const BEFORE: u64 = 5_000_000;
    let (mut without, mut with) = (0, 0);
    for (&by, told) in &watched.changes {
        for change in told {
            let own = change.event["to"] == "down"
                && change.event["by"] == maplethread_membership::OWN_PROBE;
            let of = change.event["name"]
                .as_str()
                .and_then(|n| n.strip_prefix("placer-")?.parse().ok());
            let Some(of) = of.filter(|_| own) else {
                continue;
            };
            let from = change.at.saturating_sub(BEFORE);
            if !truth.ran_throughout(of, from, change.at)
                || !truth.ran_throughout(by, from, change.at)
            {
                continue;
            }
            let faulty = faults
                .iter()
                .any(|&(begin, until)| begin <= change.at && from <= until);
            if faulty { with += 1 } else { without += 1 }
        }
    }
    (without, with)
}

/// How long after each kill some live view still had the placer, where it stayed away until nobody had.
fn removal_times(truth: &ProcessHistory, watched: &Observations, end: u64) -> Vec<f64> {
    let mut spans = Vec::new();
    for (&placer, states) in &truth.by_placer {
        for (n, &(at, is)) in states.iter().enumerate() {
            if is != ProcessState::Stopped || n > 0 && states[n - 1].1 == ProcessState::Stopped {
                continue;
            }
            let back = states[n + 1..]
                .iter()
                .find(|s| s.1 != ProcessState::Stopped)
                .map_or(end, |s| s.0);
            let holds =
                |s: &&Sample| s.at > at && s.at < back && s.live.contains(&placer_name(placer));
            let others = watched.samples.iter().filter(|(p, _)| **p != placer);
            let last = others
                .filter_map(|(_, s)| s.iter().rev().find(holds))
                .map(|s| s.at)
                .max();
            let shown = watched
                .samples
                .values()
                .flatten()
                .any(|s| s.at > last.unwrap_or(at) && s.at < back);
            if shown {
                spans.push(last.map_or(0, |l| l - at) as f64 / 1e6);
            }
        }
    }
    spans
}

impl CheckResult {
    /// As one object.
    pub fn to_json(&self) -> Value {
        let worst = self.removal_times_s.iter().copied().fold(0.0, f64::max);
        json!({
            "broken": self.violations, "settled_s": self.settled_s, "false_alarms": self.false_alarms,
            "alarms_under_faults": self.false_alarms_under_faults, "kills_seen": self.removal_times_s.len(),
            "kill_seen_by_all_worst_s": worst, "members": self.members, "samples": self.samples,
        })
    }
}
