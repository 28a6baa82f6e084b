//! Which connections get the releases and relocations of tasks whose own connections have ended, and which do not.

use std::net::IpAddr;

use maplethread::{Action, Micros, TaskId};
use maplethread_platform_wire::owner::{DecodeError, FromOwner};
use maplethread_platform_wire::{Cause, SetupId};

use super::support::*;
use crate::engine::{Output, OwnerConnectionEnd, OwnerId};

const OWNER_A_AGAIN: OwnerId = OwnerId(3);
const STRANGER: OwnerId = OwnerId(9);
const RELEASE_7: (OwnerId, SetupId) = (OWNER_A_AGAIN, SetupId(7));

/// The connections that get a release, with the ids of the tasks.
fn releases(outputs: &[Output]) -> Vec<(OwnerId, SetupId)> {
    use maplethread_platform_wire::owner::ToOwner;
    messages_to_owners(outputs)
        .into_iter()
        .filter_map(|(owner, message)| match message {
            ToOwner::Close { id, .. } => Some((owner, id)),
            _ => None,
        })
        .collect()
}

fn probe(harness: &mut Harness, owner: OwnerId) -> Vec<Output> {
    harness.owner_sends(owner, FromOwner::Probe { id: SetupId(1) })
}

/// A request that the policy rejects. Returns the outputs.
fn rejected_request(harness: &mut Harness, owner: OwnerId, id: u64) -> Vec<Output> {
    let (task, mut outputs) = harness.request_with_outputs(owner, setup(id));
    outputs.extend(harness.perform(Action::Reject {
        task,
        retry_after: None,
    }));
    outputs
}

/// Places a task of any owner on host `a`, to which there is a connection. Returns the outputs.
fn place(harness: &mut Harness, owner: OwnerId, id: u64) -> Vec<Output> {
    let (task, mut outputs) = harness.request_with_outputs(owner, setup(id));
    let connection = harness.offer_and_send(task, 0);
    outputs.extend(harness.host_sends(connection, host_ready(id, "t")));
    outputs
}

/// Owner `A` has a running task, 7, and its connection ends. Returns the connection to the host.
fn start_task_and_disconnect_owner(harness: &mut Harness) -> (TaskId, crate::engine::ConnectionId) {
    let (task, connection) = harness.start_task(7);
    harness.advance(1_000 * MS);
    harness.disconnect_owner(OWNER_A);
    (task, connection)
}

/// Guards against a release that is dropped, because its owner's new connection has no placed task yet: the hosts are full.
#[test]
fn release_reaches_new_connection_of_owner_whose_requests_were_all_rejected() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    probe(&mut harness, OWNER_A_AGAIN);
    rejected_request(&mut harness, OWNER_A_AGAIN, 8);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), [RELEASE_7]);
}

/// Guards against releases that wait for a placement although their owner has connected again.
#[test]
fn release_without_any_owner_is_sent_as_soon_as_a_likely_owner_connects() {
    let connect_again: [fn(&mut Harness) -> Vec<Output>; 3] = [
        |harness| probe(harness, OWNER_A_AGAIN),
        |harness| rejected_request(harness, OWNER_A_AGAIN, 8),
        |harness| harness.owner_sends(OWNER_A_AGAIN, request(running_setup(8, "a"))),
    ];
    for connect_again in connect_again {
        let mut harness = Harness::new();
        let (_, connection) = start_task_and_disconnect_owner(&mut harness);
        let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
        assert_eq!(releases(&outputs), []);
        harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
        let outputs = connect_again(&mut harness);
        assert!(releases(&outputs).contains(&RELEASE_7), "{outputs:?}");
    }
}

