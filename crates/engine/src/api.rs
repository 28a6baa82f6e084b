//! The actor-placement API: what requests mean and how answers read. Described in `docs/api.md`.

use maplethread_wire::http::{self, Message};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// A request to place an actor.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub service: String,
    pub actor: String,
    pub class: String,
    pub cores: f64,
    pub memory_gib: f64,
    pub budget_ms: u64,
    #[serde(default)]
    pub key: Option<String>,
    #[serde(default)]
    pub life_ms: Option<u64>,
    #[serde(default)]
    pub again: bool,
}

/// What a client wants.
#[derive(Debug)]
pub enum ApiRequest {
    Place {
        body: Place,
        request: Option<String>,
        idempotency: Option<String>,
    },
    CancelRequest(String),
    StopActor {
        service: String,
        actor: String,
    },
    GetActor {
        service: String,
        actor: String,
    },
    ListActors {
        after: Option<(String, String)>,
        limit: usize,
    },
    FollowEvents {
        after: Option<u64>,
        life: Option<u64>,
    },
    Status {
        full: bool,
    },
    Membership {
        after: Option<u64>,
    },
}

/// An error answer (RFC 9457).
#[derive(Clone, Debug)]
pub struct Problem {
    pub status: u16,
    /// The last part of the problem's type, such as `bad-body`.
    pub kind: &'static str,
    pub title: &'static str,
    pub detail: String,
    pub retry_after_s: Option<u64>,
    pub allow: Option<&'static str>,
    pub close: bool,
}

impl Problem {
    pub fn new(
        status: u16,
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        let detail = detail.into();
        Problem {
            status,
            kind,
            title,
            detail,
            retry_after_s: None,
            allow: None,
            close: false,
        }
    }

    pub fn unavailable(
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            retry_after_s: Some(1),
            ..Problem::new(503, kind, title, detail)
        }
    }

    pub fn to_bytes(&self, request: Option<&str>) -> Vec<u8> {
        let mut body = json!({
            "type": format!("urn:maplethread:problem:{}", self.kind),
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
        });
        if let Some(request) = request {
            body["request"] = json!(request);
        }
        let retry = self.retry_after_s.map(|s| s.to_string());
        let mut fields = Vec::new();
        fields.extend(retry.as_deref().map(|s| ("Retry-After", s)));
        fields.extend(self.allow.map(|a| ("Allow", a)));
        fields.extend(self.close.then_some(("Connection", "close")));
        let mut out = Vec::new();
        let body = body.to_string();
        http::write_response(
            &mut out,
            self.status,
            "application/problem+json",
            &fields,
            body.as_bytes(),
        );
        out
    }
}

/// A plain answer.
pub fn json_response(status: u16, body: &impl Serialize) -> Vec<u8> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut out = Vec::with_capacity(body.len() + 96);
    http::write_response(&mut out, status, "application/json", &[], &body);
    out
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::new(400, "bad-request", "The request makes no sense", detail)
}

/// Decodes `%XX`; a bad escape is refused.
fn percent_decode(text: &str) -> Result<String, Problem> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&b, tail)) = rest.split_first() {
        if b != b'%' {
            bytes.push(b);
            rest = tail;
            continue;
        }
        let digits = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let byte = digits
            .filter(|d| !d.starts_with('+'))
            .and_then(|d| u8::from_str_radix(d, 16).ok());
        bytes.push(byte.ok_or_else(|| bad_request("bad escape in the path"))?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).map_err(|_| bad_request("the path is not UTF-8"))
}

/// Names of services, actors and requests: 1 to 200 bytes without control characters.
fn check_name(what: &str, text: &str) -> Result<(), Problem> {
    if text.is_empty() || text.len() > 200 || text.chars().any(char::is_control) {
        let detail = format!("{what}: 1 to 200 bytes without control characters");
        return Err(Problem::new(
            422,
            "bad-value",
            "A value is out of its range",
            detail,
        ));
    }
    Ok(())
}

fn name_header(message: &Message, field: &str) -> Result<Option<String>, Problem> {
    let Some(value) = message.head.parse_field(field) else {
        return Ok(None);
    };
    check_name(field, value)?;
    Ok(Some(value.to_owned()))
}

