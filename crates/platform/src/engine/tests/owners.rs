//! Owners' connections and what they are told.

use super::*;

#[test]
fn sends_release_on_another_connection_when_its_own_is_closed() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    rig.engine.owner_disconnected(OWNER_A);
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::NORMAL, None));
    assert_eq!(messages_to_owners(&outputs), []);
    // It waits for an owner whose task stands: one that only asks may be making trouble.
    let task = rig.request(OWNER_B, 8);
    assert!(sends(&rig.offer(task, 0), link, 1));
    let outputs = rig.host_sends(link, FromHost::Ready(SetupId(8), "t".into()));
    let ready = (OWNER_B, ToOwner::Ready(SetupId(8), "t".into()));
    assert_eq!(
        messages_to_owners(&outputs),
        [ready, (OWNER_B, ToOwner::Close(SetupId(7), cause::NORMAL))]
    );
}

#[test]
fn clients_without_placed_tasks_do_not_receive_releases_of_others() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    // Many ask after it, and none of theirs ever stands: its connection is not the one that is spared.
    for n in 0..50 {
        rig.now += MS;
        rig.engine.owner_connected(rig.now, OwnerId(100 + n));
        let task = rig.request(OwnerId(100 + n), 100 + n);
        rig.perform(Action::Reject {
            task,
            retry_after: None,
        });
    }
    rig.engine.owner_disconnected(OWNER_B);
    assert_eq!(rig.engine.least_useful_owner(), Some(OwnerId(100)));
    rig.engine.owner_disconnected(OWNER_A);
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::NORMAL, None));
    assert_eq!(messages_to_owners(&outputs), []);
}

#[test]
fn rejects_setup_id_in_use_and_keeps_the_first_request() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let outputs = rig.owner_sends(OWNER_B, FromOwner::Setup(Box::new(setup(7))));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, ToOwner::Close(SetupId(7), cause::NEVER_SENT))]
    );
    assert_eq!(
        (rig.take_events(), rig.engine.pending_request_count()),
        (vec![], 1)
    );
    let link = rig.offer_and_send(task, 0);
    let outputs = rig.host_sends(link, FromHost::Ready(SetupId(7), "t".into()));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Ready(SetupId(7), "t".into()))]
    );
}

