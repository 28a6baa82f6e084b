//! Connections to hosts, and the tasks that run there.

use maplethread::{Action, AttemptId, AttemptOutcome, Event};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::{FromHost, ReportCode};

use super::support::*;
use crate::engine::{DisconnectReason, Output};

#[test]
fn opens_a_new_connection_after_a_break_so_that_lost_releases_are_repeated() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    // An offer opens a second connection while the first is being probed; then the first breaks during releases.
    harness.engine.probe_connection(harness.now, connection);
    let task = harness.request(OWNER_A, 8);
    let second = harness.offer_and_send(task, 0);
    harness.lose(connection, DisconnectReason::Broken);
    let outputs = harness.turn();
    assert!(
        connects(&outputs).next().is_none(),
        "the host may not have noticed the loss: {outputs:?}"
    );
    assert!(harness.engine.connections.contains_key(&second));
    let third = first_connect(&harness.advance(25 * MS));
    harness.establish(third);
    let outputs = harness.host_sends(
        third,
        host_close_with(7, Cause::RESET, ReportCode::Preempted),
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn probes_connection_with_an_overdue_answer_before_a_release_is_late() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let task = harness.request(OWNER_A, 8);
    harness.schedule_offer(task, 0, 1_200 * MS);
    harness.wake_policy();
    assert!(sends(&harness.turn(), connection, kind::OPEN));
    // The connection is dead, and the other task is released on it in vain.
    let outputs = harness.advance(250 * MS);
    assert!(sends(&outputs, connection, kind::PROBE), "{outputs:?}");
    let next = first_connect(&harness.advance(250 * MS));
    harness.establish(next);
    let outputs = harness.host_sends(next, host_close(7, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NORMAL))]
    );
}

#[test]
fn failed_probe_ends_all_attempts_on_the_connection() {
    let mut harness = Harness::new();
    let (first, second) = (harness.request(OWNER_A, 7), harness.request(OWNER_A, 8));
    let connection = harness.offer_and_send(first, 0);
    harness.now += 100 * MS;
    assert!(sends(&harness.offer(second, 0), connection, kind::OPEN));
    let outputs = harness.advance(450 * MS);
    // The first timed out at 300 ms, the second at 400; the probe had no answer by 550.
    assert!(outputs.contains(&Output::CloseConnection(connection)));
    // The decisions know that the host is not connected, until a connection is established.
    let connection_changes = |harness: &Harness| -> Vec<bool> {
        harness
            .take_events()
            .into_iter()
            .filter_map(|event| match event {
                Event::ConnectionChanged { is_connected, .. } => Some(is_connected),
                _ => None,
            })
            .collect()
    };
    assert_eq!(connection_changes(&harness), [false]);
    let next = first_connect(&harness.advance(1_100 * MS));
    assert!(next != connection);
    harness.establish(next);
    assert!(sends(&harness.offer(first, 0), next, kind::OPEN));
    assert_eq!(connection_changes(&harness), [true]);
}

#[test]
fn reports_connect_failure_if_unsent_and_disconnection_if_sent() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = first_connect(&harness.offer(task, 0));
    harness.lose(connection, DisconnectReason::Refused);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    // Never established: closed after the settings' 250 ms.
    let connection = first_connect(&harness.offer(task, 0));
    let outputs = harness.advance(250 * MS);
    assert!(outputs.contains(&Output::CloseConnection(connection)));
    assert_eq!(
        harness.take_attempt_results(),
        [(1, AttemptOutcome::ConnectFailed, false)]
    );
    let connection = first_connect(&harness.advance(1_000 * MS));
    harness.establish(connection);
    assert!(sends(&harness.offer(task, 0), connection, kind::OPEN));
    harness.lose(connection, DisconnectReason::Broken);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(2, AttemptOutcome::Disconnected, false)]
    );
}

#[test]
fn withdraws_waiting_offers_when_the_host_drains() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = first_connect(&harness.offer(task, 0));
    harness.list("a", "127.0.0.1:1", "leaving", 0.0);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    harness.establish(connection);
    assert!(!sends(&harness.turn(), connection, kind::OPEN));
    // So is one that the decisions cancel before it was sent.
    harness.list("a", "127.0.0.1:1", "active", 0.0);
    let connection = harness
        .engine
        .connections
        .keys()
        .copied()
        .next()
        .expect("it is established");
    harness.lose(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.offer(task, 0));
    harness.perform(Action::Cancel(AttemptId { task, number: 1 }));
    harness.establish(connection);
    assert!(!sends(&harness.turn(), connection, kind::OPEN));
}

#[test]
fn fails_offer_to_a_draining_host_without_sending() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    harness.list("a", "127.0.0.1:1", "leaving", 0.0);
    let outputs = harness.offer(task, 0);
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::Connect(..) | Output::SendToHost(..)))
    );
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}

