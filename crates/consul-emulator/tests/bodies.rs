//! Request bodies as clients send them (keys in any case, durations as texts and numbers, one check or several), and
//! the documented fields of responses.
#![allow(
    clippy::too_many_lines,
    reason = "some tests check a sequence of requests that depend on each other"
)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use maplethread_consul_emulator::{EmulatorSettings, Servers};
use maplethread_wire::http::{Limits, MessageReader, ReadResult, Role};
use serde_json::{Value, json};

fn http_call(server: SocketAddr, method: &str, target: &str, body: &Value) -> (u16, Value) {
    let mut stream = TcpStream::connect(server).expect("the emulator listens");
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    write!(
        stream,
        "{method} {target} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("request sent");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("read timeout set");
    let mut reader = MessageReader::new(Role::Responses, Limits::default());
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let (found, used) = reader.read(&bytes).expect("a valid HTTP response");
        bytes.drain(..used);
        if let ReadResult::Message(message) = found {
            let text = String::from_utf8_lossy(&message.body).into_owned();
            let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
            return (message.head.status(), body);
        }
        let n = stream
            .read(&mut chunk)
            .expect("a response within the timeout");
        assert_ne!(n, 0, "the connection was closed before the response");
        bytes.extend_from_slice(&chunk[..n]);
    }
}

/// The same body with all keys in lower case, except those of maps whose keys users choose.
fn with_lower_case_keys(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let convert_field = |(key, value): (&String, &Value)| {
                let has_user_keys = key == "Meta" || key == "NodeMeta";
                (
                    key.to_lowercase(),
                    if has_user_keys {
                        value.clone()
                    } else {
                        with_lower_case_keys(value)
                    },
                )
            };
            Value::Object(fields.iter().map(convert_field).collect())
        }
        Value::Array(items) => items.iter().map(with_lower_case_keys).collect(),
        other => other.clone(),
    }
}

fn field_names(value: &Value) -> Vec<String> {
    value
        .as_object()
        .map(|o| o.keys().cloned().collect())
        .unwrap_or_default()
}

#[test]
fn accepts_bodies_whatever_the_case_of_their_keys() {
    let service = json!({
        "Name": "web", "ID": "web-1", "Port": 8000, "Tags": ["a"], "Meta": {"Zone": "A"}, "EnableTagOverride": true,
        "Check": {"TTL": "10s", "Status": "passing"},
        "Checks": [{"CheckID": "disk", "Name": "disk", "TTL": "500ms"}, {"Name": "third", "TTL": "1m30s"}],
    });
    let mut lists = Vec::new();
    for body in [service.clone(), with_lower_case_keys(&service)] {
        let servers = Servers::start(EmulatorSettings::new(1)).expect("servers started");
        let server = servers.addresses[0];
        let (status, answer) = http_call(server, "PUT", "/v1/agent/service/register", &body);
        assert_eq!(status, 200, "{answer}");
        let (_, mut list) = http_call(
            server,
            "GET",
            "/v1/health/service/web?consistent",
            &Value::Null,
        );
        for check in list[0]["Checks"]
            .as_array_mut()
            .expect("an array of checks")
        {
            check["Output"] = json!("");
        }
        lists.push(list);
    }
    assert_eq!(lists[0], lists[1]);
    let entry = &lists[0][0];
    assert_eq!(entry["Service"]["ID"], "web-1");
    assert_eq!(entry["Service"]["EnableTagOverride"], true);
    assert_eq!(
        entry["Service"]["Meta"],
        json!({"Zone": "A"}),
        "user-chosen keys keep their case"
    );
    let ids: Vec<&str> = entry["Checks"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|c| c["CheckID"].as_str())
        .collect();
    assert_eq!(ids, ["disk", "service:web-1", "service:web-1:3"]);
}

#[test]
fn accepts_lower_case_keys_and_every_duration_format() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers started");
    let server = servers.addresses[0];
    let node = json!({
        "node": "n1", "address": "127.0.0.2", "nodemeta": {"Rack": "1"},
        "service": {"id": "h1", "service": "hosts", "port": 9},
        "check": {"checkid": "c1", "name": "c", "status": "passing", "serviceid": "h1"},
    });
    assert_eq!(
        http_call(server, "PUT", "/v1/catalog/register", &node).0,
        200
    );
    let (_, list) = http_call(
        server,
        "GET",
        "/v1/health/service/hosts?consistent",
        &Value::Null,
    );
    assert_eq!(list[0]["Checks"][0]["ServiceName"], "hosts", "{list}");
    for (ttl, is_valid) in [
        (json!("10s"), true),
        (json!("1m30s"), true),
        (json!("1.5h"), true),
        (json!("500ms"), true),
        (json!(15_000_000_000_u64), true),
        (json!("ten"), false),
        (json!("10 s"), false),
        (json!([1]), false),
    ] {
        let body = json!({"name": "s", "ttl": ttl, "lockdelay": "1s", "behavior": "delete"});
        let (status, answer) = http_call(server, "PUT", "/v1/session/create", &body);
        assert_eq!(status == 200, is_valid, "{ttl}: {status} {answer}");
        if is_valid {
            let id = answer["ID"].as_str().expect("a session id").to_owned();
            let (_, info) = http_call(
                server,
                "GET",
                &format!("/v1/session/info/{id}?consistent"),
                &Value::Null,
            );
            assert_eq!(info[0]["Behavior"], "delete", "{info}");
        }
    }
    let check = json!({"name": "own", "checkid": "own", "ttl": "30s", "status": "warning"});
    assert_eq!(
        http_call(server, "PUT", "/v1/agent/check/register", &check).0,
        200
    );
    let update = json!({"status": "passing", "output": "well"});
    assert_eq!(
        http_call(server, "PUT", "/v1/agent/check/update/own", &update).0,
        200
    );
    let (_, passing) = http_call(
        server,
        "GET",
        "/v1/health/state/passing?consistent",
        &Value::Null,
    );
    let check = passing
        .as_array()
        .into_iter()
        .flatten()
        .find(|c| c["CheckID"] == "own")
        .expect("the check is passing");
    assert_eq!(
        (check["Output"].as_str(), check["Type"].as_str()),
        (Some("well"), Some("ttl"))
    );
    let deregistration = json!({"node": "n1", "serviceid": "h1"});
    assert_eq!(
        http_call(server, "PUT", "/v1/catalog/deregister", &deregistration).0,
        200
    );
    let (_, list) = http_call(
        server,
        "GET",
        "/v1/health/service/hosts?consistent",
        &Value::Null,
    );
    assert_eq!(list, json!([]));
}

