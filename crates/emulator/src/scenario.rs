//! Scenarios: hosts, classes of tasks, demand over time and faults, as TOML.

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
    /// How long owners ask, s.
    pub seconds: f64,
    /// Placers.
    pub placers: u32,
    /// Placer numbers to be leased in a catalogue, where they are fewer than placers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slots: Option<u32>,
    /// Hosts and how they behave.
    pub fleet: Fleet,
    /// Figures of the rules.
    pub rules: Rules,
    /// What owners want.
    pub demand: Demand,
    /// The kinds of hosts.
    #[serde(rename = "kind")]
    pub kinds: Vec<KindShare>,
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
    /// Hosts.
    pub hosts: usize,
    /// Zones.
    pub zones: Vec<String>,
    /// Hosts in a cell.
    pub cell_size: usize,
    /// When an ask counts as placed.
    #[serde(default)]
    pub placed_when: AcceptancePoint,
    /// Asks are taken while they stay within this multiple of a host's cores...
    #[serde(rename = "over_cores")]
    pub cpu_overcommit: f64,
    /// ...and of its memory.
    #[serde(rename = "over_memory")]
    pub memory_overcommit: f64,
    /// Looking at one ask takes from so long to so long, ms.
    #[serde(rename = "admit_ms")]
    pub admission_ms: [f64; 2],
    /// So many asks may wait.
    #[serde(rename = "line")]
    pub max_queued: usize,
    /// So many tasks start at once.
    #[serde(rename = "starts")]
    pub max_concurrent_starts: usize,
    /// A start without the program takes so many times as long.
    #[serde(rename = "setup")]
    pub cold_start_factor: f64,
    /// Programs kept after their last task.
    #[serde(rename = "kept")]
    pub max_kept_programs: usize,
    /// Higher priorities push out lower ones.
    #[serde(rename = "push_out")]
    pub preempts: bool,
    /// The inventory tells changes after so long, ms.
    #[serde(rename = "notice_ms")]
    pub inventory_delay_ms: u64,
    /// A host measures all that runs at the same moments, as node agents do, and not each task at its own.
    #[serde(default)]
    pub measures_together: bool,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a host later than this after the placer was told, ms.
    pub drain_grace_ms: u64,
    /// A host's share of its pace right after its start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// It is warm after this, ms.
    #[serde(rename = "cold_for_ms")]
    pub warm_up_ms: u64,
    /// It falls over when sent this many times what it can do...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ...for this long, ms.
    #[serde(rename = "fall_window_ms")]
    pub overload_window_ms: u64,
    /// Offers in that time that it always bears.
    #[serde(rename = "fresh_offers")]
    pub warm_up_offers: f64,
}

/// What owners want.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// Share of the fleet's cores that all wanted tasks use, at these times: `[s, share]`, straight between them.
    pub load: Vec<[f64; 2]>,
    /// An owner waits from so long to so long before it asks again, ms.
    #[serde(rename = "again_ms")]
    pub retry_after_ms: [f64; 2],
    /// After an attempt that may have run it looks whether the task runs, ms.
    pub settle_ms: u64,
    /// A front goes on sending to a dead placer for so long, ms.
    #[serde(rename = "front_notice_ms")]
    pub failover_delay_ms: u64,
}

/// A kind of host and how many of the fleet it makes up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindShare {
    /// Its name.
    pub name: String,
    /// Cores.
    pub cores: f64,
    /// Memory.
    pub memory_gib: f64,
    /// Share of the fleet.
    pub share: f64,
}

