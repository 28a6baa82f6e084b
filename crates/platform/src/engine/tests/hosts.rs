//! Connections to hosts, and what stands there.

use super::*;

#[test]
fn opens_a_new_connection_after_a_break_so_that_lost_releases_are_repeated() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    // An offer opens a second connection while the first is in doubt; then the first breaks in the midst of releases.
    rig.engine.probe_connection(rig.now, link);
    let task = rig.request(OWNER_A, 8);
    let second = rig.offer_and_send(task, 0);
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    let outputs = rig.turn();
    assert!(
        !outputs.iter().any(|o| matches!(o, Output::Connect(..))),
        "the host has not seen the end: {outputs:?}"
    );
    assert!(rig.engine.connections.contains_key(&second));
    let third = first_connect(&rig.advance(25 * MS));
    rig.engine.connection_established(rig.now, third);
    let outputs = rig.host_sends(
        third,
        FromHost::Close(SetupId(7), cause::RESET, Some(ReportCode::Preempted)),
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn probes_connection_with_an_overdue_answer_before_a_release_is_late() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    let task = rig.request(OWNER_A, 8);
    rig.decider.next_actions.borrow_mut().push(Action::Offer {
        task,
        machine: MachineId(0),
        timeout: 1_200 * MS,
    });
    rig.engine.events.push(Event::TimerFired { label: 0 });
    assert!(sends(&rig.turn(), link, 1));
    // The connection is of no further use, and the end of the other task is told on it in vain.
    let outputs = rig.advance(250 * MS);
    assert!(sends(&outputs, link, 52), "{outputs:?}");
    let again = first_connect(&rig.advance(250 * MS));
    rig.engine.connection_established(rig.now, again);
    let outputs = rig.host_sends(again, FromHost::Close(SetupId(7), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::NORMAL))]
    );
}

#[test]
fn failed_probe_ends_all_attempts_on_the_connection() {
    let mut rig = Harness::new();
    let (first, second) = (rig.request(OWNER_A, 7), rig.request(OWNER_A, 8));
    let link = rig.offer_and_send(first, 0);
    rig.now += 100 * MS;
    assert!(sends(&rig.offer(second, 0), link, 1));
    let outputs = rig.advance(450 * MS);
    // The first timed out at 300 ms, the second at 400; the test had no answer by 550.
    assert!(outputs.contains(&Output::CloseConnection(link)));
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
    let again = first_connect(&rig.advance(1_100 * MS));
    assert!(again != link);
    rig.engine.connection_established(rig.now, again);
    assert!(sends(&rig.offer(first, 0), again, 1));
    assert_eq!(linked(&rig), [true]);
}

#[test]
fn reports_connect_failure_if_unsent_and_disconnection_if_sent() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = first_connect(&rig.offer(task, 0));
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Refused);
    rig.turn();
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    // Never up: given up after the settings' 250 ms.
    let link = first_connect(&rig.offer(task, 0));
    let outputs = rig.advance(250 * MS);
    assert!(outputs.contains(&Output::CloseConnection(link)));
    assert_eq!(
        rig.take_attempt_results(),
        [(1, AttemptOutcome::ConnectFailed, false)]
    );
    let link = first_connect(&rig.advance(1_000 * MS));
    rig.engine.connection_established(rig.now, link);
    assert!(sends(&rig.offer(task, 0), link, 1));
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    rig.turn();
    assert_eq!(
        rig.take_attempt_results(),
        [(2, AttemptOutcome::Disconnected, false)]
    );
}

#[test]
fn withdraws_waiting_offers_when_the_host_drains() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = first_connect(&rig.offer(task, 0));
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    rig.turn();
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
    rig.engine.connection_established(rig.now, link);
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
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    let link = first_connect(&rig.offer(task, 0));
    rig.perform(Action::Cancel(AttemptId { task, number: 1 }));
    rig.engine.connection_established(rig.now, link);
    assert!(!sends(&rig.turn(), link, 1));
}

#[test]
fn fails_offer_to_a_draining_host_without_sending() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    let outputs = rig.offer(task, 0);
    assert!(
        !outputs
            .iter()
            .any(|o| matches!(o, Output::Connect(..) | Output::SendToHost(..)))
    );
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::ConnectFailed, false)]
    );
}

