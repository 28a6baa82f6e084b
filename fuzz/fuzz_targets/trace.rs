//! Reads arbitrary bytes after a valid trace header: the reader neither panics nor loops forever, and the records that it
//! returns can be summarised. With an odd first byte, the input damages a valid block instead. Run with
//! `cargo +nightly fuzz run trace`.

#![no_main]

use std::io::Cursor;

use libfuzzer_sys::fuzz_target;
use maplethread_trace::summary::Summary;
use maplethread_trace::{FilePart, Header, Reader, Record, TimedRecord, Writer};

fuzz_target!(|data: &[u8]| {
    let header = Header {
        writer: String::new(),
        policy_hash: String::new(),
        placer: "p".into(),
        started_ms: 1,
        seed: 1,
        settings: None,
        classes: vec!["c".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    };
    let mut bytes = Vec::new();
    let mut writer = Writer::new(&mut bytes, &header).expect("header can be written");
    let damages_block = data.first().is_some_and(|b| b % 2 == 1);
    if damages_block {
        for at in 0..9 {
            writer
                .push(&TimedRecord {
                    at,
                    record: Record::Stopped,
                })
                .expect("record can be written");
        }
        writer.finish().expect("index can be written");
    }
    drop(writer);
    if damages_block {
        for change in data[1..].chunks_exact(3) {
            let at = usize::from(u16::from_le_bytes([change[0], change[1]])) % bytes.len();
            bytes[at] ^= change[2];
        }
    } else {
        bytes.extend_from_slice(data);
    }
    let Ok(mut reader) = Reader::open(Cursor::new(&bytes)) else {
        return;
    };
    let _ = reader.read_index();
    let mut summary = Summary::new(&reader.header);
    while let Some(part) = reader.next_part().expect("damage is not an error") {
        match part {
            FilePart::Block { records, .. } => {
                assert!(records.len() <= 9);
                records.iter().for_each(|r| summary.feed(r));
            }
            FilePart::Damaged { byte_count, .. } => assert!(byte_count > 0),
        }
    }
    let _ = summary.to_json();
});
