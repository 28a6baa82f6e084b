//! Reads a file block by block, in memory that does not grow with it. What is damaged or cut off costs itself only.

use std::io::{Read, Seek, SeekFrom};

use crate::TraceError;
use crate::block::{self, BLOCK_MAGIC, BlockInfo, HEAD_BYTES, MAX_UNPACKED_BYTES, unpack_records};
use crate::header::{Header, MINOR};
use crate::record::TimedRecord;
use crate::writer::{END_MAGIC, INDEX_MAGIC, IndexEntry};

/// A part of a file.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A sound block.
    Block {
        /// Where it begins.
        offset: u64,
        /// What its head tells.
        info: BlockInfo,
        /// Its records.
        records: Vec<TimedRecord>,
        /// Records of kinds that this program does not know.
        unknown_records: u32,
    },
    /// Octets that are no sound block.
    Damaged {
        /// Where they begin.
        offset: u64,
        /// How many there are, up to the next sound block or the end.
        byte_count: u64,
        /// What is wrong with the first of them.
        reason: &'static str,
    },
}

/// A file being read.
pub struct Reader<R> {
    input: R,
    /// What it begins with.
    pub header: Header,
    minor_version: u16,
    /// Where blocks begin.
    first_block: u64,
    position: u64,
    file_bytes: u64,
    /// Octets read so far, for those who want to know how much a cut read.
    bytes_read: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file.
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

    /// Whether a newer program wrote it, whose kinds of records may be passed over.
    pub fn is_newer_minor_version(&self) -> bool {
        self.minor_version > MINOR
    }

    /// Octets of the file, and those read so far.
    pub fn progress(&self) -> (u64, u64) {
        (self.file_bytes, self.bytes_read)
    }

    /// The index, if the file was finished and it is sound.
    pub fn read_index(&mut self) -> Result<Option<Vec<IndexEntry>>, TraceError> {
        let Some(at) = self.find_index()? else {
            return Ok(None);
        };
        let head = self.read_at(at, 28)?;
        let four =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (packed, raw) = (u64::from(four(4)), four(8) as usize);
        if at + 28 + packed + 16 != self.file_bytes || raw > 4 * MAX_UNPACKED_BYTES {
            return Ok(None);
        }
        let bytes = self.read_at(at + 28, packed as usize)?;
        if blake3::hash(&bytes).as_bytes()[..16] != head[12..28] {
            return Ok(None);
        }
        let entries = zstd::bulk::decompress(&bytes, raw).ok();
        Ok(entries.and_then(|e| postcard::from_bytes(&e).ok()))
    }

    /// Where the index begins, by the end of the file.
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

    fn read_at(&mut self, at: u64, octets: usize) -> Result<Vec<u8>, TraceError> {
        self.input.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        (&mut self.input)
            .take(octets as u64)
            .read_to_end(&mut bytes)?;
        self.bytes_read += bytes.len() as u64;
        if bytes.len() != octets {
            return Err(TraceError::Damaged {
                at,
                why: "the file ends here",
            });
        }
        Ok(bytes)
    }

    /// The block that begins at this octet.
    pub fn read_block(&mut self, at: u64) -> Result<Part, TraceError> {
        let (info, payload) = self.read_payload(at)?;
        let (records, unknown) =
            unpack_records(&info, &payload).map_err(|why| TraceError::Damaged { at, why })?;
        Ok(Part::Block {
            offset: at,
            info,
            records,
            unknown_records: unknown,
        })
    }

    /// The octets of the block that begins at this octet, unpacked.
    pub fn read_block_bytes(&mut self, at: u64) -> Result<Vec<u8>, TraceError> {
        let (info, payload) = self.read_payload(at)?;
        block::unpack_bytes(&info, &payload).map_err(|why| TraceError::Damaged { at, why })
    }

    fn read_payload(&mut self, at: u64) -> Result<(BlockInfo, Vec<u8>), TraceError> {
        let damaged = |why| TraceError::Damaged { at, why };
        if at + HEAD_BYTES as u64 > self.file_bytes {
            return Err(damaged("the file ends in a block's head"));
        }
        let mut head = [0; HEAD_BYTES];
        head.copy_from_slice(&self.read_at(at, HEAD_BYTES)?);
        let (info, check) = BlockInfo::parse(&head).map_err(damaged)?;
        if at + HEAD_BYTES as u64 + u64::from(info.packed_bytes) > self.file_bytes {
            return Err(damaged("the file ends in a block"));
        }
        let payload = self.read_at(at + HEAD_BYTES as u64, info.packed_bytes as usize)?;
        if info.checksum(&payload) != check {
            return Err(damaged("a block's checksum does not fit"));
        }
        Ok((info, payload))
    }

    /// Begins again with the first block.
    pub fn rewind(&mut self) {
        self.position = self.first_block;
    }

    /// The next part; none at the end.
    pub fn next_part(&mut self) -> Result<Option<Part>, TraceError> {
        let (from, mut why) = (self.position, None);
        let end = self.find_index().ok().flatten().unwrap_or(self.file_bytes);
        while self.position < end {
            match self.read_block(self.position) {
                Ok(part) => {
                    if let Some(why) = why {
                        return Ok(Some(Part::Damaged {
                            offset: from,
                            byte_count: self.position - from,
                            reason: why,
                        }));
                    }
                    if let Part::Block { info, .. } = &part {
                        self.position += HEAD_BYTES as u64 + u64::from(info.packed_bytes);
                    }
                    return Ok(Some(part));
                }
                Err(TraceError::Damaged { why: wrong, .. }) => {
                    why.get_or_insert(wrong);
                    self.position = self.find_magic(self.position + 1, end)?;
                }
                Err(e) => return Err(e),
            }
        }
        Ok(why.map(|why| Part::Damaged {
            offset: from,
            byte_count: end - from,
            reason: why,
        }))
    }

    /// Where a block may begin, from this octet on; else the end.
    fn find_magic(&mut self, from: u64, end: u64) -> Result<u64, TraceError> {
        const ROUND: u64 = 64 << 10;
        let mut at = from;
        while at + 4 <= end {
            let part = self.read_at(at, ROUND.min(end - at) as usize)?;
            if let Some(found) = part.windows(4).position(|w| w == BLOCK_MAGIC) {
                return Ok(at + found as u64);
            }
            // The magic may lie over the edge.
            at += (part.len() as u64).saturating_sub(3).max(1);
        }
        Ok(end)
    }
}
