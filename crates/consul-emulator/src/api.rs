//! The endpoints: parses a request into an immediate response, a read that may block, or a write for the leader.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use maplethread_wire::http::Message;
use serde_json::{Value, json};

use crate::state::{Check, Command, LockChange, Service, Session, State, uuid};

/// A parsed request.
#[derive(Debug)]
pub enum Request {
    /// A read, which may be a blocking query.
    Read(ReadRequest),
    /// A write.
    Write(WriteRequest),
    /// A response that does not depend on the state: status and body.
    Response(u16, Value),
}

/// A read.
#[derive(Clone, Debug)]
pub struct ReadRequest {
    /// The resource to read.
    pub resource: Resource,
    /// If above 0, the query blocks until the index of the resource is above this.
    pub index: u64,
    /// Maximum time that the query blocks, µs.
    pub wait_us: u64,
    /// `?consistent`: read from the leader, without the faults of lists.
    pub consistent: bool,
    /// `?stale`: read from the server that received the request.
    pub stale: bool,
    /// Conditions of `?filter`, all of which an entry must meet: selector and value.
    pub filter: Vec<(String, String)>,
}

/// A resource that can be read.
#[derive(Clone, Debug)]
pub enum Resource {
    /// `/v1/health/service/:name`, with `?passing`.
    HealthService(String, bool),
    /// `/v1/health/node/:node`.
    HealthNode(String),
    /// `/v1/health/state/:state`.
    HealthState(String),
    /// `/v1/catalog/nodes`.
    CatalogNodes,
    /// `/v1/catalog/service/:name`.
    CatalogService(String),
    /// `/v1/agent/members`.
    Members,
    /// `/v1/kv/:key`, with its query parameters.
    Key {
        key: String,
        recurse: bool,
        raw: bool,
        keys: bool,
    },
    /// `/v1/session/info/:id`.
    SessionInfo(String),
}

/// A write.
#[derive(Debug)]
pub enum WriteRequest {
    /// Commands, and the body of the response.
    Commands(Vec<Command>, Value),
    /// A put of a key, which is applied only if its lock and its modify index (`cas`) allow it.
    Put {
        key: String,
        value: String,
        flags: u64,
        lock: LockChange,
        cas: Option<u64>,
    },
    /// Renews a session.
    RenewSession(String),
    /// An update of a TTL check: check, status, output.
    UpdateCheck(String, String, String),
    /// Deregisters a service of the agent, or sets its maintenance mode (on or off, with the reason).
    UpdateService {
        id: String,
        maintenance: Option<(bool, String)>,
    },
    /// Sets the maintenance mode of the agent's node, with the reason.
    NodeMaintenance(bool, String),
    /// Creates a session.
    CreateSession(Session),
    /// Destroys a session.
    DestroySession(String),
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = text
            .get(i + 1..i + 3)
            .and_then(|h| u8::from_str_radix(h, 16).ok());
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

/// Parses a duration such as `10s`, `1m30s`, `1.5h` or `500ms` into µs; a bare number is in seconds.
pub fn parse_duration_us(text: &str) -> Option<u64> {
    if text.is_empty() {
        return None;
    }
    let (mut rest, mut sum) = (text, 0.0);
    while !rest.is_empty() {
        let digits = rest
            .find(|c: char| !c.is_ascii_digit() && c != '.')
            .unwrap_or(rest.len());
        let n: f64 = rest[..digits].parse().ok()?;
        let unit = rest[digits..]
            .find(|c: char| c.is_ascii_digit())
            .map_or(rest.len(), |at| digits + at);
        sum += n * match &rest[digits..unit] {
            "ns" => 0.001,
            "us" | "µs" => 1.0,
            "ms" => 1e3,
            "s" => 1e6,
            "" if digits == text.len() => 1e6,
            "m" => 6e7,
            "h" => 3.6e9,
            _ => return None,
        };
        rest = &rest[unit..];
    }
    (sum < 1e18).then_some(sum as u64)
}

/// A field of an object, ignoring the case of its key, as the documented API decodes bodies. An exact match takes
/// precedence.
fn field_ignoring_case<'a>(object: &'a Value, key: &str) -> &'a Value {
    let Some(fields) = object.as_object() else {
        return &Value::Null;
    };
    let folded = || {
        fields
            .iter()
            .find(|(k, _)| k.eq_ignore_ascii_case(key))
            .map(|(_, v)| v)
    };
    fields.get(key).or_else(folded).unwrap_or(&Value::Null)
}

