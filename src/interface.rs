//! What goes into a [`Placer`](crate::Placer) and what comes out: settings, events, actions.
//!
//! Times are microseconds on the caller's clock, which may start anywhere and never runs back.

/// A point in time, or a span, in microseconds.
pub type Micros = u64;

/// A machine, numbered by the caller. The number means nothing and is kept for the placer's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineId(pub u32);

/// One placing of a task. A task that comes again has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct TaskId(pub u64);

/// The service that a task belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ServiceId(pub u64);

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
    pub kind: Option<usize>,
    /// The most tasks of a service that this placer may have in one such place.
    #[cfg_attr(feature = "serde", serde(rename = "spread"))]
    pub spread_limit: Option<(TopologyLevel, u32)>,
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
    pub cancel: bool,
    /// [`Action::Probe`] is understood.
    pub probes: bool,
    /// [`Action::Tell`] is understood.
    pub peers: bool,
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
    pub view: bool,
    /// What load reports tell.
    pub report: LoadReport,
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
    pub fn check(&self) -> Result<(), SettingsError> {
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
            if let Some(kind) = class.kind.filter(|&kind| kind >= self.kinds.len()) {
                return Err(SettingsError::UnknownKind(kind));
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

/// Cores and memory: a size, what is asked for, what is free, or shares of a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Resources {
    /// Cores.
    pub cores: f64,
    /// Memory, in any one unit.
    pub memory: f64,
}

impl Resources {
    /// So many cores and so much memory.
    pub const fn new(cores: f64, memory: f64) -> Resources {
        Resources { cores, memory }
    }

    /// Both, `times` times `other` added.
    pub fn plus(self, other: Resources, times: f64) -> Resources {
        Resources::new(
            self.cores + times * other.cores,
            self.memory + times * other.memory,
        )
    }

    /// Both, multiplied one by one.
    pub fn scaled(self, by: Resources) -> Resources {
        Resources::new(self.cores * by.cores, self.memory * by.memory)
    }

    /// Both as shares of `size`.
    pub fn of(self, size: Resources) -> Resources {
        Resources::new(self.cores / size.cores, self.memory / size.memory)
    }

    /// The larger of both, and no less than 0.
    pub fn larger(self) -> f64 {
        self.cores.max(self.memory).max(0.0)
    }
}

/// One attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptId {
    /// The task.
    pub task: TaskId,
    /// Attempts of a task count from 0.
    pub number: u32,
}

/// How an attempt ended, with all that was told of it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct AttemptResult {
    /// How.
    #[cfg_attr(feature = "serde", serde(rename = "ending"))]
    pub outcome: AttemptOutcome,
    /// Why, if told.
    #[cfg_attr(feature = "serde", serde(rename = "why"))]
    pub reason: Option<FailureReason>,
    /// The placing is over.
    pub closed: bool,
    /// The machine's report, if one came.
    pub load: Option<Resources>,
}

/// What discovery says of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum MachineState {
    /// It takes tasks.
    Ready,
    /// It finishes its work and is to get nothing new.
    Draining,
    /// It was removed.
    Gone,
}

/// One line of a list of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct MachineEntry {
    /// The machine.
    pub machine: MachineId,
    /// A number that every placer sees alike, such as a hash of its address.
    #[cfg_attr(feature = "serde", serde(rename = "label"))]
    pub stable_hash: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell; unique over all zones.
    pub cell: u32,
    /// Its kind, an index into [`Settings::kinds`].
    pub kind: usize,
    /// Its state.
    pub state: MachineState,
    /// When it last started, if that was not long ago.
    pub started: Option<Micros>,
    /// What nobody had asked for, some time ago. Below zero where more was accepted.
    #[cfg_attr(feature = "serde", serde(rename = "unasked"))]
    pub unallocated: Option<Resources>,
}

impl MachineEntry {
    /// The number of the place of this kind that the machine is in.
    pub fn domain(&self, kind: TopologyLevel) -> u32 {
        match kind {
            TopologyLevel::Machine => self.machine.0,
            TopologyLevel::Cell => self.cell,
            TopologyLevel::Zone => self.zone,
        }
    }
}

/// How far a list reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum UpdateScope {
    /// Only what changed.
    #[cfg_attr(feature = "serde", serde(rename = "Changes"))]
    Delta,
    /// All machines; those not in it are gone.
    Full,
    /// All machines as this placer last knew them before its restart; may be old.
    Restored,
}

