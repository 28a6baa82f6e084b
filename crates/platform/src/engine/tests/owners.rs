//! Owners' connections and what they are told.

use super::*;

#[test]
fn a_release_finds_another_connection_when_its_own_has_gone() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    rig.engine.owner_closed(A);
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::NORMAL, None));
    assert_eq!(to_owners(&outputs), []);
    // It waits for an owner whose task stands: one that only asks may be making trouble.
    let task = rig.ask(B, 8);
    assert!(sends(&rig.offer(task, 0), link, 1));
    let outputs = rig.host(link, FromHost::Ready(Sid(8), "t".into()));
    let ready = (B, ToOwner::Ready(Sid(8), "t".into()));
    assert_eq!(
        to_owners(&outputs),
        [ready, (B, ToOwner::Close(Sid(7), cause::NORMAL))]
    );
}

#[test]
fn clients_that_only_ask_take_neither_the_place_nor_the_releases_of_owners() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    // Many ask after it, and none of theirs ever stands: its connection is not the one that is spared.
    for n in 0..50 {
        rig.now += MS;
        rig.engine.owner_opened(rig.now, OwnerId(100 + n));
        let task = rig.ask(OwnerId(100 + n), 100 + n);
        rig.act(Action::Reject {
            task,
            retry_after: None,
        });
    }
    rig.engine.owner_closed(B);
    assert_eq!(rig.engine.spare_owner(), Some(OwnerId(100)));
    rig.engine.owner_closed(A);
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::NORMAL, None));
    assert_eq!(to_owners(&outputs), []);
}

#[test]
fn an_id_in_use_is_turned_away_and_the_first_ask_goes_on() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let outputs = rig.says(B, FromOwner::SetUp(Box::new(set_up(7))));
    assert_eq!(
        to_owners(&outputs),
        [(B, ToOwner::Close(Sid(7), cause::MOOT))]
    );
    assert_eq!(
        (rig.take_events(), rig.engine.pending_request_count()),
        (vec![], 1)
    );
    let link = rig.offered(task, 0);
    let outputs = rig.host(link, FromHost::Ready(Sid(7), "t".into()));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Ready(Sid(7), "t".into()))]
    );
}

