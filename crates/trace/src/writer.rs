//! Writes a file: blocks as they fill, and an index at the end.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::Write;

use maplethread::Event;
use serde::{Deserialize, Serialize};

use crate::block::{Info, Packer};
use crate::header::Header;
use crate::record::{Names, Record, Stamped};
use crate::{Outcome, TraceError};

/// A block is closed once its records have so many octets.
const FULL: usize = 256 << 10;
/// Tasks whose service is remembered for the index; with more, blocks count as naming every service.
const MOST_TASKS: usize = 1 << 20;
/// How each index begins, and how a file with an index ends.
pub(crate) const INDEX: &[u8; 4] = b"MTIX";
pub(crate) const END: &[u8; 8] = b"MTRCEND1";

/// What the index tells of a block.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it begins.
    pub at: u64,
    /// Its octets, head and payload.
    pub octets: u64,
    /// Records in it.
    pub records: u32,
    /// Its earliest time, µs.
    pub first: u64,
    /// Its latest.
    pub last: u64,
    /// The hosts that it names.
    pub machines: Vec<u32>,
    /// The services that it names, or whose tasks it names.
    pub services: Vec<u64>,
    /// Some of its tasks could not be told the service of: it may be any.
    pub any_service: bool,
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
    pub raw: u64,
    /// Octets on disk.
    pub octets: u64,
}

/// A file being written.
pub struct Writer<W> {
    out: W,
    at: u64,
    level: i32,
    packer: Packer,
    index: Vec<Entry>,
    machines: BTreeMap<u32, Record>,
    services: BTreeMap<u64, Record>,
    tasks: HashMap<u64, u64>,
    /// What the present block has said and named.
    said: Names,
    services_named: BTreeSet<u64>,
    any_service: bool,
    outcomes: [u32; 4],
    /// Of which source a merged trace's records are just now.
    source: Option<u32>,
    totals: Totals,
    /// As of the last block that was written.
    flushed: Totals,
}

impl<W: Write> Writer<W> {
    /// Begins a file.
    pub fn new(mut out: W, header: &Header) -> Result<Writer<W>, TraceError> {
        let at = header.write(&mut out)?;
        Ok(Writer {
            out,
            at,
            level: 3,
            packer: Packer::default(),
            index: Vec::new(),
            machines: BTreeMap::new(),
            services: BTreeMap::new(),
            tasks: HashMap::new(),
            said: Names::default(),
            services_named: BTreeSet::new(),
            any_service: false,
            outcomes: [0; 4],
            source: None,
            totals: Totals {
                octets: at,
                ..Totals::default()
            },
            flushed: Totals::default(),
        })
    }

    /// Takes in a name without writing it: it is said once something names its number.
    pub fn know(&mut self, name: &Stamped) {
        match &name.record {
            Record::Host { machine, .. } => {
                drop(self.machines.insert(*machine, name.record.clone()))
            }
            Record::Service { service, .. } => {
                // Names of services are as many as services: those of blocks long past are forgotten.
                if self.services.len() >= MOST_TASKS {
                    self.services.clear();
                }
                self.services.insert(*service, name.record.clone());
            }
            _ => {}
        }
    }

    /// Turns and records of the present block, which are not yet written.
    pub fn waiting(&self) -> (u64, u64) {
        (
            self.totals.turns - self.flushed.turns,
            self.totals.records - self.flushed.records,
        )
    }