/// A task as its owner describes it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Task {
    /// This placing of it.
    pub id: TaskId,
    /// Its service.
    pub service: ServiceId,
    /// Its class, an index into [`Settings::classes`].
    pub class: usize,
    /// What it asks for.
    #[cfg_attr(feature = "serde", serde(rename = "asks"))]
    pub requested: Resources,
    /// How long it should still run, roughly.
    #[cfg_attr(feature = "serde", serde(rename = "life"))]
    pub expected_duration: Option<Micros>,
    /// When its owner gives up.
    #[cfg_attr(feature = "serde", serde(rename = "give_up_at"))]
    pub deadline: Micros,
    /// It came again after a refusal, failure, move or loss.
    #[cfg_attr(feature = "serde", serde(rename = "again"))]
    pub is_resubmission: bool,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum TaskReport {
    /// The task runs.
    Started,
    /// Cores that it uses.
    CoresUsed(f64),
    /// Memory that it uses.
    MemoryUsed(f64),
    /// The share of full service that it gets.
    Served(f64),
    /// The share of its machine's memory that is in use.
    MachineMemory(f64),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum AttemptOutcome {
    /// The task came to its end.
    #[cfg_attr(feature = "serde", serde(rename = "Done"))]
    Completed,
    /// The machine answered with an error; the task may have run.
    Error,
    /// Turned down, or handed back before it ran.
    #[cfg_attr(feature = "serde", serde(rename = "Refused"))]
    Rejected,
    /// No answer in time; the task may run.
    TimedOut,
    /// No connection; it never ran.
    #[cfg_attr(feature = "serde", serde(rename = "Unreachable"))]
    ConnectFailed,
    /// The connection or the machine was lost, or the task was evicted, pushed out or sent away.
    #[cfg_attr(feature = "serde", serde(rename = "Reset"))]
    Disconnected,
    /// Called off; before it was seated it may have run.
    Cancelled,
    /// It was never sent.
    #[cfg_attr(feature = "serde", serde(rename = "NotSent"))]
    NeverSent,
}

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum FailureReason {
    /// Too few cores.
    Cores,
    /// Too little memory.
    Memory,
    /// Too many offers wait.
    #[cfg_attr(feature = "serde", serde(rename = "Line"))]
    QueueFull,
    /// Wrong kind, draining, too late, or a copy stands there.
    #[cfg_attr(feature = "serde", serde(rename = "NotHere"))]
    Ineligible,
    /// Evicted for memory.
    Evicted,
    /// Pushed out by a higher priority.
    #[cfg_attr(feature = "serde", serde(rename = "PushedOut"))]
    Preempted,
    /// Sent away by a draining machine.
    #[cfg_attr(feature = "serde", serde(rename = "SentAway"))]
    Drained,
}

/// What a placer sees.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Event {
    /// News of the machines.
    #[cfg_attr(feature = "serde", serde(rename = "Listed"))]
    EndpointsUpdated {
        /// How far it reaches.
        scope: UpdateScope,
        /// The machines.
        machines: Vec<MachineEntry>,
    },
    /// Which of the placers this one is from now on, where that is leased rather than set. Without a
    /// number it has no part of a cold machine's budget.
    #[cfg_attr(feature = "serde", serde(rename = "Numbered"))]
    ReplicaIndexChanged(Option<u32>),
    /// Whether the caller has a connection to a machine. Told only by callers that keep connections:
    /// without one an offer is [`Ending::Unreachable`] at once. A machine of which nothing was told
    /// counts as connected.
    #[cfg_attr(feature = "serde", serde(rename = "Linked"))]
    ConnectionChanged(MachineId, bool),
    /// A call to discovery failed, or the subscription broke.
    #[cfg_attr(feature = "serde", serde(rename = "ListUnavailable"))]
    DiscoveryUnavailable,
    /// A task to place.
    #[cfg_attr(feature = "serde", serde(rename = "Asked"))]
    PlacementRequested(Task),
    /// A task that runs already and is this placer's from now on, as attempt 0.
    #[cfg_attr(feature = "serde", serde(rename = "Running"))]
    TaskAdopted(Task, MachineId),
    /// The task is placed; with the time from the offer to the answer, where the caller measures it. A placer
    /// that stood still would take its own silence for the machine's.
    #[cfg_attr(feature = "serde", serde(rename = "Seated"))]
    AttemptAccepted(AttemptId, Option<Micros>),
    /// News of an attempt.
    #[cfg_attr(feature = "serde", serde(rename = "Noted"))]
    TaskReported(AttemptId, TaskReport),
    /// An attempt ended.
    #[cfg_attr(feature = "serde", serde(rename = "Ended"))]
    AttemptFinished(AttemptId, AttemptResult),
    /// Nobody wants the task any more.
    #[cfg_attr(feature = "serde", serde(rename = "HungUp"))]
    ClientDisconnected(TaskId),
    /// An [`Action::Wake`] fell due.
    #[cfg_attr(feature = "serde", serde(rename = "Woken"))]
    TimerFired(u64),
    /// A probe's result.
    Probed {
        /// The machine.
        machine: MachineId,
        /// It answered.
        ok: bool,
        /// Its report, if one came.
        load: Option<Resources>,
    },
    /// A message from another placer.
    #[cfg_attr(feature = "serde", serde(rename = "Told"))]
    PeerMessage {
        /// Its number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// What a held task waits for: that which stopped the machine that came nearest to taking it, later
/// ones being nearer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum BlockReason {
    /// A larger machine: no kind that it may run on could ever take it.
    #[cfg_attr(feature = "serde", serde(rename = "Size"))]
    NoKindFits,
    /// A machine of its kind that takes tasks: all drain, or are gone.
    #[cfg_attr(feature = "serde", serde(rename = "Ready"))]
    NoReadyMachine,
    /// A connection to one.
    #[cfg_attr(feature = "serde", serde(rename = "Link"))]
    NotConnected,
    /// A machine of the group that knows its key, since an attempt may have run there.
    #[cfg_attr(feature = "serde", serde(rename = "Group"))]
    OutsideDeduplicationScope,
    /// A place that does not yet hold as many tasks of its service as it may.
    #[cfg_attr(feature = "serde", serde(rename = "Spread"))]
    SpreadLimit,
    /// A share of a cold machine's budget.
    #[cfg_attr(feature = "serde", serde(rename = "Cold"))]
    WarmUpBudget,
    /// Room.
    #[cfg_attr(feature = "serde", serde(rename = "Room"))]
    NoCapacity,
}

/// What a placer wants done.
#[derive(Clone, Debug, PartialEq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub enum Action {
    /// Offer the task to a machine, and wait so long for its answer.
    Offer(TaskId, MachineId, Micros),
    /// Stop waiting for an attempt.
    Cancel(AttemptId),
    /// Final answer: not placed, and asking again does no harm; with advice how long to wait.
    #[cfg_attr(feature = "serde", serde(rename = "Refuse"))]
    Reject(TaskId, Option<Micros>),
    /// Final answer: not placed, and nothing is promised.
    Fail(TaskId),
    /// A task is held, from now on for want of this. Nothing is to be done; told once for each change.
    #[cfg_attr(feature = "serde", serde(rename = "Held"))]
    Blocked(TaskId, BlockReason),
    /// Stop a placed task, so that its owner asks again.
    #[cfg_attr(feature = "serde", serde(rename = "Move"))]
    Migrate(TaskId),
    /// Return [`Event::Woken`] with this label after so long.
    #[cfg_attr(feature = "serde", serde(rename = "Wake"))]
    SetTimer(Micros, u64),
    /// Ask a machine for its report.
    Probe(MachineId),
    /// Close idle connections to a machine.
    CloseIdle(MachineId),
    /// Send a message of at most 256 bytes to one placer, or to all.
    #[cfg_attr(feature = "serde", serde(rename = "Tell"))]
    SendToPeer {
        /// Its number; all without one.
        to: Option<u32>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Subscribe to discovery's changes, or end that.
    #[cfg_attr(feature = "serde", serde(rename = "Listen"))]
    WatchEndpoints(bool),
    /// Ask discovery for the full list once.
    #[cfg_attr(feature = "serde", serde(rename = "Lookup"))]
    FetchEndpoints,
    /// A line for the operators.
    Log(String),
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A list that must not be empty is.
    Empty(&'static str),
    /// A figure is not finite, or out of its range.
    OutOfRange(&'static str),
    /// A class names a kind that is not listed.
    UnknownKind(usize),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::Empty(what) => write!(f, "{what}: at least one is needed"),
            SettingsError::OutOfRange(what) => write!(f, "{what}: not finite or out of range"),
            SettingsError::UnknownKind(kind) => write!(f, "class of unlisted machine kind {kind}"),
        }
    }
}

impl std::error::Error for SettingsError {}
