//! Sweep files: what varies, over which values, while everything else stands still. TOML, parsed and checked whole.

use maplethread_capacity::{Dimension, Fault, PointSettings};
use maplethread_config::{ConfigError, Document, parse_toml};
use serde::{Deserialize, Serialize};

/// Hosts and tasks of one point; the hollow workers' process bounds both.
const MAX_WORKERS: u32 = 8_192;
const MAX_TASKS: u32 = 200_000;
/// Real placers, each a process.
const MAX_PLACERS: u32 = 64;
/// Hollow placers.
const MAX_HOLLOW_PLACERS: u32 = 1_000;
/// Starts a second, over all placers.
const MAX_STARTS: f64 = 5_000.0;
/// Changes of the host list a second, each of which replaces the whole inventory.
const MAX_LIST_CHANGES: f64 = 50.0;
/// Seconds of one phase.
const MAX_SECONDS: f64 = 3_600.0;
/// Values of one sweep, and seeds.
const MAX_VALUES: usize = 64;

/// A sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepFile {
    /// What varies.
    pub dimension: Dimension,
    /// The values that it takes, in this order.
    pub values: Vec<f64>,
    /// Each value is measured once with each of these seeds.
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    /// The size in all other dimensions.
    pub base: Base,
    /// With `dimension = "placers"`: placers beyond this many are hollow.
    #[serde(default = "max_placers")]
    pub max_real_placers: u32,
    /// Lengths of the phases.
    #[serde(default)]
    pub phases: Phases,
    /// Faults that strike after the other phases, one after the other.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The size in the dimensions that stand still.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Hosts.
    pub workers: u32,
    /// Real placer processes.
    pub placers: u32,
    /// Hollow placers beside them.
    #[serde(default)]
    pub hollow_placers: u32,
    /// Tasks that run before the phases begin.
    #[serde(default)]
    pub tasks: u32,
    /// Task starts a second at the peak, over all placers.
    #[serde(default)]
    pub starts_per_second: f64,
    /// Changes of the host list a second at the peak.
    #[serde(default)]
    pub list_changes_per_second: f64,
}

/// Lengths of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Phases {
    /// Quiet time before each measured phase, s.
    pub settle_s: f64,
    /// The phase at rest, s.
    pub rest_s: f64,
    /// The phase at the peak, s.
    pub peak_s: f64,
    /// Tasks that start at the peak live so long, s; the peak is measured once the first of them have ended.
    pub task_life_s: f64,
    /// A fault is watched at least this long, s: tasks are told as lost some seconds after their hosts...
    pub fault_at_least_s: f64,
    /// ...and at most this long, s.
    pub fault_s: f64,
    /// The region stays cut for so long, s.
    pub region_cut_s: f64,
    /// Workers that are restarted one after the other...
    pub worker_restarts: u32,
    /// ...and the time between two of them, s.
    pub worker_restart_every_s: f64,
    /// Time between two restarts of placers at least, s; each waits until the one before is connected again.
    pub placer_restart_every_s: f64,
}

impl Default for Phases {
    fn default() -> Phases {
        Phases {
            settle_s: 3.0,
            rest_s: 10.0,
            peak_s: 10.0,
            task_life_s: 3.0,
            fault_at_least_s: 8.0,
            fault_s: 20.0,
            region_cut_s: 60.0,
            worker_restarts: 20,
            worker_restart_every_s: 0.5,
            placer_restart_every_s: 5.0,
        }
    }
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

fn max_placers() -> u32 {
    MAX_PLACERS
}

/// A number and its bounds, so that every complaint reads alike.
struct BoundedValue<'a> {
    key: &'a str,
    value: f64,
    min: f64,
    max: f64,
}

impl SweepFile {
    /// Parses and checks a sweep file.
    pub fn parse(doc: Document<'_>) -> Result<SweepFile, ConfigError> {
        let sweep: SweepFile = parse_toml(doc)?;
        sweep.check(doc)?;
        Ok(sweep)
    }

    /// The size of the point with this value of the dimension that varies.
    pub fn point(&self, value: f64) -> PointSettings {
        let base = self.base;
        let mut point = PointSettings {
            workers: base.workers,
            placers: base.placers,
            hollow_placers: base.hollow_placers,
            tasks: base.tasks,
            starts_per_second: base.starts_per_second,
            list_changes_per_second: base.list_changes_per_second,
            config_changes_per_hour: 0.0,
            members: 0,
        };
        let whole = value as u32;
        match self.dimension {
            Dimension::Workers => point.workers = whole,
            Dimension::Placers => {
                point.placers = whole.min(self.max_real_placers);
                point.hollow_placers = whole - point.placers;
            }
            Dimension::Tasks => point.tasks = whole,
            Dimension::StartsPerSecond => point.starts_per_second = value,
            Dimension::ListChangesPerSecond => point.list_changes_per_second = value,
            Dimension::ConfigChangesPerHour => point.config_changes_per_hour = value,
            Dimension::Members => {
                point.members = whole;
                point.placers = whole;
            }
        }
        point
    }

