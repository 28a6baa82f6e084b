use super::*;

const SECOND: Micros = 1_000_000;

fn offered(requested: Resources) -> FinishedAttempt {
    FinishedAttempt {
        class: 0,
        requested,
        was_accepted: false,
    }
}

fn finish_attempt(
    health: &mut MachineHealth,
    outcome: AttemptOutcome,
    reason: Option<FailureReason>,
    now: Micros,
) {
    let result = AttemptResult {
        outcome,
        reason,
        closes_task: false,
        load: None,
    };
    health.record_offer(0);
    health.record_outcome(&offered(Resources::new(2.0, 4.0)), &result, false, now);
}

#[test]
fn consecutive_failures_eject_for_three_six_and_twelve_seconds() {
    let mut health = MachineHealth::new(1);
    let mut now = SECOND;
    for seconds in [3, 6, 12, 12] {
        finish_attempt(&mut health, AttemptOutcome::Error, None, now);
        health.record_liveness(now);
        assert!(!health.is_healthy(0, now + seconds * SECOND - 1));
        now += seconds * SECOND;
        assert!(health.is_healthy(0, now));
    }
}

#[test]
fn after_a_failure_only_one_offer_is_outstanding_until_a_start_succeeds() {
    let mut health = MachineHealth::new(1);
    finish_attempt(&mut health, AttemptOutcome::Error, None, SECOND);
    let later = 10 * SECOND;
    health.record_offer(0);
    assert!(!health.is_healthy(0, later));
    health.record_acceptance(0, later);
    health.record_start(0, later);
    health.record_offer(0);
    assert!(health.is_healthy(0, later));
}

#[test]
fn one_lost_answer_counts_until_the_machine_is_seen_alive_and_two_count_as_a_failure() {
    let mut health = MachineHealth::new(2);
    finish_attempt(&mut health, AttemptOutcome::TimedOut, None, 2 * SECOND);
    assert!(!health.is_healthy(1, 3 * SECOND));
    health.record_liveness(3 * SECOND);
    assert!(health.is_healthy(0, 3 * SECOND) && health.is_healthy(1, 3 * SECOND));
    finish_attempt(&mut health, AttemptOutcome::Disconnected, None, 4 * SECOND);
    health.record_liveness(5 * SECOND);
    assert!(!health.is_healthy(0, 5 * SECOND) && health.is_healthy(1, 5 * SECOND));
}

#[test]
fn retracting_a_failure_ends_the_ejection() {
    let mut health = MachineHealth::new(1);
    finish_attempt(&mut health, AttemptOutcome::Error, None, SECOND);
    health.record_liveness(SECOND);
    health.retract_failure(0);
    assert!(health.is_healthy(0, SECOND));
}

#[test]
fn capacity_rejections_back_off_tasks_as_large_and_later_all_tasks() {
    let mut health = MachineHealth::new(1);
    let small = Resources::new(1.0, 1.0);
    let large = Resources::new(2.0, 1.0);
    let reason = Some(FailureReason::InsufficientCores);
    for (rejections, seconds) in [(1, 1), (2, 2), (3, 4), (4, 8), (5, 8)] {
        finish_attempt(&mut health, AttemptOutcome::Rejected, reason, 0);
        assert!(health.is_backing_off(large, seconds * SECOND - 1));
        assert!(!health.is_backing_off(large, seconds * SECOND));
        assert_eq!(health.is_backing_off(small, 0), rejections > 2);
    }
    health.record_acceptance(0, 0);
    finish_attempt(&mut health, AttemptOutcome::Rejected, reason, 0);
    assert!(!health.is_backing_off(large, SECOND));
}
