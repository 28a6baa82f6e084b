use super::*;
use crate::interface::RetrySafety;

fn class(latency_objective: Micros) -> Class {
    Class {
        retry_safety: RetrySafety::Idempotent,
        latency_objective,
        priority_weight: 1.0,
        start_bonus_s: 0.0,
        priority: 0,
        machine_kind: None,
        spread_limit: None,
    }
}

fn classes() -> [Class; 2] {
    [class(400_000), class(1_000_000)]
}

#[test]
fn timeout_before_any_answer_is_the_latency_objective() {
    let accepted = AnswerTimes::new(AcceptancePoint::Accepted);
    let timeout = |class| accepted.timeout(&classes(), class, Locality::Local, 0, 9_000_000);
    assert_eq!((timeout(0), timeout(1)), (400_000, 400_000));
    let running = AnswerTimes::new(AcceptancePoint::Running);
    let timeout = |class| running.timeout(&classes(), class, Locality::Local, 0, 9_000_000);
    assert_eq!((timeout(0), timeout(1)), (1_600_000, 4_000_000));
}

#[test]
fn timeout_doubles_with_each_attempt_and_ends_with_the_remaining_time() {
    let times = AnswerTimes::new(AcceptancePoint::Accepted);
    let timeout = |attempt| times.timeout(&classes(), 0, Locality::Local, attempt, 1_000_000);
    assert_eq!([0, 1, 2].map(timeout), [400_000, 800_000, 1_000_000]);
}

#[test]
fn quick_answers_shorten_the_timeout_to_no_less_than_half_the_objective() {
    let mut times = AnswerTimes::new(AcceptancePoint::Accepted);
    for _ in 0..200 {
        times.record(1, Locality::Remote, 1_000);
    }
    let timeout = times.timeout(&classes(), 0, Locality::Local, 0, 9_000_000);
    assert_eq!(timeout, 200_000);
}

#[test]
fn answer_times_are_separate_per_class_and_locality_when_answers_come_with_the_start() {
    let mut times = AnswerTimes::new(AcceptancePoint::Running);
    for _ in 0..200 {
        times.record(0, Locality::Local, 1_000);
    }
    let timeout = |locality| times.timeout(&classes(), 0, locality, 0, 9_000_000);
    assert_eq!(timeout(Locality::Local), 800_000);
    assert_eq!(timeout(Locality::Remote), 1_600_000);
}
