//! Why a call to Consul failed.

use crate::json_rows::RowError;

/// Maximum number of bytes of a response's body that are kept to explain a failure.
const MAX_EXPLANATION_BYTES: usize = 120;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallFailure {
    /// A response with another status than 200.
    #[error("status {status}: {explanation}")]
    Status { status: u16, explanation: String },
    /// No response, or one that is not HTTP.
    #[error("{0}")]
    NoResponse(String),
    /// A body that is not a valid list.
    #[error(transparent)]
    List(#[from] RowError),
}

impl CallFailure {
    /// The failure of a response with this status and body.
    pub(super) fn status(status: u16, body: &[u8]) -> CallFailure {
        let start = &body[..body.len().min(MAX_EXPLANATION_BYTES)];
        CallFailure::Status {
            status,
            explanation: String::from_utf8_lossy(start).into_owned(),
        }
    }

    /// Whether an agent responded that it has no such check.
    pub(super) fn is_unknown_check(&self) -> bool {
        match self {
            // Whether the message begins with a capital letter depends on the version of the agent.
            CallFailure::Status {
                status,
                explanation,
            } => *status == 404 || explanation.contains("nknown check"),
            CallFailure::NoResponse(_) | CallFailure::List(_) => false,
        }
    }
}
