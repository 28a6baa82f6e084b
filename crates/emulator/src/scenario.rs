//! Scenarios as TOML: hosts, classes of tasks, demand over time, and faults.

use maplethread_config::{
    AcceptancePoint, ConfigError, Document, HostKind, RetrySafety, TaskClass as PlacerClass,
    parse_toml,
};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Length of the run, during which owners send requests, s.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of placers.
    pub placers: u32,
    /// Number of replica indexes that placers lease in the catalogue, if there are fewer of them than placers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "slots")]
    pub replica_indexes: Option<u32>,
    /// Hosts and how they behave.
    pub fleet: Fleet,
    /// Parameters of the rules.
    pub rules: Rules,
    /// Demand of the owners.
    pub demand: Demand,
    /// The kinds of hosts.
    #[serde(rename = "kind")]
    pub kinds: Vec<HostKindShare>,
    /// The classes of tasks.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The faults.
    #[serde(default, rename = "trouble")]
    pub faults: Vec<ScheduledFault>,
}

/// Hosts and how they behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of hosts.
    pub hosts: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of hosts in a cell.
    #[serde(rename = "cell_size")]
    pub hosts_per_cell: usize,
    /// The point at which a request counts as placed.
    #[serde(default)]
    #[serde(rename = "placed_when")]
    pub acceptance_point: AcceptancePoint,
    /// A host admits tasks while their requested cores sum to at most this multiple of its cores.
    #[serde(rename = "over_cores")]
    pub cpu_overcommit: f64,
    /// The same limit for memory.
    #[serde(rename = "over_memory")]
    pub memory_overcommit: f64,
    /// Shortest and longest time that admission of one offer takes, ms.
    #[serde(rename = "admit_ms")]
    pub admission_ms: [f64; 2],
    /// Maximum number of offers in a host's admission queue.
    #[serde(rename = "line")]
    pub max_queued: usize,
    /// Maximum number of tasks that a host starts at the same time.
    #[serde(rename = "starts")]
    pub max_concurrent_starts: usize,
    /// Factor by which a start takes longer on a host that does not have the program.
    #[serde(rename = "setup")]
    pub cold_start_factor: f64,
    /// Maximum number of programs that a host keeps after their last task has ended.
    #[serde(rename = "kept")]
    pub max_kept_programs: usize,
    /// Tasks of higher priority preempt those of lower priority.
    #[serde(rename = "push_out")]
    pub preempts: bool,
    /// Delay until the inventory lists a change, ms.
    #[serde(rename = "notice_ms")]
    pub inventory_delay_ms: u64,
    /// A host measures all running tasks at the same times, as node agents do, and not each task at its own times.
    #[serde(default)]
    pub measures_together: bool,
}

/// Parameters of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Grace period after a placer is notified of a drain, ms; the host must not get offers after it.
    pub drain_grace_ms: u64,
    /// Share of its full speed that a host has right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time from the start of a host until it is warm, ms.
    #[serde(rename = "cold_for_ms")]
    pub warm_up_ms: u64,
    /// A cold host crashes when the offers of one overload window exceed this multiple of what it can start.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Overload window, ms.
    #[serde(rename = "fall_window_ms")]
    pub overload_window_ms: u64,
    /// Number of offers in the overload window that never make a host crash.
    #[serde(rename = "fresh_offers")]
    pub warm_up_offers: f64,
}

/// Demand of the owners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Share of the fleet's cores that all wanted tasks use, as points `[s, share]` with linear interpolation between
    /// them.
    pub load: Vec<[f64; 2]>,
    /// Shortest and longest time before an owner repeats a request, ms.
    #[serde(rename = "again_ms")]
    pub retry_after_ms: [f64; 2],
    /// Time before an owner repeats a request for a task that may be running and must not run twice, ms.
    #[serde(rename = "settle_ms")]
    pub unknown_outcome_retry_ms: u64,
    /// Time for which the load balancer keeps sending requests to a placer that is down, ms.
    #[serde(rename = "front_notice_ms")]
    pub failover_delay_ms: u64,
}

/// A kind of host and its share of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostKindShare {
    /// Its name.
    pub name: String,
    /// Cores of a host.
    pub cores: f64,
    /// Memory of a host, GiB.
    pub memory_gib: f64,
    /// Share of the fleet.
    pub share: f64,
}

