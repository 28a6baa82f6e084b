//! Parses HTTP messages into requests of the actor-placement API, which `docs/api.md` describes.

use maplethread::{Micros, Resources};
use maplethread_wire::http::Message;
use serde::Deserialize;

use crate::ids::ActorKey;
use crate::problem::Problem;

/// Number of actors in a page if the client gives no limit.
const DEFAULT_PAGE_SIZE: u64 = 100;
const MAX_PAGE_SIZE: u64 = 1000;
/// Maximum length of the name of a service, actor or request.
const MAX_NAME_BYTES: usize = 200;
/// Minimum budget of a placement request.
const MIN_BUDGET_MS: u64 = 20;
/// Maximum number of cores, or GiB of memory, of a placement request.
const MAX_AMOUNT: f64 = 1e6;

/// The body of a placement request. The parser's error messages, which clients see, name this type and its fields.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Place {
    service: String,
    actor: String,
    class: String,
    cores: f64,
    memory_gib: f64,
    budget_ms: u64,
    #[serde(default)]
    key: Option<String>,
    #[serde(default)]
    life_ms: Option<u64>,
    #[serde(default)]
    again: bool,
}

/// A request to place an actor.
#[derive(Debug)]
pub(crate) struct PlaceRequest {
    pub key: ActorKey,
    /// The name of its class.
    pub class: String,
    pub requested: Resources,
    /// How long the client waits for the answer, ms.
    pub budget_ms: u64,
    /// Identifies copies of one task, if the actor's name does not.
    pub deduplication_key: Option<String>,
    pub expected_duration: Option<Micros>,
    pub is_resubmission: bool,
    /// The client's id of the request (`X-Request-Id`).
    pub request_id: Option<String>,
    pub idempotency_key: Option<String>,
}

/// The start and the length of a page of actors.
#[derive(Debug)]
pub(crate) struct PageRequest {
    /// The last actor of the previous page.
    pub after: Option<ActorKey>,
    pub limit: usize,
}

/// The position from which events are to be sent.
#[derive(Debug)]
pub(crate) struct EventCursor {
    /// The last event that the client has received.
    pub after_seq: Option<u64>,
    /// The incarnation of the placer that sent the event, by its start in Unix time, ms.
    pub started_ms: Option<u64>,
}

/// A request of a client.
#[derive(Debug)]
pub(crate) enum ApiRequest {
    Place(PlaceRequest),
    /// Cancel the placement request of this id.
    CancelRequest(String),
    StopActor(ActorKey),
    GetActor(ActorKey),
    ListActors(PageRequest),
    FollowEvents(EventCursor),
    Status {
        /// Whether the status is to include measurements.
        is_full: bool,
    },
    Membership {
        /// If set, only changes after this one are requested.
        after: Option<u64>,
    },
}

/// The query parameters of a request's target.
struct Query<'a>(Vec<(&'a str, String)>);

impl<'a> Query<'a> {
    fn parse(text: &'a str) -> Result<Query<'a>, Problem> {
        text.split('&')
            .filter(|pair| !pair.is_empty())
            .map(|pair| {
                let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
                Ok((name, percent_decode(value)?))
            })
            .collect::<Result<_, _>>()
            .map(Query)
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.as_str())
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Problem> {
        let not_a_number = |_| Problem::bad_request(format!("{name}: not a number"));
        self.text(name)
            .map(|value| value.parse().map_err(not_a_number))
            .transpose()
    }
}

/// Decodes `%XX` escapes; a malformed one is a bad request.
fn percent_decode(text: &str) -> Result<String, Problem> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        if byte != b'%' {
            bytes.push(byte);
            rest = tail;
            continue;
        }
        let digits = tail.get(..2).and_then(|d| std::str::from_utf8(d).ok());
        let decoded = digits
            .filter(|d| !d.starts_with('+'))
            .and_then(|d| u8::from_str_radix(d, 16).ok());
        bytes.push(decoded.ok_or_else(|| Problem::bad_request("bad escape in the path"))?);
        rest = &tail[2..];
    }
    String::from_utf8(bytes).map_err(|_| Problem::bad_request("the path is not UTF-8"))
}

