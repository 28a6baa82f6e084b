//! HTTP/1.1 message framing (RFC 9112), for servers and clients.
//!
//! A [`Decoder`] is passed the unread bytes of a connection. It decodes messages from their front, never scans a byte
//! twice, and rejects messages that could be interpreted in two ways: those with both Content-Length and
//! Transfer-Encoding, a bare CR or LF in the head, folded lines, blanks before a colon, or several Content-Length
//! values that differ.

use std::ops::Range;

mod error;
mod parse;
mod reader;
mod write;

pub use error::HttpError;
pub use reader::{Message, MessageReader, ReadResult};
pub use write::{reason_phrase, write_chunk, write_chunked_head, write_request, write_response};

use parse::{is_token_byte, parse_chunk_size, parse_field, parse_request_line, parse_status_line};

/// Limits on the size of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the start line.
    pub max_line_bytes: usize,
    /// Maximum length of the start line and the fields together.
    pub max_head_bytes: usize,
    /// Maximum number of fields.
    pub max_fields: usize,
    /// Maximum length of the body, without its chunked framing.
    pub max_body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_line_bytes: 8 << 10,
            max_head_bytes: 16 << 10,
            max_fields: 64,
            max_body_bytes: 256 << 10,
        }
    }
}

/// The kind of message that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Requests, on the server's side.
    Requests,
    /// Responses, on the client's side.
    Responses,
}

/// The start line and the fields of a message, as ranges of its bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    bytes: Vec<u8>,
    first_part: Range<usize>,
    second_part: Range<usize>,
    fields: Vec<(Range<usize>, Range<usize>)>,
    minor_version: u8,
}

impl Head {
    fn text(&self, range: &Range<usize>) -> &str {
        std::str::from_utf8(&self.bytes[range.clone()]).unwrap_or("")
    }

    /// A request's method; empty for a response.
    pub fn method(&self) -> &str {
        self.text(&self.first_part)
    }

    /// A request's target, or a response's reason phrase.
    pub fn target(&self) -> &str {
        self.text(&self.second_part)
    }

    /// A response's status; 0 for a request.
    pub fn status(&self) -> u16 {
        self.text(&self.first_part).parse().unwrap_or(0)
    }

    /// The minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub fn minor_version(&self) -> u8 {
        self.minor_version
    }

    /// All fields in order, with names as sent, and values without leading and trailing blanks.
    pub fn fields(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields
            .iter()
            .map(|(name, value)| (self.text(name), &self.bytes[value.clone()]))
    }

    /// The value of the first field of this name, if it is UTF-8.
    pub fn field(&self, name: &str) -> Option<&str> {
        let (_, value) = self.fields().find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok()
    }

    fn field_values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.fields()
            .filter(move |(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v)
    }

    /// Whether the Connection field contains `option`.
    fn has_connection_option(&self, option: &str) -> bool {
        let contains_option = |v: &[u8]| {
            let text = std::str::from_utf8(v).unwrap_or("");
            text.split(',')
                .any(|t| t.trim().eq_ignore_ascii_case(option))
        };
        self.field_values("connection").any(contains_option)
    }

    /// Whether the connection may carry another message after this one.
    pub fn is_keep_alive(&self) -> bool {
        if self.minor_version == 0 {
            self.has_connection_option("keep-alive")
        } else {
            !self.has_connection_option("close")
        }
    }

    /// Whether the sender waits for `100 Continue` before sending the body.
    pub fn expects_continue(&self) -> bool {
        self.field("expect")
            .is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    }
}

/// The result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// More bytes are needed.
    NeedMore,
    /// The head of a message.
    Head(Head),
    /// A part of the message's body.
    Data(Vec<u8>),
    /// The end of the message.
    MessageEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    FixedLength(usize),
    ChunkSize,
    ChunkData(usize),
    ChunkEnd,
    Trailers,
    UntilClose,
    Complete,
}