/// Guards against a release that is dropped without a trace while no connection of an owner is open.
#[test]
fn release_is_kept_until_an_owner_connects_however_late() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.host_sends(connection, host_close(7, Cause::NORMAL));
    harness.advance(60_000 * MS);
    assert_eq!(harness.engine.table_sizes().orphaned_releases, 1);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    let outputs = place(&mut harness, OWNER_A_AGAIN, 8);
    assert!(releases(&outputs).contains(&RELEASE_7));
    // Another owner gets it too, but not when the time of the platform protocol is over.
    let other = OwnerId(4);
    harness.connect_owner(other, ADDRESS_B);
    let outputs = place(&mut harness, other, 9);
    assert!(releases(&outputs).contains(&(other, SetupId(7))));
    harness.advance(8_000 * MS);
    harness.connect_owner(STRANGER, ADDRESS_A);
    assert!(!releases(&probe(&mut harness, STRANGER)).contains(&(STRANGER, SetupId(7))));
}

/// Guards against a release that only another owner receives, whose connection is verified, while the task's owner has
/// connected anew.
#[test]
fn release_reaches_the_new_connection_of_its_owner_beside_a_verified_connection_of_another() {
    let connect_again: [fn(&mut Harness); 2] = [
        // It is connected before the task ends, or after that.
        |harness| {
            harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
            probe(harness, OWNER_A_AGAIN);
            rejected_request(harness, OWNER_A_AGAIN, 8);
        },
        |_| {},
    ];
    for connect_again in connect_again {
        let mut harness = Harness::new();
        place(&mut harness, OWNER_B, 6);
        harness.connect_owner(STRANGER, ADDRESS_A);
        probe(&mut harness, STRANGER);
        let (_, connection) = start_task_and_disconnect_owner(&mut harness);
        connect_again(&mut harness);
        let mut outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
        harness.connect_owner(OwnerId(4), ADDRESS_A);
        outputs.extend(probe(&mut harness, OwnerId(4)));
        outputs.extend(rejected_request(&mut harness, OwnerId(4), 9));
        let recipients: Vec<OwnerId> = releases(&outputs).iter().map(|&(owner, _)| owner).collect();
        assert!(recipients.contains(&OWNER_B) && recipients.contains(&OwnerId(4)));
        let is_again_connected = harness.engine.owners.contains_key(&OWNER_A_AGAIN);
        assert_eq!(recipients.contains(&OWNER_A_AGAIN), is_again_connected);
        // A client that has only checked the placer's health gets none beside better ones.
        assert!(!recipients.contains(&STRANGER));
    }
}

/// Guards against clients that receive a release of another one in place of the answer that they wait for.
#[test]
fn connection_that_only_waits_for_its_first_answer_gets_no_release_of_another() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    let task = harness.request(OWNER_A_AGAIN, 8);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), []);
    // It gets it with its answer.
    let outputs = harness.perform(Action::Reject {
        task,
        retry_after: None,
    });
    assert_eq!(releases(&outputs), [(OWNER_A_AGAIN, SetupId(8)), RELEASE_7]);
}

/// Guards against releases that only a faulty client receives.
#[test]
fn faulty_clients_get_no_release_of_another_connection() {
    let misbehave: [fn(&mut Harness); 6] = [
        |_| {},
        // It only repeats requests that fail.
        |harness| {
            for id in 100..110 {
                rejected_request(harness, STRANGER, id);
            }
        },
        // It only checks the placer's health.
        |harness| drop(probe(harness, STRANGER)),
        // It cancels its requests and passes a health check.
        |harness| {
            for id in 100..110 {
                harness.request(STRANGER, id);
                harness.owner_sends(STRANGER, owner_close(id, Cause::NORMAL));
            }
            probe(harness, STRANGER);
        },
        // It has sent an invalid field besides a health check and a valid request.
        |harness| {
            probe(harness, STRANGER);
            rejected_request(harness, STRANGER, 100);
            let error = DecodeError::InvalidField {
                id: SetupId(9),
                field: "left",
                expected: "a time",
            };
            harness
                .engine
                .handle_owner_message(harness.now, STRANGER, Err(error));
        },
        // It hands over a task that no host knows, on a host that is not listed.
        |harness| {
            harness.owner_sends(STRANGER, request(running_setup(100, "unlisted")));
        },
    ];
    for (index, misbehave) in misbehave.into_iter().enumerate() {
        let mut harness = Harness::new();
        harness.connect_owner(STRANGER, IpAddr::from([10, 0, 0, 9]));
        misbehave(&mut harness);
        harness.disconnect_owner(OWNER_B);
        let (_, connection) = start_task_and_disconnect_owner(&mut harness);
        let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
        assert_eq!(releases(&outputs), [], "{index}");
        // The owner gets it although the faulty client is connected.
        harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
        let outputs = probe(&mut harness, OWNER_A_AGAIN);
        assert_eq!(releases(&outputs), [RELEASE_7], "{index}");
    }
}

