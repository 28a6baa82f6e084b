//! The headers of Consul's responses.

use maplethread_wire::http::Message;

/// Consul's response headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMeta {
    /// `X-Consul-Index`; 0 if it is missing or not a number.
    pub index: u64,
    /// `X-Consul-KnownLeader`, if present.
    pub known_leader: Option<bool>,
    /// `X-Consul-LastContact`: how long ago the server last had contact with the leader, in ms.
    pub last_contact_ms: u64,
}

impl ResponseMeta {
    /// Reads the headers of a response.
    pub fn from_message(message: &Message) -> ResponseMeta {
        let number = |name: &str| {
            message
                .head
                .field(name)
                .and_then(|value| value.trim().parse().ok())
        };
        ResponseMeta {
            index: number("x-consul-index").unwrap_or(0),
            known_leader: message
                .head
                .field("x-consul-knownleader")
                .map(|value| value.trim() == "true"),
            last_contact_ms: number("x-consul-lastcontact").unwrap_or(0),
        }
    }
}

/// The index for the next blocking query, as Consul's documentation requires: 0 if the index has gone back, and else
/// at least 1, so that the query blocks.
pub fn next_blocking_index(last: u64, received: u64) -> u64 {
    if received < last { 0 } else { received.max(1) }
}

#[cfg(test)]
mod tests;
