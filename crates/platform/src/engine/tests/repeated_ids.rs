//! Requests that come again with an id that was used before.

use maplethread::{Event, TaskId};
use maplethread_platform_wire::Cause;

use super::support::*;
use crate::engine::DisconnectReason;

/// What becomes of the first request with an id before the client leaves.
type FirstRequest = fn(&mut Harness, TaskId);

/// A harness in which the client of request 7 has left.
fn harness_after(first_request: FirstRequest) -> Harness {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    first_request(&mut harness, task);
    harness.disconnect_owner(OWNER_A);
    harness.advance(10 * MS);
    harness.take_events();
    harness
}

/// Guards against a task that runs twice because its request comes again with the same id after its client has left.
#[test]
fn id_that_may_have_run_is_not_accepted_again() {
    let may_have_run: [FirstRequest; 4] = [
        // In flight.
        |harness, task| {
            harness.offer_and_send(task, 0);
        },
        // Its connection broke.
        |harness, task| {
            let connection = harness.offer_and_send(task, 0);
            harness.lose_connection(connection, DisconnectReason::Broken);
        },
        // It has timed out, and the next attempt was rejected.
        |harness, task| {
            harness.offer_and_send(task, 0);
            harness.advance(300 * MS);
            let connection = harness.offer_and_send(task, 0);
            harness.host_sends(connection, host_close(7, Cause::NO_CAPACITY));
        },
        // It has run to its end.
        |harness, task| {
            let connection = harness.offer_and_send(task, 0);
            harness.host_sends(connection, host_ready(7, "t"));
            harness.host_sends(connection, host_close(7, Cause::NORMAL));
        },
    ];
    for first_request in may_have_run {
        let mut harness = harness_after(first_request);
        let outputs = harness.owner_sends(OWNER_B, request(setup(7)));
        assert!(messages_to_owners(&outputs).contains(&(OWNER_B, close(7, Cause::ERROR))));
        let is_request = |event: &Event| matches!(event, Event::PlacementRequested(_));
        assert!(!harness.take_events().iter().any(is_request));
    }
}

#[test]
fn id_that_has_not_run_is_accepted_again() {
    let has_not_run: [FirstRequest; 3] = [
        |_, _| {},
        // Its connection was not established.
        |harness, task| drop(harness.offer(task, 0)),
        // Its host had no room.
        |harness, task| {
            let connection = harness.offer_and_send(task, 0);
            harness.host_sends(connection, host_close(7, Cause::NO_CAPACITY));
        },
    ];
    for first_request in has_not_run {
        harness_after(first_request).request(OWNER_B, 7);
    }
}
