//! Parameters of the rules for one run.

use crate::history::Location;

/// The set of hosts that share recognised idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// The topology level at which the tasks of a service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologyLevel {
    /// A host.
    Host,
    /// A cell.
    Cell,
    /// A zone.
    Zone,
}

/// Where and for how long hosts recognise a repeated task by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deduplication {
    /// The hosts that recognise the key of the first attempt.
    pub scope: DeduplicationScope,
    /// How long after the first attempt the task may be sent again, µs.
    pub window_us: u64,
}

/// The maximum number of tasks of one service in one host, cell or zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadLimit {
    /// The level at which tasks are counted.
    pub level: TopologyLevel,
    /// Maximum number of tasks of one service in one unit of that level.
    pub max_tasks: u32,
}

/// Rule parameters of one class of tasks.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Name of the class.
    pub name: String,
    /// Deduplication of its tasks, for classes with an idempotency key.
    pub deduplication: Option<Deduplication>,
    /// Spread limit of the class, if it has one.
    pub spread_limit: Option<SpreadLimit>,
}

/// Parameters of the rules for one run.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// The classes of tasks.
    pub classes: Vec<ClassRule>,
    /// Locations of the hosts.
    pub hosts: Vec<Location>,
    /// Number of placers that share the warm-up budget of a host.
    pub placer_count: u32,
    /// Rule 3: how long after a placer was notified that a host accepts no new tasks its offers may still arrive, µs.
    pub drain_grace_us: u64,
    /// Rule 4: how long a host warms up after its start, µs.
    pub warm_up_us: u64,
    /// Rule 4: length of the sliding window in which offers to a warming host are counted, µs.
    pub overload_window_us: u64,
    /// Rule 4: budget of a warming host, as offers from all placers together in one window.
    pub max_warm_up_offers: f64,
    /// Rule 5: how long a host can be disconnected from a placer before its tasks count as lost, µs.
    pub connection_loss_timeout_us: u64,
    /// Rule 1: a placer that was resumed from a pause at least this long before a deadline must still answer, µs.
    pub resume_grace_us: u64,
    /// Maximum delay of the recording itself, µs.
    pub timing_slack_us: u64,
}

impl RuleParameters {
    /// The parameters of the class with this name.
    pub(crate) fn class(&self, name: &str) -> Option<&ClassRule> {
        self.classes.iter().find(|class| class.name == name)
    }
}
