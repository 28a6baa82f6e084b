//! Messages to and from owners: one JSON object per line.

use std::fmt::Display;

use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use crate::json_fields::pick_fields;
use crate::setup_id::parse_hex16;
use crate::{Cause, MAX_MESSAGE_BYTES, SetupId};

/// The longest answer timeout that a set-up may have: one day.
const MAX_ANSWER_TIMEOUT_MS: f64 = 86_400_000.0;
/// The maximum length of class names, task names and idempotency keys.
const MAX_NAME_BYTES: usize = 256;
/// The maximum length of host names.
const MAX_HOST_NAME_BYTES: usize = 128;
/// The largest number of cores, memory or time that a set-up may contain.
const MAX_AMOUNT: f64 = 1e9;
/// An upper bound of the message and parameter headers of a set-up in the encoding for hosts.
const MAX_HEADER_BYTES: usize = 64;

/// A set-up: a task to place, or a running task that is handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// The id of the set-up.
    pub id: SetupId,
    /// The name of the task's class.
    pub class: String,
    /// How long the owner waits for the answer, in milliseconds. Optional for running tasks.
    pub answer_timeout_ms: Option<f64>,
    /// The name of the task.
    pub task_name: String,
    /// The idempotency key, in classes that require one. It is the same for all attempts of the task.
    pub idempotency_key: Option<String>,
    /// The requested cores.
    pub cores: f64,
    /// The requested memory.
    pub memory: f64,
    /// The id of the service.
    pub service: u64,
    /// The name of the host on which the task already runs.
    pub running_on: Option<String>,
    /// Whether the owner marked the task as resubmitted.
    pub is_resubmission: bool,
    /// The expected remaining run time of the task, in milliseconds.
    pub expected_duration_ms: Option<f64>,
    /// The description of the task.
    pub description: String,
}

/// A message from an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum FromOwner {
    /// A task to place, or a running task that is handed over.
    Setup(Box<Setup>),
    /// Cancels a set-up or ends a running task.
    Close {
        /// The id of the set-up.
        id: SetupId,
        /// The reason.
        cause: Cause,
    },
    /// A health check of the connection, to which the placer sends `Probed`.
    Probe {
        /// The id of the health check.
        id: SetupId,
    },
    /// Acknowledges the release of a task. Owners are not required to send it.
    Closed {
        /// The id of the set-up.
        id: SetupId,
    },
    /// A message that needs no action.
    Ignored,
}

/// A message to an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum ToOwner {
    /// The task was placed.
    Ready {
        /// The id of the set-up.
        id: SetupId,
        /// The host's description of the task.
        description: String,
    },
    /// A set-up was rejected, or a task was released.
    Close {
        /// The id of the set-up.
        id: SetupId,
        /// The reason.
        cause: Cause,
    },
    /// The task will be ended, and its owner should request another placement.
    Relocate {
        /// The id of the set-up.
        id: SetupId,
    },
    /// The answer to a health check.
    Probed {
        /// The id of the health check.
        id: SetupId,
        /// Whether the connection is healthy.
        is_healthy: bool,
    },
    /// Acknowledges a release.
    Closed {
        /// The id of the set-up.
        id: SetupId,
    },
}

/// Why a line cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The line is longer than `MAX_MESSAGE_BYTES`. The end of the line is not searched for.
    #[error("line longer than {MAX_MESSAGE_BYTES} bytes")]
    LineTooLong,
    /// The line is not a JSON object with the id of a set-up.
    #[error("{0}")]
    Malformed(String),
    /// A field is missing or invalid in a message with the id of a set-up.
    #[error("{id}: field {field}: expected {expected}")]
    InvalidField {
        /// The id of the set-up.
        id: SetupId,
        /// The name of the field.
        field: &'static str,
        /// The expected value of the field.
        expected: &'static str,
    },
}

