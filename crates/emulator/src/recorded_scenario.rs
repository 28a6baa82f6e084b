//! Converts placers' traces into a scenario with the recorded demand and faults, to be replayed with real placers.
//!
//! First requests are replayed as recorded: time, service, class, shape and duration. Repeated requests depend on the
//! answers, as in any run. The faults are those that placers observed: restarts of hosts (single hosts, or a zone
//! together) and placers that were killed or restarted. Traces do not contain how long a host was down before its
//! start; `ASSUMED_DOWNTIME_S` is used instead.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Read, Seek};

use maplethread::Event;
use maplethread_trace::summary::Summary;
use maplethread_trace::{FilePart, Reader, Record};
use serde_json::Value;

use crate::demand::Arrival;
use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::seeded_rng::SeededRng;

#[cfg(test)]
mod tests;

/// Assumed time that a host is down before it restarts, s.
pub const ASSUMED_DOWNTIME_S: f64 = 1.5;
/// Host starts within this time of the first one belong to one fault, µs.
const FAULT_WINDOW_US: u64 = 1_000_000;
/// Restarts in one window count as the loss of a zone if they are at least this share of its hosts, and at least
/// [`MIN_ZONE_STARTS`].
const MIN_ZONE_SHARE: f64 = 0.8;
/// See [`MIN_ZONE_SHARE`].
const MIN_ZONE_STARTS: usize = 3;
/// Maximum number of first requests that are read from the traces.
const MAX_REQUESTS: usize = 1 << 22;

/// A recorded run, as a scenario.
pub struct RecordedScenario {
    /// The scenario, with the faults that placers observed.
    pub scenario: Scenario,
    /// The first requests.
    pub arrivals: Vec<Arrival>,
    /// The summary of the traces, as printed by `trace summary`.
    pub summary: Value,
}

/// A first request, as recorded.
struct RecordedRequest {
    at: u64,
    class: String,
    service: String,
    actor: String,
    shape: [f64; 2],
    expected_duration_us: Option<u64>,
    placer: String,
}

/// The contents of the traces that a scenario is built from.
#[derive(Default)]
struct TraceContents {
    requests: Vec<RecordedRequest>,
    /// The zone of each host.
    hosts: BTreeMap<String, String>,
    /// The starts of hosts: time, µs, and name.
    host_starts: BTreeSet<(u64, String)>,
    /// For each placer, the start of each of its processes, and the time of that process's last record.
    placer_processes: BTreeMap<String, BTreeMap<u64, u64>>,
}

/// Reads traces into a scenario based on `base`, scaled to the recorded numbers of hosts and placers and played `speed`
/// times as fast.
///
/// # Errors
///
/// A trace cannot be read, no trace is given, no first request is recorded, or a trace names an unknown class or
/// source.
pub fn read<R: Read + Seek>(
    traces: &mut [Reader<R>],
    base: &Scenario,
    speed: f64,
    seed: u64,
) -> Result<RecordedScenario, String> {
    let mut contents = TraceContents::default();
    let mut summary = None;
    for trace in traces {
        let summary = summary.get_or_insert_with(|| Summary::new(&trace.header));
        contents.read(trace, summary)?;
    }
    let summary = summary.ok_or("no trace given")?.to_json();
    contents
        .into_scenario(base, speed, seed)
        .map(|(scenario, arrivals)| RecordedScenario {
            scenario,
            arrivals,
            summary,
        })
}

