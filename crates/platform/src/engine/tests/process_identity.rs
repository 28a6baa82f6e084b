//! Which process is at the address of a host: processes that take over the address of one that has terminated, and ones that
//! pause.

use maplethread::{AttemptOutcome, Event};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::{FromHost, ReportCode};

use super::support::*;
use crate::engine::{ConnectionId, DisconnectReason};

const ADDRESS: &str = "127.0.0.1:1";

/// The connection of a host with running tasks breaks, and whatever process is at the address now accepts a new one.
fn reconnect(harness: &mut Harness, connection: ConnectionId) -> ConnectionId {
    harness.advance(1_500 * MS);
    harness.lose_connection(connection, DisconnectReason::Broken);
    let next = first_connect(&harness.advance(25 * MS));
    harness.establish(next);
    harness.advance(10 * MS);
    harness.host_sends(next, FromHost::Probed { is_healthy: true });
    next
}

/// Guards against tasks that are never released because a new process at the address answers for the one that ran them.
#[test]
fn fails_tasks_of_a_removed_host_at_whose_address_a_new_process_answers() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = reconnect(&mut harness, connection);
    harness.list_host("a", ADDRESS, "left", 0.0);
    harness.list_host("b", ADDRESS, "active", 0.0);
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
    harness.answer_probes(next, 3);
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

/// Guards against a host that keeps its tasks, and gets new ones, while the list already names another host at its address.
#[test]
fn fails_tasks_and_cancels_offers_when_another_host_is_listed_at_the_address_first() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.lose_connection(connection, DisconnectReason::Broken);
    let next = first_connect(&harness.advance(25 * MS));
    let task = harness.request(OWNER_A, 8);
    harness.offer(task, 0);
    harness.list_host("b", ADDRESS, "active", 0.0);
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
    harness.establish(next);
    assert!(!sends(&harness.turn(), next, kind::OPEN));
    assert_eq!(
        harness.take_attempt_results(),
        [
            (0, AttemptOutcome::ConnectFailed, false),
            (0, AttemptOutcome::Disconnected, true)
        ]
    );
    assert_eq!(harness.offer(task, 0), []);
    // The old host's entry may change once more; it does not get its address back, until it is listed with a new process.
    harness.list_host("a", ADDRESS, "leaving", 0.0);
    harness.list_host("a", ADDRESS, "active", 0.0);
    assert_eq!(harness.offer(task, 0), []);
    let since_ms = (harness.now / MS) as f64;
    harness.list_host("a", ADDRESS, "active", since_ms);
    assert!(!harness.offer(task, 0).is_empty());
}

/// Guards against a task that is reported as over, and placed again, although it runs in the process that took over the
/// address.
#[test]
fn keeps_a_task_that_the_new_process_accepted_under_the_name_of_the_old_host() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = reconnect(&mut harness, connection);
    let task = harness.request(OWNER_A, 8);
    assert!(sends(&harness.offer(task, 0), next, kind::OPEN));
    harness.host_sends(next, host_ready(8, "t"));
    harness.list_host("a", ADDRESS, "left", 0.0);
    harness.list_host("b", ADDRESS, "active", 0.0);
    let outputs = harness.turn();
    assert!(sends(&outputs, next, kind::PROBE));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
    harness.host_sends(next, FromHost::Probed { is_healthy: true });
    harness.lose_connection(next, DisconnectReason::Broken);
    let next = first_connect(&harness.advance(25 * MS));
    harness.establish(next);
    assert_eq!(harness.engine.table_sizes().tasks, 1);
    let outputs = harness.host_sends(next, host_close(8, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(8, Cause::NORMAL))]
    );
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

/// Guards against a task that stays for good because its host had left the list when the new process accepted it.
#[test]
fn releases_a_task_that_the_new_process_accepts_after_the_old_host_has_left() {
    let mut harness = Harness::new();
    let connection = reconnect_without_tasks(&mut harness);
    let task = harness.request(OWNER_A, 8);
    assert!(sends(&harness.offer(task, 0), connection, kind::OPEN));
    harness.list_host("a", ADDRESS, "left", 0.0);
    harness.list_host("b", ADDRESS, "active", 0.0);
    harness.turn();
    harness.host_sends(connection, FromHost::Probed { is_healthy: true });
    // Another update removes hosts that are gone and not in use.
    harness.list_host("c", "127.0.0.1:3", "active", 0.0);
    let outputs = harness.host_sends(connection, host_ready(8, "t"));
    assert_eq!(messages_to_owners(&outputs), [(OWNER_A, ready(8, "t"))]);
    harness.lose_connection(connection, DisconnectReason::Broken);
    let next = first_connect(&harness.advance(25 * MS));
    harness.lose_connection(next, DisconnectReason::Refused);
    assert_eq!(
        messages_to_owners(&harness.turn()),
        [(OWNER_A, close(8, Cause::RESET))]
    );
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

/// A connection to host `a`, on which no task was placed.
fn reconnect_without_tasks(harness: &mut Harness) -> ConnectionId {
    let task = harness.request(OWNER_B, 99);
    let connection = harness.offer_and_send(task, 0);
    harness.host_sends(connection, host_close(99, Cause::NO_CAPACITY));
    harness.owner_sends(OWNER_B, owner_close(99, Cause::NORMAL));
    connection
}

/// Guards against tasks that are reported as over because only their connection was reset.
#[test]
fn keeps_tasks_over_a_reset_if_the_host_reports_one_of_them() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = reconnect(&mut harness, connection);
    harness.host_sends(next, host_report(7, ReportCode::ServiceShare, 0.9));
    harness.list_host("a", ADDRESS, "left", 0.0);
    assert_eq!(messages_to_owners(&harness.turn()), []);
    harness.host_sends(next, FromHost::Probed { is_healthy: true });
    assert_eq!(harness.engine.table_sizes().tasks, 1);
}

