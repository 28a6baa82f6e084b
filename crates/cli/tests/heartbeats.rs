//! Heartbeats of a real placer process: the rate of pings to idle hosts, and the disconnection of hosts that do not
//! answer.

mod support;

use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use maplethread_wire::frame::{Frame, Offer};
use rustix::process::Signal;
use serde_json::Value;
use support::*;

const HOSTS: usize = 12;
const MAX_IDLE_PINGS_PER_S: f64 = 5.0;
/// Longer than the default time that a host may be silent.
const PAUSE: Duration = Duration::from_secs(4);
const PLACEMENT_REQUEST: &str =
    r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}"#;

/// The hosts of a test.
fn scripted_hosts() -> Vec<ScriptedHost> {
    (0..HOSTS)
        .map(|n| ScriptedHost::new(&format!("h{n}"), "a", "c"))
        .collect()
}

/// Writes the files of a placer that pings its idle hosts at a low rate, without starting it.
fn placer_with_idle_ping_rate(hosts: &[ScriptedHost]) -> PlacerProcess {
    let placer = PlacerProcess::with_files(&hosts.iter().collect::<Vec<_>>(), "");
    let file = placer.folder().join("placer.toml");
    let config = std::fs::read_to_string(&file).expect("file can be read");
    let rate =
        format!("[hosts]\nping_every_ms = 200\nmax_idle_pings_per_s = {MAX_IDLE_PINGS_PER_S:.0}\n");
    std::fs::write(&file, config.replace("[hosts]\n", &rate)).expect("file can be written");
    placer
}

/// Answers pings until the connection ends.
fn answer_pings(mut connection: PlacerConnection) -> JoinHandle<()> {
    spawn(move || while connection.receive_within(TEST_TIMEOUT).is_some() {})
}

/// Answers pings and accepts offers until the connection ends.
fn accept_offers(mut connection: PlacerConnection) -> JoinHandle<()> {
    spawn(move || {
        while let Some(frame) = connection.receive_within(TEST_TIMEOUT) {
            if let Frame::Offer(offer) = frame {
                connection.send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
    })
}

/// The number of heartbeats that a placer has sent.
fn heartbeats(status: &Value) -> u64 {
    status["counters"]["heartbeats"].as_u64().unwrap_or(0)
}

/// Answers pings up to an offer, and nothing after it. Returns the offer, and the frames after it.
fn stop_answering_at_offer(mut connection: PlacerConnection) -> JoinHandle<(Offer, Vec<Frame>)> {
    spawn(move || {
        let offer = connection.receive_offer();
        let unanswered = std::iter::from_fn(|| connection.receive_without_answering()).collect();
        (offer, unanswered)
    })
}

#[test]
fn pings_every_idle_host_within_the_total_rate() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    let started = Instant::now();
    let wait_until_serving = placer.start();
    let connections: Vec<_> = hosts
        .iter()
        .map(|host| answer_pings(host.accept_and_greet(&[])))
        .collect();
    wait_until_serving(&mut placer);
    // After two rounds, a host without a ping would have been disconnected.
    let rounds = 2 * HOSTS as u64;
    let status = placer.wait_for_status("two rounds of pings", |s| {
        s["counters"]["heartbeats"]
            .as_u64()
            .is_some_and(|n| n >= rounds)
    });
    let sent = status["counters"]["heartbeats"]
        .as_u64()
        .expect("heartbeat count") as f64;
    // A delayed turn of the event loop may move two pings closer together.
    let max_sent = MAX_IDLE_PINGS_PER_S * started.elapsed().as_secs_f64() + 2.0;
    assert!(
        sent <= max_sent,
        "{sent} pings sent, at most {max_sent} allowed"
    );
    assert_eq!(status["hosts_connected"], HOSTS);
    placer.kill();
    connections
        .into_iter()
        .for_each(|connection| connection.join().expect("host thread ends"));
}

#[test]
fn disconnects_a_silent_host_after_an_offer() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    // The other hosts are draining, so that the first one gets the offer.
    let states = hosts
        .iter()
        .enumerate()
        .map(|(n, host)| (host, if n == 0 { "ready" } else { "draining" }));
    placer.write_inventory(&states.collect::<Vec<_>>());
    let wait_until_serving = placer.start();
    let mut connections: Vec<PlacerConnection> = hosts
        .iter()
        .map(|host| host.accept_and_greet(&[]))
        .collect();
    let silent_host = stop_answering_at_offer(connections.remove(0));
    let others: Vec<_> = connections.into_iter().map(answer_pings).collect();
    wait_until_serving(&mut placer);
    let request =
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":300}"#;
    let (status, answer) = placer.client().call("POST", "/v1/actors", request);
    assert_eq!(status, 200, "{answer}");
    let (offer, unanswered) = silent_host.join().expect("host thread ends");
    assert!(
        unanswered.iter().any(|f| matches!(f, Frame::Ping(_))),
        "{unanswered:?}"
    );
    assert!(
        unanswered.contains(&Frame::Cancel(offer.attempt_id)),
        "{unanswered:?}"
    );
    let log = placer.log_text();
    assert!(log.contains("silent; connection dropped"), "{log}");
    placer.kill();
    others
        .into_iter()
        .for_each(|connection| connection.join().expect("host thread ends"));
}

