//! Heartbeats of a real placer process: idle hosts within the rate, and a dead one cut off after an offer.

mod support;

use std::thread::{JoinHandle, spawn};
use std::time::Instant;

use maplethread_wire::frame::{Frame, Offer};
use support::*;

const HOSTS: usize = 12;
const MAX_IDLE_PINGS_PER_S: f64 = 5.0;

/// Hosts that are there for one test.
fn hosts() -> Vec<ScriptedHost> {
    (0..HOSTS).map(|n| ScriptedHost::new(&format!("h{n}"), "a", "c")).collect()
}

/// A placer that pings its idle hosts at a low rate; nothing runs yet.
fn placer(hosts: &[ScriptedHost]) -> Placer {
    let placer = Placer::files(&hosts.iter().collect::<Vec<_>>(), "");
    let file = placer.folder().join("placer.toml");
    let config = std::fs::read_to_string(&file).expect("the settings");
    let rate = format!("[hosts]\nping_every_ms = 200\nmax_idle_pings_per_s = {MAX_IDLE_PINGS_PER_S:.0}\n");
    std::fs::write(&file, config.replace("[hosts]\n", &rate)).expect("a file");
    placer
}

/// Answers pings until the connection ends.
fn answers_pings(mut link: Link) -> JoinHandle<()> {
    spawn(move || while link.next_within(PATIENCE).is_some() {})
}

/// Answers pings up to an offer, and nothing from then on: the offer, and what came after it.
fn dies_at_an_offer(mut link: Link) -> JoinHandle<(Offer, Vec<Frame>)> {
    spawn(move || {
        let offer = link.offer();
        let unanswered = std::iter::from_fn(|| link.next_silently()).collect();
        (offer, unanswered)
    })
}

#[test]
fn idle_hosts_are_all_pinged_and_together_within_the_rate() {
    let hosts = hosts();
    let mut placer = placer(&hosts);
    let from = Instant::now();
    let serving = placer.start();
    let links: Vec<_> = hosts.iter().map(|host| answers_pings(host.greet(&[]))).collect();
    serving(&mut placer);
    // Two rounds: none was left out, or it would have been cut off.
    let rounds = 2 * HOSTS as u64;
    let status = placer.wait_for("two rounds of pings", |s| {
        s["counters"]["heartbeats"].as_u64().is_some_and(|n| n >= rounds)
    });
    let sent = status["counters"]["heartbeats"].as_u64().expect("a count") as f64;
    // The two that a late turn may bring closer.
    let most = MAX_IDLE_PINGS_PER_S * from.elapsed().as_secs_f64() + 2.0;
    assert!(sent <= most, "{sent} pings where {most} are allowed");
    assert_eq!(status["hosts_connected"], HOSTS);
    placer.kill();
    links.into_iter().for_each(|link| link.join().expect("its host"));
}

#[test]
fn a_dead_idle_host_is_pinged_and_cut_off_after_an_offer() {
    let hosts = hosts();
    let mut placer = placer(&hosts);
    // The others take nothing, so that it gets the offer.
    let states = hosts.iter().enumerate().map(|(n, host)| (host, if n == 0 { "ready" } else { "draining" }));
    placer.inventory(&states.collect::<Vec<_>>());
    let serving = placer.start();
    let mut links: Vec<Link> = hosts.iter().map(|host| host.greet(&[])).collect();
    let dead = dies_at_an_offer(links.remove(0));
    let others: Vec<_> = links.into_iter().map(answers_pings).collect();
    serving(&mut placer);
    let asked = r#"{"service":"s","actor":"a","class":"web-api","cores":1,"memory_gib":1,"budget_ms":300}"#;
    let (status, answer) = placer.client().call("POST", "/v1/actors", asked);
    assert_eq!(status, 200, "{answer}");
    let (offer, unanswered) = dead.join().expect("its host");
    assert!(unanswered.iter().any(|f| matches!(f, Frame::Ping(_))), "{unanswered:?}");
    assert!(unanswered.contains(&Frame::Cancel(offer.attempt)), "{unanswered:?}");
    let log = std::fs::read_to_string(placer.log()).expect("a log");
    assert!(log.contains("silent; connection dropped"), "{log}");
    placer.kill();
    others.into_iter().for_each(|link| link.join().expect("its host"));
}
