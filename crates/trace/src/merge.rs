//! One trace of several: of the parts of a run, of several placers whose clocks differ, and of merged ones again.
//!
//! A *source* is one run of one placer. Each source's own order is kept exactly; records of different sources are
//! ordered by their times, corrected by an offset for each source that is estimated from what several witnessed: the
//! first sight of the same start of the same host. All of it depends on the set of sources only, so that neither the
//! order of the inputs nor earlier merges of some of them make a difference.

mod clock_offsets;
mod renumber;
mod sources;
mod stream;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Seek};

use crate::header::{Header, Source};
use crate::reader::{Part, Reader};
use crate::record::{Record, TimedRecord};
use crate::{TraceError, Writer};

use clock_offsets::{InputHosts, estimate_offsets, record_observed_starts};
use sources::{SourceSlice, group_by_source, sources_of};
use stream::SourceStream;

/// Why traces can't be merged.
#[derive(Debug, thiserror::Error)]
pub enum MergeError {
    /// An input can't be read, or the output not be written.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// Inputs overlap in a way that does not tell which records are the same.
    #[error("{0} is in two inputs, each with parts that the other lacks and some that both have")]
    OverlappingInputs(String),
    /// More sources or tasks than numbers.
    #[error("a source's numbers are too large to be merged")]
    IdOutOfRange,
    /// A file whose names were hidden can't be told to be of the same hosts as another.
    #[error("anonymised traces can't be merged; merge first")]
    Anonymised,
}

/// A plan of a merge: which pieces make up which source, what things are called, and how clocks differ.
pub struct MergePlan {
    slices_by_source: Vec<Vec<SourceSlice>>,
    header: Header,
    /// For each input, its classes' and hosts' numbers in the merged trace.
    classes: Vec<Vec<u32>>,
    hosts: Vec<BTreeMap<u32, u32>>,
    names: Vec<Record>,
    /// Inputs that are merged traces themselves.
    is_merged: Vec<bool>,
}

