//! Checks that the API is served as `docs/openapi.json` and `docs/api.md` describe it.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use maplethread_wire::frame::{Frame, Reason};
use serde_json::Value;
use support::*;

/// The page that describes the API in words.
const API_PAGE: &str = include_str!("../../../docs/api.md");

/// The problem types in a placer's responses.
type ProblemTypes = BTreeSet<String>;

/// Adds the problem type of a response, if it has one.
fn record_problem_type(problems: &mut ProblemTypes, answer: &Value) {
    problems.extend(answer["type"].as_str().map(str::to_owned));
}

#[test]
fn responses_match_the_openapi_document() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut connections) = start_placer_with(&[&host]);
    let api = DocumentedApi::of(&placer);
    let mut problems = ProblemTypes::new();
    check_placement_outcomes(&api, &mut connections[0]);
    check_rejected_placements(&api, &mut problems);
    check_actors(&api, &mut connections[0], &mut problems);
    check_other_resources(&api, &mut problems);
    check_rejected_methods(&api);
    let (status, problem) = placer.client().call("GET", "/v2", "");
    assert_eq!(status, 404);
    record_problem_type(&mut problems, &problem);
    for problem in problems {
        let name = problem
            .strip_prefix("urn:maplethread:problem:")
            .expect("problem type of the project");
        assert!(
            API_PAGE.contains(&format!("`{name}`")),
            "docs/api.md does not describe {name}"
        );
    }
}

/// Checks the three outcomes of a placement. The actor a1 is running afterwards.
fn check_placement_outcomes(api: &DocumentedApi<'_>, connection: &mut PlacerConnection) {
    let placed = api.place_while(&placement_request("web-api", "s", "a1", 4000), || {
        let offer = connection.receive_offer();
        connection.send(&Frame::Accepted(offer.attempt_id, 1));
        connection.send(&Frame::Started(offer.attempt_id, 1));
    });
    assert_eq!(
        (placed.0, placed.1["outcome"].as_str()),
        (200, Some("placed"))
    );
    let refused = api.place_while(&placement_request("web-api", "s", "a2", 1000), || {
        let offer = connection.receive_offer();
        connection.send(&Frame::Refused(offer.attempt_id, Reason::Memory, None));
    });
    assert_eq!(
        (refused.1["outcome"].as_str(), refused.1["reason"].as_str()),
        (Some("refused"), Some("memory"))
    );
    let failed = api.place_while(&placement_request("statements", "s", "a3", 4000), || {
        let offer = connection.receive_offer();
        connection.send(&Frame::Ended(offer.attempt_id, Reason::Error, true, None));
    });
    assert_eq!(failed.1["outcome"], "failed");
    assert_eq!(failed.1["unknown"], "whether it runs on h1");
}

