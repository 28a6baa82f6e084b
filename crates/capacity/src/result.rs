//! The result of one sweep, as it is kept in `docs/capacity/*.json`.

use serde::{Deserialize, Serialize};

/// Version of the result format.
pub const RESULT_FORMAT: u32 = 1;

/// One sweep: a dimension that varies while the others stand still.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepResult {
    /// Version of this format, [`RESULT_FORMAT`].
    pub format: u32,
    /// Name of the sweep: the stem of its file under `config/scale`.
    pub sweep: String,
    /// What varies.
    pub dimension: Dimension,
    /// The command that repeats the sweep.
    pub command: String,
    /// Commit of the program that was measured, as `git describe --always --dirty` names it.
    pub commit: String,
    /// Where it was measured.
    pub machine: Machine,
    /// The measured points, in the order of the sweep.
    pub points: Vec<Point>,
}

/// A dimension that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// Hosts that a placer is connected to.
    Workers,
    /// Placers that a host is connected to.
    Placers,
    /// Tasks that run over the whole fleet.
    Tasks,
    /// Task starts a second over the whole fleet.
    StartsPerSecond,
    /// Changes of the host list a second.
    ListChangesPerSecond,
    /// Changes of the configuration an hour.
    ConfigChangesPerHour,
    /// Members of the placers' view of each other.
    Members,
}

/// The machine that a sweep ran on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Model of the processor.
    pub processor: String,
    /// Processors that the operating system shows.
    pub cores: u32,
    /// Memory.
    pub memory_mib: u64,
    /// Release of the kernel.
    pub kernel: String,
}

/// One measured size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Seed of all that was drawn.
    pub seed: u64,
    /// The size, the swept dimension included.
    pub settings: PointSettings,
    /// What was measured, phase by phase.
    pub phases: Vec<PhaseSample>,
}

/// The size of a point in every dimension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PointSettings {
    /// Hosts.
    pub workers: u32,
    /// Real placer processes.
    pub placers: u32,
    /// Hollow placers beside them: the host's side of the protocol without processes.
    pub hollow_placers: u32,
    /// Tasks that run over the whole fleet before the phases begin.
    pub tasks: u32,
    /// Task starts a second over the whole fleet at the peak.
    pub starts_per_second: f64,
    /// Changes of the host list a second at the peak.
    pub list_changes_per_second: f64,
    /// Changes of the configuration an hour at the peak.
    pub config_changes_per_hour: f64,
    /// Members of the placers' view of each other; 0 without a view.
    pub members: u32,
}

impl PointSettings {
    /// The size in one dimension.
    pub fn value(&self, dimension: Dimension) -> f64 {
        match dimension {
            Dimension::Workers => f64::from(self.workers),
            Dimension::Placers => f64::from(self.placers) + f64::from(self.hollow_placers),
            Dimension::Tasks => f64::from(self.tasks),
            Dimension::StartsPerSecond => self.starts_per_second,
            Dimension::ListChangesPerSecond => self.list_changes_per_second,
            Dimension::ConfigChangesPerHour => self.config_changes_per_hour,
            Dimension::Members => f64::from(self.members),
        }
    }
}

/// A phase of a point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Nothing but what runs already.
    Rest,
    /// Starts, list changes and configuration changes at the rates of the point.
    Peak,
    /// The worst second around a fault, measured from its beginning until the fleet has settled.
    WorstSecond(Fault),
}

/// A fault at size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// One worker dies.
    WorkerDies,
    /// A rack of 40 workers dies at once.
    RackDies,
    /// A quarter of the workers die at once.
    ZoneDies,
    /// They return together, cold.
    ZoneReturns,
    /// Half of the workers cannot be reached for a minute.
    RegionCut,
    /// They can be reached again.
    RegionHeals,
    /// Workers are restarted one after the other, a day's restarts compressed.
    WorkerRestarts,
    /// All placers are restarted in steps.
    PlacerRestarts,
}

/// What was measured in one phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhaseSample {
    /// The phase.
    pub phase: Phase,
    /// How long it was measured; 1 for a worst second.
    pub seconds: f64,
    /// Each real placer process.
    pub placers: Vec<ProcessSample>,
    /// Messages of the whole phase between all real placers and all hosts, by kind and direction.
    pub messages: Vec<MessageCount>,
    /// Packets of the phase that the loopback interface counted; absent where other programs used it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loopback_packets: Option<u64>,
    /// Time from an ask to its answer, median, 99th percentile and longest, µs; absent without asks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_us: Option<[u64; 3]>,
}

/// One process, measured from outside.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSample {
    /// Processor time of the phase over its length: 1 is a whole core.
    pub cpu_cores: f64,
    /// Resident memory at the end of the phase.
    pub resident_kib: u64,
    /// Proportional memory at the end of the phase.
    pub proportional_kib: u64,
    /// Open descriptors at the end of the phase.
    pub descriptors: u32,
    /// Connections to hosts at the end of the phase.
    pub host_connections: u32,
}

/// Messages of one kind in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MessageCount {
    /// The kind.
    pub kind: MessageKind,
    /// Who sent them.
    pub direction: Direction,
    /// How many.
    pub count: u64,
    /// Their own bytes.
    pub payload_bytes: u64,
    /// Their bytes on a wire: payload, a TCP/IP header for each segment that carried them, and the acknowledgements.
    pub wire_bytes: u64,
}

/// Who sent a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// A placer sent it.
    FromPlacer,
    /// A host, or another peer of the placer, sent it.
    ToPlacer,
}

/// A kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum MessageKind {
    Hello,
    Held,
    HeldEnd,
    Ping,
    Pong,
    Probe,
    Report,
    Drain,
    Note,
    Bye,
    Offer,
    Accepted,
    Refused,
    Started,
    Ended,
    Cancel,
    Stop,
    /// Setting up and closing a connection.
    Connection,
    /// A datagram of the placers' view of each other.
    FleetDatagram,
}

/// What a message is sent for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessagePurpose {
    /// Knowing who is there and in what state.
    Control,
    /// Placing, running and ending tasks.
    Placing,
    /// Both readings are possible.
    Either,
}

impl MessageKind {
    /// What messages of this kind are sent for.
    pub fn purpose(self) -> MessagePurpose {
        match self {
            Self::Hello | Self::HeldEnd | Self::Ping | Self::Pong | Self::Drain | Self::Bye => {
                MessagePurpose::Control
            }
            Self::Connection | Self::FleetDatagram => MessagePurpose::Control,
            Self::Offer | Self::Accepted | Self::Refused | Self::Started | Self::Ended => {
                MessagePurpose::Placing
            }
            Self::Cancel | Self::Stop => MessagePurpose::Placing,
            Self::Held | Self::Probe | Self::Report | Self::Note => MessagePurpose::Either,
        }
    }
}
