//! Rule 4 where a caller pauses between a decision and its writing: what a cold host is sent counts from when it leaves.

mod support;

use maplethread::{Action, Event, MachineId, Micros};
use maplethread_config::PlacerConfig;
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame};
use support::NOW;

const HOST: HostId = HostId(0);
const S: u64 = 1_000_000;

/// Offers each task to the one host as soon as it is requested.
struct Eager;

impl Decide for Eager {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            if let Event::PlacementRequested(task) = event {
                actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(HOST.0),
                    timeout: S,
                });
            }
        }
    }
}

/// An engine that is connected to one host, which has just come up.
fn engine(config: &PlacerConfig) -> Engine<Eager> {
    let boot = support::start_info();
    let mut engine = Engine::new(config.clone(), Eager, boot, NOW);
    let inventory = support::inventory(config, &["h"]);
    engine.apply_inventory(NOW, &inventory);
    engine.host_connected(NOW, HOST);
    let hello = support::hello("h", NOW / 1000);
    let mut bytes = Vec::new();
    frame::encode(&hello, &mut bytes);
    frame::encode(&Frame::HeldEnd, &mut bytes);
    engine.host_bytes(NOW, HOST, &bytes);
    engine.turn(NOW, false);
    engine.take_outputs();
    engine
}

/// Asks at `now`; whether that is offered to the host in this turn, whose writing ends at `written`.
fn is_offered(engine: &mut Engine<Eager>, number: u64, now: u64, written: u64) -> bool {
    let body = format!(
        r#"{{"service":"s","actor":"{number}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}}"#
    );
    let request = support::post_actor("", &body);
    // The host is there all the time.
    let mut pong = Vec::new();
    frame::encode(&Frame::Pong(0), &mut pong);
    engine.host_bytes(now, HOST, &pong);
    engine.client_opened(now, ClientId(number));
    engine.client_bytes(now, ClientId(number), request.as_bytes());
    engine.turn(now, false);
    engine.record_busy_period(now, written);
    let offer = |output: &Output| match output {
        Output::ToHost(HOST, bytes) => {
            matches!(frame::decode(bytes), Ok((Some(Frame::Offer(_)), _)))
        }
        _ => false,
    };
    engine.take_outputs().iter().any(offer)
}

#[test]
fn late_written_offer_counts_in_warm_up_window_from_its_writing() {
    let config = support::config();
    let window = config.rules.overload_window_ms * 1000;
    let mut engine = engine(&config);
    // Decided now, and written after a pause of a second.
    assert!(is_offered(&mut engine, 1, NOW, NOW + S));
    // By the decider's count the window is over; by the host's it is not.
    let after = NOW + window + 1;
    assert!(!is_offered(&mut engine, 2, after, after));
    assert!(!is_offered(
        &mut engine,
        3,
        NOW + window + S,
        NOW + window + S
    ));
    let over = NOW + window + S + 1;
    assert!(is_offered(&mut engine, 4, over, over));
    // Where nothing left late, the decider's count stands.
    assert!(is_offered(&mut engine, 5, over + 1, over + 1));
    assert!(is_offered(
        &mut engine,
        6,
        over + window + 2,
        over + window + 2
    ));
}
