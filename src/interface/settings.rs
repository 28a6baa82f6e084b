//! The settings of a placer: classes of tasks, kinds of machines, rules and costs.

use super::{Micros, Resources};

/// The settings of one placer, fixed for its life.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Settings {
    /// How many placers share the machines.
    #[cfg_attr(feature = "serde", serde(rename = "placers"))]
    pub replica_count: u32,
    /// Which of them this one is, counted from 0.
    #[cfg_attr(feature = "serde", serde(rename = "number"))]
    pub replica_index: u32,
    /// The zone of this placer.
    pub zone: u32,
    /// Classes of tasks.
    pub classes: Vec<Class>,
    /// The size of each kind of machine.
    pub kinds: Vec<Resources>,
    /// How lists of machines arrive.
    pub discovery: DiscoveryMode,
    /// When [`Event::AttemptAccepted`](super::Event::AttemptAccepted) arrives.
    #[cfg_attr(feature = "serde", serde(rename = "seated"))]
    pub acceptance_point: AcceptancePoint,
    /// A machine accepts tasks while the cores they request stay within this multiple of its own.
    pub admit_cores: f64,
    /// The same for memory.
    pub admit_memory: f64,
    /// Lists of machines say what is unallocated.
    #[cfg_attr(feature = "serde", serde(rename = "view"))]
    pub endpoints_report_capacity: bool,
    /// What load reports say.
    #[cfg_attr(feature = "serde", serde(rename = "report"))]
    pub load_report: LoadReport,
    /// What the caller can do for the placer.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// The costs that count against what is served.
    #[cfg_attr(feature = "serde", serde(rename = "prices"))]
    pub costs: Costs,
}

impl Settings {
    /// Checks that lists are not empty and figures are finite and in their range.
    ///
    /// # Errors
    ///
    /// The first setting that is not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        if self.kinds.is_empty() {
            return Err(SettingsError::Empty("kinds"));
        }
        let (rules, costs) = (&self.rules, &self.costs);
        let mut figures = vec![
            ("placers", f64::from(self.replica_count), 1.0),
            (
                "number of this placer",
                f64::from(self.replica_count) - f64::from(self.replica_index),
                1.0,
            ),
            ("attempts", f64::from(self.limits.max_attempts), 1.0),
            ("admitted cores", self.admit_cores, f64::MIN_POSITIVE),
            ("admitted memory", self.admit_memory, f64::MIN_POSITIVE),
            ("fall multiple", rules.overload_multiple, f64::MIN_POSITIVE),
            ("cold share", rules.initial_capacity_share, 0.0),
            ("fresh offers", rules.warm_up_offers, 0.0),
            ("price of a refusal", costs.rejection, 0.0),
            ("price of crossing zones", costs.cross_zone, 0.0),
            ("price of machines", costs.fleet, 0.0),
            ("price of a move", costs.migration, 0.0),
        ];
        for kind in &self.kinds {
            figures.push(("cores of a kind", kind.cores, f64::MIN_POSITIVE));
            figures.push(("memory of a kind", kind.memory, f64::MIN_POSITIVE));
        }
        for class in &self.classes {
            figures.push(("worth", class.priority_weight, 0.0));
            figures.push(("start bonus", class.start_bonus_s, 0.0));
            if let Some(kind) = class.machine_kind.filter(|&kind| kind >= self.kinds.len()) {
                return Err(SettingsError::UnknownMachineKind(kind));
            }
        }
        match figures
            .iter()
            .find(|&&(_, value, min)| !value.is_finite() || value < min)
        {
            Some(&(name, ..)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}

/// A class of tasks, which share their rules.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// What a second start of a task does.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// A start within this time earns all that it can, in microseconds.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// Worth of a second of service for a task of mean size.
    #[cfg_attr(feature = "serde", serde(rename = "worth"))]
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    pub start_bonus_s: f64,
    /// Tasks of a higher priority preempt those of a lower one.
    pub priority: u32,
    /// The only kind of machine that takes it, an index into [`Settings::kinds`]; none for any kind.
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub machine_kind: Option<usize>,
    /// How many tasks of a service this placer may have in one domain.
    #[cfg_attr(feature = "serde", serde(rename = "spread"))]
    pub spread_limit: Option<SpreadLimit>,
}

