//! Frames of the host protocol, described in `docs/host-protocol.md`.
//!
//! A frame consists of a length (4 bytes, for the bytes that follow it), a type (1 byte) and fields. Numbers are little
//! endian; a string is preceded by its length in 2 bytes. A reader skips unknown frame types and any bytes after the
//! last known field, so that a newer minor version can add both.

/// The major version of the protocol; peers with different ones do not communicate.
pub const MAJOR: u16 = 1;
/// The minor version; later ones add frames, and fields at the end of frames.
pub const MINOR: u16 = 1;
/// Maximum length of a frame, including its type but not its length field.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
/// Identifies the protocol in a hello: the bytes `MPTH`.
const MAGIC: u32 = 0x4854_504d;

/// Amounts of cores and memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceAmounts {
    /// Cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
}

/// The effect of a second copy of a task, for hosts that have to recognise copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicatePolicy {
    /// A second copy is harmless.
    Idempotent,
    /// The hosts of a group hold at most one copy with this key.
    IdempotencyKey(u64),
    /// A second copy is harmful.
    NonIdempotent,
}

/// A task in an offer, and in the list of held tasks that a host sends after a reconnect.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// The id of the attempt, unique over all incarnations of the placer that made it.
    pub attempt_id: u64,
    /// Number of earlier attempts to place the task.
    pub prior_attempts: u32,
    /// The service.
    pub service: String,
    /// The actor.
    pub actor: String,
    /// The name of the class.
    pub class: String,
    /// The id of the client's request, for correlation.
    pub request_id: String,
    /// The resources that the task requests.
    pub requested: ResourceAmounts,
    /// The priority; a higher one may preempt a lower one.
    pub priority: u32,
    /// The effect of a second copy of the task.
    pub duplicate_policy: DuplicatePolicy,
    /// The expected duration, in ms; 0 if it is not known.
    pub expected_duration_ms: u64,
    /// How long the placer waits for the answer, in ms.
    pub answer_timeout_ms: u32,
}

/// Why an attempt was rejected or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Reason {
    /// Not given.
    Unknown = 0,
    /// The host has too few cores.
    Cores = 1,
    /// The host has too little memory.
    Memory = 2,
    /// Too many offers are waiting for a decision.
    QueueFull = 3,
    /// The host is of the wrong kind or draining, the offer has expired, or a copy of the task is held.
    Ineligible = 4,
    /// Evicted because the host ran out of memory.
    Evicted = 5,
    /// Preempted by a task of higher priority.
    Preempted = 6,
    /// Evicted by a draining host.
    Drained = 7,
    /// The task completed.
    Completed = 8,
    /// Stopped or cancelled by the placer.
    Stopped = 9,
    /// The host failed to run the task, which may have started.
    Error = 10,
}

impl Reason {
    /// The reason with this number; `Unknown` for a number that only a newer peer uses.
    pub fn from_byte(byte: u8) -> Reason {
        use Reason::*;
        let all = [
            Unknown, Cores, Memory, QueueFull, Ineligible, Evicted, Preempted, Drained, Completed,
            Stopped, Error,
        ];
        all.get(usize::from(byte)).copied().unwrap_or(Unknown)
    }

    /// The name of the reason in logs and in answers of the API.
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

/// The quantity that a [`Frame::Note`] reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum NoteKind {
    /// Cores in use by the task.
    Cores = 1,
    /// Memory in use by the task, GiB.
    Memory = 2,
    /// Fraction of full service that the task gets; less than 1 under contention.
    ServiceShare = 3,
    /// The share of the host's memory in use.
    HostMemoryShare = 4,
}

/// A message of the host protocol.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Both sides: the first frame on a connection.
    Hello {
        /// Major version.
        major: u16,
        /// Minor version.
        minor: u16,
        /// The sender's name: a placer keeps its name over restarts, a host uses its name in the inventory.
        name: String,
        /// When the sender's process started, Unix time in ms.
        started_ms: u64,
        /// Maximum number of offers on this connection that may wait for a decision of the host; 0 from a placer.
        max_offers: u32,
    },
    /// Placer: offers a task to the host.
    Offer(Offer),
    /// Placer: cancels an attempt that no request waits for any more; the host stops it if it has accepted it.
    Cancel(u64),
    /// Placer: requests that an accepted task be stopped.
    Stop(u64),
    /// Placer: requests the unallocated resources.
    Probe(u32),
    /// Either side: a heartbeat.
    Ping(u32),
    /// Either side: the answer to a heartbeat.
    Pong(u32),
    /// Host: the task is accepted. With the time since the offer was read, ms.
    Accepted(u64, u32),
    /// Host: the task is rejected and never ran. With the reason and the unallocated resources.
    Refused(u64, Reason, Option<ResourceAmounts>),
    /// Host: the task has started. With the time since the offer was read, ms.
    Started(u64, u32),
    /// Host: an accepted task, or one that may have run, has ended. With the reason, whether it ran or may have run,
    /// and the unallocated resources.
    Ended(u64, Reason, bool, Option<ResourceAmounts>),
    /// Host: a measurement of a task.
    Note(u64, NoteKind, f64),
    /// Host: the unallocated resources, in answer to a probe.
    Report(u32, ResourceAmounts),
    /// Host: the host is draining and accepts no more tasks.
    Drain,
    /// Host, after its hello: a task of this placer that it holds. With whether the task is running.
    Held(Offer, bool),
    /// Host: the end of the list of held tasks.
    HeldEnd,
    /// Either side: the connection is being closed, with the reason.
    Bye(String),
}

