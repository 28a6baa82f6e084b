//! Reads a trace file block by block, with memory independent of the file's size. Damaged or truncated blocks are
//! skipped without affecting others.

use std::io::{Read, Seek, SeekFrom};

use crate::TraceError;
use crate::block::{
    self, BLOCK_HEADER_BYTES, BLOCK_MAGIC, BlockInfo, MAX_UNPACKED_BYTES, decode_records,
};
use crate::header::{Header, MINOR};
use crate::record::TimedRecord;
use crate::writer::{END_MAGIC, INDEX_MAGIC, IndexEntry};

/// A part of a file.
#[derive(Clone, Debug, PartialEq)]
pub enum FilePart {
    /// A valid block.
    Block {
        /// The block's offset in the file.
        offset: u64,
        /// The contents of its header.
        info: BlockInfo,
        /// Its records, without those of unknown kinds.
        records: Vec<TimedRecord>,
        /// The number of records that could not be decoded, as those of kinds unknown to this program.
        unknown_records: u32,
    },
    /// Bytes that are not a valid block.
    Damaged {
        /// Their offset in the file.
        offset: u64,
        /// Their number, up to the next valid block or the end.
        byte_count: u64,
        /// The check that failed at the first of them.
        reason: &'static str,
    },
}

/// Reads a trace file.
pub struct Reader<R> {
    input: R,
    /// The file's header.
    pub header: Header,
    minor_version: u16,
    /// The offset of the first block.
    first_block: u64,
    position: u64,
    file_bytes: u64,
    /// The number of bytes read so far, which shows how much of the file a cut had to read.
    bytes_read: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file and reads its header.
    ///
    /// # Errors
    ///
    /// The file can't be read, or does not begin with a valid header of this major version.
    pub fn open(mut from: R) -> Result<Reader<R>, TraceError> {
        from.seek(SeekFrom::Start(0))?;
        let (header, start, minor) = Header::read(&mut from)?;
        let length = from.seek(SeekFrom::End(0))?;
        Ok(Reader {
            input: from,
            header,
            minor_version: minor,
            first_block: start,
            position: start,
            file_bytes: length,
            bytes_read: start,
        })
    }

    /// Whether the file has a newer minor version, so that records of unknown kinds may be skipped.
    pub fn is_newer_minor_version(&self) -> bool {
        self.minor_version > MINOR
    }

    /// The size of the file, and the number of bytes read so far.
    pub fn progress(&self) -> (u64, u64) {
        (self.file_bytes, self.bytes_read)
    }

    /// Reads the index; none if the file was not finished or the index is damaged.
    ///
    /// # Errors
    ///
    /// The file can't be read.
    pub fn read_index(&mut self) -> Result<Option<Vec<IndexEntry>>, TraceError> {
        let Some(at) = self.find_index()? else {
            return Ok(None);
        };
        let head = self.read_at(at, 28)?;
        let read_u32 =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (compressed_bytes, uncompressed_bytes) = (u64::from(read_u32(4)), read_u32(8) as usize);
        if at + 28 + compressed_bytes + 16 != self.file_bytes
            || uncompressed_bytes > 4 * MAX_UNPACKED_BYTES
        {
            return Ok(None);
        }
        let bytes = self.read_at(at + 28, compressed_bytes as usize)?;
        if blake3::hash(&bytes).as_bytes()[..16] != head[12..28] {
            return Ok(None);
        }
        let uncompressed = zstd::bulk::decompress(&bytes, uncompressed_bytes).ok();
        Ok(uncompressed.and_then(|e| postcard::from_bytes(&e).ok()))
    }

    /// The offset of the index as stated at the end of the file; none if no index is there.
    fn find_index(&mut self) -> Result<Option<u64>, TraceError> {
        if self.file_bytes < self.first_block + 44 {
            return Ok(None);
        }
        let end = self.read_at(self.file_bytes - 16, 16)?;
        if end[8..] != *END_MAGIC {
            return Ok(None);
        }
        let at = u64::from_le_bytes([
            end[0], end[1], end[2], end[3], end[4], end[5], end[6], end[7],
        ]);
        if at < self.first_block || at + 44 > self.file_bytes || self.read_at(at, 4)? != INDEX_MAGIC
        {
            return Ok(None);
        }
        Ok(Some(at))
    }

