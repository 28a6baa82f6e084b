//! Races between hosts and clients, end to end: a real placer process, scripted hosts and clients.

mod support;

use std::io::Read;
use std::time::{Duration, Instant};

use maplethread_wire::frame::{Frame, Reason};
use rustix::process::Signal;
use support::*;

/// Long enough for what is on its way to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(150);

#[test]
fn keyed_actor_leaves_its_group_only_if_no_attempt_possibly_started() {
    let hosts = [
        ScriptedHost::new("a1", "a", "1"),
        ScriptedHost::new("a2", "a", "2"),
        ScriptedHost::new("b1", "b", "1"),
        ScriptedHost::new("b2", "b", "2"),
    ];
    let (placer, mut links) = start_placer_with(&hosts.iter().collect::<Vec<_>>());
    for round in 0..4 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("ledger-batch", "interest", &format!("run-{round}"), 2000),
            &format!("r{round}"),
        );
        let (first, offer) = wait_for_offer(&mut links);
        assert_eq!(offer.prior_attempts, 0);
        let silent = round % 2 == 0;
        if !silent {
            // A refusal proves that it never ran: any host may be next.
            links[first].send(&Frame::Refused(offer.attempt_id, Reason::Cores, None));
        }
        // Otherwise the first host stays silent: its copy may run. Everybody else lets a copy stand.
        loop {
            let mut came = None;
            let until = Instant::now() + Duration::from_secs(3);
            while came.is_none() && Instant::now() < until && client.stream.peek_ready().is_none() {
                for (i, link) in links.iter_mut().enumerate() {
                    if let Some(Frame::Offer(offer)) = link.receive_within(Duration::from_millis(5))
                    {
                        came = Some((i, offer));
                    }
                }
            }
            let Some((next, offer)) = came else { break };
            if silent {
                assert_eq!(
                    hosts[next].zone, hosts[first].zone,
                    "left the group though it may have run"
                );
                links[next].send(&Frame::Refused(offer.attempt_id, Reason::Ineligible, None));
            } else {
                links[next].send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
        let (status, body) = client.receive_json();
        assert_eq!(status, 200);
        let outcome = if silent { "failed" } else { "placed" };
        assert_eq!(body["outcome"], outcome, "{body}");
    }
}

/// Whether an answer lies ready, without reading it.
trait PeekReady {
    fn peek_ready(&self) -> Option<u8>;
}

impl PeekReady for std::net::TcpStream {
    fn peek_ready(&self) -> Option<u8> {
        self.set_nonblocking(true).expect("a socket");
        let mut byte = [0];
        let ready = self
            .peek(&mut byte)
            .ok()
            .filter(|&n| n > 0)
            .map(|_| byte[0]);
        self.set_nonblocking(false).expect("a socket");
        ready
    }
}

#[test]
fn client_disconnect_during_third_attempt_leaves_no_state() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut links) = start_placer_with(&[&host]);
    let link = &mut links[0];
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "nightly", "s1", 10_000),
        "third",
    );
    for number in 0..2 {
        let offer = link.receive_offer();
        assert_eq!(offer.prior_attempts, number);
        link.send(&Frame::Refused(offer.attempt_id, Reason::QueueFull, None));
    }
    let third = link.receive_offer();
    assert_eq!(third.prior_attempts, 2);
    drop(client);
    // The hang-up reaches the host as a call-off, though it has accepted meanwhile.
    link.send(&Frame::Accepted(third.attempt_id, 1));
    let next = link.receive();
    assert!(
        matches!(next, Frame::Cancel(w) | Frame::Stop(w) if w == third.attempt_id),
        "{next:?}"
    );
    // Until the host has said that it is gone, the actor is not taken anew: it must not run twice.
    let (status, problem) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("statements", "nightly", "s1", 1000),
    );
    assert_eq!(
        (status, problem["type"].as_str()),
        (409, Some("urn:maplethread:problem:unsettled"))
    );
    link.send(&Frame::Ended(third.attempt_id, Reason::Stopped, true, None));
    placer.wait_for_status("nothing is left", |s| {
        s["attempts"] == 0 && s["actors"] == 0 && s["open_asks"] == 0
    });
    let (status, _) = placer.client().call("GET", "/v1/actors/nightly/s1", "");
    assert_eq!(status, 404);
    let status = placer.status();
    assert_eq!(status["counters"]["hung_up"], 1);
    assert_eq!(status["counters"]["placed"], 0);
    // Now it may come again.
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "nightly", "s1", 4000),
        "again",
    );
    let offer = link.receive_offer();
    link.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
}

