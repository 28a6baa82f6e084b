//! Sweeps that measure what the placer program costs by the size of its fleet: real placer processes under hollow
//! workers, thousands of hosts in one thread that speak the host protocol on loopback, measured from outside the
//! processes. The results are those of `maplethread-capacity`.
#![allow(
    clippy::missing_errors_doc,
    reason = "not yet worked through; listed in docs/ROADMAP.md"
)]

mod error;
mod faults;
mod fleet;
mod host_list;
mod interrupt;
mod machine;
mod membership;
mod owners;
mod phases;
mod requirements;
mod sampler;
mod scenario;
mod sweep;
mod sweep_file;

pub use error::ScaleError;
pub use fleet::{Fleet, FleetSize};
pub use interrupt::InterruptFlag;
pub use owners::ClientPlan;
pub use sweep::{SweepOptions, run};
pub use sweep_file::{Phases, SweepFile};