/// Decodes messages from the front of a byte stream.
#[derive(Debug)]
pub struct Decoder {
    role: Role,
    limits: Limits,
    state: State,
    /// Number of bytes at the front that have been scanned and do not contain the end of the head or line.
    scanned: usize,
    /// Number of bytes read of the body so far, and of the trailers after it.
    body_bytes: usize,
    trailer_bytes: usize,
    /// Whether the next response answers a HEAD request. It then has no body, even if it has a Content-Length field.
    next_response_has_no_body: bool,
}

impl Decoder {
    /// Creates a decoder for a new connection.
    pub fn new(role: Role, limits: Limits) -> Decoder {
        Decoder {
            role,
            limits,
            state: State::Head,
            scanned: 0,
            body_bytes: 0,
            trailer_bytes: 0,
            next_response_has_no_body: false,
        }
    }

    /// Declares that the next response answers a HEAD request.
    pub fn expect_response_without_body(&mut self) {
        self.next_response_has_no_body = true;
    }

    /// Whether a message has begun and not ended.
    pub fn is_inside_message(&self) -> bool {
        self.state != State::Head
    }

    /// Whether the body of the current message is complete.
    fn is_body_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Handles the end of the connection with `unread` bytes left. Returns whether that completes a message whose body
    /// runs until the connection is closed.
    ///
    /// # Errors
    ///
    /// The connection ended inside a message.
    pub fn finish(&mut self, unread: &[u8]) -> Result<bool, HttpError> {
        match self.state {
            State::UntilClose => {
                self.state = State::Head;
                Ok(true)
            }
            State::Head if unread.is_empty() => Ok(false),
            _ => Err(HttpError::Truncated),
        }
    }

    /// Decodes the next step. Returns it with the number of bytes of `unread` that were used.
    ///
    /// # Errors
    ///
    /// The message is malformed, ambiguous or too large; the connection can't be used any further.
    pub fn step(&mut self, unread: &[u8]) -> Result<(Step, usize), HttpError> {
        match self.state {
            State::Head => self.head(unread),
            State::Complete => {
                self.state = State::Head;
                Ok((Step::MessageEnd, 0))
            }
            State::FixedLength(left) => {
                let n = left.min(unread.len());
                if n == 0 {
                    return Ok((Step::NeedMore, 0));
                }
                self.state = if n == left {
                    State::Complete
                } else {
                    State::FixedLength(left - n)
                };
                Ok((Step::Data(unread[..n].to_vec()), n))
            }
            State::UntilClose if unread.is_empty() => Ok((Step::NeedMore, 0)),
            State::UntilClose => {
                self.count_body_bytes(unread.len())?;
                Ok((Step::Data(unread.to_vec()), unread.len()))
            }
            State::ChunkSize => {
                let Some(line) = self.find_line(unread, 256, HttpError::MalformedChunk)? else {
                    return Ok((Step::NeedMore, 0));
                };
                let size = parse_chunk_size(&unread[..line])?;
                if size == 0 {
                    (self.state, self.trailer_bytes) = (State::Trailers, 0);
                } else {
                    self.count_body_bytes(size)?;
                    self.state = State::ChunkData(size);
                }
                let (step, n) = self.step(&unread[line + 2..])?;
                Ok((step, n + line + 2))
            }
            State::ChunkData(left) => {
                let n = left.min(unread.len());
                if n == 0 {
                    return Ok((Step::NeedMore, 0));
                }
                self.state = if n == left {
                    State::ChunkEnd
                } else {
                    State::ChunkData(left - n)
                };
                Ok((Step::Data(unread[..n].to_vec()), n))
            }
            State::ChunkEnd => match unread {
                [b'\r', b'\n', rest @ ..] => {
                    self.state = State::ChunkSize;
                    let (step, n) = self.step(rest)?;
                    Ok((step, n + 2))
                }
                [] | [b'\r'] => Ok((Step::NeedMore, 0)),
                _ => Err(HttpError::MalformedChunk),
            },
            State::Trailers => {
                let mut used = 0;
                while let Some(line) = self.find_line(
                    &unread[used..],
                    self.limits.max_head_bytes,
                    HttpError::MalformedField,
                )? {
                    let text = &unread[used..used + line];
                    used += line + 2;
                    self.trailer_bytes += line + 2;
                    if self.trailer_bytes > self.limits.max_head_bytes {
                        return Err(HttpError::HeadTooLarge);
                    }
                    if text.is_empty() {
                        self.state = State::Head;
                        return Ok((Step::MessageEnd, used));
                    }
                    parse_field(text, 0)?;
                }
                Ok((Step::NeedMore, used))
            }
        }
    }

