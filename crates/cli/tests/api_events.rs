//! The event stream of the API.

mod support;

use maplethread_wire::frame::{Frame, Reason};
use serde_json::{Value, json};
use support::*;

#[test]
fn event_stream_resumes_and_reports_events_that_are_no_longer_kept() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(&[&host], "events_kept = 8");
    let ready = placer.start();
    let mut connection = host.accept_and_greet(&[]);
    ready(&mut placer);
    let process_id = placer.status()["life"].clone();
    let mut follower = EventFollower::new(&placer, "/v1/events");
    let hello = follower.next().expect("hello event");
    assert_eq!(
        (
            hello["event"].as_str(),
            &hello["life"],
            hello["next"].as_u64()
        ),
        (Some("hello"), &process_id, Some(1))
    );
    let mut place = |actor: &str| {
        let mut client = placer.client();
        client.send_placement(&placement_request("web-api", "s", actor, 4000), actor);
        let offer = connection.receive_offer();
        connection.send(&Frame::Accepted(offer.attempt_id, 1));
        assert_eq!(client.receive_json().1["outcome"], "placed");
        connection.send(&Frame::Started(offer.attempt_id, 1));
        connection.send(&Frame::Ended(offer.attempt_id, Reason::Evicted, true, None));
    };
    place("a1");
    let events: Vec<Value> = (0..3)
        .map(|_| follower.next().expect("event is received"))
        .collect();
    let kinds: Vec<&str> = events.iter().filter_map(|e| e["event"].as_str()).collect();
    assert_eq!(kinds, ["placed", "started", "evicted"]);
    assert_eq!(
        (
            &events[2]["reason"],
            &events[2]["seq"],
            &events[2]["request"]
        ),
        (&json!("memory"), &json!(3), &json!("a1"))
    );
    drop(follower);
    place("a2");
    // Resumed after the second event: no event is missing or repeated.
    let mut follower =
        EventFollower::new(&placer, &format!("/v1/events?after=2&life={process_id}"));
    assert_eq!(follower.next().expect("hello event")["next"], 3);
    let seqs: Vec<u64> = (0..4)
        .filter_map(|_| follower.next()?["seq"].as_u64())
        .collect();
    assert_eq!(seqs, [3, 4, 5, 6]);
    // Only eight events are kept: after six more, the first ones are lost.
    (0..2).for_each(|n| place(&format!("b{n}")));
    placer.wait_for_status("twelve events", |s| s["events"]["next"] == 13);
    let (status, problem) = placer.client().call("GET", "/v1/events?after=2", "");
    assert_eq!(
        (status, problem["type"].as_str()),
        (410, Some("urn:maplethread:problem:fell-behind"))
    );
}

/// A client of the event stream.
struct EventFollower {
    client: Client,
    decoder: maplethread_wire::http::Decoder,
    buffer: Vec<u8>,
    lines: Vec<u8>,
}

impl EventFollower {
    fn new(placer: &PlacerProcess, target: &str) -> EventFollower {
        use maplethread_wire::http::{Decoder, Limits, Role};
        let mut client = placer.client();
        client.send("GET", target, &[], "");
        let decoder = Decoder::new(
            Role::Responses,
            Limits {
                max_body_bytes: usize::MAX,
                ..Limits::default()
            },
        );
        EventFollower {
            client,
            decoder,
            buffer: Vec::new(),
            lines: Vec::new(),
        }
    }

    fn next(&mut self) -> Option<Value> {
        use maplethread_wire::http::Step;
        use std::io::Read;
        loop {
            if let Some(end) = self.lines.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.lines.drain(..=end).collect();
                return serde_json::from_slice(&line).ok();
            }
            let (step, used) = self.decoder.step(&self.buffer).expect("valid HTTP");
            self.buffer.drain(..used);
            match step {
                Step::Head(head) => assert_eq!(head.status(), 200),
                Step::Data(data) => self.lines.extend(data),
                Step::MessageEnd => return None,
                Step::NeedMore => {
                    let mut bytes = [0; 4096];
                    let n = self
                        .client
                        .stream
                        .read(&mut bytes)
                        .expect("event stream can be read");
                    self.buffer.extend_from_slice(&bytes[..n]);
                    if n == 0 {
                        return None;
                    }
                }
            }
        }
    }
}
