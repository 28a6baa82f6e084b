//! Frames of the host protocol, described in `docs/host-protocol.md`.
//!
//! A frame is a length (4 bytes, little endian, of what follows it), a type (1 byte) and fields. Numbers are
//! little endian, texts carry their length in 2 bytes. A reader passes over frame types that it does not know
//! and over bytes after the last field that it knows, so a newer minor version can add both.

/// The protocol's major version; peers of another one do not talk.
pub const MAJOR: u16 = 1;
/// The minor version: later ones add frames and fields at the end.
pub const MINOR: u16 = 1;
/// The longest frame, with its type and without its length.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
const MAGIC: u32 = 0x4854_504d;

/// Cores and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceAmounts {
    /// Cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
}

/// What a second start does, for the host that has to recognise copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicatePolicy {
    /// No harm.
    Idempotent,
    /// The group lets one copy of the key stand.
    IdempotencyKey(u64),
    /// Harm.
    NonIdempotent,
}

/// A task as it is offered, and as a host names it again after a reconnect.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The attempt, unique over all lives of the placer that made it.
    pub attempt_id: u64,
    /// How many attempts of this placing came before.
    pub prior_attempts: u32,
    /// The service.
    pub service: String,
    /// The actor.
    pub actor: String,
    /// The class, by name.
    pub class: String,
    /// The request id that follows the placing from the client on.
    pub request_id: String,
    /// What it asks for.
    pub requested: ResourceAmounts,
    /// Higher ones push out lower ones.
    pub priority: u32,
    /// What a second start does.
    pub duplicate_policy: DuplicatePolicy,
    /// How long it should run, in ms; 0 if that is not known.
    pub expected_duration_ms: u64,
    /// How long the placer waits for the answer, in ms.
    pub answer_timeout_ms: u32,
}

/// Why an attempt was refused or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Reason {
    /// Not told.
    Unknown = 0,
    /// Too few cores.
    Cores = 1,
    /// Too little memory.
    Memory = 2,
    /// Too many offers wait.
    QueueFull = 3,
    /// Wrong kind, draining, too late, or a copy stands.
    Ineligible = 4,
    /// Evicted for memory.
    Evicted = 5,
    /// Pushed out by a higher priority.
    Preempted = 6,
    /// Sent away by a draining host.
    Drained = 7,
    /// The task came to its end.
    Completed = 8,
    /// Stopped on the placer's word, or called off.
    Stopped = 9,
    /// The host failed it; it may have run.
    Error = 10,
}

impl Reason {
    /// By number; a newer peer's is not known.
    pub fn from_byte(byte: u8) -> Reason {
        use Reason::*;
        let all = [
            Unknown, Cores, Memory, QueueFull, Ineligible, Evicted, Preempted, Drained, Completed,
            Stopped, Error,
        ];
        all.get(usize::from(byte)).copied().unwrap_or(Unknown)
    }

    /// As it stands in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Unknown => "unknown",
            Reason::Cores => "cores",
            Reason::Memory => "memory",
            Reason::QueueFull => "line",
            Reason::Ineligible => "not_here",
            Reason::Evicted => "evicted",
            Reason::Preempted => "pushed_out",
            Reason::Drained => "sent_away",
            Reason::Completed => "done",
            Reason::Stopped => "stopped",
            Reason::Error => "error",
        }
    }
}

/// What a [`Frame::Note`] tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum NoteKind {
    /// Cores that the task uses.
    Cores = 1,
    /// Memory that it uses, GiB.
    Memory = 2,
    /// The share of full service that it gets.
    ServedShare = 3,
    /// The share of the host's memory in use.
    HostMemoryShare = 4,
}

/// A message of the host protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// First of both sides.
    Hello {
        /// Major version.
        major: u16,
        /// Minor version.
        minor: u16,
        /// The sender's name: a placer's outlives its restarts, a host's is that in the inventory.
        name: String,
        /// When the sender's process started, Unix time in ms.
        started_ms: u64,
        /// The most offers that the sender lets wait on this connection (0 from a placer).
        max_offers: u32,
    },
    /// Placer: a task for this host.
    Offer(Offer),
    /// Placer: nobody waits for this attempt any more; stop it if it was accepted.
    Cancel(u64),
    /// Placer: stop an accepted task.
    Stop(u64),
    /// Placer: say what is free.
    Probe(u32),
    /// Either: say that you live.
    Ping(u32),
    /// Either: I live.
    Pong(u32),
    /// Host: the task is accepted; with the time since the offer was read, ms.
    Accepted(u64, u32),
    /// Host: the task is turned down and never ran.
    Refused(u64, Reason, Option<ResourceAmounts>),
    /// Host: the task runs; with the time since the offer was read, ms.
    Started(u64, u32),
    /// Host: an accepted task, or one that may have run, has ended; with whether it ever ran.
    Ended(u64, Reason, bool, Option<ResourceAmounts>),
    /// Host: how a task fares.
    Note(u64, NoteKind, f64),
    /// Host: the answer to a probe.
    Report(u32, ResourceAmounts),
    /// Host: nothing new from now on.
    Drain,
    /// Host, after its hello: a task of this placer that it holds, and whether it runs yet.
    Held(Offer, bool),
    /// Host: all that it holds has been named.
    HeldEnd,
    /// Either: the connection ends, and why.
    Bye(String),
}

