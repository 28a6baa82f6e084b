//! A writer process killed at an arbitrary byte of a write leaves a file with a prefix of the records that it wrote.
#![cfg(unix)]

use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use maplethread_trace::{FilePart, Header, Reader, Record, TimedRecord, Writer, policy_hash};

const OUTPUT_VARIABLE: &str = "MAPLETHREAD_TRACE_KILLED";

/// The n-th record. All records differ and compress badly, so that writes are long.
fn nth_record(n: u64) -> TimedRecord {
    let pseudorandom = |k: u64| {
        (n * 7 + k)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(17)
            .wrapping_mul(0xd6e8_feb8_6659_fd93)
    };
    let actor: String = (0..4)
        .map(|k| format!("{:016x}", pseudorandom(k)))
        .collect();
    let record = Record::RequestReceived {
        task: n,
        service: 3,
        actor,
        class: 0,
        request_id: format!("{n}"),
        idempotency_key: None,
        received_at: n,
    };
    TimedRecord {
        at: 1_700_000_000_000_000 + n,
        record,
    }
}

/// Not a test: the code that the killed process runs. Without the environment variable it does nothing.
#[test]
fn writes_until_it_is_killed() {
    let Ok(out) = std::env::var(OUTPUT_VARIABLE) else {
        return;
    };
    let header = Header {
        writer: "test".into(),
        policy_hash: policy_hash(),
        placer: "p".into(),
        started_ms: 1,
        seed: 1,
        settings: None,
        classes: vec!["web".into()],
        part: 0,
        operations: Vec::new(),
        sources: Vec::new(),
    };
    let mut writer = Writer::new(File::create(out).expect("a file"), &header).expect("a header");
    let service = Record::Service {
        service: 3,
        name: "web-1".into(),
    };
    writer.register_name(&TimedRecord {
        at: 0,
        record: service,
    });
    for n in 0..20_000_000 {
        writer.push(&nth_record(n)).expect("a write");
    }
}

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns the request records of a file in order, and the number of bytes that are not a valid block.
fn read(file: &Path) -> (Vec<TimedRecord>, u64) {
    let mut reader =
        Reader::open(BufReader::new(File::open(file).expect("a file"))).expect("a trace");
    let (mut requests, mut damaged_bytes) = (Vec::new(), 0);
    while let Some(part) = reader.next_part().expect("a readable file") {
        match part {
            FilePart::Block { records, .. } => {
                requests.extend(
                    records
                        .into_iter()
                        .filter(|r| matches!(r.record, Record::RequestReceived { .. })),
                );
            }
            FilePart::Damaged { byte_count, .. } => damaged_bytes += byte_count,
        }
    }
    (requests, damaged_bytes)
}

#[test]
fn file_of_killed_writer_is_a_prefix_of_what_it_wrote() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = std::env::current_exe().expect("this program");
    let mut truncated_blocks = 0;
    for round in 0..12u64 {
        let file = folder.path().join(format!("{round}.mtrace"));
        let child = Command::new(&program)
            .args(["--exact", "writes_until_it_is_killed"])
            .env(OUTPUT_VARIABLE, &file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let mut writer_process = KillOnDrop(child);
        // The file reaches this length either within a write or between two.
        let min_file_bytes = 4_000 + round * 61_803;
        while std::fs::metadata(&file).map_or(0, |m| m.len()) < min_file_bytes {
            assert!(
                writer_process.0.try_wait().expect("a child").is_none(),
                "the writer ended before it was killed"
            );
            std::thread::yield_now();
        }
        drop(writer_process);
        let (requests, damaged_bytes) = read(&file);
        for (n, request) in requests.iter().enumerate() {
            assert_eq!(*request, nth_record(n as u64), "round {round}");
        }
        truncated_blocks += u32::from(damaged_bytes > 0);
        assert!(
            !requests.is_empty() || min_file_bytes < 300_000,
            "round {round}: no records in {min_file_bytes} bytes"
        );
    }
    println!("{truncated_blocks} of 12 files ended within a block");
}
