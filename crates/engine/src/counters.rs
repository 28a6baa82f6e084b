//! Counters of the engine, as the status of the API shows them.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts since the start of the engine. The API uses the names in the `rename` attributes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Placement requests accepted.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Requests answered `placed`.
    pub placed: u64,
    /// Requests answered `refused`.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests answered `failed`.
    pub failed: u64,
    /// Requests whose clients disconnected or cancelled them.
    #[serde(rename = "hung_up")]
    pub disconnected: u64,
    /// Requests that were not accepted because of a limit, an overload or a shutdown (status 503).
    #[serde(rename = "turned_away")]
    pub unavailable: u64,
    /// Offers sent.
    pub offers: u64,
    /// Heartbeats sent to hosts.
    pub heartbeats: u64,
    /// Requests whose first offer was delayed by at least one turn.
    #[serde(rename = "held")]
    pub blocked: u64,
    /// Attempts cancelled.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Answers that were not sent because the deadline had passed.
    #[serde(rename = "too_late")]
    pub past_deadline: u64,
    /// Actors that an earlier incarnation had placed and that hosts still held.
    pub adopted: u64,
    /// Requests that the engine answered because the decider had not answered before the deadline.
    #[serde(rename = "overdue")]
    pub deadline_answers: u64,
    /// Blocked requests by reason; a request that was blocked for two reasons counts for both.
    #[serde(rename = "held_for")]
    pub blocked_by_reason: BTreeMap<&'static str, u64>,
}
