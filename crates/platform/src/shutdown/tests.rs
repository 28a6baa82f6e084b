use super::*;

const STOP_REQUESTED_AT: Micros = 50_000_000;

#[test]
fn serves_until_no_request_is_pending_and_all_answers_are_written() {
    let shutdown = ShutdownSchedule::new(6_000_000);
    assert!(
        !shutdown.is_finished(
            STOP_REQUESTED_AT,
            STOP_REQUESTED_AT + ARRIVAL_GRACE - 1,
            0,
            true
        ),
        "requests may still arrive"
    );
    assert!(
        shutdown.is_finished(
            STOP_REQUESTED_AT,
            STOP_REQUESTED_AT + ARRIVAL_GRACE,
            0,
            true
        ),
        "all requests are answered"
    );
    assert_eq!(
        shutdown.answer_deadline(STOP_REQUESTED_AT),
        STOP_REQUESTED_AT + 3_200_000
    );
    assert!(
        !shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_200_000, 1, true),
        "a request is pending"
    );
    assert!(
        !shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_200_000, 0, false),
        "an answer is unwritten"
    );
    assert!(
        shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_400_000, 1, false),
        "the latest exit is reached"
    );
}

#[test]
fn exits_before_sigkill_for_every_longest_deadline() {
    // Platform protocol: SIGKILL is sent no earlier than the longest deadline plus 0.7 s after SIGTERM.
    for deadline in [900_000, 1_800_000, 3_000_000, 20_000_000] {
        let shutdown = ShutdownSchedule::new(deadline);
        let killed_at = STOP_REQUESTED_AT + deadline.min(3_000_000) + 700_000;
        assert!(
            shutdown.answer_deadline(STOP_REQUESTED_AT) < shutdown.latest_exit(STOP_REQUESTED_AT)
                && shutdown.latest_exit(STOP_REQUESTED_AT) < killed_at,
            "{deadline}"
        );
        assert!(
            shutdown.answer_deadline(STOP_REQUESTED_AT)
                >= STOP_REQUESTED_AT + deadline.min(3_000_000),
            "{deadline}"
        );
        assert!(
            shutdown.latest_exit(STOP_REQUESTED_AT)
                >= ShutdownSchedule::earliest_exit(STOP_REQUESTED_AT),
            "{deadline}"
        );
    }
}
