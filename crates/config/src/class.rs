//! Settings of host kinds and task classes.

use serde::{Deserialize, Serialize};

use crate::defaults as d;

/// A kind of host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Kind")]
pub struct HostKind {
    /// Its name.
    pub name: String,
    /// Number of cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
}

/// The effect of starting a task a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Effect")]
pub enum RetrySafety {
    /// A second start does no harm.
    #[serde(rename = "safe")]
    Idempotent,
    /// The hosts of a group recognise copies by their key and keep one.
    #[serde(rename = "keyed")]
    IdempotencyKey,
    /// A second start must never happen.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// The hosts that recognise copies of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", expecting = "enum Group")]
pub enum DeduplicationScope {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// The topology level over which a service is spread.
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
    /// The effect of starting a task a second time.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
    /// The hosts that recognise copies of a task. Required for keyed classes, and allowed only for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "group")]
    pub deduplication_scope: Option<DeduplicationScope>,
    /// How long these hosts recognise copies, ms, counted from the first attempt to send the task. Required for keyed
    /// classes, and allowed only for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "window_ms")]
    pub deduplication_window_ms: Option<u64>,
    /// A task that starts within this time gets its full value.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Value of a second of service for a task of mean size.
    #[serde(default = "d::one")]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Value of a start in time, in seconds of service.
    #[serde(default)]
    pub start_bonus_s: f64,
    /// Tasks of a higher priority preempt those of a lower one.
    #[serde(default)]
    pub priority: u32,
    /// The only kind of host that runs its tasks; any kind if missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<String>,
    /// The topology level over which the tasks of one service are spread. Set together with `spread_most`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_over")]
    pub spread_level: Option<TopologyLevel>,
    /// Maximum number of tasks of one service and one placer in a domain of that level.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "spread_most")]
    pub max_per_domain: Option<u32>,
}