#[test]
fn invalid_messages_and_cancelled_requests_outweigh_the_address_of_the_owner() {
    let mut harness = Harness::new();
    harness.connect_owner(STRANGER, ADDRESS_A);
    harness.request(STRANGER, 100);
    harness.owner_sends(STRANGER, owner_close(100, Cause::NORMAL));
    probe(&mut harness, STRANGER);
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), []);
}

#[test]
fn release_prefers_the_most_likely_connection_and_is_sent_to_a_verified_one_too() {
    let mut harness = Harness::new();
    harness.connect_owner(STRANGER, ADDRESS_A);
    probe(&mut harness, STRANGER);
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    probe(&mut harness, OWNER_A_AGAIN);
    rejected_request(&mut harness, OWNER_A_AGAIN, 8);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), [RELEASE_7]);
    // It has not acknowledged the release, so a verified owner gets it as well.
    let outputs = place(&mut harness, OWNER_B, 9);
    assert_eq!(releases(&outputs), [(OWNER_B, SetupId(7))]);
}

#[test]
fn acknowledged_release_is_not_sent_again() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    probe(&mut harness, OWNER_A_AGAIN);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), [RELEASE_7]);
    let closed = FromOwner::Closed { id: SetupId(7) };
    // Neither the acknowledgement of another client counts, nor that of one that is only possibly the owner.
    harness.owner_sends(OWNER_B, closed.clone());
    harness.owner_sends(OWNER_A_AGAIN, closed.clone());
    assert_eq!(harness.engine.table_sizes().orphaned_releases, 1);
    rejected_request(&mut harness, OWNER_A_AGAIN, 8);
    harness.owner_sends(OWNER_A_AGAIN, closed);
    assert_eq!(harness.engine.table_sizes().orphaned_releases, 0);
    assert_eq!(releases(&place(&mut harness, OWNER_B, 9)), []);
}

#[test]
fn owner_that_ends_its_task_gets_no_kept_release_of_it() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.host_sends(connection, host_close(7, Cause::NORMAL));
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    harness.owner_sends(OWNER_A_AGAIN, owner_close(7, Cause::NORMAL));
    assert_eq!(releases(&probe(&mut harness, OWNER_A_AGAIN)), []);
}

/// Guards against a release that is lost because it crosses the end of the connection on which it is sent.
#[test]
fn release_that_crosses_the_end_of_its_connection_is_sent_on_another() {
    let ends: [(Micros, OwnerConnectionEnd, bool); 4] = [
        (100 * MS, OwnerConnectionEnd::Broken, true),
        // The owner had time to receive it, or has read it before it closed.
        (3_000 * MS, OwnerConnectionEnd::Broken, false),
        (0, OwnerConnectionEnd::Orderly, false),
        // The owner does not read.
        (3_000 * MS, OwnerConnectionEnd::Unwritten, true),
    ];
    for (delay, end, is_resent) in ends {
        for is_half_close in [false, true] {
            let mut harness = Harness::new();
            place(&mut harness, OWNER_B, 6);
            let (_, connection) = harness.start_task(7);
            let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
            assert_eq!(releases(&outputs), [(OWNER_A, SetupId(7))]);
            harness.advance(delay);
            if is_half_close {
                harness.half_close_owner(OWNER_A);
            }
            harness.engine.owner_disconnected(harness.now, OWNER_A, end);
            assert_eq!(harness.engine.next_timeout() == Some(0), is_resent);
            let expected: &[_] = if is_resent {
                &[(OWNER_B, SetupId(7))]
            } else {
                &[]
            };
            assert_eq!(releases(&harness.turn()), expected, "{delay} {end:?}");
        }
    }
}

