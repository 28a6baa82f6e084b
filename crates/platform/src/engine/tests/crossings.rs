//! Two events that cross, in both orders, and floods.

use super::*;

fn running_setup(sid: u64, at: &str) -> FromOwner {
    FromOwner::Setup(Box::new(Setup {
        running_on: Some(at.into()),
        answer_timeout_ms: None,
        ..setup(sid)
    }))
}

fn next_connect(rig: &mut Harness) -> ConnectionId {
    let connects = |o: &Output| matches!(o, Output::Connect(..));
    let outputs = (0..100)
        .map(|_| rig.advance(10 * MS))
        .find(|outputs| outputs.iter().any(connects));
    first_connect(&outputs.expect("a connection is wanted"))
}

fn take_requested_ids(rig: &Harness) -> Vec<TaskId> {
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
fn flood_of_one_owner_neither_lengthens_turns_nor_delays_another_owner() {
    let mut rig = Harness::new();
    for sid in 1..=1000 {
        rig.engine.handle_owner_message(
            rig.now,
            OWNER_A,
            Ok(FromOwner::Setup(Box::new(setup(sid)))),
        );
    }
    rig.engine.handle_owner_message(
        rig.now,
        OWNER_B,
        Ok(FromOwner::Setup(Box::new(setup(2000)))),
    );
    rig.turn();
    let first = take_requested_ids(&rig);
    assert_eq!(first.len(), MAX_ADMISSIONS_PER_TURN);
    // B's came last and is told of second. The rest come without anything else happening.
    assert_eq!(first[1], TaskId(1001));
    assert_eq!(rig.engine.next_timeout(), Some(0));
    // What its owner takes back meanwhile is never told of, nor what is asked by one who is gone.
    rig.owner_sends(OWNER_A, FromOwner::Close(SetupId(500), cause::NORMAL));
    let second = take_requested_ids(&rig);
    assert_eq!(second.len(), MAX_ADMISSIONS_PER_TURN);
    rig.engine.owner_half_closed(OWNER_A);
    rig.owner_sends(OWNER_A, FromOwner::Setup(Box::new(setup(3000))));
    assert_eq!(
        (
            take_requested_ids(&rig),
            rig.engine.pending_request_count(),
            rig.engine.table_sizes().tasks
        ),
        (vec![], 1, 1)
    );
}

#[test]
fn rejects_unadmitted_request_once_before_its_deadline() {
    let mut rig = Harness::new();
    for sid in 1..=200 {
        let set_up = Setup {
            answer_timeout_ms: Some(100.0),
            ..setup(sid)
        };
        rig.engine
            .handle_owner_message(rig.now, OWNER_A, Ok(FromOwner::Setup(Box::new(set_up))));
    }
    rig.turn();
    let told = take_requested_ids(&rig).len();
    // The next turn comes late, as on a starved machine.
    rig.now += 95 * MS;
    let answered = messages_to_owners(&rig.turn());
    assert_eq!(answered.len(), 200 - told);
    assert!(
        answered
            .iter()
            .all(|(_, m)| matches!(m, ToOwner::Close(_, cause::NO_CAPACITY)))
    );
    assert_eq!(
        (
            take_requested_ids(&rig).len(),
            rig.engine.pending_request_count()
        ),
        (0, told)
    );
}

#[test]
fn rejects_requests_beyond_the_description_limit_and_frees_it_once_a_task_runs() {
    let mut rig = Harness::new();
    rig.engine.set_max_description_bytes(10_000);
    let long = |sid| {
        FromOwner::Setup(Box::new(Setup {
            description: "x".repeat(6_000),
            ..setup(sid)
        }))
    };
    assert_eq!(messages_to_owners(&rig.owner_sends(OWNER_A, long(7))), []);
    assert_eq!(
        messages_to_owners(&rig.owner_sends(OWNER_B, long(8))),
        [(OWNER_B, ToOwner::Close(SetupId(8), cause::NO_CAPACITY))]
    );
    let task = TaskId(1);
    let link = rig.offer_and_send(task, 0);
    rig.host_sends(link, FromHost::Ready(SetupId(7), "t".into()));
    assert_eq!(
        messages_to_owners(&rig.owner_sends(OWNER_B, long(9))),
        [],
        "what stands is not sent again"
    );
}

#[test]
fn applies_result_of_a_task_that_arrives_before_its_handover() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    // The host's word first.
    rig.host_sends(link, FromHost::Close(SetupId(8), cause::RESET, None));
    let outputs = rig.owner_sends(OWNER_A, running_setup(8, "a"));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_A, ToOwner::Close(SetupId(8), cause::RESET))]
    );
    // The owner's word first: its host is told, and the owner nothing.
    rig.owner_sends(OWNER_B, FromOwner::Close(SetupId(9), cause::NORMAL));
    let outputs = rig.owner_sends(OWNER_A, running_setup(9, "a"));
    assert!(sends(&outputs, link, 12) && messages_to_owners(&outputs).is_empty());
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(9), cause::CANCELLED, None));
    assert!(messages_to_owners(&outputs).is_empty());
    // Neither another host's word nor a refusal that comes late is the end of what runs here; nor is an old one.
    rig.list("b", "127.0.0.1:77", "active", 0.0);
    let other = rig.request(OWNER_A, 10);
    let second = rig.offer_and_send(other, 1);
    rig.host_sends(second, FromHost::Close(SetupId(11), cause::RESET, None));
    rig.host_sends(link, FromHost::Close(SetupId(12), cause::NO_CAPACITY, None));
    assert_eq!(
        messages_to_owners(&rig.owner_sends(OWNER_A, running_setup(11, "a"))),
        []
    );
    assert_eq!(
        messages_to_owners(&rig.owner_sends(OWNER_A, running_setup(12, "a"))),
        []
    );
    rig.host_sends(link, FromHost::Close(SetupId(13), cause::RESET, None));
    rig.advance(11_000 * MS);
    let outputs = rig.owner_sends(OWNER_A, running_setup(13, "a"));
    assert!(
        !messages_to_owners(&outputs)
            .contains(&(OWNER_A, ToOwner::Close(SetupId(13), cause::RESET)))
    );
    // Ends of what nobody hands over are forgotten.
    for sid in 100..20_000 {
        rig.engine.handle_owner_message(
            rig.now,
            OWNER_B,
            Ok(FromOwner::Close(SetupId(sid), cause::NORMAL)),
        );
    }
    assert!(rig.engine.table_sizes().early_results <= 1 << 13);
}

