//! Decoding and encoding of the simulator's wire protocol, which defines the names of messages and fields.

mod decode;
mod encode;
mod fields;
mod hex;

pub(crate) use decode::{Incoming, decode};
pub(crate) use encode::{encode, encode_done, encode_fault};

#[cfg(test)]
mod tests;
