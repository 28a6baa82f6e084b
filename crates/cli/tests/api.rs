//! The API as it is documented: `docs/openapi.json` and `docs/api.md` are held to what is served.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use maplethread_wire::frame::{Frame, Reason};
use serde_json::Value;
use support::*;

fn openapi_document() -> Value {
    serde_json::from_str(include_str!("../../../docs/openapi.json")).expect("JSON")
}

/// What of a body does not fit a schema.
fn schema_mismatch(doc: &Value, schema: &Value, body: &Value, at: &str) -> Option<String> {
    if let Some(reference) = schema["$ref"].as_str() {
        let target = doc
            .pointer(reference.trim_start_matches('#'))
            .expect("a schema");
        return schema_mismatch(doc, target, body, at);
    }
    let fits = |kind: &str| match kind {
        "object" => body.is_object(),
        "array" => body.is_array(),
        "string" => body.is_string(),
        "integer" => body.is_u64() || body.is_i64(),
        "number" => body.is_number(),
        "boolean" => body.is_boolean(),
        "null" => body.is_null(),
        other => panic!("schema type {other}"),
    };
    let fine = match &schema["type"] {
        Value::String(kind) => fits(kind),
        Value::Array(kinds) => kinds.iter().filter_map(Value::as_str).any(fits),
        _ => true,
    };
    if !fine {
        return Some(format!("{at}: {body} is no {}", schema["type"]));
    }
    if let Some(allowed) = schema["enum"].as_array()
        && !allowed.contains(body)
    {
        return Some(format!("{at}: {body} is not listed"));
    }
    for field in schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
    {
        if body.get(field).is_none() {
            return Some(format!("{at}: no {field}"));
        }
    }
    if let (Some(properties), Some(fields)) = (schema["properties"].as_object(), body.as_object()) {
        for (name, value) in fields {
            let Some(schema) = properties.get(name) else {
                return Some(format!("{at}: {name} is not described"));
            };
            if let Some(wrong) = schema_mismatch(doc, schema, value, &format!("{at}.{name}")) {
                return Some(wrong);
            }
        }
    }
    let items = body.as_array().into_iter().flatten();
    items
        .filter_map(|item| schema_mismatch(doc, &schema["items"], item, at))
        .next()
}

/// Calls, and holds the answer to the description; `path` as it stands there.
fn call_and_check_schema(
    doc: &Value,
    placer: &PlacerProcess,
    path: &str,
    method: &str,
    target: &str,
    body: &str,
) -> (u16, Value) {
    let (status, answer) = placer.client().call(method, target, body);
    let responses = &doc["paths"][path][method.to_lowercase()]["responses"];
    let response = &responses[status.to_string()];
    assert!(
        response.is_object(),
        "{method} {target}: {status} is not described: {answer}"
    );
    let content = response["content"]
        .as_object()
        .and_then(|c| c.values().next())
        .expect("a body");
    assert_eq!(
        schema_mismatch(doc, &content["schema"], &answer, target),
        None,
        "{answer}"
    );
    (status, answer)
}

