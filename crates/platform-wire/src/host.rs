//! Hosts' messages: a length, a type, a task's id and parameters, big-endian.

use crate::{MAX_MESSAGE_BYTES, SetupId};

const OPEN: u8 = 1;
const TRYING: u8 = 6;
const READY: u8 = 9;
const CLOSE: u8 = 12;
const CLOSED: u8 = 16;
const EVENT: u8 = 44;
const RELOCATE: u8 = 51;
const PROBE: u8 = 52;
const PROBED: u8 = 53;

const CLASS: u8 = 33;
const LEFT: u8 = 35;
const KEY: u8 = 41;
const NOTE: u8 = 47;
const FIGURE: u8 = 57;
const IDEM: u8 = 59;
const CAUSE: u8 = 61;
const TEXT: u8 = 63;

/// What is sent to hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost<'a> {
    /// A set-up.
    Setup {
        /// Its id.
        id: SetupId,
        /// The name of its class.
        class: &'a str,
        /// The name of the task.
        task_name: &'a str,
        /// In keyed classes.
        idempotency_key: Option<&'a str>,
        /// How long its answer is waited for, ms.
        answer_timeout_ms: u64,
        /// The description.
        description: &'a str,
    },
    /// A set-up is given up, or a standing task released, with the cause.
    Close(SetupId, u8),
    /// A release was heard.
    Closed(SetupId),
    /// Does the connection work?
    Probe(SetupId),
}

/// What hosts tell of a task in a note, a refusal or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportCode {
    /// The task runs.
    Running,
    /// Cores in use.
    CoresUsed,
    /// Memory in use.
    MemoryUsed,
    /// The share of full service.
    ServiceShare,
    /// The share of the host's memory in use.
    HostMemoryUsed,
    /// No cores.
    InsufficientCores,
    /// No memory.
    InsufficientMemory,
    /// Too many offers wait.
    QueueFull,
    /// Not here.
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out.
    Preempted,
    /// Sent away.
    Drained,
}

impl ReportCode {
    fn parse(word: &[u8]) -> Option<ReportCode> {
        Some(match word {
            b"live" => ReportCode::Running,
            b"c" => ReportCode::CoresUsed,
            b"m" => ReportCode::MemoryUsed,
            b"s" => ReportCode::ServiceShare,
            b"p" => ReportCode::HostMemoryUsed,
            b"nc" => ReportCode::InsufficientCores,
            b"nm" => ReportCode::InsufficientMemory,
            b"nq" => ReportCode::QueueFull,
            b"nh" => ReportCode::Ineligible,
            b"ev" => ReportCode::Evicted,
            b"pre" => ReportCode::Preempted,
            b"dr" => ReportCode::Drained,
            _ => return None,
        })
    }
}

/// What hosts send.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// An answer, with its description: the task stands.
    Ready(SetupId, String),
    /// A refusal or a release, with its cause and what is told of it.
    Close(SetupId, u8, Option<ReportCode>),
    /// A note on a task, with its figure.
    Report(SetupId, ReportCode, f64),
    /// A test was passed or not.
    Probed(bool),
    /// Something that means nothing more.
    Ignored,
}

/// Why the bytes of a host can't be read. Where the next message begins is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A length that no message has.
    #[error("a message of {0} bytes")]
    InvalidLength(usize),
    /// A type that no host sends.
    #[error("a message of type {0}")]
    UnknownType(u8),
    /// Parameters that don't fill the message.
    #[error("parameters that don't fit the message's length")]
    MalformedParameters,
    /// A parameter that is missing or can't be read.
    #[error("parameter {0}: missing or not readable")]
    InvalidParameter(u8),
}