impl HostKindShare {
    /// The kind as it appears in placers' settings.
    pub fn kind(&self) -> HostKind {
        HostKind {
            name: self.name.clone(),
            cores: self.cores,
            memory_gib: self.memory_gib,
        }
    }
}

/// A class of tasks, with how its tasks behave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The class as it appears in placers' settings.
    #[serde(rename = "rules")]
    pub placer_class: PlacerClass,
    /// Share of all tasks.
    pub share: f64,
    /// Possible shapes of a task: requested cores and memory (GiB).
    pub shapes: Vec<[f64; 2]>,
    /// Mean shares of the requested cores and memory that a task uses.
    #[serde(rename = "uses")]
    pub used_share: [f64; 2],
    /// Mean time for which a task is wanted, s.
    #[serde(rename = "life_s")]
    pub mean_duration_s: f64,
    /// Duration of a start on a warm host that has the program, ms.
    #[serde(rename = "work_ms")]
    pub start_duration_ms: f64,
    /// Time after which an owner abandons a request, ms.
    pub deadline_ms: u64,
    /// Share of the start bonus that a first start after the latency objective earns.
    #[serde(rename = "late_share")]
    pub late_start_share: f64,
    /// Core utilisation of the host up to which a task gets full service.
    #[serde(rename = "calm")]
    pub contention_onset: f64,
    /// Range of utilisation above the onset over which service falls to zero.
    #[serde(rename = "fade")]
    pub contention_range: f64,
    /// Number of services of this class.
    #[serde(rename = "services")]
    pub service_count: usize,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Host processes crash and restart cold.
    HostCrash,
    /// Hosts accept connections and never answer, then restart cold.
    Silence,
    /// All hosts of a zone crash and restart cold.
    ZoneLoss,
    /// Hosts are replaced, a batch at a time, with drains.
    RollingDeploy,
    /// Hosts fail a share of the offers at once.
    FastErrors,
    /// Hosts fail a share of one class's offers and serve the other classes.
    ClassErrors,
    /// Hosts leave a share of one class's offers unanswered.
    ClassSilence,
    /// Hosts admit and run tasks, and a share of their answers is lost.
    AnswersLost,
    /// Another program on the host (a noisy neighbour) takes a share of the cores.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// Admission takes longer, by a factor.
    #[serde(rename = "slow_answers")]
    SlowAdmission,
    /// A share of one class's new tasks use three times their usual cores and twice their usual memory.
    HeavyTail,
    /// All tasks of a share of the services use at least twice the cores that they requested.
    HotServices,
    /// Hosts lose the programs that they have kept.
    ProgramsLost,
    /// Hosts drain and do not restart.
    #[serde(rename = "shrink")]
    FleetShrink,
    /// Placers are killed and restarted.
    PlacerKill,
    /// All placers are killed and restarted, one after the other.
    RollingRestart,
    /// Placers are paused once and resumed.
    PlacerPause,
    /// Placers are paused repeatedly for a number of seconds, each at its own times, and then process their backlog.
    PlacerStalls,
    /// Connections are reset in the middle of a frame.
    ResetMidFrame,
    /// The inventory lists changes later, by a factor.
    #[serde(rename = "inventory_late")]
    InventoryDelay,
    /// The inventory is an empty file.
    InventoryEmpty,
    /// The inventory is a file that cannot be parsed.
    #[serde(rename = "inventory_garbage")]
    InventoryInvalid,
    /// Demand rises by a factor.
    Overload,
    /// Owners abandon a share of their requests before the deadline.
    #[serde(rename = "hang_ups")]
    EarlyDisconnects,
    /// The health of hosts flaps, with a period in seconds.
    HealthFlaps,
    /// The health of hosts flaps, with a period in seconds, and the hosts really fail: they fail offers, answer slowly
    /// or lose connections from shortly before their health shows it until well after it is back; a third of them
    /// crash.
    #[serde(rename = "sick_flaps")]
    FailingHostFlaps,
    /// The catalogue answers with a delay in seconds.
    #[serde(rename = "catalogue_late")]
    CatalogueDelay,
    /// The catalogue answers with an error status.
    #[serde(rename = "catalogue_storm")]
    CatalogueErrors,
    /// A share of the catalogue's answers is truncated.
    #[serde(rename = "catalogue_cut")]
    CatalogueTruncated,
    /// The catalogue returns only a share of its entries.
    CataloguePartial,
    /// One server of the catalogue returns indexes that are too low by an offset.
    CatalogueStale,
    /// The catalogue has no leader.
    #[serde(rename = "leader_lost")]
    CatalogueLeaderLost,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// The kind.
    pub kind: FaultKind,
    /// Start, s after the start of the run.
    pub at_s: f64,
    /// Duration, s.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Share of the hosts (or placers) that are affected.
    #[serde(default, rename = "reach")]
    pub affected_share: f64,
    /// Intensity; by kind a share, a factor, a period, a delay, a status or an offset.
    #[serde(default, rename = "size")]
    pub intensity: f64,
    /// The class that is affected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The zone that is affected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

