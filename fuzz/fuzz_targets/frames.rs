//! Decodes arbitrary bytes as frames: the decoder neither panics nor loops, and each decoded frame is unchanged by encoding
//! and decoding. Run with `cargo +nightly fuzz run frames`.
#![no_main]

use libfuzzer_sys::fuzz_target;
use maplethread_wire::frame;

fuzz_target!(|data: &[u8]| {
    let mut at = 0;
    while let Ok((Some(frame), used)) = frame::decode(&data[at..]) {
        assert!(used > 0 && at + used <= data.len());
        at += used;
        let mut bytes = Vec::new();
        frame::encode(&frame, &mut bytes);
        assert_eq!(frame::decode(&bytes), Ok((Some(frame), bytes.len())));
    }
});
