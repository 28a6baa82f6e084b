//! Connections to hosts, and what stands there.

use super::*;

#[test]
fn what_a_host_said_in_vain_on_a_broken_connection_comes_on_one_that_is_opened_after_it() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    // An offer opens a second connection while the first is in doubt; then the first breaks in the midst of releases.
    rig.engine.doubt(rig.now, link);
    let task = rig.ask(A, 8);
    let second = rig.offered(task, 0);
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    let outputs = rig.turn();
    assert!(
        !outputs.iter().any(|o| matches!(o, Output::Connect(..))),
        "the host has not seen the end: {outputs:?}"
    );
    assert!(rig.engine.connections.contains_key(&second));
    let third = connect(&rig.pass(25 * MS));
    rig.engine.link_up(rig.now, third);
    let outputs = rig.host(
        third,
        FromHost::Close(Sid(7), cause::RESET, Some(Told::PushedOut)),
    );
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn a_connection_on_which_an_answer_is_due_is_tested_before_owners_wait_too_long_for_a_release() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    let task = rig.ask(A, 8);
    rig.decider.next_actions.borrow_mut().push(Action::Offer {
        task,
        machine: MachineId(0),
        timeout: 1_200 * MS,
    });
    rig.engine.events.push(Event::TimerFired { label: 0 });
    assert!(sends(&rig.turn(), link, 1));
    // The connection is of no further use, and the end of the other task is told on it in vain.
    let outputs = rig.pass(250 * MS);
    assert!(sends(&outputs, link, 52), "{outputs:?}");
    let again = connect(&rig.pass(250 * MS));
    rig.engine.link_up(rig.now, again);
    let outputs = rig.host(again, FromHost::Close(Sid(7), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::NORMAL))]
    );
}

#[test]
fn a_connection_that_fails_its_test_takes_all_attempts_with_it() {
    let mut rig = Harness::new();
    let (first, second) = (rig.ask(A, 7), rig.ask(A, 8));
    let link = rig.offered(first, 0);
    rig.now += 100 * MS;
    assert!(sends(&rig.offer(second, 0), link, 1));
    let outputs = rig.pass(450 * MS);
    // The first timed out at 300 ms, the second at 400; the test had no answer by 550.
    assert!(outputs.contains(&Output::CloseLink(link)));
    // The decisions know that the host has no connection, until one is made.
    let linked = |rig: &Harness| -> Vec<bool> {
        let told = rig.take_events();
        told.iter()
            .filter_map(|e| {
                if let Event::ConnectionChanged {
                    is_connected: up, ..
                } = e
                {
                    Some(*up)
                } else {
                    None
                }
            })
            .collect()
    };
    assert_eq!(linked(&rig), [false]);
    let again = connect(&rig.pass(1_100 * MS));
    assert!(again != link);
    rig.engine.link_up(rig.now, again);
    assert!(sends(&rig.offer(first, 0), again, 1));
    assert_eq!(linked(&rig), [true]);
}

#[test]
fn what_was_never_written_never_ran_and_what_was_may_have() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = connect(&rig.offer(task, 0));
    rig.engine.link_lost(rig.now, link, Loss::Refused);
    rig.turn();
    assert_eq!(rig.endings(), [(0, AttemptOutcome::ConnectFailed, false)]);
    // Never up: given up after the settings' 250 ms.
    let link = connect(&rig.offer(task, 0));
    let outputs = rig.pass(250 * MS);
    assert!(outputs.contains(&Output::CloseLink(link)));
    assert_eq!(rig.endings(), [(1, AttemptOutcome::ConnectFailed, false)]);
    let link = connect(&rig.pass(1_000 * MS));
    rig.engine.link_up(rig.now, link);
    assert!(sends(&rig.offer(task, 0), link, 1));
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    rig.turn();
    assert_eq!(rig.endings(), [(2, AttemptOutcome::Disconnected, false)]);
}

