//! Heartbeats of a real placer process: idle hosts within the rate, and a dead one cut off after an offer.

mod support;

use std::thread::{JoinHandle, spawn};
use std::time::{Duration, Instant};

use maplethread_wire::frame::{Frame, Offer};
use rustix::process::Signal;
use serde_json::Value;
use support::*;

const HOSTS: usize = 12;
const MAX_IDLE_PINGS_PER_S: f64 = 5.0;
/// Longer than a host may be silent by default.
const PAUSE: Duration = Duration::from_secs(4);
const PLACEMENT_REQUEST: &str =
    r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":9000}"#;

/// Hosts that are there for one test.
fn scripted_hosts() -> Vec<ScriptedHost> {
    (0..HOSTS)
        .map(|n| ScriptedHost::new(&format!("h{n}"), "a", "c"))
        .collect()
}

/// A placer that pings its idle hosts at a low rate; nothing runs yet.
fn placer_with_idle_ping_rate(hosts: &[ScriptedHost]) -> PlacerProcess {
    let placer = PlacerProcess::with_files(&hosts.iter().collect::<Vec<_>>(), "");
    let file = placer.folder().join("placer.toml");
    let config = std::fs::read_to_string(&file).expect("the settings");
    let rate =
        format!("[hosts]\nping_every_ms = 200\nmax_idle_pings_per_s = {MAX_IDLE_PINGS_PER_S:.0}\n");
    std::fs::write(&file, config.replace("[hosts]\n", &rate)).expect("a file");
    placer
}

/// Answers pings until the connection ends.
fn answer_pings(mut link: PlacerConnection) -> JoinHandle<()> {
    spawn(move || while link.receive_within(PATIENCE).is_some() {})
}

/// Answers pings and accepts offers until the connection ends.
fn accept_offers(mut link: PlacerConnection) -> JoinHandle<()> {
    spawn(move || {
        while let Some(frame) = link.receive_within(PATIENCE) {
            if let Frame::Offer(offer) = frame {
                link.send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
    })
}

/// Heartbeats that a placer has sent.
fn heartbeats(status: &Value) -> u64 {
    status["counters"]["heartbeats"].as_u64().unwrap_or(0)
}

/// Answers pings up to an offer, and nothing from then on: the offer, and what came after it.
fn stop_answering_at_offer(mut link: PlacerConnection) -> JoinHandle<(Offer, Vec<Frame>)> {
    spawn(move || {
        let offer = link.receive_offer();
        let unanswered = std::iter::from_fn(|| link.receive_without_answering()).collect();
        (offer, unanswered)
    })
}

#[test]
fn pings_every_idle_host_within_the_total_rate() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    let from = Instant::now();
    let serving = placer.start();
    let links: Vec<_> = hosts
        .iter()
        .map(|host| answer_pings(host.accept_and_greet(&[])))
        .collect();
    serving(&mut placer);
    // Two rounds: none was left out, or it would have been cut off.
    let rounds = 2 * HOSTS as u64;
    let status = placer.wait_for_status("two rounds of pings", |s| {
        s["counters"]["heartbeats"]
            .as_u64()
            .is_some_and(|n| n >= rounds)
    });
    let sent = status["counters"]["heartbeats"].as_u64().expect("a count") as f64;
    // The two that a late turn may bring closer.
    let most = MAX_IDLE_PINGS_PER_S * from.elapsed().as_secs_f64() + 2.0;
    assert!(sent <= most, "{sent} pings where {most} are allowed");
    assert_eq!(status["hosts_connected"], HOSTS);
    placer.kill();
    links
        .into_iter()
        .for_each(|link| link.join().expect("its host"));
}

#[test]
fn disconnects_a_silent_host_after_an_offer() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    // The others take nothing, so that it gets the offer.
    let states = hosts
        .iter()
        .enumerate()
        .map(|(n, host)| (host, if n == 0 { "ready" } else { "draining" }));
    placer.write_inventory(&states.collect::<Vec<_>>());
    let serving = placer.start();
    let mut links: Vec<PlacerConnection> = hosts
        .iter()
        .map(|host| host.accept_and_greet(&[]))
        .collect();
    let dead = stop_answering_at_offer(links.remove(0));
    let others: Vec<_> = links.into_iter().map(answer_pings).collect();
    serving(&mut placer);
    let asked =
        r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":300}"#;
    let (status, answer) = placer.client().call("POST", "/v1/actors", asked);
    assert_eq!(status, 200, "{answer}");
    let (offer, unanswered) = dead.join().expect("its host");
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
        .for_each(|link| link.join().expect("its host"));
}

/// Pauses a placer for so long, which is longer than a host may be silent.
fn pause(placer: &PlacerProcess, span: Duration) {
    placer.signal(Signal::STOP);
    std::thread::sleep(span);
    placer.signal(Signal::CONT);
}

#[test]
fn paused_placer_disconnects_no_host_idle_or_in_use() {
    let hosts = scripted_hosts();
    let mut placer = placer_with_idle_ping_rate(&hosts);
    let serving = placer.start();
    let links: Vec<_> = hosts
        .iter()
        .map(|host| accept_offers(host.accept_and_greet(&[])))
        .collect();
    serving(&mut placer);
    // A task on one of them, so that it is in use; the others are idle.
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
    links
        .into_iter()
        .for_each(|link| link.join().expect("its host"));
}

#[test]
fn disconnects_a_host_only_at_the_placer_it_does_not_answer() {
    let host = ScriptedHost::new("h0", "a", "c");
    let hosts = [host];
    let (mut reached, mut cut_off) = (
        placer_with_idle_ping_rate(&hosts),
        placer_with_idle_ping_rate(&hosts),
    );
    // The connections come in the order in which the placers start.
    let serving = reached.start();
    let answering = answer_pings(hosts[0].accept_and_greet(&[]));
    serving(&mut reached);
    let serving = cut_off.start();
    let mut silent = hosts[0].accept_and_greet(&[]);
    serving(&mut cut_off);
    // Nothing that one of them sends is answered, until it has given the host up.
    while silent.receive_without_answering().is_some() {}
    let log = cut_off.log_text();
    assert!(log.contains("silent; connection dropped"), "{log}");
    assert_eq!(reached.status()["hosts_connected"], 1);
    let sent = heartbeats(&reached.status());
    reached.wait_for_status("pings to the host that is there", |s| heartbeats(s) > sent);
    let log = reached.log_text();
    assert!(!log.contains("connection dropped"), "{log}");
    reached.kill();
    cut_off.kill();
    answering.join().expect("its host");
}
