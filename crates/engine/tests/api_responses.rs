//! Responses of the API, byte for byte as an earlier build gave them: all requests of a fixed list, and the output.

mod support;

use maplethread::{Action, BlockReason, Event, MachineId, Micros};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame, Reason};
use support::NOW;

/// What a build before the engine's files were split gave.
const RECORDED: &str = include_str!("fixtures/api_responses.txt");
const HOST: HostId = HostId(0);

/// Does what the number of cores of a task says.
struct ByCores;

impl Decide for ByCores {
    fn turn(&mut self, _: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            let Event::PlacementRequested(task) = event else {
                continue;
            };
            match task.requested.cores as u32 {
                1 => actions.push(Action::Offer {
                    task: task.id,
                    machine: MachineId(HOST.0),
                    timeout: 1_000_000,
                }),
                2 => actions.push(Action::Reject {
                    task: task.id,
                    retry_after: Some(1_500_000),
                }),
                3 => actions.push(Action::Fail(task.id)),
                4 => {
                    actions.push(Action::Blocked {
                        task: task.id,
                        reason: BlockReason::NoCapacity,
                    });
                    actions.push(Action::Reject {
                        task: task.id,
                        retry_after: None,
                    });
                }
                _ => {}
            }
        }
    }
}

struct Session {
    engine: Engine<ByCores>,
    now: u64,
    client: u64,
    log: String,
}

impl Session {
    fn new() -> Session {
        let config = support::config();
        let inventory = support::inventory(&config, &["h"]);
        let start = support::start_info();
        let mut engine = Engine::new(config, ByCores, start, NOW);
        engine.apply_inventory(NOW, &inventory);
        engine.host_connected(NOW, HOST);
        let mut session = Session {
            engine,
            now: NOW,
            client: 0,
            log: String::new(),
        };
        let hello = support::hello("h", 1);
        session.host_sends(&[hello, Frame::HeldEnd]);
        session
    }

    fn host_sends(&mut self, frames: &[Frame]) {
        let bytes = support::encode(frames);
        self.engine.host_bytes(self.now, HOST, &bytes);
        self.turn();
    }

    /// Runs a turn and logs what is sent; returns the offers.
    fn turn(&mut self) -> Vec<u64> {
        self.now += 1_000;
        self.engine.turn(self.now, false);
        let mut offers = Vec::new();
        for output in self.engine.take_outputs() {
            match output {
                Output::ToClient(id, bytes) => {
                    self.log += &format!("{} {}\n", id.0, String::from_utf8_lossy(&bytes));
                }
                Output::CloseClient(id) => self.log += &format!("{} closed\n", id.0),
                Output::ToHost(_, bytes) => {
                    self.log += &format!("host {bytes:?}\n");
                    if let Ok((Some(Frame::Offer(offer)), _)) = frame::decode(&bytes) {
                        offers.push(offer.attempt_id);
                    }
                }
                Output::FetchMembership { client, slot, .. } => {
                    let view = (client.0 % 2 == 0).then(|| serde_json::json!({"members": []}));
                    self.engine.answer_membership(client, slot, view.as_ref());
                }
                Output::Connect(..) | Output::CloseHost(_) => {}
            }
        }
        offers
    }

    /// Sends a request on a connection of its own.
    fn sends(&mut self, request: &str) -> Vec<u64> {
        self.client += 1;
        let id = ClientId(self.client);
        self.log += &format!("> {request}\n");
        self.engine.client_opened(self.now, id);
        self.engine.client_bytes(self.now, id, request.as_bytes());
        let offers = self.turn();
        self.turn();
        offers
    }

    fn gets(&mut self, method: &str, target: &str) {
        self.sends(&format!("{method} {target} HTTP/1.1\r\nHost: p\r\n\r\n"));
    }

    fn posts(&mut self, headers: &str, body: &str) -> Vec<u64> {
        self.sends(&support::post_actor(headers, body))
    }

    fn places(&mut self, headers: &str, actor: &str, class: &str, cores: u32) -> Vec<u64> {
        self.posts(headers, &format!(
            r#"{{"service":"s","actor":"{actor}","class":"{class}","cores":{cores},"memory_gib":1,"budget_ms":9000}}"#
        ))
    }
}

