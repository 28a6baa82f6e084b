//! What the operators' platform and their simulator tell alike, in the decisions' terms: the settings object
//! ([`settings`]), and hosts by name, numbered and labelled ([`hosts`]). Both adapters read it here, so that both
//! give the module the same picture. Sans-I/O, without clock, and it decides nothing.

mod fault;
pub mod hosts;
pub mod settings;

pub use fault::{WireError, micros};
pub use hosts::Hosts;
pub use settings::{Reports, Terms, decode, terms};
