//! The settings file of an agent, which is validated completely before the agent starts.

mod check;
mod defaults;
mod error;
mod program;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maplethread_admission::AdmissionPolicy;
use maplethread_config::{Document, parse_toml};
use serde::Deserialize;

pub use error::{SettingFault, SettingsError};
pub use program::{PreparedProgram, Program, find_program};

/// The settings of an agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Name of the host, as in the inventory.
    pub name: String,
    /// Address on which placers connect.
    pub listen: SocketAddr,
    /// Folder of the store and of the tasks' output; created if it does not exist.
    pub folder: PathBuf,
    /// Stop grace period: time after which a task that is being stopped is killed, ms.
    #[serde(default = "defaults::stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Size at which the output of a task is rotated, KiB; one rotated file is kept.
    #[serde(rename = "output_kib", default = "defaults::max_output_kib")]
    pub max_output_kib: u64,
    /// Interval at which the usage of tasks is measured, ms.
    #[serde(rename = "measure_ms", default = "defaults::measure_interval_ms")]
    pub measure_interval_ms: u64,
    /// Admission limits of the host.
    pub limits: Limits,
    /// The programs that tasks run; a task runs the first matching one.
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
}

/// Admission limits of a host.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
    /// The total of cores that tasks may request, as a multiple of `cores`.
    #[serde(rename = "over_cores", default = "defaults::overcommit")]
    pub cpu_overcommit: f64,
    /// The total of memory that tasks may request, as a multiple of `memory_gib`.
    #[serde(rename = "over_memory", default = "defaults::overcommit")]
    pub memory_overcommit: f64,
    /// Maximum number of offers that wait for a decision.
    #[serde(rename = "line", default = "defaults::max_queue_length")]
    pub max_queue_length: usize,
    /// Maximum number of tasks that are starting at the same time.
    #[serde(rename = "starts", default = "defaults::max_concurrent_starts")]
    pub max_concurrent_starts: usize,
    /// Whether tasks may preempt tasks of lower priority.
    #[serde(rename = "push_out", default)]
    pub allows_preemption: bool,
}

impl AgentConfig {
    /// Reads and validates a settings file; a relative `folder` is relative to the folder of the file.
    ///
    /// # Errors
    /// If the file cannot be read or parsed, or if settings are invalid; all invalid settings are reported together.
    pub fn load(path: &Path) -> Result<(AgentConfig, Vec<PreparedProgram>), SettingsError> {
        let file = path.display().to_string();
        let io_error = |source| SettingsError::Io {
            file: file.clone(),
            source,
        };
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        let mut config: AgentConfig = parse_toml(Document {
            file: &file,
            text: &text,
        })?;
        let base = path.parent().unwrap_or(Path::new(""));
        config.folder = std::path::absolute(base.join(&config.folder)).map_err(io_error)?;
        match config.check() {
            Ok(programs) => Ok((config, programs)),
            Err(faults) => Err(SettingsError::Invalid { file, faults }),
        }
    }

    /// The path of the agent's store.
    pub fn store_path(&self) -> PathBuf {
        self.folder.join("agent.redb")
    }

    /// The folder of the tasks' output.
    pub fn output_folder(&self) -> PathBuf {
        self.folder.join("output")
    }

    /// The admission policy.
    pub fn admission_policy(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            cores: self.limits.cores,
            memory_gib: self.limits.memory_gib,
            cpu_overcommit: self.limits.cpu_overcommit,
            memory_overcommit: self.limits.memory_overcommit,
            max_queue_length: self.limits.max_queue_length,
            max_concurrent_starts: self.limits.max_concurrent_starts,
            // Each task is a separate process, so no program stays loaded after its task.
            max_warm_programs: 0,
            allows_preemption: self.limits.allows_preemption,
        }
    }
}