fn malformed_requests(session: &mut Session) {
    for target in [
        "/",
        "/v1/nothing",
        "/v1/actors?limit=x",
        "/v1/actors?after_service=a",
        "/v1/actors?q=%zz",
        "/v1/actors?q=%+1",
        "/v1/actors/a%ff/b",
        "/v1/actors/%41/b%2Fc",
        "/v1/events?after=9",
        "/v1/events?life=3",
        "/v1/events?after=-1",
        "/v1/fleet?after=x",
        "/v1/fleet",
        "/v1/fleet?after=7",
    ] {
        session.gets("GET", target);
    }
    for target in [
        "/v1/actors",
        "/v1/actors/a/b",
        "/v1/asks/a",
        "/v1/events",
        "/v1/status",
        "/v1/fleet",
    ] {
        session.gets("PATCH", target);
    }
    session.sends("nonsense\r\n\r\n");
    for body in [
        "",
        "{",
        "[1]",
        r#"["s"]"#,
        "{}",
        "7",
        r#"{"service":1}"#,
        r#"{"x":1}"#,
        r#"{"service":"s","service":"s"}"#,
        r#"{"service":"","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}"#,
        r#"{"service":"s","actor":"a\u0007","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}"#,
        r#"{"service":"s","actor":"a","class":"no","cores":1,"memory_gib":1,"budget_ms":9000}"#,
        r#"{"service":"s","actor":"a","class":"web-api","cores":-1,"memory_gib":1,"budget_ms":9000}"#,
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1e7,"budget_ms":9000}"#,
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":19}"#,
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000,"key":""}"#,
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000,"life_ms":"x"}"#,
    ] {
        session.posts("", body);
    }
    session.posts("Content-Type: text/plain\r\n", "{}");
    session.places(
        &format!("X-Request-Id: {}\r\n", "x".repeat(201)),
        "a",
        "web-api",
        1,
    );
    session.places(
        &format!("Idempotency-Key: {}\r\n", "x".repeat(201)),
        "a",
        "web-api",
        1,
    );
}

#[test]
fn responses_are_those_of_the_recorded_build() {
    let mut session = Session::new();
    malformed_requests(&mut session);
    session.gets("GET", "/v1/events");
    for (actor, cores) in [("rejected", 2), ("failed", 3), ("blocked", 4)] {
        session.places("Idempotency-Key: k\r\n", actor, "web-api", cores);
    }
    session.places("Idempotency-Key: k\r\n", "again", "web-api", 2);
    // An actor that is pending, joined, cancelled and placed.
    session.places("X-Request-Id: first\r\n", "open", "web-api", 5);
    session.places("X-Request-Id: second\r\n", "open", "web-api", 5);
    session.gets("GET", "/v1/actors/s/open");
    session.gets("DELETE", "/v1/actors/s/open");
    session.gets("DELETE", "/v1/asks/second");
    session.gets("DELETE", "/v1/asks/first");
    session.gets("DELETE", "/v1/asks/first");
    for class in session_classes() {
        let actor = format!("placed-{class}");
        let offers = session.places("X-Request-Id: placed\r\n", &actor, &class, 1);
        assert_eq!(offers.len(), 1);
        let attempt = offers[0];
        session.host_sends(&[Frame::Accepted(attempt, 3), Frame::Started(attempt, 5)]);
        session.gets("GET", &format!("/v1/actors/s/{actor}"));
        session.places("", &actor, &class, 1);
        session.gets("DELETE", &format!("/v1/actors/s/{actor}"));
        session.places("", &actor, &class, 1);
        session.gets("GET", &format!("/v1/actors/s/{actor}"));
        session.gets("GET", "/v1/actors?limit=1");
        session.host_sends(&[Frame::Ended(attempt, Reason::Stopped, true, None)]);
        // One that is cancelled while its attempt is in flight.
        session.places("X-Request-Id: late\r\n", "late", &class, 1);
        session.gets("DELETE", "/v1/asks/late");
        session.places("", "late", &class, 1);
    }
    session.gets("GET", "/v1/actors?after_service=s&after_actor=late&limit=2");
    session.gets("GET", "/v1/events?after=1");
    session.gets("GET", "/v1/status?full");
    session.engine.stop_accepting();
    session.places("", "stopping", "web-api", 2);
    session.gets("GET", "/v1/status");
    if session.log != RECORDED {
        let differing = session
            .log
            .lines()
            .zip(RECORDED.lines())
            .find(|(a, b)| a != b);
        if let Ok(path) = std::env::var("API_RESPONSES_OUT") {
            std::fs::write(path, &session.log).expect("writable");
        }
        panic!("first difference: {differing:#?}");
    }
}

/// The names of the classes of the settings.
fn session_classes() -> Vec<String> {
    let config = support::config();
    config
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect()
}
