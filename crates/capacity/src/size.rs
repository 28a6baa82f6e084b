//! The size that the design is made for, and what a placer may cost there.

use crate::quantity::{Quantity, TrafficClass};
use crate::result::{Phase, PointSettings};

/// A size of the whole installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstallationSize {
    /// Workers.
    pub workers: u32,
    /// Tasks that run.
    pub tasks: u32,
    /// Task starts a second.
    pub starts_per_second: f64,
    /// Control machines, each with one placer.
    pub control_machines: u32,
}

/// The size that the design is made for.
pub const DESIGN_SIZE: InstallationSize = InstallationSize {
    workers: 1_300,
    tasks: 24_000,
    starts_per_second: 190.0,
    control_machines: 6,
};

/// Processor time that a placer may take at the size, percent of a core.
pub const MAX_CPU_PERCENT: f64 = 2.5;

/// Memory that a placer may take at the size: 32 MB, of 10^6 bytes each.
pub const MAX_MEMORY_BYTES: f64 = 32e6;

/// Control traffic that a placer may cause at the size, both directions: 12 KB/s, of 1,000 bytes each.
pub const MAX_CONTROL_BYTES_PER_SECOND: f64 = 12e3;

const BYTES_PER_KIB: f64 = 1024.0;

impl InstallationSize {
    /// Whether a phase of a point was measured at this size: real and hollow placers count alike, and nothing starts at
    /// rest.
    pub fn matches(&self, settings: &PointSettings, phase: Phase) -> bool {
        let starts_as_often = settings.starts_per_second == self.starts_per_second;
        settings.workers == self.workers
            && settings.tasks == self.tasks
            && (starts_as_often || phase == Phase::Rest)
            && settings.placers.saturating_add(settings.hollow_placers) == self.control_machines
    }
}

/// One reading of a budget. Memory is read as resident and as proportional; control traffic as payload and on a wire,
/// with and without the messages that can be read as placing too.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Processor time.
    Cpu,
    /// Memory, shared pages counted in full.
    ResidentMemory,
    /// Memory, shared pages counted by their part.
    ProportionalMemory,
    /// Control traffic, bytes of the messages.
    ControlPayload,
    /// Control traffic in its widest reading, bytes of the messages.
    WideControlPayload,
    /// Control traffic, bytes on a wire.
    ControlWire,
    /// Control traffic in its widest reading, bytes on a wire.
    WideControlWire,
}

impl Budget {
    /// Every reading, in the order of the page.
    pub const ALL: [Self; 7] = [
        Self::Cpu,
        Self::ResidentMemory,
        Self::ProportionalMemory,
        Self::ControlPayload,
        Self::WideControlPayload,
        Self::ControlWire,
        Self::WideControlWire,
    ];

    /// What is held against the budget.
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

    /// How often the measured figure goes into the budget: below 1 it is exceeded. Nothing for a figure of 0.
    pub fn headroom(self, measured: f64) -> Option<f64> {
        (measured > 0.0).then(|| self.limit() / measured)
    }
}
