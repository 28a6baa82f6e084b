//! Decodes arbitrary bytes as an owner's line, a host's message, a command channel's response and a configuration: no
//! decoder panics or loops. Run with `cargo +nightly fuzz run platform`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use maplethread_platform_wire::{command_channel, config, host, owner};

fuzz_target!(|data: &[u8]| {
    let (mut at, mut scanned) = (0, 0);
    while let Some((_, used)) = owner::decode(&data[at..], &mut scanned) {
        assert!(used > 0 && at + used <= data.len());
        at += used;
    }
    at = 0;
    while let Ok(Some((_, used))) = host::decode(&data[at..]) {
        assert!(used > 10 && at + used <= data.len());
        at += used;
    }
    let _ = command_channel::decode(data);
    if let Ok(text) = std::str::from_utf8(data) {
        let _ = config::Config::parse(text);
    }
});
