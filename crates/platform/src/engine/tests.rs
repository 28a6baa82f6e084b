//! The engine in its difficult cases, with decisions that each test scripts.

mod crossings;
mod host_lists;
mod hosts;
mod owners;
mod requests;
mod support;
