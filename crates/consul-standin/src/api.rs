//! The endpoints: a request in, and either an answer, a query to be parked, or a command for the leader.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use maplethread_wire::http::Message;
use serde_json::{Value, json};

use crate::state::{Check, Command, Lock, Service, Session, State, uuid};

/// What a request asks for.
#[derive(Debug)]
pub enum Asked {
    /// A read, which may block.
    Read(Read),
    /// A write.
    Write(Write),
    /// An answer that needs no state.
    Answer(u16, Value),
}

/// A read.
#[derive(Clone, Debug)]
pub struct Read {
    pub what: What,
    /// Blocks until the index is above this...
    pub index: u64,
    /// ...or this is over, µs.
    pub wait: u64,
    pub consistent: bool,
    pub stale: bool,
    pub filter: Vec<(String, String)>,
}

/// What is read.
#[derive(Clone, Debug)]
pub enum What {
    HealthService(String, bool),
    HealthNode(String),
    HealthState(String),
    CatalogNodes,
    CatalogService(String),
    Members,
    Key { key: String, recurse: bool, raw: bool, keys: bool },
    SessionInfo(String),
}

/// A write.
#[derive(Debug)]
pub enum Write {
    /// Commands; the answer is the JSON.
    Commands(Vec<Command>, Value),
    /// A put of a key that depends on its lock or index.
    Put {
        key: String,
        value: String,
        flags: u64,
        lock: Lock,
        cas: Option<u64>,
    },
    Renew(String),
    /// A TTL check's word: node, check, status, output.
    Check(String, String, String),
    /// Deregisters a service of the agent, or puts it aside.
    Service {
        id: String,
        maintenance: Option<(bool, String)>,
    },
    NodeMaintenance(bool, String),
    CreateSession(Session),
    DestroySession(String),
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text.get(i + 1..i + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 2;
            }
            (b'+', _) => out.push(b' '),
            (b, _) => out.push(b),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A span such as `10s`, `5m`, `1500ms`, in µs.
pub fn span(text: &str) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let n: u64 = text[..digits].parse().ok()?;
    let unit = match &text[digits..] {
        "ns" => return Some(n / 1000),
        "us" | "µs" => 1,
        "ms" => 1000,
        "s" | "" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        _ => return None,
    };
    n.checked_mul(unit)
}