#[test]
fn responses_match_the_openapi_document() {
    let doc = openapi_document();
    let text = include_str!("../../../docs/api.md");
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut links) = start_placer_with(&[&host]);
    let link = &mut links[0];
    let place =
        |body: &str| call_and_check_schema(&doc, &placer, "/v1/actors", "POST", "/v1/actors", body);
    // Placing: all three outcomes, and what is turned down.
    let client = std::thread::scope(|scope| {
        let answer = scope.spawn(|| place(&placement_request("web-api", "s", "a1", 4000)));
        let offer = link.receive_offer();
        link.send(&Frame::Accepted(offer.attempt_id, 1));
        link.send(&Frame::Started(offer.attempt_id, 1));
        answer.join().expect("answered")
    });
    assert_eq!(
        (client.0, client.1["outcome"].as_str()),
        (200, Some("placed"))
    );
    let refused = std::thread::scope(|scope| {
        let answer = scope.spawn(|| place(&placement_request("web-api", "s", "a2", 1000)));
        let offer = link.receive_offer();
        link.send(&Frame::Refused(offer.attempt_id, Reason::Memory, None));
        answer.join().expect("answered")
    });
    assert_eq!(
        (refused.1["outcome"].as_str(), refused.1["reason"].as_str()),
        (Some("refused"), Some("memory"))
    );
    let failed = std::thread::scope(|scope| {
        let answer = scope.spawn(|| place(&placement_request("statements", "s", "a3", 4000)));
        let offer = link.receive_offer();
        link.send(&Frame::Ended(offer.attempt_id, Reason::Error, true, None));
        answer.join().expect("answered")
    });
    assert_eq!(failed.1["outcome"], "failed");
    assert_eq!(failed.1["unknown"], "whether it runs on h1");
    let mut kinds = BTreeSet::new();
    let bad = [
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
    for (status, body) in bad {
        let (got, problem) = place(body);
        assert_eq!(got, status, "{body}: {problem}");
        assert_eq!(problem["status"], status);
        kinds.insert(problem["type"].as_str().expect("a type").to_owned());
    }
    // Actors.
    let one = "/v1/actors/{service}/{actor}";
    assert_eq!(
        call_and_check_schema(&doc, &placer, one, "GET", "/v1/actors/s/a1", "").1["state"],
        "running"
    );
    assert_eq!(
        call_and_check_schema(&doc, &placer, one, "GET", "/v1/actors/s/a%31", "").0,
        200
    );
    for (method, target, status) in [
        ("GET", "/v1/actors/s/none", 404),
        ("GET", "/v1/actors/s/%zz", 400),
        ("GET", "/v1/actors/s/%+1", 400),
        ("DELETE", "/v1/actors/s/none", 404),
        ("DELETE", "/v1/actors/s/a1", 202),
    ] {
        let (got, body) = call_and_check_schema(&doc, &placer, one, method, target, "");
        assert_eq!(got, status, "{target}");
        kinds.extend(body["type"].as_str().map(str::to_owned));
    }
    assert!(matches!(link.receive(), Frame::Stop(_)));
    let (_, page) =
        call_and_check_schema(&doc, &placer, "/v1/actors", "GET", "/v1/actors?limit=1", "");
    assert_eq!(
        (page["held"].as_u64(), page["actors"][0]["state"].as_str()),
        (Some(1), Some("stopping"))
    );
    assert_eq!(
        call_and_check_schema(&doc, &placer, "/v1/actors", "GET", "/v1/actors?limit=x", "").0,
        400
    );
    assert_eq!(
        call_and_check_schema(
            &doc,
            &placer,
            "/v1/asks/{request}",
            "DELETE",
            "/v1/asks/none",
            ""
        )
        .0,
        404
    );
    assert_eq!(
        call_and_check_schema(&doc, &placer, "/v1/events", "GET", "/v1/events?life=1", "").0,
        410
    );
    assert_eq!(
        call_and_check_schema(
            &doc,
            &placer,
            "/v1/events",
            "GET",
            "/v1/events?after=99",
            ""
        )
        .0,
        410
    );
    assert_eq!(
        call_and_check_schema(&doc, &placer, "/v1/status", "GET", "/v1/status", "").0,
        200
    );
    assert_eq!(
        call_and_check_schema(&doc, &placer, "/v1/status", "GET", "/v1/status?full=1", "").0,
        200
    );
    let (status, problem) =
        call_and_check_schema(&doc, &placer, "/v1/fleet", "GET", "/v1/fleet", "");
    assert_eq!(status, 404);
    kinds.extend(problem["type"].as_str().map(str::to_owned));
    assert_eq!(
        call_and_check_schema(&doc, &placer, "/v1/fleet", "GET", "/v1/fleet?after=x", "").0,
        400
    );
    // Methods that are not described are refused, with those that are.
    for (path, methods) in doc["paths"].as_object().expect("paths") {
        assert!(
            text.contains(path.split('{').next().expect("a part")),
            "docs/api.md does not tell of {path}"
        );
        let target = path.replace(['{', '}'], "");
        let mut client = placer.client();
        client.send("PATCH", &target, &[], "");
        let answer = client.receive().expect("an answer");
        assert_eq!(answer.head.status(), 405, "{path}");
        let allowed: BTreeSet<String> = answer
            .head
            .parse_field("allow")
            .expect("Allow")
            .split(", ")
            .map(str::to_lowercase)
            .collect();
        assert_eq!(
            allowed,
            methods
                .as_object()
                .expect("methods")
                .keys()
                .cloned()
                .collect(),
            "{path}"
        );
    }
    let (status, problem) = placer.client().call("GET", "/v2", "");
    assert_eq!(status, 404);
    kinds.extend(problem["type"].as_str().map(str::to_owned));
    for kind in kinds {
        let name = kind
            .strip_prefix("urn:maplethread:problem:")
            .expect("the project's own");
        assert!(
            text.contains(&format!("`{name}`")),
            "docs/api.md does not tell of {name}"
        );
    }
}