impl MergePlan {
    /// Reads all inputs once.
    pub fn new<R: Read + Seek>(inputs: &mut [Reader<R>]) -> Result<MergePlan, MergeError> {
        let pieces = group_by_source(inputs)?;
        let mut named: Vec<InputHosts> = inputs.iter().map(|_| InputHosts::default()).collect();
        let mut services: BTreeMap<u64, String> = BTreeMap::new();
        // First sight of each host's start, by source; and when each source begins, for what was there before it was
        // seen by it late.
        let mut begins: BTreeMap<usize, u64> = BTreeMap::new();
        let mut seen: BTreeMap<(String, u64), BTreeMap<usize, u64>> = BTreeMap::new();
        for (n, input) in inputs.iter_mut().enumerate() {
            let of: BTreeMap<u32, usize> = pieces
                .iter()
                .enumerate()
                .flat_map(|(s, all)| {
                    all.iter()
                        .filter(|p| p.input == n)
                        .map(move |p| (p.source_index, s))
                })
                .collect();
            let offsets: Vec<i64> = sources_of(&input.header)
                .iter()
                .map(|s| s.offset_us)
                .collect();
            let mut now = 0;
            input.rewind();
            while let Some(part) = input.next_part()? {
                let Part::Block { records, .. } = part else {
                    continue;
                };
                for TimedRecord { at, record } in records {
                    match record {
                        Record::Source(source) => now = source,
                        Record::Host {
                            machine,
                            name,
                            zone,
                            cell,
                            kind,
                        } => {
                            named[n].hosts.insert(machine, [name, zone, cell, kind]);
                        }
                        Record::Service { service, name } => drop(services.insert(service, name)),
                        Record::Turn(turn) => {
                            let offset = offsets.get(now as usize).copied().unwrap_or(0);
                            let at = at.wrapping_sub(offset as u64);
                            if let Some(&source) = of.get(&now) {
                                let begin = begins.entry(source).or_insert(at);
                                *begin = at.min(*begin);
                                record_observed_starts(&turn, at, source, &named[n], &mut seen);
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
        for ((_, started), times) in &mut seen {
            times.retain(|source, _| begins[source] <= *started);
        }
        let offsets = estimate_offsets(&seen, pieces.len());
        let mut all_hosts: BTreeMap<&String, [&String; 3]> = BTreeMap::new();
        for [name, zone, cell, kind] in named.iter().flat_map(|n| n.hosts.values()) {
            all_hosts.insert(name, [zone, cell, kind]);
        }
        let numbers: BTreeMap<&String, u32> = all_hosts
            .keys()
            .enumerate()
            .map(|(n, name)| (*name, n as u32))
            .collect();
        let hosts = named
            .iter()
            .map(|n| {
                n.hosts
                    .iter()
                    .map(|(&own, host)| (own, numbers[&host[0]]))
                    .collect()
            })
            .collect();
        let all_classes: BTreeSet<String> = inputs
            .iter()
            .flat_map(|i| i.header.classes.iter().cloned())
            .collect();
        let place = |name: &String| all_classes.iter().position(|c| c == name).unwrap_or(0) as u32;
        let classes = inputs
            .iter()
            .map(|i| i.header.classes.iter().map(place).collect())
            .collect();
        let mut names: Vec<Record> = all_hosts
            .iter()
            .map(|(name, [zone, cell, kind])| Record::Host {
                machine: numbers[name],
                name: (*name).clone(),
                zone: (*zone).clone(),
                cell: (*cell).clone(),
                kind: (*kind).clone(),
            })
            .collect();
        names.extend(
            services
                .into_iter()
                .map(|(service, name)| Record::Service { service, name }),
        );
        let of_all = pieces
            .iter()
            .zip(&offsets)
            .map(|(all, &(offset_us, error_us))| {
                let mut parts: Vec<u32> = all
                    .iter()
                    .flat_map(|p| p.source.parts.iter().copied())
                    .collect();
                parts.sort_unstable();
                Source {
                    parts,
                    offset_us,
                    error_us,
                    ..all[0].source.clone()
                }
            });
        let header = Header {
            writer: concat!("maplethread ", env!("CARGO_PKG_VERSION")).to_owned(),
            module: String::new(),
            placer: "merged".to_owned(),
            started_ms: pieces
                .iter()
                .map(|p| p[0].source.started_ms)
                .min()
                .unwrap_or(0),
            seed: 0,
            settings: None,
            classes: all_classes.iter().cloned().collect(),
            part: 0,
            changed: vec!["merge".to_owned()],
            sources: of_all.collect(),
        };
        let merged = inputs
            .iter()
            .map(|i| !i.header.sources.is_empty())
            .collect();
        Ok(MergePlan {
            slices_by_source: pieces,
            header,
            classes,
            hosts,
            names,
            is_merged: merged,
        })
    }

    /// The merged trace's header, with each source's offset and what is left of the differences.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Reads the inputs again, each source for itself, and writes the merged trace. `open` opens an input anew.
    pub fn write<R: Read + Seek, W: std::io::Write>(
        &self,
        mut open: impl FnMut(usize) -> Result<Reader<R>, TraceError>,
        writer: &mut Writer<W>,
    ) -> Result<(), MergeError> {
        for record in &self.names {
            writer.register_name(&TimedRecord {
                at: 0,
                record: record.clone(),
            });
        }
        let mut streams = Vec::new();
        for (n, pieces) in self.slices_by_source.iter().enumerate() {
            let mut inputs = Vec::new();
            for piece in pieces {
                inputs.push((open(piece.input)?, piece.clone()));
            }
            inputs.reverse();
            let offset = self.header.sources[n].offset_us;
            let mut stream = SourceStream {
                remaining: inputs,
                records: Vec::new().into_iter(),
                current_source: 0,
                offset_us: offset,
                sort_key: 0,
                next: None,
            };
            stream.advance(self, n)?;
            streams.push(stream);
        }
        let mut source = None;
        loop {
            // Few sources: the least is found by looking at each.
            let least = streams
                .iter()
                .enumerate()
                .filter(|(_, s)| s.next.is_some())
                .min_by_key(|(_, s)| s.sort_key);
            let Some((n, _)) = least else { return Ok(()) };
            let Some(stamped) = streams[n].next.take() else {
                return Ok(());
            };
            if source != Some(n) {
                writer.push(&TimedRecord {
                    at: stamped.at,
                    record: Record::Source(n as u32),
                })?;
                source = Some(n);
            }
            writer.push(&stamped)?;
            streams[n].advance(self, n)?;
        }
    }
}