/// Pauses a placer's process.
fn pause(placer: &PlacerProcess, duration: Duration) {
    placer.signal(Signal::STOP);
    std::thread::sleep(duration);
    placer.signal(Signal::CONT);
}

#[test]
fn paused_placer_disconnects_no_host_idle_or_in_use() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    let wait_until_serving = placer.start();
    let connections: Vec<_> = hosts
        .iter()
        .map(|host| accept_offers(host.accept_and_greet(&[])))
        .collect();
    wait_until_serving(&mut placer);
    // One host is in use by a task; the others are idle.
    let (status, answer) = placer
        .client()
        .call("POST", "/v1/actors", PLACEMENT_REQUEST);
    assert_eq!(status, 200, "{answer}");
    for _ in 0..2 {
        let sent = heartbeats(&placer.status());
        pause(&placer, PAUSE);
        placer.wait_for_status("a round of pings after the pause", |s| {
            heartbeats(s) >= sent + 2 * HOSTS as u64
        });
    }
    let status = placer.status();
    assert_eq!(
        (
            status["hosts_connected"].as_u64(),
            status["actors"].as_u64()
        ),
        (Some(HOSTS as u64), Some(1))
    );
    let log = placer.log_text();
    assert!(!log.contains("connection dropped"), "{log}");
    placer.kill();
    connections
        .into_iter()
        .for_each(|connection| connection.join().expect("host thread ends"));
}

#[test]
fn disconnects_a_host_only_at_the_placer_it_does_not_answer() {
    let host = ScriptedHost::new("h0", "a", "c");
    let hosts = [host];
    let (mut answered_placer, mut unanswered_placer) = (
        placer_with_idle_ping_rate(&hosts),
        placer_with_idle_ping_rate(&hosts),
    );
    // The placers connect in the order of their start.
    let wait_until_serving = answered_placer.start();
    let answering = answer_pings(hosts[0].accept_and_greet(&[]));
    wait_until_serving(&mut answered_placer);
    let wait_until_serving = unanswered_placer.start();
    let mut silent = hosts[0].accept_and_greet(&[]);
    wait_until_serving(&mut unanswered_placer);
    // The host does not answer the second placer until that disconnects.
    while silent.receive_without_answering().is_some() {}
    let log = unanswered_placer.log_text();
    assert!(log.contains("silent; connection dropped"), "{log}");
    assert_eq!(answered_placer.status()["hosts_connected"], 1);
    let sent = heartbeats(&answered_placer.status());
    answered_placer.wait_for_status("pings to the answering host", |s| heartbeats(s) > sent);
    let log = answered_placer.log_text();
    assert!(!log.contains("connection dropped"), "{log}");
    answered_placer.kill();
    unanswered_placer.kill();
    answering.join().expect("host thread ends");
}
