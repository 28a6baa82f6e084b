//! Blocks of records. Each stands alone: its own length, counts, times, names and checksum.
//!
//! On disk: `MTB1`, packed length, raw length, records (u32 each), first and last time (u64 each), all little-endian,
//! then 16 octets of BLAKE3 over those and the payload, then the payload: zstd over a varint (the first record's time
//! since the earliest) and the records, each a varint length, a zigzag varint of the time since the record before, and
//! the record in postcard's encoding.

use serde::{Deserialize, Serialize};

use crate::TraceError;
use crate::record::{Record, Stamped};

/// How each block begins.
pub const MAGIC: &[u8; 4] = b"MTB1";
/// Octets before the payload.
pub const HEAD: usize = 48;
/// The most that a block may hold, unpacked.
pub const MOST_RAW: usize = 32 << 20;

/// What a block's head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Info {
    /// Octets of the payload.
    pub packed: u32,
    /// Octets of its records.
    pub raw: u32,
    /// Records.
    pub records: u32,
    /// The earliest time, µs.
    pub first: u64,
    /// The latest.
    pub last: u64,
}

impl Info {
    fn bytes(&self) -> [u8; 32] {
        let mut bytes = [0; 32];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4..8].copy_from_slice(&self.packed.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.raw.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.records.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.first.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.last.to_le_bytes());
        bytes
    }

    /// Reads a head; with the checksum that follows it.
    pub fn read(head: &[u8; HEAD]) -> Result<(Info, [u8; 16]), &'static str> {
        if &head[..4] != MAGIC {
            return Err("no block begins here");
        }
        let four =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let eight = |at: usize| u64::from(four(at)) | u64::from(four(at + 4)) << 32;
        let info = Info {
            packed: four(4),
            raw: four(8),
            records: four(12),
            first: eight(16),
            last: eight(24),
        };
        if info.raw as usize > MOST_RAW || info.packed as usize > MOST_RAW + (MOST_RAW >> 7) + 1024
        {
            return Err("a block's length is out of range");
        }
        let mut check = [0; 16];
        check.copy_from_slice(&head[32..]);
        Ok((info, check))
    }

    /// The checksum over the head and the payload.
    pub fn check(&self, payload: &[u8]) -> [u8; 16] {
        let mut hash = blake3::Hasher::new();
        hash.update(&self.bytes()).update(payload);
        let mut check = [0; 16];
        check.copy_from_slice(&hash.finalize().as_bytes()[..16]);
        check
    }
}

/// Records on their way into a block.
#[derive(Debug, Default)]
pub struct Packer {
    raw: Vec<u8>,
    records: u32,
    /// The time of its first record.
    start: u64,
    first: u64,
    last: u64,
    before: u64,
}

impl Packer {
    /// Whether nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Octets of its records.
    pub fn len(&self) -> usize {
        self.raw.len()
    }

    /// Adds a record.
    pub fn add(&mut self, stamped: &Stamped) -> Result<(), TraceError> {
        let record = postcard::to_stdvec(&stamped.record).map_err(std::io::Error::other)?;
        if self.raw.len() + record.len() + 32 > MOST_RAW {
            return Err(TraceError::TooLarge(record.len()));
        }
        if self.records == 0 {
            (self.start, self.before) = (stamped.at, stamped.at);
            (self.first, self.last) = (stamped.at, stamped.at);
        }
        let since = stamped.at.wrapping_sub(self.before) as i64;
        put(&mut self.raw, record.len() as u64);
        put(&mut self.raw, ((since << 1) ^ (since >> 63)) as u64);
        self.raw.extend_from_slice(&record);
        self.before = stamped.at;
        (self.first, self.last) = (self.first.min(stamped.at), self.last.max(stamped.at));
        self.records += 1;
        Ok(())
    }

    /// The block, and what its head tells; what follows begins a new one.
    pub fn pack(&mut self, level: i32) -> Result<(Info, Vec<u8>), TraceError> {
        // The first record's time stands against the earliest, which may be another's.
        let mut raw = Vec::with_capacity(self.raw.len() + 16);
        put(&mut raw, self.start - self.first);
        raw.extend_from_slice(&self.raw);
        let payload = zstd::bulk::compress(&raw, level)?;
        let info = Info {
            packed: payload.len() as u32,
            raw: raw.len() as u32,
            records: self.records,
            first: self.first,
            last: self.last,
        };
        let mut block = Vec::with_capacity(HEAD + payload.len());
        block.extend_from_slice(&info.bytes());
        block.extend_from_slice(&info.check(&payload));
        block.extend_from_slice(&payload);
        *self = Packer::default();
        Ok((info, block))
    }
}

/// The octets of a payload, unpacked.
pub fn octets(info: &Info, payload: &[u8]) -> Result<Vec<u8>, &'static str> {
    let raw = zstd::bulk::decompress(payload, info.raw as usize)
        .map_err(|_| "a block can't be unpacked")?;
    if raw.len() == info.raw as usize {
        Ok(raw)
    } else {
        Err("a block is shorter than its head tells")
    }
}

/// Records out of a payload; kinds that are not known are counted, not given.
pub fn unpack(info: &Info, payload: &[u8]) -> Result<(Vec<Stamped>, u32), &'static str> {
    let raw = octets(info, payload)?;
    let mut at = 0;
    let mut time = info
        .first
        .wrapping_add(get(&raw, &mut at).ok_or("a block is cut off")?);
    let (mut records, mut unknown) = (
        Vec::with_capacity((info.records as usize).min(raw.len())),
        0,
    );
    for _ in 0..info.records {
        let length = get(&raw, &mut at).ok_or("a block is cut off")?;
        let since = get(&raw, &mut at).ok_or("a block is cut off")?;
        time = time.wrapping_add(unzigzag(since) as u64);
        let end = at
            .checked_add(length as usize)
            .filter(|&end| end <= raw.len());
        let end = end.ok_or("a record is longer than its block")?;
        match postcard::take_from_bytes::<Record>(&raw[at..end]) {
            Ok((record, [])) => records.push(Stamped { at: time, record }),
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

fn put(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn get(bytes: &[u8], at: &mut usize) -> Option<u64> {
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
