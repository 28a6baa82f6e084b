//! Owners' connections and the messages received and sent on them.

use std::net::IpAddr;

use maplethread::{Action, AttemptOutcome, Event, MachineId, ServiceId, Task};
use maplethread_platform_wire::owner::{DecodeError, Setup, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::support::*;
use crate::engine::{Output, OwnerId};

#[test]
fn queues_release_for_another_owner_when_its_own_is_disconnected() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.disconnect_owner(OWNER_A);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(messages_to_owners(&outputs), []);
    // The release is queued until a task of another owner is placed. A client that has only sent requests does not get it.
    let task = harness.request(OWNER_B, 8);
    assert!(sends(&harness.offer(task, 0), connection, kind::OPEN));
    let outputs = harness.host_sends(connection, host_ready(8, "t"));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, ready(8, "t")), (OWNER_B, close(7, Cause::NORMAL))]
    );
}

#[test]
fn clients_without_placed_tasks_do_not_receive_releases_of_other_owners() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    // Many clients send requests later and none is placed. The owner's connection still has a higher priority than theirs.
    for n in 0..50 {
        harness.now += MS;
        let address = IpAddr::from([10, 0, 1, n as u8]);
        harness.connect_owner(OwnerId(100 + n), address);
        let task = harness.request(OwnerId(100 + n), 100 + n);
        harness.perform(Action::Reject {
            task,
            retry_after: None,
        });
    }
    harness.disconnect_owner(OWNER_B);
    assert_eq!(harness.first_to_close(true), Some(OwnerId(100)));
    harness.disconnect_owner(OWNER_A);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(messages_to_owners(&outputs), []);
}

#[test]
fn rejects_setup_id_in_use_and_keeps_the_first_request() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let outputs = harness.owner_sends(OWNER_B, request(setup(7)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, close(7, Cause::NEVER_SENT))]
    );
    assert_eq!(
        (
            harness.take_events(),
            harness.engine.pending_request_count()
        ),
        (vec![], 1)
    );
    let connection = harness.offer_and_send(task, 0);
    let outputs = harness.host_sends(connection, host_ready(7, "t"));
    assert_eq!(messages_to_owners(&outputs), [(OWNER_A, ready(7, "t"))]);
}

#[test]
fn closes_connection_that_repeats_its_own_pending_setup_id() {
    let mut harness = Harness::new();
    harness.request(OWNER_A, 7);
    let outputs = harness.owner_sends(OWNER_A, request(setup(7)));
    assert_eq!(outputs, [Output::CloseOwner(OWNER_A)]);
    assert!(matches!(
        harness.take_events()[..],
        [Event::ClientDisconnected(_)]
    ));
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

#[test]
fn rejects_invalid_requests() {
    let mut harness = Harness::new();
    let unknown_class = Setup {
        class: "nosuch".into(),
        ..setup(7)
    };
    let missing_key = Setup {
        class: "batch".into(),
        ..setup(8)
    };
    for setup in [unknown_class, missing_key] {
        let id = setup.id;
        let outputs = harness.owner_sends(OWNER_A, request(setup));
        assert_eq!(
            messages_to_owners(&outputs),
            [(
                OWNER_A,
                ToOwner::Close {
                    id,
                    cause: Cause::ERROR
                }
            )]
        );
    }
    harness.engine.handle_owner_message(
        harness.now,
        OWNER_A,
        Err(DecodeError::InvalidField {
            id: SetupId(9),
            field: "left",
            expected: "a time",
        }),
    );
    assert_eq!(
        messages_to_owners(&harness.turn()),
        [(OWNER_A, close(9, Cause::ERROR))]
    );
    harness
        .engine
        .handle_owner_message(harness.now, OWNER_A, Err(DecodeError::LineTooLong));
    assert_eq!(harness.turn(), [Output::CloseOwner(OWNER_A)]);
    assert_eq!(
        (harness.take_events(), harness.engine.table_sizes().tasks),
        (vec![], 0)
    );
}

#[test]
fn closes_owner_without_messages_within_three_seconds_and_keeps_one_that_sent_a_request() {
    let mut harness = Harness::new();
    harness.request(OWNER_A, 7);
    let outputs = harness.advance(2_900 * MS);
    assert!(
        outputs.contains(&Output::CloseOwner(OWNER_B))
            && !outputs.contains(&Output::CloseOwner(OWNER_A))
    );
}

#[test]
fn lowest_priority_owner_has_sent_nothing_and_has_no_pending_request() {
    let mut harness = Harness::new();
    harness.request(OWNER_A, 7);
    assert_eq!(harness.first_to_close(true), Some(OWNER_B));
    harness.disconnect_owner(OWNER_B);
    assert_eq!(harness.first_to_close(true), None);
}

#[test]
fn requests_that_are_cancelled_or_whose_owner_disconnects_get_no_answer() {
    let mut harness = Harness::new();
    let (first, second) = (harness.request(OWNER_A, 7), harness.request(OWNER_B, 8));
    let connection = harness.offer_and_send(first, 0);
    harness.offer(second, 0);
    let outputs = harness.owner_sends(OWNER_A, owner_close(7, Cause::NORMAL));
    assert!(sends(&outputs, connection, kind::CLOSE) && messages_to_owners(&outputs).is_empty());
    harness.disconnect_owner(OWNER_B);
    assert!(sends(&harness.turn(), connection, kind::CLOSE));
    let events = harness.take_events();
    let disconnected: Vec<&Event> = events
        .iter()
        .filter(|event| matches!(event, Event::ClientDisconnected(_)))
        .collect();
    assert_eq!(
        disconnected,
        [
            &Event::ClientDisconnected(first),
            &Event::ClientDisconnected(second)
        ]
    );
    assert_eq!(
        (
            harness.engine.table_sizes().tasks,
            harness.engine.pending_request_count()
        ),
        (0, 0)
    );
}

#[test]
fn owner_can_close_its_task_on_any_connection_and_gets_no_release() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let outputs = harness.owner_sends(OWNER_B, owner_close(7, Cause::NORMAL));
    assert!(sends(&outputs, connection, kind::CLOSE));
    let outputs = harness.host_sends(connection, host_close(7, Cause::CANCELLED));
    assert_eq!(
        (messages_to_owners(&outputs), harness.take_attempt_results()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
}

#[test]
fn sends_relocation_to_the_owner_once_and_leaves_the_close_to_the_host() {
    let mut harness = Harness::new();
    let (task, connection) = harness.start_task(7);
    // A close to the host would kill the task, and the owner would have to receive a release.
    assert_eq!(
        harness.perform(Action::Migrate(task)),
        [Output::SendToOwner(OWNER_A, relocate(7))]
    );
    assert_eq!(harness.perform(Action::Migrate(task)), []);
    let outputs = harness.host_sends(connection, host_close(7, Cause::CANCELLED));
    assert_eq!(
        (messages_to_owners(&outputs), harness.take_attempt_results()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
    // If the task completes before it is relocated, the owner gets the release. Without a connected owner no relocation is
    // sent.
    let (task, connection) = harness.start_task(8);
    harness.perform(Action::Migrate(task));
    let outputs = harness.host_sends(connection, host_close(8, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(8, Cause::NORMAL))]
    );
    let (task, _) = harness.start_task(9);
    harness.disconnect_owner(OWNER_A);
    assert_eq!(harness.perform(Action::Migrate(task)), []);
}

#[test]
fn adopts_a_running_task_and_connects_to_its_host() {
    let mut harness = Harness::new();
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    let connection = first_connect(&outputs);
    harness.establish(connection);
    let events = harness.take_events();
    assert!(matches!(
        events[..],
        [Event::TaskAdopted {
            task: Task {
                service: ServiceId(9),
                ..
            },
            machine: MachineId(0)
        }]
    ));
    // A repeated handover is ignored. Tasks of a host that is never listed fail after the timeout.
    harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    assert_eq!(harness.take_events(), []);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NORMAL))]
    );
    harness.owner_sends(OWNER_A, request(running_setup(8, "unlisted")));
    let outputs = harness.advance(7_900 * MS);
    assert!(messages_to_owners(&outputs).contains(&(OWNER_A, close(8, Cause::RESET))));
}

