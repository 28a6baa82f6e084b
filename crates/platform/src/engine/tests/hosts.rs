//! Connections to hosts, and failure detection for the tasks that run on them.

use maplethread::{Action, AttemptId, AttemptOutcome, Event};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::{FromHost, ReportCode};

use super::support::*;
use crate::engine::{DisconnectReason, Output};

#[test]
fn opens_a_new_connection_after_a_break_although_another_is_open() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    // An offer opens a second connection while the first is being probed. Then the first breaks, with releases lost.
    harness.engine.probe_connection(harness.now, connection);
    let task = harness.request(OWNER_A, 8);
    let second = harness.offer_and_send(task, 0);
    harness.lose_connection(connection, DisconnectReason::Broken);
    let outputs = harness.turn();
    assert!(
        connects(&outputs).next().is_none(),
        "reconnected before the host can have detected the loss: {outputs:?}"
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
fn probes_a_connection_as_soon_as_an_answer_is_overdue() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    let task = harness.request(OWNER_A, 8);
    harness.schedule_offer(task, 0, 1_200 * MS);
    harness.wake_policy();
    assert!(sends(&harness.turn(), connection, kind::OPEN));
    // The connection is dead: a release that the host sends on it is lost.
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
    // The first attempt timed out at 300 ms and the second at 400 ms; the probe is unanswered at 550 ms.
    assert!(outputs.contains(&Output::CloseConnection(connection)));
    // The policy is informed that the host is disconnected, and later that it is connected again.
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
    harness.lose_connection(connection, DisconnectReason::Refused);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    // A connection that is not established is closed after the connect timeout of 250 ms.
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
    harness.lose_connection(connection, DisconnectReason::Broken);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(2, AttemptOutcome::Disconnected, false)]
    );
}

#[test]
fn cancels_unsent_offers_when_the_host_drains() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = first_connect(&harness.offer(task, 0));
    harness.list_host("a", "127.0.0.1:1", "leaving", 0.0);
    harness.turn();
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    harness.establish(connection);
    assert!(!sends(&harness.turn(), connection, kind::OPEN));
    // An attempt that the policy cancels before it was sent is not sent either.
    harness.list_host("a", "127.0.0.1:1", "active", 0.0);
    let connection = harness
        .engine
        .connections
        .keys()
        .copied()
        .next()
        .expect("an established connection");
    harness.lose_connection(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.offer(task, 0));
    harness.perform(Action::Cancel(AttemptId { task, number: 1 }));
    harness.establish(connection);
    assert!(!sends(&harness.turn(), connection, kind::OPEN));
}

#[test]
fn fails_offer_to_a_draining_host_without_sending() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    harness.list_host("a", "127.0.0.1:1", "leaving", 0.0);
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
    harness.lose_connection(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.advance(25 * MS));
    harness.establish(connection);
    assert_eq!(harness.take_attempt_results(), []);
    harness.lose_connection(connection, DisconnectReason::Broken);
    let connection = first_connect(&harness.advance(25 * MS));
    harness.lose_connection(connection, DisconnectReason::Refused);
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
    harness.list_host("a", "127.0.0.1:1", "leaving", 0.0);
    let outputs = harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    let connection = first_connect(&outputs);
    harness.lose_connection(connection, DisconnectReason::Refused);
    for _ in 0..40 {
        let outputs = harness.advance(250 * MS);
        assert_eq!(messages_to_owners(&outputs), []);
        for connection in connects(&outputs) {
            harness.lose_connection(connection, DisconnectReason::Refused);
        }
    }
    harness.list_host("a", "127.0.0.1:1", "left", 0.0);
    let outputs = harness.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::RESET))]
    );
}

#[test]
fn releases_tasks_of_an_unreachable_host_after_three_failed_connects() {
    let mut harness = Harness::new();
    harness.start_task(7);
    let outputs = harness.advance(1_900 * MS);
    assert_eq!(
        (harness.take_attempt_results(), messages_to_owners(&outputs)),
        (vec![], vec![]),
        "two failed connects do not fail the tasks"
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
            "the connection is kept to verify the identity of the host's process"
        );
        // A new connection is established, and shortly after that the old one resumes.
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
    let next = harness.become_unreachable_and_reconnect(connection);
    harness.take_events();
    let task = harness.request(OWNER_A, 8);
    assert!(sends(&harness.offer(task, 0), next, kind::OPEN));
    harness.host_sends(next, host_ready(8, "t"));
    harness.answer_probes(next, 10);
    assert_eq!(
        harness.take_attempt_results(),
        [],
        "the tasks are kept for 7 s after the host was last known to be alive"
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
    // The task that started after the reconnect continues.
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
    let next = harness.become_unreachable_and_reconnect(connection);
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
        harness.list_host(name, &format!("127.0.0.1:{}", n + 1), "active", 0.0);
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
        "longer than the timeout for a single host"
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
    // Connects are repeated although no task runs on the host.
    let connect_count = connects(&harness.advance(4_600 * MS)).count();
    assert_eq!(
        (harness.take_attempt_results(), connect_count),
        (vec![(0, AttemptOutcome::ConnectFailed, false)], 4)
    );
    harness.owner_sends(OWNER_A, request(running_setup(7, "a")));
    // Two failed connects after the start of the task do not fail it.
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
fn fails_tasks_of_a_removed_host_that_does_not_answer_a_probe() {
    let mut harness = Harness::new();
    let (_, connection) = harness.start_task(7);
    harness.list_host("a", "127.0.0.1:1", "left", 0.0);
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
    harness.list_host("a", "127.0.0.1:1", "active", since);
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
    harness.list_host("a", "127.0.0.1:1", "left", 0.0);
    harness.list_host("b", "127.0.0.1:1", "active", 0.0);
    harness.turn();
    let task = harness.request(OWNER_A, 8);
    let other = first_connect(&harness.offer(task, 1));
    assert!(other != connection);
    // The old host's connection breaks. It is not reopened, as another host now uses the address.
    harness.take_events();
    harness.lose_connection(connection, DisconnectReason::Broken);
    let outputs = harness.turn();
    assert!(connects(&outputs).next().is_none());
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
}

/// Guards against clients that hand over tasks on thousands of hosts that are not listed: they hid a partition, and each such
/// hand-over took longer.
#[test]
fn hosts_that_are_not_listed_do_not_hide_a_partition() {
    let mut harness = Harness::new();
    for (n, name) in ["a", "b", "c"].into_iter().enumerate() {
        harness.list_host(name, &format!("127.0.0.1:{}", n + 1), "active", 0.0);
        let task = harness.request(OWNER_A, 30 + n as u64);
        let connection = harness.offer_and_send(task, n as u32);
        harness.host_sends(connection, host_ready(30 + n as u64, "t"));
    }
    let mut outputs = Vec::new();
    for second in 0..6 {
        for n in 0..40 {
            let setup = running_setup(1_000 + 100 * second + n, &format!("unlisted-{n}"));
            harness.owner_sends(OWNER_B, request(setup));
        }
        outputs.extend(harness.advance(1_000 * MS));
    }
    let messages = messages_to_owners(&outputs);
    assert!(
        messages.iter().all(|&(owner, _)| owner != OWNER_A),
        "partitioned hosts keep their tasks for 7 s: {messages:?}"
    );
}
