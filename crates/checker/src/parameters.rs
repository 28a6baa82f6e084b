//! The parameters of the rules in one run.

use crate::history::Location;

/// The hosts among which an idempotency key is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All hosts.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

/// A level of the topology over which the tasks of a service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologyLevel {
    /// A host.
    Host,
    /// A cell.
    Cell,
    /// A zone.
    Zone,
}

/// How far and how long hosts recognise a repeated task by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deduplication {
    /// The hosts that recognise it.
    pub scope: DeduplicationScope,
    /// How long after the first attempt it may be sent again, µs.
    pub window_us: u64,
}

/// The most tasks of one service in one place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpreadLimit {
    /// What counts as one place.
    pub level: TopologyLevel,
    /// Tasks of one service that it may hold.
    pub max_tasks: u32,
}

/// What the rules say of a class of tasks.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// How its tasks are deduplicated, for classes with an idempotency key.
    pub deduplication: Option<Deduplication>,
    /// Its spread limit, if it has one.
    pub spread_limit: Option<SpreadLimit>,
}

/// The parameters of the rules in one run.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// The classes of tasks.
    pub classes: Vec<ClassRule>,
    /// Where the hosts stand.
    pub hosts: Vec<Location>,
    /// How many placers share the warm-up budget of a host.
    pub placer_count: u32,
    /// Rule 3: nothing new is offered later than this after the placer was told, µs.
    pub drain_grace_us: u64,
    /// Rule 4: how long a host warms up after its start, µs.
    pub warm_up_us: u64,
    /// Rule 4: the window in which offers to a host that warms up are counted, µs.
    pub overload_window_us: u64,
    /// Rule 4: offers in one window that such a host always bears, of all placers together.
    pub warm_up_offers: f64,
    /// Tasks of a host without a connection for this long are reported as lost, µs.
    pub lost_after_us: u64,
    /// A placer that was paused and resumed this long before a deadline still owes the answer, µs.
    pub resume_grace_us: u64,
    /// How late the recording itself may be, µs.
    pub timing_slack_us: u64,
}

impl RuleParameters {
    /// The rules of a class.
    pub(crate) fn class(&self, name: &str) -> Option<&ClassRule> {
        self.classes.iter().find(|class| class.name == name)
    }
}
