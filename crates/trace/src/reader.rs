//! Reads a file block by block, in memory that does not grow with it. What is damaged or cut off costs itself only.

use std::io::{Read, Seek, SeekFrom};

use crate::TraceError;
use crate::block::{self, HEAD, Info, MAGIC, MOST_RAW, unpack};
use crate::header::{Header, MINOR};
use crate::record::Stamped;
use crate::writer::{END, Entry, INDEX};

/// A part of a file.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// A sound block.
    Block {
        /// Where it begins.
        at: u64,
        /// What its head tells.
        info: Info,
        /// Its records.
        records: Vec<Stamped>,
        /// Records of kinds that this program does not know.
        unknown: u32,
    },
    /// Octets that are no sound block.
    Damaged {
        /// Where they begin.
        at: u64,
        /// How many there are, up to the next sound block or the end.
        octets: u64,
        /// What is wrong with the first of them.
        why: &'static str,
    },
}

/// A file being read.
pub struct Reader<R> {
    from: R,
    /// What it begins with.
    pub header: Header,
    minor: u16,
    /// Where blocks begin.
    start: u64,
    at: u64,
    length: u64,
    /// Octets read so far, for those who want to know how much a cut read.
    read: u64,
}

impl<R: Read + Seek> Reader<R> {
    /// Opens a file.
    pub fn open(mut from: R) -> Result<Reader<R>, TraceError> {
        from.seek(SeekFrom::Start(0))?;
        let (header, start, minor) = Header::read(&mut from)?;
        let length = from.seek(SeekFrom::End(0))?;
        Ok(Reader {
            from,
            header,
            minor,
            start,
            at: start,
            length,
            read: start,
        })
    }

    /// Whether a newer program wrote it, whose kinds of records may be passed over.
    pub fn newer(&self) -> bool {
        self.minor > MINOR
    }

    /// Octets of the file, and those read so far.
    pub fn progress(&self) -> (u64, u64) {
        (self.length, self.read)
    }

    /// The index, if the file was finished and it is sound.
    pub fn index(&mut self) -> Result<Option<Vec<Entry>>, TraceError> {
        let Some(at) = self.index_at()? else {
            return Ok(None);
        };
        let head = self.take(at, 28)?;
        let four =
            |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (packed, raw) = (u64::from(four(4)), four(8) as usize);
        if at + 28 + packed + 16 != self.length || raw > 4 * MOST_RAW {
            return Ok(None);
        }
        let bytes = self.take(at + 28, packed as usize)?;
        if blake3::hash(&bytes).as_bytes()[..16] != head[12..28] {
            return Ok(None);
        }
        let entries = zstd::bulk::decompress(&bytes, raw).ok();
        Ok(entries.and_then(|e| postcard::from_bytes(&e).ok()))
    }

    /// Where the index begins, by the end of the file.
    fn index_at(&mut self) -> Result<Option<u64>, TraceError> {
        if self.length < self.start + 44 {
            return Ok(None);
        }
        let end = self.take(self.length - 16, 16)?;
        if end[8..] != *END {
            return Ok(None);
        }
        let at = u64::from_le_bytes([
            end[0], end[1], end[2], end[3], end[4], end[5], end[6], end[7],
        ]);
        if at < self.start || at + 44 > self.length || self.take(at, 4)? != INDEX {
            return Ok(None);
        }
        Ok(Some(at))
    }

    fn take(&mut self, at: u64, octets: usize) -> Result<Vec<u8>, TraceError> {
        self.from.seek(SeekFrom::Start(at))?;
        let mut bytes = Vec::new();
        (&mut self.from)
            .take(octets as u64)
            .read_to_end(&mut bytes)?;
        self.read += bytes.len() as u64;
        if bytes.len() != octets {
            return Err(TraceError::Damaged {
                at,
                why: "the file ends here",
            });
        }
        Ok(bytes)
    }

    /// The block that begins at this octet.
    pub fn block(&mut self, at: u64) -> Result<Part, TraceError> {
        let (info, payload) = self.payload(at)?;
        let (records, unknown) =
            unpack(&info, &payload).map_err(|why| TraceError::Damaged { at, why })?;
        Ok(Part::Block {
            at,
            info,
            records,
            unknown,
        })
    }

    /// The octets of the block that begins at this octet, unpacked.
    pub fn octets(&mut self, at: u64) -> Result<Vec<u8>, TraceError> {
        let (info, payload) = self.payload(at)?;
        block::octets(&info, &payload).map_err(|why| TraceError::Damaged { at, why })
    }

    fn payload(&mut self, at: u64) -> Result<(Info, Vec<u8>), TraceError> {
        let damaged = |why| TraceError::Damaged { at, why };
        if at + HEAD as u64 > self.length {
            return Err(damaged("the file ends in a block's head"));
        }
        let mut head = [0; HEAD];
        head.copy_from_slice(&self.take(at, HEAD)?);
        let (info, check) = Info::read(&head).map_err(damaged)?;
        if at + HEAD as u64 + u64::from(info.packed) > self.length {
            return Err(damaged("the file ends in a block"));
        }
        let payload = self.take(at + HEAD as u64, info.packed as usize)?;
        if info.check(&payload) != check {
            return Err(damaged("a block's checksum does not fit"));
        }
        Ok((info, payload))
    }

    /// Begins again with the first block.
    pub fn rewind(&mut self) {
        self.at = self.start;
    }

    /// The next part; none at the end.
    pub fn next_part(&mut self) -> Result<Option<Part>, TraceError> {
        let (from, mut why) = (self.at, None);
        let end = self.index_at().ok().flatten().unwrap_or(self.length);
        while self.at < end {
            match self.block(self.at) {
                Ok(part) => {
                    if let Some(why) = why {
                        return Ok(Some(Part::Damaged {
                            at: from,
                            octets: self.at - from,
                            why,
                        }));
                    }
                    if let Part::Block { info, .. } = &part {
                        self.at += HEAD as u64 + u64::from(info.packed);
                    }
                    return Ok(Some(part));
                }
                Err(TraceError::Damaged { why: wrong, .. }) => {
                    why.get_or_insert(wrong);
                    self.at = self.next_magic(self.at + 1, end)?;
                }
                Err(e) => return Err(e),
            }
        }
        Ok(why.map(|why| Part::Damaged {
            at: from,
            octets: end - from,
            why,
        }))
    }

    /// Where a block may begin, from this octet on; else the end.
    fn next_magic(&mut self, from: u64, end: u64) -> Result<u64, TraceError> {
        const ROUND: u64 = 64 << 10;
        let mut at = from;
        while at + 4 <= end {
            let part = self.take(at, ROUND.min(end - at) as usize)?;
            if let Some(found) = part.windows(4).position(|w| w == MAGIC) {
                return Ok(at + found as u64);
            }
            // The magic may lie over the edge.
            at += (part.len() as u64).saturating_sub(3).max(1);
        }
        Ok(end)
    }
}
