//! What a host admits: its capacity and the bounds of its queues.

use maplethread_wire::frame::ResourceAmounts;

/// Capacity and bounds by which a host admits tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Cores of the host.
    pub cores: f64,
    /// Memory of the host, GiB.
    pub memory_gib: f64,
    /// Tasks may request this multiple of the cores in total.
    pub cpu_overcommit: f64,
    /// Tasks may request this multiple of the memory in total.
    pub memory_overcommit: f64,
    /// Requests that may wait for a decision.
    pub max_queue_length: usize,
    /// Tasks that may be starting at the same time.
    pub max_concurrent_starts: usize,
    /// Programs that stay loaded after their last task has ended.
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