/// Decodes the first line in `unread`. Returns the message or error with the length of the line in bytes, or none if the line
/// is incomplete. `scanned` is the number of bytes at the start of `unread` that are known to contain no line end; the caller
/// keeps it between calls.
pub fn decode(
    unread: &[u8],
    scanned: &mut usize,
) -> Option<(Result<FromOwner, DecodeError>, usize)> {
    let from = (*scanned).min(unread.len());
    let Some(offset) = unread[from..].iter().position(|&byte| byte == b'\n') else {
        *scanned = unread.len();
        let is_too_long = unread.len() > MAX_MESSAGE_BYTES;
        return is_too_long.then_some((Err(DecodeError::LineTooLong), unread.len()));
    };
    *scanned = 0;
    let end = from + offset;
    let message = if end > MAX_MESSAGE_BYTES {
        Err(DecodeError::LineTooLong)
    } else {
        decode_line(&unread[..end])
    };
    Some((message, end + 1))
}

/// The fields of a message that are used.
const MESSAGE_FIELDS: [&str; 5] = ["msg", "sid", "attrs", "code", "text"];
/// The attributes of a set-up that are used.
const ATTRIBUTES: [&str; 7] = ["class", "left", "key", "idem", "extras", "retry", "hint"];

fn decode_line(line: &[u8]) -> Result<FromOwner, DecodeError> {
    let malformed =
        |error: &dyn Display| DecodeError::Malformed(format!("not a JSON object: {error}"));
    let line = std::str::from_utf8(line).map_err(|error| malformed(&error))?;
    let [kind, sid, attributes, code, text] =
        pick_fields(line, &MESSAGE_FIELDS).map_err(|error| malformed(&error))?;
    let id = parse_value(sid)
        .as_ref()
        .and_then(Value::as_str)
        .and_then(SetupId::parse)
        .ok_or_else(|| {
            DecodeError::Malformed("field sid: expected 16 hexadecimal digits".to_owned())
        })?;
    match parse_value(kind).as_ref().and_then(Value::as_str) {
        Some("open") => decode_setup(id, attributes, parse_value(text))
            .map(|setup| FromOwner::Setup(Box::new(setup))),
        Some("close") => {
            decode_cause(id, parse_value(code)).map(|cause| FromOwner::Close { id, cause })
        }
        Some("probe") => Ok(FromOwner::Probe { id }),
        Some("closed") => Ok(FromOwner::Closed { id }),
        Some("trying" | "ready" | "probed" | "event" | "relocate") => Ok(FromOwner::Ignored),
        _ => Err(DecodeError::InvalidField {
            id,
            field: "msg",
            expected: "the type of a message",
        }),
    }
}

/// The value of a field, or none if it is absent or out of the range of numbers.
fn parse_value(field: Option<&RawValue>) -> Option<Value> {
    serde_json::from_str(field?.get()).ok()
}

fn decode_cause(id: SetupId, code: Option<Value>) -> Result<Cause, DecodeError> {
    parse_number(code.as_ref())
        .filter(|code| (0.0..=255.0).contains(code) && code.fract() == 0.0)
        .map(|code| Cause(code as u8))
        .ok_or(DecodeError::InvalidField {
            id,
            field: "code",
            expected: "a cause from 0 to 255",
        })
}

/// The `name:value` pairs of the attribute `extras` that are used.
#[derive(Default)]
struct Extras {
    cores: Option<f64>,
    memory: Option<f64>,
    service: Option<u64>,
    running_on: Option<String>,
}

impl Extras {
    /// Parses the attribute. Returns none if a part of it is not a `name:value` pair.
    fn parse(text: &str) -> Option<Extras> {
        let mut extras = Extras::default();
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':')?;
            match name {
                "cores" => extras.cores = value.parse().ok(),
                "memory" => extras.memory = value.parse().ok(),
                "service" => extras.service = parse_hex16(value),
                "at" => {
                    extras.running_on = Some(value.to_owned())
                        .filter(|host| (1..=MAX_HOST_NAME_BYTES).contains(&host.len()));
                }
                _ => {}
            }
        }
        Some(extras)
    }
}

