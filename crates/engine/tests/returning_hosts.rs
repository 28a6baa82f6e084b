//! A host that is gone and comes back is the same host to the decider: what it was sent a moment ago still counts.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

use maplethread::{Action, AttemptOutcome, Event, MachineId, Micros};
use maplethread_config::{HostEntry, HostState};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame, Offer, Reason};
use support::NOW;

/// Records all machines that it is given, and what runs; offers each request to the first machine.
#[derive(Default)]
struct Observations {
    machines: BTreeSet<MachineId>,
    running: i32,
    outcomes: Vec<AttemptOutcome>,
}

struct RecordingDecider(Rc<RefCell<Observations>>);

impl Decide for RecordingDecider {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        let mut seen = self.0.borrow_mut();
        for event in events {
            match event {
                Event::EndpointsUpdated { machines, .. } => {
                    seen.machines.extend(machines.iter().map(|m| m.machine))
                }
                Event::PlacementRequested(task) => actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(0),
                    timeout: 1_000_000,
                }),
                Event::AttemptAccepted { .. } | Event::TaskAdopted { .. } => seen.running += 1,
                Event::AttemptFinished { result: end, .. } => {
                    seen.running -= 1;
                    seen.outcomes.push(end.outcome);
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
    let seen = Rc::new(RefCell::new(Observations::default()));
    let boot = support::start_info();
    let mut engine = Engine::new(config, RecordingDecider(seen.clone()), boot, NOW);
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
            "round {round}: a connection is made at once"
        );
        engine.host_closed(now + 1000, connects[0], 0);
        engine.apply_host_changes(now + 2000, &[entry(1, HostState::Gone)]);
        engine.turn(now + 2000, false);
        engine.take_outputs();
        now += 10_000;
    }
    assert_eq!(
        seen.borrow().machines.len(),
        1,
        "one host, one number: {:?}",
        seen.borrow().machines
    );
    // Another host has another number.
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

/// The frames that the engine sends to hosts.
fn take_host_frames(engine: &mut Engine<RecordingDecider>) -> Vec<Frame> {
    let mut frames = Vec::new();
    for output in engine.take_outputs() {
        if let Output::ToHost(_, bytes) = output {
            frames.extend(frame::decode(&bytes).expect("sound").0);
        }
    }
    frames
}

fn receive_frames(engine: &mut Engine<RecordingDecider>, now: u64, frames: &[Frame]) {
    let bytes = support::encode(frames);
    assert_eq!(engine.host_bytes(now, HostId(0), &bytes), bytes.len());
}

/// The host's greeting, always of one process.
fn hello() -> Frame {
    support::hello("h1", NOW / 1000)
}

/// An engine that has placed one task on the host, what its decider has seen, and the offer.
fn engine_with_placed_task() -> (Engine<RecordingDecider>, Rc<RefCell<Observations>>, Offer) {
    let config = support::config();
    let seen = Rc::new(RefCell::new(Observations::default()));
    let boot = support::start_info();
    let mut engine = Engine::new(config, RecordingDecider(seen.clone()), boot, NOW);
    engine.apply_host_changes(NOW, &[entry(1, HostState::Ready)]);
    engine.host_connected(NOW, HostId(0));
    receive_frames(&mut engine, NOW, &[hello(), Frame::HeldEnd]);
    engine.turn(NOW, false);
    engine.client_opened(NOW, ClientId(1));
    let body = r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":2000}"#;
    let ask = support::post_actor("", body);
    engine.client_bytes(NOW, ClientId(1), ask.as_bytes());
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
    assert_eq!(seen.borrow().running, 1);
    (engine, seen, offer)
}

#[test]
fn task_reported_lost_counts_until_returning_host_has_stopped_it() {
    let (mut engine, seen, offer) = engine_with_placed_task();
    // Its connection is lost, and the inventory says that it is gone: the task is lost.
    engine.host_closed(NOW + 2000, HostId(0), u64::MAX);
    engine.apply_host_changes(NOW + 3000, &[entry(1, HostState::Gone)]);
    engine.turn(NOW + 3000, false);
    assert_eq!(seen.borrow().running, 0);
    // It is back, with the same process, and the task still runs there.
    engine.apply_host_changes(NOW + 4000, &[entry(1, HostState::Ready)]);
    engine.host_connected(NOW + 5000, HostId(0));
    receive_frames(
        &mut engine,
        NOW + 5000,
        &[hello(), Frame::Held(offer.clone(), true), Frame::HeldEnd],
    );
    engine.turn(NOW + 5000, false);
    let told = take_host_frames(&mut engine);
    assert!(told.contains(&Frame::Stop(offer.attempt_id)), "{told:?}");
    assert_eq!(seen.borrow().running, 1, "it counts while it runs");
    receive_frames(
        &mut engine,
        NOW + 6000,
        &[Frame::Ended(offer.attempt_id, Reason::Stopped, true, None)],
    );
    engine.turn(NOW + 6000, false);
    assert_eq!(seen.borrow().running, 0);
}

#[test]
fn earlier_connection_loss_does_not_shorten_a_later_one() {
    let (mut engine, seen, offer) = engine_with_placed_task();
    // Its connection is lost and made anew, and the host names the task; lost again 4 s after the first loss.
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
    let until_lost = |engine: &mut Engine<RecordingDecider>, until: u64| {
        while let Some(at) = engine.next_timeout().filter(|&at| at <= until) {
            engine.turn(at, false);
            engine.take_outputs();
        }
    };
    // `hosts.lost_after_ms` is 5 s: not over for the second loss when it is for the first.
    until_lost(&mut engine, NOW + 6_000_000);
    assert_eq!(seen.borrow().running, 1, "it may still run");
    until_lost(&mut engine, NOW + 9_500_000);
    assert_eq!(seen.borrow().running, 0);
}

#[test]
fn task_that_ended_while_disconnected_is_not_lost_if_host_reports_its_end() {
    for told in [true, false] {
        let (mut engine, seen, offer) = engine_with_placed_task();
        engine.host_closed(NOW + 2000, HostId(0), u64::MAX);
        // The first wait before it connects again is over.
        let back = NOW + 1_000_000;
        engine.turn(back, false);
        assert!(
            engine
                .take_outputs()
                .iter()
                .any(|o| matches!(o, Output::Connect(..)))
        );
        engine.host_connected(back, HostId(0));
        let ended = Frame::Ended(offer.attempt_id, Reason::Completed, true, None);
        let greeting = if told {
            vec![hello(), ended, Frame::HeldEnd]
        } else {
            vec![hello(), Frame::HeldEnd]
        };
        receive_frames(&mut engine, back, &greeting);
        engine.turn(back, false);
        let ending = if told {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Disconnected
        };
        assert_eq!(seen.borrow().outcomes, [ending], "told: {told}");
        assert_eq!(seen.borrow().running, 0);
    }
}
