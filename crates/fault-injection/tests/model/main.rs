//! The fleet's hard cases in the model.

mod bounds;
mod faults;
mod lives;

use maplethread_fault_injection::model::Model;

/// How long the fleet takes until all running members hold one view.
fn settled(model: &mut Model, within: u64) -> u64 {
    let places = model.places();
    let took = model.settles(&places, within);
    took.unwrap_or_else(|| {
        panic!(
            "not settled within {within} us:\n{}",
            model.differences(&places)
        )
    })
}