    fn read_at(&mut self, at: u64, byte_count: usize) -> Result<Vec<u8>, TraceError> {
        self.input.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        (&mut self.input)
            .take(byte_count as u64)
            .read_to_end(&mut bytes)?;
        self.bytes_read += bytes.len() as u64;
        if bytes.len() != byte_count {
            return Err(TraceError::Damaged {
                offset: at,
                reason: "file ends before the expected data",
            });
        }
        Ok(bytes)
    }

    /// Reads the block at this offset; never returns [`FilePart::Damaged`].
    ///
    /// # Errors
    ///
    /// The file can't be read, or there is no valid block at this offset.
    pub fn read_block(&mut self, at: u64) -> Result<FilePart, TraceError> {
        let (info, payload) = self.read_payload(at)?;
        let (records, unknown_records) = decode_records(&info, &payload)
            .map_err(|reason| TraceError::Damaged { offset: at, reason })?;
        Ok(FilePart::Block {
            offset: at,
            info,
            records,
            unknown_records,
        })
    }

    /// Reads the block at this offset; returns its uncompressed payload.
    ///
    /// # Errors
    ///
    /// The file can't be read, or there is no valid block at this offset.
    pub fn read_block_bytes(&mut self, at: u64) -> Result<Vec<u8>, TraceError> {
        let (info, payload) = self.read_payload(at)?;
        block::decompress_payload(&info, &payload)
            .map_err(|reason| TraceError::Damaged { offset: at, reason })
    }

    fn read_payload(&mut self, at: u64) -> Result<(BlockInfo, Vec<u8>), TraceError> {
        let damaged = |reason| TraceError::Damaged { offset: at, reason };
        if at + BLOCK_HEADER_BYTES as u64 > self.file_bytes {
            return Err(damaged("file ends within a block header"));
        }
        let mut block_header = [0; BLOCK_HEADER_BYTES];
        block_header.copy_from_slice(&self.read_at(at, BLOCK_HEADER_BYTES)?);
        let (info, checksum) = BlockInfo::parse(&block_header).map_err(damaged)?;
        if at + BLOCK_HEADER_BYTES as u64 + u64::from(info.packed_bytes) > self.file_bytes {
            return Err(damaged("file ends within a block"));
        }
        let payload = self.read_at(at + BLOCK_HEADER_BYTES as u64, info.packed_bytes as usize)?;
        if info.checksum(&payload) != checksum {
            return Err(damaged("block checksum mismatch"));
        }
        Ok((info, payload))
    }

    /// Moves back to the first block.
    pub fn rewind(&mut self) {
        self.position = self.first_block;
    }

    /// Reads the next part; none at the end.
    ///
    /// # Errors
    ///
    /// The file can't be read; damage is returned as [`FilePart::Damaged`].
    pub fn next_part(&mut self) -> Result<Option<FilePart>, TraceError> {
        let (start, mut reason) = (self.position, None);
        let end = self.find_index().ok().flatten().unwrap_or(self.file_bytes);
        while self.position < end {
            match self.read_block(self.position) {
                Ok(part) => {
                    if let Some(reason) = reason {
                        return Ok(Some(FilePart::Damaged {
                            offset: start,
                            byte_count: self.position - start,
                            reason,
                        }));
                    }
                    if let FilePart::Block { info, .. } = &part {
                        self.position += BLOCK_HEADER_BYTES as u64 + u64::from(info.packed_bytes);
                    }
                    return Ok(Some(part));
                }
                Err(TraceError::Damaged {
                    reason: failure, ..
                }) => {
                    reason.get_or_insert(failure);
                    self.position = self.find_magic(self.position + 1, end)?;
                }
                Err(e) => return Err(e),
            }
        }
        Ok(reason.map(|reason| FilePart::Damaged {
            offset: start,
            byte_count: end - start,
            reason,
        }))
    }

    /// The offset of the next block magic at or after `from`, or `end`.
    fn find_magic(&mut self, from: u64, end: u64) -> Result<u64, TraceError> {
        const CHUNK_BYTES: u64 = 64 << 10;
        let mut at = from;
        while at + 4 <= end {
            let chunk = self.read_at(at, CHUNK_BYTES.min(end - at) as usize)?;
            if let Some(found) = chunk.windows(4).position(|w| w == BLOCK_MAGIC) {
                return Ok(at + found as u64);
            }
            // Overlaps by three bytes, as the magic may span two chunks.
            at += (chunk.len() as u64).saturating_sub(3).max(1);
        }
        Ok(end)
    }
}