impl TraceContents {
    fn read<R: Read + Seek>(
        &mut self,
        trace: &mut Reader<R>,
        summary: &mut Summary,
    ) -> Result<(), String> {
        let header = trace.header.clone();
        let mut placer_process = (header.placer.clone(), header.started_ms * 1000);
        let mut services: BTreeMap<u64, String> = BTreeMap::new();
        let mut names: BTreeMap<u32, String> = BTreeMap::new();
        let mut pending: HashMap<u64, (u64, String, u64, u32)> = HashMap::new();
        while let Some(part) = trace.next_part().map_err(|e| e.to_string())? {
            let FilePart::Block { records, .. } = part else {
                continue;
            };
            for r in &records {
                summary.feed(r);
                let last_record_at = self
                    .placer_processes
                    .entry(placer_process.0.clone())
                    .or_default()
                    .entry(placer_process.1)
                    .or_insert(placer_process.1);
                *last_record_at = r.at.max(*last_record_at);
                match &r.record {
                    Record::Source(index) => {
                        let source = header
                            .sources
                            .get(*index as usize)
                            .ok_or("trace record refers to a source that is not in the header")?;
                        placer_process = (source.placer.clone(), source.started_ms * 1000);
                    }
                    Record::Service { service, name } => {
                        drop(services.insert(*service, name.clone()))
                    }
                    Record::Host {
                        machine,
                        name,
                        zone,
                        ..
                    } => {
                        names.insert(*machine, name.clone());
                        self.hosts.insert(name.clone(), zone.clone());
                    }
                    Record::RequestReceived {
                        task,
                        service,
                        actor,
                        class,
                        received_at,
                        ..
                    } => {
                        pending.insert(*task, (*service, actor.clone(), *received_at, *class));
                    }
                    Record::Turn(turn) => {
                        for event in &turn.events {
                            match event {
                                Event::PlacementRequested(task) => {
                                    let Some((service, actor, at, class)) =
                                        pending.remove(&task.id.0)
                                    else {
                                        continue;
                                    };
                                    if task.is_resubmission || self.requests.len() >= MAX_REQUESTS {
                                        continue;
                                    }
                                    let class = header.classes.get(class as usize).cloned();
                                    self.requests.push(RecordedRequest {
                                        at,
                                        class: class.ok_or("trace record refers to a class that is not in the header")?,
                                        service: services
                                            .get(&service)
                                            .cloned()
                                            .unwrap_or_default(),
                                        actor,
                                        shape: [task.requested.cores, task.requested.memory],
                                        expected_duration_us: task.expected_duration,
                                        placer: placer_process.0.clone(),
                                    });
                                }
                                Event::EndpointsUpdated { machines, .. } => {
                                    for entry in machines {
                                        if let Some(at) = entry.started_at
                                            && let Some(name) = names.get(&entry.machine.0)
                                        {
                                            self.host_starts.insert((at, name.clone()));
                                        }
                                    }
                                }
                                _ => {}
                            }
                        }
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn into_scenario(
        mut self,
        base: &Scenario,
        speed: f64,
        seed: u64,
    ) -> Result<(Scenario, Vec<Arrival>), String> {
        self.requests
            .sort_by(|a, b| (a.at, &a.service, &a.actor).cmp(&(b.at, &b.service, &b.actor)));
        let start_us = self
            .requests
            .first()
            .ok_or("no first request in the traces")?
            .at;
        let end_us = self.requests.last().map_or(start_us, |request| request.at);
        let scaled_us = |at: u64| at.saturating_sub(start_us) as f64 / speed;
        let mut scenario = base.clone().with_host_count(self.hosts.len().max(1));
        scenario.name = "recorded".to_owned();
        scenario.duration_s = (scaled_us(end_us) / 1e6).max(1.0);
        scenario.placers = self.placer_processes.len().max(1) as u32;
        scenario.faults = self.scheduled_faults(start_us, end_us, speed, scenario.placers, base);
        let zones = &scenario.fleet.zones;
        let placers: Vec<&String> = self.placer_processes.keys().collect();
        let mut rng = SeededRng::new(seed, 9);
        let mut seen = BTreeSet::new();
        let mut arrivals = Vec::new();
        for request in &self.requests {
            // An owner that retried at another placer requested the same task again.
            if !seen.insert((&request.service, &request.actor)) {
                continue;
            }
            let class = scenario
                .classes
                .iter()
                .position(|c| c.placer_class.name == request.class)
                .ok_or_else(|| {
                    format!(
                        "recorded class {:?} is not in the scenario {:?}",
                        request.class, base.name
                    )
                })?;
            let wanted_for_us = request
                .expected_duration_us
                .unwrap_or((scenario.classes[class].mean_duration_s * 1e6) as u64);
            arrivals.push(Arrival {
                at_us: scaled_us(request.at) as u64,
                class,
                service: request.service.as_str().into(),
                actor: request.actor.as_str().into(),
                resources: request.shape,
                wanted_for_us,
                // Owners prefer placers of their own zone, so the zone of the placer is taken as theirs.
                zone: placers
                    .iter()
                    .position(|name| **name == request.placer)
                    .unwrap_or(0)
                    % zones.len(),
                seed: rng.seed(),
            });
        }
        Ok((scenario, arrivals))
    }

    fn scheduled_faults(
        &self,
        start_us: u64,
        end_us: u64,
        speed: f64,
        placers: u32,
        base: &Scenario,
    ) -> Vec<ScheduledFault> {
        let at_s = |at: u64| at.saturating_sub(start_us) as f64 / 1e6 / speed;
        let fault = |kind, at_s: f64, duration_s, affected_share| ScheduledFault {
            kind,
            at_s: at_s.max(0.0),
            duration_s,
            affected_share,
            intensity: 0.0,
            class: None,
            zone: None,
        };
        let mut faults = Vec::new();
        // Starts up to `FAULT_WINDOW_US` after the first request belong to the state at the beginning of the run.
        let mut starts: Vec<&(u64, String)> = self
            .host_starts
            .iter()
            .filter(|(at, _)| (start_us + FAULT_WINDOW_US..end_us).contains(at))
            .collect();
        while let Some(&&(first, _)) = starts.first() {
            let count = starts
                .iter()
                .take_while(|(at, _)| *at < first + FAULT_WINDOW_US)
                .count();
            let mut started_by_zone: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
            for (_, name) in starts.drain(..count) {
                let zone = self.hosts.get(name).map_or("", String::as_str);
                started_by_zone.entry(zone).or_default().insert(name);
            }
            let mut single_restarts = 0;
            for (zone, hosts) in started_by_zone {
                let zone_size = self.hosts.values().filter(|z| *z == zone).count();
                let is_zone_loss = hosts.len() >= MIN_ZONE_STARTS
                    && hosts.len() as f64 >= MIN_ZONE_SHARE * zone_size as f64;
                if is_zone_loss && base.fleet.zones.iter().any(|z| z == zone) {
                    let loss = fault(
                        FaultKind::ZoneLoss,
                        at_s(first) - ASSUMED_DOWNTIME_S,
                        ASSUMED_DOWNTIME_S,
                        1.0,
                    );
                    faults.push(ScheduledFault {
                        zone: Some(zone.to_owned()),
                        ..loss
                    });
                } else {
                    single_restarts += hosts.len();
                }
            }
            if single_restarts > 0 {
                let affected_share = single_restarts as f64 / self.hosts.len().max(1) as f64;
                faults.push(fault(
                    FaultKind::HostCrash,
                    at_s(first) - ASSUMED_DOWNTIME_S,
                    ASSUMED_DOWNTIME_S,
                    affected_share,
                ));
            }
        }
        for processes in self.placer_processes.values() {
            let mut previous_end: Option<u64> = None;
            for (&started_at, &last_record_at) in processes {
                if let Some(ended_at) = previous_end {
                    let duration_s = started_at.saturating_sub(ended_at) as f64 / 1e6;
                    let affected_share = 1.0 / f64::from(placers);
                    faults.push(fault(
                        FaultKind::PlacerKill,
                        at_s(ended_at),
                        duration_s,
                        affected_share,
                    ));
                }
                previous_end = Some(last_record_at);
            }
        }
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        faults
    }
}
