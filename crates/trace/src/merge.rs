//! One trace of several: of the parts of a run, of several placers whose clocks differ, and of merged ones again.
//!
//! A *source* is one run of one placer. Each source's own order is kept exactly; records of different sources are
//! ordered by their times, corrected by an offset for each source that is estimated from what several witnessed: the
//! first sight of the same start of the same host. All of it depends on the set of sources only, so that neither the
//! order of the inputs nor earlier merges of some of them make a difference.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Seek};

use maplethread::{Action, AttemptId, Event, MachineEntry, MachineId, Task, TaskId};

use crate::header::{Header, Source};
use crate::reader::{Part, Reader};
use crate::record::{Outcome, Record, TimedRecord, Turn};
use crate::{TraceError, Writer};

/// Starts of hosts that are compared.
const MAX_OBSERVED_STARTS: usize = 1 << 17;
/// The bits of a merged task's number that are its number in its source.
const TASK_BITS: u32 = 40;

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

/// A source as one input has it.
#[derive(Clone, Debug)]
struct SourceSlice {
    input: usize,
    /// Its place among the input's sources.
    source_index: u32,
    source: Source,
}

/// What an input names, by its own numbers.
#[derive(Default)]
struct InputHosts {
    hosts: BTreeMap<u32, [String; 4]>,
}

