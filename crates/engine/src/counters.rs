//! Counters of what an engine has done, as the status of the API shows them.

use std::collections::BTreeMap;

use serde::Serialize;

/// What an engine has done since its start. The API keeps the names in the `rename` attributes.
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
    /// Requests that a limit kept from being accepted (status 503).
    #[serde(rename = "turned_away")]
    pub unavailable: u64,
    /// Offers sent.
    pub offers: u64,
    /// Heartbeats sent to hosts.
    pub heartbeats: u64,
    /// Requests whose first offer was blocked for at least a turn.
    #[serde(rename = "held")]
    pub blocked: u64,
    /// Attempts cancelled.
    #[serde(rename = "called_off")]
    pub cancelled: u64,
    /// Answers that came after the deadline and were not sent.
    #[serde(rename = "too_late")]
    pub past_deadline: u64,
    /// Actors found at hosts that an earlier incarnation had placed.
    pub adopted: u64,
    /// Requests that the decider left open up to their deadline and the engine answered.
    #[serde(rename = "overdue")]
    pub deadline_answers: u64,
    /// Requests that were blocked, by reason; one that was blocked for two reasons counts for both.
    #[serde(rename = "held_for")]
    pub blocked_by_reason: BTreeMap<&'static str, u64>,
}
