//! The result of a sweep, as stored in `docs/capacity/*.json`.

use serde::{Deserialize, Serialize};

/// The version of the result format.
pub const RESULT_FORMAT: u32 = 1;

/// The result of a sweep, which varies one dimension and keeps the others fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepResult {
    /// The format version, [`RESULT_FORMAT`].
    pub format: u32,
    /// The name of the sweep, which is the stem of its file in `config/scale`.
    pub sweep: String,
    /// The dimension that varies.
    pub dimension: Dimension,
    /// The command to repeat the sweep.
    pub command: String,
    /// The commit of the measured program, as named by `git describe --always --dirty`.
    pub commit: String,
    /// The machine that the sweep ran on.
    pub machine: MachineInfo,
    /// The measured points, in the order of the sweep.
    pub points: Vec<SweepPoint>,
}

/// A dimension that a sweep varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dimension {
    /// The number of hosts that each placer is connected to.
    Workers,
    /// The number of placers that each host is connected to.
    Placers,
    /// The number of running tasks in the whole fleet.
    Tasks,
    /// Task starts per second in the whole fleet.
    StartsPerSecond,
    /// Changes of the host list per second.
    ListChangesPerSecond,
    /// Changes of the configuration per hour.
    ConfigChangesPerHour,
    /// The number of members of the placers' membership protocol.
    Members,
}

/// The machine that a sweep ran on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineInfo {
    /// The model of the processor.
    pub processor: String,
    /// The number of logical processors.
    pub cores: u32,
    /// The size of the memory, MiB.
    pub memory_mib: u64,
    /// The release of the kernel.
    pub kernel: String,
}

/// The measurements at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepPoint {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The size, including the swept dimension.
    pub settings: PointSettings,
    /// The sample of each measured phase.
    pub phases: Vec<PhaseSample>,
}

/// The size of a point in every dimension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PointSettings {
    /// The number of hosts.
    pub workers: u32,
    /// The number of real placer processes.
    pub placers: u32,
    /// The number of additional hollow placers: connections of a placer to the hosts without a placer process.
    pub hollow_placers: u32,
    /// The number of tasks that are running in the whole fleet before the first phase.
    pub tasks: u32,
    /// Task starts per second in the whole fleet at the peak.
    pub starts_per_second: f64,
    /// Changes of the host list per second at the peak.
    pub list_changes_per_second: f64,
    /// Changes of the configuration per hour at the peak.
    pub config_changes_per_hour: f64,
    /// The number of members of the placers' membership protocol; 0 if it is disabled.
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
    /// No starts and no changes; only the tasks that are already running.
    Rest,
    /// Starts, list changes and configuration changes at the rates of the point.
    Peak,
    /// The second with the highest load after a fault, from its beginning until the fleet has settled.
    WorstSecond(Fault),
}

/// A fault that is injected into the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// One worker dies.
    WorkerDies,
    /// A rack of 40 workers dies at once.
    RackDies,
    /// A quarter of the workers die at once.
    ZoneDies,
    /// That quarter returns at once, as cold hosts.
    ZoneReturns,
    /// Half of the workers are unreachable for a minute.
    RegionCut,
    /// That half is reachable again.
    RegionHeals,
    /// Workers are restarted one after the other: the restarts of a day, at a higher rate.
    WorkerRestarts,
    /// All placers are restarted in steps.
    PlacerRestarts,
}

/// The measurements of a phase.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhaseSample {
    /// The phase.
    pub phase: Phase,
    /// The length of the measurement in s; 1 for a worst second.
    pub seconds: f64,
    /// The measurements of each real placer process.
    pub placers: Vec<ProcessSample>,
    /// The messages between all real placers and all hosts during the phase, by kind and direction.
    pub messages: Vec<MessageCount>,
    /// The packets that the loopback interface counted during the phase; absent if other programs used it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loopback_packets: Option<u64>,
    /// The time from a request to its answer, µs: median, 99th percentile and maximum; absent without requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_us: Option<[u64; 3]>,
}

/// The measurements of one process, taken from outside it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSample {
    /// The processor time during the phase divided by the phase's length; 1 is a whole core.
    pub cpu_cores: f64,
    /// The resident memory at the end of the phase, KiB.
    pub resident_kib: u64,
    /// The proportional memory at the end of the phase, KiB.
    pub proportional_kib: u64,
    /// The number of open file descriptors at the end of the phase.
    pub descriptors: u32,
    /// The number of connections to hosts at the end of the phase.
    pub host_connections: u32,
}

/// The messages of one kind in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MessageCount {
    /// The kind.
    pub kind: MessageKind,
    /// The direction.
    pub direction: Direction,
    /// The number of messages.
    pub count: u64,
    /// The size of the messages in bytes.
    pub payload_bytes: u64,
    /// Their size on the wire in bytes: payload, a TCP/IP header for each segment that carried them, and the
    /// acknowledgements.
    pub wire_bytes: u64,
}

/// The direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From a placer.
    FromPlacer,
    /// To a placer, from a host or another peer.
    ToPlacer,
}

/// A kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageKind {
    /// The first message of either side on a connection.
    Hello,
    /// A host reports a task that it holds when a placer connects.
    Held,
    /// The end of a host's list of held tasks.
    HeldEnd,
    /// A heartbeat.
    Ping,
    /// The answer to a heartbeat.
    Pong,
    /// A placer requests a host's unallocated resources.
    Probe,
    /// A host reports its unallocated resources, in answer to a probe.
    Report,
    /// A host is draining.
    Drain,
    /// A host reports a measurement of a task.
    Note,
    /// Either side closes the connection, with the reason.
    Bye,
    /// A placer offers a task.
    Offer,
    /// A host accepted a task.
    Accepted,
    /// A host rejected a task.
    Refused,
    /// A task has started.
    Started,
    /// A task has ended.
    Ended,
    /// A placer cancels an attempt.
    Cancel,
    /// A placer requests that an accepted task be stopped.
    Stop,
    /// Opening and closing a connection.
    Connection,
    /// A datagram of the placers' membership protocol.
    FleetDatagram,
}

/// The purpose of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessagePurpose {
    /// Discovery and health of hosts and placers.
    Control,
    /// Placing, running and ending of tasks.
    Placing,
    /// Can count as control or as placing.
    Either,
}

impl MessageKind {
    /// The purpose of messages of this kind.
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
