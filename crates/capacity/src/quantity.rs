//! The quantities of one placer process in one phase, which laws are fitted to and budgets limit.

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
    /// Open file descriptors.
    Descriptors,
    /// Connections to hosts.
    HostConnections,
    /// Time from a request to its answer, ms, over all placers.
    Answer(AnswerTime),
    /// Messages per second, both directions.
    Messages(TrafficClass),
    /// Message bytes per second, both directions.
    PayloadBytes(TrafficClass),
    /// Bytes per second on the wire, both directions.
    WireBytes(TrafficClass),
}

/// A statistic of the time from a request to its answer.
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
    /// All statistics, in the order of results.
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

/// A selection of messages by their purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TrafficClass {
    /// Messages whose purpose is control.
    Control,
    /// Messages whose purpose is placing.
    Placing,
    /// Messages that can count as control or as placing.
    Either,
    /// Control in the wider sense: control and either.
    WideControl,
    /// All messages.
    All,
}

impl TrafficClass {
    /// All selections, in the order of the page.
    pub const ALL: [Self; 5] = [
        Self::Control,
        Self::Placing,
        Self::Either,
        Self::WideControl,
        Self::All,
    ];

    /// Whether messages of this purpose are included.
    pub fn includes(self, purpose: MessagePurpose) -> bool {
        match self {
            Self::Control => purpose == MessagePurpose::Control,
            Self::Placing => purpose == MessagePurpose::Placing,
            Self::Either => purpose == MessagePurpose::Either,
            Self::WideControl => purpose != MessagePurpose::Placing,
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

    /// The name on the page.
    pub fn title(self) -> &'static str {
        match self {
            Self::WideControl => "control or either",
            class => class.key(),
        }
    }
}

/// How the values of several placer processes are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Aggregation {
    /// The mean of the processes, used for laws.
    Mean,
    /// The highest process, used for budgets. Messages are counted over all placers, so theirs is the mean even here.
    Highest,
}

impl Quantity {
    /// All quantities, in the order of the page.
    pub fn all() -> impl Iterator<Item = Self> {
        let process_quantities = [
            Self::Cpu,
            Self::ResidentMemory,
            Self::ProportionalMemory,
            Self::Descriptors,
            Self::HostConnections,
        ];
        let traffic_quantities = [Self::Messages, Self::PayloadBytes, Self::WireBytes];
        let answers = AnswerTime::ALL.map(Self::Answer);
        process_quantities.into_iter().chain(answers).chain(
            traffic_quantities
                .into_iter()
                .flat_map(|quantity| TrafficClass::ALL.map(quantity)),
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

    /// The quantity with a key.
    pub fn from_key(key: &str) -> Option<Self> {
        Self::all().find(|quantity| quantity.key() == key)
    }

    /// The name and unit on the page.
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

    /// The value for one placer in a phase; none if no placer ran, the phase had no length, or (for answers) there
    /// were no requests.
    pub fn measured(self, sample: &PhaseSample, aggregation: Aggregation) -> Option<f64> {
        match self {
            Self::Cpu => aggregate_processes(sample, aggregation, |p| p.cpu_cores * 100.0),
            Self::ResidentMemory => {
                aggregate_processes(sample, aggregation, |p| p.resident_kib as f64)
            }
            Self::ProportionalMemory => {
                aggregate_processes(sample, aggregation, |p| p.proportional_kib as f64)
            }
            Self::Descriptors => {
                aggregate_processes(sample, aggregation, |p| f64::from(p.descriptors))
            }
            Self::HostConnections => {
                aggregate_processes(sample, aggregation, |p| f64::from(p.host_connections))
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
    aggregation: Aggregation,
    value: fn(&ProcessSample) -> f64,
) -> Option<f64> {
    let values = sample.placers.iter().map(value);
    match aggregation {
        Aggregation::Mean => {
            (!sample.placers.is_empty()).then(|| values.sum::<f64>() / sample.placers.len() as f64)
        }
        Aggregation::Highest => values.reduce(f64::max),
    }
}

fn messages_per_placer_second(
    sample: &PhaseSample,
    traffic: TrafficClass,
    value: fn(&MessageCount) -> u64,
) -> Option<f64> {
    let placer_seconds = sample.placers.len() as f64 * sample.seconds;
    let included = sample
        .messages
        .iter()
        .filter(|m| traffic.includes(m.kind.purpose()));
    let total: f64 = included.map(|m| value(m) as f64).sum();
    (placer_seconds > 0.0).then(|| total / placer_seconds)
}
