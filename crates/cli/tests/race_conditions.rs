//! Race conditions between hosts and clients, with a real placer process and scripted hosts and clients.

mod support;

use std::io::Read;
use std::time::{Duration, Instant};

use maplethread_wire::frame::{Frame, Reason};
use rustix::process::Signal;
use support::*;

/// Long enough for frames in flight to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(150);

#[test]
fn keyed_actor_leaves_its_group_only_if_no_attempt_possibly_started() {
    let hosts = [
        ScriptedHost::new("a1", "a", "1"),
        ScriptedHost::new("a2", "a", "2"),
        ScriptedHost::new("b1", "b", "1"),
        ScriptedHost::new("b2", "b", "2"),
    ];
    let (placer, mut connections) = start_placer_with(&hosts.iter().collect::<Vec<_>>());
    for round in 0..4 {
        let mut client = placer.client();
        client.send_placement(
            &placement_request("ledger-batch", "interest", &format!("run-{round}"), 2000),
            &format!("r{round}"),
        );
        let (first, offer) = wait_for_offer(&mut connections);
        assert_eq!(offer.prior_attempts, 0);
        let is_silent = round % 2 == 0;
        if !is_silent {
            // A rejected offer has not started: any host may get the next one.
            connections[first].send(&Frame::Refused(offer.attempt_id, Reason::Cores, None));
        }
        // Otherwise the first host does not answer, so its attempt may have started. The other hosts reject the offer, which
        // proves nothing about the first attempt.
        loop {
            let mut received = None;
            let until = Instant::now() + Duration::from_secs(3);
            while received.is_none()
                && Instant::now() < until
                && client.stream.peek_ready().is_none()
            {
                for (i, connection) in connections.iter_mut().enumerate() {
                    if let Some(Frame::Offer(offer)) =
                        connection.receive_within(Duration::from_millis(5))
                    {
                        received = Some((i, offer));
                    }
                }
            }
            let Some((next, offer)) = received else { break };
            if is_silent {
                assert_eq!(
                    hosts[next].zone, hosts[first].zone,
                    "offered outside the group although an attempt may have started"
                );
                connections[next].send(&Frame::Refused(offer.attempt_id, Reason::Ineligible, None));
            } else {
                connections[next].send(&Frame::Accepted(offer.attempt_id, 1));
            }
        }
        let (status, body) = client.receive_json();
        assert_eq!(status, 200);
        let outcome = if is_silent { "failed" } else { "placed" };
        assert_eq!(body["outcome"], outcome, "{body}");
    }
}

/// Returns the next byte if one can be read, without consuming it.
trait PeekReady {
    fn peek_ready(&self) -> Option<u8>;
}

impl PeekReady for std::net::TcpStream {
    fn peek_ready(&self) -> Option<u8> {
        self.set_nonblocking(true)
            .expect("socket option can be set");
        let mut byte = [0];
        let next_byte = self
            .peek(&mut byte)
            .ok()
            .filter(|&n| n > 0)
            .map(|_| byte[0]);
        self.set_nonblocking(false)
            .expect("socket option can be set");
        next_byte
    }
}

#[test]
fn client_disconnect_during_third_attempt_leaves_no_state() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut connections) = start_placer_with(&[&host]);
    let connection = &mut connections[0];
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "nightly", "s1", 10_000),
        "third",
    );
    for number in 0..2 {
        let offer = connection.receive_offer();
        assert_eq!(offer.prior_attempts, number);
        connection.send(&Frame::Refused(offer.attempt_id, Reason::QueueFull, None));
    }
    let third = connection.receive_offer();
    assert_eq!(third.prior_attempts, 2);
    drop(client);
    // The client's disconnect reaches the host as a cancellation, although the host has accepted meanwhile.
    connection.send(&Frame::Accepted(third.attempt_id, 1));
    let next = connection.receive();
    assert!(
        matches!(next, Frame::Cancel(w) | Frame::Stop(w) if w == third.attempt_id),
        "{next:?}"
    );
    // Until the host reports the end, requests for the actor are rejected, since it must not run twice.
    let (status, problem) = placer.client().call(
        "POST",
        "/v1/actors",
        &placement_request("statements", "nightly", "s1", 1000),
    );
    assert_eq!(
        (status, problem["type"].as_str()),
        (409, Some("urn:maplethread:problem:unsettled"))
    );
    connection.send(&Frame::Ended(third.attempt_id, Reason::Stopped, true, None));
    placer.wait_for_status("no state is left", |s| {
        s["attempts"] == 0 && s["actors"] == 0 && s["open_asks"] == 0
    });
    let (status, _) = placer.client().call("GET", "/v1/actors/nightly/s1", "");
    assert_eq!(status, 404);
    let status = placer.status();
    assert_eq!(status["counters"]["hung_up"], 1);
    assert_eq!(status["counters"]["placed"], 0);
    // After the end, the actor can be placed again.
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "nightly", "s1", 4000),
        "again",
    );
    let offer = connection.receive_offer();
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
}

