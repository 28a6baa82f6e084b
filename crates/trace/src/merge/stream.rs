//! The records of one source, read from its inputs one after the other.

use std::io::{Read, Seek};

use super::sources::SourceSlice;
use super::{MergeError, MergePlan};
use crate::reader::{Part, Reader};
use crate::record::{Record, TimedRecord};

/// One source's records in its own order.
pub(super) struct SourceStream<R> {
    /// What is left of its pieces, the next one last.
    pub(super) remaining: Vec<(Reader<R>, SourceSlice)>,
    pub(super) records: std::vec::IntoIter<TimedRecord>,
    /// The source that the piece's records are of just now.
    pub(super) current_source: u32,
    pub(super) offset_us: i64,
    /// Where the next record stands among those of other sources: never before the one before it.
    pub(super) sort_key: u64,
    pub(super) next: Option<TimedRecord>,
}

impl<R: Read + Seek> SourceStream<R> {
    /// Reads up to the next record of the source.
    pub(super) fn advance(&mut self, merge: &MergePlan, source: usize) -> Result<(), MergeError> {
        loop {
            let Some((reader, piece)) = self.remaining.last_mut() else {
                return Ok(());
            };
            let Some(TimedRecord { at, record }) = self.records.next() else {
                match reader.next_part()? {
                    Some(Part::Block { records, .. }) => self.records = records.into_iter(),
                    Some(Part::Damaged {
                        byte_count: octets, ..
                    }) => {
                        let why = format!("{octets} damaged octets");
                        let record = Record::Gap {
                            turns: 1,
                            records: 1,
                            reason: why,
                        };
                        self.records = vec![TimedRecord {
                            at: self.sort_key,
                            record,
                        }]
                        .into_iter();
                    }
                    None => {
                        self.remaining.pop();
                        self.current_source = 0;
                    }
                }
                continue;
            };
            match record {
                Record::Source(n) => self.current_source = n,
                Record::Host { .. } | Record::Service { .. } => {}
                record if self.current_source == piece.source_index => {
                    // The times of a merged input are corrected already.
                    let at = at
                        .wrapping_sub(piece.source.offset_us as u64)
                        .wrapping_add(self.offset_us as u64);
                    self.sort_key = self.sort_key.max(at);
                    let record = merge.renumber(piece.input, source, record)?;
                    self.next = Some(TimedRecord { at, record });
                    return Ok(());
                }
                _ => {}
            }
        }
    }
}