/// A text field; empty if it is missing. A value of another type is an error.
fn text_field(object: &Value, key: &str) -> Result<String, UndecodableField> {
    match field_ignoring_case(object, key) {
        Value::Null => Ok(String::new()),
        Value::String(s) => Ok(s.clone()),
        _ => Err(UndecodableField(key.to_owned())),
    }
}

/// A duration in µs, given as a text with units or as a number of nanoseconds.
fn duration_field_us(object: &Value, key: &str) -> Result<Option<u64>, UndecodableField> {
    match field_ignoring_case(object, key) {
        Value::Null => Ok(None),
        Value::String(s) if s.is_empty() => Ok(None),
        Value::String(s) => parse_duration_us(s)
            .map(Some)
            .ok_or_else(|| UndecodableField(key.to_owned())),
        Value::Number(n) => n
            .as_u64()
            .map(|ns| Some(ns / 1000))
            .ok_or_else(|| UndecodableField(key.to_owned())),
        _ => Err(UndecodableField(key.to_owned())),
    }
}

/// The field of the first of two keys that is present, for fields with an older and a newer name.
fn first_present_field<'a>(object: &'a Value, first: &str, second: &str) -> &'a Value {
    match field_ignoring_case(object, first) {
        Value::Null => field_ignoring_case(object, second),
        found => found,
    }
}

/// A field that cannot be decoded, by its key.
struct UndecodableField(String);

impl From<UndecodableField> for Request {
    fn from(UndecodableField(key): UndecodableField) -> Request {
        Request::Response(400, json!(format!("Request decode failed: {key}")))
    }
}

