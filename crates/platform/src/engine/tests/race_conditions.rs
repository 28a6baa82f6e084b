//! Events that can arrive in either order, bursts of requests, and limits.

use maplethread::{AttemptOutcome, Event, TaskId};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::FromHost;
use maplethread_platform_wire::owner::{Setup, ToOwner};
use serde_json::json;

use super::support::*;
use crate::engine::requests::MAX_ADMISSIONS_PER_TURN;
use crate::engine::{ConnectionId, DisconnectReason, TableLimits};

/// Advances time until a connection is opened, for up to 1 s.
fn next_connect(harness: &mut Harness) -> ConnectionId {
    let outputs = (0..100)
        .map(|_| harness.advance(10 * MS))
        .find(|outputs| connects(outputs).next().is_some());
    first_connect(&outputs.expect("a connection is opened"))
}

/// The ids of the tasks that were admitted to the policy since the last call.
fn take_requested_ids(harness: &Harness) -> Vec<TaskId> {
    harness
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            Event::PlacementRequested(task) => Some(task.id),
            _ => None,
        })
        .collect()
}

#[test]
fn burst_of_one_owner_is_limited_per_turn_and_does_not_delay_another_owner() {
    let mut harness = Harness::new();
    for id in 1..=1000 {
        harness
            .engine
            .handle_owner_message(harness.now, OWNER_A, Ok(request(setup(id))));
    }
    harness
        .engine
        .handle_owner_message(harness.now, OWNER_B, Ok(request(setup(2000))));
    harness.turn();
    let first = take_requested_ids(&harness);
    assert_eq!(first.len(), MAX_ADMISSIONS_PER_TURN);
    // The request of B arrived last and is admitted second. The others are admitted in the next turns, without further
    // events.
    assert_eq!(first[1], TaskId(1001));
    assert_eq!(harness.engine.next_timeout(), Some(0));
    // Queued requests that are cancelled are never admitted, nor are those of an owner that has half-closed.
    harness.owner_sends(OWNER_A, owner_close(500, Cause::NORMAL));
    let second = take_requested_ids(&harness);
    assert_eq!(second.len(), MAX_ADMISSIONS_PER_TURN);
    harness.half_close_owner(OWNER_A);
    harness.owner_sends(OWNER_A, request(setup(3000)));
    assert_eq!(
        (
            take_requested_ids(&harness),
            harness.engine.pending_request_count(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1, 1)
    );
}

#[test]
fn rejects_unadmitted_request_once_before_its_deadline() {
    let mut harness = Harness::new();
    for id in 1..=200 {
        let setup = Setup {
            answer_timeout_ms: Some(100.0),
            ..setup(id)
        };
        harness
            .engine
            .handle_owner_message(harness.now, OWNER_A, Ok(request(setup)));
    }
    harness.turn();
    let admitted = take_requested_ids(&harness).len();
    // The next turn is late, as on an overloaded machine.
    harness.now += 95 * MS;
    let answered = messages_to_owners(&harness.turn());
    assert_eq!(answered.len(), 200 - admitted);
    assert!(answered.iter().all(|(_, message)| matches!(
        message,
        ToOwner::Close {
            cause: Cause::NO_CAPACITY,
            ..
        }
    )));
    assert_eq!(
        (
            take_requested_ids(&harness).len(),
            harness.engine.pending_request_count()
        ),
        (0, admitted)
    );
}

#[test]
fn rejects_requests_beyond_the_description_limit_until_a_task_is_placed() {
    let mut harness = Harness::new();
    harness.engine.set_limits(TableLimits {
        max_setup_bytes: 10_000,
        ..TableLimits::default()
    });
    let long = |id| {
        request(Setup {
            description: "x".repeat(6_000),
            ..setup(id)
        })
    };
    assert_eq!(
        messages_to_owners(&harness.owner_sends(OWNER_A, long(7))),
        []
    );
    assert_eq!(
        messages_to_owners(&harness.owner_sends(OWNER_B, long(8))),
        [(OWNER_B, close(8, Cause::NO_CAPACITY))]
    );
    let task = TaskId(1);
    let connection = harness.offer_and_send(task, 0);
    harness.host_sends(connection, host_ready(7, "t"));
    assert_eq!(
        messages_to_owners(&harness.owner_sends(OWNER_B, long(9))),
        [],
        "the description of a running task is not kept"
    );
}

#[test]
fn applies_result_that_arrives_before_the_handover_of_its_task() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    // The release of the host arrives before the handover.
    harness.host_sends(connection, host_close(8, Cause::RESET));
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(8, "a")));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(8, Cause::RESET))]
    );
    // The owner's close arrives before the handover: it is passed on to the host, and the owner gets no release.
    harness.owner_sends(OWNER_B, owner_close(9, Cause::NORMAL));
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(9, "a")));
    assert!(sends(&outputs, connection, kind::CLOSE) && messages_to_owners(&outputs).is_empty());
    let outputs = harness.host_sends(connection, host_close(9, Cause::CANCELLED));
    assert!(messages_to_owners(&outputs).is_empty());
    // A task is not ended by the release of another host, by a late rejection or by an expired release.
    harness.list_host("b", "127.0.0.1:77", "active", 0.0);
    let other = harness.request(OWNER_A, 10);
    let second = harness.offer_and_send(other, 1);
    harness.host_sends(second, host_close(11, Cause::RESET));
    harness.host_sends(connection, host_close(12, Cause::NO_CAPACITY));
    assert_eq!(
        messages_to_owners(&harness.owner_sends(OWNER_A, request(running_setup(11, "a")))),
        []
    );
    assert_eq!(
        messages_to_owners(&harness.owner_sends(OWNER_A, request(running_setup(12, "a")))),
        []
    );
    harness.host_sends(connection, host_close(13, Cause::RESET));
    harness.advance(11_000 * MS);
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(13, "a")));
    assert!(!messages_to_owners(&outputs).contains(&(OWNER_A, close(13, Cause::RESET))));
    // Results of tasks that are never handed over are dropped.
    for id in 100..20_000 {
        harness.engine.handle_owner_message(
            harness.now,
            OWNER_B,
            Ok(owner_close(id, Cause::NORMAL)),
        );
    }
    assert!(harness.engine.table_sizes().early_results <= 1 << 13);
}

