//! The size that the system is designed for, and the budgets of a placer at that size.

use crate::quantity::{Quantity, TrafficClass};
use crate::result::{Phase, PointSettings};

/// A size of the whole installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstallationSize {
    /// The number of workers.
    pub workers: u32,
    /// The number of running tasks.
    pub tasks: u32,
    /// Task starts per second.
    pub starts_per_second: f64,
    /// The number of control machines, each with one placer.
    pub control_machines: u32,
}

/// The size that the system is designed for.
pub const DESIGN_SIZE: InstallationSize = InstallationSize {
    workers: 1_300,
    tasks: 24_000,
    starts_per_second: 190.0,
    control_machines: 6,
};

/// The maximum processor time of a placer at the design size, percent of a core.
pub const MAX_CPU_PERCENT: f64 = 2.5;

/// The maximum memory of a placer at the design size: 32 MB of 10^6 bytes.
pub const MAX_MEMORY_BYTES: f64 = 32e6;

/// The maximum control traffic of a placer at the design size, both directions: 12 KB/s of 1,000 bytes.
pub const MAX_CONTROL_BYTES_PER_SECOND: f64 = 12e3;

const BYTES_PER_KIB: f64 = 1024.0;

impl InstallationSize {
    /// Whether a phase of a point was measured at this size. Real and hollow placers count equally, and the rate of
    /// starts is ignored at rest, as no tasks start there.
    pub fn matches(&self, settings: &PointSettings, phase: Phase) -> bool {
        let has_equal_start_rate = settings.starts_per_second == self.starts_per_second;
        settings.workers == self.workers
            && settings.tasks == self.tasks
            && (has_equal_start_rate || phase == Phase::Rest)
            && settings.placers.saturating_add(settings.hollow_placers) == self.control_machines
    }
}

/// A budget with the quantity that it is compared with. The memory budget is compared with resident and with
/// proportional memory; the control traffic budget with payload and wire bytes, each with and without the messages that
/// can count as placing too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Processor time.
    Cpu,
    /// Memory, with shared pages counted in full.
    ResidentMemory,
    /// Memory, with shared pages divided by the number of processes that share them.
    ProportionalMemory,
    /// Control traffic, message bytes.
    ControlPayload,
    /// Control traffic in the wider sense, message bytes.
    WideControlPayload,
    /// Control traffic, bytes on the wire.
    ControlWire,
    /// Control traffic in the wider sense, bytes on the wire.
    WideControlWire,
}

impl Budget {
    /// All budgets, in the order of the page.
    pub const ALL: [Self; 7] = [
        Self::Cpu,
        Self::ResidentMemory,
        Self::ProportionalMemory,
        Self::ControlPayload,
        Self::WideControlPayload,
        Self::ControlWire,
        Self::WideControlWire,
    ];

    /// The quantity that is compared with the budget.
    pub fn quantity(self) -> Quantity {
        match self {
            Self::Cpu => Quantity::Cpu,
            Self::ResidentMemory => Quantity::ResidentMemory,
            Self::ProportionalMemory => Quantity::ProportionalMemory,
            Self::ControlPayload => Quantity::PayloadBytes(TrafficClass::Control),
            Self::WideControlPayload => Quantity::PayloadBytes(TrafficClass::WideControl),
            Self::ControlWire => Quantity::WireBytes(TrafficClass::Control),
            Self::WideControlWire => Quantity::WireBytes(TrafficClass::WideControl),
        }
    }

    /// The budget, in the unit of its quantity.
    pub fn limit(self) -> f64 {
        match self {
            Self::Cpu => MAX_CPU_PERCENT,
            Self::ResidentMemory | Self::ProportionalMemory => MAX_MEMORY_BYTES / BYTES_PER_KIB,
            Self::ControlPayload | Self::WideControlPayload => MAX_CONTROL_BYTES_PER_SECOND,
            Self::ControlWire | Self::WideControlWire => MAX_CONTROL_BYTES_PER_SECOND,
        }
    }

    /// The budget of a quantity.
    pub fn of_quantity(quantity: Quantity) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|budget| budget.quantity() == quantity)
    }

    /// The budget divided by the measured value, which is below 1 if the budget is exceeded; none if the value is 0.
    pub fn headroom(self, measured: f64) -> Option<f64> {
        (measured > 0.0).then(|| self.limit() / measured)
    }
}
