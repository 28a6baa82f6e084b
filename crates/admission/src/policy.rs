//! The admission policy of a host: its capacity and its limits.

use maplethread_wire::frame::ResourceAmounts;

/// The capacity of a host and the limits within which it admits tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Cores of the host.
    pub cores: f64,
    /// Memory of the host, GiB.
    pub memory_gib: f64,
    /// The maximum of the cores that all tasks together request, as a multiple of the host's cores.
    pub cpu_overcommit: f64,
    /// The maximum of the memory that all tasks together request, as a multiple of the host's memory.
    pub memory_overcommit: f64,
    /// Maximum number of requests that wait for a decision.
    pub max_queue_length: usize,
    /// Maximum number of tasks that are being started at the same time.
    pub max_concurrent_starts: usize,
    /// Maximum number of programs that stay loaded after their last task has ended.
    pub max_warm_programs: usize,
    /// Whether a task may preempt tasks of lower priority.
    pub allows_preemption: bool,
}

impl AdmissionPolicy {
    /// The resources that tasks may request in total, overcommitment included.
    pub fn requestable(&self) -> ResourceAmounts {
        ResourceAmounts {
            cores: self.cores * self.cpu_overcommit,
            memory_gib: self.memory_gib * self.memory_overcommit,
        }
    }
}