/// Checks placement requests that are rejected.
fn check_rejected_placements(api: &DocumentedApi<'_>, problems: &mut ProblemTypes) {
    let rejected = [
        (400, "{"),
        (400, r#"{"service":"s"}"#),
        (422, &placement_request("nope", "s", "a", 100)),
        (422, &placement_request("web-api", "", "a", 100)),
        (422, &placement_request("web-api", "s", "a\\u0007", 100)),
        (422, &placement_request("web-api", "s", "a", 5)),
        (409, &placement_request("statements", "s", "a3", 1000)),
        (
            400,
            &placement_request("web-api", "s", "a", 100).replace("cores", "core"),
        ),
    ];
    for (status, body) in rejected {
        let (got, problem) = api.place(body);
        assert_eq!(got, status, "{body}: {problem}");
        assert_eq!(problem["status"], status);
        problems.insert(problem["type"].as_str().expect("problem type").to_owned());
    }
}

fn check_actors(
    api: &DocumentedApi<'_>,
    connection: &mut PlacerConnection,
    problems: &mut ProblemTypes,
) {
    let actor_path = "/v1/actors/{service}/{actor}";
    assert_eq!(api.get(actor_path, "/v1/actors/s/a1").1["state"], "running");
    assert_eq!(api.get(actor_path, "/v1/actors/s/a%31").0, 200);
    for (method, target, status) in [
        ("GET", "/v1/actors/s/none", 404),
        ("GET", "/v1/actors/s/%zz", 400),
        ("GET", "/v1/actors/s/%+1", 400),
        ("DELETE", "/v1/actors/s/none", 404),
        ("DELETE", "/v1/actors/s/a1", 202),
    ] {
        let (got, body) = api.call(actor_path, method, target, "");
        assert_eq!(got, status, "{target}");
        record_problem_type(problems, &body);
    }
    assert!(matches!(connection.receive(), Frame::Stop(_)));
    let (_, page) = api.get("/v1/actors", "/v1/actors?limit=1");
    assert_eq!(
        (page["held"].as_u64(), page["actors"][0]["state"].as_str()),
        (Some(1), Some("stopping"))
    );
    assert_eq!(api.get("/v1/actors", "/v1/actors?limit=x").0, 400);
}

fn check_other_resources(api: &DocumentedApi<'_>, problems: &mut ProblemTypes) {
    let cancelled = api.call("/v1/asks/{request}", "DELETE", "/v1/asks/none", "");
    assert_eq!(cancelled.0, 404);
    for (path, target, status) in [
        ("/v1/events", "/v1/events?life=1", 410),
        ("/v1/events", "/v1/events?after=99", 410),
        ("/v1/status", "/v1/status", 200),
        ("/v1/status", "/v1/status?full=1", 200),
    ] {
        assert_eq!(api.get(path, target).0, status, "{target}");
    }
    let (status, problem) = api.get("/v1/fleet", "/v1/fleet");
    assert_eq!(status, 404);
    record_problem_type(problems, &problem);
    assert_eq!(api.get("/v1/fleet", "/v1/fleet?after=x").0, 400);
}

/// Checks that other methods than the documented ones are rejected, with the documented ones in the Allow header.
fn check_rejected_methods(api: &DocumentedApi<'_>) {
    for (path, methods) in api.document["paths"].as_object().expect("paths object") {
        assert!(
            API_PAGE.contains(path.split('{').next().expect("first part of the path")),
            "docs/api.md does not describe {path}"
        );
        let target = path.replace(['{', '}'], "");
        let mut client = api.placer.client();
        client.send("PATCH", &target, &[], "");
        let answer = client.receive().expect("answer is received");
        assert_eq!(answer.head.status(), 405, "{path}");
        let allowed: BTreeSet<String> = answer
            .head
            .field("allow")
            .expect("Allow header")
            .split(", ")
            .map(str::to_lowercase)
            .collect();
        assert_eq!(
            allowed,
            methods
                .as_object()
                .expect("methods object")
                .keys()
                .cloned()
                .collect(),
            "{path}"
        );
    }
}

#[test]
fn fleet_view_matches_the_openapi_document() {
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(&[&host], "");
    let config = placer.folder().join("placer.toml");
    let text = std::fs::read_to_string(&config).expect("file can be read");
    let fleet = "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
    std::fs::write(&config, format!("{text}\n{fleet}")).expect("file can be written");
    std::fs::write(placer.folder().join("fleet.key"), "00".repeat(32))
        .expect("file can be written");
    let wait_until_serving = placer.start();
    let _connection = host.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    let api = DocumentedApi::of(&placer);
    let (status, view) = api.get("/v1/fleet", "/v1/fleet");
    assert_eq!(
        (
            status,
            view["name"].as_str(),
            view["members"].as_array().map(Vec::len)
        ),
        (200, Some("p0"), Some(0))
    );
    let (status, changes) = api.get("/v1/fleet", "/v1/fleet?after=0");
    assert_eq!(
        (status, &changes["digest"], changes["live"].as_u64()),
        (200, &view["digest"], Some(1))
    );
}

#[test]
fn rejects_malformed_requests_and_closes_the_connection() {
    use std::io::Write;
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, _connections) = start_placer_with(&[&host]);
    let cases: [(&[u8], u16); 6] = [
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", 400),
        (b"POST /v1/actors HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n", 413),
        (b"GET / HTTP/3.0\r\n\r\n", 505),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: br\r\n\r\n", 501),
        (&[b'x'; 9000], 414),
    ];
    for (bytes, status) in cases {
        let mut client = placer.client();
        client.stream.write_all(bytes).expect("request can be sent");
        assert_eq!(
            client.receive_json().0,
            status,
            "{}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
        );
        assert!(client.receive().is_none(), "the connection is still open");
    }
    // A request that is never completed.
    let mut placer = PlacerProcess::with_files(&[&host], "request_within_ms = 100");
    let wait_until_serving = placer.start();
    let _connection = host.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    let mut client = placer.client();
    client
        .stream
        .write_all(b"GET /v1/status HT")
        .expect("request can be sent");
    assert_eq!(client.receive_json().0, 408);
    assert!(client.receive().is_none());
}

