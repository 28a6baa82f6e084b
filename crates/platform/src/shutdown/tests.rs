use super::*;

const TOLD: Micros = 50_000_000;

#[test]
fn it_stays_while_asks_may_come_or_are_owed_an_answer_and_no_longer() {
    let shutdown = ShutdownSchedule::new(6_000_000);
    assert!(
        !shutdown.over(TOLD, TOLD + STILL_COMES - 1, 0, true),
        "requests still come"
    );
    assert!(
        shutdown.over(TOLD, TOLD + STILL_COMES, 0, true),
        "nothing is owed"
    );
    assert_eq!(shutdown.answered_by(TOLD), TOLD + 3_200_000);
    assert!(
        !shutdown.over(TOLD, TOLD + 3_200_000, 1, true),
        "an answer is owed"
    );
    assert!(
        !shutdown.over(TOLD, TOLD + 3_200_000, 0, false),
        "an answer is not written"
    );
    assert!(
        shutdown.over(TOLD, TOLD + 3_400_000, 1, false),
        "time is up"
    );
}

#[test]
fn where_all_deadlines_are_short_it_ends_before_it_is_killed() {
    // PROTOCOL: SIGKILL comes no earlier than the longest deadline plus 0.7 s after SIGTERM.
    for deadline in [900_000, 1_800_000, 3_000_000, 20_000_000] {
        let shutdown = ShutdownSchedule::new(deadline);
        let killed = TOLD + deadline.min(3_000_000) + 700_000;
        assert!(
            shutdown.answered_by(TOLD) < shutdown.last(TOLD) && shutdown.last(TOLD) < killed,
            "{deadline}"
        );
        assert!(
            shutdown.answered_by(TOLD) >= TOLD + deadline.min(3_000_000),
            "{deadline}"
        );
        assert!(
            shutdown.last(TOLD) >= ShutdownSchedule::earliest(TOLD),
            "{deadline}"
        );
    }
}
