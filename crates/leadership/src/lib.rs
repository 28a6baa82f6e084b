//! Leader election with leases, epochs and fencing, for work that only one placer of a fleet may do at a time.
//!
//! Three, five or seven placers are voters. A majority elects one of them as leader; each [`Lease`] has an epoch, which is
//! higher than those of all earlier leases. Consensus is provided by the `raft` library. This crate adds:
//!
//! - durable storage, as a sequence of [`DurableWrite`]s;
//! - the replicated state, [`LeadershipState`];
//! - lease durations, which end a leader's actions before those of its successor can begin;
//! - the [`Fence`], which rejects actions of earlier leaders at the place where they would take effect.
//!
//! [`Voter`] is a deterministic state machine without I/O, clock or threads. It takes messages and the current time, and
//! returns writes to make durable, messages to send after them, and events.

mod durable;
mod envelope;
mod fence;
mod lease_renewal;
mod raft_log;
mod settings;
mod state;
mod voter;

pub use durable::{DurableState, DurableWrite, StoreError};
pub use fence::{Fence, StaleEpoch};
pub use settings::{Micros, Settings};
pub use state::{Command, LeadershipState, Lease};
pub use voter::{Output, Voter};
