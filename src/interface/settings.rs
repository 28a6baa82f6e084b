//! What a placer is told at its start: classes of tasks, kinds of machines, rules and costs.

use super::{Micros, Resources};

/// All that a placer is told at its start.
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
    /// How news of the machines is had.
    pub discovery: DiscoveryMode,
    /// When a task counts as seated.
    #[cfg_attr(feature = "serde", serde(rename = "seated"))]
    pub acceptance_point: AcceptancePoint,
    /// A machine accepts while asks stay within this multiple of its cores.
    pub admit_cores: f64,
    /// The same for memory.
    pub admit_memory: f64,
    /// Listings tell what nobody asked for.
    #[cfg_attr(feature = "serde", serde(rename = "view"))]
    pub endpoints_report_capacity: bool,
    /// What load reports tell.
    #[cfg_attr(feature = "serde", serde(rename = "report"))]
    pub load_report: LoadReport,
    /// What the caller can do.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Prices.
    #[cfg_attr(feature = "serde", serde(rename = "prices"))]
    pub costs: Costs,
}

impl Settings {
    /// Whether the figures make sense; the error names the first that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::Empty("classes"));
        }
        if self.kinds.is_empty() {
            return Err(SettingsError::Empty("kinds"));
        }
        let (rules, prices) = (&self.rules, &self.costs);
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
            ("price of a refusal", prices.rejection, 0.0),
            ("price of crossing zones", prices.cross_zone, 0.0),
            ("price of machines", prices.fleet, 0.0),
            ("price of a move", prices.migration, 0.0),
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
            .find(|&&(_, x, least)| !x.is_finite() || x < least)
        {
            Some(&(name, ..)) => Err(SettingsError::OutOfRange(name)),
            None => Ok(()),
        }
    }
}

/// A class of tasks.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Class {
    /// What a second start does.
    #[cfg_attr(feature = "serde", serde(rename = "effect"))]
    pub retry_safety: RetrySafety,
    /// A start within this time earns all it can.
    #[cfg_attr(feature = "serde", serde(rename = "aim"))]
    pub latency_objective: Micros,
    /// Worth of a second of service at mean size.
    #[cfg_attr(feature = "serde", serde(rename = "worth"))]
    pub priority_weight: f64,
    /// Seconds of service that a timely start is worth.
    pub start_bonus_s: f64,
    /// Tasks of higher priority push out those of lower.
    pub priority: u32,
    /// The only machine kind that takes it, if any.
    #[cfg_attr(feature = "serde", serde(rename = "kind"))]
    pub machine_kind: Option<usize>,
    /// The most tasks of a service that this placer may have in one such place.
    #[cfg_attr(feature = "serde", serde(rename = "spread"))]
    pub spread_limit: Option<(TopologyLevel, u32)>,
}

/// What a second start of a task would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum RetrySafety {
    /// No harm.
    #[cfg_attr(feature = "serde", serde(rename = "Safe"))]
    Idempotent,
    /// Dropped by the machines of `group` that remember the first, for `window` from its send.
    #[cfg_attr(feature = "serde", serde(rename = "Keyed"))]
    IdempotencyKey {
        /// Where repeats are recognised.
        group: DeduplicationScope,
        /// How long they are.
        window: Micros,
    },
    /// Harm: it must never be started twice.
    #[cfg_attr(feature = "serde", serde(rename = "Unsafe"))]
    NonIdempotent,
}

/// A set of machines that recognise one another's keys.
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

/// A place over which a service's tasks are to be spread.
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

/// How news of the machines is had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum DiscoveryMode {
    /// It comes unasked.
    #[cfg_attr(feature = "serde", serde(rename = "Push"))]
    Watch,
    /// Only after [`Action::Listen`] or [`Action::Lookup`].
    #[cfg_attr(feature = "serde", serde(rename = "Ask"))]
    Poll,
}

/// When [`Event::Seated`] comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AcceptancePoint {
    /// Once the machine has accepted; [`Note::Started`] tells of the start.
    Accepted,
    /// Once the task runs.
    Running,
}

/// What the machines say of their load in answers or probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum LoadReport {
    /// Nothing that a placer could use.
    Silent,
    /// Cores and memory that nobody asked for.
    #[cfg_attr(feature = "serde", serde(rename = "Unasked"))]
    Unallocated,
    /// Cores and memory that are not in use.
    Unused,
}

/// What the caller can do for the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Limits {
    /// Attempts for one placing.
    pub max_attempts: u32,
    /// [`Action::Cancel`] is understood.
    #[cfg_attr(feature = "serde", serde(rename = "cancel"))]
    pub can_cancel: bool,
    /// [`Action::Probe`] is understood.
    #[cfg_attr(feature = "serde", serde(rename = "probes"))]
    pub can_probe: bool,
    /// [`Action::Tell`] is understood.
    #[cfg_attr(feature = "serde", serde(rename = "peers"))]
    pub can_message_peers: bool,
    /// Owners hear the advice in [`Action::Refuse`], up to this long.
    #[cfg_attr(feature = "serde", serde(rename = "come_back"))]
    pub max_retry_after: Option<Micros>,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Rules {
    /// In [`Discovery::Ask`] mode, silence towards discovery for this long counts as being told.
    #[cfg_attr(feature = "serde", serde(rename = "ask_within"))]
    pub max_poll_interval: Micros,
    /// The least share of its pace that a machine has right after its start.
    #[cfg_attr(feature = "serde", serde(rename = "cold_from"))]
    pub initial_capacity_share: f64,
    /// A machine is warm after this.
    #[cfg_attr(feature = "serde", serde(rename = "cold_for"))]
    pub warm_up_duration: Micros,
    /// A cold machine falls over when sent this many times what it can do...
    #[cfg_attr(feature = "serde", serde(rename = "fall_multiple"))]
    pub overload_multiple: f64,
    /// ...for this long.
    #[cfg_attr(feature = "serde", serde(rename = "fall_window"))]
    pub overload_window: Micros,
    /// Offers within `fall_window`, from all placers, that a cold machine always bears.
    #[cfg_attr(feature = "serde", serde(rename = "fresh_offers"))]
    pub warm_up_offers: f64,
}

/// Prices, each in shares of the whole worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Costs {
    /// One refused offer for every task.
    #[cfg_attr(feature = "serde", serde(rename = "refused"))]
    pub rejection: f64,
    /// Every task running in another zone than its placer's.
    pub cross_zone: f64,
    /// As many machines in use as there are, beyond those needed.
    pub fleet: f64,
    /// One move for every task.
    #[cfg_attr(feature = "serde", serde(rename = "moves"))]
    pub migration: f64,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A list that must not be empty is.
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
