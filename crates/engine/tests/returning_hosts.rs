//! A host that leaves the inventory and returns keeps its id, so that recent offers to it still count for the decider.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use maplethread::{Action, AttemptOutcome, Event, MachineId, Micros};
use maplethread_config::{HostEntry, HostState};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame, Offer, Reason};
use support::NOW;

/// What the events of a decider have reported: the machines, the number of running tasks, and the outcomes of attempts.
#[derive(Default)]
struct Observations {
    machines: BTreeSet<MachineId>,
    running: i32,
    outcomes: Vec<AttemptOutcome>,
}

/// A decider that records its events, and offers each request to the first machine.
struct RecordingDecider(Rc<RefCell<Observations>>);

impl Decide for RecordingDecider {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let mut observations = self.0.borrow_mut();
        for event in events {
            match event {
                Event::EndpointsUpdated { machines, .. } => observations
                    .machines
                    .extend(machines.iter().map(|m| m.machine)),
                Event::PlacementRequested(task) => actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(0),
                    timeout: 1_000_000,
                }),
                Event::AttemptAccepted { .. } | Event::TaskAdopted { .. } => {
                    observations.running += 1
                }
                Event::AttemptFinished { result: end, .. } => {
                    observations.running -= 1;
                    observations.outcomes.push(end.outcome);
                }
                _ => {}
            }
        }
    }
}

fn entry(n: u16, state: HostState) -> HostEntry {
    HostEntry {
        name: format!("h{n}"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1000 + n)),
        zone: "hall-a".to_owned(),
        cell: "c".to_owned(),
        kind: "std-16".to_owned(),
        state,
        started_ms: Some(NOW / 1000),
        unallocated_cores: None,
        unallocated_memory_gib: None,
    }
}

#[test]
fn host_keeps_its_id_while_absent_and_is_connected_again() {
    let config = support::config();
    let observations = Rc::new(RefCell::new(Observations::default()));
    let start = support::start_info();
    let mut engine = Engine::new(config, RecordingDecider(observations.clone()), start, NOW);
    let mut now = NOW;
    for round in 0..5 {
        engine.apply_host_changes(now, &[entry(1, HostState::Ready)]);
        engine.turn(now, false);
        let connects = engine.take_outputs().into_iter().filter_map(|o| match o {
            Output::Connect(id, _) => Some(id),
            _ => None,
        });
        let connects: Vec<_> = connects.collect();
        assert_eq!(
            connects.len(),
            1,
            "round {round}: the engine connects at once"
        );
        engine.host_closed(now + 1000, connects[0], 0);
        engine.apply_host_changes(now + 2000, &[entry(1, HostState::Gone)]);
        engine.turn(now + 2000, false);
        engine.take_outputs();
        now += 10_000;
    }
    assert_eq!(
        observations.borrow().machines.len(),
        1,
        "the host keeps its id: {:?}",
        observations.borrow().machines
    );
    // Another host gets another id.
    engine.apply_host_changes(
        now,
        &[entry(1, HostState::Ready), entry(2, HostState::Ready)],
    );
    let connects = engine
        .take_outputs()
        .into_iter()
        .filter(|o| matches!(o, Output::Connect(..)))
        .count();
    assert_eq!(connects, 2);
}

/// Takes the frames that the engine has sent to hosts.
fn take_host_frames(engine: &mut Engine<RecordingDecider>) -> Vec<Frame> {
    let mut frames = Vec::new();
    for output in engine.take_outputs() {
        if let Output::ToHost(_, bytes) = output {
            frames.extend(frame::decode(&bytes).expect("valid frame").0);
        }
    }
    frames
}

fn receive_frames(engine: &mut Engine<RecordingDecider>, now: u64, frames: &[Frame]) {
    let bytes = support::encode(frames);
    assert_eq!(engine.host_bytes(now, HostId(0), &bytes), bytes.len());
}

/// The host's greeting, always from the same process.
fn hello() -> Frame {
    support::hello("h1", NOW / 1000)
}

/// An engine that has placed one task on the host, the observations of its decider, and the offer.
fn engine_with_placed_task() -> (Engine<RecordingDecider>, Rc<RefCell<Observations>>, Offer) {
    let config = support::config();
    let observations = Rc::new(RefCell::new(Observations::default()));
    let start = support::start_info();
    let mut engine = Engine::new(config, RecordingDecider(observations.clone()), start, NOW);
    engine.apply_host_changes(NOW, &[entry(1, HostState::Ready)]);
    engine.host_connected(NOW, HostId(0));
    receive_frames(&mut engine, NOW, &[hello(), Frame::HeldEnd]);
    engine.turn(NOW, false);
    engine.client_opened(NOW, ClientId(1));
    let body = r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":2000}"#;
    let request = support::post_actor("", body);
    engine.client_bytes(NOW, ClientId(1), request.as_bytes());
    engine.turn(NOW, false);
    let offer = take_host_frames(&mut engine).into_iter().find_map(|f| {
        if let Frame::Offer(o) = f {
            Some(o)
        } else {
            None
        }
    });
    let offer = offer.expect("an offer");
    receive_frames(
        &mut engine,
        NOW + 1000,
        &[
            Frame::Accepted(offer.attempt_id, 1),
            Frame::Started(offer.attempt_id, 1),
        ],
    );
    engine.turn(NOW + 1000, false);
    assert_eq!(observations.borrow().running, 1);
    (engine, observations, offer)
}