#[test]
fn offers_that_wait_for_a_connection_are_withdrawn_when_their_host_drains() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = connect(&rig.offer(task, 0));
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    rig.turn();
    assert_eq!(rig.endings(), [(0, AttemptOutcome::ConnectFailed, false)]);
    rig.engine.link_up(rig.now, link);
    assert!(!sends(&rig.turn(), link, 1));
    // And one that the decisions call off, before it was sent.
    rig.list("a", "127.0.0.1:1", "active", 0.0);
    let link = rig
        .engine
        .connections
        .keys()
        .copied()
        .next()
        .expect("it is up");
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    let link = connect(&rig.offer(task, 0));
    rig.act(Action::Cancel(AttemptId { task, number: 1 }));
    rig.engine.link_up(rig.now, link);
    assert!(!sends(&rig.turn(), link, 1));
}

#[test]
fn nothing_is_sent_to_a_host_that_leaves_even_if_it_is_wanted() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    let outputs = rig.offer(task, 0);
    assert!(
        !outputs
            .iter()
            .any(|o| matches!(o, Output::Connect(..) | Output::ToHost(..)))
    );
    assert_eq!(rig.endings(), [(0, AttemptOutcome::ConnectFailed, false)]);
}

#[test]
fn a_broken_connection_does_not_end_what_stands_and_a_refused_one_does() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    let link = connect(&rig.pass(25 * MS));
    rig.engine.link_up(rig.now, link);
    assert_eq!(rig.endings(), []);
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    let link = connect(&rig.pass(25 * MS));
    rig.engine.link_lost(rig.now, link, Loss::Refused);
    let outputs = rig.turn();
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Disconnected, true)]);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn a_host_that_drains_refuses_connections_and_its_tasks_run_on_until_it_is_gone() {
    let mut rig = Harness::new();
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    let running = SetUp {
        at: Some("a".into()),
        left_ms: None,
        ..set_up(7)
    };
    let link = connect(&rig.says(A, FromOwner::SetUp(Box::new(running))));
    rig.engine.link_lost(rig.now, link, Loss::Refused);
    for _ in 0..40 {
        let outputs = rig.pass(250 * MS);
        assert_eq!(to_owners(&outputs), []);
        let wanted = outputs.iter().filter_map(|o| match o {
            Output::Connect(link, _) => Some(*link),
            _ => None,
        });
        wanted.for_each(|link| rig.engine.link_lost(rig.now, link, Loss::Refused));
    }
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    let outputs = rig.turn();
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn what_stands_on_a_silent_host_is_released_in_time() {
    let mut rig = Harness::new();
    rig.stand(7);
    let outputs = rig.pass(1_900 * MS);
    assert_eq!(
        (rig.endings(), to_owners(&outputs)),
        (vec![], vec![]),
        "one new connection may fail, and two"
    );
    let outputs = rig.pass(400 * MS);
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Disconnected, true)]);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn a_connection_that_goes_on_after_a_silence_shows_that_the_tasks_run() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    for _ in 0..8 {
        let outputs = rig.pass(1_700 * MS);
        assert!(
            !outputs.contains(&Output::CloseLink(link)),
            "it is kept for what it will tell"
        );
        // A new connection is made first, the old one goes on a little later.
        rig.engine.link_up(rig.now, last_connect(&outputs));
        rig.pass(100 * MS);
        rig.host(link, FromHost::Probed(true));
    }
    assert_eq!((rig.endings(), rig.engine.table_sizes().tasks), (vec![], 1));
}

#[test]
fn a_host_that_comes_back_and_shows_nothing_of_its_tasks_has_lost_them() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    let up = rig.comes_back(link);
    rig.take_events();
    let task = rig.ask(A, 8);
    assert!(sends(&rig.offer(task, 0), up, 1));
    rig.host(up, FromHost::Ready(Sid(8), "t".into()));
    rig.passes_tests(up, 10);
    assert_eq!(rig.endings(), [], "until 7 s after it was heard last");
    let outputs = rig.pass(600 * MS);
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Disconnected, true)]);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
    // What came to stand since then stands, and goes on to.
    rig.passes_tests(up, 20);
    assert_eq!((rig.endings(), rig.engine.table_sizes().tasks), (vec![], 1));
}