#[test]
fn repeats_the_answer_for_the_same_idempotency_key() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut connections) = start_placer_with(&[&host]);
    let connection = &mut connections[0];
    let body = placement_request("web-api", "s", "a", 4000);
    let key = [("Idempotency-Key", "k1")];
    let mut client = placer.client();
    client.send("POST", "/v1/actors", &key, &body);
    let offer = connection.receive_offer();
    let mut other = placer.client();
    other.send("POST", "/v1/actors", &[], &body);
    placer.wait_for_status("both requests are open", |s| {
        s["clients"].as_u64() >= Some(3)
    });
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    let first = client.receive_json();
    assert_eq!(first.1["outcome"], "placed");
    assert_eq!(
        other.receive_json().1,
        first.1,
        "two concurrent requests for an actor get the same answer"
    );
    // After the actor has ended, its key still gets the same answer, without another offer.
    connection.send(&Frame::Ended(
        offer.attempt_id,
        Reason::Completed,
        true,
        None,
    ));
    placer.wait_for_status("the actor has ended", |s| s["actors"] == 0);
    let mut second_client = placer.client();
    second_client.send("POST", "/v1/actors", &key, &body);
    assert_eq!(second_client.receive_json(), first);
    let frames = connection.receive_all_within(Duration::from_millis(100));
    assert!(
        !frames.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{frames:?}"
    );
    // A cancel request counts as a disconnect of the client.
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "b", 4000), "cancel-me");
    let offer = connection.receive_offer();
    assert_eq!(
        placer.client().call("DELETE", "/v1/asks/cancel-me", "").0,
        202
    );
    assert_eq!(client.receive_json().0, 410);
    assert!(matches!(connection.receive(), Frame::Cancel(w) if w == offer.attempt_id));
    assert_eq!(placer.status()["counters"]["hung_up"], 1);
}

#[test]
fn sigterm_answers_pending_requests_and_exits() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (mut placer, mut connections) = start_placer_with(&[&host]);
    let connection = &mut connections[0];
    let mut client = placer.client();
    let mut other = placer.client();
    assert_eq!(other.call("GET", "/v1/status", "").0, 200);
    client.send_placement(&placement_request("web-api", "s", "a", 4000), "last");
    let offer = connection.receive_offer();
    placer.signal(rustix::process::Signal::TERM);
    // New requests are rejected.
    while other.call("GET", "/v1/status", "").1["state"] != "stopping" {}
    let (status, problem) = other.call(
        "POST",
        "/v1/actors",
        &placement_request("web-api", "s", "b", 4000),
    );
    assert_eq!(
        (status, problem["type"].as_str()),
        (503, Some("urn:maplethread:problem:stopping"))
    );
    // The open request is answered.
    connection.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
    assert!(placer.wait_for_exit().success());
    // A second signal ends the process without waiting for open requests.
    let (mut placer, mut connections) = start_placer_with(&[&host]);
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "a", 60_000), "stuck");
    connections[0].receive_offer();
    let mut other = placer.client();
    assert_eq!(other.call("GET", "/v1/status", "").0, 200);
    placer.signal(rustix::process::Signal::TERM);
    while other.call("GET", "/v1/status", "").1["state"] != "stopping" {}
    placer.signal(rustix::process::Signal::TERM);
    assert!(placer.wait_for_exit().success());
    assert!(client.receive().is_none());
}

#[test]
fn invalid_inventory_is_ignored_and_requests_over_the_limit_get_retry_after() {
    let (h1, h2) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let mut placer = PlacerProcess::with_files(&[&h1], "max_asks = 2");
    let wait_until_serving = placer.start();
    let mut connection = h1.accept_and_greet(&[]);
    wait_until_serving(&mut placer);
    for rejected in [
        "",
        "[[host",
        "[[host]]\nname = \"h1\"\n",
        "\u{0}",
        "[[host]]\nnom = 1\n",
    ] {
        placer.write_inventory_text(rejected);
        let log = placer.log_path();
        let logged = move || {
            std::fs::read_to_string(&log)
                .unwrap_or_default()
                .matches("bad inventory")
                .count()
        };
        let before = logged();
        placer.wait_for_status("the invalid inventory is logged", |_| {
            logged() > before || logged() >= 1
        });
        assert_eq!(placer.status()["hosts"], 1);
    }
    placer.write_inventory(&[(&h1, "ready"), (&h2, "ready")]);
    let _second = h2.accept_and_greet(&[]);
    placer.wait_for_status("both connected", |s| s["hosts_connected"] == 2);
    placer.write_inventory(&[(&h1, "ready")]);
    // Two requests are open; a third is rejected and leaves no state.
    let mut clients: Vec<Client> = (0..2).map(|_| placer.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_placement(
            &placement_request("web-api", "s", &format!("{n}"), 10_000),
            &format!("{n}"),
        );
    }
    placer.wait_for_status("two open requests", |s| s["open_asks"] == 2);
    let mut third = placer.client();
    third.send(
        "POST",
        "/v1/actors",
        &[],
        &placement_request("web-api", "s", "x", 1000),
    );
    let answer = third.receive().expect("answer is received");
    assert_eq!(
        (answer.head.status(), answer.head.field("retry-after")),
        (503, Some("1"))
    );
    for _ in 0..2 {
        let offer = connection.receive_offer();
        connection.send(&Frame::Accepted(offer.attempt_id, 1));
    }
    clients
        .iter_mut()
        .for_each(|c| assert_eq!(c.receive_json().1["outcome"], "placed"));
}
