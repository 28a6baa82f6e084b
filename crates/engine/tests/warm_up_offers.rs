//! Rule 4 limits the offers to a cold host within a window. If the caller pauses between a decision and writing it, the
//! offer counts from when it is written.

mod support;

use maplethread::{Action, Event, MachineId, Micros};
use maplethread_config::PlacerConfig;
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame};
use support::NOW;

const HOST: HostId = HostId(0);
const SECOND_US: u64 = 1_000_000;

/// A decider that offers each task to the only host in the turn in which it is requested.
struct OfferAtOnce;

impl Decide for OfferAtOnce {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            if let Event::PlacementRequested(task) = event {
                actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(HOST.0),
                    timeout: SECOND_US,
                });
            }
        }
    }
}

/// An engine that is connected to one host, which has just started.
fn engine(config: &PlacerConfig) -> Engine<OfferAtOnce> {
    let start = support::start_info();
    let mut engine = Engine::new(config.clone(), OfferAtOnce, start, NOW);
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

/// Sends a request at `now`. Returns whether it is offered to the host in this turn, whose output is written at
/// `written`.
fn is_offered(engine: &mut Engine<OfferAtOnce>, number: u64, now: u64, written: u64) -> bool {
    let body = format!(
        r#"{{"service":"s","actor":"{number}","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}}"#
    );
    let request = support::post_actor("", &body);
    // Counts as activity of the host, so that the silence time-out does not disconnect it.
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
    // Decided at `NOW`, and written after a pause of 1 s.
    assert!(is_offered(&mut engine, 1, NOW, NOW + SECOND_US));
    // The window is over from the time of the decision, but not from the time of writing.
    let past_window = NOW + window + 1;
    assert!(!is_offered(&mut engine, 2, past_window, past_window));
    assert!(!is_offered(
        &mut engine,
        3,
        NOW + window + SECOND_US,
        NOW + window + SECOND_US
    ));
    let window_end = NOW + window + SECOND_US + 1;
    assert!(is_offered(&mut engine, 4, window_end, window_end));
    // If no offer was written late, only the decider's count applies.
    assert!(is_offered(&mut engine, 5, window_end + 1, window_end + 1));
    assert!(is_offered(
        &mut engine,
        6,
        window_end + window + 2,
        window_end + window + 2
    ));
}