#[test]
fn marks_a_task_with_a_recently_used_name_as_resubmission() {
    let mut harness = Harness::new();
    let is_resubmission = |harness: &mut Harness, id: u64, task_name: &str| {
        harness.owner_sends(
            OWNER_A,
            request(Setup {
                task_name: task_name.into(),
                ..setup(id)
            }),
        );
        harness
            .take_events()
            .into_iter()
            .find_map(|event| match event {
                Event::PlacementRequested(task) => Some(task.is_resubmission),
                _ => None,
            })
    };
    assert_eq!(is_resubmission(&mut harness, 7, "one"), Some(false));
    assert_eq!(is_resubmission(&mut harness, 8, "two"), Some(false));
    assert_eq!(is_resubmission(&mut harness, 9, "one"), Some(true));
    // Names expire.
    harness.now += 120_000 * MS;
    assert_eq!(is_resubmission(&mut harness, 10, "one"), Some(false));
}

#[test]
fn answers_all_pending_requests_at_the_drain_deadline() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = harness.offer_and_send(task, 0);
    harness.engine.drain_until(harness.now + 100 * MS);
    assert_eq!(messages_to_owners(&harness.turn()), []);
    harness.now += 100 * MS;
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::ERROR))]
    );
    assert!(sends(&outputs, connection, kind::CLOSE));
    assert_eq!(harness.engine.pending_request_count(), 0);
}

/// Guards against a faulty client that cancels all that it requests and waits for good.
#[test]
fn client_that_has_only_cancelled_its_requests_is_disconnected_in_time() {
    let mut harness = Harness::new();
    harness.advance(3_000 * MS);
    let (cancels, waits, owner) = (OwnerId(21), OwnerId(22), OwnerId(23));
    for id in [cancels, waits, owner] {
        harness.connect_owner(id, ADDRESS_A);
    }
    harness.request(cancels, 100);
    harness.owner_sends(cancels, owner_close(100, Cause::NORMAL));
    harness.request(waits, 101);
    harness.owner_sends(waits, owner_close(101, Cause::NORMAL));
    harness.request(waits, 102);
    // An owner with a running task may cancel a request.
    let task = harness.request(owner, 103);
    let host = harness.offer_and_send(task, 0);
    harness.host_sends(host, host_ready(103, "t"));
    harness.request(owner, 104);
    harness.owner_sends(owner, owner_close(104, Cause::NORMAL));
    let outputs = harness.advance(2_900 * MS);
    let closed: Vec<&Output> = outputs
        .iter()
        .filter(|output| matches!(output, Output::CloseOwner(_)))
        .collect();
    assert_eq!(closed, [&Output::CloseOwner(cancels)]);
}

/// Guards against a faulty client that hears nothing of a task on a host that does not exist.
#[test]
fn task_on_an_unlisted_host_is_released_within_three_seconds() {
    let mut harness = Harness::new();
    harness.owner_sends(OWNER_A, request(running_setup(7, "unlisted")));
    let outputs = harness.advance(2_900 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}
