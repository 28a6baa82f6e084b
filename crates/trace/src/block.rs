//! Blocks of records. Each stands alone: its own length, counts, times, names and checksum.
//!
//! On disk: `MTB1`, packed length, raw length, records (u32 each), first and last time (u64 each), all little-endian,
//! then 16 octets of BLAKE3 over those and the payload, then the payload: zstd over a varint (the first record's time
//! since the earliest) and the records, each a varint length, a zigzag varint of the time since the record before, and
//! the record in postcard's encoding.

use serde::{Deserialize, Serialize};

use crate::TraceError;
use crate::record::{Record, TimedRecord};

/// How each block begins.
pub const BLOCK_MAGIC: &[u8; 4] = b"MTB1";
/// Octets before the payload.
pub const HEAD_BYTES: usize = 48;
/// The most that a block may hold, unpacked.
pub const MAX_UNPACKED_BYTES: usize = 32 << 20;

/// What a block's head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockInfo {
    /// Octets of the payload.
    pub packed_bytes: u32,
    /// Octets of its records.
    pub unpacked_bytes: u32,
    /// Records.
    pub record_count: u32,
    /// The earliest time, µs.
    pub first_us: u64,
    /// The latest.
    pub last_us: u64,
}

impl BlockInfo {
    fn to_bytes(self) -> [u8; 32] {
        let mut bytes = [0; 32];
        bytes[..4].copy_from_slice(BLOCK_MAGIC);
        bytes[4..8].copy_from_slice(&self.packed_bytes.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.unpacked_bytes.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.record_count.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.first_us.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.last_us.to_le_bytes());
        bytes
    }

    /// Reads a head; with the checksum that follows it.
    pub fn parse(head: &[u8; HEAD_BYTES]) -> Result<(BlockInfo, [u8; 16]), &'static str> {
        if &head[..4] != BLOCK_MAGIC {
            return Err("no block begins here");
        }
        let four =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let eight = |at: usize| u64::from(four(at)) | u64::from(four(at + 4)) << 32;
        let info = BlockInfo {
            packed_bytes: four(4),
            unpacked_bytes: four(8),
            record_count: four(12),
            first_us: eight(16),
            last_us: eight(24),
        };
        if info.unpacked_bytes as usize > MAX_UNPACKED_BYTES
            || info.packed_bytes as usize > MAX_UNPACKED_BYTES + (MAX_UNPACKED_BYTES >> 7) + 1024
        {
            return Err("a block's length is out of range");
        }
        let mut check = [0; 16];
        check.copy_from_slice(&head[32..]);
        Ok((info, check))
    }

    /// The checksum over the head and the payload.
    pub fn checksum(&self, payload: &[u8]) -> [u8; 16] {
        let mut hash = blake3::Hasher::new();
        hash.update(&self.to_bytes()).update(payload);
        let mut check = [0; 16];
        check.copy_from_slice(&hash.finalize().as_bytes()[..16]);
        check
    }
}

/// Records on their way into a block.
#[derive(Debug, Default)]
pub struct Packer {
    unpacked: Vec<u8>,
    record_count: u32,
    /// The time of its first record.
    first_record_us: u64,
    earliest_us: u64,
    latest_us: u64,
    previous_us: u64,
}

