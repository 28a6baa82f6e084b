//! What operators write for an agent, checked whole before it starts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use maplethread_admission::AdmissionPolicy;
use maplethread_config::{Document, parse_toml};
use maplethread_wire::frame::Offer;
use serde::Deserialize;

use crate::template::{ArgumentTemplate, InvalidName};

/// An agent's settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentConfig {
    /// Its name, as the inventory has it.
    pub name: String,
    /// Where placers reach it.
    pub listen: SocketAddr,
    /// Where its store and its tasks' output are put; made if it is not there.
    pub folder: PathBuf,
    /// A task that was asked to end is made to after so long, ms.
    #[serde(default = "stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// The output of a task is put aside once it has so many KiB, and what was put aside before is lost.
    #[serde(default = "output_kib")]
    pub output_kib: u64,
    /// How often the use of tasks is measured, ms.
    #[serde(default = "measure_ms")]
    pub measure_ms: u64,
    /// What it takes.
    pub limits: Limits,
    /// What it runs: the first that fits a task.
    #[serde(rename = "program")]
    pub programs: Vec<Program>,
}

/// What an agent takes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Memory, GiB.
    pub memory_gib: f64,
    /// Tasks may ask for so many times the cores...
    #[serde(default = "one")]
    pub over_cores: f64,
    /// ...and the memory.
    #[serde(default = "one")]
    pub over_memory: f64,
    /// Asks that may wait to be looked at.
    #[serde(default = "line")]
    pub line: usize,
    /// Tasks that start at once.
    #[serde(default = "starts")]
    pub starts: usize,
    /// Tasks of higher priority push out those of lower.
    #[serde(default)]
    pub push_out: bool,
}

/// A program that tasks run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// For tasks of this class; of any without it.
    pub class: Option<String>,
    /// For tasks of this service; of any without it.
    pub service: Option<String>,
    /// The program, as an absolute path.
    pub path: PathBuf,
    /// Its arguments, with placeholders such as `{actor}`.
    #[serde(default)]
    pub args: Vec<String>,
    /// Variables of the agent's environment that it gets; no others.
    #[serde(default)]
    pub env: Vec<String>,
    /// Variables that it gets besides.
    #[serde(default)]
    pub set: BTreeMap<String, String>,
    /// Where it runs; the agent's folder without it.
    pub folder: Option<PathBuf>,
}

fn stop_grace_ms() -> u64 {
    5000
}

fn output_kib() -> u64 {
    1024
}

fn measure_ms() -> u64 {
    2000
}

fn one() -> f64 {
    1.0
}

fn line() -> usize {
    64
}

fn starts() -> usize {
    4
}

/// A program with its arguments read.
#[derive(Clone, Debug)]
pub struct PreparedProgram {
    /// As it stands in the settings.
    pub program: Program,
    templates: Vec<ArgumentTemplate>,
}

impl PreparedProgram {
    /// Its arguments for a task.
    pub fn render_args(&self, offer: &Offer) -> Result<Vec<String>, InvalidName> {
        self.templates.iter().map(|a| a.render(offer)).collect()
    }

    fn matches(&self, offer: &Offer) -> bool {
        self.program
            .class
            .as_ref()
            .is_none_or(|c| *c == offer.class)
            && self
                .program
                .service
                .as_ref()
                .is_none_or(|s| *s == offer.service)
    }
}

/// The first program that fits a task.
pub fn find_program<'a>(
    programs: &'a [PreparedProgram],
    offer: &Offer,
) -> Option<&'a PreparedProgram> {
    programs.iter().find(|p| p.matches(offer))
}

