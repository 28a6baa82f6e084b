//! A world for placers to run in, on loopback and made of stand-ins: hosts that behave as the users describe theirs
//! (simulated work, real sockets), owners that ask, wait, hang up and come again, and days with troubles, after
//! which the traffic is judged. Also a load generator, and a random-choice decider to compare the module with,
//! which can be made to break each rule on purpose.

pub mod baseline;
mod calls;
pub mod clients;
pub mod day;
pub mod demand;
mod drawn;
pub mod hollow_placers;
mod host;
pub mod load;
mod looks;
pub mod options;
mod owners;
mod plan;
pub mod processes;
pub mod rack;
pub mod recorded;
pub mod report;
pub mod rogue;
pub mod scenario;
pub mod settings;
pub mod traffic;
pub mod usage;
pub mod world;
