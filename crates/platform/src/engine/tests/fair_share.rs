//! Full tables: whose requests and handed-over tasks they take back, and what those clients hear.

use maplethread::{Action, AttemptOutcome, Event};
use maplethread_platform_wire::owner::{FromOwner, ToOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::support::*;
use crate::engine::{ConnectionId, Output, OwnerId, TableLimits};

/// A client that hands over tasks which no host knows.
const FAULTY: OwnerId = OwnerId(3);

fn harness_with_limits(limits: TableLimits) -> Harness {
    let mut harness = Harness::new();
    harness.engine.set_limits(limits);
    harness.connect_owner(FAULTY, ADDRESS_B);
    harness
}

fn max_unconfirmed(max_unconfirmed_tasks: usize) -> TableLimits {
    TableLimits {
        max_unconfirmed_tasks,
        ..TableLimits::default()
    }
}

/// Hands over tasks with these ids on host `a`. Returns the ids of those that are released at once, with their owners.
fn hand_over(
    harness: &mut Harness,
    owner: OwnerId,
    ids: std::ops::Range<u64>,
) -> Vec<(OwnerId, SetupId)> {
    let mut released = Vec::new();
    for id in ids {
        let outputs = harness.owner_sends(owner, request(running_setup(id, "a")));
        for connection in connects(&outputs).collect::<Vec<_>>() {
            harness.establish(connection);
        }
        released.extend(releases(&outputs));
    }
    released
}

/// The connection to host `a`.
fn host_connection(harness: &Harness) -> ConnectionId {
    let mut connections = harness.engine.connections.keys();
    *connections.next().expect("a connection to the host")
}

fn releases(outputs: &[Output]) -> Vec<(OwnerId, SetupId)> {
    messages_to_owners(outputs)
        .into_iter()
        .filter_map(|(owner, message)| match message {
            ToOwner::Close {
                id,
                cause: Cause::RESET,
            } => Some((owner, id)),
            _ => None,
        })
        .collect()
}

/// Guards against made-up tasks that fill the table, so that the tasks of owners are ignored and never released (review/8).
#[test]
fn tasks_of_a_tested_connection_displace_made_up_ones() {
    let mut harness = harness_with_limits(max_unconfirmed(20));
    assert_eq!(hand_over(&mut harness, FAULTY, 100..120), []);
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_A, FromOwner::Probe { id });
    let released = hand_over(&mut harness, OWNER_A, 1..20);
    let displaced: Vec<_> = (101..120).rev().map(|id| (FAULTY, SetupId(id))).collect();
    assert_eq!(released, displaced, "the faulty client hears of it");
    // Made-up tasks do not displace those of the owner: they are released at once.
    let released = hand_over(&mut harness, FAULTY, 200..210);
    let refused: Vec<_> = (200..210).map(|id| (FAULTY, SetupId(id))).collect();
    assert_eq!(released, refused);
    let host = host_connection(&harness);
    for id in 1..20 {
        let outputs = harness.host_sends(host, host_close(id, Cause::NORMAL));
        assert_eq!(
            messages_to_owners(&outputs),
            [(OWNER_A, close(id, Cause::NORMAL))]
        );
    }
}

/// Guards against a client that keeps the table full because it came first.
#[test]
fn equally_credible_connections_share_the_table() {
    let mut harness = harness_with_limits(max_unconfirmed(20));
    hand_over(&mut harness, FAULTY, 100..120);
    let released = hand_over(&mut harness, OWNER_A, 1..16);
    let count = |owner| released.iter().filter(|(other, _)| *other == owner).count();
    assert_eq!((count(FAULTY), count(OWNER_A)), (10, 5), "ten tasks each");
    // The tasks of a connection that has ended count as before. They are not released, as nobody can hear it.
    harness.disconnect_owner(FAULTY);
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_A, FromOwner::Probe { id });
    assert_eq!(hand_over(&mut harness, OWNER_A, 16..26), []);
    assert_eq!(harness.engine.table_sizes().tasks, 20);
}

/// Guards against a displaced task that goes on at its host, or in the policy's accounts.
#[test]
fn displaced_task_is_closed_at_its_host_and_finished_in_the_policy() {
    let mut harness = harness_with_limits(max_unconfirmed(1));
    hand_over(&mut harness, FAULTY, 100..101);
    let host = host_connection(&harness);
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_A, FromOwner::Probe { id });
    harness.take_events();
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(1, "a")));
    assert!(sends(&outputs, host, kind::CLOSE));
    let events = harness.take_events();
    assert!(events.iter().any(|event| matches!(
        event,
        Event::AttemptFinished { result, .. } if result.outcome == AttemptOutcome::Cancelled && result.closes_task
    )));
    assert_eq!(harness.engine.table_sizes().tasks, 1);
}

