//! What requests, attempts and connections add to the engine's tables is removed at each of their ends.

use maplethread::{Action, Micros, TaskId};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::owner::{FromOwner, Setup};

use super::support::*;
use crate::engine::{ConnectionId, DisconnectReason, OwnerId, TableSizes};

/// The longest answer timeout that a set-up may have.
const ONE_DAY_MS: f64 = 86_400_000.0;
const DAY: Micros = 86_400_000 * MS;

fn patient_setup(id: u64) -> Setup {
    Setup {
        answer_timeout_ms: Some(ONE_DAY_MS),
        ..setup(id)
    }
}

/// A request that is admitted and for which the policy has set the timer of its deadline.
fn admitted_request(harness: &mut Harness, owner: OwnerId, id: u64) -> TaskId {
    let (task, _) = harness.request_with_outputs(owner, patient_setup(id));
    harness.perform(Action::SetTimer {
        after: DAY,
        label: task.timer_label(),
    });
    task
}

/// Offers a task to host `a` and waits for a day for the answer.
fn offer_for_a_day(harness: &mut Harness, task: TaskId) {
    harness.schedule_offer(task, 0, DAY);
    harness.wake_policy();
    harness.turn();
}

/// A harness with a connection to host `a`, and the sizes of its tables.
fn harness_with_connection() -> (Harness, ConnectionId, TableSizes) {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(1);
    // The checks of the owners' first messages are over.
    harness.advance(10 * MS);
    let sizes = harness.engine.table_sizes();
    (harness, connection, sizes)
}

/// Guards against timers of ended requests that stay until the deadline, which the client chooses (review/3).
#[test]
fn ended_requests_leave_nothing_in_the_tables() {
    let ends: [fn(&mut Harness, TaskId, u64); 6] = [
        // Cancelled before it is offered.
        |harness, _, id| drop(harness.owner_sends(OWNER_A, owner_close(id, Cause::NORMAL))),
        // Rejected by the policy.
        |harness, task, _| {
            harness.perform(Action::Reject {
                task,
                retry_after: None,
            });
        },
        // Cancelled during an attempt.
        |harness, task, id| {
            offer_for_a_day(harness, task);
            harness.owner_sends(OWNER_A, owner_close(id, Cause::NORMAL));
        },
        // Failed by the policy during an attempt.
        |harness, task, _| {
            offer_for_a_day(harness, task);
            harness.perform(Action::Fail(task));
        },
        // Rejected by the host, then by the policy.
        |harness, task, id| {
            offer_for_a_day(harness, task);
            harness.host_sends(ConnectionId(1), host_close(id, Cause::NO_CAPACITY));
            harness.perform(Action::Reject {
                task,
                retry_after: None,
            });
        },
        // Placed, and completed.
        |harness, task, id| {
            offer_for_a_day(harness, task);
            harness.host_sends(ConnectionId(1), host_ready(id, "t"));
            harness.host_sends(ConnectionId(1), host_close(id, Cause::NORMAL));
            let id = maplethread_platform_wire::SetupId(id);
            harness.owner_sends(OWNER_A, FromOwner::Closed { id });
        },
    ];
    for (index, end) in ends.into_iter().enumerate() {
        let (mut harness, connection, before) = harness_with_connection();
        assert_eq!(connection, ConnectionId(1));
        for id in 100..300 {
            let task = admitted_request(&mut harness, OWNER_A, id);
            end(&mut harness, task, id);
        }
        assert_eq!(harness.engine.table_sizes(), before, "end {index}");
    }
}

#[test]
fn requests_cancelled_before_admission_leave_nothing_in_the_tables() {
    let (mut harness, _, before) = harness_with_connection();
    for round in 0..100 {
        for id in 0..300 {
            let id = 1_000 * (round + 1) + id;
            let message = Ok(request(patient_setup(id)));
            harness
                .engine
                .handle_owner_message(harness.now, OWNER_A, message);
        }
        for id in 0..300 {
            let message = Ok(owner_close(1_000 * (round + 1) + id, Cause::NORMAL));
            harness
                .engine
                .handle_owner_message(harness.now, OWNER_A, message);
        }
        assert!(harness.engine.table_sizes().queued_requests <= 300);
    }
    harness.turn();
    assert_eq!(harness.engine.table_sizes(), before);
}

#[test]
fn connections_of_owners_leave_nothing_in_the_tables() {
    let (mut harness, _, before) = harness_with_connection();
    for n in 100..400 {
        harness.connect_owner(OwnerId(n), ADDRESS_B);
        let message = Ok(request(patient_setup(n)));
        harness
            .engine
            .handle_owner_message(harness.now, OwnerId(n), message);
        if n % 2 == 0 {
            harness.half_close_owner(OwnerId(n));
        }
        harness.disconnect_owner(OwnerId(n));
    }
    harness.turn();
    assert_eq!(harness.engine.table_sizes(), before);
}

#[test]
fn attempts_and_their_connections_leave_no_timers() {
    let (mut harness, _, before) = harness_with_connection();
    harness.list_host("b", "127.0.0.1:2", "active", 0.0);
    for id in 100..200 {
        let task = admitted_request(&mut harness, OWNER_A, id);
        let connection = harness.offer_and_send(task, 1);
        for _ in 0..10 {
            // Each answer brings the next check of the connection forward or back.
            harness.advance(100 * MS);
            harness.host_sends(
                connection,
                maplethread_platform_wire::host::FromHost::Ignored,
            );
        }
        harness.lose_connection(connection, DisconnectReason::Broken);
        harness.perform(Action::Fail(task));
    }
    let sizes = harness.engine.table_sizes();
    assert_eq!(sizes.connections, before.connections);
    assert!(sizes.timers <= before.timers + 1, "{sizes:?}");
}

#[test]
fn handovers_on_hosts_that_are_never_listed_leave_nothing_in_the_tables() {
    let (mut harness, _, before) = harness_with_connection();
    for id in 100..400 {
        let handover = running_setup(id, &format!("unlisted-{id}"));
        harness.owner_sends(OWNER_B, request(handover));
    }
    assert_eq!(harness.engine.table_sizes().hosts, before.hosts + 300);
    // Their tasks fail, and the owner acknowledges the releases.
    harness.advance(8_000 * MS);
    for id in 100..400 {
        let id = maplethread_platform_wire::SetupId(id);
        harness.owner_sends(OWNER_B, FromOwner::Closed { id });
    }
    let after = harness.engine.table_sizes();
    assert_eq!((after.hosts, after.tasks), (before.hosts, 0));
}
