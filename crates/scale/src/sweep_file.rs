//! Sweep files, in TOML: the dimension that varies, its values, and the fixed sizes in all other dimensions.

use maplethread_capacity::{Dimension, Fault, PointSettings};
use maplethread_config::{ConfigError, Document, parse_toml};
use serde::{Deserialize, Serialize};

/// Maximum number of hosts of one point, and of tasks below; the process of the hollow workers limits both.
const MAX_WORKERS: u32 = 8_192;
const MAX_TASKS: u32 = 200_000;
/// Maximum number of real placers, each of which is a process.
const MAX_PLACERS: u32 = 64;
/// Maximum number of hollow placers.
const MAX_HOLLOW_PLACERS: u32 = 1_000;
/// Maximum number of task starts per second, over all placers.
const MAX_STARTS_PER_S: f64 = 5_000.0;
/// Maximum number of changes of the host list per second; each of them replaces the inventory file.
const MAX_LIST_CHANGES_PER_S: f64 = 50.0;
/// Maximum length of one phase, s.
const MAX_PHASE_S: f64 = 3_600.0;
/// Maximum number of values of one sweep, and of seeds.
const MAX_VALUES: usize = 64;

/// A sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SweepFile {
    /// The dimension that varies.
    pub dimension: Dimension,
    /// The values of the dimension, in the order of the measurements.
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
    /// Faults that are injected after the other phases, one after the other.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// The size in the dimensions that do not vary.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Base {
    /// Hosts.
    pub workers: u32,
    /// Real placer processes.
    pub placers: u32,
    /// Hollow placers in addition to the real ones.
    #[serde(default)]
    pub hollow_placers: u32,
    /// Tasks that run before the phases begin.
    #[serde(default)]
    pub tasks: u32,
    /// Task starts per second at the peak, over all placers.
    #[serde(default)]
    pub starts_per_second: f64,
    /// Changes of the host list per second at the peak.
    #[serde(default)]
    pub list_changes_per_second: f64,
}

/// Lengths of the phases.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Phases {
    /// Idle time before each measured phase, s.
    pub settle_s: f64,
    /// The phase at rest, s.
    pub rest_s: f64,
    /// The phase at the peak, s.
    pub peak_s: f64,
    /// Duration of the tasks that start at the peak, s; the peak is measured once the first of them have ended.
    pub task_life_s: f64,
    /// A fault is measured for at least this time, s: placers report lost tasks some seconds after the loss of their
    /// hosts...
    pub fault_at_least_s: f64,
    /// ...and at most this long, s.
    pub fault_s: f64,
    /// How long the region stays cut off, s.
    pub region_cut_s: f64,
    /// Number of workers that are restarted, one after the other...
    pub worker_restarts: u32,
    /// ...and the time between two restarts, s.
    pub worker_restart_every_s: f64,
    /// Minimum time between two placer restarts, s; each restart waits until the placer before is connected again.
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

/// A number with its key and its bounds, for uniform error texts.
struct BoundedValue<'a> {
    key: &'a str,
    value: f64,
    min: f64,
    max: f64,
}

impl SweepFile {
    /// Parses and checks a sweep file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the key, if the file is not valid TOML or a value is out of range.
    pub fn parse(doc: Document<'_>) -> Result<SweepFile, ConfigError> {
        let sweep: SweepFile = parse_toml(doc)?;
        sweep.check(doc)?;
        Ok(sweep)
    }

