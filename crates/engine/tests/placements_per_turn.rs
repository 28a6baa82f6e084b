//! If there are more requests than one turn places, all other events of the turn reach the decider before any of the
//! requests is placed.

mod support;

use maplethread::Placer;
use maplethread_engine::{ClientId, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame};
use support::NOW;

const DRAINING: HostId = HostId(0);
/// More requests than one turn places.
const REQUESTS: u64 = 200;

/// An engine that is connected to two hosts, neither of which is warming up.
fn engine() -> Engine<Placer> {
    let config = support::config();
    let placer = Placer::new(config.policy_settings(), 1).expect("valid settings");
    let start = support::start_info();
    let mut engine = Engine::new(config.clone(), placer, start, NOW);
    engine.apply_inventory(NOW, &support::inventory(&config, &["draining", "other"]));
    for (number, name) in ["draining", "other"].into_iter().enumerate() {
        let host = HostId(number as u32);
        engine.host_connected(NOW, host);
        let hello = support::hello(name, 1);
        receive_frames(&mut engine, host, &[hello, Frame::HeldEnd]);
    }
    engine.turn(NOW, false);
    engine.take_outputs();
    engine
}

fn receive_frames(engine: &mut Engine<Placer>, host: HostId, frames: &[Frame]) {
    let bytes = support::encode(frames);
    assert_eq!(engine.host_bytes(NOW, host, &bytes), bytes.len());
}

fn send_request(engine: &mut Engine<Placer>, number: u64) {
    let body = format!(
        r#"{{"service":"s{number}","actor":"a","class":"web-api","cores":0.01,"memory_gib":0.01,"budget_ms":9000}}"#
    );
    let request = support::post_actor("", &body);
    engine.client_opened(NOW, ClientId(number));
    engine.client_bytes(NOW, ClientId(number), request.as_bytes());
}

/// Runs ten turns, and counts the offers to each of the two hosts.
fn count_offers(engine: &mut Engine<Placer>) -> [usize; 2] {
    let mut offers = [0; 2];
    for turn in 1..=10 {
        engine.turn(NOW + turn, false);
        for output in engine.take_outputs() {
            let Output::ToHost(HostId(host), bytes) = output else {
                continue;
            };
            if matches!(frame::decode(&bytes), Ok((Some(Frame::Offer(_)), _))) {
                offers[host as usize] += 1;
            }
        }
    }
    offers
}

#[test]
fn drain_read_after_many_requests_applies_to_all_of_them() {
    let mut engine = engine();
    (1..=REQUESTS).for_each(|number| send_request(&mut engine, number));
    receive_frames(&mut engine, DRAINING, &[Frame::Drain]);
    let [to_draining, to_other] = count_offers(&mut engine);
    assert_eq!(to_draining, 0);
    assert!(to_other > 0);
}

#[test]
fn both_hosts_are_offered_tasks_without_drain() {
    let mut engine = engine();
    (1..=REQUESTS).for_each(|number| send_request(&mut engine, number));
    let [to_first, to_other] = count_offers(&mut engine);
    assert!(
        to_first > 0 && to_other > 0,
        "{to_first} and {to_other} offers"
    );
}

#[test]
fn request_of_client_that_disconnects_before_its_turn_is_not_offered() {
    let mut engine = engine();
    (1..=REQUESTS).for_each(|number| send_request(&mut engine, number));
    (1..=REQUESTS).for_each(|number| engine.client_closed(NOW, ClientId(number)));
    let [to_first, to_other] = count_offers(&mut engine);
    // The decider gets each request in the same turn as the disconnection of its client.
    assert_eq!(to_first + to_other, 0);
    assert_eq!(engine.pending_requests(), 0);
}
