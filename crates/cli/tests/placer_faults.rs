//! A placer that is killed, paused, or crowded by slow clients.

mod support;

use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

use maplethread_wire::frame::{Frame, Reason};
use rustix::process::Signal;
use support::*;

/// Long enough for what is on its way to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(150);

#[test]
fn restarted_placer_recovers_tasks_and_counts_them() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (mut placer, mut links) = start_placer_with(&[&host]);
    let mut held = Vec::new();
    for (class, service, actor) in [
        ("spread", "web", "w1"),
        ("spread", "web", "w2"),
        ("ledger-batch", "interest", "k1"),
    ] {
        let mut client = placer.client();
        client.send_placement(&placement_request(class, service, actor, 4000), actor);
        let offer = links[0].receive_offer();
        links[0].send(&Frame::Accepted(offer.attempt_id, 1));
        links[0].send(&Frame::Started(offer.attempt_id, 2));
        assert_eq!(client.receive_json().1["outcome"], "placed");
        held.push(Frame::Held(offer, true));
    }
    let life = links[0].placer_started_ms;
    placer.kill();
    drop(links);
    let ready = placer.start();
    let mut link = host.accept_and_greet(&held);
    ready(&mut placer);
    assert_ne!(link.placer_started_ms, life);
    assert_eq!(placer.status()["counters"]["adopted"], 3);
    // The spread limit of two counts those that it finds: a third is not offered.
    let (_, body) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("spread", "web", "w3", 500),
    );
    assert_eq!(body["outcome"], "refused", "{body}");
    // The keyed actor runs: asked again, it is where it was, and no second attempt goes out.
    let (_, body) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("ledger-batch", "interest", "k1", 500),
    );
    assert_eq!(
        (body["outcome"].as_str(), body["host"].as_str()),
        (Some("placed"), Some("h1"))
    );
    let frames = link.receive_all_within(SETTLE_TIME);
    assert!(
        !frames.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{frames:?}"
    );
    // Once one of them has ended there is room for another.
    let Frame::Held(first, _) = &held[0] else {
        unreachable!("made above")
    };
    link.send(&Frame::Ended(
        first.attempt_id,
        Reason::Completed,
        true,
        None,
    ));
    let mut client = placer.client();
    client.send_placement(&placement_request("spread", "web", "w3", 4000), "w3");
    let offer = link.receive_offer();
    link.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
}

#[test]
fn paused_placer_penalizes_no_host_and_answers_pending_requests() {
    let hosts = [
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    ];
    let (placer, mut links) = start_placer_with(&hosts.iter().collect::<Vec<_>>());
    let mut clients = BTreeMap::new();
    let mut offers = Vec::new();
    for n in 0..10 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("statements", &format!("s{n}"), "a", 10_000),
            &format!("{n}"),
        );
        let (host, offer) = wait_for_offer(&mut links);
        offers.push((host, offer));
        clients.insert(n, client);
        if n == 9 {
            placer.signal(Signal::STOP);
        }
    }
    for (host, offer) in &offers {
        links[*host].send(&Frame::Accepted(offer.attempt_id, 1));
    }
    std::thread::sleep(Duration::from_secs(2));
    placer.signal(Signal::CONT);
    let mut placed = 0;
    for client in clients.values_mut() {
        let (_, body) = client.receive_json();
        // The first ones may have timed out before the pause began.
        placed += u32::from(body["outcome"] == "placed");
    }
    assert!(
        placed >= 8,
        "only {placed} of the 10 answers that lay ready were given"
    );
    // Nobody was cut off or is passed over: both hosts are still connected, and both get work.
    assert_eq!(placer.status()["hosts_connected"], 2);
    let mut seen = [0; 2];
    for n in 0..40 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("web-api", &format!("after{n}"), "a", 4000),
            &format!("after{n}"),
        );
        let (host, offer) = wait_for_offer(&mut links);
        seen[host] += 1;
        links[host].send(&Frame::Accepted(offer.attempt_id, 1));
        assert_eq!(client.receive_json().1["outcome"], "placed");
    }
    assert!(seen.iter().all(|&n| n > 0), "{seen:?}");
}

#[test]
fn five_hundred_slow_clients_do_not_delay_others() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(
        &[&host],
        "max_unread_bytes = 65536\nrequest_within_ms = 60000",
    );
    let ready = placer.start();
    let mut link = host.accept_and_greet(&[]);
    ready(&mut placer);
    let before = placer.rss_kib();
    // The host answers from the start: on a busy machine, the clients below take longer to come than it may be silent.
    let answerer = std::thread::spawn(move || {
        let mut answered = 0;
        while answered < 200 {
            let offer = link.receive_offer();
            link.send(&Frame::Accepted(offer.attempt_id, 1));
            answered += 1;
        }
        link
    });
    // Half of them send a byte now and then; the others ask for a lot and never read.
    let mut slow: Vec<_> = (0..500).map(|_| placer.client().stream).collect();
    let text = b"POST /v1/actors HTTP/1.1\r\nHost: x\r\nContent-Length: 9999\r\n\r\n{";
    for (n, stream) in slow.iter_mut().enumerate() {
        if n % 2 == 1 {
            stream.set_nonblocking(true).expect("a socket");
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
    answerer.join().expect("the host");
    let after = placer.rss_kib();
    // 500 connections with their buffers full: 128 KiB in and 64 KiB out at most, and a good deal less in fact.
    assert!(
        after < before + 500 * 192,
        "memory went from {before} to {after} KiB"
    );
    assert!(
        placer.status()["clients"]
            .as_u64()
            .is_some_and(|n| n <= 502)
    );
}
