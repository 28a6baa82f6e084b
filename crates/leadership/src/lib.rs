//! One owner at a time for work on behalf of the fleet. Three, five or seven placers are voters; the owner is one of them,
//! chosen by a majority, and each ownership has an epoch that only grows. Consensus is a library's ([`raft`]); here are its
//! storage in terms of what has to be durable, the state that it agrees on, the lease that ends an owner's acts before
//! another one's can begin, and the fence that proves it where the acts land.
//!
//! There is no I/O, clock or thread: [`Voter`] takes messages and the time, and gives what is to be kept, what is to be
//! sent once that is kept, and news. Equal seeds and inputs give equal outputs.

mod fence;
mod log;
mod state;
mod voter;

pub use fence::{Fence, Refused};
pub use state::{Command, Ownership, State};
pub use voter::{Micros, Output, Saved, Settings, Unsound, Voter, Write};
