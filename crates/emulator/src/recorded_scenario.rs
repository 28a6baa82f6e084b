//! A recorded day as a scenario: the demand and the troubles that placers' traces tell, to be played through real
//! placers again.
//!
//! First asks are played as they were recorded: time, service, class, size, life. What comes again depends on the
//! answers, as on any day. Of the troubles a trace tells those that placers saw: hosts that started anew (by themselves,
//! or a zone together) and placers that were killed or restarted. How long a host was away before its start is not in
//! it; it is taken to be `ASSUMED_DOWNTIME_S`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{Read, Seek};

use maplethread::Event;
use maplethread_trace::summary::Summary;
use maplethread_trace::{Part, Reader, Record};
use serde_json::Value;

use crate::demand::Arrival;
use crate::scenario::{FaultKind, Scenario, ScheduledFault};
use crate::seeded_rng::SeededRng;

#[cfg(test)]
mod tests;

/// How long a host is away before it starts anew, s.
pub const ASSUMED_DOWNTIME_S: f64 = 1.5;
/// Starts within so long of one another are one trouble, µs.
const TOGETHER_US: u64 = 1_000_000;
/// A zone is lost if so large a share of its hosts starts anew together, and so many of them.
const ZONE_SHARE: f64 = 0.8;
/// See [`ZONE_SHARE`].
const MIN_ZONE_STARTS: usize = 3;
/// First asks that are taken of a recording.
const MAX_REQUESTS: usize = 1 << 22;

/// A recorded day.
pub struct RecordedScenario {
    /// The day, with the troubles that were seen.
    pub scenario: Scenario,
    /// Its first asks.
    pub arrivals: Vec<Arrival>,
    /// What the recording came to, as `trace summary` tells.
    pub summary: Value,
}

/// One first ask as it was recorded.
struct RecordedRequest {
    at: u64,
    class: String,
    service: String,
    actor: String,
    shape: [f64; 2],
    expected_duration_us: Option<u64>,
    placer: String,
}

/// What the traces tell.
#[derive(Default)]
struct TraceContents {
    requests: Vec<RecordedRequest>,
    /// Hosts' zones, and when they started.
    hosts: BTreeMap<String, String>,
    host_starts: BTreeSet<(u64, String)>,
    /// For each placer, when its runs began and when their records end.
    placer_runs: BTreeMap<String, BTreeMap<u64, u64>>,
}

