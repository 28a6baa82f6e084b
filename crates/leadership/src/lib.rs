//! Leader election with leases, epochs and fencing, for work that exactly one placer of a fleet may do.
//!
//! Three, five or seven placers are voters. A majority elects one of them as leader; each [`Lease`] has an epoch that only
//! grows. Consensus is the `raft` library's. This crate adds its storage in terms of what has to be durable, the replicated
//! state, the time limit that ends a leader's actions before those of its successor can begin, and the [`Fence`] that
//! rejects actions of earlier leaders where they take effect.
//!
//! [`Voter`] has no I/O, clock or thread: it takes messages and the current time, and returns what has to be made durable,
//! the messages to send after that, and news. Equal seeds and inputs give equal outputs.

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