/// Why a byte stream is not valid under the host protocol.
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
    /// A string that is not UTF-8.
    #[error("frame of type {0} holds a text that is not UTF-8")]
    InvalidText(u8),
    /// A number that is not finite, or an undefined value.
    #[error("frame of type {0} holds a bad value")]
    InvalidValue(u8),
    /// A hello without the magic number of the protocol.
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
        let value = f64::from_le_bytes(self.array()?);
        if value.is_finite() {
            Ok(value)
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

/// Decodes the next frame of a known type from the front of `unread`. Returns it with the number of bytes used; without
/// a frame, more bytes are needed. Frames of unknown types are skipped.
///
/// # Errors
///
/// A frame is malformed or too long. The stream can't be decoded any further.
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
            let (attempt, kind, value) = (f.u64()?, f.u8()?, f.f64()?);
            let kind = match kind {
                1 => NoteKind::Cores,
                2 => NoteKind::Memory,
                3 => NoteKind::ServiceShare,
                4 => NoteKind::HostMemoryShare,
                // A kind of note that only a newer peer sends.
                _ => return Ok(None),
            };
            Frame::Note(attempt, kind, value)
        }
        13 => Frame::Report(f.u32()?, f.resources()?),
        14 => Frame::Drain,
        15 => Frame::Held(f.offer()?, f.u8()? != 0),
        16 => Frame::HeldEnd,
        17 => Frame::Bye(f.string()?),
        _ => return Ok(None),
    }))
}

fn put_string(out: &mut Vec<u8>, text: &str) {
    // Strings longer than 8 KiB are truncated at a character boundary, so that a frame stays within `MAX_FRAME_BYTES`.
    // The API and the settings limit names to much less.
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
        put_string(out, text);
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

/// Appends a frame to `out`.
pub fn encode(frame: &Frame, out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    let put_attempt_id = |out: &mut Vec<u8>, kind: u8, attempt: &u64| {
        out.push(kind);
        out.extend_from_slice(&attempt.to_le_bytes());
    };
    let put_nonce = |out: &mut Vec<u8>, kind: u8, nonce: &u32| {
        out.push(kind);
        out.extend_from_slice(&nonce.to_le_bytes());
    };
    match frame {
        Frame::Hello {
            major,
            minor,
            name,
            started_ms,
            max_offers,
        } => {
            out.push(1);
            out.extend_from_slice(&MAGIC.to_le_bytes());
            out.extend_from_slice(&major.to_le_bytes());
            out.extend_from_slice(&minor.to_le_bytes());
            put_string(out, name);
            out.extend_from_slice(&started_ms.to_le_bytes());
            out.extend_from_slice(&max_offers.to_le_bytes());
        }
        Frame::Offer(offer) => {
            out.push(2);
            put_offer(out, offer);
        }
        Frame::Cancel(attempt) => put_attempt_id(out, 3, attempt),
        Frame::Stop(attempt) => put_attempt_id(out, 4, attempt),
        Frame::Probe(nonce) => put_nonce(out, 5, nonce),
        Frame::Ping(nonce) => put_nonce(out, 6, nonce),
        Frame::Pong(nonce) => put_nonce(out, 7, nonce),
        Frame::Accepted(attempt, elapsed_ms) => {
            put_attempt_id(out, 8, attempt);
            out.extend_from_slice(&elapsed_ms.to_le_bytes());
        }
        Frame::Refused(attempt, reason, load) => {
            put_attempt_id(out, 9, attempt);
            out.push(*reason as u8);
            put_optional_resources(out, *load);
        }
        Frame::Started(attempt, elapsed_ms) => {
            put_attempt_id(out, 10, attempt);
            out.extend_from_slice(&elapsed_ms.to_le_bytes());
        }
        Frame::Ended(attempt, reason, has_run, load) => {
            put_attempt_id(out, 11, attempt);
            out.extend_from_slice(&[*reason as u8, u8::from(*has_run)]);
            put_optional_resources(out, *load);
        }
        Frame::Note(attempt, kind, value) => {
            put_attempt_id(out, 12, attempt);
            out.push(*kind as u8);
            out.extend_from_slice(&value.to_le_bytes());
        }
        Frame::Report(nonce, load) => {
            put_nonce(out, 13, nonce);
            put_resources(out, *load);
        }
        Frame::Drain => out.push(14),
        Frame::Held(offer, is_running) => {
            out.push(15);
            put_offer(out, offer);
            out.push(u8::from(*is_running));
        }
        Frame::HeldEnd => out.push(16),
        Frame::Bye(reason) => {
            out.push(17);
            put_string(out, reason);
        }
    }
    let length = (out.len() - start - 4) as u32;
    out[start..start + 4].copy_from_slice(&length.to_le_bytes());
}