/// A stream that is not the host protocol, or a peer that breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A frame longer than allowed.
    #[error("frame of {0} bytes is too long")]
    TooLong(usize),
    /// A frame without a type.
    #[error("empty frame")]
    Empty,
    /// A frame that ends before its last field.
    #[error("frame of type {0} is cut short")]
    Truncated(u8),
    /// A text that is not UTF-8.
    #[error("frame of type {0} holds a text that is not UTF-8")]
    InvalidText(u8),
    /// A number that is not finite, or a value that does not exist.
    #[error("frame of type {0} holds a bad value")]
    InvalidValue(u8),
    /// A hello without the protocol's mark.
    #[error("not the host protocol")]
    NotHostProtocol,
}

struct FieldReader<'a> {
    kind: u8,
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], FrameError> {
        let (part, rest) = self
            .rest
            .split_at_checked(n)
            .ok_or(FrameError::Truncated(self.kind))?;
        self.rest = rest;
        Ok(part)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, FrameError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, FrameError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    fn f64(&mut self) -> Result<f64, FrameError> {
        let x = f64::from_le_bytes(self.array()?);
        if x.is_finite() {
            Ok(x)
        } else {
            Err(FrameError::InvalidValue(self.kind))
        }
    }

    fn string(&mut self) -> Result<String, FrameError> {
        let n = usize::from(self.u16()?);
        let text =
            std::str::from_utf8(self.bytes(n)?).map_err(|_| FrameError::InvalidText(self.kind))?;
        Ok(text.to_owned())
    }

    fn resources(&mut self) -> Result<ResourceAmounts, FrameError> {
        Ok(ResourceAmounts {
            cores: self.f64()?,
            memory_gib: self.f64()?,
        })
    }

    fn optional_resources(&mut self) -> Result<Option<ResourceAmounts>, FrameError> {
        if self.u8()? == 0 {
            Ok(None)
        } else {
            self.resources().map(Some)
        }
    }

    fn offer(&mut self) -> Result<Offer, FrameError> {
        Ok(Offer {
            attempt_id: self.u64()?,
            prior_attempts: self.u32()?,
            service: self.string()?,
            actor: self.string()?,
            class: self.string()?,
            request_id: self.string()?,
            requested: self.resources()?,
            priority: self.u32()?,
            duplicate_policy: match (self.u8()?, self.u64()?) {
                (0, _) => DuplicatePolicy::Idempotent,
                (1, key) => DuplicatePolicy::IdempotencyKey(key),
                (2, _) => DuplicatePolicy::NonIdempotent,
                _ => return Err(FrameError::InvalidValue(self.kind)),
            },
            expected_duration_ms: self.u64()?,
            answer_timeout_ms: self.u32()?,
        })
    }
}