impl Scenario {
    /// Parses and validates a scenario file.
    ///
    /// # Errors
    ///
    /// The file is not a scenario, or a value in it is out of range.
    pub fn parse(doc: Document<'_>) -> Result<Scenario, ConfigError> {
        let scenario: Scenario = parse_toml(doc)?;
        scenario.check(doc)?;
        Ok(scenario)
    }

    /// The standard fault scenario: every kind of fault, spread over the run.
    pub fn standard() -> Scenario {
        let doc = Document {
            file: "scenarios/standard.toml",
            text: include_str!("../scenarios/standard.toml"),
        };
        Scenario::parse(doc).expect("the built-in scenario is valid, as a test checks")
    }

    /// The standard scenario with the faults of a catalogue added.
    pub fn standard_with_catalogue() -> Scenario {
        #[derive(Deserialize)]
        struct FaultList {
            #[serde(rename = "trouble")]
            faults: Vec<ScheduledFault>,
        }
        let doc = Document {
            file: "scenarios/catalogue.toml",
            text: include_str!("../scenarios/catalogue.toml"),
        };
        let catalogue: FaultList =
            parse_toml(doc).expect("the built-in faults are valid, as a test checks");
        let mut scenario = Scenario::standard();
        scenario.name = "standard with catalogue".to_owned();
        scenario.faults.extend(catalogue.faults);
        scenario
    }

    fn check(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let ensure_positive =
            |key: &str, x: f64| doc.ensure(x.is_finite() && x > 0.0, key, "must be above 0");
        ensure_positive("seconds", self.duration_s)?;
        doc.ensure(self.placers >= 1, "placers", "must be at least 1")?;
        doc.ensure(
            self.replica_index_count() >= 1,
            "slots",
            "must be at least 1",
        )?;
        doc.ensure(self.fleet.hosts >= 1, "fleet.hosts", "must be at least 1")?;
        doc.ensure(
            self.fleet.hosts_per_cell >= 1,
            "fleet.cell_size",
            "must be at least 1",
        )?;
        doc.ensure(
            !self.fleet.zones.is_empty(),
            "fleet.zones",
            "must not be empty",
        )?;
        doc.ensure(!self.kinds.is_empty(), "kind", "must not be empty")?;
        doc.ensure(!self.classes.is_empty(), "class", "must not be empty")?;
        doc.ensure(
            !self.demand.load.is_empty(),
            "demand.load",
            "must have at least one point",
        )?;
        let ensure_range = |key: &str, r: [f64; 2]| {
            doc.ensure(
                r[0].is_finite() && r[0] >= 0.0 && r[1] >= r[0],
                key,
                "must be [minimum, maximum], with 0 <= minimum <= maximum",
            )
        };
        ensure_range("fleet.admit_ms", self.fleet.admission_ms)?;
        ensure_range("demand.again_ms", self.demand.retry_after_ms)?;
        for (i, class) in self.classes.iter().enumerate() {
            let key = |field: &str| format!("class[{i}].{field}");
            ensure_positive(&key("life_s"), class.mean_duration_s)?;
            ensure_positive(&key("work_ms"), class.start_duration_ms)?;
            doc.ensure(
                !class.shapes.is_empty(),
                &key("shapes"),
                "must not be empty",
            )?;
            doc.ensure(
                class.service_count >= 1,
                &key("services"),
                "must be at least 1",
            )?;
            doc.ensure(class.share >= 0.0, &key("share"), "must be 0 or above")?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |field: &str| format!("trouble[{i}].{field}");
            doc.ensure(fault.at_s >= 0.0, &key("at_s"), "must be 0 or above")?;
            doc.ensure(
                (0.0..=1.0).contains(&fault.affected_share),
                &key("reach"),
                "must be a share from 0 to 1",
            )?;
            if let Some(zone) = &fault.zone {
                doc.ensure(
                    self.fleet.zones.contains(zone),
                    &key("zone"),
                    format!("unknown zone `{zone}`"),
                )?;
            }
            if let Some(class) = &fault.class {
                let known = self.classes.iter().any(|c| &c.placer_class.name == class);
                doc.ensure(known, &key("class"), format!("unknown class `{class}`"))?;
            }
        }
        Ok(())
    }

