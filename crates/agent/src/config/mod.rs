//! The settings file of an agent, written by operators and checked whole before the agent starts.

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
    /// Time after which a task that was asked to stop is killed, ms.
    #[serde(default = "defaults::stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Size at which the output of a task is moved aside, KiB; output that was moved aside before is lost.
    #[serde(rename = "output_kib", default = "defaults::max_output_kib")]
    pub max_output_kib: u64,
    /// Interval at which the usage of tasks is measured, ms.
    #[serde(rename = "measure_ms", default = "defaults::measure_interval_ms")]
    pub measure_interval_ms: u64,
    /// What the host admits.
    pub limits: Limits,
    /// The programs that tasks run; a task runs the first that matches it.
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
}

/// What a host admits.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
    /// Tasks may request this multiple of the cores in total.
    #[serde(rename = "over_cores", default = "defaults::overcommit")]
    pub cpu_overcommit: f64,
    /// Tasks may request this multiple of the memory in total.
    #[serde(rename = "over_memory", default = "defaults::overcommit")]
    pub memory_overcommit: f64,
    /// Offers that may wait for a decision.
    #[serde(rename = "line", default = "defaults::max_queue_length")]
    pub max_queue_length: usize,
    /// Tasks that may be starting at the same time.
    #[serde(rename = "starts", default = "defaults::max_concurrent_starts")]
    pub max_concurrent_starts: usize,
    /// Whether tasks may preempt tasks of lower priority.
    #[serde(rename = "push_out", default)]
    pub allows_preemption: bool,
}

impl AgentConfig {
    /// Reads and checks a settings file; relative paths are relative to its folder.
    ///
    /// # Errors
    /// If the file can't be read or parsed, or with all invalid settings at once.
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

    /// The file of the agent's store.
    pub fn store_path(&self) -> PathBuf {
        self.folder.join("agent.redb")
    }

    /// The folder of the tasks' output.
    pub fn output_folder(&self) -> PathBuf {
        self.folder.join("output")
    }

    /// The policy of admission.
    pub fn admission_policy(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            cores: self.limits.cores,
            memory_gib: self.limits.memory_gib,
            cpu_overcommit: self.limits.cpu_overcommit,
            memory_overcommit: self.limits.memory_overcommit,
            max_queue_length: self.limits.max_queue_length,
            max_concurrent_starts: self.limits.max_concurrent_starts,
            // Each task is a process of its own: nothing stays loaded after it.
            max_warm_programs: 0,
            allows_preemption: self.limits.allows_preemption,
        }
    }
}