fn decode_setup(
    id: SetupId,
    attributes: Option<&RawValue>,
    text: Option<Value>,
) -> Result<Setup, DecodeError> {
    let invalid = |field, expected| DecodeError::InvalidField {
        id,
        field,
        expected,
    };
    let [class, left, key, idem, extras, retry, hint] = attributes
        .and_then(|attributes| pick_fields(attributes.get(), &ATTRIBUTES).ok())
        .ok_or(invalid("attrs", "an object"))?
        .map(parse_value);
    let extras = text_or_number(extras.as_ref()).ok_or(invalid("extras", "a string"))?;
    let extras = Extras::parse(&extras).ok_or(invalid("extras", "name:value pairs"))?;
    let is_running = extras.running_on.is_some();
    let answer_timeout_ms = match left {
        None if is_running => None,
        left => Some(
            parse_number(left.as_ref())
                .filter(|ms| (0.0..=MAX_ANSWER_TIMEOUT_MS).contains(ms))
                .ok_or(invalid("left", "milliseconds, from 0 to one day"))?,
        ),
    };
    let idempotency_key = match idem {
        None | Some(Value::Null) => None,
        Some(idem) => Some(
            text_or_number(Some(&idem))
                .filter(|name| is_name(name))
                .ok_or(invalid("idem", "a string of 1 to 256 bytes"))?,
        ),
    };
    let description = match text {
        Some(Value::String(text)) if !text.is_empty() => text,
        None if is_running => String::new(),
        _ => return Err(invalid("text", "a non-empty description")),
    };
    let setup = Setup {
        id,
        class: text_or_number(class.as_ref())
            .filter(|name| is_name(name))
            .ok_or(invalid("class", "the name of a class"))?,
        answer_timeout_ms,
        task_name: text_or_number(key.as_ref())
            .filter(|name| is_name(name))
            .ok_or(invalid("key", "the name of the task"))?,
        idempotency_key,
        cores: positive_amount(extras.cores).ok_or(invalid("extras", "cores above 0"))?,
        memory: positive_amount(extras.memory).ok_or(invalid("extras", "memory above 0"))?,
        service: extras
            .service
            .ok_or(invalid("extras", "a service of 16 hexadecimal digits"))?,
        running_on: extras.running_on,
        is_resubmission: parse_number(retry.as_ref()).is_some_and(|retry| retry > 0.0),
        expected_duration_ms: positive_amount(parse_number(hint.as_ref())),
        description,
    };
    if host_message_bytes(&setup) > MAX_MESSAGE_BYTES {
        return Err(invalid(
            "text",
            "a description that fits a message of 16 KiB",
        ));
    }
    Ok(setup)
}

/// An upper bound of the length of the set-up in the encoding for hosts, whose messages have the same length limit as
/// owners'.
fn host_message_bytes(setup: &Setup) -> usize {
    MAX_HEADER_BYTES
        + setup.description.len()
        + setup.class.len()
        + setup.task_name.len()
        + setup.idempotency_key.as_ref().map_or(0, String::len)
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.chars().any(char::is_control)
}

fn positive_amount(amount: Option<f64>) -> Option<f64> {
    amount.filter(|&amount| amount > 0.0 && amount <= MAX_AMOUNT)
}

/// The text of a string, or of a number in JSON notation. None for other values.
fn text_or_number(value: Option<&Value>) -> Option<String> {
    match value? {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// The value of a number, or of a string that contains one. None for other values.
fn parse_number(value: Option<&Value>) -> Option<f64> {
    match value? {
        Value::String(text) => text.parse().ok(),
        value => value.as_f64(),
    }
}

/// Appends an encoded message and a line end to `out`.
pub fn encode(out: &mut Vec<u8>, message: &ToOwner) {
    #[derive(Serialize)]
    struct Line<'a> {
        msg: &'a str,
        sid: String,
        attrs: Map<String, Value>,
        #[serde(skip_serializing_if = "Option::is_none")]
        code: Option<u8>,
        #[serde(skip_serializing_if = "Option::is_none")]
        text: Option<&'a str>,
    }
    let (msg, id, code, text) = match message {
        ToOwner::Ready { id, description } => ("ready", id, None, Some(description.as_str())),
        ToOwner::Close { id, cause } => ("close", id, Some(cause.0), None),
        ToOwner::Relocate { id } => ("relocate", id, None, None),
        ToOwner::Probed { id, is_healthy } => ("probed", id, Some(u8::from(*is_healthy)), None),
        ToOwner::Closed { id } => ("closed", id, None, None),
    };
    let line = Line {
        msg,
        sid: id.to_string(),
        attrs: Map::new(),
        code,
        text,
    };
    serde_json::to_writer(&mut *out, &line)
        .expect("all keys are strings, and writing to memory does not fail");
    out.push(b'\n');
}