/// Reads a request. `node` is the name of the agent that was asked.
pub fn asked(message: &Message, node: &str, id: u64) -> Asked {
    let target = message.head.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let params: Vec<(String, String)> = query
        .split('&')
        .filter(|p| !p.is_empty())
        .map(|p| p.split_once('=').unwrap_or((p, "")))
        .map(|(k, v)| (k.to_owned(), unescape(v)))
        .collect();
    let param = |name: &str| params.iter().find(|(k, _)| k == name).map(|(_, v)| v.as_str());
    let bad = |why: &str| Asked::Answer(400, json!(why));
    let path: String = path.trim_start_matches("/v1/").to_owned();
    let parts: Vec<String> = path.split('/').map(unescape).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let body = || serde_json::from_slice::<Value>(&message.body).unwrap_or(Value::Null);
    let get = message.head.method() == "GET";
    let read = |what: What| {
        let mut filter = Vec::new();
        if let Some(text) = param("filter") {
            for part in text.split(" and ") {
                let Some((selector, value)) = part.split_once("==") else {
                    return bad("Failed to create boolean expression evaluator");
                };
                filter.push((selector.trim().to_owned(), value.trim().trim_matches('"').to_owned()));
            }
        }
        let Ok(index) = param("index").unwrap_or("0").parse() else { return bad("Invalid index") };
        let Some(wait) = span(param("wait").unwrap_or("5m")) else { return bad("Invalid wait time") };
        let (consistent, stale) = (param("consistent").is_some(), param("stale").is_some());
        if consistent && stale {
            return bad("Cannot specify ?stale with ?consistent, conflicting semantics.");
        }
        Asked::Read(Read { what, index, wait: wait.min(600_000_000), consistent, stale, filter })
    };
    match (parts.as_slice(), get) {
        (["health", "service", name], true) => {
            read(What::HealthService((*name).to_owned(), param("passing").is_some()))
        }
        (["health", "node", name], true) => read(What::HealthNode((*name).to_owned())),
        (["health", "state", state], true) => read(What::HealthState((*state).to_owned())),
        (["catalog", "nodes"], true) => read(What::CatalogNodes),
        (["catalog", "service", name], true) => read(What::CatalogService((*name).to_owned())),
        (["agent", "members"], true) => read(What::Members),
        (["session", "info", id], true) => read(What::SessionInfo((*id).to_owned())),
        (["kv", ..], true) => {
            let key = parts[1..].join("/");
            let (recurse, raw, keys) =
                (param("recurse").is_some(), param("raw").is_some(), param("keys").is_some());
            read(What::Key { key, recurse: recurse || keys, raw, keys })
        }
        (["kv", ..], false) if message.head.method() == "DELETE" => {
            let command = Command::Delete { key: parts[1..].join("/"), recurse: param("recurse").is_some() };
            Asked::Write(Write::Commands(vec![command], json!(true)))
        }
        (["kv", ..], false) => {
            let lock = match (param("acquire"), param("release")) {
                (Some(session), _) => Lock::Acquire(session.to_owned()),
                (None, Some(session)) => Lock::Release(session.to_owned()),
                (None, None) => Lock::Leave,
            };
            let (flags, cas) = (param("flags").and_then(|f| f.parse().ok()).unwrap_or(0), param("cas"));
            let cas = match cas.map(str::parse) {
                Some(Err(_)) => return bad("Invalid cas"),
                Some(Ok(cas)) => Some(cas),
                None => None,
            };
            Asked::Write(Write::Put {
                key: parts[1..].join("/"),
                value: STANDARD.encode(&message.body),
                flags,
                lock,
                cas,
            })
        }
        (["catalog", "register"], false) => catalog_register(&body()),
        (["catalog", "deregister"], false) => {
            let body = body();
            let Some(node) = body["Node"].as_str() else { return bad("Must provide node") };
            let service = body["ServiceID"].as_str().filter(|s| !s.is_empty()).map(str::to_owned);
            let command = Command::Deregister { node: node.to_owned(), service };
            Asked::Write(Write::Commands(vec![command], json!(true)))
        }
        (["agent", "service", "register"], false) => agent_register(&body(), node),
        (["agent", "service", "deregister", id], false) => {
            Asked::Write(Write::Service { id: (*id).to_owned(), maintenance: None })
        }
        (["agent", "service", "maintenance", id], false) => match param("enable") {
            Some(on @ ("true" | "false")) => {
                let why =
                    param("reason").unwrap_or("Maintenance mode is enabled for this service").to_owned();
                Asked::Write(Write::Service { id: (*id).to_owned(), maintenance: Some((on == "true", why)) })
            }
            _ => bad("Missing value for enable"),
        },
        (["agent", "maintenance"], false) => match param("enable") {
            Some(on @ ("true" | "false")) => {
                let why = param("reason").unwrap_or("Maintenance mode is enabled for this node").to_owned();
                Asked::Write(Write::NodeMaintenance(on == "true", why))
            }
            _ => bad("Missing value for enable"),
        },
        (["agent", "check", "register"], false) => {
            let body = body();
            let name = body["Name"].as_str().unwrap_or("").to_owned();
            let id = body["ID"].as_str().filter(|i| !i.is_empty()).unwrap_or(&name).to_owned();
            let ttl = body["TTL"].as_str().and_then(span);
            if name.is_empty() || ttl.is_none() {
                return bad("a name and a TTL are needed; other checks are not run here");
            }
            let service_id = body["ServiceID"].as_str().unwrap_or("").to_owned();
            let status = body["Status"].as_str().unwrap_or("critical").to_owned();
            let check = Check {
                id,
                name,
                status,
                output: String::new(),
                service_name: service_id.clone(),
                service_id,
                ttl,
            };
            register(node, "127.0.0.1", json!({}), None, vec![check], Value::Null)
        }
        (["agent", "check", "deregister", id], false) => {
            let command = Command::DropCheck { node: node.to_owned(), check: (*id).to_owned() };
            Asked::Write(Write::Commands(vec![command], Value::Null))
        }
        (["agent", "check", word @ ("pass" | "warn" | "fail"), id], false) => {
            let status = match *word {
                "pass" => "passing",
                "warn" => "warning",
                _ => "critical",
            };
            Asked::Write(Write::Check(
                (*id).to_owned(),
                status.to_owned(),
                param("note").unwrap_or("").to_owned(),
            ))
        }
        (["agent", "check", "update", id], false) => {
            let body = body();
            let status = body["Status"].as_str().unwrap_or("");
            if !matches!(status, "passing" | "warning" | "critical") {
                return bad("Invalid check status");
            }
            let output = body["Output"].as_str().unwrap_or("").to_owned();
            Asked::Write(Write::Check((*id).to_owned(), status.to_owned(), output))
        }
        (["session", "create"], false) => {
            let body = body();
            let text = |name: &str| body[name].as_str().unwrap_or("").to_owned();
            let spans = |name: &str, default: u64| match &body[name] {
                Value::Null => Some(default),
                Value::Number(n) => n.as_u64().map(|ns| ns / 1000),
                Value::String(s) if s.is_empty() => Some(default),
                Value::String(s) => span(s),
                _ => None,
            };
            let (Some(ttl), Some(lock_delay)) = (spans("TTL", 0), spans("LockDelay", 15_000_000)) else {
                return bad("Request decode failed");
            };
            // Of the documented range of TTLs, 10 s to 24 h, only the upper bound is kept: tests are short.
            if ttl > 86_400_000_000 {
                return bad("Invalid Session TTL");
            }
            let behavior = if text("Behavior") == "delete" { "delete" } else { "release" };
            Asked::Write(Write::CreateSession(Session {
                id: uuid(&format!("session {id}")),
                name: text("Name"),
                node: node.to_owned(),
                ttl,
                lock_delay,
                behavior: behavior.to_owned(),
            }))
        }
        (["session", "renew", id], false) => Asked::Write(Write::Renew((*id).to_owned())),
        (["session", "destroy", id], false) => Asked::Write(Write::DestroySession((*id).to_owned())),
        (["status", "leader"], true) => Asked::Answer(200, json!("127.0.0.1:8300")),
        _ => Asked::Answer(404, json!("no such path")),
    }
}

