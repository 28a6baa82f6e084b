//! Parses the lines of a head, and the first line of a chunk.

use std::ops::Range;

use super::HttpError;

/// Whether a byte is allowed in a token, such as a method or the name of a field (RFC 9110, 5.6.2).
pub(super) fn is_token_byte(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

pub(super) fn parse_version(bytes: &[u8]) -> Result<u8, HttpError> {
    match bytes {
        b"HTTP/1.1" => Ok(1),
        b"HTTP/1.0" => Ok(0),
        _ if bytes.starts_with(b"HTTP/") => Err(HttpError::UnsupportedVersion),
        _ => Err(HttpError::MalformedStartLine),
    }
}

/// The two parts of a start line that [`super::Head`] keeps, as ranges of the message's bytes, and the minor version.
pub(super) type StartLine = (Range<usize>, Range<usize>, u8);

pub(super) fn parse_request_line(bytes: &[u8], line: Range<usize>) -> Result<StartLine, HttpError> {
    let text = &bytes[line.clone()];
    let mut parts = text.split(|&b| b == b' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(HttpError::MalformedStartLine);
    };
    let is_allowed = |b: &u8| b.is_ascii_graphic();
    if method.is_empty() || !method.iter().all(|&b| is_token_byte(b)) {
        return Err(HttpError::MalformedStartLine);
    }
    if target.is_empty() || !target.iter().all(is_allowed) {
        return Err(HttpError::MalformedStartLine);
    }
    let minor = parse_version(version)?;
    let at = line.start + method.len();
    Ok((line.start..at, at + 1..at + 1 + target.len(), minor))
}

pub(super) fn parse_status_line(bytes: &[u8], line: Range<usize>) -> Result<StartLine, HttpError> {
    let text = &bytes[line.clone()];
    if text.len() < 12 || text[8] != b' ' {
        return Err(HttpError::MalformedStartLine);
    }
    let minor = parse_version(&text[..8])?;
    let reason = match &text[12..] {
        [] => line.start + 12..line.end,
        [b' ', ..] => line.start + 13..line.end,
        _ => return Err(HttpError::MalformedStartLine),
    };
    let is_allowed = |&b: &u8| b == b'\t' || (0x20..0x7f).contains(&b) || b >= 0x80;
    if !text[9..12].iter().all(u8::is_ascii_digit)
        || text[9] == b'0'
        || !bytes[reason.clone()].iter().all(is_allowed)
    {
        return Err(HttpError::MalformedStartLine);
    }
    Ok((line.start + 9..line.start + 12, reason, minor))
}

/// Parses a field line that begins at `base`; returns the ranges of its name and value.
pub(super) fn parse_field(
    line: &[u8],
    base: usize,
) -> Result<(Range<usize>, Range<usize>), HttpError> {
    if matches!(line.first(), Some(b' ' | b'\t')) {
        return Err(HttpError::FoldedField);
    }
    let colon = line
        .iter()
        .position(|&b| b == b':')
        .ok_or(HttpError::MalformedField)?;
    if colon == 0 || !line[..colon].iter().all(|&b| is_token_byte(b)) {
        return Err(HttpError::MalformedField);
    }
    let is_blank = |&b: &u8| b == b' ' || b == b'\t';
    let value = &line[colon + 1..];
    if !value
        .iter()
        .all(|&b| b == b'\t' || (0x20..0x7f).contains(&b) || b >= 0x80)
    {
        return Err(HttpError::MalformedField);
    }
    let from = value
        .iter()
        .position(|b| !is_blank(b))
        .unwrap_or(value.len());
    let to = value
        .iter()
        .rposition(|b| !is_blank(b))
        .map_or(from, |at| at + 1);
    let start = base + colon + 1;
    Ok((base..base + colon, start + from..start + to))
}

/// Parses the size in the first line of a chunk; extensions are ignored.
pub(super) fn parse_chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let digits = line
        .iter()
        .position(|b| !b.is_ascii_hexdigit())
        .unwrap_or(line.len());
    let rest = line[digits..].iter().find(|b| !matches!(b, b' ' | b'\t'));
    let is_allowed = |&b: &u8| b == b'\t' || (0x20..0x7f).contains(&b) || b >= 0x80;
    if digits == 0
        || digits > 8
        || !matches!(rest, None | Some(b';'))
        || !line.iter().all(is_allowed)
    {
        return Err(HttpError::MalformedChunk);
    }
    let text = std::str::from_utf8(&line[..digits]).map_err(|_| HttpError::MalformedChunk)?;
    usize::from_str_radix(text, 16).map_err(|_| HttpError::MalformedChunk)
}