impl Packer {
    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.record_count == 0
    }

    /// Octets of its records.
    pub fn len(&self) -> usize {
        self.unpacked.len()
    }

    /// Adds a record.
    pub fn add(&mut self, stamped: &TimedRecord) -> Result<(), TraceError> {
        let record = postcard::to_stdvec(&stamped.record).map_err(std::io::Error::other)?;
        if self.unpacked.len() + record.len() + 32 > MAX_UNPACKED_BYTES {
            return Err(TraceError::RecordTooLarge(record.len()));
        }
        if self.record_count == 0 {
            (self.first_record_us, self.previous_us) = (stamped.at, stamped.at);
            (self.earliest_us, self.latest_us) = (stamped.at, stamped.at);
        }
        let since = stamped.at.wrapping_sub(self.previous_us) as i64;
        write_varint(&mut self.unpacked, record.len() as u64);
        write_varint(&mut self.unpacked, ((since << 1) ^ (since >> 63)) as u64);
        self.unpacked.extend_from_slice(&record);
        self.previous_us = stamped.at;
        (self.earliest_us, self.latest_us) = (
            self.earliest_us.min(stamped.at),
            self.latest_us.max(stamped.at),
        );
        self.record_count += 1;
        Ok(())
    }

    /// The block, and what its head tells; what follows begins a new one.
    pub fn pack(&mut self, level: i32) -> Result<(BlockInfo, Vec<u8>), TraceError> {
        // The first record's time stands against the earliest, which may be another's.
        let mut raw = Vec::with_capacity(self.unpacked.len() + 16);
        write_varint(&mut raw, self.first_record_us - self.earliest_us);
        raw.extend_from_slice(&self.unpacked);
        let payload = zstd::bulk::compress(&raw, level)?;
        let info = BlockInfo {
            packed_bytes: payload.len() as u32,
            unpacked_bytes: raw.len() as u32,
            record_count: self.record_count,
            first_us: self.earliest_us,
            last_us: self.latest_us,
        };
        let mut block = Vec::with_capacity(HEAD_BYTES + payload.len());
        block.extend_from_slice(&info.to_bytes());
        block.extend_from_slice(&info.checksum(&payload));
        block.extend_from_slice(&payload);
        *self = Packer::default();
        Ok((info, block))
    }
}

/// The octets of a payload, unpacked.
pub fn unpack_bytes(info: &BlockInfo, payload: &[u8]) -> Result<Vec<u8>, &'static str> {
    let raw = zstd::bulk::decompress(payload, info.unpacked_bytes as usize)
        .map_err(|_| "a block can't be unpacked")?;
    if raw.len() == info.unpacked_bytes as usize {
        Ok(raw)
    } else {
        Err("a block is shorter than its head tells")
    }
}

/// Records out of a payload; kinds that are not known are counted, not given.
pub fn unpack_records(
    info: &BlockInfo,
    payload: &[u8],
) -> Result<(Vec<TimedRecord>, u32), &'static str> {
    let raw = unpack_bytes(info, payload)?;
    let mut at = 0;
    let mut time = info
        .first_us
        .wrapping_add(read_varint(&raw, &mut at).ok_or("a block is cut off")?);
    let (mut records, mut unknown) = (
        Vec::with_capacity((info.record_count as usize).min(raw.len())),
        0,
    );
    for _ in 0..info.record_count {
        let length = read_varint(&raw, &mut at).ok_or("a block is cut off")?;
        let since = read_varint(&raw, &mut at).ok_or("a block is cut off")?;
        time = time.wrapping_add(unzigzag(since) as u64);
        let end = at
            .checked_add(length as usize)
            .filter(|&end| end <= raw.len());
        let end = end.ok_or("a record is longer than its block")?;
        match postcard::take_from_bytes::<Record>(&raw[at..end]) {
            Ok((record, [])) => records.push(TimedRecord { at: time, record }),
            _ => unknown += 1,
        }
        at = end;
    }
    if at != raw.len() {
        return Err("a block holds more than its head tells");
    }
    Ok((records, unknown))
}

fn unzigzag(n: u64) -> i64 {
    ((n >> 1) as i64) ^ -((n & 1) as i64)
}

fn write_varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn read_varint(bytes: &[u8], at: &mut usize) -> Option<u64> {
    let mut n = 0;
    for shift in (0..64).step_by(7) {
        let byte = *bytes.get(*at)?;
        *at += 1;
        n |= u64::from(byte & 0x7f) << shift;
        if byte < 0x80 {
            return Some(n);
        }
    }
    None
}