#[test]
fn repeats_close_on_the_next_connection_until_the_host_confirms_it() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    assert!(sends(
        &rig.owner_sends(OWNER_A, FromOwner::Close(SetupId(7), cause::NORMAL)),
        link,
        12
    ));
    rig.engine
        .connection_lost(rig.now, link, DisconnectReason::Broken);
    // Also where the next connection does not come up either.
    let second = next_connect(&mut rig);
    rig.engine
        .connection_lost(rig.now, second, DisconnectReason::Broken);
    let third = next_connect(&mut rig);
    rig.engine.connection_established(rig.now, third);
    assert!(sends(&rig.turn(), third, 12));
    // Once the host has heard it, no more.
    assert!(
        messages_to_owners(
            &rig.host_sends(third, FromHost::Close(SetupId(7), cause::CANCELLED, None))
        )
        .is_empty()
    );
    assert_eq!(rig.engine.table_sizes().tasks, 0);
}

#[test]
fn withdraws_unsent_setup_when_its_owner_disconnects() {
    for reset in [false, true] {
        let mut rig = Harness::new();
        let task = rig.request(OWNER_A, 7);
        let link = first_connect(&rig.offer(task, 0));
        // Both lie there in one round: the connection that came up is read first.
        if reset {
            rig.engine.owner_disconnected(OWNER_A);
        } else {
            rig.engine.owner_half_closed(OWNER_A);
        }
        rig.engine.connection_established(rig.now, link);
        let outputs = rig.turn();
        assert!(!sends(&outputs, link, 1), "{outputs:?}");
        assert_eq!(
            rig.take_attempt_results(),
            [(0, AttemptOutcome::ConnectFailed, true)]
        );
    }
}

#[test]
fn probes_idle_connection_less_often_when_probes_are_charged() {
    let tests = |price: f64| {
        let mut settings = settings();
        settings["allowed"]["probes"] = json!(true);
        settings["fees"] = json!({"probe": price});
        let mut rig = Harness::with(&settings);
        let (_, link) = rig.start_task(7);
        let mut count = 0;
        for _ in 0..100 {
            let outputs = rig.advance(100 * MS);
            if sends(&outputs, link, 52) {
                count += 1;
                rig.host_sends(link, FromHost::Probed(true));
            }
        }
        // From here on it is silent: its owner hears that within what PROTOCOL allows.
        let outputs = rig.advance(7_900 * MS);
        assert!(
            messages_to_owners(&outputs)
                .contains(&(OWNER_A, ToOwner::Close(SetupId(7), cause::RESET)))
        );
        count
    };
    assert!((8..=10).contains(&tests(0.0)), "{}", tests(0.0));
    assert!((3..=4).contains(&tests(0.004)), "{}", tests(0.004));
}

#[test]
fn sends_releases_elsewhere_once_an_owner_has_half_closed() {
    let mut rig = Harness::new();
    let (_, link) = rig.start_task(7);
    rig.start_task(8);
    let task = rig.request(OWNER_B, 9);
    rig.offer_and_send(task, 0);
    rig.host_sends(link, FromHost::Ready(SetupId(9), "t".into()));
    // Its end is known before its last words are read.
    rig.engine.owner_half_closed(OWNER_A);
    let outputs = rig.owner_sends(OWNER_A, FromOwner::Close(SetupId(7), cause::NORMAL));
    assert!(sends(&outputs, link, 12));
    // What ends meanwhile is told on another connection, and so is what is handed over on this one.
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(8), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, ToOwner::Close(SetupId(8), cause::NORMAL))]
    );
    rig.owner_sends(OWNER_A, running_setup(10, "a"));
    let outputs = rig.host_sends(link, FromHost::Close(SetupId(10), cause::NORMAL, None));
    assert_eq!(
        messages_to_owners(&outputs),
        [(OWNER_B, ToOwner::Close(SetupId(10), cause::NORMAL))]
    );
}
