//! Owners' messages: one JSON object a line.

use serde::Serialize;
use serde_json::{Map, Value};

use crate::{MAX_MESSAGE_BYTES, SetupId, parse_hex16};

/// A set-up as its owner sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    /// Its id.
    pub id: SetupId,
    /// The name of its class.
    pub class: String,
    /// How long the owner waits for the answer, ms. None where the task runs already.
    pub answer_timeout_ms: Option<f64>,
    /// The name of the task.
    pub task_name: String,
    /// In keyed classes: the same for all tries.
    pub idempotency_key: Option<String>,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for.
    pub memory: f64,
    /// The service.
    pub service: u64,
    /// The host that holds the task already.
    pub running_on: Option<String>,
    /// The owner says that the task came again.
    pub is_resubmission: bool,
    /// How long the task should still run, ms.
    pub expected_duration_ms: Option<f64>,
    /// The description.
    pub description: String,
}

/// What owners send.
#[derive(Clone, Debug, PartialEq)]
pub enum FromOwner {
    /// A task to place, or one that runs already.
    Setup(Box<Setup>),
    /// A set-up is given up, or a standing task ended.
    Close(SetupId, u8),
    /// Is the connection of use?
    Probe(SetupId),
    /// Something that wants no answer.
    Ignored,
}

/// What is sent to owners.
#[derive(Clone, Debug, PartialEq)]
pub enum ToOwner {
    /// The task stands, with the host's description.
    Ready(SetupId, String),
    /// A release, with its cause.
    Close(SetupId, u8),
    /// The task ends and its owner is to come again.
    Relocate(SetupId),
    /// The answer to a test.
    Probed(SetupId, bool),
    /// A release was heard.
    Closed(SetupId),
}

/// Why a line can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The line is longer than any message: where the next one begins is not looked for.
    #[error("a line of more than 16 KiB")]
    LineTooLong,
    /// No JSON object of this protocol. Whose answer it would want is not known.
    #[error("{0}")]
    Malformed(String),
    /// A message under an id, with a field that is missing or out of range.
    #[error("{0}: field {1}: expected {2}")]
    InvalidField(SetupId, &'static str, &'static str),
}

/// Takes one line from the front of `unread`; returns what it says and how many bytes it takes, or nothing while it
/// is not whole. `scanned` tells how much of `unread` is known to hold no line end, and is kept by the caller.
pub fn decode(
    unread: &[u8],
    scanned: &mut usize,
) -> Option<(Result<FromOwner, DecodeError>, usize)> {
    let from = (*scanned).min(unread.len());
    let Some(end) = unread[from..]
        .iter()
        .position(|&b| b == b'\n')
        .map(|n| from + n)
    else {
        *scanned = unread.len();
        return (unread.len() > MAX_MESSAGE_BYTES)
            .then_some((Err(DecodeError::LineTooLong), unread.len()));
    };
    *scanned = 0;
    if end > MAX_MESSAGE_BYTES {
        return Some((Err(DecodeError::LineTooLong), end + 1));
    }
    Some((decode_line(&unread[..end]), end + 1))
}

fn decode_line(line: &[u8]) -> Result<FromOwner, DecodeError> {
    let value: Map<String, Value> = serde_json::from_slice(line)
        .map_err(|e| DecodeError::Malformed(format!("not a JSON object: {e}")))?;
    let sid = value
        .get("sid")
        .and_then(Value::as_str)
        .and_then(SetupId::parse);
    let sid =
        sid.ok_or_else(|| DecodeError::Malformed("field sid: expected 16 hex digits".to_owned()))?;
    match value.get("msg").and_then(Value::as_str) {
        Some("open") => decode_setup(sid, &value).map(|s| FromOwner::Setup(Box::new(s))),
        Some("close") => {
            let code = parse_number(value.get("code"))
                .filter(|c| (0.0..=255.0).contains(c) && c.fract() == 0.0);
            let code = code.ok_or(DecodeError::InvalidField(
                sid,
                "code",
                "a cause from 0 to 255",
            ))?;
            Ok(FromOwner::Close(sid, code as u8))
        }
        Some("probe") => Ok(FromOwner::Probe(sid)),
        Some("trying" | "ready" | "closed" | "probed" | "event" | "relocate") => {
            Ok(FromOwner::Ignored)
        }
        _ => Err(DecodeError::InvalidField(
            sid,
            "msg",
            "a message of this protocol",
        )),
    }
}