/// Takes the next known frame from the front of `unread`, and tells how many bytes were used. Without a frame,
/// more bytes are needed; frames of unknown types are used up on the way.
///
/// # Errors
///
/// A frame that is malformed or too long. The stream can't be read any further.
pub fn decode(unread: &[u8]) -> Result<(Option<Frame>, usize), FrameError> {
    let mut used = 0;
    loop {
        let rest = &unread[used..];
        let Some((length, rest)) = rest.split_first_chunk::<4>() else {
            return Ok((None, used));
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if length == 0 {
            return Err(FrameError::Empty);
        }
        let Some(body) = rest.get(..length) else {
            return Ok((None, used));
        };
        used += 4 + length;
        if let Some(frame) = decode_body(body)? {
            return Ok((Some(frame), used));
        }
    }
}

fn decode_body(body: &[u8]) -> Result<Option<Frame>, FrameError> {
    let mut f = FieldReader {
        kind: body[0],
        rest: &body[1..],
    };
    Ok(Some(match f.kind {
        1 => {
            if f.u32()? != MAGIC {
                return Err(FrameError::NotHostProtocol);
            }
            Frame::Hello {
                major: f.u16()?,
                minor: f.u16()?,
                name: f.string()?,
                started_ms: f.u64()?,
                max_offers: f.u32()?,
            }
        }
        2 => Frame::Offer(f.offer()?),
        3 => Frame::Cancel(f.u64()?),
        4 => Frame::Stop(f.u64()?),
        5 => Frame::Probe(f.u32()?),
        6 => Frame::Ping(f.u32()?),
        7 => Frame::Pong(f.u32()?),
        8 => Frame::Accepted(f.u64()?, f.u32()?),
        9 => Frame::Refused(
            f.u64()?,
            Reason::from_byte(f.u8()?),
            f.optional_resources()?,
        ),
        10 => Frame::Started(f.u64()?, f.u32()?),
        11 => Frame::Ended(
            f.u64()?,
            Reason::from_byte(f.u8()?),
            f.u8()? != 0,
            f.optional_resources()?,
        ),
        12 => {
            let (attempt, kind, x) = (f.u64()?, f.u8()?, f.f64()?);
            let kind = match kind {
                1 => NoteKind::Cores,
                2 => NoteKind::Memory,
                3 => NoteKind::ServedShare,
                4 => NoteKind::HostMemoryShare,
                // A newer peer's note.
                _ => return Ok(None),
            };
            Frame::Note(attempt, kind, x)
        }
        13 => Frame::Report(f.u32()?, f.resources()?),
        14 => Frame::Drain,
        15 => Frame::Held(f.offer()?, f.u8()? != 0),
        16 => Frame::HeldEnd,
        17 => Frame::Bye(f.string()?),
        _ => return Ok(None),
    }))
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    // A longer text is cut at a character: names are bounded long before this by whoever takes them in.
    let mut n = text.len().min(8 << 10);
    while !text.is_char_boundary(n) {
        n -= 1;
    }
    out.extend_from_slice(&(n as u16).to_le_bytes());
    out.extend_from_slice(&text.as_bytes()[..n]);
}

fn put_resources(out: &mut Vec<u8>, load: ResourceAmounts) {
    out.extend_from_slice(&load.cores.to_le_bytes());
    out.extend_from_slice(&load.memory_gib.to_le_bytes());
}

fn put_optional_resources(out: &mut Vec<u8>, load: Option<ResourceAmounts>) {
    out.push(u8::from(load.is_some()));
    if let Some(load) = load {
        put_resources(out, load);
    }
}

fn put_offer(out: &mut Vec<u8>, offer: &Offer) {
    out.extend_from_slice(&offer.attempt_id.to_le_bytes());
    out.extend_from_slice(&offer.prior_attempts.to_le_bytes());
    for text in [
        &offer.service,
        &offer.actor,
        &offer.class,
        &offer.request_id,
    ] {
        put_text(out, text);
    }
    put_resources(out, offer.requested);
    out.extend_from_slice(&offer.priority.to_le_bytes());
    let (kind, key) = match offer.duplicate_policy {
        DuplicatePolicy::Idempotent => (0, 0),
        DuplicatePolicy::IdempotencyKey(key) => (1, key),
        DuplicatePolicy::NonIdempotent => (2, 0),
    };
    out.push(kind);
    out.extend_from_slice(&key.to_le_bytes());
    out.extend_from_slice(&offer.expected_duration_ms.to_le_bytes());
    out.extend_from_slice(&offer.answer_timeout_ms.to_le_bytes());
}

/// Adds a frame to `out`.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let numbered = |out: &mut Vec<u8>, kind: u8, attempt: &u64| {
        out.push(kind);
        out.extend_from_slice(&attempt.to_le_bytes());
    };
    let counted = |out: &mut Vec<u8>, kind: u8, nonce: &u32| {
        out.push(kind);
        out.extend_from_slice(&nonce.to_le_bytes());
    };
    match frame {
        Frame::Hello {
            major,
            minor,
            name,
            started_ms,
            max_offers: most_offers,
        } => {
            out.push(1);
            out.extend_from_slice(&MAGIC.to_le_bytes());
            out.extend_from_slice(&major.to_le_bytes());
            out.extend_from_slice(&minor.to_le_bytes());
            put_text(out, name);
            out.extend_from_slice(&started_ms.to_le_bytes());
            out.extend_from_slice(&most_offers.to_le_bytes());
        }
        Frame::Offer(offer) => {
            out.push(2);
            put_offer(out, offer);
        }
        Frame::Cancel(attempt) => numbered(out, 3, attempt),
        Frame::Stop(attempt) => numbered(out, 4, attempt),
        Frame::Probe(nonce) => counted(out, 5, nonce),
        Frame::Ping(nonce) => counted(out, 6, nonce),
        Frame::Pong(nonce) => counted(out, 7, nonce),
        Frame::Accepted(attempt, took) => {
            numbered(out, 8, attempt);
            out.extend_from_slice(&took.to_le_bytes());
        }
        Frame::Refused(attempt, reason, load) => {
            numbered(out, 9, attempt);
            out.push(*reason as u8);
            put_optional_resources(out, *load);
        }
        Frame::Started(attempt, took) => {
            numbered(out, 10, attempt);
            out.extend_from_slice(&took.to_le_bytes());
        }
        Frame::Ended(attempt, reason, ran, load) => {
            numbered(out, 11, attempt);
            out.extend_from_slice(&[*reason as u8, u8::from(*ran)]);
            put_optional_resources(out, *load);
        }
        Frame::Note(attempt, kind, x) => {
            numbered(out, 12, attempt);
            out.push(*kind as u8);
            out.extend_from_slice(&x.to_le_bytes());
        }
        Frame::Report(nonce, load) => {
            counted(out, 13, nonce);
            put_resources(out, *load);
        }
        Frame::Drain => out.push(14),
        Frame::Held(offer, runs) => {
            out.push(15);
            put_offer(out, offer);
            out.push(u8::from(*runs));
        }
        Frame::HeldEnd => out.push(16),
        Frame::Bye(why) => {
            out.push(17);
            put_text(out, why);
        }
    }
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
}
