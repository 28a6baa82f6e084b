//! Two events that cross, in both orders, and floods.

use super::*;

fn running(sid: u64, at: &str) -> FromOwner {
    FromOwner::SetUp(Box::new(SetUp {
        at: Some(at.into()),
        left_ms: None,
        ..set_up(sid)
    }))
}

fn next_connect(rig: &mut Harness) -> LinkId {
    let connects = |o: &Output| matches!(o, Output::Connect(..));
    let outputs = (0..100)
        .map(|_| rig.pass(10 * MS))
        .find(|outputs| outputs.iter().any(connects));
    connect(&outputs.expect("a connection is wanted"))
}

fn asked(rig: &Harness) -> Vec<TaskId> {
    let told = rig.take_events().into_iter();
    told.filter_map(|e| {
        if let Event::PlacementRequested(task) = e {
            Some(task.id)
        } else {
            None
        }
    })
    .collect()
}

#[test]
fn one_owner_that_asks_by_the_thousand_makes_no_turn_long_and_no_other_wait() {
    let mut rig = Harness::new();
    for sid in 1..=1000 {
        rig.engine
            .owner_says(rig.now, A, Ok(FromOwner::SetUp(Box::new(set_up(sid)))));
    }
    rig.engine
        .owner_says(rig.now, B, Ok(FromOwner::SetUp(Box::new(set_up(2000)))));
    rig.turn();
    let first = asked(&rig);
    assert_eq!(first.len(), ASKS_A_TURN);
    // B's came last and is told of second. The rest come without anything else happening.
    assert_eq!(first[1], TaskId(1001));
    assert_eq!(rig.engine.next_timeout(), Some(0));
    // What its owner takes back meanwhile is never told of, nor what is asked by one who is gone.
    rig.says(A, FromOwner::Close(Sid(500), cause::NORMAL));
    let second = asked(&rig);
    assert_eq!(second.len(), ASKS_A_TURN);
    rig.engine.owner_gone(A);
    rig.says(A, FromOwner::SetUp(Box::new(set_up(3000))));
    assert_eq!(
        (
            asked(&rig),
            rig.engine.pending_request_count(),
            rig.engine.table_sizes().tasks
        ),
        (vec![], 1, 1)
    );
}

#[test]
fn an_ask_whose_time_is_over_before_the_decisions_hear_of_it_is_refused_in_time_and_once() {
    let mut rig = Harness::new();
    for sid in 1..=200 {
        let set_up = SetUp {
            left_ms: Some(100.0),
            ..set_up(sid)
        };
        rig.engine
            .owner_says(rig.now, A, Ok(FromOwner::SetUp(Box::new(set_up))));
    }
    rig.turn();
    let told = asked(&rig).len();
    // The next turn comes late, as on a starved machine.
    rig.now += 95 * MS;
    let answered = to_owners(&rig.turn());
    assert_eq!(answered.len(), 200 - told);
    assert!(
        answered
            .iter()
            .all(|(_, m)| matches!(m, ToOwner::Close(_, cause::FULL)))
    );
    assert_eq!(
        (asked(&rig).len(), rig.engine.pending_request_count()),
        (0, told)
    );
}

#[test]
fn descriptions_are_held_up_to_a_bound_and_not_for_what_stands() {
    let mut rig = Harness::new();
    rig.engine.limit_text(10_000);
    let long = |sid| {
        FromOwner::SetUp(Box::new(SetUp {
            text: "x".repeat(6_000),
            ..set_up(sid)
        }))
    };
    assert_eq!(to_owners(&rig.says(A, long(7))), []);
    assert_eq!(
        to_owners(&rig.says(B, long(8))),
        [(B, ToOwner::Close(Sid(8), cause::FULL))]
    );
    let task = TaskId(1);
    let link = rig.offered(task, 0);
    rig.host(link, FromHost::Ready(Sid(7), "t".into()));
    assert_eq!(
        to_owners(&rig.says(B, long(9))),
        [],
        "what stands is not sent again"
    );
}

