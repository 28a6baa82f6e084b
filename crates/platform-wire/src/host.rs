//! Binary messages to and from hosts. A message is a length, a type, the id of a set-up and parameters; integers are
//! big-endian.

use crate::{Cause, MAX_MESSAGE_BYTES, SetupId};

/// Message types.
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

/// Parameter codes.
mod parameter {
    pub(super) const CLASS: u8 = 33;
    pub(super) const ANSWER_TIMEOUT: u8 = 35;
    pub(super) const TASK_NAME: u8 = 41;
    pub(super) const REPORT_CODE: u8 = 47;
    pub(super) const VALUE: u8 = 57;
    pub(super) const IDEMPOTENCY_KEY: u8 = 59;
    pub(super) const CAUSE: u8 = 61;
    pub(super) const DESCRIPTION: u8 = 63;
}

/// The size of the length field, which is not included in the length.
const LENGTH_BYTES: usize = 2;
/// The size of the type and the id, which follow the length in every message.
const HEADER_BYTES: usize = 9;

/// A message to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost<'a> {
    /// Offers a task.
    Setup {
        /// The id of the set-up.
        id: SetupId,
        /// The name of the task's class.
        class: &'a str,
        /// The name of the task.
        task_name: &'a str,
        /// The idempotency key, in classes that require one. It is the same for all attempts of the task.
        idempotency_key: Option<&'a str>,
        /// How long the placer waits for the answer, in milliseconds.
        answer_timeout_ms: u64,
        /// The description of the task.
        description: &'a str,
    },
    /// Cancels a set-up or ends a running task.
    Close {
        /// The id of the set-up.
        id: SetupId,
        /// The reason.
        cause: Cause,
    },
    /// Acknowledges a release.
    Closed {
        /// The id of the set-up.
        id: SetupId,
    },
    /// A health check of the connection, to which the host sends `Probed`.
    Probe {
        /// The id of the health check.
        id: SetupId,
    },
}

/// What a host reports on a task, in a report, a rejection or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportCode {
    /// The task is running.
    Running,
    /// The number of cores that the task uses.
    CoresUsed,
    /// The memory that the task uses.
    MemoryUsed,
    /// The service that the task gets, as a share of full service.
    ServiceShare,
    /// The share of the host's memory that is in use.
    HostMemoryUsed,
    /// Too few cores are free.
    InsufficientCores,
    /// Too little memory is free.
    InsufficientMemory,
    /// Too many offers are queued at the host.
    QueueFull,
    /// The host does not accept tasks of this kind.
    Ineligible,
    /// The task was evicted because memory ran out.
    Evicted,
    /// The task was preempted by one of higher priority.
    Preempted,
    /// The host ended the task because it drains.
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

/// A message from a host.
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
        /// The reason.
        cause: Cause,
        /// The reason in detail, if the host reports one.
        code: Option<ReportCode>,
    },
    /// The host reports on a task.
    Report {
        /// The id of the set-up.
        id: SetupId,
        /// What the host reports.
        code: ReportCode,
        /// The reported value, in the unit of the code, or 0 if the code has no value.
        value: f64,
    },
    /// The answer to a health check.
    Probed {
        /// Whether the connection is healthy.
        is_healthy: bool,
    },
    /// A message that needs no action.
    Ignored,
}

/// Why bytes from a host cannot be decoded. Except after [`DecodeError::InvalidParameter`], the start of the next message is not
/// reliably known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length is out of range.
    #[error(
        "message length {0} is out of range: expected at least {HEADER_BYTES}, and at most {MAX_MESSAGE_BYTES} including the length field"
    )]
    InvalidLength(usize),
    /// Hosts do not send messages of this type.
    #[error("unexpected message type {0}")]
    UnknownType(u8),
    /// The lengths of the parameters do not add up to the length of the message.
    #[error("parameters do not match the message length")]
    MalformedParameters,
    /// A parameter is missing or invalid.
    #[error("parameter {0} is missing or invalid")]
    InvalidParameter(u8),
}

/// The id and the length of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageHeader {
    /// The id of the set-up.
    pub id: SetupId,
    /// The length in bytes, with the length field.
    pub length: usize,
}

/// Decodes the header of the first message in `unread`. Returns none if the message is incomplete or its length is out of
/// range.
pub fn decode_header(unread: &[u8]) -> Option<MessageHeader> {
    let &[high, low, ref rest @ ..] = unread else {
        return None;
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !is_valid_length(length) {
        return None;
    }
    let message = rest.get(..length)?;
    let id = message[1..HEADER_BYTES].try_into().ok()?;
    Some(MessageHeader {
        id: SetupId(u64::from_be_bytes(id)),
        length: LENGTH_BYTES + length,
    })
}

/// Whether a length field, which does not count itself, is in range.
fn is_valid_length(length: usize) -> bool {
    (HEADER_BYTES..=MAX_MESSAGE_BYTES - LENGTH_BYTES).contains(&length)
}

/// Decodes the first message in `unread`. Returns it with its length in bytes, or none if it is incomplete.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message from a host.
pub fn decode(unread: &[u8]) -> Result<Option<(FromHost, usize)>, DecodeError> {
    let &[high, low, ref rest @ ..] = unread else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !is_valid_length(length) {
        return Err(DecodeError::InvalidLength(length));
    }
    // An unknown type is reported without waiting for the rest of the message, which may never arrive.
    if let Some(&kind) = rest.first()
        && !is_sent_by_hosts(kind)
    {
        return Err(DecodeError::UnknownType(kind));
    }
    let Some(message) = rest.get(..length) else {
        return Ok(None);
    };
    let (header, parameters) = message.split_at(HEADER_BYTES);
    let mut id = [0; 8];
    id.copy_from_slice(&header[1..]);
    let id = SetupId(u64::from_be_bytes(id));
    let decoded = decode_body(header[0], id, parameters)?;
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

/// The parameters that messages from hosts use.
#[derive(Default)]
struct Parameters<'a> {
    description: Option<&'a [u8]>,
    cause: Option<&'a [u8]>,
    report_code: Option<&'a [u8]>,
    value: Option<&'a [u8]>,
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
                parameter::VALUE => parameters.value = Some(value),
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

    fn value(&self) -> Result<f64, DecodeError> {
        match self.value.and_then(|bytes| std::str::from_utf8(bytes).ok()) {
            None => Ok(0.0),
            Some(text) => text
                .parse()
                .map_err(|_| DecodeError::InvalidParameter(parameter::VALUE)),
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
                value: parameters.value()?,
            },
            None => FromHost::Ignored,
        },
        kind::PROBED => FromHost::Probed {
            is_healthy: parameters.cause()? == Cause(1),
        },
        _ => FromHost::Ignored,
    })
}

/// Appends an encoded message to `out`.
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
            write_header(out, kind::OPEN, id);
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
            write_header(out, kind::CLOSE, id);
            write_parameter(out, parameter::CAUSE, &[cause.0]);
        }
        ToHost::Closed { id } => write_header(out, kind::CLOSED, id),
        ToHost::Probe { id } => {
            write_header(out, kind::PROBE, id);
            write_parameter(out, parameter::CAUSE, &[0]);
        }
    }
    let length = (out.len() - start - LENGTH_BYTES) as u16;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn write_header(out: &mut Vec<u8>, kind: u8, id: SetupId) {
    out.push(kind);
    out.extend_from_slice(&id.0.to_be_bytes());
}

fn write_parameter(out: &mut Vec<u8>, code: u8, value: &[u8]) {
    out.push(code);
    out.extend_from_slice(&(value.len() as u16).to_be_bytes());
    out.extend_from_slice(value);
}
