//! Writes a file: blocks as they fill, and an index at the end.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::Write;

use maplethread::Event;
use serde::{Deserialize, Serialize};

use crate::block::{BlockInfo, Packer};
use crate::header::Header;
use crate::record::{Record, ReferencedIds, TimedRecord};
use crate::{Outcome, TraceError};

/// A block is closed once its records have so many octets.
const BLOCK_BYTES: usize = 256 << 10;
/// Tasks whose service is remembered for the index; with more, blocks count as naming every service.
const MAX_REMEMBERED_TASKS: usize = 1 << 20;
/// How each index begins, and how a file with an index ends.
pub(crate) const INDEX_MAGIC: &[u8; 4] = b"MTIX";
pub(crate) const END_MAGIC: &[u8; 8] = b"MTRCEND1";

/// What the index tells of a block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// Where it begins.
    pub offset: u64,
    /// Its octets, head and payload.
    pub byte_count: u64,
    /// Records in it.
    pub record_count: u32,
    /// Its earliest time, µs.
    pub first_us: u64,
    /// Its latest.
    pub last_us: u64,
    /// The hosts that it names.
    pub machines: Vec<u32>,
    /// The services that it names, or whose tasks it names.
    pub services: Vec<u64>,
    /// Some of its tasks could not be told the service of: it may be any.
    pub may_name_any_service: bool,
    /// Answers in it: placed, refused, failed, hung up.
    pub outcomes: [u32; 4],
}

/// What was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Records, names said again included.
    pub records: u64,
    /// Turns among them.
    pub turns: u64,
    /// Octets, unpacked.
    pub unpacked_bytes: u64,
    /// Octets on disk.
    pub bytes_written: u64,
}

/// A file being written.
pub struct Writer<W> {
    out: W,
    position: u64,
    compression_level: i32,
    packer: Packer,
    index: Vec<IndexEntry>,
    host_names: BTreeMap<u32, Record>,
    service_names: BTreeMap<u64, Record>,
    task_services: HashMap<u64, u64>,
    /// What the present block has said and named.
    ids_in_block: ReferencedIds,
    services_in_block: BTreeSet<u64>,
    may_name_any_service: bool,
    outcomes: [u32; 4],
    /// Of which source a merged trace's records are just now.
    current_source: Option<u32>,
    totals: Totals,
    /// As of the last block that was written.
    flushed_totals: Totals,
}

impl<W: Write> Writer<W> {
    /// Begins a file.
    pub fn new(mut out: W, header: &Header) -> Result<Writer<W>, TraceError> {
        let at = header.write(&mut out)?;
        Ok(Writer {
            out,
            position: at,
            compression_level: 3,
            packer: Packer::default(),
            index: Vec::new(),
            host_names: BTreeMap::new(),
            service_names: BTreeMap::new(),
            task_services: HashMap::new(),
            ids_in_block: ReferencedIds::default(),
            services_in_block: BTreeSet::new(),
            may_name_any_service: false,
            outcomes: [0; 4],
            current_source: None,
            totals: Totals {
                bytes_written: at,
                ..Totals::default()
            },
            flushed_totals: Totals::default(),
        })
    }

    /// Takes in a name without writing it: it is said once something names its number.
    pub fn register_name(&mut self, name: &TimedRecord) {
        match &name.record {
            Record::Host { machine, .. } => {
                drop(self.host_names.insert(*machine, name.record.clone()))
            }
            Record::Service { service, .. } => {
                // Names of services are as many as services: those of blocks long past are forgotten.
                if self.service_names.len() >= MAX_REMEMBERED_TASKS {
                    self.service_names.clear();
                }
                self.service_names.insert(*service, name.record.clone());
            }
            _ => {}
        }
    }

    /// Turns and records of the present block, which are not yet written.
    pub fn unflushed(&self) -> (u64, u64) {
        (
            self.totals.turns - self.flushed_totals.turns,
            self.totals.records - self.flushed_totals.records,
        )
    }

