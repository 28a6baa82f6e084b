//! Admission control of a host: which offered tasks it accepts, which tasks it preempts or evicts, and which accepted
//! task starts next.
//!
//! The crate does no I/O and reads no clock; callers carry its decisions out. The node agent, which runs real
//! processes, and the emulated hosts of the tests share it, so that both reject the same offers for the same reasons.
//!
//! A request passes through three steps: [`Admission::enqueue`] puts it into a bounded queue,
//! [`Admission::decide_next`] admits or rejects the first request of the queue, and [`Admission::next_start`]
//! returns the admitted tasks to be started, at most [`AdmissionPolicy::max_concurrent_starts`] at a time.
//!
//! [`protocol`] translates between these types and the frames of the host protocol.

mod admission;
mod deduplication;
mod policy;
mod preemption;
pub mod protocol;
mod request;

pub use admission::{Admission, NextStart, TaskStage};
pub use deduplication::{DeduplicationKey, DeduplicationTable};
pub use policy::AdmissionPolicy;
pub use request::{AdmissionDecision, RejectionReason, TaskRequest};
