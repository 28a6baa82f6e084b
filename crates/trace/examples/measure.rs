//! Measures a trace file beside JSON lines: `cargo run --release -p maplethread-trace --example measure -- FILE`.

use std::fs::File;
use std::io::{BufReader, Write};
use std::time::Instant;

use maplethread_trace::replay::Replay;
use maplethread_trace::summary::Summary;
use maplethread_trace::{Part, Reader, Record, TimedRecord, Writer};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

fn each(file: &str, mut record: impl FnMut(&TimedRecord) -> Result<()>) -> Result<(u64, f64)> {
    let mut reader = Reader::open(BufReader::new(File::open(file)?))?;
    let (from, mut records) = (Instant::now(), 0);
    while let Some(part) = reader.next_part()? {
        if let Part::Block { records: all, .. } = part {
            records += all.len() as u64;
            all.iter().try_for_each(&mut record)?;
        }
    }
    Ok((records, from.elapsed().as_secs_f64()))
}

fn main() -> Result<()> {
    let file = std::env::args().nth(1).ok_or("a trace file is needed")?;
    let octets = std::fs::metadata(&file)?.len();
    let (mut decisions, mut turns, mut asks) = (0u64, 0u64, 0u64);
    let rate = |what: &str, (records, took): (u64, f64)| {
        println!(
            "{what}: {records} records in {took:.3} s, {:.0} a second",
            records as f64 / took
        );
    };
    rate(
        "read",
        each(&file, |r| {
            match &r.record {
                Record::Turn(turn) => {
                    (turns, decisions) = (turns + 1, decisions + turn.actions.len() as u64)
                }
                Record::RequestReceived { .. } => asks += 1,
                _ => {}
            }
            Ok(())
        })?,
    );
    let mut lines = 0u64;
    let mut packed = zstd::stream::Encoder::new(Vec::new(), 3)?;
    rate(
        "to JSON lines, packed",
        each(&file, |r| {
            let mut line = serde_json::to_vec(r)?;
            line.push(b'\n');
            lines += line.len() as u64;
            Ok(packed.write_all(&line)?)
        })?,
    );
    let packed = packed.finish()?.len() as u64;
    let each_ask = |octets: u64| octets as f64 / asks.max(1) as f64;
    println!("{asks} asks, {turns} turns, {decisions} actions; octets an ask:");
    println!(
        "  trace {:.1}, JSON lines {:.1}, JSON lines with zstd {:.1}",
        each_ask(octets),
        each_ask(lines),
        each_ask(packed)
    );
    let header = Reader::open(BufReader::new(File::open(&file)?))?.header;
    let mut summary = Summary::new(&header);
    rate(
        "summary",
        each(&file, |r| {
            summary.feed(r);
            Ok(())
        })?,
    );
    let mut writer = Writer::new(std::io::sink(), &header)?;
    rate("write", each(&file, |r| Ok(writer.push(r)?))?);
    writer.finish()?;
    let mut replay = Replay::new(&header)?;
    rate(
        "replay",
        each(&file, |r| {
            replay.feed(r);
            Ok(())
        })?,
    );
    println!(
        "replay: {} turns, {} differ",
        replay.result.turns, replay.result.differing_turns
    );
    Ok(())
}
