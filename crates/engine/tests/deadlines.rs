//! Each request is answered before its deadline, also if the decider never answers or the caller was stalled.

mod support;

use maplethread::{Action, Event, Micros};
use maplethread_engine::{ClientId, Decide, Engine, Output};
use support::NOW;

const CLIENT: ClientId = ClientId(1);

/// A decider that never answers a request. It sets whether the engine answers in its place before the deadline.
struct UnresponsiveDecider {
    allows_deadline_answers: bool,
}

impl Decide for UnresponsiveDecider {
    fn turn(&mut self, _: Micros, _: &[Event], _: &mut Vec<Action>) {}

    fn allows_deadline_answers(&self) -> bool {
        self.allows_deadline_answers
    }
}

fn engine(allows_deadline_answers: bool) -> Engine<UnresponsiveDecider> {
    let config = support::config();
    let mut engine = Engine::new(
        config,
        UnresponsiveDecider {
            allows_deadline_answers,
        },
        support::start_info(),
        NOW,
    );
    engine.client_opened(NOW, CLIENT);
    engine
}

fn request_bytes(budget_ms: u64) -> Vec<u8> {
    let body = format!(
        r#"{{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":{budget_ms}}}"#
    );
    support::post_actor("", &body).into_bytes()
}

/// A request with this id and a budget of 1 s.
fn request_bytes_with_id(id: &str) -> Vec<u8> {
    let text = String::from_utf8(request_bytes(1000)).expect("UTF-8");
    text.replace("Host: p\r\n", &format!("Host: p\r\nX-Request-Id: {id}\r\n"))
        .into_bytes()
}

fn take_client_text(engine: &mut Engine<UnresponsiveDecider>) -> String {
    let texts = engine.take_outputs().into_iter().filter_map(|o| match o {
        Output::ToClient(_, bytes) => Some(String::from_utf8_lossy(&bytes).into_owned()),
        _ => None,
    });
    texts.collect()
}

/// Runs turns at each time-out up to `until` or to the first response. Returns its time and text.
fn run_until_answer(engine: &mut Engine<UnresponsiveDecider>, until: u64) -> Option<(u64, String)> {
    while let Some(at) = engine.next_timeout().filter(|&at| at <= until) {
        engine.turn(at, false);
        let text = take_client_text(engine);
        if !text.is_empty() {
            return Some((at, text));
        }
    }
    None
}

#[test]
fn request_unanswered_by_decider_is_answered_before_deadline_and_counted() {
    let mut engine = engine(true);
    engine.client_bytes(NOW, CLIENT, &request_bytes(1000));
    engine.turn(NOW, false);
    let (at, text) = run_until_answer(&mut engine, NOW + 3_000_000).expect("an answer");
    assert!(
        at < NOW + 1_000_000 && at > NOW + 900_000,
        "answered {} us after the request",
        at - NOW
    );
    assert!(
        text.contains("\"outcome\":\"refused\"") && text.contains("\"reason\":\"unknown\""),
        "{text}"
    );
    assert_eq!(
        (
            engine.counters().deadline_answers,
            engine.counters().rejected,
            engine.pending_requests()
        ),
        (1, 1, 0)
    );
    // A decider that forbids deadline answers leaves the request without an answer.
    let mut without_deadline_answers = self::engine(false);
    without_deadline_answers.client_bytes(NOW, CLIENT, &request_bytes(1000));
    without_deadline_answers.turn(NOW, false);
    assert_eq!(
        run_until_answer(&mut without_deadline_answers, NOW + 3_000_000),
        None
    );
}

#[test]
fn budget_counts_from_earliest_possible_arrival() {
    // A request that is read after a stall of 1 s may have been sent at the start of the stall.
    let mut engine = engine(true);
    engine.set_unread_since(NOW);
    engine.client_bytes(NOW + 1_000_000, CLIENT, &request_bytes(1500));
    engine.turn(NOW + 1_000_000, true);
    let (at, text) = run_until_answer(&mut engine, NOW + 5_000_000).expect("an answer");
    assert!(
        at < NOW + 1_500_000,
        "answered {} us after the request may have been sent: {text}",
        at - NOW
    );
    // Budgets of requests in the next turn count from when they are read.
    engine.client_bytes(at, CLIENT, &request_bytes(1500));
    engine.turn(at, false);
    let (next, _) = run_until_answer(&mut engine, at + 5_000_000).expect("an answer");
    assert!(next > at + 1_400_000);
}

#[test]
fn joined_requests_get_the_answer_under_their_own_ids() {
    // An owner whose first request was not read by a stalled placer repeats it; both are read in one turn.
    let mut engine = engine(true);
    let second = ClientId(2);
    engine.client_opened(NOW, second);
    engine.client_bytes(NOW, CLIENT, &request_bytes_with_id("first"));
    engine.client_bytes(NOW, second, &request_bytes_with_id("second"));
    engine.turn(NOW, false);
    let mut responses = std::collections::BTreeMap::new();
    while let Some(at) = engine.next_timeout().filter(|&at| at < NOW + 2_000_000) {
        engine.turn(at, false);
        for output in engine.take_outputs() {
            if let Output::ToClient(client, bytes) = output {
                responses.insert(client, String::from_utf8_lossy(&bytes).into_owned());
            }
        }
    }
    assert!(
        responses[&CLIENT].contains("\"request\":\"first\""),
        "{responses:?}"
    );
    assert!(
        responses[&second].contains("\"request\":\"second\""),
        "{responses:?}"
    );
    assert_eq!(engine.counters().requests, 1);
}

#[test]
fn cancelling_one_of_two_joined_requests_keeps_the_other() {
    let mut engine = engine(true);
    let (second, third) = (ClientId(2), ClientId(3));
    engine.client_opened(NOW, second);
    engine.client_opened(NOW, third);
    engine.client_bytes(NOW, CLIENT, &request_bytes_with_id("first"));
    engine.client_bytes(NOW, second, &request_bytes_with_id("second"));
    let cancel =
        |id: &str| format!("DELETE /v1/asks/{id} HTTP/1.1\r\nHost: p\r\n\r\n").into_bytes();
    engine.client_bytes(NOW, third, &cancel("second"));
    engine.turn(NOW, false);
    let text = take_client_text(&mut engine);
    assert!(text.contains("410") && text.contains("202"), "{text}");
    assert_eq!(
        engine.pending_requests(),
        1,
        "the first request is still pending"
    );
    engine.client_bytes(NOW, third, &cancel("first"));
    engine.turn(NOW, false);
    assert_eq!(
        (engine.pending_requests(), engine.counters().disconnected),
        (0, 1)
    );
    engine.client_bytes(NOW, third, &cancel("first"));
    engine.turn(NOW, false);
    assert!(take_client_text(&mut engine).contains("404"));
}

#[test]
fn request_with_exhausted_budget_is_rejected() {
    let mut engine = engine(true);
    engine.set_unread_since(NOW);
    engine.client_bytes(NOW + 2_000_000, CLIENT, &request_bytes(1500));
    engine.turn(NOW + 2_000_000, true);
    let text = take_client_text(&mut engine);
    assert!(
        text.starts_with("HTTP/1.1 503") && text.contains("stood-still"),
        "{text}"
    );
    assert!(text.contains("Retry-After: 1"), "{text}");
    assert_eq!(
        (engine.counters().requests, engine.pending_requests()),
        (0, 0)
    );
}
