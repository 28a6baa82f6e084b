//! Tests of the engine with a policy whose actions are scripted by each test.

mod crossings;
mod host_lists;
mod hosts;
mod owners;
mod requests;
mod support;