#[test]
fn fleet_view_matches_the_openapi_document() {
    let doc = openapi_document();
    let host = ScriptedHost::new("h1", "a", "1");
    let mut placer = PlacerProcess::with_files(&[&host], "");
    let config = placer.folder().join("placer.toml");
    let text = std::fs::read_to_string(&config).expect("text");
    let fleet = "[fleet]\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
    std::fs::write(&config, format!("{text}\n{fleet}")).expect("a file");
    std::fs::write(placer.folder().join("fleet.key"), "00".repeat(32)).expect("a file");
    let ready = placer.start();
    let _link = host.accept_and_greet(&[]);
    ready(&mut placer);
    let (status, view) = call_and_check_schema(&doc, &placer, "/v1/fleet", "GET", "/v1/fleet", "");
    assert_eq!(
        (
            status,
            view["name"].as_str(),
            view["members"].as_array().map(Vec::len)
        ),
        (200, Some("p0"), Some(0))
    );
    let (status, news) =
        call_and_check_schema(&doc, &placer, "/v1/fleet", "GET", "/v1/fleet?after=0", "");
    assert_eq!(
        (status, &news["digest"], news["live"].as_u64()),
        (200, &view["digest"], Some(1))
    );
}

#[test]
fn rejects_malformed_requests_and_closes_the_connection() {
    use std::io::Write;
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, _links) = start_placer_with(&[&host]);
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
        client.stream.write_all(bytes).expect("the placer reads");
        assert_eq!(
            client.receive_json().0,
            status,
            "{}",
            String::from_utf8_lossy(&bytes[..bytes.len().min(60)])
        );
        assert!(client.receive().is_none(), "the connection goes on");
    }
    // A request that never becomes whole.
    let mut placer = PlacerProcess::with_files(&[&host], "request_within_ms = 100");
    let ready = placer.start();
    let _link = host.accept_and_greet(&[]);
    ready(&mut placer);
    let mut client = placer.client();
    client
        .stream
        .write_all(b"GET /v1/status HT")
        .expect("the placer reads");
    assert_eq!(client.receive_json().0, 408);
    assert!(client.receive().is_none());
}

#[test]
fn repeats_the_answer_for_the_same_idempotency_key() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (placer, mut links) = start_placer_with(&[&host]);
    let link = &mut links[0];
    let body = placement_request("web-api", "s", "a", 4000);
    let key = [("Idempotency-Key", "k1")];
    let mut client = placer.client();
    client.send("POST", "/v1/actors", &key, &body);
    let offer = link.receive_offer();
    let mut other = placer.client();
    other.send("POST", "/v1/actors", &[], &body);
    placer.wait_for_status("both wait", |s| s["clients"].as_u64() >= Some(3));
    link.send(&Frame::Accepted(offer.attempt_id, 1));
    let first = client.receive_json();
    assert_eq!(first.1["outcome"], "placed");
    assert_eq!(
        other.receive_json().1,
        first.1,
        "asked for twice at once: one placing, one answer"
    );
    // Even after the actor has ended the key stands for its answer, and nothing is offered.
    link.send(&Frame::Ended(
        offer.attempt_id,
        Reason::Completed,
        true,
        None,
    ));
    placer.wait_for_status("ended", |s| s["actors"] == 0);
    let mut again = placer.client();
    again.send("POST", "/v1/actors", &key, &body);
    assert_eq!(again.receive_json(), first);
    let frames = link.receive_all_within(Duration::from_millis(100));
    assert!(
        !frames.iter().any(|f| matches!(f, Frame::Offer(_))),
        "{frames:?}"
    );
    // An explicit cancel is a hang-up.
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "b", 4000), "cancel-me");
    let offer = link.receive_offer();
    assert_eq!(
        placer.client().call("DELETE", "/v1/asks/cancel-me", "").0,
        202
    );
    assert_eq!(client.receive_json().0, 410);
    assert!(matches!(link.receive(), Frame::Cancel(w) if w == offer.attempt_id));
    assert_eq!(placer.status()["counters"]["hung_up"], 1);
}