    /// The same scenario scaled to another length; the durations of tasks are unchanged.
    pub fn with_duration(mut self, seconds: f64) -> Scenario {
        let factor = seconds / self.duration_s;
        for fault in &mut self.faults {
            (fault.at_s, fault.duration_s) = (fault.at_s * factor, fault.duration_s * factor);
        }
        for point in &mut self.demand.load {
            point[0] *= factor;
        }
        self.duration_s = seconds;
        self
    }

    /// Number of replica indexes, among which the offer budget of a cold host is divided.
    pub fn replica_index_count(&self) -> u32 {
        self.replica_indexes.unwrap_or(self.placers)
    }

    /// The same scenario without faults of a kind, to measure their effect.
    pub fn without_fault(mut self, kind: FaultKind) -> Scenario {
        self.faults.retain(|fault| fault.kind != kind);
        self
    }

    /// The same scenario on another number of hosts. Demand grows with the fleet (`demand.load` is a share of its
    /// cores), so the number of services grows with it and the demand for each stays the same. The numbers of zones and
    /// cells are kept. Faults affect shares of hosts and placers and need no change.
    pub fn with_host_count(mut self, hosts: usize) -> Scenario {
        let factor = hosts as f64 / self.fleet.hosts as f64;
        let scaled = |n: usize| ((n as f64 * factor).round() as usize).max(1);
        for class in &mut self.classes {
            class.service_count = scaled(class.service_count);
        }
        self.fleet.hosts_per_cell = scaled(self.fleet.hosts_per_cell);
        self.fleet.hosts = hosts;
        self
    }

    /// The share of the fleet's cores that is wanted at a time.
    pub fn load_at(&self, s: f64) -> f64 {
        let points = &self.demand.load;
        let after = points.iter().position(|p| p[0] > s);
        match after {
            None => points.last().map_or(0.0, |p| p[1]),
            Some(0) => points[0][1],
            Some(i) => {
                let (a, b) = (points[i - 1], points[i]);
                a[1] + (b[1] - a[1]) * (s - a[0]) / (b[0] - a[0])
            }
        }
    }

    /// The kind of the host of this number.
    pub fn kind_of(&self, host: usize) -> &HostKindShare {
        let total: f64 = self.kinds.iter().map(|k| k.share).sum();
        // A low-discrepancy sequence (golden ratio), so that each part of the fleet has the same mix of kinds.
        let x = (host as f64 * 0.618_033_988_749_895 + 0.25).fract() * total;
        let mut sum = 0.0;
        let found = self.kinds.iter().find(|k| {
            sum += k.share;
            x < sum
        });
        found.unwrap_or(&self.kinds[0])
    }

    /// The zone and cell of the host of this number.
    pub fn location_of(&self, host: usize) -> (String, String) {
        let zones = &self.fleet.zones;
        let zone = host % zones.len();
        (
            zones[zone].clone(),
            format!("rack-{}", host / zones.len() / self.fleet.hosts_per_cell),
        )
    }

    /// Total number of cores of all hosts.
    pub fn total_cores(&self) -> f64 {
        (0..self.fleet.hosts).map(|h| self.kind_of(h).cores).sum()
    }

    /// Mean number of core-seconds that a task uses.
    pub fn mean_core_seconds(&self) -> f64 {
        let share: f64 = self.classes.iter().map(|c| c.share).sum();
        let class_core_seconds = |c: &Class| {
            let cores = c.shapes.iter().map(|s| s[0]).sum::<f64>() / c.shapes.len() as f64;
            c.share / share * cores * c.used_share[0] * c.mean_duration_s
        };
        self.classes
            .iter()
            .map(class_core_seconds)
            .sum::<f64>()
            .max(1e-9)
    }

    /// Whether the tasks of a class must not run twice.
    pub fn must_not_run_twice(&self, class: usize) -> bool {
        self.classes[class].placer_class.retry_safety != RetrySafety::Idempotent
    }
}
