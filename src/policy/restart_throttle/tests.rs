use super::*;
use crate::interface::{Resources, ServiceId};

fn task(is_resubmission: bool, deadline: Micros) -> Task {
    Task {
        id: TaskId(1),
        service: ServiceId(1),
        class: 0,
        requested: Resources::new(1.0, 1.0),
        expected_duration: None,
        deadline,
        is_resubmission,
    }
}

#[test]
fn only_resubmitted_tasks_are_deferred_for_at_most_a_second_or_half_their_remaining_time() {
    let now = 5_000_000;
    assert_eq!(deferral_deadline(&task(false, now + 9_000_000), now), None);
    let deadline = |remaining| deferral_deadline(&task(true, now + remaining), now);
    assert_eq!(deadline(9_000_000), Some(now + 1_000_000));
    assert_eq!(deadline(600_000), Some(now + 300_000));
}

#[test]
fn limit_is_this_placers_share_and_at_least_one() {
    assert_eq!(max_starts_in_progress(40, 4), 30);
    assert_eq!(max_starts_in_progress(1, 30), 1);
    assert_eq!(max_starts_in_progress(0, 1), 1);
}

#[test]
fn deferred_tasks_are_released_below_the_limit_or_when_their_deferral_ends() {
    let mut throttle = RestartThrottle::default();
    throttle.begin_start();
    throttle.defer(TaskId(2), 200);
    throttle.defer(TaskId(1), 100);
    assert_eq!(throttle.take_released(1, 99), None);
    assert_eq!(throttle.take_released(1, 100), Some(TaskId(1)));
    assert_eq!(throttle.take_released(1, 100), None);
    throttle.finish_start();
    assert_eq!(throttle.take_released(1, 100), Some(TaskId(2)));
    assert!(!throttle.has_deferred());
}