fn decode_setup(sid: SetupId, value: &Map<String, Value>) -> Result<Setup, DecodeError> {
    let fault = |field, expected| DecodeError::InvalidField(sid, field, expected);
    let attrs = value
        .get("attrs")
        .and_then(Value::as_object)
        .ok_or(fault("attrs", "an object"))?;
    let word = |name: &str| attrs.get(name).and_then(text_or_number);
    let (mut cores, mut memory, mut service, mut at) = (None, None, None, None);
    for part in word("extras")
        .ok_or(fault("extras", "text"))?
        .split(';')
        .filter(|p| !p.is_empty())
    {
        let (name, value) = part
            .split_once(':')
            .ok_or(fault("extras", "name:value pairs"))?;
        match name {
            "cores" => cores = value.parse().ok(),
            "memory" => memory = value.parse().ok(),
            "service" => service = parse_hex16(value),
            "at" => at = Some(value.to_owned()).filter(|v| (1..=128).contains(&v.len())),
            _ => {}
        }
    }
    let sound = |x: Option<f64>| x.filter(|x| x.is_finite() && *x > 0.0 && *x <= 1e9);
    let left_ms = match attrs.get("left") {
        None if at.is_some() => None,
        left => {
            let left =
                parse_number(left).filter(|l| l.is_finite() && (0.0..=86_400_000.0).contains(l));
            Some(left.ok_or(fault("left", "milliseconds, up to a day"))?)
        }
    };
    let short = |s: &String| (1..=256).contains(&s.len()) && !s.chars().any(char::is_control);
    let idem = match attrs.get("idem") {
        None | Some(Value::Null) => None,
        Some(_) => Some(word("idem").filter(short).ok_or(fault("idem", "text"))?),
    };
    let text = match value.get("text") {
        Some(Value::String(text)) if !text.is_empty() => text.clone(),
        None if at.is_some() => String::new(),
        _ => return Err(fault("text", "a description")),
    };
    let set_up = Setup {
        id: sid,
        class: word("class")
            .filter(short)
            .ok_or(fault("class", "the name of a class"))?,
        answer_timeout_ms: left_ms,
        task_name: word("key")
            .filter(short)
            .ok_or(fault("key", "the name of the task"))?,
        idempotency_key: idem,
        cores: sound(cores).ok_or(fault("extras", "cores, above 0"))?,
        memory: sound(memory).ok_or(fault("extras", "memory, above 0"))?,
        service: service.ok_or(fault("extras", "a service of 16 hex digits"))?,
        running_on: at,
        is_resubmission: attrs
            .get("retry")
            .is_some_and(|r| parse_number(Some(r)).is_some_and(|n| n > 0.0)),
        expected_duration_ms: sound(parse_number(attrs.get("hint"))),
        description: text,
    };
    // A host reads no message longer than this either: the fields' heads are counted generously.
    let length = set_up.description.len() + set_up.class.len() + set_up.task_name.len() + 64;
    if length + set_up.idempotency_key.as_ref().map_or(0, String::len) > MAX_MESSAGE_BYTES {
        return Err(fault("text", "less than 16 KiB"));
    }
    Ok(set_up)
}

/// A text, or a number in the words it was given in.
fn text_or_number(value: &Value) -> Option<String> {
    match value {
        Value::String(s) => Some(s.clone()),
        Value::Number(n) => Some(n.to_string()),
        _ => None,
    }
}

/// A number, or a text that is one.
fn parse_number(value: Option<&Value>) -> Option<f64> {
    match value? {
        Value::String(s) => s.parse().ok(),
        value => value.as_f64(),
    }
}

/// Adds a message and its line end.
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
    let (msg, sid, code, text) = match message {
        ToOwner::Ready(sid, text) => ("ready", sid, None, Some(text.as_str())),
        ToOwner::Close(sid, cause) => ("close", sid, Some(*cause), None),
        ToOwner::Relocate(sid) => ("relocate", sid, None, None),
        ToOwner::Probed(sid, ok) => ("probed", sid, Some(u8::from(*ok)), None),
        ToOwner::Closed(sid) => ("closed", sid, None, None),
    };
    let line = Line {
        msg,
        sid: sid.to_string(),
        attrs: Map::new(),
        code,
        text,
    };
    // Nothing in it can fail to be written: all keys are text, and the writer is memory.
    if serde_json::to_writer(&mut *out, &line).is_ok() {
        out.push(b'\n');
    }
}
