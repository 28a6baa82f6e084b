//! Streams the records of one source from its inputs, one after the other.

use std::io::{Read, Seek};

use super::sources::SourceSlice;
use super::{MergeError, MergePlan};
use crate::reader::{FilePart, Reader};
use crate::record::{Record, TimedRecord};

/// The records of one source in their order.
pub(super) struct SourceStream<R> {
    /// The slices that are left to read, in reverse order.
    pub(super) remaining: Vec<(Reader<R>, SourceSlice)>,
    pub(super) records: std::vec::IntoIter<TimedRecord>,
    /// The index, among the sources of the slice's input, that the current records belong to.
    pub(super) current_source: u32,
    pub(super) offset_us: i64,
    /// The time by which the next record is ordered among other sources: the latest corrected time so far, so that a
    /// clock that steps back does not reorder the source.
    pub(super) sort_key: u64,
    pub(super) next: Option<TimedRecord>,
}

impl<R: Read + Seek> SourceStream<R> {
    /// Reads the next record of the source into `next`.
    pub(super) fn advance(&mut self, plan: &MergePlan, source: usize) -> Result<(), MergeError> {
        loop {
            let Some((reader, slice)) = self.remaining.last_mut() else {
                return Ok(());
            };
            let Some(TimedRecord { at, record }) = self.records.next() else {
                match reader.next_part()? {
                    Some(FilePart::Block { records, .. }) => self.records = records.into_iter(),
                    Some(FilePart::Damaged {
                        byte_count: damaged_bytes,
                        ..
                    }) => {
                        let reason = format!("{damaged_bytes} damaged octets");
                        let record = Record::Gap {
                            turns: 1,
                            records: 1,
                            reason,
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
                record if self.current_source == slice.source_index => {
                    // The times of a merged input are already corrected, so its own offset is removed first.
                    let at = at
                        .wrapping_sub(slice.source.offset_us as u64)
                        .wrapping_add(self.offset_us as u64);
                    self.sort_key = self.sort_key.max(at);
                    let record = plan.renumber(slice.input, source, record)?;
                    self.next = Some(TimedRecord { at, record });
                    return Ok(());
                }
                _ => {}
            }
        }
    }
}