impl KindShare {
    /// As placers know it.
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
    /// What placers know of it.
    pub rules: PlacerClass,
    /// Share of the tasks.
    pub share: f64,
    /// Shapes: cores and memory (GiB) asked for.
    pub shapes: Vec<[f64; 2]>,
    /// What is used of that, in the mean: cores and memory.
    #[serde(rename = "uses")]
    pub used_share: [f64; 2],
    /// Mean life, s.
    #[serde(rename = "life_s")]
    pub mean_duration_s: f64,
    /// A start's work on a warm host that has the program, ms.
    pub work_ms: f64,
    /// The owner gives up after this, ms.
    pub deadline_ms: u64,
    /// A first start after the aim is worth this share.
    #[serde(rename = "late_share")]
    pub late_start_share: f64,
    /// Served in full while the cores are busy up to this...
    #[serde(rename = "calm")]
    pub contention_onset: f64,
    /// ...and not at all from so much further on.
    #[serde(rename = "fade")]
    pub contention_range: f64,
    /// Services of this class.
    #[serde(rename = "services")]
    pub service_count: usize,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Hosts' processes die and come back cold.
    HostCrash,
    /// Hosts accept connections and never answer, then come back cold.
    Silence,
    /// All hosts of a zone are lost and come back cold.
    ZoneLoss,
    /// Hosts are replaced, a batch at a time, with drains.
    RollingDeploy,
    /// Hosts quickly fail a share of the starts.
    FastErrors,
    /// Hosts fail a share of one class's asks and serve the other classes.
    ClassErrors,
    /// Hosts leave a share of one class's asks unanswered.
    ClassSilence,
    /// Tasks are taken and run, and the answers are lost.
    AnswersLost,
    /// Another program takes a share of the cores.
    Neighbour,
    /// Looking at an ask takes so many times as long.
    SlowAnswers,
    /// A share of one class's new tasks use three times the cores and twice the memory that they would.
    HeavyTail,
    /// All tasks of a share of the services use twice the cores that they asked for.
    HotServices,
    /// Hosts lose the programs that they kept.
    ProgramsLost,
    /// Hosts drain and do not come back.
    Shrink,
    /// Placers are killed and started anew.
    PlacerKill,
    /// All placers are killed and started anew, one after the other.
    RollingRestart,
    /// Placers stand still and go on.
    PlacerPause,
    /// Placers stand still for so many seconds, again and again, each at its own time, and go on with all that came.
    PlacerStalls,
    /// Connections are reset in the middle of a frame.
    ResetMidFrame,
    /// The inventory tells changes so many times as late.
    InventoryLate,
    /// The inventory is an empty file.
    InventoryEmpty,
    /// The inventory is garbage.
    InventoryGarbage,
    /// Demand rises to so many times its share.
    Overload,
    /// Owners hang up while a further try is out.
    HangUps,
    /// The health of hosts goes back and forth, every so many seconds.
    HealthFlaps,
    /// Hosts are truly poor while their health flaps, every so many seconds: they fail starts, answer slowly or lose
    /// connections from a little before their health shows it until well after it is back; a third of them die.
    SickFlaps,
    /// The catalogue answers so many seconds late.
    CatalogueLate,
    /// The catalogue answers with this status.
    CatalogueStorm,
    /// The catalogue's answers are cut in the middle.
    CatalogueCut,
    /// The catalogue tells this share of its entries.
    CataloguePartial,
    /// The catalogue's indexes go back by so much at one of its servers.
    CatalogueStale,
    /// The catalogue has no leader.
    LeaderLost,
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledFault {
    /// What.
    pub kind: FaultKind,
    /// When, s.
    pub at_s: f64,
    /// How long, s.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// Share of the hosts (or placers) that it strikes.
    #[serde(default, rename = "reach")]
    pub affected_share: f64,
    /// How hard: a share or a multiple, by kind.
    #[serde(default, rename = "size")]
    pub intensity: f64,
    /// The class that it strikes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// The zone that it strikes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

impl Scenario {
    /// Parses and checks a scenario file.
    ///
    /// # Errors
    ///
    /// The file is no scenario, or a value in it is not allowed.
    pub fn parse(doc: Document<'_>) -> Result<Scenario, ConfigError> {
        let scenario: Scenario = parse_toml(doc)?;
        scenario.check(doc)?;
        Ok(scenario)
    }

    /// The standard fault scenario: every kind of fault, spread over its length.
    pub fn standard() -> Scenario {
        let doc = Document {
            file: "scenarios/standard.toml",
            text: include_str!("../scenarios/standard.toml"),
        };
        Scenario::parse(doc).expect("the built-in scenario is sound, which a test holds")
    }

    /// The standard scenario with the faults of a catalogue besides.
    pub fn standard_with_catalogue() -> Scenario {
        #[derive(Deserialize)]
        struct More {
            #[serde(rename = "trouble")]
            faults: Vec<ScheduledFault>,
        }
        let doc = Document {
            file: "scenarios/catalogue.toml",
            text: include_str!("../scenarios/catalogue.toml"),
        };
        let more: More =
            parse_toml(doc).expect("the built-in faults are valid, which a test holds");
        let mut scenario = Scenario::standard();
        scenario.name = "standard with catalogue".to_owned();
        scenario.faults.extend(more.faults);
        scenario
    }

    fn check(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let above =
            |key: &str, x: f64| doc.ensure(x.is_finite() && x > 0.0, key, "must be above 0");
        above("seconds", self.seconds)?;
        doc.ensure(self.placers >= 1, "placers", "at least 1")?;
        doc.ensure(self.replica_index_count() >= 1, "slots", "at least 1")?;
        doc.ensure(self.fleet.hosts >= 1, "fleet.hosts", "at least 1")?;
        doc.ensure(self.fleet.cell_size >= 1, "fleet.cell_size", "at least 1")?;
        doc.ensure(!self.fleet.zones.is_empty(), "fleet.zones", "at least one")?;
        doc.ensure(!self.kinds.is_empty(), "kind", "at least one")?;
        doc.ensure(!self.classes.is_empty(), "class", "at least one")?;
        doc.ensure(
            !self.demand.load.is_empty(),
            "demand.load",
            "at least one point",
        )?;
        let range = |key: &str, r: [f64; 2]| {
            doc.ensure(
                r[0].is_finite() && r[0] >= 0.0 && r[1] >= r[0],
                key,
                "from a least to a most, both 0 or above",
            )
        };
        range("fleet.admit_ms", self.fleet.admission_ms)?;
        range("demand.again_ms", self.demand.retry_after_ms)?;
        for (i, class) in self.classes.iter().enumerate() {
            let key = |field: &str| format!("class[{i}].{field}");
            above(&key("life_s"), class.mean_duration_s)?;
            above(&key("work_ms"), class.work_ms)?;
            doc.ensure(!class.shapes.is_empty(), &key("shapes"), "at least one")?;
            doc.ensure(class.service_count >= 1, &key("services"), "at least 1")?;
            doc.ensure(class.share >= 0.0, &key("share"), "0 or above")?;
        }
        for (i, fault) in self.faults.iter().enumerate() {
            let key = |field: &str| format!("trouble[{i}].{field}");
            doc.ensure(fault.at_s >= 0.0, &key("at_s"), "0 or above")?;
            doc.ensure(
                (0.0..=1.0).contains(&fault.affected_share),
                &key("reach"),
                "a share, 0 to 1",
            )?;
            if let Some(zone) = &fault.zone {
                doc.ensure(
                    self.fleet.zones.contains(zone),
                    &key("zone"),
                    format!("unknown zone `{zone}`"),
                )?;
            }
            if let Some(class) = &fault.class {
                let known = self.classes.iter().any(|c| &c.rules.name == class);
                doc.ensure(known, &key("class"), format!("unknown class `{class}`"))?;
            }
        }
        Ok(())
    }

    /// The same day squeezed or stretched to another length; lives of tasks stay as they are.
    pub fn with_duration(mut self, seconds: f64) -> Scenario {
        let by = seconds / self.seconds;
        for fault in &mut self.faults {
            (fault.at_s, fault.duration_s) = (fault.at_s * by, fault.duration_s * by);
        }
        for point in &mut self.demand.load {
            point[0] *= by;
        }
        self.seconds = seconds;
        self
    }

    /// Among how many placers a cold host's budget is parted.
    pub fn replica_index_count(&self) -> u32 {
        self.slots.unwrap_or(self.placers)
    }

    /// The same scenario without faults of a kind, to see what they cost.
    pub fn without_fault(mut self, kind: FaultKind) -> Scenario {
        self.faults.retain(|t| t.kind != kind);
        self
    }

    /// The same day on so many hosts: demand grows with the fleet (`demand.load` is a share of its cores), so services
    /// grow with it too, and each of them is wanted as much as before; and cells keep their number, as zones do.
    /// Troubles strike shares of hosts and placers, and need no change.
    pub fn with_host_count(mut self, hosts: usize) -> Scenario {
        let by = hosts as f64 / self.fleet.hosts as f64;
        let grown = |n: usize| ((n as f64 * by).round() as usize).max(1);
        for class in &mut self.classes {
            class.service_count = grown(class.service_count);
        }
        self.fleet.cell_size = grown(self.fleet.cell_size);
        self.fleet.hosts = hosts;
        self
    }

    /// The share of the fleet that is wanted at a time.
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

    /// Kind of the host of this number.
    pub fn kind_of(&self, host: usize) -> &KindShare {
        let total: f64 = self.kinds.iter().map(|k| k.share).sum();
        // A low-discrepancy walk, so that each part of the fleet has its mix.
        let x = (host as f64 * 0.618_033_988_749_895 + 0.25).fract() * total;
        let mut sum = 0.0;
        let found = self.kinds.iter().find(|k| {
            sum += k.share;
            x < sum
        });
        found.unwrap_or(&self.kinds[0])
    }

    /// Zone and cell of the host of this number.
    pub fn location_of(&self, host: usize) -> (String, String) {
        let zones = &self.fleet.zones;
        let zone = host % zones.len();
        (
            zones[zone].clone(),
            format!("rack-{}", host / zones.len() / self.fleet.cell_size),
        )
    }

    /// Cores of all hosts.
    pub fn cores(&self) -> f64 {
        (0..self.fleet.hosts).map(|h| self.kind_of(h).cores).sum()
    }

    /// Core-seconds that a task uses in the mean.
    pub fn core_seconds(&self) -> f64 {
        let share: f64 = self.classes.iter().map(|c| c.share).sum();
        let of = |c: &Class| {
            let cores = c.shapes.iter().map(|s| s[0]).sum::<f64>() / c.shapes.len() as f64;
            c.share / share * cores * c.used_share[0] * c.mean_duration_s
        };
        self.classes.iter().map(of).sum::<f64>().max(1e-9)
    }

    /// Whether a second start does harm.
    pub fn must_not_run_twice(&self, class: usize) -> bool {
        self.classes[class].rules.retry_safety != RetrySafety::Idempotent
    }
}