/// Parses a request. `node` is the name of the agent that received it; `id` is unique, and new session ids are derived
/// from it.
pub fn parse_request(message: &Message, node: &str, id: u64) -> Request {
    let target = message.head.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let params: Vec<(String, String)> = query
        .split('&')
        .filter(|p| !p.is_empty())
        .map(|p| p.split_once('=').unwrap_or((p, "")))
        .map(|(k, v)| (k.to_owned(), percent_decode(v)))
        .collect();
    let param = |name: &str| {
        params
            .iter()
            .find(|(k, _)| k == name)
            .map(|(_, v)| v.as_str())
    };
    let bad_request = |reason: &str| Request::Response(400, json!(reason));
    let path: String = path.trim_start_matches("/v1/").to_owned();
    let parts: Vec<String> = path.split('/').map(percent_decode).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    let body = || serde_json::from_slice::<Value>(&message.body).unwrap_or(Value::Null);
    let is_get = message.head.method() == "GET";
    let read = |resource: Resource| {
        let mut filter = Vec::new();
        if let Some(text) = param("filter") {
            for part in text.split(" and ") {
                let Some((selector, value)) = part.split_once("==") else {
                    return bad_request("Failed to create boolean expression evaluator");
                };
                filter.push((
                    selector.trim().to_owned(),
                    value.trim().trim_matches('"').to_owned(),
                ));
            }
        }
        let Ok(index) = param("index").unwrap_or("0").parse() else {
            return bad_request("Invalid index");
        };
        let Some(wait) = parse_duration_us(param("wait").unwrap_or("5m")) else {
            return bad_request("Invalid wait time");
        };
        let (consistent, stale) = (param("consistent").is_some(), param("stale").is_some());
        if consistent && stale {
            return bad_request("Cannot specify ?stale with ?consistent, conflicting semantics.");
        }
        Request::Read(ReadRequest {
            resource,
            index,
            wait_us: wait.min(600_000_000),
            consistent,
            stale,
            filter,
        })
    };
    match (parts.as_slice(), is_get) {
        (["health", "service", name], true) => read(Resource::HealthService(
            (*name).to_owned(),
            param("passing").is_some(),
        )),
        (["health", "node", name], true) => read(Resource::HealthNode((*name).to_owned())),
        (["health", "state", state], true) => read(Resource::HealthState((*state).to_owned())),
        (["catalog", "nodes"], true) => read(Resource::CatalogNodes),
        (["catalog", "service", name], true) => read(Resource::CatalogService((*name).to_owned())),
        (["agent", "members"], true) => read(Resource::Members),
        (["session", "info", id], true) => read(Resource::SessionInfo((*id).to_owned())),
        (["kv", ..], true) => {
            let key = parts[1..].join("/");
            let (recurse, raw, keys) = (
                param("recurse").is_some(),
                param("raw").is_some(),
                param("keys").is_some(),
            );
            read(Resource::Key {
                key,
                recurse: recurse || keys,
                raw,
                keys,
            })
        }
        (["kv", ..], false) if message.head.method() == "DELETE" => {
            let command = Command::DeleteKeys {
                key: parts[1..].join("/"),
                recurse: param("recurse").is_some(),
            };
            Request::Write(WriteRequest::Commands(vec![command], json!(true)))
        }
        (["kv", ..], false) => {
            let lock = match (param("acquire"), param("release")) {
                (Some(session), _) => LockChange::Acquire(session.to_owned()),
                (None, Some(session)) => LockChange::Release(session.to_owned()),
                (None, None) => LockChange::Unchanged,
            };
            let (flags, cas) = (
                param("flags").and_then(|f| f.parse().ok()).unwrap_or(0),
                param("cas"),
            );
            let cas = match cas.map(str::parse) {
                Some(Err(_)) => return bad_request("Invalid cas"),
                Some(Ok(cas)) => Some(cas),
                None => None,
            };
            Request::Write(WriteRequest::Put {
                key: parts[1..].join("/"),
                value: STANDARD.encode(&message.body),
                flags,
                lock,
                cas,
            })
        }
        (["catalog", "register"], false) => {
            parse_catalog_registration(&body()).unwrap_or_else(Request::from)
        }
        (["catalog", "deregister"], false) => {
            let body = body();
            let Some(node) = field_ignoring_case(&body, "Node").as_str() else {
                return bad_request("Must provide node");
            };
            let service = field_ignoring_case(&body, "ServiceID")
                .as_str()
                .filter(|s| !s.is_empty())
                .map(str::to_owned);
            let command = Command::Deregister {
                node: node.to_owned(),
                service,
            };
            Request::Write(WriteRequest::Commands(vec![command], json!(true)))
        }
        (["agent", "service", "register"], false) => {
            parse_agent_registration(&body(), node).unwrap_or_else(Request::from)
        }
        (["agent", "service", "deregister", id], false) => {
            Request::Write(WriteRequest::UpdateService {
                id: (*id).to_owned(),
                maintenance: None,
            })
        }
        (["agent", "service", "maintenance", id], false) => match param("enable") {
            Some(on @ ("true" | "false")) => {
                let reason = param("reason")
                    .unwrap_or("Maintenance mode is enabled for this service")
                    .to_owned();
                Request::Write(WriteRequest::UpdateService {
                    id: (*id).to_owned(),
                    maintenance: Some((on == "true", reason)),
                })
            }
            _ => bad_request("Missing value for enable"),
        },
        (["agent", "maintenance"], false) => match param("enable") {
            Some(on @ ("true" | "false")) => {
                let reason = param("reason")
                    .unwrap_or("Maintenance mode is enabled for this node")
                    .to_owned();
                Request::Write(WriteRequest::NodeMaintenance(on == "true", reason))
            }
            _ => bad_request("Missing value for enable"),
        },
        (["agent", "check", "register"], false) => {
            parse_check_registration(&body(), node).unwrap_or_else(Request::from)
        }
        (["agent", "check", "deregister", id], false) => {
            let command = Command::DeregisterCheck {
                node: node.to_owned(),
                check: (*id).to_owned(),
            };
            Request::Write(WriteRequest::Commands(vec![command], Value::Null))
        }
        (["agent", "check", action @ ("pass" | "warn" | "fail"), id], false) => {
            let status = match *action {
                "pass" => "passing",
                "warn" => "warning",
                _ => "critical",
            };
            Request::Write(WriteRequest::UpdateCheck(
                (*id).to_owned(),
                status.to_owned(),
                param("note").unwrap_or("").to_owned(),
            ))
        }
        (["agent", "check", "update", id], false) => {
            let body = body();
            let status = field_ignoring_case(&body, "Status").as_str().unwrap_or("");
            if !matches!(status, "passing" | "warning" | "critical") {
                return bad_request("Invalid check status");
            }
            let output = field_ignoring_case(&body, "Output")
                .as_str()
                .unwrap_or("")
                .to_owned();
            Request::Write(WriteRequest::UpdateCheck(
                (*id).to_owned(),
                status.to_owned(),
                output,
            ))
        }
        (["session", "create"], false) => {
            parse_session(&body(), node, id).unwrap_or_else(Request::from)
        }
        (["session", "renew", id], false) => {
            Request::Write(WriteRequest::RenewSession((*id).to_owned()))
        }
        (["session", "destroy", id], false) => {
            Request::Write(WriteRequest::DestroySession((*id).to_owned()))
        }
        (["status", "leader"], true) => Request::Response(200, json!("127.0.0.1:8300")),
        _ => Request::Response(404, json!("no such path")),
    }
}