#[test]
fn acceptance_crossing_client_disconnect_has_one_result() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut links) = start_placer_with(&[&host]);
    let link = &mut links[0];
    for round in 0..20 {
        let actor = format!("x{round}");
        let mut client = placer.client();
        client.send_placement(&placement_request("web-api", "cross", &actor, 3000), &actor);
        let offer = link.receive_offer();
        if round % 2 == 0 {
            drop(client);
            link.send(&Frame::Accepted(offer.attempt_id, 1));
        } else {
            link.send(&Frame::Accepted(offer.attempt_id, 1));
            drop(client);
        }
        // Either it was placed and stays so, its answer lost on the way, or it was called off.
        let called_off = matches!(link.receive_within(SETTLE_TIME), Some(Frame::Cancel(w) | Frame::Stop(w)) if w == offer.attempt_id);
        if called_off {
            link.send(&Frame::Ended(
                offer.attempt_id,
                Reason::Stopped,
                false,
                None,
            ));
            placer.wait_for_status("called off", |s| s["attempts"] == 0);
            assert_eq!(
                placer
                    .client()
                    .call("GET", &format!("/v1/actors/cross/{actor}"), "")
                    .0,
                404
            );
        } else {
            let (status, body) =
                placer
                    .client()
                    .call("GET", &format!("/v1/actors/cross/{actor}"), "");
            assert_eq!(
                (status, body["state"].as_str()),
                (200, Some("placed")),
                "{body}"
            );
            // Asked again, it gets the same placing, without another offer.
            let (_, body) = placer.client().call(
                "POST",
                "/v1/actors",
                &placement_request("web-api", "cross", &actor, 3000),
            );
            assert_eq!(
                (body["outcome"].as_str(), body["host"].as_str()),
                (Some("placed"), Some("h1"))
            );
            link.send(&Frame::Ended(
                offer.attempt_id,
                Reason::Completed,
                true,
                None,
            ));
            placer.wait_for_status("ended", |s| s["attempts"] == 0);
        }
    }
}

#[test]
fn host_disconnect_inside_an_offer_ends_as_retry_safety_allows() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(&[&host], "");
    let ready = placer.start();
    let link = host.accept_and_greet(&[]);
    ready(&mut placer);
    // A safe one is simply tried again once the host is back.
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "safe", 8000), "safe");
    disconnect_inside_frame(link);
    let mut link = host.accept_and_greet(&[]);
    let offer = link.receive_offer();
    link.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
    // One that must not run twice may have run, as far as the placer can know: it fails, and is not sent again.
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "s", "unsafe", 8000),
        "unsafe",
    );
    disconnect_inside_frame(link);
    let (_, body) = client.receive_json();
    assert_eq!(
        (body["outcome"].as_str(), body["attempts"].as_u64()),
        (Some("failed"), Some(1)),
        "{body}"
    );
    let mut link = host.accept_and_greet(&[]);
    let rest = link.receive_all_within(SETTLE_TIME);
    assert!(
        !rest.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{rest:?}"
    );
}

/// Reads the first bytes of an offer, and resets the connection.
fn disconnect_inside_frame(link: PlacerConnection) {
    let mut stream = link.into_stream();
    let mut bytes = [0; 10];
    stream.read_exact(&mut bytes).expect("the offer begins");
    assert_eq!(bytes[4], 2, "an offer");
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
}