/// What a message asks for.
pub fn parse_request(message: &Message) -> Result<ApiRequest, Problem> {
    let target = message.head.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = message.head.method();
    let wrong = |allow: &'static str| {
        let mut problem = Problem::new(405, "method", "This method is not served here", method);
        problem.allow = Some(allow);
        problem
    };
    let mut params = Vec::new();
    for pair in query.split('&').filter(|p| !p.is_empty()) {
        let (k, v) = pair.split_once('=').unwrap_or((pair, ""));
        params.push((k, percent_decode(v)?));
    }
    let param = |name: &str| {
        params
            .iter()
            .find(|(k, _)| *k == name)
            .map(|(_, v)| v.as_str())
    };
    let number = |name: &str| match param(name) {
        None => Ok(None),
        Some(v) => v
            .parse::<u64>()
            .map(Some)
            .map_err(|_| bad_request(format!("{name}: not a number"))),
    };
    match (parts.as_slice(), method) {
        (["v1", "actors"], "POST") => parse_place_request(message),
        (["v1", "actors"], "GET") => {
            let after = match (param("after_service"), param("after_actor")) {
                (Some(service), Some(actor)) => Some((service.to_owned(), actor.to_owned())),
                (None, None) => None,
                _ => return Err(bad_request("after_service and after_actor belong together")),
            };
            let limit = number("limit")?.unwrap_or(100).clamp(1, 1000) as usize;
            Ok(ApiRequest::ListActors { after, limit })
        }
        (["v1", "actors"], _) => Err(wrong("GET, POST")),
        (["v1", "actors", service, actor], "GET" | "DELETE") => {
            let (service, actor) = (percent_decode(service)?, percent_decode(actor)?);
            if method == "GET" {
                Ok(ApiRequest::GetActor { service, actor })
            } else {
                Ok(ApiRequest::StopActor { service, actor })
            }
        }
        (["v1", "actors", _, _], _) => Err(wrong("GET, DELETE")),
        (["v1", "asks", request], "DELETE") => {
            Ok(ApiRequest::CancelRequest(percent_decode(request)?))
        }
        (["v1", "asks", _], _) => Err(wrong("DELETE")),
        (["v1", "events"], "GET") => Ok(ApiRequest::FollowEvents {
            after: number("after")?,
            life: number("life")?,
        }),
        (["v1", "events"], _) => Err(wrong("GET")),
        (["v1", "status"], "GET") => Ok(ApiRequest::Status {
            full: param("full").is_some(),
        }),
        (["v1", "fleet"], "GET") => Ok(ApiRequest::Membership {
            after: number("after")?,
        }),
        (["v1", "fleet"], _) => Err(wrong("GET")),
        (["v1", "status"], _) => Err(wrong("GET")),
        _ => Err(Problem::new(
            404,
            "no-such-path",
            "Nothing is served under this path",
            path,
        )),
    }
}

fn parse_place_request(message: &Message) -> Result<ApiRequest, Problem> {
    if let Some(kind) = message.head.parse_field("content-type") {
        let kind = kind.split(';').next().unwrap_or("").trim();
        if !kind.eq_ignore_ascii_case("application/json") {
            return Err(Problem::new(
                415,
                "not-json",
                "Bodies are application/json",
                kind,
            ));
        }
    }
    let body: Place = serde_json::from_slice(&message.body)
        .map_err(|e| Problem::new(400, "bad-body", "The body is not an ask", e.to_string()))?;
    check_name("service", &body.service)?;
    check_name("actor", &body.actor)?;
    if let Some(key) = &body.key {
        check_name("key", key)?;
    }
    let out = |detail: &str| Problem::new(422, "bad-value", "A value is out of its range", detail);
    let sound = |x: f64| x.is_finite() && (0.0..=1e6).contains(&x);
    if !sound(body.cores) || !sound(body.memory_gib) {
        return Err(out("cores and memory_gib: 0 to 1000000"));
    }
    if body.budget_ms < 20 {
        return Err(out("budget_ms: at least 20"));
    }
    let request = name_header(message, "x-request-id")?;
    let idempotency = name_header(message, "idempotency-key")?;
    Ok(ApiRequest::Place {
        body,
        request,
        idempotency,
    })
}
