//! Drills with known ends and what the judge makes of them.

use super::*;
use crate::observers::ReportedChange;

const S: u64 = 1_000_000;

fn history_with_one_kill() -> ProcessHistory {
    let api = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut news: Vec<RunEvent> = (0..3).map(|p| RunEvent::PlacerServing(S, p, api)).collect();
    news.push(RunEvent::FaultInjected(10 * S, PlacerFault::Kill(2)));
    ProcessHistory::from_events(&news)
}

fn sample(at: u64, digest: &str, live: &[usize]) -> Sample {
    Sample {
        at,
        digest: digest.to_owned(),
        live: live.iter().map(|&p| placer_name(p)).collect(),
    }
}

/// Two that stay, which settle at 13 s and 14 s after the third was killed at 10 s.
fn settled_observations() -> Observations {
    let mut watched = Observations::default();
    for (placer, settles) in [(0, 13), (1, 14)] {
        let samples = (1..20).map(|s| {
            if s < settles {
                sample(s * S, "three", &[0, 1, 2])
            } else {
                sample(s * S, "two", &[0, 1])
            }
        });
        watched.samples.insert(placer, samples.collect());
    }
    watched
}

#[test]
fn reports_settling_and_removal_times_of_a_settled_run() {
    let verdict = check(
        &history_with_one_kill(),
        &settled_observations(),
        &[],
        11 * S,
        20 * S,
    );
    assert_eq!(
        (verdict.violations.len(), verdict.settled_s, verdict.members),
        (0, Some(3.0), 2)
    );
    assert_eq!(
        (verdict.removal_times_s, verdict.false_alarms),
        (vec![3.0], 0)
    );
}

#[test]
fn reports_extra_and_missing_members_differing_and_absent_views() {
    let told = |change: &dyn Fn(&mut Observations)| {
        let mut watched = settled_observations();
        change(&mut watched);
        let verdict = check(&history_with_one_kill(), &watched, &[], 11 * S, 20 * S);
        assert_eq!(verdict.settled_s, None);
        verdict.violations.join("; ")
    };
    let push = |placer: usize, last: Sample| {
        move |w: &mut Observations| w.samples.entry(placer).or_default().push(last.clone())
    };
    assert!(told(&push(1, sample(20 * S, "two", &[0, 1, 2]))).contains("still holds"));
    assert!(told(&push(0, sample(20 * S, "two", &[0]))).contains("lacks"));
    assert!(told(&push(1, sample(20 * S, "another", &[0, 1]))).contains("another view"));
    assert!(told(&|w: &mut Observations| drop(w.samples.remove(&1))).contains("no view"));
}

#[test]
fn counts_false_alarms_only_for_running_members() {
    let mut watched = settled_observations();
    let down = |at: u64, name: &str, by: &str| ReportedChange {
        at,
        event: json!({"name": name, "from": "suspect", "to": "down", "by": by}),
    };
    let own = maplethread_membership::OWN_PROBE;
    // One that runs, by the teller's own test; the same by hearsay; and the one that was killed.
    let told = vec![
        down(19 * S, "placer-1", own),
        down(19 * S, "placer-1", "placer-9"),
        down(13 * S, "placer-2", own),
    ];
    watched.changes.insert(0, told);
    let verdict = check(&history_with_one_kill(), &watched, &[], 11 * S, 20 * S);
    assert_eq!(
        (verdict.false_alarms, verdict.false_alarms_under_faults),
        (1, 0)
    );
    let verdict = check(
        &history_with_one_kill(),
        &watched,
        &[(13 * S, 15 * S)],
        11 * S,
        20 * S,
    );
    assert_eq!(
        (verdict.false_alarms, verdict.false_alarms_under_faults),
        (0, 1)
    );
}
