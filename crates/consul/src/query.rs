//! Requests, what the answers' headers say, and when to ask again.

use maplethread_wire::http::{self, Message};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::Rng;

use crate::Micros;

/// How consistent a read is to be.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Consistency {
    /// Answered by the leader, without a check that it still is.
    #[default]
    Default,
    /// Answered by any server from what it has.
    Stale,
    /// Answered by the leader after it has verified that it leads.
    Consistent,
}

/// Builds a request's target.
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

    /// Adds a parameter; the value is escaped.
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

    /// Adds a parameter if there is a value.
    pub fn with_optional_param(self, name: &str, value: Option<&str>) -> RequestTarget {
        match value {
            Some(value) => self.with_param(name, value),
            None => self,
        }
    }

    /// Adds the consistency mode.
    pub fn with_consistency(self, mode: Consistency) -> RequestTarget {
        match mode {
            Consistency::Default => self,
            Consistency::Stale => self.with_param("stale", ""),
            Consistency::Consistent => self.with_param("consistent", ""),
        }
    }

    /// The request.
    pub fn to_request(&self, method: &str, who: &str, token: Option<&str>, body: &[u8]) -> Vec<u8> {
        let mut fields = vec![("Host", "consul"), ("User-Agent", who)];
        fields.extend(token.map(|t| ("X-Consul-Token", t)));
        let mut out = Vec::new();
        http::write_request(&mut out, method, &self.text, &fields, body);
        out
    }
}

/// Escapes a value for a path or query.
pub fn percent_encode(text: &str) -> String {
    let mut out = String::new();
    for b in text.bytes() {
        if b.is_ascii_alphanumeric() || b"-._~/".contains(&b) {
            out.push(char::from(b));
        } else {
            out += &format!("%{b:02X}");
        }
    }
    out
}

/// What the headers of an answer say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// `X-Consul-Index`; 0 if it is missing or no number.
    pub index: u64,
    /// `X-Consul-KnownLeader`, where it is told.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`: how long ago the server heard of the leader, ms.
    pub last_contact_ms: u64,
}

impl ResponseMeta {
    /// Reads the headers.
    pub fn from_message(message: &Message) -> ResponseMeta {
        let number = |name: &str| {
            message
                .head
                .parse_field(name)
                .and_then(|v| v.trim().parse().ok())
        };
        ResponseMeta {
            index: number("x-consul-index").unwrap_or(0),
            known_leader: message
                .head
                .parse_field("x-consul-knownleader")
                .map(|v| v.trim() == "true"),
            last_contact_ms: number("x-consul-lastcontact").unwrap_or(0),
        }
    }
}

/// The index to block on next, as the documentation asks for: from the beginning when it goes back, and never 0,
/// so that the next query surely blocks.
pub fn next_blocking_index(last: u64, answered: u64) -> u64 {
    if answered < last { 0 } else { answered.max(1) }
}

/// Waits between failed calls: doubling, and each drawn between half and the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    const FIRST_WAIT: Micros = 100_000;
    const MAX_WAIT: Micros = 3_000_000;

    /// The wait after another failure.
    pub fn next_wait(&mut self, rng: &mut Pcg64Mcg) -> Micros {
        let whole = (Self::FIRST_WAIT << self.failures.min(10)).min(Self::MAX_WAIT);
        self.failures = self.failures.saturating_add(1);
        whole / 2 + rng.next_u64() % (whole / 2)
    }

    /// A call went well.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since a call went well.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_pcg::rand_core::SeedableRng;

    #[test]
    fn escapes_target_and_header_values() {
        let target = RequestTarget::new("/v1/kv/a")
            .with_param("filter", "Meta.zone == \"a b\"")
            .with_consistency(Consistency::Stale)
            .with_optional_param("dc", None);
        let text = String::from_utf8(target.to_request("GET", "me", Some("t\r\nX: y"), b""))
            .expect("text");
        assert!(
            text.starts_with(
                "GET /v1/kv/a?filter=Meta.zone%20%3D%3D%20%22a%20b%22&stale HTTP/1.1\r\n"
            ),
            "{text}"
        );
        assert!(
            text.contains("X-Consul-Token: tX: y\r\n"),
            "a token can't add a line: {text}"
        );
    }

    #[test]
    fn blocking_index_restarts_when_it_goes_back_and_is_never_zero_twice() {
        assert_eq!(next_blocking_index(5, 9), 9);
        assert_eq!(
            next_blocking_index(9, 5),
            0,
            "it went back: from the beginning"
        );
        assert_eq!(
            next_blocking_index(0, 0),
            1,
            "missing or zero: still one that blocks"
        );
    }

    #[test]
    fn backoff_doubles_up_to_its_bound_with_jitter() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut off = Backoff::default();
        let waits: Vec<Micros> = (0..10).map(|_| off.next_wait(&mut rng)).collect();
        assert!((50_000..100_000).contains(&waits[0]));
        assert!(
            waits.iter().all(|&w| w < 3_000_000) && waits[9] >= 1_500_000,
            "{waits:?}"
        );
        off.reset();
        assert!(off.next_wait(&mut rng) < 100_000);
    }
}
