//! Tests of the engine with a policy whose actions are scripted by each test.

mod draining;
mod fair_share;
mod host_lists;
mod hosts;
mod leaving_clients;
mod owners;
mod process_identity;
mod race_conditions;
mod release_delivery;
mod repeated_handovers;
mod repeated_ids;
mod requests;
mod resource_use;
mod support;
