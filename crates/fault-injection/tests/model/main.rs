//! The fleet's hard cases in the model.

mod bounds;
mod faults;
mod generations;

use maplethread_fault_injection::model::Model;

/// How long the fleet takes until all running members hold one view.
fn settle_time(model: &mut Model, within: u64) -> u64 {
    let places = model.places();
    let took = model.run_until_settled(&places, within);
    took.unwrap_or_else(|| {
        panic!(
            "not settled within {within} us:\n{}",
            model.describe_differences(&places)
        )
    })
}