    /// What was written so far; what waits in the present block is not in the octets on disk.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Adds a record.
    pub fn push(&mut self, stamped: &TimedRecord) -> Result<(), TraceError> {
        match &stamped.record {
            Record::Host { .. } | Record::Service { .. } => self.register_name(stamped),
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
        if let Some(source) = self.current_source.filter(|_| self.packer.is_empty())
            && !matches!(stamped.record, Record::Source(_))
        {
            self.append(&TimedRecord {
                at: stamped.at,
                record: Record::Source(source),
            })?;
        }
        let names = stamped.record.referenced_ids();
        for &machine in &names.machines {
            if self.ids_in_block.machines.insert(machine)
                && !matches!(stamped.record, Record::Host { .. })
                && let Some(record) = self.host_names.get(&machine)
            {
                let record = record.clone();
                self.append(&TimedRecord {
                    at: stamped.at,
                    record,
                })?;
            }
        }
        for &service in &names.services {
            self.write_service_name(service, stamped)?;
        }
        for task in &names.tasks {
            match self.task_services.get(task) {
                Some(&service) => self.write_service_name(service, stamped)?,
                None => self.may_name_any_service = true,
            }
        }
        if let Record::Turn(turn) = &stamped.record {
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
        self.append(stamped)?;
        if self.packer.len() >= BLOCK_BYTES {
            self.flush()
        } else {
            Ok(())
        }
    }

    fn write_service_name(
        &mut self,
        service: u64,
        stamped: &TimedRecord,
    ) -> Result<(), TraceError> {
        self.services_in_block.insert(service);
        if self.ids_in_block.services.insert(service)
            && !matches!(stamped.record, Record::Service { .. })
            && let Some(record) = self.service_names.get(&service)
        {
            let record = record.clone();
            self.append(&TimedRecord {
                at: stamped.at,
                record,
            })?;
        }
        Ok(())
    }

    fn append(&mut self, stamped: &TimedRecord) -> Result<(), TraceError> {
        self.totals.records += 1;
        self.packer.add(stamped)
    }

    /// Closes the present block and writes it.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        if self.packer.is_empty() {
            return Ok(());
        }
        let (info, block) = self.packer.pack(self.compression_level)?;
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

    fn count_block(&mut self, info: &BlockInfo, octets: usize) {
        self.position += octets as u64;
        self.totals.bytes_written = self.position;
        self.totals.unpacked_bytes += u64::from(info.unpacked_bytes);
        self.flushed_totals = self.totals;
    }

    /// Writes what waits and the index; returns what was written to.
    pub fn finish(&mut self) -> Result<Totals, TraceError> {
        self.flush()?;
        let entries = postcard::to_stdvec(&self.index).map_err(std::io::Error::other)?;
        let packed = zstd::bulk::compress(&entries, self.compression_level)?;
        let mut bytes = Vec::with_capacity(packed.len() + 48);
        bytes.extend_from_slice(INDEX_MAGIC);
        bytes.extend_from_slice(&(packed.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&(entries.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&blake3::hash(&packed).as_bytes()[..16]);
        bytes.extend_from_slice(&packed);
        bytes.extend_from_slice(&self.position.to_le_bytes());
        bytes.extend_from_slice(END_MAGIC);
        self.out.write_all(&bytes)?;
        self.out.flush()?;
        self.position += bytes.len() as u64;
        self.totals.bytes_written = self.position;
        Ok(self.totals)
    }

    /// What it writes to.
    pub fn get_ref(&self) -> &W {
        &self.out
    }
}

/// An outcome's place in the index's counts.
pub(crate) fn outcome_index(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Placed { .. } => 0,
        Outcome::Rejected { .. } => 1,
        Outcome::Failed => 2,
        Outcome::ClientDisconnected => 3,
    }
}
