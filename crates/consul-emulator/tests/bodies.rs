//! Bodies as clients send them: keys in any case, spans as texts and numbers, one check or several, and answers whose
//! fields are the documented ones.
#![allow(clippy::too_many_lines, reason = "some cases are told in one piece")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use maplethread_consul_emulator::{EmulatorSettings, Servers};
use maplethread_wire::http::{Limits, MessageReader, ReadResult, Role};
use serde_json::{Value, json};

fn http_call(at: SocketAddr, method: &str, target: &str, body: &Value) -> (u16, Value) {
    let mut stream = TcpStream::connect(at).expect("the stand-in listens");
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
    .expect("sent");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let mut reader = MessageReader::new(Role::Responses, Limits::default());
    let (mut bytes, mut part) = (Vec::new(), [0; 4096]);
    loop {
        let (found, used) = reader.read(&bytes).expect("HTTP");
        bytes.drain(..used);
        if let ReadResult::Message(message) = found {
            let text = String::from_utf8_lossy(&message.body).into_owned();
            let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
            return (message.head.status(), body);
        }
        let n = stream.read(&mut part).expect("an answer in time");
        assert_ne!(n, 0, "the connection ended before the answer");
        bytes.extend_from_slice(&part[..n]);
    }
}

/// The same body with all keys in lower case, but those of maps that users fill.
fn with_lower_case_keys(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            let one = |(key, value): (&String, &Value)| {
                let user = key == "Meta" || key == "NodeMeta";
                (
                    key.to_lowercase(),
                    if user {
                        value.clone()
                    } else {
                        with_lower_case_keys(value)
                    },
                )
            };
            Value::Object(fields.iter().map(one).collect())
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
    let mut read = Vec::new();
    for body in [service.clone(), with_lower_case_keys(&service)] {
        let servers = Servers::start(EmulatorSettings::new(1)).expect("servers");
        let at = servers.addresses[0];
        let (status, answer) = http_call(at, "PUT", "/v1/agent/service/register", &body);
        assert_eq!(status, 200, "{answer}");
        let (_, mut list) = http_call(at, "GET", "/v1/health/service/web?consistent", &Value::Null);
        for check in list[0]["Checks"].as_array_mut().expect("checks") {
            check["Output"] = json!("");
        }
        read.push(list);
    }
    assert_eq!(read[0], read[1]);
    let entry = &read[0][0];
    assert_eq!(entry["Service"]["ID"], "web-1");
    assert_eq!(entry["Service"]["EnableTagOverride"], true);
    assert_eq!(
        entry["Service"]["Meta"],
        json!({"Zone": "A"}),
        "keys of users' maps keep their case"
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
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers");
    let at = servers.addresses[0];
    let node = json!({
        "node": "n1", "address": "127.0.0.2", "nodemeta": {"Rack": "1"},
        "service": {"id": "h1", "service": "hosts", "port": 9},
        "check": {"checkid": "c1", "name": "c", "status": "passing", "serviceid": "h1"},
    });
    assert_eq!(http_call(at, "PUT", "/v1/catalog/register", &node).0, 200);
    let (_, list) = http_call(
        at,
        "GET",
        "/v1/health/service/hosts?consistent",
        &Value::Null,
    );
    assert_eq!(list[0]["Checks"][0]["ServiceName"], "hosts", "{list}");
    for (ttl, fine) in [
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
        let (status, answer) = http_call(at, "PUT", "/v1/session/create", &body);
        assert_eq!(status == 200, fine, "{ttl}: {status} {answer}");
        if fine {
            let id = answer["ID"].as_str().expect("an id").to_owned();
            let (_, info) = http_call(
                at,
                "GET",
                &format!("/v1/session/info/{id}?consistent"),
                &Value::Null,
            );
            assert_eq!(info[0]["Behavior"], "delete", "{info}");
        }
    }
    let check = json!({"name": "own", "checkid": "own", "ttl": "30s", "status": "warning"});
    assert_eq!(
        http_call(at, "PUT", "/v1/agent/check/register", &check).0,
        200
    );
    let update = json!({"status": "passing", "output": "well"});
    assert_eq!(
        http_call(at, "PUT", "/v1/agent/check/update/own", &update).0,
        200
    );
    let (_, passing) = http_call(
        at,
        "GET",
        "/v1/health/state/passing?consistent",
        &Value::Null,
    );
    let own = passing
        .as_array()
        .into_iter()
        .flatten()
        .find(|c| c["CheckID"] == "own")
        .expect("it passes");
    assert_eq!(
        (own["Output"].as_str(), own["Type"].as_str()),
        (Some("well"), Some("ttl"))
    );
    let gone = json!({"node": "n1", "serviceid": "h1"});
    assert_eq!(http_call(at, "PUT", "/v1/catalog/deregister", &gone).0, 200);
    let (_, list) = http_call(
        at,
        "GET",
        "/v1/health/service/hosts?consistent",
        &Value::Null,
    );
    assert_eq!(list, json!([]));
}

#[test]
fn names_the_field_that_cannot_be_decoded() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers");
    let at = servers.addresses[0];
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
        let (status, why) = http_call(at, "PUT", "/v1/agent/service/register", &body);
        assert_eq!(status, 400, "{body}");
        assert!(
            why.as_str().is_some_and(|w| w.contains(key)),
            "{body}: {why}"
        );
    }
    let (_, list) = http_call(at, "GET", "/v1/health/service/web?consistent", &Value::Null);
    assert_eq!(list, json!([]), "nothing of it was taken");
}

#[test]
fn answers_have_the_documented_fields() {
    let servers = Servers::start(EmulatorSettings::new(1)).expect("servers");
    let at = servers.addresses[0];
    let service = json!({"Name": "web", "Port": 80, "Check": {"TTL": "10s", "Status": "passing"}});
    assert_eq!(
        http_call(at, "PUT", "/v1/agent/service/register", &service).0,
        200
    );
    let has = |value: &Value, wanted: &[&str]| {
        let found = field_names(value);
        let missing: Vec<&&str> = wanted
            .iter()
            .filter(|w| !found.iter().any(|f| f == *w))
            .collect();
        assert!(missing.is_empty(), "{missing:?} missing in {found:?}");
    };
    let (_, health) = http_call(at, "GET", "/v1/health/service/web?consistent", &Value::Null);
    has(&health[0], &["Node", "Service", "Checks"]);
    has(
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
    let wanted = [
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
    has(&health[0]["Service"], &wanted);
    has(
        &health[0]["Service"],
        &["EnableTagOverride", "Connect", "CreateIndex", "ModifyIndex"],
    );
    let wanted = [
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
    has(&health[0]["Checks"][0], &wanted);
    let (_, catalog) = http_call(
        at,
        "GET",
        "/v1/catalog/service/web?consistent",
        &Value::Null,
    );
    let wanted = [
        "ID",
        "Node",
        "Address",
        "Datacenter",
        "TaggedAddresses",
        "NodeMeta",
        "ServiceID",
        "ServiceName",
    ];
    has(&catalog[0], &wanted);
    let wanted = [
        "ServiceAddress",
        "ServicePort",
        "ServiceTags",
        "ServiceMeta",
        "ServiceEnableTagOverride",
    ];
    has(&catalog[0], &wanted);
    let (_, nodes) = http_call(at, "GET", "/v1/catalog/nodes?consistent", &Value::Null);
    has(
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
    let (_, members) = http_call(at, "GET", "/v1/agent/members", &Value::Null);
    has(
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
