//! Membership in the model under faults, restarts and invalid input.

mod bounds;
mod faults;
mod generations;

use maplethread_fault_injection::model::Model;

/// Runs the model until all running members have the same view. Returns how long it took, µs.
fn settle_time(model: &mut Model, within: u64) -> u64 {
    let nodes = model.nodes();
    let settle_us = model.run_until_settled(&nodes, within);
    settle_us.unwrap_or_else(|| {
        panic!(
            "not settled within {within} us:\n{}",
            model.describe_differences(&nodes)
        )
    })
}
