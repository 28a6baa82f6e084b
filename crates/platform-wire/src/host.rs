//! Hosts' messages: a length, a type, the id of a set-up and parameters, big-endian.

use crate::{Cause, MAX_MESSAGE_BYTES, SetupId};

/// Types of messages.
mod kind {
    pub(super) const OPEN: u8 = 1;
    pub(super) const TRYING: u8 = 6;
    pub(super) const READY: u8 = 9;
    pub(super) const CLOSE: u8 = 12;
    pub(super) const CLOSED: u8 = 16;
    pub(super) const EVENT: u8 = 44;
    pub(super) const RELOCATE: u8 = 51;
    pub(super) const PROBE: u8 = 52;
    pub(super) const PROBED: u8 = 53;
}

/// Codes of parameters.
mod parameter {
    pub(super) const CLASS: u8 = 33;
    pub(super) const ANSWER_TIMEOUT: u8 = 35;
    pub(super) const TASK_NAME: u8 = 41;
    pub(super) const REPORT_CODE: u8 = 47;
    pub(super) const FIGURE: u8 = 57;
    pub(super) const IDEMPOTENCY_KEY: u8 = 59;
    pub(super) const CAUSE: u8 = 61;
    pub(super) const DESCRIPTION: u8 = 63;
}

/// Bytes of the length field, which does not count itself.
const LENGTH_BYTES: usize = 2;
/// Bytes of the type and the id, with which every message begins after its length.
const HEAD_BYTES: usize = 9;

/// A message to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost<'a> {
    /// A task is offered.
    Setup {
        /// The id of the set-up.
        id: SetupId,
        /// The name of the task's class.
        class: &'a str,
        /// The name of the task.
        task_name: &'a str,
        /// In classes that have one: the same for all attempts of the task.
        idempotency_key: Option<&'a str>,
        /// How long the answer is waited for, in milliseconds.
        answer_timeout_ms: u64,
        /// The description of the task.
        description: &'a str,
    },
    /// A set-up is given up, or a running task is ended.
    Close {
        /// The id of the set-up.
        id: SetupId,
        /// Why.
        cause: Cause,
    },
    /// A release was received.
    Closed {
        /// The id of the set-up.
        id: SetupId,
    },
    /// A health check of the connection, which the host answers.
    Probe {
        /// An id of its own.
        id: SetupId,
    },
}

/// What a host reports of a task, as the code word of a report, a rejection or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportCode {
    /// The task runs.
    Running,
    /// Cores that the task uses.
    CoresUsed,
    /// Memory that the task uses.
    MemoryUsed,
    /// The share of full service that the task gets.
    ServiceShare,
    /// The share of the host's memory that is in use.
    HostMemoryUsed,
    /// Too few cores are free.
    InsufficientCores,
    /// Too little memory is free.
    InsufficientMemory,
    /// Too many offers wait at the host.
    QueueFull,
    /// The host does not accept such a task.
    Ineligible,
    /// The task was evicted because memory ran out.
    Evicted,
    /// The task was preempted by one of higher priority.
    Preempted,
    /// The host drains and gave the task up.
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

/// A message of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// The host accepted a set-up: the task is placed.
    Ready {
        /// The id of the set-up.
        id: SetupId,
        /// The host's description of the task.
        description: String,
    },
    /// The host rejected a set-up, or released a task.
    Close {
        /// The id of the set-up.
        id: SetupId,
        /// Why.
        cause: Cause,
        /// What the host reports of the reason.
        code: Option<ReportCode>,
    },
    /// The host reports on a task.
    Report {
        /// The id of the set-up.
        id: SetupId,
        /// What it reports.
        code: ReportCode,
        /// The reported figure, in the unit that belongs to the code; 0 if it has none.
        figure: f64,
    },
    /// The answer to a health check.
    Probed {
        /// Whether the connection is in order.
        is_healthy: bool,
    },
    /// A message that needs no action.
    Ignored,
}

/// Why bytes of a host can't be decoded. Where the next message begins is lost with the error.
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
    /// A parameter that is missing or invalid.
    #[error("parameter {0}: missing or not readable")]
    InvalidParameter(u8),
}

/// Decodes the message at the front of `unread`. Returns it with the number of bytes it takes, or nothing while it is
/// incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are no message of a host.
pub fn decode(unread: &[u8]) -> Result<Option<(FromHost, usize)>, DecodeError> {
    let &[high, low, ref rest @ ..] = unread else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !(HEAD_BYTES..=MAX_MESSAGE_BYTES - LENGTH_BYTES).contains(&length) {
        return Err(DecodeError::InvalidLength(length));
    }
    // An unknown type is reported before the rest of its message arrives, if it ever does.
    if let Some(&kind) = rest.first()
        && !is_sent_by_hosts(kind)
    {
        return Err(DecodeError::UnknownType(kind));
    }
    let Some(message) = rest.get(..length) else {
        return Ok(None);
    };
    let (head, parameters) = message.split_at(HEAD_BYTES);
    let mut id = [0; 8];
    id.copy_from_slice(&head[1..]);
    let id = SetupId(u64::from_be_bytes(id));
    let decoded = decode_body(head[0], id, parameters)?;
    Ok(Some((decoded, LENGTH_BYTES + length)))
}