    /// Returns the settings of the point with this value of the dimension that varies.
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
        let count = value as u32;
        match self.dimension {
            Dimension::Workers => point.workers = count,
            Dimension::Placers => {
                point.placers = count.min(self.max_real_placers);
                point.hollow_placers = count - point.placers;
            }
            Dimension::Tasks => point.tasks = count,
            Dimension::StartsPerSecond => point.starts_per_second = value,
            Dimension::ListChangesPerSecond => point.list_changes_per_second = value,
            Dimension::ConfigChangesPerHour => point.config_changes_per_hour = value,
            Dimension::Members => {
                point.members = count;
                point.placers = count;
            }
        }
        point
    }

    fn check(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        self.check_dimension(doc)?;
        doc.ensure(
            (1..=MAX_VALUES).contains(&self.values.len()),
            "values",
            "expected 1 to 64 values",
        )?;
        doc.ensure(
            (1..=MAX_VALUES).contains(&self.seeds.len()),
            "seeds",
            "expected 1 to 64 seeds",
        )?;
        let is_valid_count = (1..=MAX_PLACERS).contains(&self.max_real_placers);
        doc.ensure(
            is_valid_count,
            "max_real_placers",
            format!("expected 1 to {MAX_PLACERS}"),
        )?;
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
        let problem =
            "can't be measured: a placer reads its settings only at its start and has no reload";
        doc.ensure(has_reload, "dimension", problem)
    }

    fn check_value(&self, value: f64, key: &str, doc: Document<'_>) -> Result<(), ConfigError> {
        let (lower, upper, is_integer) = match self.dimension {
            Dimension::Workers => (1.0, f64::from(MAX_WORKERS), true),
            Dimension::Placers => (1.0, f64::from(MAX_PLACERS + MAX_HOLLOW_PLACERS), true),
            Dimension::Tasks => (0.0, f64::from(MAX_TASKS), true),
            Dimension::StartsPerSecond => (0.0, MAX_STARTS_PER_S, false),
            Dimension::ListChangesPerSecond => (0.0, MAX_LIST_CHANGES_PER_S, false),
            Dimension::Members => (1.0, f64::from(MAX_PLACERS), true),
            Dimension::ConfigChangesPerHour => return Ok(()),
        };
        check_bounds(
            doc,
            BoundedValue {
                key,
                value,
                min: lower,
                max: upper,
            },
        )?;
        doc.ensure(
            !is_integer || value.fract() == 0.0,
            key,
            format!("got {value}, expected a whole number"),
        )
    }

    /// Checks that each fault that ends another one follows directly after it.
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
                format!("{fault:?} must follow directly after {needed:?}"),
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
                MAX_STARTS_PER_S,
            ),
            (
                "base.list_changes_per_second",
                base.list_changes_per_second,
                0.0,
                MAX_LIST_CHANGES_PER_S,
            ),
        ];
        bounds
            .into_iter()
            .try_for_each(|(key, value, lower, upper)| {
                check_bounds(
                    doc,
                    BoundedValue {
                        key,
                        value,
                        min: lower,
                        max: upper,
                    },
                )
            })
    }

    fn check_phases(&self, doc: Document<'_>) -> Result<(), ConfigError> {
        let phases = self.phases;
        let bounds = [
            ("phases.settle_s", phases.settle_s, 0.0, MAX_PHASE_S),
            ("phases.rest_s", phases.rest_s, 1.0, MAX_PHASE_S),
            ("phases.peak_s", phases.peak_s, 1.0, MAX_PHASE_S),
            ("phases.task_life_s", phases.task_life_s, 0.001, MAX_PHASE_S),
            (
                "phases.fault_at_least_s",
                phases.fault_at_least_s,
                1.0,
                phases.fault_s,
            ),
            ("phases.fault_s", phases.fault_s, 1.0, MAX_PHASE_S),
            ("phases.region_cut_s", phases.region_cut_s, 1.0, MAX_PHASE_S),
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
                MAX_PHASE_S,
            ),
            (
                "phases.placer_restart_every_s",
                phases.placer_restart_every_s,
                0.0,
                MAX_PHASE_S,
            ),
        ];
        bounds
            .into_iter()
            .try_for_each(|(key, value, lower, upper)| {
                check_bounds(
                    doc,
                    BoundedValue {
                        key,
                        value,
                        min: lower,
                        max: upper,
                    },
                )
            })
    }
}

fn check_bounds(doc: Document<'_>, bounded: BoundedValue<'_>) -> Result<(), ConfigError> {
    let BoundedValue {
        key,
        value,
        min: lower,
        max: upper,
    } = bounded;
    let is_in_range = value.is_finite() && (lower..=upper).contains(&value);
    doc.ensure(
        is_in_range,
        key,
        format!("got {value}, expected {lower} to {upper}"),
    )
}