/// Whether a task may be started a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// A second start does no harm.
    #[cfg_attr(feature = "serde", serde(rename = "Safe"))]
    Idempotent,
    /// Machines that know the first start drop a second one.
    #[cfg_attr(feature = "serde", serde(rename = "Keyed"))]
    IdempotencyKey {
        /// The machines that recognise a repeat.
        #[cfg_attr(feature = "serde", serde(rename = "group"))]
        scope: DeduplicationScope,
        /// For how long after the first was sent, in microseconds.
        window: Micros,
    },
    /// It must never be started twice.
    #[cfg_attr(feature = "serde", serde(rename = "Unsafe"))]
    NonIdempotent,
}

/// The machines that recognise the same idempotency keys.
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

/// How many tasks of a service may be in one domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(
    feature = "serde",
    derive(serde::Serialize, serde::Deserialize),
    serde(from = "(TopologyLevel, u32)", into = "(TopologyLevel, u32)")
)]
pub struct SpreadLimit {
    /// What a domain is.
    pub level: TopologyLevel,
    /// The most tasks in one.
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

/// A level of the topology over whose domains the tasks of a service are spread.
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

/// How lists of machines arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DiscoveryMode {
    /// The caller delivers them.
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
    /// Once the machine has accepted; [`TaskReport::Started`](super::TaskReport::Started) follows with the start.
    Accepted,
    /// Once the task runs.
    Running,
}

/// What machines say of their load in answers and probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReport {
    /// Nothing that a placer could use.
    Silent,
    /// Cores and memory that no task has requested.
    #[cfg_attr(feature = "serde", serde(rename = "Unasked"))]
    Unallocated,
    /// Cores and memory that are not in use.
    Unused,
}

/// What the caller can do for the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Limits {
    /// The most attempts for one task.
    pub max_attempts: u32,
    /// [`Action::Cancel`](super::Action::Cancel) is understood.
    #[cfg_attr(feature = "serde", serde(rename = "cancel"))]
    pub can_cancel: bool,
    /// [`Action::Probe`](super::Action::Probe) is understood.
    #[cfg_attr(feature = "serde", serde(rename = "probes"))]
    pub can_probe: bool,
    /// [`Action::SendToPeer`](super::Action::SendToPeer) is understood.
    #[cfg_attr(feature = "serde", serde(rename = "peers"))]
    pub can_message_peers: bool,
    /// The longest advice in [`Action::Reject`](super::Action::Reject), in microseconds; none where owners take no
    /// advice.
    #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
    pub max_retry_after: Option<Micros>,
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rules {
    /// Where discovery is polled ([`DiscoveryMode::Poll`]), a placer that has not asked for this long counts as
    /// notified.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_poll_interval: Micros,
    /// The share of its capacity that a machine has right after its start.
    #[cfg_attr(feature = "serde", serde(rename = "cold_from"))]
    pub initial_capacity_share: f64,
    /// How long a machine warms up, in microseconds.
    #[cfg_attr(feature = "serde", serde(rename = "cold_for"))]
    pub warm_up_duration: Micros,
    /// A machine that is warming up is overloaded by this many times what it can do...
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// ...over this long, in microseconds. Budgets hold in every such window.
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Micros,
    /// Offers in such a window, from all placers together, that a machine always bears while it warms up.
    #[cfg_attr(feature = "serde", serde(rename = "fresh_offers"))]
    pub warm_up_offers: f64,
}

/// Costs, each as a share of the whole worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Costs {
    /// Of one rejected offer for every task.
    #[cfg_attr(feature = "serde", serde(rename = "refused"))]
    pub rejection: f64,
    /// Of every task running in another zone than its placer's.
    pub cross_zone: f64,
    /// Of using all machines, beyond those needed.
    pub fleet: f64,
    /// Of one migration for every task.
    #[cfg_attr(feature = "serde", serde(rename = "moves"))]
    pub migration: f64,
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A list is empty.
    Empty(&'static str),
    /// A figure is not finite, or out of its range.
    OutOfRange(&'static str),
    /// A class names a kind that is not listed.
    UnknownMachineKind(usize),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Empty(what) => write!(f, "{what}: at least one is needed"),
            SettingsError::OutOfRange(what) => write!(f, "{what}: not finite or out of range"),
            SettingsError::UnknownMachineKind(kind) => {
                write!(f, "class of unlisted machine kind {kind}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}
