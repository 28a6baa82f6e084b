//! The lines of the simulator's wire, both ways. Names of messages and fields are the simulator's.

mod decode;
mod encode;
mod fields;
mod hex;

pub(crate) use decode::{Incoming, decode};
pub(crate) use encode::{encode, encode_done, encode_fault};

#[cfg(test)]
mod tests;
