//! Errors of the HTTP decoder.

/// Why a message is rejected. The connection can't be used any further, because the end of the rejected message, and so
/// the start of the next one, can't be determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The start line is malformed.
    #[error("malformed start line")]
    MalformedStartLine,
    /// The start line is longer than allowed.
    #[error("start line too long")]
    LineTooLong,
    /// A version other than HTTP/1.0 and HTTP/1.1.
    #[error("HTTP version not supported")]
    UnsupportedVersion,
    /// A CR without LF, or an LF without CR.
    #[error("bare CR or LF in the head")]
    BareLineEnd,
    /// A field line that continues the one before (obs-fold).
    #[error("folded field line")]
    FoldedField,
    /// A field that is not a name, a colon and a value.
    #[error("malformed field")]
    MalformedField,
    /// The head is too large, or holds too many fields.
    #[error("head too large")]
    HeadTooLarge,
    /// No Host field in HTTP/1.1, or several.
    #[error("missing or repeated Host")]
    InvalidHost,
    /// Both Content-Length and Transfer-Encoding.
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingLengths,
    /// A Content-Length that is not a number, or several that differ.
    #[error("bad Content-Length")]
    InvalidContentLength,
    /// A transfer coding other than chunked.
    #[error("transfer coding not supported")]
    UnsupportedCoding,
    /// A chunk with malformed framing.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The body is larger than allowed.
    #[error("body too large")]
    BodyTooLarge,
    /// The connection ended inside a message.
    #[error("connection ended inside a message")]
    Truncated,
}

impl HttpError {
    /// The status with which a server rejects such a message.
    pub fn status(self) -> u16 {
        match self {
            HttpError::LineTooLong => 414,
            HttpError::HeadTooLarge => 431,
            HttpError::BodyTooLarge => 413,
            HttpError::UnsupportedCoding => 501,
            HttpError::UnsupportedVersion => 505,
            _ => 400,
        }
    }
}
