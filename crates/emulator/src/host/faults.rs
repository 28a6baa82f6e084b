//! The faults of an emulated host.

/// How a host treats the tasks that a fault of their class strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultyAnswer {
    /// It reports that they failed.
    Error,
    /// It never answers.
    Silence,
}

/// A fault that strikes a share of the new tasks of one class.
#[derive(Clone, Debug)]
pub struct ClassFault {
    /// The class.
    pub class: String,
    /// The share of its new tasks.
    pub share: f64,
    /// What becomes of them.
    pub answer: FaultyAnswer,
}

/// What goes wrong with a host just now. Shares are from 0 to 1.
#[derive(Clone, Debug, Default)]
pub struct HostFaults {
    /// It reads and never answers.
    pub is_silent: bool,
    /// The share of the starts that fail at once.
    pub error_share: f64,
    /// The fault of one class.
    pub class_fault: Option<ClassFault>,
    /// The share of the answers that are lost.
    pub lost_answer_share: f64,
    /// The share of the cores that another program takes.
    pub neighbour_core_share: f64,
    /// Admission takes so many times as long; anything below 1 is as long as ever.
    pub admission_slowdown: f64,
    /// The share of one class's new tasks that use three times the cores and twice the memory that they would.
    pub heavy_tail: Option<(String, f64)>,
    /// The share of the services all of whose tasks use twice the cores that they requested.
    pub hot_service_share: f64,
    /// The programs that were kept are gone.
    pub has_lost_programs: bool,
}
