//! Validation of settings beyond their types.

use std::ops::RangeInclusive;

use super::{AgentConfig, Limits, PreparedProgram, Program, SettingFault};

/// Collects all invalid settings, so that they are reported together.
#[derive(Default)]
struct Faults(Vec<SettingFault>);

impl Faults {
    fn add(&mut self, key: impl Into<String>, problem: impl Into<String>) {
        self.0.push(SettingFault {
            key: key.into(),
            problem: problem.into(),
        });
    }

    fn require(&mut self, is_valid: bool, key: impl Into<String>, requirement: &str) {
        if !is_valid {
            self.add(key, requirement);
        }
    }

    fn require_range<T: PartialOrd + std::fmt::Display>(
        &mut self,
        value: T,
        range: RangeInclusive<T>,
        key: &str,
    ) {
        let requirement = format!(
            "must be between {} and {}, got {value}",
            range.start(),
            range.end()
        );
        self.require(range.contains(&value), key, &requirement);
    }
}

impl AgentConfig {
    /// Validates all settings, and parses the arguments of the programs.
    ///
    /// # Errors
    /// Returns all invalid settings.
    pub fn check(&self) -> Result<Vec<PreparedProgram>, Vec<SettingFault>> {
        let mut faults = Faults::default();
        let is_name = !self.name.is_empty() && self.name.len() <= 255;
        faults.require(is_name, "name", "must be 1 to 255 bytes long");
        let is_loopback = self.listen.ip().is_loopback();
        faults.require(is_loopback, "listen", "must be a loopback address");
        check_limits(&self.limits, &mut faults);
        faults.require_range(self.stop_grace_ms, 1..=3_600_000, "stop_grace_ms");
        faults.require_range(self.max_output_kib, 1..=1 << 20, "output_kib");
        faults.require_range(self.measure_interval_ms, 100..=600_000, "measure_ms");
        faults.require(
            !self.programs.is_empty(),
            "program",
            "must have at least one entry",
        );
        let programs = check_programs(&self.programs, &mut faults);
        if faults.0.is_empty() {
            Ok(programs)
        } else {
            Err(faults.0)
        }
    }
}

fn check_limits(limits: &Limits, faults: &mut Faults) {
    let is_in_bounds = |amount: f64, max: f64| amount > 0.0 && amount <= max;
    faults.require(
        is_in_bounds(limits.cores, 4096.0),
        "limits.cores",
        "must be above 0 and at most 4096",
    );
    faults.require(
        is_in_bounds(limits.memory_gib, 65536.0),
        "limits.memory_gib",
        "must be above 0 and at most 65536",
    );
    faults.require_range(limits.cpu_overcommit, 1.0..=100.0, "limits.over_cores");
    faults.require_range(limits.memory_overcommit, 1.0..=100.0, "limits.over_memory");
    faults.require_range(limits.max_queue_length, 1..=65536, "limits.line");
    faults.require_range(limits.max_concurrent_starts, 1..=1024, "limits.starts");
}

fn check_programs(programs: &[Program], faults: &mut Faults) -> Vec<PreparedProgram> {
    let mut prepared = Vec::new();
    for (program, number) in programs.iter().zip(1..) {
        let key = |field: &str| format!("program {number}: {field}");
        let is_absolute = program.path.is_absolute();
        faults.require(is_absolute, key("path"), "must be an absolute path");
        match PreparedProgram::new(program) {
            Ok(program) => prepared.push(program),
            Err(error) => faults.add(key("args"), error.to_string()),
        }
        let is_variable_name = |name: &String| !name.is_empty() && !name.contains(['=', '\0']);
        let are_variables = program
            .env
            .iter()
            .chain(program.set.keys())
            .all(is_variable_name);
        faults.require(
            are_variables,
            key("env"),
            "variable names must be non-empty, without `=` and NUL",
        );
    }
    prepared
}
