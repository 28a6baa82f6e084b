//! Writes a trace file: each block once it is full, and an index at the end.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::Write;

use maplethread::Event;
use serde::{Deserialize, Serialize};

use crate::block::{BlockEncoder, BlockInfo};
use crate::header::Header;
use crate::record::{Record, ReferencedIds, TimedRecord};
use crate::{Outcome, TraceError};

/// A block is closed once its encoded records reach this size.
const BLOCK_BYTES: usize = 256 << 10;
/// Limits the memory for names of services and for the services of tasks, which the index needs. At the limit they are
/// dropped, and blocks with tasks of unknown service are indexed as referring to any service.
const MAX_REMEMBERED_TASKS: usize = 1 << 20;
/// The first bytes of the index.
pub(crate) const INDEX_MAGIC: &[u8; 4] = b"MTIX";
/// The last bytes of a file with an index.
pub(crate) const END_MAGIC: &[u8; 8] = b"MTRCEND1";

/// The index entry of a block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The block's offset in the file.
    pub offset: u64,
    /// The length of its header and payload.
    pub byte_count: u64,
    /// The number of its records.
    pub record_count: u32,
    /// Its earliest time, µs.
    pub first_us: u64,
    /// Its latest time, µs.
    pub last_us: u64,
    /// The hosts that it refers to, in ascending order.
    pub machines: Vec<u32>,
    /// The services that it refers to directly or by their tasks, in ascending order.
    pub services: Vec<u64>,
    /// Whether the service of some of its tasks is unknown, so that it may refer to any service.
    pub may_name_any_service: bool,
    /// The number of answers by outcome: placed, rejected, failed, client disconnected.
    pub outcomes: [u32; 4],
}

/// The amounts that were written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriterTotals {
    /// The number of records, including repeated names.
    pub records: u64,
    /// The number of turns among them.
    pub turns: u64,
    /// The size before compression.
    pub unpacked_bytes: u64,
    /// The size of the file.
    pub bytes_written: u64,
}

/// Writes a trace file.
pub struct Writer<W> {
    out: W,
    position: u64,
    compression_level: i32,
    encoder: BlockEncoder,
    index: Vec<IndexEntry>,
    host_names: BTreeMap<u32, Record>,
    service_names: BTreeMap<u64, Record>,
    task_services: HashMap<u64, u64>,
    /// The numbers that the current block refers to, and whose names it therefore contains.
    ids_in_block: ReferencedIds,
    services_in_block: BTreeSet<u64>,
    may_name_any_service: bool,
    outcomes: [u32; 4],
    /// In a merged trace, the source of the current records.
    current_source: Option<u32>,
    totals: WriterTotals,
    /// The totals as of the last written block.
    flushed_totals: WriterTotals,
}

impl<W: Write> Writer<W> {
    /// Starts a file by writing its header.
    ///
    /// # Errors
    ///
    /// Writing failed.
    pub fn new(mut out: W, header: &Header) -> Result<Writer<W>, TraceError> {
        let header_bytes = header.write(&mut out)?;
        Ok(Writer {
            out,
            position: header_bytes,
            compression_level: 3,
            encoder: BlockEncoder::default(),
            index: Vec::new(),
            host_names: BTreeMap::new(),
            service_names: BTreeMap::new(),
            task_services: HashMap::new(),
            ids_in_block: ReferencedIds::default(),
            services_in_block: BTreeSet::new(),
            may_name_any_service: false,
            outcomes: [0; 4],
            current_source: None,
            totals: WriterTotals {
                bytes_written: header_bytes,
                ..WriterTotals::default()
            },
            flushed_totals: WriterTotals::default(),
        })
    }

    /// Records the name of a host or service; it is written to each block that refers to its number.
    pub fn register_name(&mut self, name: &TimedRecord) {
        match &name.record {
            Record::Host { machine, .. } => {
                drop(self.host_names.insert(*machine, name.record.clone()))
            }
            Record::Service { service, .. } => {
                // The number of services is not bounded, so their names are dropped at the limit.
                if self.service_names.len() >= MAX_REMEMBERED_TASKS {
                    self.service_names.clear();
                }
                self.service_names.insert(*service, name.record.clone());
            }
            _ => {}
        }
    }

    /// The numbers of turns and of records in the current block, which is not written yet.
    pub fn unflushed(&self) -> (u64, u64) {
        (
            self.totals.turns - self.flushed_totals.turns,
            self.totals.records - self.flushed_totals.records,
        )
    }

    /// The totals so far; `bytes_written` and `unpacked_bytes` do not include the current block.
    pub fn totals(&self) -> WriterTotals {
        self.totals
    }