#[test]
fn keeps_tasks_when_a_connection_breaks_and_fails_them_when_the_next_is_refused() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    let link = first_connect(&rig.advance(25 * MS));
    rig.engine.connection_established(rig.now, link);
    assert_eq!(rig.take_attempt_results(), []);
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    let link = first_connect(&rig.advance(25 * MS));
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Refused);
    let outputs = rig.turn();
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn keeps_tasks_of_a_draining_host_that_refuses_connections_until_it_is_removed() {
    let mut rig = Harness::new();
    rig.list("a", "127.0.0.1:1", "leaving", 0.0);
    let running = Setup {
        running_on: Some("a".into()),
        answer_timeout_ms: None,
        ..setup(7)
    };
    let link = first_connect(&rig.owner_sends(OWNER_A, FromOwner::Setup(Box::new(running))));
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Refused);
    for _ in 0..40 {
        let outputs = rig.advance(250 * MS);
        assert_eq!(messages_to_owners(&outputs), []);
        let wanted = outputs.iter().filter_map(|o| match o {
            Output::Connect(link, _) => Some(*link),
            _ => None,
        });
        wanted.for_each(|link| {
            rig.engine
                .connection_lost(rig.now, link, DisconnectReason::Refused)
        });
    }
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    let outputs = rig.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn releases_tasks_of_a_silent_host_in_time() {
    let mut rig = Harness::new();
    rig.start_task(7);
    let outputs = rig.advance(1_900 * MS);
    assert_eq!(
        (rig.take_attempt_results(), messages_to_owners(&outputs)),
        (vec![], vec![]),
        "one new connection may fail, and two"
    );
    let outputs = rig.advance(400 * MS);
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn keeps_tasks_when_a_silent_connection_resumes() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    for _ in 0..8 {
        let outputs = rig.advance(1_700 * MS);
        assert!(
            !outputs.contains(&Output::CloseConnection(link)),
            "it is kept for what it will tell"
        );
        // A new connection is made first, the old one goes on a little later.
        rig.engine
            .connection_established(rig.now, last_connect(&outputs));
        rig.advance(100 * MS);
        rig.host_sends(link, FromHost::Probed(true));
    }
    assert_eq!(
        (rig.take_attempt_results(), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn fails_tasks_of_a_reconnected_host_that_reports_none_of_them() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    let up = rig.fall_silent_and_reconnect(link);
    rig.take_events();
    let task = rig.request(OWNER_A, 8);
    assert!(sends(&rig.offer(task, 0), up, 1));
    rig.host_sends(up, FromHost::Ready(SetupId(8), "t".into()));
    rig.answer_probes(up, 10);
    assert_eq!(
        rig.take_attempt_results(),
        [],
        "until 7 s after it was heard last"
    );
    let outputs = rig.advance(600 * MS);
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
    // What came to stand since then stands, and goes on to.
    rig.answer_probes(up, 20);
    assert_eq!(
        (rig.take_attempt_results(), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn keeps_tasks_of_a_reconnected_host_that_reports_one_of_them() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    let up = rig.fall_silent_and_reconnect(link);
    rig.host_sends(
        up,
        FromHost::Report(SetupId(7), ReportCode::ServiceShare, 0.9),
    );
    rig.answer_probes(up, 20);
    assert_eq!(
        (rig.take_attempt_results(), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn keeps_tasks_longer_when_many_hosts_are_unreachable_together() {
    let mut rig = Harness::new();
    let mut links = Vec::new();
    for (n, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
        rig.list(name, &format!("127.0.0.1:{}", n + 1), "active", 0.0);
        let task = rig.request(OWNER_A, 30 + n as u64);
        let link = rig.offer_and_send(task, n as u32);
        rig.host_sends(link, FromHost::Ready(SetupId(30 + n as u64), "t".into()));
        links.push(link);
    }
    rig.take_events();
    let outputs = rig.advance(6_000 * MS);
    assert_eq!(
        (rig.take_attempt_results(), messages_to_owners(&outputs)),
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
        rig.host_sends(link, FromHost::Probed(true));
    }
    let outputs = rig.advance(1_100 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(30), cause::RESET))]
    );
    assert_eq!(rig.engine.table_sizes().tasks, 3);
}

#[test]
fn ignores_connect_failures_from_before_the_task_started() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 20);
    first_connect(&rig.offer(task, 0));
    // It is tried again and again, though no task stands there.
    let tries = rig
        .advance(4_600 * MS)
        .iter()
        .filter(|o| matches!(o, Output::Connect(..)))
        .count();
    assert_eq!(
        (rig.take_attempt_results(), tries),
        (vec![(0, AttemptOutcome::ConnectFailed, false)], 4)
    );
    let running = Setup {
        running_on: Some("a".into()),
        answer_timeout_ms: None,
        ..setup(7)
    };
    rig.owner_sends(OWNER_A, FromOwner::Setup(Box::new(running)));
    // Its first connection may fail, and the second.
    let outputs = rig.advance(600 * MS);
    assert_eq!(messages_to_owners(&outputs), []);
    let outputs = rig.advance(1_400 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn keeps_tasks_of_a_host_that_answers_probes() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    for _ in 0..150 {
        let outputs = rig.advance(100 * MS);
        if sends(&outputs, link, 52) {
            rig.host_sends(link, FromHost::Probed(true));
        }
    }
    assert_eq!(
        (rig.take_attempt_results(), rig.engine.table_sizes().tasks),
        (vec![], 1)
    );
}

#[test]
fn fails_tasks_of_a_removed_host_once_a_probe_is_unanswered() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    assert!(sends(&rig.turn(), link, 52));
    let outputs = rig.advance(250 * MS);
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn fails_tasks_of_the_previous_process_when_a_host_restarts() {
    let mut rig = Harness::new();
    rig.start_task(7);
    let since = (rig.now + 100 * MS) as f64 / 1000.0;
    rig.now += 200 * MS;
    rig.list("a", "127.0.0.1:1", "active", since);
    let outputs = rig.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET))]
    );
}

#[test]
fn does_not_reuse_a_connection_for_another_host_at_the_same_address() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    rig.list("a", "127.0.0.1:1", "left", 0.0);
    rig.list("b", "127.0.0.1:1", "active", 0.0);
    rig.turn();
    let task = rig.request(OWNER_A, 8);
    let other = first_connect(&rig.offer(task, 1));
    assert!(other != link);
    // The old host's connection breaks: nothing of it is looked for at the address that another one has now.
    rig.take_events();
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    let outputs = rig.turn();
    assert!(!outputs.iter().any(|o| matches!(o, Output::Connect(..))));
    assert_eq!(
        rig.take_attempt_results(),
        [(0, AttemptOutcome::Disconnected, true)]
    );
}
