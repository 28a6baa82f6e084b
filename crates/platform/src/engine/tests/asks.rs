//! Asks, offers and their answers.

use super::*;

#[test]
fn an_ask_is_placed_runs_and_ends() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = rig.offered(task, 0);
    rig.now += 5 * MS;
    let outputs = rig.host(link, FromHost::Ready(Sid(7), "there".into()));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Ready(Sid(7), "there".into()))]
    );
    let id = AttemptId { task, number: 0 };
    assert_eq!(
        rig.take_events().last(),
        Some(&Event::AttemptAccepted {
            attempt: id,
            elapsed: Some(5 * MS)
        })
    );
    rig.host(link, FromHost::Event(Sid(7), Told::Live, 0.0));
    assert_eq!(
        rig.take_events(),
        [Event::TaskReported {
            attempt: id,
            report: TaskReport::Started
        }]
    );
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::NORMAL))]
    );
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Completed, true)]);
    // The same release comes once more on the next connection, and a note after the end.
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::NORMAL, None));
    rig.host(link, FromHost::Event(Sid(7), Told::Served, 0.5));
    assert_eq!(
        (
            to_owners(&outputs),
            rig.take_events(),
            rig.engine.table_sizes().tasks
        ),
        (vec![], vec![], 0)
    );
}

#[test]
fn a_refused_offer_leaves_the_ask_open_and_giving_up_answers_in_the_same_turn() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = rig.offered(task, 0);
    let outputs = rig.host(
        link,
        FromHost::Close(Sid(7), cause::FULL, Some(Told::NoCores)),
    );
    assert_eq!(to_owners(&outputs), []);
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Rejected, false)]);
    let outputs = rig.act(Action::Reject {
        task,
        retry_after: None,
    });
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::FULL))]
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
fn an_answer_that_comes_after_the_attempt_was_given_up_is_not_passed_on() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = rig.offered(task, 0);
    let outputs = rig.pass(300 * MS);
    assert!(sends(&outputs, link, 12) && sends(&outputs, link, 52));
    assert_eq!(rig.endings(), [(0, AttemptOutcome::TimedOut, false)]);
    let outputs = rig.host(link, FromHost::Ready(Sid(7), "late".into()));
    assert_eq!((to_owners(&outputs), rig.take_events()), (vec![], vec![]));
    // The answer showed that the connection works: it is used again, but not for the same task.
    let other = rig.ask(A, 8);
    assert!(sends(&rig.offer(other, 0), link, 1));
    let second = rig.offered(task, 0);
    assert_ne!(second, link);
    rig.take_events();
    for copy in [
        FromHost::Ready(Sid(7), "late".into()),
        FromHost::Close(Sid(7), cause::FULL, None),
    ] {
        let outputs = rig.host(link, copy);
        assert_eq!((to_owners(&outputs), rig.take_events()), (vec![], vec![]));
    }
    // A task that fails with an attempt out: the host is told, and no later answer counts.
    let outputs = rig.act(Action::Fail(task));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::ERROR))]
    );
    assert!(sends(&outputs, second, 12));
    let outputs = rig.host(second, FromHost::Ready(Sid(7), "late".into()));
    assert_eq!(
        (to_owners(&outputs), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn the_end_of_an_attempt_is_written_before_the_next_one_is_out() {
    let mut rig = Harness::new();
    rig.list("b", "127.0.0.1:2", "active", 0.0);
    // The connection to `b` is the older one, so whoever writes by connection writes the second attempt first.
    let other = rig.ask(A, 6);
    let older = rig.offered(other, 1);
    rig.host(older, FromHost::Ready(Sid(6), "t".into()));
    let task = rig.ask(A, 7);
    let newer = rig.offered(task, 0);
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
    let (standing, link) = rig.stand(8);
    let outputs = rig.says(A, FromOwner::Close(Sid(8), cause::NORMAL));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(l, _)] if *l == link),
        "{outputs:?}"
    );
    let called_off = rig.ask(A, 9);
    rig.offered(called_off, 0);
    let outputs = rig.act(Action::Cancel(AttemptId {
        task: called_off,
        number: 0,
    }));
    assert!(
        matches!(&outputs[..], [Output::SendToHostImmediately(..)]),
        "{standing:?} {outputs:?}"
    );
}

#[test]
fn an_attempt_whose_time_is_over_when_its_connection_is_made_is_not_sent() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    rig.decider.next_actions.borrow_mut().push(Action::Offer {
        task,
        machine: MachineId(0),
        timeout: 100 * MS,
    });
    rig.engine.events.push(Event::TimerFired { label: 0 });
    let link = connect(&rig.turn());
    // A placer that stood still hears of the connection before it looks at the time.
    rig.now += 120 * MS;
    rig.engine.link_up(rig.now, link);
    let outputs = rig.turn();
    assert!(
        !sends(&outputs, link, 1) && !sends(&outputs, link, 12),
        "{outputs:?}"
    );
    assert_eq!(rig.endings(), [(0, AttemptOutcome::ConnectFailed, false)]);
}