/// Guards against an offer that was decided for the earlier process of a host and reaches the one that has just started.
#[test]
fn cancels_unsent_offers_when_the_host_restarts() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = first_connect(&harness.offer(task, 0));
    let since_ms = (harness.now / MS) as f64;
    harness.list_host("a", ADDRESS, "active", since_ms);
    harness.establish(connection);
    assert!(!sends(&harness.turn(), connection, kind::OPEN));
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}

/// Guards against releases that are lost because the connection of a paused host was closed before the host resumed.
#[test]
fn keeps_the_connection_of_a_paused_host_that_accepts_another_one() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let outputs = harness.advance(1_300 * MS);
    // The kernel of a paused process accepts connections, on which nothing is answered.
    harness.establish(first_connect(&outputs));
    for _ in 0..4 {
        for connection in connects(&harness.advance(1_300 * MS)) {
            harness.establish(connection);
        }
    }
    assert!(harness.engine.connections.contains_key(&connection));
    assert!(harness.engine.table_sizes().connections <= 3);
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NORMAL))]
    );
}

/// Guards against a connection that is probed for good although the host answers on another one.
#[test]
fn closes_a_dead_connection_of_a_host_that_answers_on_another_one() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = first_connect(&harness.advance(1_300 * MS));
    harness.establish(next);
    harness.answer_probes(next, 8);
    assert!(!harness.engine.connections.contains_key(&connection));
    assert_eq!(harness.engine.table_sizes().tasks, 1);
}

/// Guards against tasks that stay for good because they were handed over after their host was last heard of.
#[test]
fn releases_tasks_that_are_handed_over_one_after_another_on_an_unlisted_host() {
    let mut harness = Harness::new();
    let mut released = 0;
    for id in 1..=20 {
        let outputs = harness.owner_sends(OWNER_A, request(running_setup(id, "unlisted")));
        released += messages_to_owners(&outputs).len();
        released += messages_to_owners(&harness.advance(300 * MS)).len();
    }
    released += messages_to_owners(&harness.advance(7_000 * MS)).len();
    assert_eq!(released, 20);
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

/// Guards against tasks that are taken for those of the new process because they were handed over after it had started, as after
/// a restart of the placer.
#[test]
fn releases_tasks_that_were_handed_over_after_their_process_had_been_replaced() {
    for lists_successor_first in [false, true] {
        let mut harness = Harness::new();
        // A new process is at the address already; the list does not report it yet.
        let outputs = harness.owner_sends(OWNER_A, request(running_setup(1, "a")));
        let connection = first_connect(&outputs);
        harness.establish(connection);
        harness.advance(10 * MS);
        harness.owner_sends(OWNER_A, request(running_setup(2, "a")));
        harness.answer_probes(connection, 2);
        let entries = [("a", "left"), ("b", "active")];
        let order = if lists_successor_first {
            [1, 0]
        } else {
            [0, 1]
        };
        let mut outputs = Vec::new();
        for index in order {
            let (name, status) = entries[index];
            harness.list_host(name, ADDRESS, status, 0.0);
            outputs.extend(harness.turn());
        }
        harness.answer_probes(connection, 1);
        let expected = [1, 2].map(|id| (OWNER_A, close(id, Cause::RESET)));
        assert_eq!(messages_to_owners(&outputs), expected);
        assert_eq!(harness.engine.table_sizes().tasks, 0);
    }
}

/// Guards against the same if the host has restarted under its name.
#[test]
fn releases_tasks_that_were_handed_over_after_an_unreported_restart() {
    let mut harness = Harness::new();
    let restarted_ms = (harness.now / MS) as f64;
    harness.now += 100 * MS;
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(1, "a")));
    let connection = first_connect(&outputs);
    harness.establish(connection);
    harness.owner_sends(OWNER_A, request(running_setup(2, "a")));
    harness.host_sends(connection, host_report(2, ReportCode::ServiceShare, 0.9));
    harness.list_host("a", ADDRESS, "active", restarted_ms);
    assert_eq!(
        messages_to_owners(&harness.turn()),
        [(OWNER_A, close(1, Cause::RESET))],
        "not the one that the new process has reported on"
    );
}

/// Guards against a policy that is told of a connection to a host whose address another one has taken over.
#[test]
fn reports_a_replaced_host_as_disconnected() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.list_host("b", ADDRESS, "active", 0.0);
    harness.turn();
    harness.host_sends(connection, FromHost::Probed { is_healthy: true });
    let changes: Vec<bool> = harness
        .take_events()
        .into_iter()
        .filter_map(|event| match event {
            Event::ConnectionChanged { is_connected, .. } => Some(is_connected),
            _ => None,
        })
        .collect();
    assert_eq!(changes, [false]);
}

/// Guards against a host that gets no offers for good after it has taken its address back.
#[test]
fn reports_a_replaced_host_as_connected_once_it_has_its_address_back() {
    let mut harness = Harness::new();
    harness.list_host("b", ADDRESS, "active", 0.0);
    harness.turn();
    let since_ms = (harness.now / MS) as f64;
    harness.list_host("a", ADDRESS, "active", since_ms);
    harness.turn();
    harness.take_events();
    let next = first_connect(&harness.advance(1_100 * MS));
    harness.establish(next);
    harness.turn();
    let connected = Event::ConnectionChanged {
        machine: maplethread::MachineId(0),
        is_connected: true,
    };
    assert!(harness.take_events().contains(&connected));
}