/// Takes one message from the front of `unread`; returns it and how many bytes it takes, or nothing while it is not
/// whole.
pub fn decode(unread: &[u8]) -> Result<Option<(FromHost, usize)>, DecodeError> {
    let &[high, low, ref rest @ ..] = unread else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !(9..=MAX_MESSAGE_BYTES - 2).contains(&length) {
        return Err(DecodeError::InvalidLength(length));
    }
    // A type that is none is told before the rest of its message comes, if it ever does.
    if let Some(&kind) = rest.first()
        && !matches!(
            kind,
            TRYING | READY | CLOSE | CLOSED | EVENT | RELOCATE | PROBE | PROBED
        )
    {
        return Err(DecodeError::UnknownType(kind));
    }
    let Some(message) = rest.get(..length) else {
        return Ok(None);
    };
    let mut sid = [0; 8];
    sid.copy_from_slice(&message[1..9]);
    let sid = SetupId(u64::from_be_bytes(sid));
    Ok(Some((
        decode_body(message[0], sid, &message[9..])?,
        length + 2,
    )))
}

fn decode_body(kind: u8, sid: SetupId, mut parameters: &[u8]) -> Result<FromHost, DecodeError> {
    let (mut text, mut cause, mut note, mut figure) = (None, None, None, None);
    while let [code, high, low, rest @ ..] = parameters {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = rest.get(..length).ok_or(DecodeError::MalformedParameters)?;
        match *code {
            TEXT => text = Some(value),
            CAUSE => cause = Some(value),
            NOTE => note = Some(value),
            FIGURE => figure = Some(value),
            _ => {}
        }
        parameters = &rest[length..];
    }
    if !parameters.is_empty() {
        return Err(DecodeError::MalformedParameters);
    }
    let cause = || match cause {
        Some(&[cause]) => Ok(cause),
        _ => Err(DecodeError::InvalidParameter(CAUSE)),
    };
    Ok(match kind {
        READY => {
            let text = text
                .and_then(|t| std::str::from_utf8(t).ok())
                .ok_or(DecodeError::InvalidParameter(TEXT))?;
            FromHost::Ready(sid, text.to_owned())
        }
        CLOSE => FromHost::Close(sid, cause()?, note.and_then(ReportCode::parse)),
        EVENT => match note.and_then(ReportCode::parse) {
            Some(told) => {
                let figure = figure.and_then(|f| std::str::from_utf8(f).ok());
                let figure = figure.map_or(Ok(0.0), |f| {
                    f.parse().map_err(|_| DecodeError::InvalidParameter(FIGURE))
                })?;
                FromHost::Report(sid, told, figure)
            }
            None => FromHost::Ignored,
        },
        PROBED => FromHost::Probed(cause()? == 1),
        _ => FromHost::Ignored,
    })
}

/// Adds a message.
pub fn encode(out: &mut Vec<u8>, message: &ToHost) {
    let start = out.len();
    out.extend_from_slice(&[0, 0]);
    let head = |out: &mut Vec<u8>, kind: u8, sid: SetupId| {
        out.push(kind);
        out.extend_from_slice(&sid.0.to_be_bytes());
    };
    let parameter = |out: &mut Vec<u8>, code: u8, value: &[u8]| {
        out.push(code);
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    };
    match *message {
        ToHost::Setup {
            id: sid,
            class,
            task_name: key,
            idempotency_key: idem,
            answer_timeout_ms: left_ms,
            description: text,
        } => {
            head(out, OPEN, sid);
            parameter(out, CLASS, class.as_bytes());
            parameter(out, LEFT, left_ms.to_string().as_bytes());
            parameter(out, KEY, key.as_bytes());
            if let Some(idem) = idem {
                parameter(out, IDEM, idem.as_bytes());
            }
            parameter(out, TEXT, text.as_bytes());
        }
        ToHost::Close(sid, cause) => {
            head(out, CLOSE, sid);
            parameter(out, CAUSE, &[cause]);
        }
        ToHost::Closed(sid) => head(out, CLOSED, sid),
        ToHost::Probe(sid) => {
            head(out, PROBE, sid);
            parameter(out, CAUSE, &[0]);
        }
    }
    let length = (out.len() - start - 2) as u16;
    out[start..start + 2].copy_from_slice(&length.to_be_bytes());
}