#[test]
fn release_that_an_acknowledging_owner_has_not_acknowledged_is_sent_again_when_its_connection_ends()
{
    let mut harness = Harness::new();
    place(&mut harness, OWNER_B, 5);
    harness.start_task(6);
    let (_, connection) = harness.start_task(7);
    harness.host_sends(connection, host_close(6, Cause::NORMAL));
    harness.owner_sends(OWNER_A, FromOwner::Closed { id: SetupId(6) });
    harness.host_sends(connection, host_close(7, Cause::NORMAL));
    harness.advance(3_000 * MS);
    harness.disconnect_owner(OWNER_A);
    assert_eq!(releases(&harness.turn()), [(OWNER_B, SetupId(7))]);
}

#[test]
fn release_moves_on_when_its_unverified_recipient_disconnects() {
    let mut harness = Harness::new();
    let (_, connection) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    probe(&mut harness, OWNER_A_AGAIN);
    rejected_request(&mut harness, OWNER_A_AGAIN, 8);
    harness.connect_owner(STRANGER, ADDRESS_A);
    probe(&mut harness, STRANGER);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), [RELEASE_7]);
    harness.disconnect_owner(OWNER_A_AGAIN);
    assert_eq!(releases(&harness.turn()), [(STRANGER, SetupId(7))]);
}

#[test]
fn handover_verifies_its_connection_once_the_host_confirms_the_task() {
    let mut harness = Harness::new();
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    let connection = first_connect(&outputs);
    harness.establish(connection);
    harness.disconnect_owner(OWNER_A);
    harness.owner_sends(OWNER_B, request(running_setup(8, "unlisted")));
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), []);
    harness.owner_sends(OWNER_B, request(running_setup(9, "a")));
    let report = host_report(9, maplethread_platform_wire::host::ReportCode::Running, 1.0);
    assert!(!harness.engine.owners[&OWNER_B].evidence.is_verified());
    harness.host_sends(connection, report);
    assert!(harness.engine.owners[&OWNER_B].evidence.is_verified());
}

/// Guards against a move that is never requested again after the connection on which it was sent has ended, or that only
/// another owner receives.
#[test]
fn relocation_is_sent_on_further_connections_once_its_own_has_ended() {
    let mut harness = Harness::new();
    let other = OwnerId(4);
    harness.connect_owner(other, ADDRESS_B);
    place(&mut harness, OWNER_B, 5);
    place(&mut harness, other, 6);
    let (task, _) = harness.start_task(7);
    let outputs = harness.perform(Action::Migrate(task));
    assert_eq!(messages_to_owners(&outputs), [(OWNER_A, relocate(7))]);
    assert_eq!(harness.perform(Action::Migrate(task)), []);
    harness.disconnect_owner(OWNER_A);
    let mut recipients = Vec::new();
    for _ in 0..3 {
        let outputs = harness.perform(Action::Migrate(task));
        recipients.extend(
            messages_to_owners(&outputs)
                .into_iter()
                .map(|(owner, _)| owner),
        );
    }
    recipients.sort();
    assert_eq!(recipients, [OWNER_B, other]);
}

#[test]
fn connection_that_is_not_verified_gets_no_relocation_of_another() {
    let mut harness = Harness::new();
    let (task, _) = start_task_and_disconnect_owner(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    probe(&mut harness, OWNER_A_AGAIN);
    assert_eq!(harness.perform(Action::Migrate(task)), []);
}

#[test]
fn release_tables_are_bounded() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(1);
    for id in 100..5_000 {
        harness.owner_sends(OWNER_A, request(running_setup(id, "a")));
    }
    for id in 100..2_500 {
        harness.host_sends(connection, host_close(id, Cause::NORMAL));
    }
    assert_eq!(harness.engine.table_sizes().sent_releases, 2_048);
    harness.disconnect_owner(OWNER_A);
    for id in 2_500..5_000 {
        harness.host_sends(connection, host_close(id, Cause::NORMAL));
    }
    let sizes = harness.engine.table_sizes();
    assert_eq!((sizes.orphaned_releases, sizes.sent_releases), (2_048, 0));
}
