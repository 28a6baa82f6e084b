//! Settings of the kinds of hosts and the classes of tasks.

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// A kind of host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Kind")]
pub struct HostKind {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory_gib: f64,
}

/// What a second start does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Effect")]
pub enum RetrySafety {
    /// No harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// The hosts of a group let one copy stand.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// It must never happen.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A set of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Group")]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A place over which a service is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Place")]
pub enum TopologyLevel {
    /// One host.
    Host,
    /// One cell.
    Cell,
    /// One zone.
    Zone,
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Class")]
pub struct TaskClass {
    /// Its name.
    pub name: String,
    /// What a second start does.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// For keyed ones: where copies are recognised...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// ...and how long, from the first send on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "window_ms")]
    pub deduplication_window_ms: Option<u64>,
    /// A start within this earns all it can.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Worth of a second at mean size.
    #[serde(default = "d::one_by_default")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    #[serde(default)]
    pub start_bonus_s: f64,
    /// Higher ones push out lower ones.
    #[serde(default)]
    pub priority: u32,
    /// The only kind of host that takes it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// Where tasks of one service are limited...
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_over")]
    pub spread_level: Option<TopologyLevel>,
    /// ...to so many of one placer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_most")]
    pub max_per_domain: Option<u32>,
}
