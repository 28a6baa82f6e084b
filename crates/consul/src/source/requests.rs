//! Builds requests with their common headers and parameters.

use crate::request::{Consistency, RequestTarget, percent_encode};

/// Builds requests with the source's user agent, token and datacentre.
pub(super) struct RequestBuilder {
    pub(super) user_agent: String,
    pub(super) token: Option<String>,
    pub(super) datacentre: Option<String>,
}

impl RequestBuilder {
    /// A path in the configured datacentre.
    pub(super) fn target(&self, path: impl Into<String>) -> RequestTarget {
        RequestTarget::new(path).with_optional_param("dc", self.datacentre.as_deref())
    }

    /// The list of a service's instances with their checks.
    pub(super) fn health(
        &self,
        service: &str,
        consistency: Consistency,
        filter: Option<&str>,
    ) -> RequestTarget {
        self.target(format!("/v1/health/service/{}", percent_encode(service)))
            .with_optional_param("filter", filter)
            .with_consistency(consistency)
    }

    /// A GET request.
    pub(super) fn get(&self, target: &RequestTarget) -> Vec<u8> {
        target.to_request("GET", &self.user_agent, self.token.as_deref(), b"")
    }

    /// A PUT request; the body may be empty.
    pub(super) fn put(&self, target: &RequestTarget, body: &str) -> Vec<u8> {
        target.to_request(
            "PUT",
            &self.user_agent,
            self.token.as_deref(),
            body.as_bytes(),
        )
    }
}
