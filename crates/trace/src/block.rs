//! Blocks of records. Each is self-contained, with its own lengths, counts, times, names and checksum.
//!
//! On disk: the header, which is `MTB1`, the compressed length, the uncompressed length, the number of records (u32
//! each), the earliest and the latest time (u64 each), all little-endian, and 16 bytes of BLAKE3 over those and the
//! payload; then the payload, which is zstd over a varint (the first record's time since the earliest) and the records.
//! Each record is a varint of its length, a zigzag varint of the time since the previous record, and its postcard
//! encoding.

use serde::{Deserialize, Serialize};

use crate::TraceError;
use crate::record::{Record, TimedRecord};

/// The first bytes of each block.
pub const BLOCK_MAGIC: &[u8; 4] = b"MTB1";
/// The length of a block's header, which precedes the payload.
pub const BLOCK_HEADER_BYTES: usize = 48;
/// The maximum uncompressed size of a block.
pub const MAX_UNPACKED_BYTES: usize = 32 << 20;

/// The contents of a block's header, except for magic and checksum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockInfo {
    /// The length of the compressed payload.
    pub packed_bytes: u32,
    /// The length of the uncompressed payload.
    pub unpacked_bytes: u32,
    /// The number of records.
    pub record_count: u32,
    /// The earliest time, µs.
    pub first_us: u64,
    /// The latest time, µs.
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

    /// Parses a header; returns its contents and the checksum.
    ///
    /// # Errors
    ///
    /// The magic is missing, or a length is out of range.
    pub fn parse(
        block_header: &[u8; BLOCK_HEADER_BYTES],
    ) -> Result<(BlockInfo, [u8; 16]), &'static str> {
        if &block_header[..4] != BLOCK_MAGIC {
            return Err("block magic MTB1 missing");
        }
        let read_u32 = |at: usize| {
            u32::from_le_bytes([
                block_header[at],
                block_header[at + 1],
                block_header[at + 2],
                block_header[at + 3],
            ])
        };
        let read_u64 = |at: usize| u64::from(read_u32(at)) | u64::from(read_u32(at + 4)) << 32;
        let info = BlockInfo {
            packed_bytes: read_u32(4),
            unpacked_bytes: read_u32(8),
            record_count: read_u32(12),
            first_us: read_u64(16),
            last_us: read_u64(24),
        };
        if info.unpacked_bytes as usize > MAX_UNPACKED_BYTES
            || info.packed_bytes as usize > MAX_UNPACKED_BYTES + (MAX_UNPACKED_BYTES >> 7) + 1024
        {
            return Err("block length in the header out of range");
        }
        let mut checksum = [0; 16];
        checksum.copy_from_slice(&block_header[32..]);
        Ok((info, checksum))
    }

    /// The checksum over the header and the payload.
    pub fn checksum(&self, payload: &[u8]) -> [u8; 16] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.to_bytes()).update(payload);
        let mut checksum = [0; 16];
        checksum.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        checksum
    }
}

/// Encodes records into a block.
#[derive(Debug, Default)]
pub struct BlockEncoder {
    unpacked: Vec<u8>,
    record_count: u32,
    first_record_us: u64,
    earliest_us: u64,
    latest_us: u64,
    previous_us: u64,
}

impl BlockEncoder {
    /// Whether no record was added since the last block.
    pub fn is_empty(&self) -> bool {
        self.record_count == 0
    }

