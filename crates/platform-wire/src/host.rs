//! Hosts' messages: a length, a type, a task's id and parameters, big-endian.

use crate::{LONGEST, Sid};

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
    SetUp {
        /// Its id.
        sid: Sid,
        /// The name of its class.
        class: &'a str,
        /// The name of the task.
        key: &'a str,
        /// In keyed classes.
        idem: Option<&'a str>,
        /// How long its answer is waited for, ms.
        left_ms: u64,
        /// The description.
        text: &'a str,
    },
    /// A set-up is given up, or a standing task released, with the cause.
    Close(Sid, u8),
    /// A release was heard.
    Closed(Sid),
    /// Does the connection work?
    Probe(Sid),
}

/// What hosts tell of a task in a note, a refusal or a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// The task runs.
    Live,
    /// Cores in use.
    Cores,
    /// Memory in use.
    Memory,
    /// The share of full service.
    Served,
    /// The share of the host's memory in use.
    Pressure,
    /// No cores.
    NoCores,
    /// No memory.
    NoMemory,
    /// Too many offers wait.
    NoLine,
    /// Not here.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Pushed out.
    PushedOut,
    /// Sent away.
    SentAway,
}

impl Told {
    fn parse(word: &[u8]) -> Option<Told> {
        Some(match word {
            b"live" => Told::Live,
            b"c" => Told::Cores,
            b"m" => Told::Memory,
            b"s" => Told::Served,
            b"p" => Told::Pressure,
            b"nc" => Told::NoCores,
            b"nm" => Told::NoMemory,
            b"nq" => Told::NoLine,
            b"nh" => Told::NotHere,
            b"ev" => Told::Evicted,
            b"pre" => Told::PushedOut,
            b"dr" => Told::SentAway,
            _ => return None,
        })
    }
}

/// What hosts send.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// An answer, with its description: the task stands.
    Ready(Sid, String),
    /// A refusal or a release, with its cause and what is told of it.
    Close(Sid, u8, Option<Told>),
    /// A note on a task, with its figure.
    Event(Sid, Told, f64),
    /// A test was passed or not.
    Probed(bool),
    /// Something that means nothing more.
    Idle,
}

/// Why the bytes of a host can't be read. Where the next message begins is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A length that no message has.
    #[error("a message of {0} bytes")]
    Length(usize),
    /// A type that no host sends.
    #[error("a message of type {0}")]
    Type(u8),
    /// Parameters that don't fill the message.
    #[error("parameters that don't fit the message's length")]
    Parameters,
    /// A parameter that is missing or can't be read.
    #[error("parameter {0}: missing or not readable")]
    Parameter(u8),
}

/// Takes one message from the front of `unread`; returns it and how many bytes it takes, or nothing while it is not
/// whole.
pub fn read(unread: &[u8]) -> Result<Option<(FromHost, usize)>, Fault> {
    let &[high, low, ref rest @ ..] = unread else {
        return Ok(None);
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !(9..=LONGEST - 2).contains(&length) {
        return Err(Fault::Length(length));
    }
    // A type that is none is told before the rest of its message comes, if it ever does.
    if let Some(&kind) = rest.first()
        && !matches!(
            kind,
            TRYING | READY | CLOSE | CLOSED | EVENT | RELOCATE | PROBE | PROBED
        )
    {
        return Err(Fault::Type(kind));
    }
    let Some(message) = rest.get(..length) else {
        return Ok(None);
    };
    let mut sid = [0; 8];
    sid.copy_from_slice(&message[1..9]);
    let sid = Sid(u64::from_be_bytes(sid));
    Ok(Some((body(message[0], sid, &message[9..])?, length + 2)))
}

fn body(kind: u8, sid: Sid, mut parameters: &[u8]) -> Result<FromHost, Fault> {
    let (mut text, mut cause, mut note, mut figure) = (None, None, None, None);
    while let [code, high, low, rest @ ..] = parameters {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = rest.get(..length).ok_or(Fault::Parameters)?;
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
        return Err(Fault::Parameters);
    }
    let cause = || match cause {
        Some(&[cause]) => Ok(cause),
        _ => Err(Fault::Parameter(CAUSE)),
    };
    Ok(match kind {
        READY => {
            let text = text
                .and_then(|t| std::str::from_utf8(t).ok())
                .ok_or(Fault::Parameter(TEXT))?;
            FromHost::Ready(sid, text.to_owned())
        }
        CLOSE => FromHost::Close(sid, cause()?, note.and_then(Told::parse)),
        EVENT => match note.and_then(Told::parse) {
            Some(told) => {
                let figure = figure.and_then(|f| std::str::from_utf8(f).ok());
                let figure =
                    figure.map_or(Ok(0.0), |f| f.parse().map_err(|_| Fault::Parameter(FIGURE)))?;
                FromHost::Event(sid, told, figure)
            }
            None => FromHost::Idle,
        },
        PROBED => FromHost::Probed(cause()? == 1),
        _ => FromHost::Idle,
    })
}

/// Adds a message.
pub fn write(out: &mut Vec<u8>, message: &ToHost) {
    let start = out.len();
    out.extend_from_slice(&[0, 0]);
    let head = |out: &mut Vec<u8>, kind: u8, sid: Sid| {
        out.push(kind);
        out.extend_from_slice(&sid.0.to_be_bytes());
    };
    let parameter = |out: &mut Vec<u8>, code: u8, value: &[u8]| {
        out.push(code);
        out.extend_from_slice(&(value.len() as u16).to_be_bytes());
        out.extend_from_slice(value);
    };
    match *message {
        ToHost::SetUp {
            sid,
            class,
            key,
            idem,
            left_ms,
            text,
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