#[test]
fn a_word_of_a_task_shows_that_the_process_is_the_one_of_before() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    let up = rig.comes_back(link);
    rig.host(up, FromHost::Event(Sid(7), Told::Served, 0.9));
    rig.passes_tests(up, 20);
    assert_eq!((rig.endings(), rig.engine.table_sizes().tasks), (vec![], 1));
}

#[test]
fn hosts_that_fall_silent_together_keep_their_tasks_for_as_long_as_owners_may_wait() {
    let mut rig = Harness::new();
    let mut links = Vec::new();
    for (n, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        rig.list(name, &format!("127.0.0.1:{}", n + 1), "active", 0.0);
        let task = rig.ask(A, 30 + n as u64);
        let link = rig.offered(task, n as u32);
        rig.host(link, FromHost::Ready(Sid(30 + n as u64), "t".into()));
        links.push(link);
    }
    rig.take_events();
    let outputs = rig.pass(6_000 * MS);
    assert_eq!(
        (rig.endings(), to_owners(&outputs)),
        (vec![], vec![]),
        "one alone is lost by now"
    );
    assert!(
        outputs
            .iter()
            .filter(|o| matches!(o, Output::Connect(..)))
            .count()
            <= 4 * 8,
        "{outputs:?}"
    );
    // The cut heals for three of them.
    for &link in &links[1..] {
        rig.host(link, FromHost::Probed(true));
    }
    let outputs = rig.pass(1_100 * MS);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(30), cause::RESET))]
    );
    assert_eq!(rig.engine.table_sizes().tasks, 3);
}

#[test]
fn new_connections_that_failed_before_a_task_stood_do_not_count_against_it() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 20);
    connect(&rig.offer(task, 0));
    // It is tried again and again, though no task stands there.
    let tries = rig
        .pass(4_600 * MS)
        .iter()
        .filter(|o| matches!(o, Output::Connect(..)))
        .count();
    assert_eq!(
        (rig.endings(), tries),
        (vec![(0, AttemptOutcome::ConnectFailed, false)], 4)
    );
    let running = SetUp {
        at: Some("a".into()),
        left_ms: None,
        ..set_up(7)
    };
    rig.says(A, FromOwner::SetUp(Box::new(running)));
    // Its first connection may fail, and the second.
    let outputs = rig.pass(600 * MS);
    assert_eq!(to_owners(&outputs), []);
    let outputs = rig.pass(1_400 * MS);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn a_host_that_answers_tests_keeps_its_tasks() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    for _ in 0..150 {
        let outputs = rig.pass(100 * MS);
        if sends(&outputs, link, 52) {
            rig.host(link, FromHost::Probed(true));
        }
    }
    assert_eq!((rig.endings(), rig.engine.table_sizes().tasks), (vec![], 1));
}

#[test]
fn a_host_that_is_gone_and_silent_loses_its_tasks_as_soon_as_a_test_has_no_answer() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    assert!(sends(&rig.turn(), link, 52));
    let outputs = rig.pass(250 * MS);
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn a_new_process_has_lost_what_stood_in_the_old_one() {
    let mut rig = Harness::new();
    rig.stand(7);
    let since = (rig.now + 100 * MS) as f64 / 1000.0;
    rig.now += 200 * MS;
    rig.list("a", "127.0.0.1:1", "active", since);
    let outputs = rig.turn();
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::RESET))]
    );
}

#[test]
fn a_connection_belongs_to_a_host_not_to_its_address() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    rig.list("b", "127.0.0.1:1", "active", 0.0);
    rig.turn();
    let task = rig.ask(A, 8);
    let other = connect(&rig.offer(task, 1));
    assert!(other != link);
    // The old host's connection breaks: nothing of it is looked for at the address that another one has now.
    rig.take_events();
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    let outputs = rig.turn();
    assert!(!outputs.iter().any(|o| matches!(o, Output::Connect(..))));
    assert_eq!(rig.endings(), [(0, AttemptOutcome::Disconnected, true)]);
}