#[test]
fn repeats_close_on_the_next_connection_until_the_host_confirms_it() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    assert!(sends(
        &harness.owner_sends(OWNER_A, owner_close(7, Cause::NORMAL)),
        connection,
        kind::CLOSE
    ));
    harness.lose_connection(connection, DisconnectReason::Broken);
    // The next connection breaks before it is established; the close is repeated on the one after it.
    let second = next_connect(&mut harness);
    harness.lose_connection(second, DisconnectReason::Broken);
    let third = next_connect(&mut harness);
    harness.establish(third);
    assert!(sends(&harness.turn(), third, kind::CLOSE));
    // Once the host has released the task, the close is not repeated.
    assert!(
        messages_to_owners(&harness.host_sends(third, host_close(7, Cause::CANCELLED))).is_empty()
    );
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

#[test]
fn does_not_send_waiting_setup_after_its_owner_disconnects() {
    for is_reset in [false, true] {
        let mut harness = Harness::new();
        let task = harness.request(OWNER_A, 7);
        let connection = first_connect(&harness.offer(task, 0));
        // The end of the owner's connection and the establishment of the host's are handled in the same turn.
        if is_reset {
            harness.disconnect_owner(OWNER_A);
        } else {
            harness.half_close_owner(OWNER_A);
        }
        harness.establish(connection);
        let outputs = harness.turn();
        assert!(!sends(&outputs, connection, kind::OPEN), "{outputs:?}");
        assert_eq!(
            harness.take_attempt_results(),
            [(0, AttemptOutcome::ConnectFailed, true)]
        );
    }
}

#[test]
fn probes_idle_connection_less_often_when_probes_are_charged() {
    let count_probes = |probe_fee: f64| {
        let mut settings = settings();
        settings["allowed"]["probes"] = json!(true);
        settings["fees"] = json!({"probe": probe_fee});
        let mut harness = Harness::with_settings(&settings);
        let (_, connection) = harness.start_task(7);
        let mut count = 0;
        for _ in 0..100 {
            let outputs = harness.advance(100 * MS);
            if sends(&outputs, connection, kind::PROBE) {
                count += 1;
                harness.host_sends(connection, FromHost::Probed { is_healthy: true });
            }
        }
        // Now the host stops answering. The owner gets the release within the 8 s of the platform protocol.
        let outputs = harness.advance(7_900 * MS);
        assert!(messages_to_owners(&outputs).contains(&(OWNER_A, close(7, Cause::RESET))));
        count
    };
    assert!(
        (8..=10).contains(&count_probes(0.0)),
        "{}",
        count_probes(0.0)
    );
    assert!(
        (3..=4).contains(&count_probes(0.004)),
        "{}",
        count_probes(0.004)
    );
}

#[test]
fn sends_releases_on_another_connection_once_an_owner_has_half_closed() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.start_task(8);
    let task = harness.request(OWNER_B, 9);
    harness.offer_and_send(task, 0);
    harness.host_sends(connection, host_ready(9, "t"));
    // The half-close is reported before the last messages of the connection are read.
    harness.half_close_owner(OWNER_A);
    let outputs = harness.owner_sends(OWNER_A, owner_close(7, Cause::NORMAL));
    assert!(sends(&outputs, connection, kind::CLOSE));
    // Releases are sent on another connection, even for tasks that are then handed over on the half-closed one.
    let outputs = harness.host_sends(connection, host_close(8, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, close(8, Cause::NORMAL))]
    );
    harness.owner_sends(OWNER_A, request(running_setup(10, "a")));
    let outputs = harness.host_sends(connection, host_close(10, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, close(10, Cause::NORMAL))]
    );
}
