//! Requests, the offers to hosts, and their answers.

use maplethread::{Action, AttemptId, AttemptOutcome, Event, TaskReport};
use maplethread_platform_wire::Cause;
use maplethread_platform_wire::host::ReportCode;

use super::support::*;
use crate::engine::Output;

#[test]
fn places_runs_and_finishes_a_request() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = harness.offer_and_send(task, 0);
    harness.now += 5 * MS;
    let outputs = harness.host_sends(connection, host_ready(7, "there"));
    assert_eq!(messages_to_owners(&outputs), [(OWNER_A, ready(7, "there"))]);
    let attempt = AttemptId { task, number: 0 };
    assert_eq!(
        harness.take_events().last(),
        Some(&Event::AttemptAccepted {
            attempt,
            elapsed: Some(5 * MS)
        })
    );
    harness.host_sends(connection, host_report(7, ReportCode::Running, 0.0));
    assert_eq!(
        harness.take_events(),
        [Event::TaskReported {
            attempt,
            report: TaskReport::Started
        }]
    );
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NORMAL))]
    );
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Completed, true)]
    );
    // A repeated release and a late report have no effect.
    let outputs = harness.host_sends(connection, host_close(7, Cause::NORMAL));
    harness.host_sends(connection, host_report(7, ReportCode::ServiceShare, 0.5));
    assert_eq!(
        (
            messages_to_owners(&outputs),
            harness.take_events(),
            harness.engine.table_sizes().tasks
        ),
        (vec![], vec![], 0)
    );
}

#[test]
fn request_stays_pending_after_a_host_rejects_it_until_the_policy_rejects_it() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = harness.offer_and_send(task, 0);
    let outputs = harness.host_sends(
        connection,
        host_close_with(7, Cause::NO_CAPACITY, ReportCode::InsufficientCores),
    );
    assert_eq!(messages_to_owners(&outputs), []);
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::Rejected, false)]
    );
    let outputs = harness.perform(Action::Reject {
        task,
        retry_after: None,
    });
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::NO_CAPACITY))]
    );
    assert_eq!(
        (
            harness.engine.pending_request_count(),
            harness.engine.table_sizes().tasks
        ),
        (0, 0)
    );
}

#[test]
fn ignores_answer_that_arrives_after_the_attempt_timed_out() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    let connection = harness.offer_and_send(task, 0);
    let outputs = harness.advance(300 * MS);
    assert!(sends(&outputs, connection, kind::CLOSE) && sends(&outputs, connection, kind::PROBE));
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::TimedOut, false)]
    );
    let outputs = harness.host_sends(connection, host_ready(7, "late"));
    assert_eq!(
        (messages_to_owners(&outputs), harness.take_events()),
        (vec![], vec![])
    );
    // The answer shows that the connection is responsive. It is used again, but not for the same task.
    let other = harness.request(OWNER_A, 8);
    assert!(sends(&harness.offer(other, 0), connection, kind::OPEN));
    let second = harness.offer_and_send(task, 0);
    assert_ne!(second, connection);
    harness.take_events();
    for copy in [host_ready(7, "late"), host_close(7, Cause::NO_CAPACITY)] {
        let outputs = harness.host_sends(connection, copy);
        assert_eq!(
            (messages_to_owners(&outputs), harness.take_events()),
            (vec![], vec![])
        );
    }
    // When a task fails with an attempt in flight, the attempt is closed at the host and a later answer is ignored.
    let outputs = harness.perform(Action::Fail(task));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, close(7, Cause::ERROR))]
    );
    assert!(sends(&outputs, second, kind::CLOSE));
    let outputs = harness.host_sends(second, host_ready(7, "late"));
    assert_eq!(
        (
            messages_to_owners(&outputs),
            harness.engine.table_sizes().tasks
        ),
        (vec![], 1)
    );
}

#[test]
fn writes_close_of_an_attempt_before_the_next_setup() {
    let mut harness = Harness::new();
    harness.list_host("b", "127.0.0.1:2", "active", 0.0);
    // The connection to `b` is older, so writing in the order of connection ids would send the second attempt before the
    // close of the first.
    let other = harness.request(OWNER_A, 6);
    let older = harness.offer_and_send(other, 1);
    harness.host_sends(older, host_ready(6, "t"));
    let task = harness.request(OWNER_A, 7);
    let newer = harness.offer_and_send(task, 0);
    harness.now += 300 * MS;
    harness.schedule_offer(task, 1, 300 * MS);
    let outputs = harness.turn();
    let position = |matches: &dyn Fn(&Output) -> bool| {
        outputs.iter().position(matches).expect("a sent message")
    };
    let close = position(&|output| {
        matches!(output, Output::SendToHostImmediately(connection, bytes)
            if *connection == newer && bytes[2] == kind::CLOSE)
    });
    let next_setup = position(&|output| is_sent(output, older, kind::OPEN));
    assert!(close < next_setup, "{outputs:?}");
    // The closes of running tasks and of cancelled attempts are written immediately too, as rule 5 of the platform counts
    // both.
    let (running, connection) = harness.start_task(8);
    let outputs = harness.owner_sends(OWNER_A, owner_close(8, Cause::NORMAL));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(sent_on, _)] if *sent_on == connection),
        "{outputs:?}"
    );
    let cancelled = harness.request(OWNER_A, 9);
    harness.offer_and_send(cancelled, 0);
    let outputs = harness.perform(Action::Cancel(AttemptId {
        task: cancelled,
        number: 0,
    }));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(..)]),
        "{running:?} {outputs:?}"
    );
}

#[test]
fn does_not_send_attempt_that_timed_out_before_its_connection_was_established() {
    let mut harness = Harness::new();
    let task = harness.request(OWNER_A, 7);
    harness.schedule_offer(task, 0, 100 * MS);
    harness.wake_policy();
    let connection = first_connect(&harness.turn());
    // After a pause of the process, the connection event is handled before the expired timer.
    harness.now += 120 * MS;
    harness.establish(connection);
    let outputs = harness.turn();
    assert!(
        !sends(&outputs, connection, kind::OPEN) && !sends(&outputs, connection, kind::CLOSE),
        "{outputs:?}"
    );
    assert_eq!(
        harness.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}
