use super::*;

const STOP_REQUESTED_AT: Micros = 50_000_000;

#[test]
fn runs_until_no_request_is_pending_and_all_answers_are_written() {
    let shutdown = ShutdownSchedule::new(6_000_000);
    assert!(
        !shutdown.is_finished(
            STOP_REQUESTED_AT,
            STOP_REQUESTED_AT + ARRIVAL_GRACE - 1,
            0,
            true
        ),
        "requests still come"
    );
    assert!(
        shutdown.is_finished(
            STOP_REQUESTED_AT,
            STOP_REQUESTED_AT + ARRIVAL_GRACE,
            0,
            true
        ),
        "nothing is owed"
    );
    assert_eq!(
        shutdown.answer_deadline(STOP_REQUESTED_AT),
        STOP_REQUESTED_AT + 3_200_000
    );
    assert!(
        !shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_200_000, 1, true),
        "an answer is owed"
    );
    assert!(
        !shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_200_000, 0, false),
        "an answer is not written"
    );
    assert!(
        shutdown.is_finished(STOP_REQUESTED_AT, STOP_REQUESTED_AT + 3_400_000, 1, false),
        "time is up"
    );
}

#[test]
fn exits_before_it_is_killed_under_every_deadline() {
    // PROTOCOL: SIGKILL comes no earlier than the longest deadline plus 0.7 s after SIGTERM.
    for deadline in [900_000, 1_800_000, 3_000_000, 20_000_000] {
        let shutdown = ShutdownSchedule::new(deadline);
        let killed = STOP_REQUESTED_AT + deadline.min(3_000_000) + 700_000;
        assert!(
            shutdown.answer_deadline(STOP_REQUESTED_AT) < shutdown.latest_exit(STOP_REQUESTED_AT)
                && shutdown.latest_exit(STOP_REQUESTED_AT) < killed,
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
