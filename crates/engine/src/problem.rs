//! Responses of the API: JSON bodies, and errors as problem details (RFC 9457). Described in `docs/api.md`.

use maplethread_wire::http;
use serde::Serialize;
use serde_json::json;

/// An error response (RFC 9457).
#[derive(Clone, Debug)]
pub(crate) struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The last part of the problem's type, such as `bad-body`.
    pub kind: &'static str,
    pub title: &'static str,
    pub detail: String,
    pub retry_after_s: Option<u64>,
    /// The methods that are allowed, where the one of the request is not.
    pub allow: Option<&'static str>,
    /// Whether the connection is closed after the response.
    pub closes_connection: bool,
}

impl Problem {
    pub fn new(
        status: u16,
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem {
            status,
            kind,
            title,
            detail: detail.into(),
            retry_after_s: None,
            allow: None,
            closes_connection: false,
        }
    }

    /// A temporary problem (status 503); the client may retry after a second.
    pub fn unavailable(
        kind: &'static str,
        title: &'static str,
        detail: impl Into<String>,
    ) -> Problem {
        Problem::new(503, kind, title, detail).retry_after(1)
    }

    /// An invalid parameter, header or path (status 400).
    pub fn bad_request(detail: impl Into<String>) -> Problem {
        Problem::new(400, "bad-request", "The request makes no sense", detail)
    }

    /// A value out of its range (status 422).
    pub fn bad_value(detail: impl Into<String>) -> Problem {
        Problem::new(422, "bad-value", "A value is out of its range", detail)
    }

    /// A method that the path does not serve (status 405).
    pub fn method_not_allowed(method: &str, allow: &'static str) -> Problem {
        Problem {
            allow: Some(allow),
            ..Problem::new(405, "method", "This method is not served here", method)
        }
    }

    /// An actor that this placer does not hold (status 404).
    pub fn no_such_actor() -> Problem {
        Problem::new(
            404,
            "no-such-actor",
            "This placer holds no such actor",
            "it ended, or another placer holds it",
        )
    }

    /// Adds a time after which the client may retry.
    pub fn retry_after(self, seconds: u64) -> Problem {
        Problem {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    /// Closes the connection after the response.
    pub fn closing(self) -> Problem {
        Problem {
            closes_connection: true,
            ..self
        }
    }

    /// The HTTP response.
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = json!({
            "type": format!("urn:maplethread:problem:{}", self.kind),
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
        });
        let retry_after = self.retry_after_s.map(|seconds| seconds.to_string());
        let mut fields = Vec::new();
        fields.extend(retry_after.as_deref().map(|s| ("Retry-After", s)));
        fields.extend(self.allow.map(|methods| ("Allow", methods)));
        fields.extend(self.closes_connection.then_some(("Connection", "close")));
        let mut out = Vec::new();
        http::write_response(
            &mut out,
            self.status,
            "application/problem+json",
            &fields,
            body.to_string().as_bytes(),
        );
        out
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> Vec<u8> {
    /// Approximate size of a response without its body.
    const HEAD_BYTES: usize = 96;
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut out = Vec::with_capacity(body.len() + HEAD_BYTES);
    http::write_response(&mut out, status, "application/json", &[], &body);
    out
}