/// Guards against a table full of made-up tasks that leaves no room for requests.
#[test]
fn request_displaces_a_made_up_task_if_the_table_is_full() {
    let mut harness = harness_with_limits(TableLimits {
        max_tasks: 20,
        ..max_unconfirmed(20)
    });
    hand_over(&mut harness, FAULTY, 100..120);
    harness.request(OWNER_A, 1);
    assert_eq!(harness.engine.table_sizes().tasks, 20);
}

/// Guards against a client whose unanswered requests leave no room for those of others.
#[test]
fn request_displaces_the_latest_one_of_the_client_with_the_most() {
    let mut harness = harness_with_limits(TableLimits {
        max_pending_requests: 10,
        ..TableLimits::default()
    });
    for id in 100..110 {
        harness.request(FAULTY, id);
    }
    let offered = harness.request_with_outputs(OWNER_A, setup(1));
    assert_eq!(
        messages_to_owners(&offered.1),
        [(FAULTY, close(109, Cause::NO_CAPACITY))]
    );
    // The client with the most is refused itself.
    let outputs = harness.owner_sends(FAULTY, request(setup(110)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(FAULTY, close(110, Cause::NO_CAPACITY))]
    );
    for id in 2..=5 {
        harness.request(OWNER_A, id);
    }
    let outputs = harness.owner_sends(OWNER_A, request(setup(6)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(6, Cause::NO_CAPACITY))],
        "both have five"
    );
}

/// Guards against a refusal of a request that may have run.
#[test]
fn request_that_was_offered_is_not_displaced() {
    let mut harness = harness_with_limits(TableLimits {
        max_pending_requests: 2,
        ..TableLimits::default()
    });
    let (first, second) = (harness.request(FAULTY, 100), harness.request(FAULTY, 101));
    harness.offer_and_send(first, 0);
    harness.perform(Action::Offer {
        task: second,
        machine: maplethread::MachineId(0),
        timeout: 300 * MS,
    });
    let outputs = harness.owner_sends(OWNER_A, request(setup(1)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(1, Cause::NO_CAPACITY))]
    );
}

/// Guards against a client whose long texts leave no room for the requests of others.
#[test]
fn request_displaces_one_of_the_client_with_the_longest_texts() {
    let mut harness = harness_with_limits(TableLimits {
        max_setup_bytes: 1_000,
        ..TableLimits::default()
    });
    let long = |id| {
        let mut setup = setup(id);
        setup.description = "x".repeat(450);
        setup
    };
    for id in 100..102 {
        harness.owner_sends(FAULTY, request(long(id)));
    }
    let outputs = harness.owner_sends(OWNER_A, request(long(1)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(FAULTY, close(101, Cause::NO_CAPACITY))]
    );
    let outputs = harness.owner_sends(OWNER_A, request(long(2)));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(2, Cause::NO_CAPACITY))]
    );
}

/// Guards against clients that hand over made-up tasks and hold the descriptors of owners.
#[test]
fn connection_with_made_up_tasks_is_closed_before_that_of_an_owner() {
    let mut harness = harness_with_limits(TableLimits::default());
    harness.start_task(7);
    harness.disconnect_owner(OWNER_B);
    harness.now += MS;
    hand_over(&mut harness, FAULTY, 100..101);
    assert_eq!(harness.first_to_close(true), Some(FAULTY));
}

/// Guards against an owner whose connection is closed, with a release still to come, to accept clients that may be faulty.
#[test]
fn connection_with_running_tasks_is_closed_last() {
    let mut harness = harness_with_limits(TableLimits::default());
    let (_, host) = harness.start_task(7);
    harness.disconnect_owner(FAULTY);
    harness.now += MS;
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_B, FromOwner::Probe { id });
    assert_eq!(harness.first_to_close(true), Some(OWNER_B));
    harness.disconnect_owner(OWNER_B);
    assert_eq!(harness.first_to_close(false), None);
    assert_eq!(harness.first_to_close(true), Some(OWNER_A));
    harness.host_sends(host, host_close(7, Cause::NORMAL));
    assert_eq!(harness.first_to_close(false), Some(OWNER_A));
}
