//! The timers of requests and clients are removed when these end, and do not remain until they are due.

mod support;

use maplethread::Placer;
use maplethread_engine::{ClientId, Engine};
use support::NOW;

/// An engine that is connected to no host, so that all requests are blocked.
fn engine() -> Engine<Placer> {
    let config = support::config();
    let placer = Placer::new(config.policy_settings(), 1).expect("valid settings");
    let mut engine = Engine::new(config.clone(), placer, support::start_info(), NOW);
    engine.apply_inventory(NOW, &support::inventory(&config, &["host"]));
    engine.turn(NOW, false);
    engine
}

/// A client connects, sends a request with the longest budget, and leaves in the next turn.
fn request_and_leave(engine: &mut Engine<Placer>, number: u64) {
    let body = format!(
        r#"{{"service":"s{number}","actor":"a","class":"web-api","cores":0.01,"memory_gib":0.01,"budget_ms":60000}}"#
    );
    let client = ClientId(number);
    engine.client_opened(NOW, client);
    engine.client_bytes(NOW, client, support::post_actor("", &body).as_bytes());
    engine.turn(NOW, false);
    engine.client_closed(NOW, client);
    engine.turn(NOW, false);
    engine.take_outputs();
}

/// Guards against timers of ended requests that stay until the deadline, which the client chooses (review/3).
#[test]
fn clients_that_leave_before_their_answer_leave_no_timers() {
    let mut engine = engine();
    // The first request schedules the timers of which there is one for all requests.
    request_and_leave(&mut engine, 1);
    let before = engine.timer_count();
    for number in 2..1_000 {
        request_and_leave(&mut engine, number);
    }
    assert_eq!(engine.timer_count(), before);
}