    /// Adds a record, and writes the block if it is full.
    ///
    /// # Errors
    ///
    /// The record is too large or can't be encoded, or writing failed.
    pub fn push(&mut self, timed_record: &TimedRecord) -> Result<(), TraceError> {
        match &timed_record.record {
            Record::Host { .. } | Record::Service { .. } => self.register_name(timed_record),
            Record::RequestReceived { task, service, .. } => {
                if self.task_services.len() >= MAX_REMEMBERED_TASKS {
                    self.task_services.clear();
                }
                self.task_services.insert(*task, *service);
            }
            Record::Answered { outcome, .. } => self.outcomes[outcome_index(outcome)] += 1,
            Record::Source(source) => self.current_source = Some(*source),
            _ => {}
        }
        if let Some(source) = self.current_source.filter(|_| self.encoder.is_empty())
            && !matches!(timed_record.record, Record::Source(_))
        {
            self.append(&TimedRecord {
                at: timed_record.at,
                record: Record::Source(source),
            })?;
        }
        let ids = timed_record.record.referenced_ids();
        for &machine in &ids.machines {
            if self.ids_in_block.machines.insert(machine)
                && !matches!(timed_record.record, Record::Host { .. })
                && let Some(record) = self.host_names.get(&machine)
            {
                let record = record.clone();
                self.append(&TimedRecord {
                    at: timed_record.at,
                    record,
                })?;
            }
        }
        for &service in &ids.services {
            self.write_service_name(service, timed_record)?;
        }
        for task in &ids.tasks {
            match self.task_services.get(task) {
                Some(&service) => self.write_service_name(service, timed_record)?,
                None => self.may_name_any_service = true,
            }
        }
        if let Record::Turn(turn) = &timed_record.record {
            self.totals.turns += 1;
            for event in &turn.events {
                match event {
                    Event::PlacementRequested(task) | Event::TaskAdopted { task, .. } => {
                        self.task_services.insert(task.id.0, task.service.0);
                    }
                    Event::AttemptFinished {
                        attempt: id,
                        result: end,
                    } if end.closes_task => {
                        self.task_services.remove(&id.task.0);
                    }
                    _ => {}
                }
            }
        }
        self.append(timed_record)?;
        if self.encoder.len() >= BLOCK_BYTES {
            self.flush()
        } else {
            Ok(())
        }
    }

    fn write_service_name(
        &mut self,
        service: u64,
        timed_record: &TimedRecord,
    ) -> Result<(), TraceError> {
        self.services_in_block.insert(service);
        if self.ids_in_block.services.insert(service)
            && !matches!(timed_record.record, Record::Service { .. })
            && let Some(record) = self.service_names.get(&service)
        {
            let record = record.clone();
            self.append(&TimedRecord {
                at: timed_record.at,
                record,
            })?;
        }
        Ok(())
    }

    fn append(&mut self, timed_record: &TimedRecord) -> Result<(), TraceError> {
        self.totals.records += 1;
        self.encoder.add(timed_record)
    }

    /// Closes the current block and writes it, unless it is empty.
    ///
    /// # Errors
    ///
    /// Compressing or writing failed.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        if self.encoder.is_empty() {
            return Ok(());
        }
        let (info, block) = self.encoder.finish_block(self.compression_level)?;
        let entry = IndexEntry {
            offset: self.position,
            byte_count: block.len() as u64,
            record_count: info.record_count,
            first_us: info.first_us,
            last_us: info.last_us,
            machines: std::mem::take(&mut self.ids_in_block.machines)
                .into_iter()
                .collect(),
            services: std::mem::take(&mut self.services_in_block)
                .into_iter()
                .collect(),
            may_name_any_service: std::mem::take(&mut self.may_name_any_service),
            outcomes: std::mem::take(&mut self.outcomes),
        };
        self.ids_in_block = ReferencedIds::default();
        self.out.write_all(&block)?;
        self.out.flush()?;
        self.count_block(&info, block.len());
        self.index.push(entry);
        Ok(())
    }

    fn count_block(&mut self, info: &BlockInfo, block_bytes: usize) {
        self.position += block_bytes as u64;
        self.totals.bytes_written = self.position;
        self.totals.unpacked_bytes += u64::from(info.unpacked_bytes);
        self.flushed_totals = self.totals;
    }

    /// Writes the current block and the index; returns the totals.
    ///
    /// # Errors
    ///
    /// Compressing or writing failed.
    pub fn finish(&mut self) -> Result<WriterTotals, TraceError> {
        self.flush()?;
        let entries = postcard::to_stdvec(&self.index).map_err(std::io::Error::other)?;
        let compressed = zstd::bulk::compress(&entries, self.compression_level)?;
        let mut bytes = Vec::with_capacity(compressed.len() + 48);
        bytes.extend_from_slice(INDEX_MAGIC);
        bytes.extend_from_slice(&(compressed.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&(entries.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&blake3::hash(&compressed).as_bytes()[..16]);
        bytes.extend_from_slice(&compressed);
        bytes.extend_from_slice(&self.position.to_le_bytes());
        bytes.extend_from_slice(END_MAGIC);
        self.out.write_all(&bytes)?;
        self.out.flush()?;
        self.position += bytes.len() as u64;
        self.totals.bytes_written = self.position;
        Ok(self.totals)
    }

    /// The underlying output.
    pub fn get_ref(&self) -> &W {
        &self.out
    }
}

/// The position of an outcome in [`IndexEntry::outcomes`].
pub(crate) fn outcome_index(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Placed { .. } => 0,
        Outcome::Rejected { .. } => 1,
        Outcome::Failed => 2,
        Outcome::ClientDisconnected => 3,
    }
}