fn register(
    node: &str,
    address: &str,
    meta: Value,
    service: Option<Service>,
    checks: Vec<Check>,
    answer: Value,
) -> Request {
    let (node, address) = (node.to_owned(), address.to_owned());
    Request::Write(WriteRequest::Commands(
        vec![Command::Register {
            node,
            address,
            meta,
            service,
            checks,
        }],
        answer,
    ))
}

fn parse_session(body: &Value, node: &str, id: u64) -> Result<Request, UndecodableField> {
    let ttl = duration_field_us(body, "TTL")?.unwrap_or(0);
    // Only the upper bound of the documented range (10 s to 24 h) is enforced, since tests use shorter TTLs.
    if ttl > 86_400_000_000 {
        return Ok(Request::Response(400, json!("Invalid Session TTL")));
    }
    let behavior = if text_field(body, "Behavior")? == "delete" {
        "delete"
    } else {
        "release"
    };
    Ok(Request::Write(WriteRequest::CreateSession(Session {
        id: uuid(&format!("session {id}")),
        name: text_field(body, "Name")?,
        node: node.to_owned(),
        ttl,
        lock_delay: duration_field_us(body, "LockDelay")?.unwrap_or(15_000_000),
        behavior: behavior.to_owned(),
    })))
}

/// Parses a service, whose name is under the key `name`; `None` if there is no name.
fn parse_service(body: &Value, name: &str) -> Result<Option<Service>, UndecodableField> {
    let name = text_field(body, name)?;
    if name.is_empty() {
        return Ok(None);
    }
    let id = text_field(body, "ID")?;
    let value_or = |value: &Value, default: Value| {
        if value.is_null() {
            default
        } else {
            value.clone()
        }
    };
    let port = match field_ignoring_case(body, "Port") {
        Value::Null => 0,
        port => port
            .as_i64()
            .ok_or_else(|| UndecodableField("Port".to_owned()))?,
    };
    let override_tags = match first_present_field(body, "EnableTagOverride", "enable_tag_override")
    {
        Value::Null => false,
        Value::Bool(b) => *b,
        _ => return Err(UndecodableField("EnableTagOverride".to_owned())),
    };
    Ok(Some(Service {
        id: if id.is_empty() { name.clone() } else { id },
        name,
        address: text_field(body, "Address")?,
        port,
        tags: value_or(field_ignoring_case(body, "Tags"), json!([])),
        meta: value_or(field_ignoring_case(body, "Meta"), json!({})),
        override_tags,
    }))
}

/// The checks of a body: the object `Check` and those in the array `Checks`.
fn check_objects(body: &Value) -> impl Iterator<Item = &Value> {
    let listed = field_ignoring_case(body, "Checks")
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    std::iter::once(field_ignoring_case(body, "Check"))
        .chain(listed)
        .filter(|c| c.is_object())
}

/// Parses a check of an agent. The status of a check with a TTL is updated by requests; other checks are never run and
/// keep their initial `Status`.
fn parse_agent_check(
    body: &Value,
    id: String,
    name: String,
    service: (&str, &str),
) -> Result<Check, UndecodableField> {
    let status = text_field(body, "Status")?;
    Ok(Check {
        id,
        name,
        status: if status.is_empty() {
            "critical".to_owned()
        } else {
            status
        },
        output: String::new(),
        service_id: service.0.to_owned(),
        service_name: service.1.to_owned(),
        ttl: duration_field_us(body, "TTL")?.filter(|&ttl| ttl > 0),
    })
}

fn parse_agent_registration(body: &Value, node: &str) -> Result<Request, UndecodableField> {
    let Some(service) = parse_service(body, "Name")? else {
        return Ok(Request::Response(400, json!("Missing service name")));
    };
    let mut checks = Vec::new();
    for (n, check) in check_objects(body).enumerate() {
        let default_id = format!("service:{}", service.id);
        let id = match text_field(check, "CheckID")? {
            id if !id.is_empty() => id,
            _ if n == 0 => default_id,
            _ => format!("{default_id}:{}", n + 1),
        };
        let name = text_field(check, "Name")?;
        let name = if name.is_empty() {
            format!("Service '{}' check", service.name)
        } else {
            name
        };
        checks.push(parse_agent_check(
            check,
            id,
            name,
            (&service.id, &service.name),
        )?);
    }
    Ok(register(
        node,
        "127.0.0.1",
        json!({}),
        Some(service),
        checks,
        Value::Null,
    ))
}

