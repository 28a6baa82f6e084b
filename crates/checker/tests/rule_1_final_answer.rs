//! Rule 1 around downtime: an answer that could have been given is owed, and one that could not is excused.

mod support;

use maplethread_checker::Outcome;

use support::{
    S, Timed, answered, check_timed, count_of, parameters, placement_requested, placer_paused,
    placer_resumed, placer_started, placer_stopped,
};

/// A request at 10 s with 3 s to answer, and what happened to its placer; how many are unanswered and how many excused.
fn unanswered_and_excused(happened: &[Timed]) -> (u64, u64) {
    let request = (10 * S, placement_requested());
    let end = (30 * S, placer_started("other"));
    let all = [request].into_iter().chain(happened.iter().cloned());
    let verdict = check_timed(all.chain([end]), &parameters());
    assert_eq!(verdict.violations.len() as u64, verdict.unanswered);
    (verdict.unanswered, verdict.excused)
}

#[test]
fn excuses_missing_answer_only_when_placer_could_not_answer() {
    let paused = || placer_paused("p");
    let resumed = || placer_resumed("p");
    let stopped = || placer_stopped("p");
    let started = || placer_started("p");
    assert_eq!(unanswered_and_excused(&[]), (1, 0), "it ran all the time");
    // Half a second of three: the answer is owed.
    assert_eq!(
        unanswered_and_excused(&[
            (10 * S + S / 10, paused()),
            (10 * S + 6 * S / 10, resumed())
        ]),
        (1, 0)
    );
    assert_eq!(
        unanswered_and_excused(&[(9 * S, paused()), (11 * S, resumed())]),
        (1, 0)
    );
    // Up to the deadline, or to less than the grace time before it: excused.
    assert_eq!(
        unanswered_and_excused(&[(12 * S, paused()), (14 * S, resumed())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(11 * S, paused()), (12 * S + 6 * S / 10, resumed())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(11 * S, paused()), (12 * S + 4 * S / 10, resumed())]),
        (1, 0)
    );
    // The process that accepted it ended: excused, even if the next one was up in time. One that ended before owes
    // nothing of this, one that ended after owed it.
    assert_eq!(
        unanswered_and_excused(&[(11 * S, stopped()), (11 * S + S / 2, started())]),
        (0, 1)
    );
    assert_eq!(
        unanswered_and_excused(&[(5 * S, stopped()), (6 * S, started())]),
        (1, 0)
    );
    assert_eq!(
        unanswered_and_excused(&[(14 * S, stopped()), (15 * S, started())]),
        (1, 0)
    );
    // A process that was paused and resumed while it was still starting did not serve because of that.
    let starting = [
        (9 * S, stopped()),
        (11 * S, paused()),
        (11 * S + S / 10, resumed()),
        (14 * S, started()),
    ];
    assert_eq!(unanswered_and_excused(&starting), (0, 1));
}

#[test]
fn reports_second_or_late_answer() {
    let placed = || answered(Outcome::Placed("h".to_owned()));
    assert_eq!(unanswered_and_excused(&[(12 * S, placed())]), (0, 0));
    for times in [vec![12 * S, 12 * S + 1], vec![13 * S + 200_000]] {
        let answers = times.iter().map(|&at| (at, placed()));
        let all = [(10 * S, placement_requested())].into_iter().chain(answers);
        let verdict = check_timed(all, &parameters());
        assert_eq!(verdict.violations_by_rule().get(&1), Some(&1), "{times:?}");
    }
}

#[test]
fn accepts_refusal_of_request_unread_until_deadline() {
    let is_violated = |was_paused: bool, outcome: Outcome| {
        let mut all = vec![
            (10 * S, placement_requested()),
            (13 * S + 152_000, answered(outcome)),
        ];
        if was_paused {
            all.push((9 * S, placer_paused("p")));
            all.push((13 * S, placer_resumed("p")));
        }
        count_of(1, &check_timed(all, &parameters())) > 0
    };
    assert!(
        !is_violated(true, Outcome::NotAccepted(503)),
        "it never accepted it"
    );
    assert!(
        is_violated(true, Outcome::Failed),
        "an answer after the deadline"
    );
    assert!(
        is_violated(false, Outcome::NotAccepted(503)),
        "it was running all the time"
    );
}