    /// What was written so far; what waits in the present block is not in the octets on disk.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Adds a record.
    pub fn push(&mut self, stamped: &Stamped) -> Result<(), TraceError> {
        match &stamped.record {
            Record::Host { .. } | Record::Service { .. } => self.know(stamped),
            Record::Asked { task, service, .. } => {
                if self.tasks.len() >= MOST_TASKS {
                    self.tasks.clear();
                }
                self.tasks.insert(*task, *service);
            }
            Record::Answered { outcome, .. } => self.outcomes[place(outcome)] += 1,
            Record::Source(source) => self.source = Some(*source),
            _ => {}
        }
        if let Some(source) = self.source.filter(|_| self.packer.is_empty())
            && !matches!(stamped.record, Record::Source(_))
        {
            self.add(&Stamped {
                at: stamped.at,
                record: Record::Source(source),
            })?;
        }
        let names = stamped.record.names();
        for &machine in &names.machines {
            if self.said.machines.insert(machine)
                && !matches!(stamped.record, Record::Host { .. })
                && let Some(record) = self.machines.get(&machine)
            {
                let record = record.clone();
                self.add(&Stamped {
                    at: stamped.at,
                    record,
                })?;
            }
        }
        for &service in &names.services {
            self.say_service(service, stamped)?;
        }
        for task in &names.tasks {
            match self.tasks.get(task) {
                Some(&service) => self.say_service(service, stamped)?,
                None => self.any_service = true,
            }
        }
        if let Record::Turn(turn) = &stamped.record {
            self.totals.turns += 1;
            for event in &turn.events {
                match event {
                    Event::PlacementRequested(task) | Event::TaskAdopted(task, _) => {
                        self.tasks.insert(task.id.0, task.service.0);
                    }
                    Event::AttemptFinished(id, end) if end.closed => {
                        self.tasks.remove(&id.task.0);
                    }
                    _ => {}
                }
            }
        }
        self.add(stamped)?;
        if self.packer.len() >= FULL {
            self.flush()
        } else {
            Ok(())
        }
    }

    fn say_service(&mut self, service: u64, stamped: &Stamped) -> Result<(), TraceError> {
        self.services_named.insert(service);
        if self.said.services.insert(service)
            && !matches!(stamped.record, Record::Service { .. })
            && let Some(record) = self.services.get(&service)
        {
            let record = record.clone();
            self.add(&Stamped {
                at: stamped.at,
                record,
            })?;
        }
        Ok(())
    }

    fn add(&mut self, stamped: &Stamped) -> Result<(), TraceError> {
        self.totals.records += 1;
        self.packer.add(stamped)
    }

    /// Closes the present block and writes it.
    pub fn flush(&mut self) -> Result<(), TraceError> {
        if self.packer.is_empty() {
            return Ok(());
        }
        let (info, block) = self.packer.pack(self.level)?;
        let entry = Entry {
            at: self.at,
            octets: block.len() as u64,
            records: info.records,
            first: info.first,
            last: info.last,
            machines: std::mem::take(&mut self.said.machines)
                .into_iter()
                .collect(),
            services: std::mem::take(&mut self.services_named)
                .into_iter()
                .collect(),
            any_service: std::mem::take(&mut self.any_service),
            outcomes: std::mem::take(&mut self.outcomes),
        };
        self.said = Names::default();
        self.out.write_all(&block)?;
        self.out.flush()?;
        self.written(&info, block.len());
        self.index.push(entry);
        Ok(())
    }

    fn written(&mut self, info: &Info, octets: usize) {
        self.at += octets as u64;
        self.totals.octets = self.at;
        self.totals.raw += u64::from(info.raw);
        self.flushed = self.totals;
    }

    /// Writes what waits and the index; returns what was written to.
    pub fn finish(&mut self) -> Result<Totals, TraceError> {
        self.flush()?;
        let entries = postcard::to_stdvec(&self.index).map_err(std::io::Error::other)?;
        let packed = zstd::bulk::compress(&entries, self.level)?;
        let mut bytes = Vec::with_capacity(packed.len() + 48);
        bytes.extend_from_slice(INDEX);
        bytes.extend_from_slice(&(packed.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&(entries.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&blake3::hash(&packed).as_bytes()[..16]);
        bytes.extend_from_slice(&packed);
        bytes.extend_from_slice(&self.at.to_le_bytes());
        bytes.extend_from_slice(END);
        self.out.write_all(&bytes)?;
        self.out.flush()?;
        self.at += bytes.len() as u64;
        self.totals.octets = self.at;
        Ok(self.totals)
    }

    /// What it writes to.
    pub fn get_ref(&self) -> &W {
        &self.out
    }
}

/// An outcome's place in the index's counts.
pub(crate) fn place(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Placed { .. } => 0,
        Outcome::Refused { .. } => 1,
        Outcome::Failed => 2,
        Outcome::HungUp => 3,
    }
}