    /// The length of the encoded records.
    pub fn len(&self) -> usize {
        self.unpacked.len()
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// The record can't be encoded, or the block would exceed [`MAX_UNPACKED_BYTES`].
    pub fn add(&mut self, timed_record: &TimedRecord) -> Result<(), TraceError> {
        let record = postcard::to_stdvec(&timed_record.record).map_err(std::io::Error::other)?;
        if self.unpacked.len() + record.len() + 32 > MAX_UNPACKED_BYTES {
            return Err(TraceError::RecordTooLarge(record.len()));
        }
        if self.record_count == 0 {
            (self.first_record_us, self.previous_us) = (timed_record.at, timed_record.at);
            (self.earliest_us, self.latest_us) = (timed_record.at, timed_record.at);
        }
        let since_previous = timed_record.at.wrapping_sub(self.previous_us) as i64;
        write_varint(&mut self.unpacked, record.len() as u64);
        write_varint(
            &mut self.unpacked,
            ((since_previous << 1) ^ (since_previous >> 63)) as u64,
        );
        self.unpacked.extend_from_slice(&record);
        self.previous_us = timed_record.at;
        (self.earliest_us, self.latest_us) = (
            self.earliest_us.min(timed_record.at),
            self.latest_us.max(timed_record.at),
        );
        self.record_count += 1;
        Ok(())
    }

    /// Returns the block with its header's contents, and starts a new block.
    ///
    /// # Errors
    ///
    /// Compression failed.
    pub fn finish_block(&mut self, level: i32) -> Result<(BlockInfo, Vec<u8>), TraceError> {
        // Records need not be in the order of time, so the first one may be later than the earliest.
        let mut uncompressed = Vec::with_capacity(self.unpacked.len() + 16);
        write_varint(&mut uncompressed, self.first_record_us - self.earliest_us);
        uncompressed.extend_from_slice(&self.unpacked);
        let payload = zstd::bulk::compress(&uncompressed, level)?;
        let info = BlockInfo {
            packed_bytes: payload.len() as u32,
            unpacked_bytes: uncompressed.len() as u32,
            record_count: self.record_count,
            first_us: self.earliest_us,
            last_us: self.latest_us,
        };
        let mut block = Vec::with_capacity(BLOCK_HEADER_BYTES + payload.len());
        block.extend_from_slice(&info.to_bytes());
        block.extend_from_slice(&info.checksum(&payload));
        block.extend_from_slice(&payload);
        *self = BlockEncoder::default();
        Ok((info, block))
    }
}

/// Decompresses a payload.
///
/// # Errors
///
/// The payload is not valid zstd, or its uncompressed length is not the header's.
pub fn decompress_payload(info: &BlockInfo, payload: &[u8]) -> Result<Vec<u8>, &'static str> {
    let uncompressed = zstd::bulk::decompress(payload, info.unpacked_bytes as usize)
        .map_err(|_| "block payload can't be decompressed")?;
    if uncompressed.len() == info.unpacked_bytes as usize {
        Ok(uncompressed)
    } else {
        Err("block payload shorter than stated in the block header")
    }
}

/// Decodes the records of a payload; returns them with the number of records that could not be decoded, as those of
/// unknown kinds.
///
/// # Errors
///
/// The payload can't be decompressed, or its lengths don't match each other and the header.
pub fn decode_records(
    info: &BlockInfo,
    payload: &[u8],
) -> Result<(Vec<TimedRecord>, u32), &'static str> {
    let uncompressed = decompress_payload(info, payload)?;
    let mut at = 0;
    let mut time = info.first_us.wrapping_add(
        read_varint(&uncompressed, &mut at).ok_or("block payload ends within a record")?,
    );
    let (mut records, mut unknown_records) = (
        Vec::with_capacity((info.record_count as usize).min(uncompressed.len())),
        0,
    );
    for _ in 0..info.record_count {
        let length =
            read_varint(&uncompressed, &mut at).ok_or("block payload ends within a record")?;
        let since_previous =
            read_varint(&uncompressed, &mut at).ok_or("block payload ends within a record")?;
        time = time.wrapping_add(unzigzag(since_previous) as u64);
        let end = at
            .checked_add(length as usize)
            .filter(|&end| end <= uncompressed.len());
        let end = end.ok_or("record length exceeds the block")?;
        match postcard::take_from_bytes::<Record>(&uncompressed[at..end]) {
            Ok((record, [])) => records.push(TimedRecord { at: time, record }),
            _ => unknown_records += 1,
        }
        at = end;
    }
    if at != uncompressed.len() {
        return Err("block payload longer than the records stated in the block header");
    }
    Ok((records, unknown_records))
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