#[test]
fn acceptance_after_the_attempt_timeout_is_cancelled() {
    let (slow, other) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let (placer, mut links) = start_placer_with(&[&slow, &other]);
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "late", 5000), "late");
    let (first, offer) = wait_for_offer(&mut links);
    // No answer: after a while it is called off and offered anew.
    let (second, again) = wait_for_cancel_and_next_offer(&mut links, offer.attempt_id);
    assert_eq!(again.prior_attempts, 1);
    // Now both accept; only the second counts.
    links[first].send(&Frame::Accepted(offer.attempt_id, 1));
    links[second].send(&Frame::Accepted(again.attempt_id, 1));
    let (_, body) = client.receive_json();
    assert_eq!(
        (body["outcome"].as_str(), body["attempt"].as_u64()),
        (Some("placed"), Some(1))
    );
    let mut told = links[first].receive_all_within(SETTLE_TIME);
    told.retain(|f| matches!(f, Frame::Stop(w) if *w == offer.attempt_id));
    assert_eq!(told.len(), 1, "the late acceptance is called off");
    assert_eq!(placer.status()["actors"], 1);
}

fn wait_for_cancel_and_next_offer(
    links: &mut [PlacerConnection],
    first: u64,
) -> (usize, maplethread_wire::frame::Offer) {
    let mut cancelled = false;
    let until = Instant::now() + PATIENCE;
    let mut again = None;
    while Instant::now() < until {
        for (i, link) in links.iter_mut().enumerate() {
            match link.receive_within(Duration::from_millis(5)) {
                Some(Frame::Offer(offer)) => again = Some((i, offer)),
                Some(Frame::Cancel(wire)) => cancelled |= wire == first,
                _ => {}
            }
        }
        if cancelled && let Some(again) = again {
            return again;
        }
    }
    panic!("no call-off and no second offer");
}

#[test]
fn drain_read_together_with_a_hundred_requests_applies_to_all_of_them() {
    let (draining, other) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let (placer, mut links) = start_placer_with(&[&draining, &other]);
    let mut clients: Vec<Client> = (0..4).map(|_| placer.client()).collect();
    // All of them are known to the placer, so that nothing but asks is new.
    clients
        .iter_mut()
        .for_each(|c| assert_eq!(c.call("GET", "/v1/status", "").0, 200));
    placer.signal(Signal::STOP);
    for (n, client) in clients.iter_mut().enumerate() {
        for k in 0..25 {
            client.send_placement(
                &placement_request("web-api", &format!("s{n}"), &format!("a{k}"), 5000),
                &format!("{n}.{k}"),
            );
        }
    }
    links[0].send(&Frame::Drain);
    placer.signal(Signal::CONT);
    let mut placed = 0;
    while placed < 100 {
        let offer = links[1].receive_offer();
        links[1].send(&Frame::Accepted(offer.attempt_id, 1));
        placed += 1;
    }
    for client in &mut clients {
        for _ in 0..25 {
            let (_, body) = client.receive_json();
            assert_eq!(
                (body["outcome"].as_str(), body["host"].as_str()),
                (Some("placed"), Some("h2"))
            );
        }
    }
    let drained = links[0].receive_all_within(SETTLE_TIME);
    assert!(
        !drained.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{drained:?}"
    );
    // The inventory's word is heeded alike.
    placer.signal(Signal::STOP);
    for k in 0..50 {
        clients[0].send_placement(
            &placement_request("web-api", "late", &format!("b{k}"), 600),
            &format!("b.{k}"),
        );
    }
    placer.write_inventory(&[(&draining, "ready"), (&other, "draining")]);
    placer.signal(Signal::CONT);
    for _ in 0..50 {
        let (_, body) = clients[0].receive_json();
        assert_eq!(body["outcome"], "refused", "{body}");
    }
    let drained = links[1].receive_all_within(SETTLE_TIME);
    assert!(
        !drained.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{drained:?}"
    );
}
