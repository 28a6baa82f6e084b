//! Rule 1 and downtime: a missing answer is a violation if the placer could have given it, and is excused otherwise.

mod support;

use maplethread_checker::Outcome;

use support::{
    S, Timed, answered, check_timed, count_of, parameters, placement_requested, placer_paused,
    placer_resumed, placer_started, placer_stopped,
};

/// Checks a request at 10 s with a budget of 3 s and these further observations. Returns the number of unanswered and
/// of excused requests.
fn unanswered_and_excused(further: &[Timed]) -> (u64, u64) {
    let request = (10 * S, placement_requested());
    let end = (30 * S, placer_started("other"));
    let all = [request].into_iter().chain(further.iter().cloned());
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
    assert_eq!(
        unanswered_and_excused(&[]),
        (1, 0),
        "the placer was running all the time"
    );
    // Paused for 0.5 s of the 3 s, or resumed long before the deadline: the placer must answer.
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
    // Paused until the deadline, or resumed less than the grace period before it: excused.
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
    // The process that accepted the request ended before the deadline: excused, even if the next one served in time.
    // The end of a process before the request or after the deadline excuses nothing.
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
    // Pausing and resuming a process that is still starting does not make it serve.
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
fn accepts_late_non_acceptance_only_if_placer_was_paused() {
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
        "the paused placer had not accepted the request"
    );
    assert!(
        is_violated(true, Outcome::Failed),
        "a final answer after the deadline"
    );
    assert!(
        is_violated(false, Outcome::NotAccepted(503)),
        "the placer was running all the time"
    );
}
