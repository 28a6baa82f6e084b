//! Compares the size of a trace file with JSON lines, and measures the throughput of reading, summarising, writing and
//! replaying it: `cargo run --release -p maplethread-trace --example measure -- FILE`.

use std::fs::File;
use std::io::{BufReader, Write};
use std::time::Instant;

use maplethread_trace::replay::Replay;
use maplethread_trace::summary::Summary;
use maplethread_trace::{FilePart, Reader, Record, TimedRecord, Writer};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn for_each_record(
    file: &str,
    mut record: impl FnMut(&TimedRecord) -> Result<()>,
) -> Result<(u64, f64)> {
    let mut reader = Reader::open(BufReader::new(File::open(file)?))?;
    let (started, mut records) = (Instant::now(), 0);
    while let Some(part) = reader.next_part()? {
        if let FilePart::Block {
            records: block_records,
            ..
        } = part
        {
            records += block_records.len() as u64;
            block_records.iter().try_for_each(&mut record)?;
        }
    }
    Ok((records, started.elapsed().as_secs_f64()))
}

fn main() -> Result<()> {
    let file = std::env::args()
        .nth(1)
        .ok_or("the path of a trace file is missing")?;
    let byte_count = std::fs::metadata(&file)?.len();
    let (mut actions, mut turns, mut requests) = (0u64, 0u64, 0u64);
    let print_rate = |operation: &str, (records, elapsed_s): (u64, f64)| {
        println!(
            "{operation}: {records} records in {elapsed_s:.3} s, {:.0} records/s",
            records as f64 / elapsed_s
        );
    };
    print_rate(
        "read",
        for_each_record(&file, |r| {
            match &r.record {
                Record::Turn(turn) => {
                    (turns, actions) = (turns + 1, actions + turn.actions.len() as u64)
                }
                Record::RequestReceived { .. } => requests += 1,
                _ => {}
            }
            Ok(())
        })?,
    );
    let mut json_bytes = 0u64;
    let mut compressed = zstd::stream::Encoder::new(Vec::new(), 3)?;
    print_rate(
        "convert to JSON lines with zstd",
        for_each_record(&file, |r| {
            let mut line = serde_json::to_vec(r)?;
            line.push(b'\n');
            json_bytes += line.len() as u64;
            Ok(compressed.write_all(&line)?)
        })?,
    );
    let compressed = compressed.finish()?.len() as u64;
    let bytes_per_request = |byte_count: u64| byte_count as f64 / requests.max(1) as f64;
    println!("{requests} requests, {turns} turns, {actions} actions; bytes per request:");
    println!(
        "  trace {:.1}, JSON lines {:.1}, JSON lines with zstd {:.1}",
        bytes_per_request(byte_count),
        bytes_per_request(json_bytes),
        bytes_per_request(compressed)
    );
    let header = Reader::open(BufReader::new(File::open(&file)?))?.header;
    let mut summary = Summary::new(&header);
    print_rate(
        "summary",
        for_each_record(&file, |r| {
            summary.feed(r);
            Ok(())
        })?,
    );
    let mut writer = Writer::new(std::io::sink(), &header)?;
    print_rate("write", for_each_record(&file, |r| Ok(writer.push(r)?))?);
    writer.finish()?;
    let mut replay = Replay::new(&header)?;
    print_rate(
        "replay",
        for_each_record(&file, |r| {
            replay.feed(r);
            Ok(())
        })?,
    );
    println!(
        "replay: {} turns, {} of them differ",
        replay.result.turns, replay.result.differing_turns
    );
    Ok(())
}
