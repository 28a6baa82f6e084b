//! The rules' figures for one run.

use crate::history::Location;

/// A set of hosts that know each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A place over which a service is spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TopologyLevel {
    /// A host.
    Host,
    /// A cell.
    Cell,
    /// A zone.
    Zone,
}

/// What the rules say of a class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Its name.
    pub name: String,
    /// For keyed ones: the group and the window, µs.
    pub deduplication: Option<(DeduplicationScope, u64)>,
    /// The spread limit.
    pub spread_limit: Option<(TopologyLevel, u32)>,
}

/// Figures of the rules.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// The classes.
    pub classes: Vec<ClassRule>,
    /// Where the hosts stand.
    pub hosts: Vec<Location>,
    /// How many placers there are.
    pub placer_count: u32,
    /// Rule 3: nothing new later than this after the news, µs.
    pub drain_grace_us: u64,
    /// Rule 4: a host is cold for so long after its start, µs.
    pub warm_up_us: u64,
    /// Offers in this time, µs...
    pub overload_window_us: u64,
    /// ...that a cold host always bears, of all placers together.
    pub warm_up_offers: f64,
    /// Tasks of a host without a connection for this long are told as lost, µs.
    pub lost_after_us: u64,
    /// A placer that stood still and went on so long before a deadline owes the answer, µs.
    pub resume_grace_us: u64,
    /// What the recording itself may be late by, µs.
    pub timing_slack_us: u64,
}
