//! Sweeps that measure the resource use of the placer program by the size of its fleet. Real placer processes are connected
//! to hollow workers: thousands of emulated hosts in one thread, which speak the host protocol on loopback. The placers are
//! measured from outside their processes. The results have the format of `maplethread-capacity`.

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