#[test]
fn task_reported_lost_counts_until_returning_host_has_stopped_it() {
    let (mut engine, observations, offer) = engine_with_placed_task();
    // The connection is lost and the host leaves the inventory: the task is lost.
    engine.host_closed(NOW + 2000, HostId(0), u64::MAX);
    engine.apply_host_changes(NOW + 3000, &[entry(1, HostState::Gone)]);
    engine.turn(NOW + 3000, false);
    assert_eq!(observations.borrow().running, 0);
    // The host returns with the same process, which still runs the task.
    engine.apply_host_changes(NOW + 4000, &[entry(1, HostState::Ready)]);
    engine.host_connected(NOW + 5000, HostId(0));
    receive_frames(
        &mut engine,
        NOW + 5000,
        &[hello(), Frame::Held(offer.clone(), true), Frame::HeldEnd],
    );
    engine.turn(NOW + 5000, false);
    let frames = take_host_frames(&mut engine);
    assert!(
        frames.contains(&Frame::Stop(offer.attempt_id)),
        "{frames:?}"
    );
    assert_eq!(
        observations.borrow().running,
        1,
        "the task counts as running until the host has stopped it"
    );
    receive_frames(
        &mut engine,
        NOW + 6000,
        &[Frame::Ended(offer.attempt_id, Reason::Stopped, true, None)],
    );
    engine.turn(NOW + 6000, false);
    assert_eq!(observations.borrow().running, 0);
}

#[test]
fn earlier_connection_loss_does_not_shorten_a_later_one() {
    let (mut engine, observations, offer) = engine_with_placed_task();
    // The connection is lost and re-established, and the host lists the task. It is lost again 4 s after the first
    // loss.
    engine.host_closed(NOW + 2000, HostId(0), u64::MAX);
    let mut connected = false;
    while let Some(at) = engine.next_timeout().filter(|&at| at <= NOW + 4_000_000) {
        engine.turn(at, false);
        if !connected
            && engine
                .take_outputs()
                .iter()
                .any(|o| matches!(o, Output::Connect(..)))
        {
            connected = true;
            engine.host_connected(at, HostId(0));
            receive_frames(
                &mut engine,
                at,
                &[hello(), Frame::Held(offer.clone(), true), Frame::HeldEnd],
            );
        }
        if connected {
            receive_frames(&mut engine, at, &[Frame::Pong(0)]);
        }
    }
    assert!(connected);
    engine.host_closed(NOW + 4_000_000, HostId(0), u64::MAX);
    let run_until = |engine: &mut Engine<RecordingDecider>, until: u64| {
        while let Some(at) = engine.next_timeout().filter(|&at| at <= until) {
            engine.turn(at, false);
            engine.take_outputs();
        }
    };
    // `hosts.lost_after_ms` is 5 s, which is over for the first loss but not for the second.
    run_until(&mut engine, NOW + 6_000_000);
    assert_eq!(observations.borrow().running, 1, "the task is not lost yet");
    run_until(&mut engine, NOW + 9_500_000);
    assert_eq!(observations.borrow().running, 0);
}

#[test]
fn task_that_ended_while_disconnected_is_not_lost_if_host_reports_its_end() {
    for is_end_reported in [true, false] {
        let (mut engine, observations, offer) = engine_with_placed_task();
        engine.host_closed(NOW + 2000, HostId(0), u64::MAX);
        // The delay before the first reconnect is over.
        let reconnected_at = NOW + 1_000_000;
        engine.turn(reconnected_at, false);
        assert!(
            engine
                .take_outputs()
                .iter()
                .any(|o| matches!(o, Output::Connect(..)))
        );
        engine.host_connected(reconnected_at, HostId(0));
        let ended = Frame::Ended(offer.attempt_id, Reason::Completed, true, None);
        let greeting = if is_end_reported {
            vec![hello(), ended, Frame::HeldEnd]
        } else {
            vec![hello(), Frame::HeldEnd]
        };
        receive_frames(&mut engine, reconnected_at, &greeting);
        engine.turn(reconnected_at, false);
        let expected = if is_end_reported {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Disconnected
        };
        assert_eq!(
            observations.borrow().outcomes,
            [expected],
            "end reported: {is_end_reported}"
        );
        assert_eq!(observations.borrow().running, 0);
    }
}
