//! Checks of runs with known results.

use super::*;
use crate::observers::ReportedChange;

const S: u64 = 1_000_000;

fn history_with_one_kill() -> ProcessHistory {
    let api = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut events: Vec<RunEvent> = (0..3).map(|p| RunEvent::PlacerServing(S, p, api)).collect();
    events.push(RunEvent::FaultInjected(10 * S, PlacerFault::Kill(2)));
    ProcessHistory::from_events(&events)
}

fn sample(at: u64, digest: &str, live: &[usize]) -> Sample {
    Sample {
        at,
        digest: digest.to_owned(),
        live: live.iter().map(|&p| placer_name(p)).collect(),
    }
}

/// Views of two running placers, which settle at 13 s and 14 s after the third placer was killed at 10 s.
fn settled_observations() -> Observations {
    let mut observations = Observations::default();
    for (placer, settled_s) in [(0, 13), (1, 14)] {
        let samples = (1..20).map(|s| {
            if s < settled_s {
                sample(s * S, "three", &[0, 1, 2])
            } else {
                sample(s * S, "two", &[0, 1])
            }
        });
        observations.samples.insert(placer, samples.collect());
    }
    observations
}

#[test]
fn reports_settling_and_removal_times_of_a_settled_run() {
    let result = check(
        &history_with_one_kill(),
        &settled_observations(),
        &[],
        11 * S,
        20 * S,
    );
    assert_eq!(
        (result.violations.len(), result.settled_s, result.members),
        (0, Some(3.0), 2)
    );
    assert_eq!(
        (result.removal_times_s, result.false_alarms),
        (vec![3.0], 0)
    );
}

#[test]
fn reports_extra_and_missing_members_differing_and_absent_views() {
    let violations_after = |change: &dyn Fn(&mut Observations)| {
        let mut observations = settled_observations();
        change(&mut observations);
        let result = check(&history_with_one_kill(), &observations, &[], 11 * S, 20 * S);
        assert_eq!(result.settled_s, None);
        result.violations.join("; ")
    };
    let push = |placer: usize, last: Sample| {
        move |observations: &mut Observations| {
            observations
                .samples
                .entry(placer)
                .or_default()
                .push(last.clone())
        }
    };
    assert!(violations_after(&push(1, sample(20 * S, "two", &[0, 1, 2]))).contains("still lists"));
    assert!(violations_after(&push(0, sample(20 * S, "two", &[0]))).contains("does not list"));
    assert!(
        violations_after(&push(1, sample(20 * S, "another", &[0, 1])))
            .contains("differs from the view of")
    );
    assert!(
        violations_after(&|observations: &mut Observations| drop(observations.samples.remove(&1)))
            .contains("reported no view")
    );
}

#[test]
fn counts_false_alarms_only_for_running_members() {
    let mut observations = settled_observations();
    let down = |at: u64, name: &str, by: &str| ReportedChange {
        at,
        event: json!({"name": name, "from": "suspect", "to": "down", "by": by}),
    };
    let own = maplethread_membership::OWN_PROBE;
    // A running member by the reporter's own probe, the same by another member's message, and the killed member.
    let changes = vec![
        down(19 * S, "placer-1", own),
        down(19 * S, "placer-1", "placer-9"),
        down(13 * S, "placer-2", own),
    ];
    observations.changes.insert(0, changes);
    let result = check(&history_with_one_kill(), &observations, &[], 11 * S, 20 * S);
    assert_eq!(
        (result.false_alarms, result.false_alarms_under_faults),
        (1, 0)
    );
    let result = check(
        &history_with_one_kill(),
        &observations,
        &[(13 * S, 15 * S)],
        11 * S,
        20 * S,
    );
    assert_eq!(
        (result.false_alarms, result.false_alarms_under_faults),
        (0, 1)
    );
}