fn register(
    node: &str,
    address: &str,
    meta: Value,
    service: Option<Service>,
    checks: Vec<Check>,
    answer: Value,
) -> Asked {
    let (node, address) = (node.to_owned(), address.to_owned());
    Asked::Write(Write::Commands(vec![Command::Register { node, address, meta, service, checks }], answer))
}

fn service(body: &Value, id: &str, name: &str) -> Option<Service> {
    let name = body[name].as_str().filter(|n| !n.is_empty())?.to_owned();
    let or = |value: &Value, default: Value| if value.is_null() { default } else { value.clone() };
    Some(Service {
        id: body[id].as_str().filter(|i| !i.is_empty()).unwrap_or(&name).to_owned(),
        name,
        address: body["Address"].as_str().unwrap_or("").to_owned(),
        port: body["Port"].as_i64().unwrap_or(0),
        tags: or(&body["Tags"], json!([])),
        meta: or(&body["Meta"], json!({})),
    })
}

fn agent_register(body: &Value, node: &str) -> Asked {
    let Some(service) = service(body, "ID", "Name") else {
        return Asked::Answer(400, json!("Missing service name"));
    };
    let mut checks = Vec::new();
    let listed = body["Checks"].as_array().cloned().unwrap_or_default();
    for (n, check) in std::iter::once(&body["Check"]).chain(&listed).filter(|c| c.is_object()).enumerate() {
        let ttl = check["TTL"].as_str().and_then(span);
        let own = format!("service:{}", service.id);
        let id = check["CheckID"]
            .as_str()
            .filter(|i| !i.is_empty())
            .map_or_else(|| if n == 0 { own.clone() } else { format!("{own}:{}", n + 1) }, str::to_owned);
        checks.push(Check {
            id,
            name: check["Name"].as_str().unwrap_or("Service check").to_owned(),
            status: check["Status"].as_str().unwrap_or("critical").to_owned(),
            output: String::new(),
            service_id: service.id.clone(),
            service_name: service.name.clone(),
            ttl,
        });
    }
    register(node, "127.0.0.1", json!({}), Some(service), checks, Value::Null)
}

