//! A world for placers to run in, on loopback and made of stand-ins: hosts that behave as the users describe theirs
//! (simulated work, real sockets), owners that ask, wait, hang up and come again, and days with troubles, after
//! which the traffic is judged. Also a load generator, and a random-choice decider to compare the module with,
//! which can be made to break each rule on purpose.

mod catalogue_registration;
pub mod clients;
pub mod demand;
mod fault_plan;
pub mod hollow_placers;
mod host;
pub mod load_test;
mod looks;
pub mod mutant;
mod owners;
pub mod placer_processes;
pub mod rack;
pub mod random_choice;
mod random_scenario;
pub mod recorded_scenario;
pub mod report;
pub mod run_options;
pub mod scenario;
pub mod scenario_run;
pub mod settings;
pub mod traffic;
pub mod usage;
pub mod world;