/// Reads traces; the day is played on `base`, grown to as many hosts and placers as were recorded, `speed` times as fast.
///
/// # Errors
///
/// A trace cannot be read, there is none, or it holds what cannot be replayed.
pub fn read<R: Read + Seek>(
    traces: &mut [Reader<R>],
    base: &Scenario,
    speed: f64,
    seed: u64,
) -> Result<RecordedScenario, String> {
    let mut told = TraceContents::default();
    let mut summary = None;
    for trace in traces {
        let summary = summary.get_or_insert_with(|| Summary::new(&trace.header));
        told.read(trace, summary)?;
    }
    let summary = summary.ok_or("no trace is given")?.to_json();
    told.into_scenario(base, speed, seed)
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
        let mut run = (header.placer.clone(), header.started_ms * 1000);
        let mut services: BTreeMap<u64, String> = BTreeMap::new();
        let mut names: BTreeMap<u32, String> = BTreeMap::new();
        let mut open: HashMap<u64, (u64, String, u64, u32)> = HashMap::new();
        while let Some(part) = trace.next_part().map_err(|e| e.to_string())? {
            let Part::Block { records, .. } = part else {
                continue;
            };
            for r in &records {
                summary.feed(r);
                let ends = self
                    .placer_runs
                    .entry(run.0.clone())
                    .or_default()
                    .entry(run.1)
                    .or_insert(run.1);
                *ends = r.at.max(*ends);
                match &r.record {
                    Record::Source(n) => {
                        let source = header
                            .sources
                            .get(*n as usize)
                            .ok_or("a source that no header names")?;
                        run = (source.placer.clone(), source.started_ms * 1000);
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
                        received_at: read,
                        ..
                    } => {
                        open.insert(*task, (*service, actor.clone(), *read, *class));
                    }
                    Record::Turn(turn) => {
                        for event in &turn.events {
                            match event {
                                Event::PlacementRequested(task) => {
                                    let Some((service, actor, at, class)) = open.remove(&task.id.0)
                                    else {
                                        continue;
                                    };
                                    if task.is_resubmission || self.requests.len() >= MAX_REQUESTS {
                                        continue;
                                    }
                                    let class = header.classes.get(class as usize).cloned();
                                    self.requests.push(RecordedRequest {
                                        at,
                                        class: class.ok_or("a class that no header names")?,
                                        service: services
                                            .get(&service)
                                            .cloned()
                                            .unwrap_or_default(),
                                        actor,
                                        shape: [task.requested.cores, task.requested.memory],
                                        expected_duration_us: task.expected_duration,
                                        placer: run.0.clone(),
                                    });
                                }
                                Event::EndpointsUpdated { machines, .. } => {
                                    for listing in machines {
                                        if let Some(at) = listing.started_at
                                            && let Some(name) = names.get(&listing.machine.0)
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
        let begin = self.requests.first().ok_or("no first ask is recorded")?.at;
        let end = self.requests.last().map_or(begin, |a| a.at);
        let after = |at: u64| at.saturating_sub(begin) as f64 / speed;
        let mut scenario = base.clone().with_host_count(self.hosts.len().max(1));
        scenario.name = "recorded".to_owned();
        scenario.seconds = (after(end) / 1e6).max(1.0);
        scenario.placers = self.placer_runs.len().max(1) as u32;
        scenario.faults = self.scheduled_faults(begin, end, speed, scenario.placers, base);
        let zones = &scenario.fleet.zones;
        let placers: Vec<&String> = self.placer_runs.keys().collect();
        let mut dice = SeededRng::new(seed, 9);
        let mut seen = BTreeSet::new();
        let mut arrivals = Vec::new();
        for ask in &self.requests {
            // An owner that went on to another placer asks for the same again.
            if !seen.insert((&ask.service, &ask.actor)) {
                continue;
            }
            let class = scenario
                .classes
                .iter()
                .position(|c| c.rules.name == ask.class)
                .ok_or_else(|| {
                    format!(
                        "class {:?} was recorded and is not in the scenario {:?}",
                        ask.class, base.name
                    )
                })?;
            let life = ask
                .expected_duration_us
                .unwrap_or((scenario.classes[class].mean_duration_s * 1e6) as u64);
            arrivals.push(Arrival {
                at_us: after(ask.at) as u64,
                class,
                service: ask.service.as_str().into(),
                actor: ask.actor.as_str().into(),
                resources: ask.shape,
                wanted_for_us: life,
                // Owners ask a placer of their zone first, so that of the placer that was asked is theirs.
                zone: placers.iter().position(|p| **p == ask.placer).unwrap_or(0) % zones.len(),
                seed: dice.seed(),
            });
        }
        Ok((scenario, arrivals))
    }

    fn scheduled_faults(
        &self,
        begin: u64,
        end: u64,
        speed: f64,
        placers: u32,
        base: &Scenario,
    ) -> Vec<ScheduledFault> {
        let at_s = |at: u64| at.saturating_sub(begin) as f64 / 1e6 / speed;
        let trouble = |kind, at_s: f64, for_s, reach| ScheduledFault {
            kind,
            at_s: at_s.max(0.0),
            duration_s: for_s,
            affected_share: reach,
            intensity: 0.0,
            class: None,
            zone: None,
        };
        let mut all = Vec::new();
        // Starts from a little after the first ask on; those before it are what the day began with.
        let mut starts: Vec<&(u64, String)> = self
            .host_starts
            .iter()
            .filter(|(at, _)| (begin + TOGETHER_US..end).contains(at))
            .collect();
        while let Some(&&(first, _)) = starts.first() {
            let count = starts
                .iter()
                .take_while(|(at, _)| *at < first + TOGETHER_US)
                .count();
            let mut together: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
            for (_, name) in starts.drain(..count) {
                let zone = self.hosts.get(name).map_or("", String::as_str);
                together.entry(zone).or_default().insert(name);
            }
            let mut alone = 0;
            for (zone, hosts) in together {
                let whole = self.hosts.values().filter(|z| *z == zone).count();
                let lost = hosts.len() >= MIN_ZONE_STARTS
                    && hosts.len() as f64 >= ZONE_SHARE * whole as f64;
                if lost && base.fleet.zones.iter().any(|z| z == zone) {
                    let loss = trouble(
                        FaultKind::ZoneLoss,
                        at_s(first) - ASSUMED_DOWNTIME_S,
                        ASSUMED_DOWNTIME_S,
                        1.0,
                    );
                    all.push(ScheduledFault {
                        zone: Some(zone.to_owned()),
                        ..loss
                    });
                } else {
                    alone += hosts.len();
                }
            }
            if alone > 0 {
                let reach = alone as f64 / self.hosts.len().max(1) as f64;
                all.push(trouble(
                    FaultKind::HostCrash,
                    at_s(first) - ASSUMED_DOWNTIME_S,
                    ASSUMED_DOWNTIME_S,
                    reach,
                ));
            }
        }
        for runs in self.placer_runs.values() {
            let mut earlier: Option<u64> = None;
            for (&began, &ended) in runs {
                if let Some(died) = earlier {
                    let for_s = began.saturating_sub(died) as f64 / 1e6;
                    let reach = 1.0 / f64::from(placers);
                    all.push(trouble(FaultKind::PlacerKill, at_s(died), for_s, reach));
                }
                earlier = Some(ended);
            }
        }
        all.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        all
    }
}
