//! How the memory limit of the process is divided among what clients can fill. The shares leave room for the program, its
//! sockets and the tables of a fixed size, also under the smallest limit of the platform, 32 MB.

use crate::engine::TableLimits;

/// The share of the memory limit for tasks in any state, without the texts of unanswered requests.
const TASK_MEMORY_DIVISOR: usize = 4;
/// The share of the memory limit for the texts of unanswered requests.
const SETUP_MEMORY_DIVISOR: usize = 8;
/// The share of the memory limit for bytes that are read from owners and not decoded, or not written to them. A buffer may
/// allocate twice as much as it holds.
const BUFFER_MEMORY_DIVISOR: usize = 8;
/// What a task takes in all tables of the engine and the policy.
const TASK_BYTES: usize = 1024;
/// The maximum number of tasks, whatever the memory limit.
const MAX_TASKS: usize = 1 << 16;

/// The limits that keep a placer within the memory limit of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryLimits {
    /// The limits of the engine's task table.
    pub(crate) tables: TableLimits,
    /// The maximum number of bytes in the buffers of all owners' connections.
    pub(crate) max_buffer_bytes: usize,
}

impl MemoryLimits {
    /// The limits for a process that may use this many bytes.
    pub(crate) fn new(memory_bytes: usize) -> MemoryLimits {
        let max_tasks = (memory_bytes / TASK_MEMORY_DIVISOR / TASK_BYTES).min(MAX_TASKS);
        MemoryLimits {
            tables: TableLimits {
                max_tasks,
                max_pending_requests: max_tasks / 2,
                // After a restart all running tasks are handed over. The rest is for requests, as any client can hand over
                // tasks that do not exist.
                max_unconfirmed_tasks: max_tasks / 4 * 3,
                max_setup_bytes: memory_bytes / SETUP_MEMORY_DIVISOR,
            },
            max_buffer_bytes: memory_bytes / BUFFER_MEMORY_DIVISOR,
        }
    }
}
