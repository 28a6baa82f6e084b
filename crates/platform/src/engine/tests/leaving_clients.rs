//! Clients that leave while their requests are unread or wait.

use maplethread::Event;
use maplethread_platform_wire::Cause;

use super::support::*;

/// The shortest time without input after a burst, and after one that does not fit a receive window.
const PAUSE_MS: u64 = 5;
const LONG_PAUSE_MS: u64 = 250;

/// Requests with these ids arrive in one read, after which `has_more` tells whether more can be read.
fn receive(harness: &mut Harness, ids: std::ops::Range<u64>, bytes: usize, has_more: bool) {
    harness
        .engine
        .record_owner_input(harness.now, OWNER_A, bytes, has_more);
    for id in ids {
        let message = Ok(request(setup(id)));
        harness
            .engine
            .handle_owner_message(harness.now, OWNER_A, message);
    }
}

/// The number of tasks that were passed to the policy since the last call.
fn requested(harness: &Harness) -> usize {
    let events = harness.take_events();
    let is_request = |event: &&Event| matches!(event, Event::PlacementRequested(_));
    events.iter().filter(is_request).count()
}

/// Guards against requests that are sent on although their client has left, because its end is behind much unread input.
#[test]
fn requests_in_a_burst_wait_until_the_input_has_paused() {
    let mut harness = Harness::new();
    receive(&mut harness, 1..3, 600, false);
    harness.turn();
    assert_eq!(requested(&harness), 2, "no burst");
    for n in 1..=10 {
        receive(&mut harness, 10 * n..10 * n + 10, 4096, true);
        harness.advance((PAUSE_MS - 1) * MS);
        assert_eq!(requested(&harness), 0);
    }
    // The last read finds the end of the input.
    receive(&mut harness, 500..501, 300, false);
    assert!(
        harness.engine.next_timeout() > Some(harness.now),
        "the requests that wait cause no turns"
    );
    harness.advance(PAUSE_MS * MS);
    while harness.engine.next_timeout() == Some(0) {
        harness.turn();
    }
    assert_eq!(requested(&harness), 101);
    // Of a long burst the sender may have to wait for a window update.
    for n in 100..140 {
        receive(&mut harness, 10 * n..10 * n + 10, 4096, true);
    }
    harness.advance((LONG_PAUSE_MS - 1) * MS);
    assert_eq!(requested(&harness), 0);
    harness.advance(MS);
    while harness.engine.next_timeout() == Some(0) {
        harness.turn();
    }
    assert_eq!(requested(&harness), 400);
}

#[test]
fn requests_in_a_burst_of_a_client_that_leaves_are_not_passed_on() {
    let mut harness = Harness::new();
    receive(&mut harness, 1..100, 4096, true);
    harness.turn();
    harness.half_close_owner(OWNER_A);
    harness.advance(100 * MS);
    assert_eq!(requested(&harness), 0);
    harness.disconnect_owner(OWNER_A);
    harness.advance(100 * MS);
    let sizes = harness.engine.table_sizes();
    assert_eq!((sizes.tasks, sizes.queued_requests), (0, 0));
}

/// Guards against requests that are taken for the last ones because their client does not read its answers, so that its input is
/// not read either.
#[test]
fn requests_wait_while_the_input_of_their_client_is_not_read() {
    let mut harness = Harness::new();
    receive(&mut harness, 1..10, 600, false);
    harness
        .engine
        .set_owner_input_stopped(harness.now, OWNER_A, true);
    harness.advance(1_000 * MS);
    assert_eq!(requested(&harness), 0);
    harness
        .engine
        .set_owner_input_stopped(harness.now, OWNER_A, false);
    harness.advance(PAUSE_MS * MS);
    assert_eq!(requested(&harness), 9);
}

/// Guards against an owner whose usual requests are held for as long as a long burst because it has sent many before.
#[test]
fn requests_of_a_slow_client_do_not_add_up_to_a_burst() {
    let mut harness = Harness::new();
    for n in 1..=1_000 {
        receive(&mut harness, n..n + 1, 400, false);
        harness.advance(60 * MS);
        assert_eq!(requested(&harness), 1);
    }
    receive(&mut harness, 2_000..2_010, 4096, true);
    harness.advance(PAUSE_MS * MS);
    assert_eq!(requested(&harness), 10);
}

/// Guards against an owner that hands over many tasks at once and whose requests after that wait for a pause that never comes.
#[test]
fn usual_input_after_a_burst_does_not_extend_it() {
    let mut harness = Harness::new();
    for n in 1..=40 {
        receive(&mut harness, 100 * n..100 * n + 1, 4096, true);
    }
    let mut admitted = 0;
    for n in 0..40 {
        receive(&mut harness, 10_000 + n..10_001 + n, 400, false);
        harness.advance(10 * MS);
        admitted += requested(&harness);
    }
    assert_eq!(admitted, 80, "within 0.4 s");
}

/// Guards against requests that get no answer because their client never pauses.
#[test]
fn requests_of_a_client_that_never_pauses_are_refused_in_time() {
    let mut harness = Harness::new();
    receive(&mut harness, 1..3, 4096, true);
    let mut refused = 0;
    for _ in 0..2_000 {
        let outputs = harness.advance(3 * MS);
        refused += messages_to_owners(&outputs)
            .iter()
            .filter(|(_, message)| matches!(message, maplethread_platform_wire::owner::ToOwner::Close { cause, .. } if *cause == Cause::NO_CAPACITY))
            .count();
        receive(&mut harness, 0..0, 4096, true);
    }
    assert_eq!(refused, 2);
}