#[test]
fn keeps_tasks_when_a_connection_breaks_and_fails_them_when_the_next_is_refused() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.lose(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.advance(25 * MS));
    harness.establish(connection);
    assert_eq!(harness.take_attempt_results(), []);
    harness.lose(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.advance(25 * MS));
    harness.lose(connection, DisconnectReason::Refused);
    let outputs = harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn keeps_tasks_of_a_draining_host_that_refuses_connections_until_it_is_removed() {
    let mut harness = Harness::new();
    harness.list("a", "127.0.0.1:1", "leaving", 0.0);
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    let connection = first_connect(&outputs);
    harness.lose(connection, DisconnectReason::Refused);
    for _ in 0..40 {
        let outputs = harness.advance(250 * MS);
        assert_eq!(messages_to_owners(&outputs), []);
        for connection in connects(&outputs) {
            harness.lose(connection, DisconnectReason::Refused);
        }
    }
    harness.list("a", "127.0.0.1:1", "left", 0.0);
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn releases_tasks_of_a_silent_host_in_time() {
    let mut harness = Harness::new();
    harness.start_task(7);
    let outputs = harness.advance(1_900 * MS);
    assert_eq!(
        (harness.take_attempt_results(), messages_to_owners(&outputs)),
        (vec![], vec![]),
        "one new connection may fail, and a second"
    );
    let outputs = harness.advance(400 * MS);
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
    assert_eq!(harness.engine.table_sizes().tasks, 0);
}

#[test]
fn keeps_tasks_when_a_silent_connection_resumes() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    for _ in 0..8 {
        let outputs = harness.advance(1_700 * MS);
        assert!(
            !outputs.contains(&Output::CloseConnection(connection)),
            "it is kept as it may show that the process is the same"
        );
        // A new connection is established first, the old one resumes a little later.
        harness.establish(last_connect(&outputs));
        harness.advance(100 * MS);
        harness.host_sends(connection, FromHost::Probed { is_healthy: true });
    }
    assert_eq!(
        (
            harness.take_attempt_results(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1)
    );
}

#[test]
fn fails_tasks_of_a_reconnected_host_that_reports_none_of_them() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = harness.fall_silent_and_reconnect(connection);
    harness.take_events();
    let task = harness.request(OWNER_A, 8);
    assert!(sends(&harness.offer(task, 0), next, kind::OPEN));
    harness.host_sends(next, host_ready(8, "t"));
    harness.answer_probes(next, 10);
    assert_eq!(
        harness.take_attempt_results(),
        [],
        "until 7 s after its last sign of life"
    );
    let outputs = harness.advance(600 * MS);
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
    // The task that started since then runs on.
    harness.answer_probes(next, 20);
    assert_eq!(
        (
            harness.take_attempt_results(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1)
    );
}

#[test]
fn keeps_tasks_of_a_reconnected_host_that_reports_one_of_them() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let next = harness.fall_silent_and_reconnect(connection);
    harness.host_sends(next, host_report(7, ReportCode::ServiceShare, 0.9));
    harness.answer_probes(next, 20);
    assert_eq!(
        (
            harness.take_attempt_results(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1)
    );
}

#[test]
fn keeps_tasks_longer_when_many_hosts_are_unreachable_together() {
    let mut harness = Harness::new();
    let mut connections = Vec::new();
    for (n, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        harness.list(name, &format!("127.0.0.1:{}", n + 1), "active", 0.0);
        let task = harness.request(OWNER_A, 30 + n as u64);
        let connection = harness.offer_and_send(task, n as u32);
        harness.host_sends(connection, host_ready(30 + n as u64, "t"));
        connections.push(connection);
    }
    harness.take_events();
    let outputs = harness.advance(6_000 * MS);
    assert_eq!(
        (harness.take_attempt_results(), messages_to_owners(&outputs)),
        (vec![], vec![]),
        "a single host would have failed by now"
    );
    assert!(connects(&outputs).count() <= 4 * 8, "{outputs:?}");
    // The partition heals for three of them.
    for &connection in &connections[1..] {
        harness.host_sends(connection, FromHost::Probed { is_healthy: true });
    }
    let outputs = harness.advance(1_100 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(30, Cause::RESET))]
    );
    assert_eq!(harness.engine.table_sizes().tasks, 3);
}

#[test]
fn ignores_connect_failures_from_before_the_task_started() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 20);
    first_connect(&harness.offer(task, 0));
    // Connections are attempted repeatedly although no task runs there.
    let connect_count = connects(&harness.advance(4_600 * MS)).count();
    assert_eq!(
        (harness.take_attempt_results(), connect_count),
        (vec![(0, AttemptOutcome::ConnectFailed, false)], 4)
    );
    harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    // Its first connection may fail, and the second too.
    let outputs = harness.advance(600 * MS);
    assert_eq!(messages_to_owners(&outputs), []);
    let outputs = harness.advance(1_400 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn keeps_tasks_of_a_host_that_answers_probes() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    for _ in 0..150 {
        let outputs = harness.advance(100 * MS);
        if sends(&outputs, connection, kind::PROBE) {
            harness.host_sends(connection, FromHost::Probed { is_healthy: true });
        }
    }
    assert_eq!(
        (
            harness.take_attempt_results(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1)
    );
}

#[test]
fn fails_tasks_of_a_removed_host_once_a_probe_is_unanswered() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.list("a", "127.0.0.1:1", "left", 0.0);
    assert!(sends(&harness.turn(), connection, kind::PROBE));
    let outputs = harness.advance(250 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn fails_tasks_of_the_previous_process_when_a_host_restarts() {
    let mut harness = Harness::new();
    harness.start_task(7);
    let since = (harness.now + 100 * MS) as f64 / 1000.0;
    harness.now += 200 * MS;
    harness.list("a", "127.0.0.1:1", "active", since);
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn does_not_reuse_a_connection_for_another_host_at_the_same_address() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.list("a", "127.0.0.1:1", "left", 0.0);
    harness.list("b", "127.0.0.1:1", "active", 0.0);
    harness.turn();
    let task = harness.request(OWNER_A, 8);
    let other = first_connect(&harness.offer(task, 1));
    assert!(other != connection);
    // The old host's connection breaks: it is not reopened, as another host has the address now.
    harness.take_events();
    harness.lose(connection, DisconnectReason::Broken);
    let outputs = harness.turn();
    assert!(connects(&outputs).next().is_none());
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
}