#[test]
fn sigterm_answers_pending_requests_and_exits() {
    let host = ScriptedHost::new("h1", "a", "1");
    let (mut placer, mut links) = start_placer_with(&[&host]);
    let link = &mut links[0];
    let mut client = placer.client();
    let mut other = placer.client();
    assert_eq!(other.call("GET", "/v1/status", "").0, 200);
    client.send_placement(&placement_request("web-api", "s", "a", 4000), "last");
    let offer = link.receive_offer();
    placer.signal(rustix::process::Signal::TERM);
    // Nothing new is taken.
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
    // What is out is answered.
    link.send(&Frame::Accepted(offer.attempt_id, 1));
    assert_eq!(client.receive_json().1["outcome"], "placed");
    assert!(placer.wait_for_exit().success());
    // A second signal does not wait.
    let (mut placer, mut links) = start_placer_with(&[&host]);
    let mut client = placer.client();
    client.send_placement(&placement_request("web-api", "s", "a", 60_000), "stuck");
    links[0].receive_offer();
    let mut other = placer.client();
    assert_eq!(other.call("GET", "/v1/status", "").0, 200);
    placer.signal(rustix::process::Signal::TERM);
    while other.call("GET", "/v1/status", "").1["state"] != "stopping" {}
    placer.signal(rustix::process::Signal::TERM);
    assert!(placer.wait_for_exit().success());
    assert!(client.receive().is_none());
}

#[test]
fn invalid_inventory_keeps_the_last_valid_one_and_limits_are_answered() {
    let (h1, h2) = (
        ScriptedHost::new("h1", "a", "1"),
        ScriptedHost::new("h2", "a", "1"),
    );
    let mut placer = PlacerProcess::with_files(&[&h1], "max_asks = 2");
    let ready = placer.start();
    let mut link = h1.accept_and_greet(&[]);
    ready(&mut placer);
    for bad in [
        "",
        "[[host",
        "[[host]]\nname = \"h1\"\n",
        "\u{0}",
        "[[host]]\nnom = 1\n",
    ] {
        placer.write_inventory_text(bad);
        let log = placer.log_path();
        let told = move || {
            std::fs::read_to_string(&log)
                .unwrap_or_default()
                .matches("bad inventory")
                .count()
        };
        let before = told();
        placer.wait_for_status("complaint", |_| told() > before || told() >= 1);
        assert_eq!(placer.status()["hosts"], 1);
    }
    placer.write_inventory(&[(&h1, "ready"), (&h2, "ready")]);
    let _second = h2.accept_and_greet(&[]);
    placer.wait_for_status("both connected", |s| s["hosts_connected"] == 2);
    placer.write_inventory(&[(&h1, "ready")]);
    // Two asks are out; a third is turned away, and nothing of it is kept.
    let mut clients: Vec<Client> = (0..2).map(|_| placer.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send_placement(
            &placement_request("web-api", "s", &format!("{n}"), 10_000),
            &format!("{n}"),
        );
    }
    placer.wait_for_status("two asks", |s| s["open_asks"] == 2);
    let mut third = placer.client();
    third.send(
        "POST",
        "/v1/actors",
        &[],
        &placement_request("web-api", "s", "x", 1000),
    );
    let answer = third.receive().expect("an answer");
    assert_eq!(
        (answer.head.status(), answer.head.parse_field("retry-after")),
        (503, Some("1"))
    );
    for _ in 0..2 {
        let offer = link.receive_offer();
        link.send(&Frame::Accepted(offer.attempt_id, 1));
    }
    clients
        .iter_mut()
        .for_each(|c| assert_eq!(c.receive_json().1["outcome"], "placed"));
}