fn catalog_register(body: &Value) -> Asked {
    let (Some(node), Some(address)) = (body["Node"].as_str(), body["Address"].as_str()) else {
        return Asked::Answer(400, json!("Must provide node and address"));
    };
    let service = service(&body["Service"], "ID", "Service");
    let listed = body["Checks"].as_array().cloned().unwrap_or_default();
    let checks = std::iter::once(&body["Check"]).chain(&listed).filter(|c| c.is_object());
    let checks = checks
        .map(|c| {
            let text = |name: &str| c[name].as_str().unwrap_or("").to_owned();
            let name = text("Name");
            let id = if text("CheckID").is_empty() { name.clone() } else { text("CheckID") };
            let service_id = text("ServiceID");
            let service_name = match &service {
                Some(s) if s.id == service_id => s.name.clone(),
                _ => String::new(),
            };
            let status = if text("Status").is_empty() { "critical".to_owned() } else { text("Status") };
            Check { id, name, status, output: text("Output"), service_id, service_name, ttl: None }
        })
        .collect();
    let meta = if body["NodeMeta"].is_null() { json!({}) } else { body["NodeMeta"].clone() };
    register(node, address, meta, service, checks, json!(true))
}

impl Read {
    /// The index that this read blocks on.
    pub fn index_in(&self, state: &State) -> u64 {
        match &self.what {
            What::HealthService(name, _) | What::CatalogService(name) => state.service_index(name),
            What::HealthNode(_) | What::HealthState(_) => state.checks_index(),
            What::CatalogNodes => state.nodes_index(),
            What::Key { .. } => state.keys_index(),
            What::Members | What::SessionInfo(_) => state.index.max(1),
        }
    }

    /// Status and body, as the state has it.
    pub fn answer(&self, state: &State, dc: &str) -> (u16, Vec<u8>) {
        let entries = match &self.what {
            What::HealthService(name, passing) => state.health_service(name, dc, *passing),
            What::HealthNode(name) => state.checks(Some(name), None),
            What::HealthState(s) => state.checks(None, Some(s)),
            What::CatalogNodes => state.catalog_nodes(dc),
            What::CatalogService(name) => state.catalog_service(name, dc),
            What::Members => state.members(),
            What::SessionInfo(id) => state.session(id).into_iter().collect(),
            What::Key { key, recurse, raw, keys } => {
                let entries = state.keys(key, *recurse);
                if entries.is_empty() {
                    return (404, Vec::new());
                }
                if *raw {
                    let value = entries[0]["Value"].as_str().unwrap_or("");
                    return (200, STANDARD.decode(value).unwrap_or_default());
                }
                if *keys { entries.into_iter().map(|e| e["Key"].clone()).collect() } else { entries }
            }
        };
        let fits = |entry: &Value| {
            self.filter.iter().all(|(selector, value)| {
                let at = selector.split('.').try_fold(entry, |at, part| at.get(part));
                at.is_some_and(|at| {
                    at.as_str() == Some(value) || at.as_i64().map(|n| n.to_string()).as_ref() == Some(value)
                })
            })
        };
        let entries: Vec<Value> = entries.into_iter().filter(fits).collect();
        (200, serde_json::to_vec(&entries).unwrap_or_default())
    }
}