fn is_sent_by_hosts(kind: u8) -> bool {
    matches!(
        kind,
        kind::TRYING
            | kind::READY
            | kind::CLOSE
            | kind::CLOSED
            | kind::EVENT
            | kind::RELOCATE
            | kind::PROBE
            | kind::PROBED
    )
}

/// The parameters of a message that have a meaning here.
#[derive(Default)]
struct Parameters<'a> {
    description: Option<&'a [u8]>,
    cause: Option<&'a [u8]>,
    report_code: Option<&'a [u8]>,
    figure: Option<&'a [u8]>,
}

impl<'a> Parameters<'a> {
    fn parse(mut bytes: &'a [u8]) -> Result<Parameters<'a>, DecodeError> {
        let mut parameters = Parameters::default();
        while let [code, high, low, rest @ ..] = bytes {
            let length = usize::from(u16::from_be_bytes([*high, *low]));
            let value = rest.get(..length).ok_or(DecodeError::MalformedParameters)?;
            match *code {
                parameter::DESCRIPTION => parameters.description = Some(value),
                parameter::CAUSE => parameters.cause = Some(value),
                parameter::REPORT_CODE => parameters.report_code = Some(value),
                parameter::FIGURE => parameters.figure = Some(value),
                _ => {}
            }
            bytes = &rest[length..];
        }
        if bytes.is_empty() {
            Ok(parameters)
        } else {
            Err(DecodeError::MalformedParameters)
        }
    }

    fn cause(&self) -> Result<Cause, DecodeError> {
        match self.cause {
            Some(&[cause]) => Ok(Cause(cause)),
            _ => Err(DecodeError::InvalidParameter(parameter::CAUSE)),
        }
    }

    fn description(&self) -> Result<String, DecodeError> {
        self.description
            .and_then(|bytes| std::str::from_utf8(bytes).ok())
            .map(str::to_owned)
            .ok_or(DecodeError::InvalidParameter(parameter::DESCRIPTION))
    }

    fn report_code(&self) -> Option<ReportCode> {
        self.report_code.and_then(ReportCode::parse)
    }

    fn figure(&self) -> Result<f64, DecodeError> {
        match self
            .figure
            .and_then(|bytes| std::str::from_utf8(bytes).ok())
        {
            None => Ok(0.0),
            Some(text) => text
                .parse()
                .map_err(|_| DecodeError::InvalidParameter(parameter::FIGURE)),
        }
    }
}

fn decode_body(kind: u8, id: SetupId, parameters: &[u8]) -> Result<FromHost, DecodeError> {
    let parameters = Parameters::parse(parameters)?;
    Ok(match kind {
        kind::READY => FromHost::Ready {
            id,
            description: parameters.description()?,
        },
        kind::CLOSE => FromHost::Close {
            id,
            cause: parameters.cause()?,
            code: parameters.report_code(),
        },
        kind::EVENT => match parameters.report_code() {
            Some(code) => FromHost::Report {
                id,
                code,
                figure: parameters.figure()?,
            },
            None => FromHost::Ignored,
        },
        kind::PROBED => FromHost::Probed {
            is_healthy: parameters.cause()? == Cause(1),
        },
        _ => FromHost::Ignored,
    })
}

/// Appends a message to `out`.
pub fn encode(out: &mut Vec<u8>, message: &ToHost) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    match *message {
        ToHost::Setup {
            id,
            class,
            task_name,
            idempotency_key,
            answer_timeout_ms,
            description,
        } => {
            write_head(out, kind::OPEN, id);
            write_parameter(out, parameter::CLASS, class.as_bytes());
            let answer_timeout = answer_timeout_ms.to_string();
            write_parameter(out, parameter::ANSWER_TIMEOUT, answer_timeout.as_bytes());
            write_parameter(out, parameter::TASK_NAME, task_name.as_bytes());
            if let Some(key) = idempotency_key {
                write_parameter(out, parameter::IDEMPOTENCY_KEY, key.as_bytes());
            }
            write_parameter(out, parameter::DESCRIPTION, description.as_bytes());
        }
        ToHost::Close { id, cause } => {
            write_head(out, kind::CLOSE, id);
            write_parameter(out, parameter::CAUSE, &[cause.0]);
        }
        ToHost::Closed { id } => write_head(out, kind::CLOSED, id),
        ToHost::Probe { id } => {
            write_head(out, kind::PROBE, id);
            write_parameter(out, parameter::CAUSE, &[0]);
        }
    }
    let length = (out.len() - start - LENGTH_BYTES) as u16;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn write_head(out: &mut Vec<u8>, kind: u8, id: SetupId) {
    out.push(kind);
    out.extend_from_slice(&id.0.to_be_bytes());
}

fn write_parameter(out: &mut Vec<u8>, code: u8, value: &[u8]) {
    out.push(code);
    out.extend_from_slice(&(value.len() as u16).to_be_bytes());
    out.extend_from_slice(value);
}