    fn count_body_bytes(&mut self, bytes: usize) -> Result<(), HttpError> {
        self.body_bytes = self.body_bytes.saturating_add(bytes);
        if self.body_bytes > self.limits.max_body_bytes {
            Err(HttpError::BodyTooLarge)
        } else {
            Ok(())
        }
    }

    /// The length of the first line, without its CRLF, once all of it has been received.
    fn find_line(
        &mut self,
        unread: &[u8],
        max_line_bytes: usize,
        too_long: HttpError,
    ) -> Result<Option<usize>, HttpError> {
        match unread[self.scanned..].iter().position(|&b| b == b'\n') {
            Some(at) => {
                let end = self.scanned + at;
                self.scanned = 0;
                if end == 0 || unread[end - 1] != b'\r' || unread[..end - 1].contains(&b'\r') {
                    return Err(HttpError::BareLineEnd);
                }
                if end - 1 > max_line_bytes {
                    return Err(too_long);
                }
                Ok(Some(end - 1))
            }
            None if unread.len() > max_line_bytes + 2 => Err(too_long),
            None => {
                self.scanned = unread.len();
                Ok(None)
            }
        }
    }

    fn head(&mut self, unread: &[u8]) -> Result<(Step, usize), HttpError> {
        // RFC 9112, 2.2: empty lines before a request line are skipped.
        let mut skipped = 0;
        if self.role == Role::Requests && self.scanned == 0 {
            while unread[skipped..].starts_with(b"\r\n") {
                skipped += 2;
            }
            if unread[skipped..] == *b"\r" {
                return Ok((Step::NeedMore, skipped));
            }
        }
        let (step, n) = self.message_head(&unread[skipped..])?;
        Ok((step, n + skipped))
    }

    fn message_head(&mut self, unread: &[u8]) -> Result<(Step, usize), HttpError> {
        // A TLS hello or other binary data on a plain-text port is rejected at once instead of after a time-out.
        let can_begin_message = |&b: &u8| match self.role {
            Role::Requests => is_token_byte(b) || b == b'\r' || b == b'\n',
            Role::Responses => b == b'H',
        };
        if !unread.first().is_none_or(can_begin_message) {
            return Err(HttpError::MalformedStartLine);
        }
        let from = self.scanned.saturating_sub(3);
        let Some(end) = unread[from..]
            .windows(4)
            .position(|w| w == b"\r\n\r\n")
            .map(|at| from + at)
        else {
            self.check_partial(unread)?;
            self.scanned = unread.len();
            return Ok((Step::NeedMore, 0));
        };
        self.scanned = 0;
        if end + 4 > self.limits.max_head_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        let head = self.parse_head(unread[..end + 2].to_vec())?;
        let informational = self.role == Role::Responses && (100..200).contains(&head.status());
        self.state = self.body_framing(&head)?;
        self.body_bytes = 0;
        if !informational {
            self.next_response_has_no_body = false;
        }
        Ok((Step::Head(head), end + 4))
    }