#[test]
fn acceptance_crossing_client_disconnect_has_one_result() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut connections) = start_placer_with(&[&host]);
    let connection = &mut connections[0];
    for round in 0..20 {
        let actor = format!("x{round}");
        let mut client = placer.client();
        client.send_placement(&placement_request("web-api", "cross", &actor, 3000), &actor);
        let offer = connection.receive_offer();
        if round % 2 == 0 {
            drop(client);
            connection.send(&Frame::Accepted(offer.attempt_id, 1));
        } else {
            connection.send(&Frame::Accepted(offer.attempt_id, 1));
            drop(client);
        }
        // Either the actor stays placed and only its answer is lost, or the attempt is cancelled.
        let is_cancelled = matches!(connection.receive_within(SETTLE_TIME), Some(Frame::Cancel(w) | Frame::Stop(w)) if w == offer.attempt_id);
        if is_cancelled {
            connection.send(&Frame::Ended(
                offer.attempt_id,
                Reason::Stopped,
                false,
                None,
            ));
            placer.wait_for_status("the attempt is cancelled", |s| s["attempts"] == 0);
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
            // A repeated request gets the same placement, without another offer.
            let (_, body) = placer.client().call(
                "POST",
                "/v1/actors",
                &placement_request("web-api", "cross", &actor, 3000),
            );
            assert_eq!(
                (body["outcome"].as_str(), body["host"].as_str()),
                (Some("placed"), Some("h1"))
            );
            connection.send(&Frame::Ended(
                offer.attempt_id,
                Reason::Completed,
                true,
                None,
            ));
            placer.wait_for_status("the attempt has ended", |s| s["attempts"] == 0);
        }
    }
}

#[test]
fn host_disconnect_inside_an_offer_ends_as_retry_safety_allows() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(&[&host], "");
    let wait_until_serving = placer.start();
    let connection = host.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    // A request of a safe class is retried after the host reconnects.
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "safe", 8000), "safe");
    disconnect_inside_frame(connection);
    let mut connection = host.accept_and_greet(&[]);
    let offer = connection.receive_offer();
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
    // A task that must not run twice may have started, as far as the placer can tell: its request fails without a retry.
    let mut client = placer.client();
    client.send_placement(
        &placement_request("statements", "s", "unsafe", 8000),
        "unsafe",
    );
    disconnect_inside_frame(connection);
    let (_, body) = client.receive_json();
    assert_eq!(
        (body["outcome"].as_str(), body["attempts"].as_u64()),
        (Some("failed"), Some(1)),
        "{body}"
    );
    let mut connection = host.accept_and_greet(&[]);
    let rest = connection.receive_all_within(SETTLE_TIME);
    assert!(
        !rest.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{rest:?}"
    );
}

/// Reads the first bytes of an offer, then resets the connection.
fn disconnect_inside_frame(connection: PlacerConnection) {
    let mut stream = connection.into_stream();
    let mut bytes = [0; 10];
    stream
        .read_exact(&mut bytes)
        .expect("start of the offer can be read");
    assert_eq!(bytes[4], 2, "expected an offer");
    let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
}

#[test]
fn acceptance_after_the_attempt_timeout_is_cancelled() {
    let (slow, other) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let (placer, mut connections) = start_placer_with(&[&slow, &other]);
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "late", 5000), "late");
    let (first, offer) = wait_for_offer(&mut connections);
    // Without an answer, the offer is cancelled and made to the next host.
    let (second, again) = wait_for_cancel_and_next_offer(&mut connections, offer.attempt_id);
    assert_eq!(again.prior_attempts, 1);
    // Both hosts accept; only the second acceptance counts.
    connections[first].send(&Frame::Accepted(offer.attempt_id, 1));
    connections[second].send(&Frame::Accepted(again.attempt_id, 1));
    let (_, body) = client.receive_json();
    assert_eq!(
        (body["outcome"].as_str(), body["attempt"].as_u64()),
        (Some("placed"), Some(1))
    );
    let mut stops = connections[first].receive_all_within(SETTLE_TIME);
    stops.retain(|f| matches!(f, Frame::Stop(w) if *w == offer.attempt_id));
    assert_eq!(stops.len(), 1, "the late acceptance is stopped once");
    assert_eq!(placer.status()["actors"], 1);
}

fn wait_for_cancel_and_next_offer(
    connections: &mut [PlacerConnection],
    first: u64,
) -> (usize, maplethread_wire::frame::Offer) {
    let mut cancelled = false;
    let until = Instant::now() + TEST_TIMEOUT;
    let mut again = None;
    while Instant::now() < until {
        for (i, connection) in connections.iter_mut().enumerate() {
            match connection.receive_within(Duration::from_millis(5)) {
                Some(Frame::Offer(offer)) => again = Some((i, offer)),
                Some(Frame::Cancel(wire)) => cancelled |= wire == first,
                _ => {}
            }
        }
        if cancelled && let Some(again) = again {
            return again;
        }
    }
    panic!("no cancellation with a second offer within {TEST_TIMEOUT:?}");
}

#[test]
fn drain_read_together_with_a_hundred_requests_applies_to_all_of_them() {
    let (draining, other) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let (placer, mut connections) = start_placer_with(&[&draining, &other]);
    let mut clients: Vec<Client> = (0..4).map(|_| placer.client()).collect();
    // The connections are accepted first, so that only requests are new after the pause.
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
    connections[0].send(&Frame::Drain);
    placer.signal(Signal::CONT);
    let mut placed = 0;
    while placed < 100 {
        let offer = connections[1].receive_offer();
        connections[1].send(&Frame::Accepted(offer.attempt_id, 1));
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
    let drained = connections[0].receive_all_within(SETTLE_TIME);
    assert!(
        !drained.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{drained:?}"
    );
    // A drain in the inventory applies in the same way.
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
    let drained = connections[1].receive_all_within(SETTLE_TIME);
    assert!(
        !drained.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{drained:?}"
    );
}
