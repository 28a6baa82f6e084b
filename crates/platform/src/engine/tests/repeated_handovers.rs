//! Owners that hand over a task on a new connection, before or after the end of the task, of the old connection, or of both.

use maplethread_platform_wire::Cause;
use maplethread_platform_wire::SetupId;
use maplethread_platform_wire::host::ReportCode;
use maplethread_platform_wire::owner::FromOwner;

use super::support::*;
use crate::engine::{ConnectionId, Output, OwnerConnectionEnd, OwnerId};

/// The new connection of owner `A`.
const OWNER_A_AGAIN: OwnerId = OwnerId(11);

/// Whether owners hand tasks over before or after their end.
const ENDS_FIRST: [bool; 2] = [false, true];

/// A task of owner `A`, 7, and one of owner `B`, 8, run on host `a`. Returns the connection to the host.
fn start_tasks_of_two_owners(harness: &mut Harness) -> ConnectionId {
    let (_, connection) = harness.start_task(7);
    let task = harness.request(OWNER_B, 8);
    assert!(sends(&harness.offer(task, 0), connection, kind::OPEN));
    harness.host_sends(connection, host_ready(8, "t"));
    connection
}

fn reset_owner_a(harness: &mut Harness) -> Vec<Output> {
    let end = OwnerConnectionEnd::Broken;
    harness.engine.owner_disconnected(harness.now, OWNER_A, end);
    harness.turn()
}

fn connect_owner_a_again(harness: &mut Harness, is_tested: bool) -> Vec<Output> {
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_B);
    if !is_tested {
        return Vec::new();
    }
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_A_AGAIN, FromOwner::Probe { id })
}

fn hand_over_again(harness: &mut Harness) -> Vec<Output> {
    harness.owner_sends(OWNER_A_AGAIN, request(running_setup(7, "a")))
}

/// How often the new connection of owner `A` gets the release of its task.
fn releases(outputs: &[Output]) -> usize {
    messages_to_owners(outputs)
        .iter()
        .filter(|message| **message == (OWNER_A_AGAIN, close(7, Cause::NORMAL)))
        .count()
}

/// Guards against releases that only another owner gets because the placer knew the task already.
#[test]
fn releases_a_task_to_the_connection_on_which_it_was_handed_over_again() {
    for is_tested in [false, true] {
        for ends_first in ENDS_FIRST {
            for is_old_connection_open in [false, true] {
                let mut harness = Harness::new();
                let host = start_tasks_of_two_owners(&mut harness);
                let mut outputs = Vec::new();
                if !is_old_connection_open {
                    outputs.extend(reset_owner_a(&mut harness));
                }
                if ends_first {
                    outputs.extend(harness.host_sends(host, host_close(7, Cause::NORMAL)));
                    harness.answer_probes(host, 18);
                }
                outputs.extend(connect_owner_a_again(&mut harness, is_tested));
                outputs.extend(hand_over_again(&mut harness));
                if !ends_first {
                    outputs.extend(harness.host_sends(host, host_close(7, Cause::NORMAL)));
                }
                let order = (is_tested, ends_first, is_old_connection_open);
                assert_eq!(releases(&outputs), 1, "{order:?}");
                // The task is not taken up anew.
                assert_eq!(harness.engine.table_sizes().tasks, 1, "{order:?}");
            }
        }
    }
}

/// Guards against a release that is lost with a connection whose end the placer has not noticed.
#[test]
fn releases_a_task_on_the_old_connection_too_while_that_is_open() {
    let mut harness = Harness::new();
    let host = start_tasks_of_two_owners(&mut harness);
    connect_owner_a_again(&mut harness, true);
    hand_over_again(&mut harness);
    let outputs = harness.host_sends(host, host_close(7, Cause::NORMAL));
    let expected = [
        (OWNER_A_AGAIN, close(7, Cause::NORMAL)),
        (OWNER_A, close(7, Cause::NORMAL)),
    ];
    assert_eq!(messages_to_owners(&outputs), expected);
}

/// Guards against a release that is lost when the connection of the last handover ends and the earlier one is open.
#[test]
fn releases_a_task_on_the_old_connection_if_the_new_one_has_ended() {
    let mut harness = Harness::new();
    let host = start_tasks_of_two_owners(&mut harness);
    connect_owner_a_again(&mut harness, true);
    hand_over_again(&mut harness);
    harness.disconnect_owner(OWNER_A_AGAIN);
    let outputs = harness.host_sends(host, host_close(7, Cause::NORMAL));
    assert!(messages_to_owners(&outputs).contains(&(OWNER_A, close(7, Cause::NORMAL))));
}

/// Guards against a release that another owner at the same address gets in place of the one that has connected anew, tested the
/// connection and handed over nothing.
#[test]
fn releases_a_task_to_the_next_connection_from_the_address_of_its_owner() {
    let mut harness = Harness::new();
    let host = start_tasks_of_two_owners(&mut harness);
    reset_owner_a(&mut harness);
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    let id = SetupId(0xa1);
    harness.owner_sends(OWNER_A_AGAIN, FromOwner::Probe { id });
    let outputs = harness.host_sends(host, host_close(7, Cause::NORMAL));
    assert_eq!(releases(&outputs), 1);
}

/// Guards against a release that its owner never gets because too many other owners were asked first.
#[test]
fn releases_a_task_to_its_owner_beside_many_other_owners() {
    let mut harness = Harness::new();
    let (_, host) = harness.start_task(7);
    for n in 0..40 {
        let owner = OwnerId(100 + n);
        harness.connect_owner(owner, ADDRESS_B);
        let task = harness.request(owner, 100 + n);
        assert!(sends(&harness.offer(task, 0), host, kind::OPEN));
        harness.host_sends(host, host_ready(100 + n, "t"));
    }
    reset_owner_a(&mut harness);
    let mut outputs = harness.host_sends(host, host_close(7, Cause::NORMAL));
    harness.connect_owner(OWNER_A_AGAIN, ADDRESS_A);
    let id = SetupId(0xa1);
    outputs.extend(harness.owner_sends(OWNER_A_AGAIN, FromOwner::Probe { id }));
    assert_eq!(releases(&outputs), 1);
}

/// Guards against a faulty client that is taken for an owner because it hands over the same made-up task again.
#[test]
fn made_up_task_that_is_handed_over_again_verifies_nobody() {
    let mut harness = Harness::new();
    let host = start_tasks_of_two_owners(&mut harness);
    connect_owner_a_again(&mut harness, false);
    let made_up = || request(running_setup(99, "unlisted"));
    harness.owner_sends(OWNER_A_AGAIN, made_up());
    // It is released after 3 s, and taken up anew each time.
    for _ in 0..3 {
        harness.answer_probes(host, 8);
        assert_eq!(harness.engine.table_sizes().tasks, 2);
        harness.owner_sends(OWNER_A_AGAIN, made_up());
    }
    harness.disconnect_owner(OWNER_B);
    harness.host_sends(host, host_report(8, ReportCode::ServiceShare, 0.9));
    let outputs = harness.host_sends(host, host_close(8, Cause::NORMAL));
    assert!(
        !messages_to_owners(&outputs).contains(&(OWNER_A_AGAIN, close(8, Cause::NORMAL))),
        "the release of another owner's task"
    );
}