    /// Rejects an incomplete head early if it exceeds a limit or is malformed.
    fn check_partial(&self, unread: &[u8]) -> Result<(), HttpError> {
        let line = unread.iter().position(|&b| b == b'\n');
        if line.unwrap_or(unread.len()) > self.limits.max_line_bytes {
            return Err(HttpError::LineTooLong);
        }
        if unread.len() > self.limits.max_head_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        let from = self.scanned.saturating_sub(1);
        let is_bare = |w: &[u8]| (w[0] == b'\r') != (w[1] == b'\n');
        if unread.first() == Some(&b'\n')
            || unread[from.min(unread.len())..].windows(2).any(is_bare)
        {
            return Err(HttpError::BareLineEnd);
        }
        Ok(())
    }

    fn parse_head(&self, bytes: Vec<u8>) -> Result<Head, HttpError> {
        let mut lines = Vec::new();
        let mut start = 0;
        while start < bytes.len() {
            let Some(at) = bytes[start..]
                .iter()
                .position(|&b| b == b'\r' || b == b'\n')
            else {
                return Err(HttpError::BareLineEnd);
            };
            if bytes[start + at..].get(..2) != Some(b"\r\n") {
                return Err(HttpError::BareLineEnd);
            }
            lines.push(start..start + at);
            start += at + 2;
        }
        let mut lines = lines.into_iter();
        let first_line = lines.next().ok_or(HttpError::MalformedStartLine)?;
        if first_line.len() > self.limits.max_line_bytes {
            return Err(HttpError::LineTooLong);
        }
        let (first, second, minor) = match self.role {
            Role::Requests => parse_request_line(&bytes, first_line)?,
            Role::Responses => parse_status_line(&bytes, first_line)?,
        };
        let mut fields = Vec::new();
        for line in lines {
            if fields.len() == self.limits.max_fields {
                return Err(HttpError::HeadTooLarge);
            }
            fields.push(parse_field(&bytes[line.clone()], line.start)?);
        }
        Ok(Head {
            bytes,
            first_part: first,
            second_part: second,
            fields,
            minor_version: minor,
        })
    }

    /// The framing of the body that follows a head (RFC 9112, 6.3).
    fn body_framing(&self, head: &Head) -> Result<State, HttpError> {
        let mut length = None;
        for value in head.field_values("content-length") {
            let text = std::str::from_utf8(value).map_err(|_| HttpError::InvalidContentLength)?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HttpError::InvalidContentLength);
            }
            let n: u64 = text.parse().map_err(|_| HttpError::InvalidContentLength)?;
            if length.is_some_and(|previous| previous != n) {
                return Err(HttpError::InvalidContentLength);
            }
            length = Some(n);
        }
        let mut codings = head.field_values("transfer-encoding");
        let chunked = match (codings.next(), codings.next()) {
            (None, _) => false,
            (Some(one), None) if one.eq_ignore_ascii_case(b"chunked") => true,
            _ => return Err(HttpError::UnsupportedCoding),
        };
        if chunked && length.is_some() {
            return Err(HttpError::ConflictingLengths);
        }
        if chunked && head.minor_version == 0 {
            return Err(HttpError::UnsupportedCoding);
        }
        if self.role == Role::Requests {
            let hosts = head.field_values("host").count();
            if hosts > 1 || (hosts == 0 && head.minor_version == 1) {
                return Err(HttpError::InvalidHost);
            }
        } else {
            let status = head.status();
            if self.next_response_has_no_body
                || (100..200).contains(&status)
                || status == 204
                || status == 304
            {
                return Ok(State::Complete);
            }
        }
        match (chunked, length) {
            (true, _) => Ok(State::ChunkSize),
            (false, Some(0)) => Ok(State::Complete),
            (false, Some(n)) if n > self.limits.max_body_bytes as u64 => {
                Err(HttpError::BodyTooLarge)
            }
            (false, Some(n)) => Ok(State::FixedLength(n as usize)),
            (false, None) if self.role == Role::Responses => Ok(State::UntilClose),
            (false, None) => Ok(State::Complete),
        }
    }
}