#[test]
fn closes_connection_that_repeats_its_own_pending_setup_id() {
    let mut rig = Harness::new();
    rig.request(OWNER_A, 7);
    let outputs = rig.owner_sends(OWNER_A, FromOwner::Setup(Box::new(setup(7))));
    assert_eq!(outputs, [Output::CloseOwner(OWNER_A)]);
    assert!(matches!(
        rig.take_events()[..],
        [Event::ClientDisconnected(_)]
    ));
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn rejects_invalid_requests() {
    let mut rig = Harness::new();
    let odd = Setup {
        class: "nosuch".into(),
        ..setup(7)
    };
    let keyless = Setup {
        class: "batch".into(),
        ..setup(8)
    };
    for set_up in [odd, keyless] {
        let sid = set_up.id;
        let outputs = rig.owner_sends(OWNER_A, FromOwner::Setup(Box::new(set_up)));
        assert_eq!(
            messages_to_owners(&outputs),
            [(OWNER_A, ToOwner::Close(sid, cause::ERROR))]
        );
    }
    rig.engine.handle_owner_message(
        rig.now,
        OWNER_A,
        Err(DecodeError::InvalidField(SetupId(9), "left", "a time")),
    );
    assert_eq!(
        messages_to_owners(&rig.turn()),
        [(OWNER_A, ToOwner::Close(SetupId(9), cause::ERROR))]
    );
    rig.engine
        .handle_owner_message(rig.now, OWNER_A, Err(DecodeError::LineTooLong));
    assert_eq!(rig.turn(), [Output::CloseOwner(OWNER_A)]);
    assert_eq!(
        (rig.take_events(), rig.engine.table_sizes().tasks),
        (vec![], 0)
    );
}

#[test]
fn closes_silent_owner_within_three_seconds_and_keeps_one_that_sent_a_request() {
    let mut rig = Harness::new();
    rig.request(OWNER_A, 7);
    let outputs = rig.advance(2_900 * MS);
    assert!(
        outputs.contains(&Output::CloseOwner(OWNER_B))
            && !outputs.contains(&Output::CloseOwner(OWNER_A))
    );
}

#[test]
fn least_useful_owner_is_the_silent_one_and_never_one_with_a_pending_request() {
    let mut rig = Harness::new();
    rig.request(OWNER_A, 7);
    assert_eq!(rig.engine.least_useful_owner(), Some(OWNER_B));
    rig.engine.owner_disconnected(OWNER_B);
    assert_eq!(rig.engine.least_useful_owner(), None);
}

#[test]
fn cancelled_and_disconnected_requests_get_no_answer() {
    let mut rig = Harness::new();
    let (first, second) = (rig.request(OWNER_A, 7), rig.request(OWNER_B, 8));
    let link = rig.offer_and_send(first, 0);
    rig.offer(second, 0);
    let outputs = rig.owner_sends(OWNER_A, FromOwner::Close(SetupId(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12) && messages_to_owners(&outputs).is_empty());
    rig.engine.owner_disconnected(OWNER_B);
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
fn owner_can_close_its_task_on_any_connection_and_gets_no_release() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    let outputs = rig.owner_sends(OWNER_B, FromOwner::Close(SetupId(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12));
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::CANCELLED, None));
    assert_eq!(
        (messages_to_owners(&outputs), rig.take_attempt_results()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
}

#[test]
fn sends_relocation_to_the_owner_once_and_leaves_the_close_to_the_host() {
    let mut rig = Harness::new();
    let (task, link) = rig.start_task(7);
    // A release to the host as well would cut the task, for which the owner is owed a release.
    assert_eq!(
        rig.perform(Action::Migrate(task)),
        [Output::SendToOwner(OWNER_A, ToOwner::Relocate(SetupId(7)))]
    );
    assert_eq!(rig.perform(Action::Migrate(task)), []);
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::CANCELLED, None));
    assert_eq!(
        (messages_to_owners(&outputs), rig.take_attempt_results()),
        (vec![], vec![(0, AttemptOutcome::Cancelled, true)])
    );
    // One that ends otherwise before it was moved is owed its release; without an owner's connection nothing is moved.
    let (task, link) = rig.start_task(8);
    rig.perform(Action::Migrate(task));
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(8), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(8), cause::NORMAL))]
    );
    let (task, _) = rig.start_task(9);
    rig.engine.owner_disconnected(OWNER_A);
    assert_eq!(rig.perform(Action::Migrate(task)), []);
}

#[test]
fn adopts_a_running_task_and_connects_to_its_host() {
    let mut rig = Harness::new();
    let running = |sid, at: &str| {
        FromOwner::Setup(Box::new(Setup {
            running_on: Some(at.into()),
            answer_timeout_ms: None,
            ..setup(sid)
        }))
    };
    let outputs = rig.owner_sends(OWNER_A, running(7, "a"));
    let link = first_connect(&outputs);
    rig.engine.connection_established(rig.now, link);
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
    rig.owner_sends(OWNER_A, running(7, "a"));
    assert_eq!(rig.take_events(), []);
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(7), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::NORMAL))]
    );
    rig.owner_sends(OWNER_A, running(8, "unheard-of"));
    let outputs = rig.advance(7_900 * MS);
    assert!(
        messages_to_owners(&outputs).contains(&(OWNER_A, ToOwner::Close(SetupId(8), cause::RESET)))
    );
}

#[test]
fn marks_a_task_with_a_recent_name_as_resubmitted() {
    let mut rig = Harness::new();
    let again = |rig: &mut Harness, sid: u64, key: &str| {
        rig.owner_sends(
            OWNER_A,
            FromOwner::Setup(Box::new(Setup {
                task_name: key.into(),
                ..setup(sid)
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
fn answers_all_pending_requests_before_the_process_ends() {
    let mut rig = Harness::new();
    let task = rig.request(OWNER_A, 7);
    let link = rig.offer_and_send(task, 0);
    rig.engine.drain_until(rig.now + 100 * MS);
    assert_eq!(messages_to_owners(&rig.turn()), []);
    rig.now += 100 * MS;
    let outputs = rig.turn();
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(7), cause::ERROR))]
    );
    assert!(sends(&outputs, link, 12));
    assert_eq!(rig.engine.pending_request_count(), 0);
}