#[test]
fn an_end_and_the_hand_over_of_its_task_may_come_in_either_order() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    // The host's word first.
    rig.host(link, FromHost::Close(Sid(8), cause::RESET, None));
    let outputs = rig.says(A, running(8, "a"));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(8), cause::RESET))]
    );
    // The owner's word first: its host is told, and the owner nothing.
    rig.says(B, FromOwner::Close(Sid(9), cause::NORMAL));
    let outputs = rig.says(A, running(9, "a"));
    assert!(sends(&outputs, link, 12) && to_owners(&outputs).is_empty());
    let outputs = rig.host(link, FromHost::Close(Sid(9), cause::CANCELLED, None));
    assert!(to_owners(&outputs).is_empty());
    // Neither another host's word nor a refusal that comes late is the end of what runs here; nor is an old one.
    rig.list("b", "127.0.0.1:77", "active", 0.0);
    let other = rig.ask(A, 10);
    let second = rig.offered(other, 1);
    rig.host(second, FromHost::Close(Sid(11), cause::RESET, None));
    rig.host(link, FromHost::Close(Sid(12), cause::FULL, None));
    assert_eq!(to_owners(&rig.says(A, running(11, "a"))), []);
    assert_eq!(to_owners(&rig.says(A, running(12, "a"))), []);
    rig.host(link, FromHost::Close(Sid(13), cause::RESET, None));
    rig.pass(11_000 * MS);
    let outputs = rig.says(A, running(13, "a"));
    assert!(!to_owners(&outputs).contains(&(A, ToOwner::Close(Sid(13), cause::RESET))));
    // Ends of what nobody hands over are forgotten.
    for sid in 100..20_000 {
        rig.engine
            .owner_says(rig.now, B, Ok(FromOwner::Close(Sid(sid), cause::NORMAL)));
    }
    assert!(rig.engine.table_sizes().early <= 1 << 13);
}

#[test]
fn the_end_of_a_task_that_a_broken_connection_may_have_lost_is_said_again() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    assert!(sends(
        &rig.says(A, FromOwner::Close(Sid(7), cause::NORMAL)),
        link,
        12
    ));
    rig.engine.link_lost(rig.now, link, Loss::Broken);
    // Also where the next connection does not come up either.
    let second = next_connect(&mut rig);
    rig.engine.link_lost(rig.now, second, Loss::Broken);
    let third = next_connect(&mut rig);
    rig.engine.link_up(rig.now, third);
    assert!(sends(&rig.turn(), third, 12));
    // Once the host has heard it, no more.
    assert!(
        to_owners(&rig.host(third, FromHost::Close(Sid(7), cause::CANCELLED, None))).is_empty()
    );
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn an_owner_that_goes_while_its_set_up_waits_for_a_connection_has_it_withdrawn_unsent() {
    for reset in [false, true] {
        let mut rig = Harness::new();
        let task = rig.ask(A, 7);
        let link = connect(&rig.offer(task, 0));
        // Both lie there in one round: the connection that came up is read first.
        if reset {
            rig.engine.owner_closed(A);
        } else {
            rig.engine.owner_gone(A);
        }
        rig.engine.link_up(rig.now, link);
        let outputs = rig.turn();
        assert!(!sends(&outputs, link, 1), "{outputs:?}");
        assert_eq!(rig.endings(), [(0, AttemptOutcome::ConnectFailed, true)]);
    }
}

#[test]
fn where_tests_cost_a_quiet_connection_is_tested_less_often_and_still_in_time() {
    let tests = |price: f64| {
        let mut settings = settings();
        settings["allowed"]["probes"] = json!(true);
        settings["fees"] = json!({"probe": price});
        let mut rig = Harness::with(&settings);
        let (_, link) = rig.stand(7);
        let mut count = 0;
        for _ in 0..100 {
            let outputs = rig.pass(100 * MS);
            if sends(&outputs, link, 52) {
                count += 1;
                rig.host(link, FromHost::Probed(true));
            }
        }
        // From here on it is silent: its owner hears that within what PROTOCOL allows.
        let outputs = rig.pass(7_900 * MS);
        assert!(to_owners(&outputs).contains(&(A, ToOwner::Close(Sid(7), cause::RESET))));
        count
    };
    assert!((8..=10).contains(&tests(0.0)), "{}", tests(0.0));
    assert!((3..=4).contains(&tests(0.004)), "{}", tests(0.004));
}

#[test]
fn an_owner_that_goes_may_have_ended_a_task_and_is_told_nothing_more() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    rig.stand(8);
    let task = rig.ask(B, 9);
    rig.offered(task, 0);
    rig.host(link, FromHost::Ready(Sid(9), "t".into()));
    // Its end is known before its last words are read.
    rig.engine.owner_gone(A);
    let outputs = rig.says(A, FromOwner::Close(Sid(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12));
    // What ends meanwhile is told on another connection, and so is what is handed over on this one.
    let outputs = rig.host(link, FromHost::Close(Sid(8), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(B, ToOwner::Close(Sid(8), cause::NORMAL))]
    );
    rig.says(A, running(10, "a"));
    let outputs = rig.host(link, FromHost::Close(Sid(10), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(B, ToOwner::Close(Sid(10), cause::NORMAL))]
    );
}
