//! What is fitted and budgeted: quantities of one placer process in one phase.

use crate::result::{MessageCount, MessagePurpose, PhaseSample, ProcessSample};

/// A quantity of one real placer process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Quantity {
    /// Processor time, percent of a core.
    Cpu,
    /// Resident memory, KiB.
    ResidentMemory,
    /// Proportional memory, KiB.
    ProportionalMemory,
    /// Open descriptors.
    Descriptors,
    /// Connections to hosts.
    HostConnections,
    /// Time from an ask to its answer, ms, of all placers together.
    Answer(AnswerTime),
    /// Messages a second, both directions.
    Messages(TrafficClass),
    /// Bytes of messages a second, both directions.
    PayloadBytes(TrafficClass),
    /// Bytes a second on a wire, both directions.
    WireBytes(TrafficClass),
}

/// Which time from an ask to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerTime {
    /// The median.
    Median,
    /// The 99th percentile.
    Percentile99,
    /// The longest.
    Longest,
}

impl AnswerTime {
    /// Every choice, in the order of results.
    pub const ALL: [Self; 3] = [Self::Median, Self::Percentile99, Self::Longest];

    fn key(self) -> &'static str {
        match self {
            Self::Median => "answer_p50",
            Self::Percentile99 => "answer_p99",
            Self::Longest => "answer_longest",
        }
    }

    fn title(self) -> &'static str {
        match self {
            Self::Median => "answer p50, ms",
            Self::Percentile99 => "answer p99, ms",
            Self::Longest => "longest answer, ms",
        }
    }
}

const US_PER_MS: f64 = 1000.0;

/// Which messages count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Those that are surely control.
    Control,
    /// Those that are surely placing.
    Placing,
    /// Those that can be read as either.
    Either,
    /// Control in its widest reading: control and either.
    WideControl,
    /// All.
    All,
}

impl TrafficClass {
    /// Every choice, in the order of the page.
    pub const ALL: [Self; 5] = [
        Self::Control,
        Self::Placing,
        Self::Either,
        Self::WideControl,
        Self::All,
    ];

    /// Whether messages of this share count.
    pub fn includes(self, share: MessagePurpose) -> bool {
        match self {
            Self::Control => share == MessagePurpose::Control,
            Self::Placing => share == MessagePurpose::Placing,
            Self::Either => share == MessagePurpose::Either,
            Self::WideControl => share != MessagePurpose::Placing,
            Self::All => true,
        }
    }

    /// The name in keys of figures.
    pub fn key(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Placing => "placing",
            Self::Either => "either",
            Self::WideControl => "control_or_either",
            Self::All => "all",
        }
    }

    /// The name for readers.
    pub fn title(self) -> &'static str {
        match self {
            Self::WideControl => "control or either",
            other => other.key(),
        }
    }
}

/// How a figure of several placer processes is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregation {
    /// The mean of the processes, for laws.
    Mean,
    /// The highest process, for budgets. Messages are counted for all placers together, so theirs stays the mean.
    Highest,
}

impl Quantity {
    /// Every quantity, in the order of the page.
    pub fn all() -> impl Iterator<Item = Self> {
        let process = [
            Self::Cpu,
            Self::ResidentMemory,
            Self::ProportionalMemory,
            Self::Descriptors,
            Self::HostConnections,
        ];
        let counts = [Self::Messages, Self::PayloadBytes, Self::WireBytes];
        let answers = AnswerTime::ALL.map(Self::Answer);
        process.into_iter().chain(answers).chain(
            counts
                .into_iter()
                .flat_map(|count| TrafficClass::ALL.map(count)),
        )
    }

    /// The name in keys of figures, such as `cpu` or `control_wire_bytes`.
    pub fn key(self) -> String {
        match self {
            Self::Cpu => "cpu".to_owned(),
            Self::ResidentMemory => "resident_memory".to_owned(),
            Self::ProportionalMemory => "proportional_memory".to_owned(),
            Self::Descriptors => "descriptors".to_owned(),
            Self::HostConnections => "host_connections".to_owned(),
            Self::Answer(time) => time.key().to_owned(),
            Self::Messages(traffic) => format!("{}_messages", traffic.key()),
            Self::PayloadBytes(traffic) => format!("{}_payload_bytes", traffic.key()),
            Self::WireBytes(traffic) => format!("{}_wire_bytes", traffic.key()),
        }
    }

    /// The quantity of a key.
    pub fn from_key(key: &str) -> Option<Self> {
        Self::all().find(|quantity| quantity.key() == key)
    }

    /// The name and unit for readers.
    pub fn title(self) -> String {
        match self {
            Self::Cpu => "CPU, % of a core".to_owned(),
            Self::ResidentMemory => "resident memory, KiB".to_owned(),
            Self::ProportionalMemory => "proportional memory, KiB".to_owned(),
            Self::Descriptors => "descriptors".to_owned(),
            Self::HostConnections => "host connections".to_owned(),
            Self::Answer(time) => time.title().to_owned(),
            Self::Messages(traffic) => format!("messages/s, {}", traffic.title()),
            Self::PayloadBytes(traffic) => format!("payload B/s, {}", traffic.title()),
            Self::WireBytes(traffic) => format!("wire B/s, {}", traffic.title()),
        }
    }

    /// The quantity of one placer in a phase; nothing where no placer ran, the phase had no length, or nothing was asked.
    pub fn measured(self, sample: &PhaseSample, across: Aggregation) -> Option<f64> {
        match self {
            Self::Cpu => aggregate_processes(sample, across, |p| p.cpu_cores * 100.0),
            Self::ResidentMemory => aggregate_processes(sample, across, |p| p.resident_kib as f64),
            Self::ProportionalMemory => {
                aggregate_processes(sample, across, |p| p.proportional_kib as f64)
            }
            Self::Descriptors => aggregate_processes(sample, across, |p| f64::from(p.descriptors)),
            Self::HostConnections => {
                aggregate_processes(sample, across, |p| f64::from(p.host_connections))
            }
            Self::Answer(time) => sample
                .answer_us
                .map(|times| times[time as usize] as f64 / US_PER_MS),
            Self::Messages(traffic) => messages_per_placer_second(sample, traffic, |m| m.count),
            Self::PayloadBytes(traffic) => {
                messages_per_placer_second(sample, traffic, |m| m.payload_bytes)
            }
            Self::WireBytes(traffic) => {
                messages_per_placer_second(sample, traffic, |m| m.wire_bytes)
            }
        }
    }
}

fn aggregate_processes(
    sample: &PhaseSample,
    across: Aggregation,
    of: fn(&ProcessSample) -> f64,
) -> Option<f64> {
    let values = sample.placers.iter().map(of);
    match across {
        Aggregation::Mean => {
            (!sample.placers.is_empty()).then(|| values.sum::<f64>() / sample.placers.len() as f64)
        }
        Aggregation::Highest => values.reduce(f64::max),
    }
}

fn messages_per_placer_second(
    sample: &PhaseSample,
    traffic: TrafficClass,
    of: fn(&MessageCount) -> u64,
) -> Option<f64> {
    let placer_seconds = sample.placers.len() as f64 * sample.seconds;
    let counted = sample
        .messages
        .iter()
        .filter(|m| traffic.includes(m.kind.purpose()));
    let total: f64 = counted.map(|m| of(m) as f64).sum();
    (placer_seconds > 0.0).then(|| total / placer_seconds)
}