#[test]
fn an_id_open_on_the_same_connection_closes_it() {
    let mut rig = Harness::new();
    rig.ask(A, 7);
    let outputs = rig.says(A, FromOwner::SetUp(Box::new(set_up(7))));
    assert_eq!(outputs, [Output::CloseOwner(A)]);
    assert!(matches!(
        rig.take_events()[..],
        [Event::ClientDisconnected(_)]
    ));
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn what_cannot_be_an_ask_is_turned_away() {
    let mut rig = Harness::new();
    let odd = SetUp {
        class: "nosuch".into(),
        ..set_up(7)
    };
    let keyless = SetUp {
        class: "batch".into(),
        ..set_up(8)
    };
    for set_up in [odd, keyless] {
        let sid = set_up.sid;
        let outputs = rig.says(A, FromOwner::SetUp(Box::new(set_up)));
        assert_eq!(
            to_owners(&outputs),
            [(A, ToOwner::Close(sid, cause::ERROR))]
        );
    }
    rig.engine
        .owner_says(rig.now, A, Err(Fault::Field(Sid(9), "left", "a time")));
    assert_eq!(
        to_owners(&rig.turn()),
        [(A, ToOwner::Close(Sid(9), cause::ERROR))]
    );
    rig.engine.owner_says(rig.now, A, Err(Fault::TooLong));
    assert_eq!(rig.turn(), [Output::CloseOwner(A)]);
    assert_eq!(
        (rig.take_events(), rig.engine.table_sizes().tasks),
        (vec![], 0)
    );
}

#[test]
fn an_owner_that_says_nothing_is_closed_within_three_seconds_and_one_that_asked_is_not() {
    let mut rig = Harness::new();
    rig.ask(A, 7);
    let outputs = rig.pass(2_900 * MS);
    assert!(outputs.contains(&Output::CloseOwner(B)) && !outputs.contains(&Output::CloseOwner(A)));
}

#[test]
fn connections_are_spared_silent_ones_first_and_never_one_with_an_open_ask() {
    let mut rig = Harness::new();
    rig.ask(A, 7);
    assert_eq!(rig.engine.spare_owner(), Some(B));
    rig.engine.owner_closed(B);
    assert_eq!(rig.engine.spare_owner(), None);
}

#[test]
fn an_owner_that_gives_up_or_goes_is_owed_nothing() {
    let mut rig = Harness::new();
    let (first, second) = (rig.ask(A, 7), rig.ask(B, 8));
    let link = rig.offered(first, 0);
    rig.offer(second, 0);
    let outputs = rig.says(A, FromOwner::Close(Sid(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12) && to_owners(&outputs).is_empty());
    rig.engine.owner_closed(B);
    assert!(sends(&rig.turn(), link, 12));
    let told = rig.take_events();
    let gone: Vec<&Event> = told
        .iter()
        .filter(|e| matches!(e, Event::ClientDisconnected(_)))
        .collect();
    assert_eq!(
        gone,
        [
            &Event::ClientDisconnected(first),
            &Event::ClientDisconnected(second)
        ]
    );
    assert_eq!(
        (
            rig.engine.table_sizes().tasks,
            rig.engine.pending_request_count()
        ),
        (0, 0)
    );
}

#[test]
fn an_owner_ends_its_task_on_any_connection_and_is_owed_no_release() {
    let mut rig = Harness::new();
    let (_, link) = rig.stand(7);
    let outputs = rig.says(B, FromOwner::Close(Sid(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12));
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::CANCELLED, None));
    assert_eq!(
        (to_owners(&outputs), rig.endings()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
}

#[test]
fn a_move_is_told_to_the_owner_alone_once_and_the_host_ends_the_task() {
    let mut rig = Harness::new();
    let (task, link) = rig.stand(7);
    // A release to the host as well would cut the task, for which the owner is owed a release.
    assert_eq!(
        rig.act(Action::Migrate(task)),
        [Output::ToOwner(A, ToOwner::Relocate(Sid(7)))]
    );
    assert_eq!(rig.act(Action::Migrate(task)), []);
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::CANCELLED, None));
    assert_eq!(
        (to_owners(&outputs), rig.endings()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
    // One that ends otherwise before it was moved is owed its release; without an owner's connection nothing is moved.
    let (task, link) = rig.stand(8);
    rig.act(Action::Migrate(task));
    let outputs = rig.host(link, FromHost::Close(Sid(8), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(8), cause::NORMAL))]
    );
    let (task, _) = rig.stand(9);
    rig.engine.owner_closed(A);
    assert_eq!(rig.act(Action::Migrate(task)), []);
}

#[test]
fn a_task_that_runs_already_is_taken_over_with_a_connection_to_its_host() {
    let mut rig = Harness::new();
    let running = |sid, at: &str| {
        FromOwner::SetUp(Box::new(SetUp {
            at: Some(at.into()),
            left_ms: None,
            ..set_up(sid)
        }))
    };
    let outputs = rig.says(A, running(7, "a"));
    let link = connect(&outputs);
    rig.engine.link_up(rig.now, link);
    let told = rig.take_events();
    assert!(matches!(
        told[..],
        [Event::TaskAdopted {
            task: Task {
                service: ServiceId(9),
                ..
            },
            machine: MachineId(0)
        }]
    ));
    // The same once more changes nothing; a host that no list ever names loses its tasks in time.
    rig.says(A, running(7, "a"));
    assert_eq!(rig.take_events(), []);
    let outputs = rig.host(link, FromHost::Close(Sid(7), cause::NORMAL, None));
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::NORMAL))]
    );
    rig.says(A, running(8, "unheard-of"));
    let outputs = rig.pass(7_900 * MS);
    assert!(to_owners(&outputs).contains(&(A, ToOwner::Close(Sid(8), cause::RESET))));
}

#[test]
fn a_task_whose_name_came_before_comes_again() {
    let mut rig = Harness::new();
    let again = |rig: &mut Harness, sid: u64, key: &str| {
        rig.says(
            A,
            FromOwner::SetUp(Box::new(SetUp {
                key: key.into(),
                ..set_up(sid)
            })),
        );
        let told = rig.take_events().into_iter();
        told.filter_map(|e| {
            if let Event::PlacementRequested(task) = e {
                Some(task.is_resubmission)
            } else {
                None
            }
        })
        .next()
    };
    assert_eq!(again(&mut rig, 7, "one"), Some(false));
    assert_eq!(again(&mut rig, 8, "two"), Some(false));
    assert_eq!(again(&mut rig, 9, "one"), Some(true));
    // Names are not kept for good.
    rig.now += 120_000 * MS;
    assert_eq!(again(&mut rig, 10, "one"), Some(false));
}

#[test]
fn whoever_waits_when_the_process_must_end_is_answered() {
    let mut rig = Harness::new();
    let task = rig.ask(A, 7);
    let link = rig.offered(task, 0);
    rig.engine.stop(rig.now + 100 * MS);
    assert_eq!(to_owners(&rig.turn()), []);
    rig.now += 100 * MS;
    let outputs = rig.turn();
    assert_eq!(
        to_owners(&outputs),
        [(A, ToOwner::Close(Sid(7), cause::ERROR))]
    );
    assert!(sends(&outputs, link, 12));
    assert_eq!(rig.engine.pending_request_count(), 0);
}