impl AgentConfig {
    /// Reads a settings file; paths are taken from its folder.
    pub fn load(path: &Path) -> Result<(AgentConfig, Vec<PreparedProgram>), String> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: {e}"))?;
        let mut config: AgentConfig = parse_toml(Document {
            file: &file,
            text: &text,
        })
        .map_err(|e| e.to_string())?;
        let here = path.parent().unwrap_or(Path::new(""));
        config.folder =
            std::path::absolute(here.join(&config.folder)).map_err(|e| format!("{file}: {e}"))?;
        let programs = config.check().map_err(|faults| {
            faults
                .into_iter()
                .map(|f| format!("{file}: {f}"))
                .collect::<Vec<_>>()
                .join("\n")
        })?;
        Ok((config, programs))
    }

    /// All that is wrong with it, or its programs.
    pub fn check(&self) -> Result<Vec<PreparedProgram>, Vec<String>> {
        let mut faults = Vec::new();
        let mut must = |holds: bool, key: &str, what: &str| {
            if !holds {
                faults.push(format!("{key}: {what}"));
            }
        };
        let limits = &self.limits;
        let above = |x: f64| x.is_finite() && x > 0.0;
        must(
            !self.name.is_empty() && self.name.len() <= 255,
            "name",
            "1 to 255 octets",
        );
        must(
            self.listen.ip().is_loopback(),
            "listen",
            "a loopback address",
        );
        must(
            above(limits.cores) && limits.cores <= 4096.0,
            "limits.cores",
            "above 0, at most 4096",
        );
        must(
            above(limits.memory_gib) && limits.memory_gib <= 65536.0,
            "limits.memory_gib",
            "above 0, at most 65536",
        );
        must(
            (1.0..=100.0).contains(&limits.over_cores),
            "limits.over_cores",
            "1 to 100",
        );
        must(
            (1.0..=100.0).contains(&limits.over_memory),
            "limits.over_memory",
            "1 to 100",
        );
        must(
            (1..=65536).contains(&limits.line),
            "limits.line",
            "1 to 65536",
        );
        must(
            (1..=1024).contains(&limits.starts),
            "limits.starts",
            "1 to 1024",
        );
        must(
            (1..=3_600_000).contains(&self.stop_grace_ms),
            "stop_grace_ms",
            "1 to 3600000",
        );
        must(
            (1..=1 << 20).contains(&self.output_kib),
            "output_kib",
            "1 to 1048576",
        );
        must(
            (100..=600_000).contains(&self.measure_ms),
            "measure_ms",
            "100 to 600000",
        );
        must(!self.programs.is_empty(), "program", "at least one");
        let mut programs = Vec::new();
        for (n, program) in self.programs.iter().enumerate() {
            let key = |field: &str| format!("program {}: {field}", n + 1);
            must(program.path.is_absolute(), &key("path"), "an absolute path");
            let args: Result<Vec<ArgumentTemplate>, String> = program
                .args
                .iter()
                .map(|a| ArgumentTemplate::parse(a))
                .collect();
            match args {
                Ok(args) => programs.push(PreparedProgram {
                    program: program.clone(),
                    templates: args,
                }),
                Err(why) => must(false, &key("args"), &why),
            }
            let name = |n: &String| !n.is_empty() && !n.contains(['=', '\0']);
            must(
                program.env.iter().chain(program.set.keys()).all(name),
                &key("env"),
                "names without `=`",
            );
        }
        if faults.is_empty() {
            Ok(programs)
        } else {
            Err(faults)
        }
    }

    /// What admission goes by.
    pub fn admission_policy(&self) -> AdmissionPolicy {
        AdmissionPolicy {
            cores: self.limits.cores,
            memory_gib: self.limits.memory_gib,
            cpu_overcommit: self.limits.over_cores,
            memory_overcommit: self.limits.over_memory,
            max_queue_length: self.limits.line,
            max_concurrent_starts: self.limits.starts,
            max_warm_programs: 0,
            allows_preemption: self.limits.push_out,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_SETTINGS: &str = r#"
name = "n"
listen = "127.0.0.1:0"
folder = "agent"
[limits]
cores = 4.0
memory_gib = 8.0
[[program]]
class = "web"
path = "/bin/true"
args = ["--actor={actor}"]
"#;

    #[test]
    fn check_reports_all_faults_at_once() {
        let doc = Document {
            file: "a.toml",
            text: VALID_SETTINGS,
        };
        let mut config: AgentConfig = parse_toml(doc).expect("sound");
        assert_eq!(config.check().expect("sound").len(), 1);
        config.limits.cores = f64::NAN;
        config.programs[0].path = "true".into();
        config.programs[0].args = vec!["{who}".into()];
        let faults = config.check().expect_err("faults");
        assert_eq!(faults.len(), 3, "{faults:?}");
        let unknown = VALID_SETTINGS.replace("cores = 4.0", "cores = 4.0\nmany = 1");
        let told = parse_toml::<AgentConfig>(Document {
            file: "a.toml",
            text: &unknown,
        })
        .expect_err("a fault")
        .to_string();
        assert!(told.contains("a.toml:7"), "{told}");
    }
}
