//! Requests to Consul's HTTP API.

use maplethread_wire::http;

/// How consistent a read is to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// Answered by the leader without a check that it still leads.
    #[default]
    Default,
    /// Answered by any server from its own state.
    Stale,
    /// Answered by the leader after it has verified that it leads.
    Consistent,
}

/// The target of a request: a path and its query parameters.
pub struct RequestTarget {
    text: String,
    has_query: bool,
}

impl RequestTarget {
    /// A path without parameters.
    pub fn new(path: impl Into<String>) -> RequestTarget {
        RequestTarget {
            text: path.into(),
            has_query: false,
        }
    }

    /// Adds a parameter; the value is percent-encoded.
    pub fn with_param(mut self, name: &str, value: &str) -> RequestTarget {
        self.text.push(if self.has_query { '&' } else { '?' });
        self.has_query = true;
        self.text += name;
        if !value.is_empty() {
            self.text.push('=');
            self.text += &percent_encode(value);
        }
        self
    }

    /// Adds a parameter if it has a value.
    pub fn with_optional_param(self, name: &str, value: Option<&str>) -> RequestTarget {
        match value {
            Some(value) => self.with_param(name, value),
            None => self,
        }
    }

    /// Adds the consistency mode.
    pub fn with_consistency(self, consistency: Consistency) -> RequestTarget {
        match consistency {
            Consistency::Default => self,
            Consistency::Stale => self.with_param("stale", ""),
            Consistency::Consistent => self.with_param("consistent", ""),
        }
    }

    /// The request's bytes.
    pub fn to_request(
        &self,
        method: &str,
        user_agent: &str,
        token: Option<&str>,
        body: &[u8],
    ) -> Vec<u8> {
        let mut fields = vec![("Host", "consul"), ("User-Agent", user_agent)];
        fields.extend(token.map(|token| ("X-Consul-Token", token)));
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, method, &self.text, &fields, body);
        bytes
    }
}

/// Percent-encodes a value for a path or query; slashes stay.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded += &format!("%{byte:02X}");
        }
    }
    encoded
}

#[cfg(test)]
mod tests;
