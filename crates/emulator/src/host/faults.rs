//! The faults of an emulated host.

/// How a host handles tasks that are affected by a fault of their class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultyAnswer {
    /// It reports that they failed.
    Error,
    /// It never answers.
    Silence,
}

/// A fault that affects a share of the new tasks of one class.
#[derive(Clone, Debug)]
pub struct ClassFault {
    /// The class.
    pub class: String,
    /// The share of its new tasks.
    pub share: f64,
    /// How they are handled.
    pub answer: FaultyAnswer,
}

/// The present faults of a host. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct HostFaults {
    /// It reads and never answers.
    pub is_silent: bool,
    /// The share of the offers that fail at once.
    pub error_share: f64,
    /// The fault of one class.
    pub class_fault: Option<ClassFault>,
    /// The share of the answers that are lost.
    pub lost_answer_share: f64,
    /// The share of the cores that another program takes.
    pub neighbour_core_share: f64,
    /// Factor by which admission takes longer; values below 1 have no effect.
    pub admission_slowdown: f64,
    /// A class, and the share of its new tasks that use three times their usual cores and twice their usual memory.
    pub heavy_tail: Option<(String, f64)>,
    /// The share of the services whose tasks all use at least twice the cores that they requested.
    pub hot_service_share: f64,
    /// The host has lost the programs that it kept.
    pub has_lost_programs: bool,
}
