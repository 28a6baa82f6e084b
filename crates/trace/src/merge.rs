//! Merges traces: the parts of a run, runs of several placers with different clocks, and traces that are already
//! merged.
//!
//! A *source* is one run of one placer. The order of records within a source is kept; records of different sources are
//! ordered by their times, corrected by a clock offset for each source. Offsets are estimated from events that several
//! sources observed: each source's first report of the same start of the same host. The result depends only on the set
//! of sources, not on the order of the inputs or on earlier merges of some of them.

mod clock_offsets;
mod renumber;
mod sources;
mod stream;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Seek};

use crate::header::{Header, Source};
use crate::reader::{FilePart, Reader};
use crate::record::{Record, TimedRecord};
use crate::{TraceError, Writer};

use clock_offsets::{InputHosts, estimate_offsets, record_observed_starts};
use sources::{SourceSlice, group_by_source, sources_of};
use stream::SourceStream;

/// Why traces can't be merged.
#[derive(Debug, thiserror::Error)]
pub enum MergeError {
    /// An input can't be read, or the output can't be written.
    #[error("{0}")]
    Trace(#[from] TraceError),
    /// Inputs overlap partly, so that common records can't be identified; the text names the placer and its start.
    #[error("inputs overlap partly for {0}: each has parts that the other lacks")]
    OverlappingInputs(String),
    /// A task number or the number of sources exceeds what a merged task number can hold.
    #[error("task number or number of sources too large for a merged trace")]
    IdOutOfRange,
    /// An input is anonymised, so its hosts can't be matched with those of other inputs.
    #[error("anonymised traces can't be merged; merge before anonymising")]
    Anonymised,
}

/// The plan of a merge: the slices of inputs that make up each source, the numbers and names, and the clock offsets.
pub struct MergePlan {
    slices_by_source: Vec<Vec<SourceSlice>>,
    header: Header,
    /// For each input, the merged trace's number of each of its classes.
    classes: Vec<Vec<u32>>,
    /// For each input, the merged trace's number by its own number of a host.
    hosts: Vec<BTreeMap<u32, u32>>,
    names: Vec<Record>,
    /// For each input, whether it is a merged trace itself.
    is_merged: Vec<bool>,
}

impl MergePlan {
    /// Reads all inputs once and plans the merge.
    ///
    /// # Errors
    ///
    /// An input can't be read or is anonymised, or inputs overlap partly.
    pub fn new<R: Read + Seek>(inputs: &mut [Reader<R>]) -> Result<MergePlan, MergeError> {
        let slices = group_by_source(inputs)?;
        let mut input_hosts: Vec<InputHosts> =
            inputs.iter().map(|_| InputHosts::default()).collect();
        let mut services: BTreeMap<u64, String> = BTreeMap::new();
        // The first observation of each host's start, by source, and the time at which each source begins. A start
        // before that is ignored below, as the source could only observe it late.
        let mut source_starts: BTreeMap<usize, u64> = BTreeMap::new();
        let mut observed_starts: BTreeMap<(String, u64), BTreeMap<usize, u64>> = BTreeMap::new();
        for (n, input) in inputs.iter_mut().enumerate() {
            let source_numbers: BTreeMap<u32, usize> = slices
                .iter()
                .enumerate()
                .flat_map(|(source, slices)| {
                    slices
                        .iter()
                        .filter(|slice| slice.input == n)
                        .map(move |slice| (slice.source_index, source))
                })
                .collect();
            let offsets: Vec<i64> = sources_of(&input.header)
                .iter()
                .map(|source| source.offset_us)
                .collect();
            let mut current_source = 0;
            input.rewind();
            while let Some(part) = input.next_part()? {
                let FilePart::Block { records, .. } = part else {
                    continue;
                };
                for TimedRecord { at, record } in records {
                    match record {
                        Record::Source(source) => current_source = source,
                        Record::Host {
                            machine,
                            name,
                            zone,
                            cell,
                            kind,
                        } => {
                            input_hosts[n]
                                .hosts
                                .insert(machine, [name, zone, cell, kind]);
                        }
                        Record::Service { service, name } => drop(services.insert(service, name)),
                        Record::Turn(turn) => {
                            let offset_us =
                                offsets.get(current_source as usize).copied().unwrap_or(0);
                            let at = at.wrapping_sub(offset_us as u64);
                            if let Some(&source) = source_numbers.get(&current_source) {
                                let source_start = source_starts.entry(source).or_insert(at);
                                *source_start = at.min(*source_start);
                                record_observed_starts(
                                    &turn,
                                    at,
                                    source,
                                    &input_hosts[n],
                                    &mut observed_starts,
                                );
                            }
                        }
                        _ => {}
                    }
                }
            }
        }
        for ((_, started_at), times) in &mut observed_starts {
            times.retain(|source, _| source_starts[source] <= *started_at);
        }
        let offsets = estimate_offsets(&observed_starts, slices.len());
        let mut all_hosts: BTreeMap<&String, [&String; 3]> = BTreeMap::new();
        for [name, zone, cell, kind] in input_hosts.iter().flat_map(|input| input.hosts.values()) {
            all_hosts.insert(name, [zone, cell, kind]);
        }
        let host_numbers: BTreeMap<&String, u32> = all_hosts
            .keys()
            .enumerate()
            .map(|(n, name)| (*name, n as u32))
            .collect();
        let hosts = input_hosts
            .iter()
            .map(|input| {
                input
                    .hosts
                    .iter()
                    .map(|(&input_number, host)| (input_number, host_numbers[&host[0]]))
                    .collect()
            })
            .collect();
        let all_classes: BTreeSet<String> = inputs
            .iter()
            .flat_map(|input| input.header.classes.iter().cloned())
            .collect();
        let class_number =
            |name: &String| all_classes.iter().position(|c| c == name).unwrap_or(0) as u32;
        let classes = inputs
            .iter()
            .map(|input| input.header.classes.iter().map(class_number).collect())
            .collect();
        let mut names: Vec<Record> = all_hosts
            .iter()
            .map(|(name, [zone, cell, kind])| Record::Host {
                machine: host_numbers[name],
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
        let merged_sources = slices
            .iter()
            .zip(&offsets)
            .map(|(slices, &(offset_us, error_us))| {
                let mut parts: Vec<u32> = slices
                    .iter()
                    .flat_map(|slice| slice.source.parts.iter().copied())
                    .collect();
                parts.sort_unstable();
                Source {
                    parts,
                    offset_us,
                    residual_error_us: error_us,
                    ..slices[0].source.clone()
                }
            });
        let header = Header {
            writer: concat!("maplethread ", env!("CARGO_PKG_VERSION")).to_owned(),
            policy_hash: String::new(),
            placer: "merged".to_owned(),
            started_ms: slices
                .iter()
                .map(|slices| slices[0].source.started_ms)
                .min()
                .unwrap_or(0),
            seed: 0,
            settings: None,
            classes: all_classes.iter().cloned().collect(),
            part: 0,
            operations: vec!["merge".to_owned()],
            sources: merged_sources.collect(),
        };
        let is_merged = inputs
            .iter()
            .map(|input| !input.header.sources.is_empty())
            .collect();
        Ok(MergePlan {
            slices_by_source: slices,
            header,
            classes,
            hosts,
            names,
            is_merged,
        })
    }

    /// The merged trace's header, with the clock offset and residual error of each source.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Reads the inputs again, once for each source, and writes the merged trace. `open` opens an input by its index.
    ///
    /// # Errors
    ///
    /// An input can't be opened or read, a number is out of range, or writing failed.
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
        for (n, slices) in self.slices_by_source.iter().enumerate() {
            let mut inputs = Vec::new();
            for slice in slices {
                inputs.push((open(slice.input)?, slice.clone()));
            }
            inputs.reverse();
            let offset_us = self.header.sources[n].offset_us;
            let mut stream = SourceStream {
                remaining: inputs,
                records: Vec::new().into_iter(),
                current_source: 0,
                offset_us,
                sort_key: 0,
                next: None,
            };
            stream.advance(self, n)?;
            streams.push(stream);
        }
        let mut source = None;
        loop {
            // There are few sources, so a linear search for the earliest record is enough.
            let next = streams
                .iter()
                .enumerate()
                .filter(|(_, stream)| stream.next.is_some())
                .min_by_key(|(_, stream)| stream.sort_key);
            let Some((n, _)) = next else { return Ok(()) };
            let Some(timed_record) = streams[n].next.take() else {
                return Ok(());
            };
            if source != Some(n) {
                writer.push(&TimedRecord {
                    at: timed_record.at,
                    record: Record::Source(n as u32),
                })?;
                source = Some(n);
            }
            writer.push(&timed_record)?;
            streams[n].advance(self, n)?;
        }
    }
}
