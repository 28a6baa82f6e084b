//! Compares the engine's output for a fixed list of requests byte for byte with the output of an earlier build.

mod support;

use maplethread::{Action, BlockReason, Event, MachineId, Micros};
use maplethread_engine::{ClientId, Decide, Engine, HostId, Output};
use maplethread_wire::frame::{self, Frame, Reason};
use support::NOW;

/// The recorded output of an earlier build. If the output differs, the test writes it to the file that the environment
/// variable `API_RESPONSES_OUT` names.
const RECORDED: &str = include_str!("fixtures/api_responses.txt");
const HOST: HostId = HostId(0);

/// Decides on a task by its number of cores.
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
        session.send_from_host(&[hello, Frame::HeldEnd]);
        session
    }

    fn send_from_host(&mut self, frames: &[Frame]) {
        let bytes = support::encode(frames);
        self.engine.host_bytes(self.now, HOST, &bytes);
        self.turn();
    }

    /// Runs a turn and logs the output. Returns the attempt ids of the offers.
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
                    let membership =
                        (client.0 % 2 == 0).then(|| serde_json::json!({"members": []}));
                    self.engine
                        .answer_membership(client, slot, membership.as_ref());
                }
                Output::Connect(..) | Output::CloseHost(_) => {}
            }
        }
        offers
    }

    /// Sends a request on a new connection.
    fn send_raw(&mut self, request: &str) -> Vec<u64> {
        self.client += 1;
        let id = ClientId(self.client);
        self.log += &format!("> {request}\n");
        self.engine.client_opened(self.now, id);
        self.engine.client_bytes(self.now, id, request.as_bytes());
        let offers = self.turn();
        self.turn();
        offers
    }

    fn send_request(&mut self, method: &str, target: &str) {
        self.send_raw(&format!("{method} {target} HTTP/1.1\r\nHost: p\r\n\r\n"));
    }

    fn post_body(&mut self, headers: &str, body: &str) -> Vec<u64> {
        self.send_raw(&support::post_actor(headers, body))
    }

    fn place(&mut self, headers: &str, actor: &str, class: &str, cores: u32) -> Vec<u64> {
        self.post_body(headers, &format!(
            r#"{{"service":"s","actor":"{actor}","class":"{class}","cores":{cores},"memory_gib":1,"budget_ms":9000}}"#
        ))
    }
}

fn send_malformed_requests(session: &mut Session) {
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
        session.send_request("GET", target);
    }
    for target in [
        "/v1/actors",
        "/v1/actors/a/b",
        "/v1/asks/a",
        "/v1/events",
        "/v1/status",
        "/v1/fleet",
    ] {
        session.send_request("PATCH", target);
    }
    session.send_raw("nonsense\r\n\r\n");
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
        session.post_body("", body);
    }
    session.post_body("Content-Type: text/plain\r\n", "{}");
    session.place(
        &format!("X-Request-Id: {}\r\n", "x".repeat(201)),
        "a",
        "web-api",
        1,
    );
    session.place(
        &format!("Idempotency-Key: {}\r\n", "x".repeat(201)),
        "a",
        "web-api",
        1,
    );
}

#[test]
fn responses_are_those_of_the_recorded_build() {
    let mut session = Session::new();
    send_malformed_requests(&mut session);
    session.send_request("GET", "/v1/events");
    for (actor, cores) in [("rejected", 2), ("failed", 3), ("blocked", 4)] {
        session.place("Idempotency-Key: k\r\n", actor, "web-api", cores);
    }
    session.place("Idempotency-Key: k\r\n", "again", "web-api", 2);
    // An actor whose request is pending, joined and cancelled.
    session.place("X-Request-Id: first\r\n", "open", "web-api", 5);
    session.place("X-Request-Id: second\r\n", "open", "web-api", 5);
    session.send_request("GET", "/v1/actors/s/open");
    session.send_request("DELETE", "/v1/actors/s/open");
    session.send_request("DELETE", "/v1/asks/second");
    session.send_request("DELETE", "/v1/asks/first");
    session.send_request("DELETE", "/v1/asks/first");
    for class in class_names() {
        let actor = format!("placed-{class}");
        let offers = session.place("X-Request-Id: placed\r\n", &actor, &class, 1);
        assert_eq!(offers.len(), 1);
        let attempt = offers[0];
        session.send_from_host(&[Frame::Accepted(attempt, 3), Frame::Started(attempt, 5)]);
        session.send_request("GET", &format!("/v1/actors/s/{actor}"));
        session.place("", &actor, &class, 1);
        session.send_request("DELETE", &format!("/v1/actors/s/{actor}"));
        session.place("", &actor, &class, 1);
        session.send_request("GET", &format!("/v1/actors/s/{actor}"));
        session.send_request("GET", "/v1/actors?limit=1");
        session.send_from_host(&[Frame::Ended(attempt, Reason::Stopped, true, None)]);
        // A request that is cancelled while its attempt is in flight.
        session.place("X-Request-Id: late\r\n", "late", &class, 1);
        session.send_request("DELETE", "/v1/asks/late");
        session.place("", "late", &class, 1);
    }
    session.send_request("GET", "/v1/actors?after_service=s&after_actor=late&limit=2");
    session.send_request("GET", "/v1/events?after=1");
    session.send_request("GET", "/v1/status?full");
    session.engine.stop_accepting();
    session.place("", "stopping", "web-api", 2);
    session.send_request("GET", "/v1/status");
    if session.log != RECORDED {
        let differing = session
            .log
            .lines()
            .zip(RECORDED.lines())
            .find(|(a, b)| a != b);
        if let Ok(path) = std::env::var("API_RESPONSES_OUT") {
            std::fs::write(path, &session.log).expect("API_RESPONSES_OUT names a writable file");
        }
        panic!("first difference: {differing:#?}");
    }
}

/// The names of the classes of the settings.
fn class_names() -> Vec<String> {
    let config = support::config();
    config
        .classes
        .iter()
        .map(|class| class.name.clone())
        .collect()
}