    fn check(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        self.check_dimension(doc)?;
        doc.ensure(
            (1..=MAX_VALUES).contains(&self.values.len()),
            "values",
            "1 to 64 of them",
        )?;
        doc.ensure(
            (1..=MAX_VALUES).contains(&self.seeds.len()),
            "seeds",
            "1 to 64 of them",
        )?;
        let real = (1..=MAX_PLACERS).contains(&self.max_real_placers);
        doc.ensure(real, "max_real_placers", format!("1 to {MAX_PLACERS}"))?;
        for (index, &value) in self.values.iter().enumerate() {
            let key = format!("values[{index}]");
            self.check_value(value, &key, doc)?;
        }
        self.check_base(doc)?;
        self.check_phases(doc)?;
        self.check_faults(doc)
    }

    fn check_dimension(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let has_reload = self.dimension != Dimension::ConfigChangesPerHour;
        let why_not =
            "a placer reads its settings once, when it starts: it has no reload to be measured";
        doc.ensure(has_reload, "dimension", why_not)
    }

    fn check_value(&self, value: f64, key: &str, doc: Document<'_>) -> Result<(), ConfigError> {
        let (least, most, whole) = match self.dimension {
            Dimension::Workers => (1.0, f64::from(MAX_WORKERS), true),
            Dimension::Placers => (1.0, f64::from(MAX_PLACERS + MAX_HOLLOW_PLACERS), true),
            Dimension::Tasks => (0.0, f64::from(MAX_TASKS), true),
            Dimension::StartsPerSecond => (0.0, MAX_STARTS, false),
            Dimension::ListChangesPerSecond => (0.0, MAX_LIST_CHANGES, false),
            Dimension::Members => (1.0, f64::from(MAX_PLACERS), true),
            Dimension::ConfigChangesPerHour => return Ok(()),
        };
        check_bounds(
            doc,
            BoundedValue {
                key,
                value,
                min: least,
                max: most,
            },
        )?;
        doc.ensure(
            !whole || value.fract() == 0.0,
            key,
            format!("{value} is given; a whole number is needed"),
        )
    }

    /// Faults that end another one come right after it.
    fn check_faults(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        for (index, fault) in self.faults.iter().enumerate() {
            let needed = match fault {
                Fault::ZoneReturns => Fault::ZoneDies,
                Fault::RegionHeals => Fault::RegionCut,
                _ => continue,
            };
            let before = index.checked_sub(1).map(|before| self.faults[before]);
            let key = format!("faults[{index}]");
            doc.ensure(
                before == Some(needed),
                &key,
                format!("{fault:?} comes right after {needed:?}"),
            )?;
        }
        Ok(())
    }

    fn check_base(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let base = self.base;
        let bounds = [
            (
                "base.workers",
                f64::from(base.workers),
                1.0,
                f64::from(MAX_WORKERS),
            ),
            (
                "base.placers",
                f64::from(base.placers),
                1.0,
                f64::from(MAX_PLACERS),
            ),
            (
                "base.hollow_placers",
                f64::from(base.hollow_placers),
                0.0,
                f64::from(MAX_HOLLOW_PLACERS),
            ),
            (
                "base.tasks",
                f64::from(base.tasks),
                0.0,
                f64::from(MAX_TASKS),
            ),
            (
                "base.starts_per_second",
                base.starts_per_second,
                0.0,
                MAX_STARTS,
            ),
            (
                "base.list_changes_per_second",
                base.list_changes_per_second,
                0.0,
                MAX_LIST_CHANGES,
            ),
        ];
        bounds
            .into_iter()
            .try_for_each(|(key, value, least, most)| {
                check_bounds(
                    doc,
                    BoundedValue {
                        key,
                        value,
                        min: least,
                        max: most,
                    },
                )
            })
    }

    fn check_phases(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let phases = self.phases;
        let bounds = [
            ("phases.settle_s", phases.settle_s, 0.0, MAX_SECONDS),
            ("phases.rest_s", phases.rest_s, 1.0, MAX_SECONDS),
            ("phases.peak_s", phases.peak_s, 1.0, MAX_SECONDS),
            ("phases.task_life_s", phases.task_life_s, 0.001, MAX_SECONDS),
            (
                "phases.fault_at_least_s",
                phases.fault_at_least_s,
                1.0,
                phases.fault_s,
            ),
            ("phases.fault_s", phases.fault_s, 1.0, MAX_SECONDS),
            ("phases.region_cut_s", phases.region_cut_s, 1.0, MAX_SECONDS),
            (
                "phases.worker_restarts",
                f64::from(phases.worker_restarts),
                1.0,
                f64::from(MAX_WORKERS),
            ),
            (
                "phases.worker_restart_every_s",
                phases.worker_restart_every_s,
                0.001,
                MAX_SECONDS,
            ),
            (
                "phases.placer_restart_every_s",
                phases.placer_restart_every_s,
                0.0,
                MAX_SECONDS,
            ),
        ];
        bounds
            .into_iter()
            .try_for_each(|(key, value, least, most)| {
                check_bounds(
                    doc,
                    BoundedValue {
                        key,
                        value,
                        min: least,
                        max: most,
                    },
                )
            })
    }
}

fn check_bounds(doc: Document<'_>, bounded: BoundedValue<'_>) -> Result<(), ConfigError> {
    let BoundedValue {
        key,
        value,
        min: least,
        max: most,
    } = bounded;
    let fine = value.is_finite() && (least..=most).contains(&value);
    doc.ensure(fine, key, format!("{value} is given; {least} to {most}"))
}