fn parse_check_registration(body: &Value, node: &str) -> Result<Request, UndecodableField> {
    let (name, id) = (text_field(body, "Name")?, text_field(body, "ID")?);
    let id = if id.is_empty() {
        text_field(body, "CheckID")?
    } else {
        id
    };
    if name.is_empty() {
        return Ok(Request::Response(400, json!("Missing check name")));
    }
    let service = text_field(body, "ServiceID")?;
    let check = parse_agent_check(
        body,
        if id.is_empty() { name.clone() } else { id },
        name,
        (&service, &service),
    )?;
    if check.ttl.is_none() {
        return Ok(Request::Response(
            400,
            json!("a TTL is needed; other checks are not run here"),
        ));
    }
    Ok(register(
        node,
        "127.0.0.1",
        json!({}),
        None,
        vec![check],
        Value::Null,
    ))
}

fn parse_catalog_registration(body: &Value) -> Result<Request, UndecodableField> {
    let (node, address) = (text_field(body, "Node")?, text_field(body, "Address")?);
    if node.is_empty() || address.is_empty() {
        return Ok(Request::Response(
            400,
            json!("Must provide node and address"),
        ));
    }
    let service = parse_service(field_ignoring_case(body, "Service"), "Service")?;
    let mut checks = Vec::new();
    for c in check_objects(body) {
        let (name, id, service_id) = (
            text_field(c, "Name")?,
            text_field(c, "CheckID")?,
            text_field(c, "ServiceID")?,
        );
        let service_name = match &service {
            Some(s) if s.id == service_id => s.name.clone(),
            _ => String::new(),
        };
        let status = text_field(c, "Status")?;
        checks.push(Check {
            id: if id.is_empty() { name.clone() } else { id },
            name,
            status: if status.is_empty() {
                "critical".to_owned()
            } else {
                status
            },
            output: text_field(c, "Output")?,
            service_id,
            service_name,
            ttl: None,
        });
    }
    let meta = match field_ignoring_case(body, "NodeMeta") {
        Value::Null => json!({}),
        meta => meta.clone(),
    };
    Ok(register(
        &node,
        &address,
        meta,
        service,
        checks,
        json!(true),
    ))
}

impl ReadRequest {
    /// The index that a blocking query of this resource waits on.
    pub fn blocking_index(&self, state: &State) -> u64 {
        match &self.resource {
            Resource::HealthService(name, _) | Resource::CatalogService(name) => {
                state.service_index(name)
            }
            Resource::HealthNode(_) | Resource::HealthState(_) => state.checks_index(),
            Resource::CatalogNodes => state.nodes_index(),
            Resource::Key { .. } => state.keys_index(),
            Resource::Members | Resource::SessionInfo(_) => state.index.max(1),
        }
    }

    /// The status and body of the response, from a state.
    pub fn answer(&self, state: &State, dc: &str) -> (u16, Vec<u8>) {
        let entries = match &self.resource {
            Resource::HealthService(name, passing) => state.health_service(name, dc, *passing),
            Resource::HealthNode(name) => state.checks(Some(name), None),
            Resource::HealthState(s) => state.checks(None, Some(s)),
            Resource::CatalogNodes => state.catalog_nodes(dc),
            Resource::CatalogService(name) => state.catalog_service(name, dc),
            Resource::Members => state.members(),
            Resource::SessionInfo(id) => state.session(id).into_iter().collect(),
            Resource::Key {
                key,
                recurse,
                raw,
                keys,
            } => {
                let entries = state.keys(key, *recurse);
                if entries.is_empty() {
                    return (404, Vec::new());
                }
                if *raw {
                    let value = entries[0]["Value"].as_str().unwrap_or("");
                    return (200, STANDARD.decode(value).unwrap_or_default());
                }
                if *keys {
                    entries.into_iter().map(|e| e["Key"].clone()).collect()
                } else {
                    entries
                }
            }
        };
        let matches_filter = |entry: &Value| {
            self.filter.iter().all(|(selector, value)| {
                let selected = selector
                    .split('.')
                    .try_fold(entry, |value, key| value.get(key));
                selected.is_some_and(|field| {
                    field.as_str() == Some(value)
                        || field.as_i64().map(|n| n.to_string()).as_ref() == Some(value)
                })
            })
        };
        let entries: Vec<Value> = entries.into_iter().filter(matches_filter).collect();
        (200, serde_json::to_vec(&entries).unwrap_or_default())
    }
}