/// The sources of a file: itself, if it was never merged.
fn sources_of(header: &Header) -> Vec<Source> {
    if header.sources.is_empty() {
        return vec![Source {
            placer: header.placer.clone(),
            started_ms: header.started_ms,
            module: header.module.clone(),
            parts: vec![header.part],
            offset_us: 0,
            error_us: None,
        }];
    }
    header.sources.clone()
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
        let pieces = pieces(inputs)?;
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

    /// A record by the merged trace's numbers.
    fn renumber(&self, input: usize, source: usize, record: Record) -> Result<Record, MergeError> {
        let task = |id: u64| -> Result<u64, MergeError> {
            let own = if self.is_merged[input] {
                id & ((1 << TASK_BITS) - 1)
            } else {
                id
            };
            if own >> TASK_BITS != 0 || source >= 1 << (63 - TASK_BITS) {
                return Err(MergeError::IdOutOfRange);
            }
            Ok((source as u64) << TASK_BITS | own)
        };
        let host = |n: u32| self.hosts[input].get(&n).copied().unwrap_or(u32::MAX);
        let class = |n: usize| {
            self.classes[input]
                .get(n)
                .map_or(usize::MAX, |&c| c as usize)
        };
        let whole = |t: Task| -> Result<Task, MergeError> {
            Ok(Task {
                id: TaskId(task(t.id.0)?),
                class: class(t.class),
                ..t
            })
        };
        let attempt = |id: AttemptId| -> Result<AttemptId, MergeError> {
            Ok(AttemptId {
                task: TaskId(task(id.task.0)?),
                ..id
            })
        };
        Ok(match record {
            Record::Turn(Turn {
                now,
                events,
                actions,
            }) => {
                let event = |event: Event| -> Result<Event, MergeError> {
                    Ok(match event {
                        Event::EndpointsUpdated { scope, machines } => {
                            let one = |m: MachineEntry| MachineEntry {
                                machine: MachineId(host(m.machine.0)),
                                ..m
                            };
                            Event::EndpointsUpdated {
                                scope,
                                machines: machines.into_iter().map(one).collect(),
                            }
                        }
                        Event::ConnectionChanged {
                            machine: m,
                            is_connected: on,
                        } => Event::ConnectionChanged {
                            machine: MachineId(host(m.0)),
                            is_connected: on,
                        },
                        Event::PlacementRequested(t) => Event::PlacementRequested(whole(t)?),
                        Event::TaskAdopted {
                            task: t,
                            machine: m,
                        } => Event::TaskAdopted {
                            task: whole(t)?,
                            machine: MachineId(host(m.0)),
                        },
                        Event::AttemptAccepted {
                            attempt: id,
                            elapsed: took,
                        } => Event::AttemptAccepted {
                            attempt: attempt(id)?,
                            elapsed: took,
                        },
                        Event::TaskReported {
                            attempt: id,
                            report: note,
                        } => Event::TaskReported {
                            attempt: attempt(id)?,
                            report: note,
                        },
                        Event::AttemptFinished {
                            attempt: id,
                            result: end,
                        } => Event::AttemptFinished {
                            attempt: attempt(id)?,
                            result: end,
                        },
                        Event::ClientDisconnected(id) => {
                            Event::ClientDisconnected(TaskId(task(id.0)?))
                        }
                        Event::Probed {
                            machine,
                            answered: ok,
                            load,
                        } => Event::Probed {
                            machine: MachineId(host(machine.0)),
                            answered: ok,
                            load,
                        },
                        Event::ReplicaIndexChanged(_)
                        | Event::DiscoveryUnavailable
                        | Event::TimerFired { .. }
                        | Event::PeerMessage { .. } => event,
                    })
                };
                let action = |action: Action| -> Result<Action, MergeError> {
                    Ok(match action {
                        Action::Offer {
                            task: id,
                            machine: m,
                            timeout: wait,
                        } => Action::Offer {
                            task: TaskId(task(id.0)?),
                            machine: MachineId(host(m.0)),
                            timeout: wait,
                        },
                        Action::Cancel(id) => Action::Cancel(attempt(id)?),
                        Action::Reject {
                            task: id,
                            retry_after: advice,
                        } => Action::Reject {
                            task: TaskId(task(id.0)?),
                            retry_after: advice,
                        },
                        Action::Fail(id) => Action::Fail(TaskId(task(id.0)?)),
                        Action::Blocked {
                            task: id,
                            reason: lack,
                        } => Action::Blocked {
                            task: TaskId(task(id.0)?),
                            reason: lack,
                        },
                        Action::Migrate(id) => Action::Migrate(TaskId(task(id.0)?)),
                        Action::Probe(m) => Action::Probe(MachineId(host(m.0))),
                        Action::CloseIdle(m) => Action::CloseIdle(MachineId(host(m.0))),
                        Action::SetTimer { .. }
                        | Action::SendToPeer { .. }
                        | Action::WatchEndpoints { .. }
                        | Action::FetchEndpoints
                        | Action::Log(_) => action,
                    })
                };
                Record::Turn(Turn {
                    now,
                    events: events.into_iter().map(event).collect::<Result<_, _>>()?,
                    actions: actions.into_iter().map(action).collect::<Result<_, _>>()?,
                })
            }
            Record::RequestReceived {
                task: id,
                service,
                actor,
                class: c,
                request_id: request,
                idempotency_key: key,
                received_at: read,
            } => {
                let c = class(c as usize) as u32;
                Record::RequestReceived {
                    task: task(id)?,
                    service,
                    actor,
                    class: c,
                    request_id: request,
                    idempotency_key: key,
                    received_at: read,
                }
            }
            Record::Answered {
                task: id,
                outcome,
                attempts,
                elapsed: after,
            } => {
                let outcome = match outcome {
                    Outcome::Placed { host: n } => Outcome::Placed { host: host(n) },
                    other => other,
                };
                Record::Answered {
                    task: task(id)?,
                    outcome,
                    attempts,
                    elapsed: after,
                }
            }
            other => other,
        })
    }
}

/// One source's records in its own order.
struct SourceStream<R> {
    /// What is left of its pieces, the next one last.
    remaining: Vec<(Reader<R>, SourceSlice)>,
    records: std::vec::IntoIter<TimedRecord>,
    /// The source that the piece's records are of just now.
    current_source: u32,
    offset_us: i64,
    /// Where the next record stands among those of other sources: never before the one before it.
    sort_key: u64,
    next: Option<TimedRecord>,
}

