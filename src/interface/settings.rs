//! The settings of a placer: task classes, machine kinds, limits, rules and costs.

use super::{Micros, Resources};

/// The settings of one placer, fixed for its lifetime.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// The number of placers that share the machines.
    #[cfg_attr(feature = "serde", serde(rename = "placers"))]
    pub replica_count: u32,
    /// The index of this placer among them, from 0.
    #[cfg_attr(feature = "serde", serde(rename = "number"))]
    pub replica_index: u32,
    /// The zone of this placer.
    pub zone: u32,
    /// The task classes.
    pub classes: Vec<Class>,
    /// The size of each kind of machine.
    #[cfg_attr(feature = "serde", serde(rename = "kinds"))]
    pub machine_kinds: Vec<Resources>,
    /// How endpoint lists arrive.
    pub discovery: DiscoveryMode,
    /// When [`Event::AttemptAccepted`](super::Event::AttemptAccepted) arrives.
    #[cfg_attr(feature = "serde", serde(rename = "seated"))]
    pub acceptance_point: AcceptancePoint,
    /// Overcommit factor: a machine accepts tasks while the cores they request are at most this multiple of its own.
    #[cfg_attr(feature = "serde", serde(rename = "admit_cores"))]
    pub cpu_overcommit: f64,
    /// The overcommit factor for memory.
    #[cfg_attr(feature = "serde", serde(rename = "admit_memory"))]
    pub memory_overcommit: f64,
    /// Whether endpoint lists contain the unallocated resources of machines.
    #[cfg_attr(feature = "serde", serde(rename = "view"))]
    pub endpoints_report_capacity: bool,
    /// What load reports contain.
    #[cfg_attr(feature = "serde", serde(rename = "report"))]
    pub load_report_content: LoadReportContent,
    /// Limits on attempts and on the actions that the caller supports.
    pub limits: CallerLimits,
    /// The parameters of the rules for drains and for machines that are warming up.
    pub rules: Rules,
    /// The costs that are subtracted from the value of the service.
    #[cfg_attr(feature = "serde", serde(rename = "prices"))]
    pub costs: Costs,
}

impl Settings {
    /// Checks that lists are not empty, and that numbers are finite and within their range.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that fails a check.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        if self.machine_kinds.is_empty() {
            return Err(SettingsError::Empty("kinds"));
        }
        let (rules, costs) = (&self.rules, &self.costs);
        let mut bounded_values = vec![
            ("placers", f64::from(self.replica_count), 1.0),
            (
                "index of this placer",
                f64::from(self.replica_count) - f64::from(self.replica_index),
                1.0,
            ),
            ("attempts", f64::from(self.limits.max_attempts), 1.0),
            ("core overcommit", self.cpu_overcommit, f64::MIN_POSITIVE),
            (
                "memory overcommit",
                self.memory_overcommit,
                f64::MIN_POSITIVE,
            ),
            (
                "overload multiple",
                rules.overload_multiple,
                f64::MIN_POSITIVE,
            ),
            ("initial capacity share", rules.initial_capacity_share, 0.0),
            ("warm-up offers", rules.warm_up_offers_per_window, 0.0),
            ("cost of a rejection", costs.rejection, 0.0),
            ("cost of crossing zones", costs.cross_zone, 0.0),
            ("cost of machines in use", costs.machines_in_use, 0.0),
            ("cost of a migration", costs.migration, 0.0),
        ];
        for kind in &self.machine_kinds {
            bounded_values.push(("cores of a kind", kind.cores, f64::MIN_POSITIVE));
            bounded_values.push(("memory of a kind", kind.memory, f64::MIN_POSITIVE));
        }
        for class in &self.classes {
            bounded_values.push(("priority weight", class.priority_weight, 0.0));
            bounded_values.push(("start bonus", class.start_bonus_s, 0.0));
            if let Some(kind) = class
                .machine_kind
                .filter(|&kind| kind >= self.machine_kinds.len())
            {
                return Err(SettingsError::UnknownMachineKind(kind));
            }
        }
        match bounded_values
            .iter()
            .find(|&&(_, value, min)| !value.is_finite() || value < min)
        {
            Some(&(name, ..)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}

/// A class of tasks with the same requirements.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// Whether a task may be started a second time.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// The time within which a task should start, in microseconds. A start within this time earns the full start bonus.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// The value of a second of service for a task of mean size.
    #[cfg_attr(feature = "serde", serde(rename = "worth"))]
    pub priority_weight: f64,
    /// The value of a timely start, in seconds of service.
    pub start_bonus_s: f64,
    /// Tasks of a higher priority preempt those of a lower one.
    pub priority: u32,
    /// The only kind of machine that may run it, an index into [`Settings::machine_kinds`]; none for any kind.
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub machine_kind: Option<usize>,
    /// The maximum number of tasks of one service that this placer may have in one domain.
    #[cfg_attr(feature = "serde", serde(rename = "spread"))]
    pub spread_limit: Option<SpreadLimit>,
}

/// Whether and where a task may be started a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// A second start has no further effect.
    #[cfg_attr(feature = "serde", serde(rename = "Safe"))]
    Idempotent,
    /// Machines deduplicate starts by an idempotency key, within a scope and a window.
    #[cfg_attr(feature = "serde", serde(rename = "Keyed"))]
    IdempotencyKey {
        /// The machines that share the keys.
        #[cfg_attr(feature = "serde", serde(rename = "group"))]
        scope: DeduplicationScope,
        /// How long a key is valid after the first attempt was sent, in microseconds.
        window: Micros,
    },
    /// It must never be started twice.
    #[cfg_attr(feature = "serde", serde(rename = "Unsafe"))]
    NonIdempotent,
}