#[test]
fn names_the_field_that_cannot_be_decoded() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers started");
    let server = servers.addresses[0];
    for (body, key) in [
        (json!({"Name": "web", "Port": "80"}), "Port"),
        (json!({"Name": "web", "Port": 1.5}), "Port"),
        (json!({"Name": 7}), "Name"),
        (
            json!({"Name": "web", "EnableTagOverride": "yes"}),
            "EnableTagOverride",
        ),
        (json!({"Name": "web", "Check": {"TTL": "soon"}}), "TTL"),
    ] {
        let (status, error) = http_call(server, "PUT", "/v1/agent/service/register", &body);
        assert_eq!(status, 400, "{body}");
        assert!(
            error.as_str().is_some_and(|text| text.contains(key)),
            "{body}: {error}"
        );
    }
    let (_, list) = http_call(
        server,
        "GET",
        "/v1/health/service/web?consistent",
        &Value::Null,
    );
    assert_eq!(list, json!([]), "rejected bodies are not applied");
}

#[test]
fn answers_have_the_documented_fields() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers started");
    let server = servers.addresses[0];
    let service = json!({"Name": "web", "Port": 80, "Check": {"TTL": "10s", "Status": "passing"}});
    assert_eq!(
        http_call(server, "PUT", "/v1/agent/service/register", &service).0,
        200
    );
    let assert_has_fields = |value: &Value, expected: &[&str]| {
        let found = field_names(value);
        let missing: Vec<&&str> = expected
            .iter()
            .filter(|name| !found.iter().any(|f| f == *name))
            .collect();
        assert!(
            missing.is_empty(),
            "fields {missing:?} are missing in {found:?}"
        );
    };
    let (_, health) = http_call(
        server,
        "GET",
        "/v1/health/service/web?consistent",
        &Value::Null,
    );
    assert_has_fields(&health[0], &["Node", "Service", "Checks"]);
    assert_has_fields(
        &health[0]["Node"],
        &[
            "ID",
            "Node",
            "Address",
            "Datacenter",
            "TaggedAddresses",
            "Meta",
        ],
    );
    let expected = [
        "ID",
        "Service",
        "Tags",
        "Address",
        "TaggedAddresses",
        "Meta",
        "Port",
        "Weights",
        "Proxy",
    ];
    assert_has_fields(&health[0]["Service"], &expected);
    assert_has_fields(
        &health[0]["Service"],
        &["EnableTagOverride", "Connect", "CreateIndex", "ModifyIndex"],
    );
    let expected = [
        "Node",
        "CheckID",
        "Name",
        "Status",
        "Notes",
        "Output",
        "ServiceID",
        "ServiceName",
        "ServiceTags",
    ];
    assert_has_fields(&health[0]["Checks"][0], &expected);
    let (_, catalog) = http_call(
        server,
        "GET",
        "/v1/catalog/service/web?consistent",
        &Value::Null,
    );
    let expected = [
        "ID",
        "Node",
        "Address",
        "Datacenter",
        "TaggedAddresses",
        "NodeMeta",
        "ServiceID",
        "ServiceName",
    ];
    assert_has_fields(&catalog[0], &expected);
    let expected = [
        "ServiceAddress",
        "ServicePort",
        "ServiceTags",
        "ServiceMeta",
        "ServiceEnableTagOverride",
    ];
    assert_has_fields(&catalog[0], &expected);
    let (_, nodes) = http_call(server, "GET", "/v1/catalog/nodes?consistent", &Value::Null);
    assert_has_fields(
        &nodes[0],
        &[
            "ID",
            "Node",
            "Address",
            "Datacenter",
            "TaggedAddresses",
            "Meta",
        ],
    );
    let (_, members) = http_call(server, "GET", "/v1/agent/members", &Value::Null);
    assert_has_fields(
        &members[0],
        &[
            "Name",
            "Addr",
            "Port",
            "Tags",
            "Status",
            "ProtocolCur",
            "DelegateCur",
        ],
    );
}
