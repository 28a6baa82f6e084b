#![allow(missing_docs)]
fn main() {}