impl<R: Read + Seek> SourceStream<R> {
    fn advance(&mut self, merge: &MergePlan, source: usize) -> Result<(), MergeError> {
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

/// Which pieces make up each source, in the order of sources; what another input holds as a whole is left out.
fn pieces<R: Read + Seek>(inputs: &[Reader<R>]) -> Result<Vec<Vec<SourceSlice>>, MergeError> {
    let mut all: BTreeMap<(String, u64), Vec<SourceSlice>> = BTreeMap::new();
    for (input, reader) in inputs.iter().enumerate() {
        if reader.header.changed.iter().any(|c| c == "anonymise") {
            return Err(MergeError::Anonymised);
        }
        for (index, source) in sources_of(&reader.header).into_iter().enumerate() {
            let run = (source.placer.clone(), source.started_ms);
            all.entry(run).or_default().push(SourceSlice {
                input,
                source_index: index as u32,
                source,
            });
        }
    }
    let mut chosen = Vec::new();
    for ((placer, started_ms), mut pieces) in all {
        pieces.sort_by(|a, b| {
            b.source
                .parts
                .len()
                .cmp(&a.source.parts.len())
                .then(a.input.cmp(&b.input))
        });
        let mut kept: Vec<SourceSlice> = Vec::new();
        for piece in pieces {
            let has = |p: &SourceSlice, part: &u32| p.source.parts.contains(part);
            if kept
                .iter()
                .any(|k| piece.source.parts.iter().all(|part| has(k, part)))
            {
                continue;
            }
            if kept
                .iter()
                .any(|k| piece.source.parts.iter().any(|part| has(k, part)))
            {
                return Err(MergeError::OverlappingInputs(format!(
                    "{placer}, started at {started_ms}"
                )));
            }
            kept.push(piece);
        }
        kept.sort_by_key(|p| p.source.parts.iter().min().copied());
        chosen.push(kept);
    }
    Ok(chosen)
}

fn record_observed_starts(
    turn: &Turn,
    at: u64,
    source: usize,
    named: &InputHosts,
    seen: &mut BTreeMap<(String, u64), BTreeMap<usize, u64>>,
) {
    for event in &turn.events {
        let Event::EndpointsUpdated { machines, .. } = event else {
            continue;
        };
        for listing in machines {
            let (Some(started), Some(host)) =
                (listing.started_at, named.hosts.get(&listing.machine.0))
            else {
                continue;
            };
            if seen.len() < MAX_OBSERVED_STARTS {
                let times = seen.entry((host[0].clone(), started)).or_default();
                let first = times.entry(source).or_insert(at);
                *first = at.min(*first);
            }
        }
    }
}

/// For each source: what to add to its times, and how far what it witnessed then still lies from what others did at
/// the median of nine in ten; none if nobody shared a sight with it.
fn estimate_offsets(
    seen: &BTreeMap<(String, u64), BTreeMap<usize, u64>>,
    sources: usize,
) -> Vec<(i64, Option<u64>)> {
    let median = |mut all: Vec<i64>| -> Option<i64> {
        all.sort_unstable();
        all.get(all.len() / 2).copied()
    };
    let mut apart: Vec<Vec<i64>> = vec![Vec::new(); sources];
    for times in seen.values().filter(|times| times.len() > 1) {
        let base = times.values().min().copied().unwrap_or(0);
        let middle = median(times.values().map(|&t| (t - base) as i64).collect()).unwrap_or(0);
        for (&source, &at) in times {
            apart[source].push(middle - (at - base) as i64);
        }
    }
    apart
        .into_iter()
        .map(|all| match median(all.clone()) {
            None => (0, None),
            Some(offset) => {
                let mut left: Vec<u64> = all.iter().map(|d| d.abs_diff(offset)).collect();
                left.sort_unstable();
                (offset, left.get(left.len() * 9 / 10).copied())
            }
        })
        .collect()
}