/// The machines that share idempotency keys with the machine of the first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DeduplicationScope {
    /// Every machine.
    All,
    /// The machines of one zone.
    Zone,
    /// The machines of one cell.
    Cell,
}

/// The maximum number of tasks of a service in one domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "(TopologyLevel, u32)", into = "(TopologyLevel, u32)")
)]
pub struct SpreadLimit {
    /// The topology level of the domains.
    pub level: TopologyLevel,
    /// The maximum number of tasks in one domain.
    pub max_tasks: u32,
}

impl From<(TopologyLevel, u32)> for SpreadLimit {
    fn from((level, max_tasks): (TopologyLevel, u32)) -> SpreadLimit {
        SpreadLimit { level, max_tasks }
    }
}

impl From<SpreadLimit> for (TopologyLevel, u32) {
    fn from(limit: SpreadLimit) -> (TopologyLevel, u32) {
        (limit.level, limit.max_tasks)
    }
}

/// A level of the topology. The tasks of a service are spread over the domains of one level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum TopologyLevel {
    /// One machine.
    Machine,
    /// One cell: a small group of machines, such as a rack.
    Cell,
    /// One zone.
    Zone,
}

/// How endpoint lists arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DiscoveryMode {
    /// The caller delivers them without a request.
    #[cfg_attr(feature = "serde", serde(rename = "Push"))]
    Watch,
    /// Only after [`Action::WatchEndpoints`](super::Action::WatchEndpoints) or
    /// [`Action::FetchEndpoints`](super::Action::FetchEndpoints).
    #[cfg_attr(feature = "serde", serde(rename = "Ask"))]
    Poll,
}

/// When [`Event::AttemptAccepted`](super::Event::AttemptAccepted) arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AcceptancePoint {
    /// When the machine accepts the task; [`TaskReport::Started`](super::TaskReport::Started) follows with the start.
    Accepted,
    /// When the task runs.
    Running,
}

/// What load reports in answers and probes contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReportContent {
    /// No cores and memory, so placers do not use the reports.
    #[cfg_attr(feature = "serde", serde(rename = "Silent"))]
    Nothing,
    /// Cores and memory that no task has requested.
    #[cfg_attr(feature = "serde", serde(rename = "Unasked"))]
    UnallocatedResources,
    /// Cores and memory that are not in use.
    #[cfg_attr(feature = "serde", serde(rename = "Unused"))]
    UnusedResources,
}

/// Limits on attempts, and which actions the caller supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct CallerLimits {
    /// The maximum number of attempts for one task.
    pub max_attempts: u32,
    /// The caller supports [`Action::Cancel`](super::Action::Cancel).
    #[cfg_attr(feature = "serde", serde(rename = "cancel"))]
    pub can_cancel: bool,
    /// The caller supports [`Action::Probe`](super::Action::Probe).
    #[cfg_attr(feature = "serde", serde(rename = "probes"))]
    pub can_probe: bool,
    /// The caller supports [`Action::SendToPeer`](super::Action::SendToPeer).
    #[cfg_attr(feature = "serde", serde(rename = "peers"))]
    pub can_message_peers: bool,
    /// The maximum `retry_after` of [`Action::Reject`](super::Action::Reject), in microseconds; none where owners
    /// ignore it.
    #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
    pub max_retry_after: Option<Micros>,
}

/// The parameters of the rules for drains and for machines that are warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rules {
    /// In [`DiscoveryMode::Poll`], a placer that has not called discovery for this long is treated as if it had received
    /// all changes, in microseconds.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_poll_interval: Micros,
    /// The share of its full capacity that a machine has right after its start.
    #[cfg_attr(feature = "serde", serde(rename = "cold_from"))]
    pub initial_capacity_share: f64,
    /// How long a machine warms up, in microseconds.
    #[cfg_attr(feature = "serde", serde(rename = "cold_for"))]
    pub warm_up_duration: Micros,
    /// A machine that is warming up is overloaded if its load over an `overload_window` exceeds this multiple of its
    /// current capacity.
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// The length of the window over which overload is determined, in microseconds. The warm-up budget applies to every
    /// window of this length.
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Micros,
    /// The warm-up budget: the maximum number of offers per `overload_window`, from all placers together, that cannot
    /// overload a machine that is warming up.
    #[cfg_attr(feature = "serde", serde(rename = "fresh_offers"))]
    pub warm_up_offers_per_window: f64,
}

/// Costs, each as a share of the total value of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Costs {
    /// The cost if every task has one rejected offer.
    #[cfg_attr(feature = "serde", serde(rename = "refused"))]
    pub rejection: f64,
    /// The cost if every task runs in a zone other than its placer's.
    pub cross_zone: f64,
    /// The cost if all machines are in use instead of only as many as needed.
    #[cfg_attr(feature = "serde", serde(rename = "fleet"))]
    pub machines_in_use: f64,
    /// The cost if every task migrates once.
    #[cfg_attr(feature = "serde", serde(rename = "moves"))]
    pub migration: f64,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The list of this name is empty.
    Empty(&'static str),
    /// The number of this name is not finite, or is out of its range.
    OutOfRange(&'static str),
    /// A class requires the machine kind of this index, which is not in [`Settings::machine_kinds`].
    UnknownMachineKind(usize),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Empty(what) => write!(f, "{what}: expected at least one, got none"),
            SettingsError::OutOfRange(what) => write!(f, "{what}: not finite or out of range"),
            SettingsError::UnknownMachineKind(kind) => {
                write!(
                    f,
                    "a class requires machine kind {kind}, which is not listed"
                )
            }
        }
    }
}

impl std::error::Error for SettingsError {}
