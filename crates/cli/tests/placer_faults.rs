//! A placer that is killed, paused, or under load from slow clients.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use maplethread_wire::frame::{Frame, Reason};
use rustix::process::Signal;
use support::*;

/// Long enough for frames in flight to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// How often a host thread checks whether it is to stop answering.
const ANSWERER_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[test]
fn restarted_placer_recovers_tasks_and_counts_them() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (mut placer, mut connections) = start_placer_with(&[&host]);
    let mut held = Vec::new();
    for (class, service, actor) in [
        ("spread", "web", "w1"),
        ("spread", "web", "w2"),
        ("ledger-batch", "interest", "k1"),
    ] {
        let mut client = placer.client();
        client.send_placement(&placement_request(class, service, actor, 4000), actor);
        let offer = connections[0].receive_offer();
        connections[0].send(&Frame::Accepted(offer.attempt_id, 1));
        connections[0].send(&Frame::Started(offer.attempt_id, 2));
        assert_eq!(client.receive_json().1["outcome"], "placed");
        held.push(Frame::Held(offer, true));
    }
    let first_start_ms = connections[0].placer_started_ms;
    placer.kill();
    drop(connections);
    let wait_until_serving = placer.start();
    let mut connection = host.accept_and_greet(&held);
    wait_until_serving(&mut placer);
    assert_ne!(connection.placer_started_ms, first_start_ms);
    assert_eq!(placer.status()["counters"]["adopted"], 3);
    // The spread limit of two counts recovered tasks: a third one is not offered.
    let (_, body) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("spread", "web", "w3", 500),
    );
    assert_eq!(body["outcome"], "refused", "{body}");
    // The keyed actor is running: a repeated request gets its host, without a second attempt.
    let (_, body) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("ledger-batch", "interest", "k1", 500),
    );
    assert_eq!(
        (body["outcome"].as_str(), body["host"].as_str()),
        (Some("placed"), Some("h1"))
    );
    let frames = connection.receive_all_within(SETTLE_TIME);
    assert!(
        !frames.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{frames:?}"
    );
    // After one of them has ended, another one fits the limit.
    let Frame::Held(first, _) = &held[0] else {
        unreachable!("only Held frames are pushed")
    };
    connection.send(&Frame::Ended(
        first.attempt_id,
        Reason::Completed,
        true,
        None,
    ));
    let mut client = placer.client();
    client.send_placement(&placement_request("spread", "web", "w3", 4000), "w3");
    let offer = connection.receive_offer();
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
}

#[test]
fn paused_placer_penalizes_no_host_and_answers_pending_requests() {
    let hosts = [
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    ];
    let (placer, mut connections) = start_placer_with(&hosts.iter().collect::<Vec<_>>());
    let mut clients = BTreeMap::new();
    let mut offers = Vec::new();
    for n in 0..10 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("statements", &format!("s{n}"), "a", 10_000),
            &format!("{n}"),
        );
        let (host, offer) = wait_for_offer(&mut connections);
        offers.push((host, offer));
        clients.insert(n, client);
        if n == 9 {
            placer.signal(Signal::STOP);
        }
    }
    for (host, offer) in &offers {
        connections[*host].send(&Frame::Accepted(offer.attempt_id, 1));
    }
    std::thread::sleep(Duration::from_secs(2));
    placer.signal(Signal::CONT);
    let mut placed = 0;
    for client in clients.values_mut() {
        let (_, body) = client.receive_json();
        // The first requests may have timed out before the pause.
        placed += u32::from(body["outcome"] == "placed");
    }
    assert!(
        placed >= 8,
        "expected at least 8 of 10 requests placed, got {placed}"
    );
    // No host was disconnected or is avoided: both are still connected, and both get offers.
    assert_eq!(placer.status()["hosts_connected"], 2);
    let mut offers_by_host = [0; 2];
    for n in 0..40 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("web-api", &format!("after{n}"), "a", 4000),
            &format!("after{n}"),
        );
        let (host, offer) = wait_for_offer(&mut connections);
        offers_by_host[host] += 1;
        connections[host].send(&Frame::Accepted(offer.attempt_id, 1));
        assert_eq!(client.receive_json().1["outcome"], "placed");
    }
    assert!(offers_by_host.iter().all(|&n| n > 0), "{offers_by_host:?}");
}

#[test]
fn five_hundred_slow_clients_do_not_delay_others() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(
        &[&host],
        "max_unread_bytes = 65536\nrequest_within_ms = 60000",
    );
    let wait_until_serving = placer.start();
    let mut connection = host.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    let before = placer.rss_kib();
    // The host answers from the start: on a busy machine, connecting the clients below takes longer than a host may be
    // silent.
    let all_placed = Arc::new(AtomicBool::new(false));
    let stop_answering = all_placed.clone();
    // It answers until all requests are placed: on a busy machine attempts time out, so there are more offers than requests.
    let answerer = std::thread::spawn(move || {
        while !stop_answering.load(Ordering::Relaxed) {
            if let Some(Frame::Offer(offer)) = connection.receive_within(ANSWERER_POLL_INTERVAL) {
                connection.send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
        connection
    });
    // Half of the clients send single bytes; the others send many requests and never read the responses.
    let mut slow: Vec<_> = (0..500).map(|_| placer.client().stream).collect();
    let text = b"POST /v1/actors HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n{";
    for (n, stream) in slow.iter_mut().enumerate() {
        if n % 2 == 1 {
            stream
                .set_nonblocking(true)
                .expect("socket option can be set");
            let many = b"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2000);
            let _ = stream.write(&many);
        }
    }
    let mut client = placer.client();
    for n in 0..200 {
        for stream in slow.iter_mut().step_by(2) {
            let _ = stream.write(&text[n % text.len()..][..1]);
        }
        let (_, body) = client.call(
            "POST",
            "/v1/actors",
            &placement_request("web-api", "s", &format!("a{n}"), 60_000),
        );
        assert_eq!(body["outcome"], "placed");
    }
    all_placed.store(true, Ordering::Relaxed);
    answerer.join().expect("host thread ends");
    let after = placer.rss_kib();
    // The bound allows 500 connections with full buffers, of at most 128 KiB for input and 64 KiB for output.
    assert!(
        after < before + 500 * 192,
        "resident memory grew from {before} to {after} KiB"
    );
    assert!(
        placer.status()["clients"]
            .as_u64()
            .is_some_and(|n| n <= 502)
    );
}
