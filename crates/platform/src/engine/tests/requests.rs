//! Asks, offers and their answers.

use super::*;

#[test]
fn places_runs_and_finishes_a_request() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = rig.offer_and_send(task, 0);
    rig.now += 5 * MS;
    let outputs = rig.host_sends(link, FromHost::Ready(SetupId(7), "there".into()));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Ready(SetupId(7), "there".into()))]
    );
    let id = AttemptId { task, number: 0 };
    assert_eq!(
        rig.take_events().last(),
        Some(&Event::AttemptAccepted {
            attempt: id,
            elapsed: Some(5 * MS)
        })
    );
    rig.host_sends(link, FromHost::Report(SetupId(7), ReportCode::Running, 0.0));
    assert_eq!(
        rig.take_events(),
        [Event::TaskReported {
            attempt: id,
            report: TaskReport::Started
        }]
    );
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::NORMAL))]
    );
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Completed, true)]
    );
    // The same release comes once more on the next connection, and a note after the end.
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::NORMAL, None));
    rig.host_sends(
        link,
        FromHost::Report(SetupId(7), ReportCode::ServiceShare, 0.5),
    );
    assert_eq!(
        (
            messages_to_owners(&outputs),
            rig.take_events(),
            rig.engine.table_sizes().tasks
        ),
        (vec![], vec![], 0)
    );
}

#[test]
fn request_stays_pending_after_rejected_offer_and_is_answered_when_rejected() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = rig.offer_and_send(task, 0);
    let outputs = rig.host_sends(
        link,
        FromHost::Close(
            SetupId(7),
            cause::NO_CAPACITY,
            Some(ReportCode::InsufficientCores),
        ),
    );
    assert_eq!(messages_to_owners(&outputs), []);
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Rejected, false)]
    );
    let outputs = rig.perform(Action::Reject {
        task,
        retry_after: None,
    });
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::NO_CAPACITY))]
    );
    assert_eq!(
        (
            rig.engine.pending_request_count(),
            rig.engine.table_sizes().tasks
        ),
        (0, 0)
    );
}

#[test]
fn ignores_answer_that_arrives_after_the_attempt_timed_out() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = rig.offer_and_send(task, 0);
    let outputs = rig.advance(300 * MS);
    assert!(sends(&outputs, link, 12) && sends(&outputs, link, 52));
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::TimedOut, false)]
    );
    let outputs = rig.host_sends(link, FromHost::Ready(SetupId(7), "late".into()));
    assert_eq!(
        (messages_to_owners(&outputs), rig.take_events()),
        (vec![], vec![])
    );
    // The answer showed that the connection works: it is used again, but not for the same task.
    let other = rig.request(OWNER_A, 8);
    assert!(sends(&rig.offer(other, 0), link, 1));
    let second = rig.offer_and_send(task, 0);
    assert_ne!(second, link);
    rig.take_events();
    for copy in [
        FromHost::Ready(SetupId(7), "late".into()),
        FromHost::Close(SetupId(7), cause::NO_CAPACITY, None),
    ] {
        let outputs = rig.host_sends(link, copy);
        assert_eq!(
            (messages_to_owners(&outputs), rig.take_events()),
            (vec![], vec![])
        );
    }
    // A task that fails with an attempt out: the host is told, and no later answer counts.
    let outputs = rig.perform(Action::Fail(task));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::ERROR))]
    );
    assert!(sends(&outputs, second, 12));
    let outputs = rig.host_sends(second, FromHost::Ready(SetupId(7), "late".into()));
    assert_eq!(
        (messages_to_owners(&outputs), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn writes_close_of_an_attempt_before_the_next_setup() {
    let mut rig = Harness::new();
    rig.list("b", "127.0.0.1:2", "active", 0.0);
    // The connection to `b` is the older one, so whoever writes by connection writes the second attempt first.
    let other = rig.request(OWNER_A, 6);
    let older = rig.offer_and_send(other, 1);
    rig.host_sends(older, FromHost::Ready(SetupId(6), "t".into()));
    let task = rig.request(OWNER_A, 7);
    let newer = rig.offer_and_send(task, 0);
    rig.now += 300 * MS;
    rig.decider.next_actions.borrow_mut().push(Action::Offer {
        task,
        machine: MachineId(1),
        timeout: 300 * MS,
    });
    let outputs = rig.turn();
    let place =
        |wanted: &dyn Fn(&Output) -> bool| outputs.iter().position(wanted).expect("it is wanted");
    let end = place(
        &|o| matches!(o, Output::SendToHostImmediately(l, bytes) if *l == newer && bytes[2] == 12),
    );
    let next = place(&|o| is_sent(o, older, 1));
    assert!(end < next, "{outputs:?}");
    // What ends a task that stands, and what calls an attempt off, is written as early: rule 5 counts both.
    let (standing, link) = rig.start_task(8);
    let outputs = rig.owner_sends(OWNER_A, FromOwner::Close(SetupId(8), cause::NORMAL));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(l, _)] if *l == link),
        "{outputs:?}"
    );
    let called_off = rig.request(OWNER_A, 9);
    rig.offer_and_send(called_off, 0);
    let outputs = rig.perform(Action::Cancel(AttemptId {
        task: called_off,
        number: 0,
    }));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(..)]),
        "{standing:?} {outputs:?}"
    );
}

#[test]
fn does_not_send_attempt_that_timed_out_before_its_connection_was_established() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    rig.decider.next_actions.borrow_mut().push(Action::Offer {
        task,
        machine: MachineId(0),
        timeout: 100 * MS,
    });
    rig.engine.events.push(Event::TimerFired { label: 0 });
    let link = first_connect(&rig.turn());
    // A placer that stood still hears of the connection before it looks at the time.
    rig.now += 120 * MS;
    rig.engine.connection_established(rig.now, link);
    let outputs = rig.turn();
    assert!(
        !sends(&outputs, link, 1) && !sends(&outputs, link, 12),
        "{outputs:?}"
    );
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}
