//! An emulated environment for placers, on loopback: emulated hosts (simulated work, real sockets), emulated owners
//! that request placements, wait, disconnect and retry, and fault scenarios, after which the recorded history of the
//! traffic is checked.
//!
//! Also here: a load test, and a decider that chooses hosts at random. It is the baseline for the policy, and it can be
//! made to violate each rule on purpose (a mutant).
//!
//! | modules | contents |
//! |---|---|
//! | `scenario`, `random_scenario`, `recorded_scenario` | scenarios: from a file, from a seed, from recorded traces |
//! | `scenario_run`, `run_options`, `report` | a run of a scenario, and its results |
//! | `fault_plan`, `demand` | the fault actions and the arrivals of a scenario, with their times |
//! | `host`, `host_pool`, `owners`, `placer_processes` | the participants: emulated hosts and owners, real placers |
//! | `run_context`, `service_accounting`, `read_times`, `seeded_rng` | state and utilities that the participants share |
//! | `clients`, `hollow_placers`, `load_test`, `traffic`, `usage` | load generation, and its cost |
//! | `random_choice`, `mutant` | the baseline decider, and its deliberate rule violations |
#![allow(
    clippy::too_many_lines,
    reason = "event handlers and protocol loops that handle every case in one function"
)]

mod catalogue_registration;
pub mod clients;
pub mod demand;
mod fault_plan;
pub mod hollow_placers;
mod host;
pub mod host_pool;
pub mod load_test;
pub mod mutant;
mod owners;
pub mod placer_processes;
pub mod random_choice;
mod random_scenario;
mod read_times;
pub mod recorded_scenario;
pub mod report;
pub mod run_context;
pub mod run_options;
pub mod scenario;
pub mod scenario_run;
mod seeded_rng;
pub mod service_accounting;
pub mod settings;
pub mod traffic;
pub mod usage;