/// Checks the name of a service, actor or request: 1 to 200 bytes without control characters.
fn check_name(field_name: &str, text: &str) -> Result<(), Problem> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        return Err(Problem::bad_value(format!(
            "{field_name}: 1 to 200 bytes without control characters"
        )));
    }
    Ok(())
}

fn name_header(message: &Message, field: &str) -> Result<Option<String>, Problem> {
    let Some(value) = message.head.field(field) else {
        return Ok(None);
    };
    check_name(field, value)?;
    Ok(Some(value.to_owned()))
}

/// Parses the request that a message contains.
pub(crate) fn parse_request(message: &Message) -> Result<ApiRequest, Problem> {
    let target = message.head.target();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let method = message.head.method();
    let query = Query::parse(query)?;
    let not_allowed = |allow| Err(Problem::method_not_allowed(method, allow));
    match (parts.as_slice(), method) {
        (["v1", "actors"], "POST") => parse_place_request(message).map(ApiRequest::Place),
        (["v1", "actors"], "GET") => parse_page_request(&query).map(ApiRequest::ListActors),
        (["v1", "actors"], _) => not_allowed("GET, POST"),
        (["v1", "actors", service, actor], "GET" | "DELETE") => {
            let key = ActorKey::new(&percent_decode(service)?, &percent_decode(actor)?);
            Ok(if method == "GET" {
                ApiRequest::GetActor(key)
            } else {
                ApiRequest::StopActor(key)
            })
        }
        (["v1", "actors", _, _], _) => not_allowed("GET, DELETE"),
        (["v1", "asks", request], "DELETE") => {
            Ok(ApiRequest::CancelRequest(percent_decode(request)?))
        }
        (["v1", "asks", _], _) => not_allowed("DELETE"),
        (["v1", "events"], "GET") => Ok(ApiRequest::FollowEvents(EventCursor {
            after_seq: query.number("after")?,
            started_ms: query.number("life")?,
        })),
        (["v1", "events"], _) => not_allowed("GET"),
        (["v1", "status"], "GET") => Ok(ApiRequest::Status {
            is_full: query.text("full").is_some(),
        }),
        (["v1", "status"], _) => not_allowed("GET"),
        (["v1", "fleet"], "GET") => Ok(ApiRequest::Membership {
            after: query.number("after")?,
        }),
        (["v1", "fleet"], _) => not_allowed("GET"),
        _ => Err(Problem::new(
            404,
            "no-such-path",
            "Nothing is served under this path",
            path,
        )),
    }
}

fn parse_page_request(query: &Query) -> Result<PageRequest, Problem> {
    let after = match (query.text("after_service"), query.text("after_actor")) {
        (Some(service), Some(actor)) => Some(ActorKey::new(service, actor)),
        (None, None) => None,
        _ => {
            return Err(Problem::bad_request(
                "after_service and after_actor belong together",
            ));
        }
    };
    let limit = query
        .number("limit")?
        .unwrap_or(DEFAULT_PAGE_SIZE)
        .clamp(1, MAX_PAGE_SIZE) as usize;
    Ok(PageRequest { after, limit })
}

fn parse_place_request(message: &Message) -> Result<PlaceRequest, Problem> {
    if let Some(media_type) = message.head.field("content-type") {
        let media_type = media_type.split(';').next().unwrap_or("").trim();
        if !media_type.eq_ignore_ascii_case("application/json") {
            return Err(Problem::new(
                415,
                "not-json",
                "Bodies are application/json",
                media_type,
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
    let is_amount = |x: f64| x.is_finite() && (0.0..=MAX_AMOUNT).contains(&x);
    if !is_amount(body.cores) || !is_amount(body.memory_gib) {
        return Err(Problem::bad_value("cores and memory_gib: 0 to 1000000"));
    }
    if body.budget_ms < MIN_BUDGET_MS {
        return Err(Problem::bad_value("budget_ms: at least 20"));
    }
    Ok(PlaceRequest {
        key: ActorKey::new(&body.service, &body.actor),
        class: body.class,
        requested: Resources::new(body.cores, body.memory_gib),
        budget_ms: body.budget_ms,
        deduplication_key: body.key,
        expected_duration: body.life_ms.map(|ms| ms.saturating_mul(1000)),
        is_resubmission: body.again,
        request_id: name_header(message, "x-request-id")?,
        idempotency_key: name_header(message, "idempotency-key")?,
    })
}
