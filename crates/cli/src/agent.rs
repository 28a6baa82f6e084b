//! `maplethread agent`: runs the node agent, and prints its store.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use maplethread_agent::store::{Store, StoredState};
use maplethread_agent::{AgentConfig, TaskState, process, run};
use serde_json::json;

use crate::error::{CommandError, ErrorContext};

#[derive(Args)]
#[command(args_conflicts_with_subcommands = true)]
pub struct AgentArgs {
    /// The settings file
    #[arg(long, required = true, value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<AgentCommand>,
}

#[derive(Subcommand)]
enum AgentCommand {
    /// Print the store of a stopped agent as JSON lines; fails if the store is damaged
    State {
        /// The settings file
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a settings file and report the first error
    Check {
        /// The settings file
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

pub fn run(args: &AgentArgs) -> Result<ExitCode, CommandError> {
    match (&args.command, &args.config) {
        (Some(AgentCommand::State { config }), _) => print_state(config),
        (Some(AgentCommand::Check { config }), _) => {
            let (_, programs) = AgentConfig::load(config).in_library()?;
            println!("{}: valid; {} programs", config.display(), programs.len());
            Ok(ExitCode::SUCCESS)
        }
        (None, Some(config)) => {
            run::run(config, |_| {}).in_library()?;
            Ok(ExitCode::SUCCESS)
        }
        (None, None) => Err(CommandError::invalid_option("--config is missing")),
    }
}

fn print_state(config: &Path) -> Result<ExitCode, CommandError> {
    let (config, _) = AgentConfig::load(config).in_library()?;
    let path = config.store_path();
    if !path.exists() {
        return Err(CommandError::file(&path, "store does not exist"));
    }
    let StoredState { facts, tasks } = Store::open(&path)
        .and_then(|store| store.load())
        .in_file(&path)?;
    println!(
        "{}",
        json!({"agent": config.name, "boot": facts.boot_id, "drains": facts.is_draining, "tasks": tasks.len()})
    );
    for (attempt, task) in tasks {
        let state = match task.state {
            TaskState::Accepted => json!("accepted"),
            TaskState::Starting => json!("starting"),
            TaskState::Running(identity) => {
                json!({"running": {"pid": identity.pid, "alive": process::is_alive(identity)}})
            }
            TaskState::Finished {
                reason,
                possibly_started,
            } => {
                json!({"ended": {"reason": reason.as_str(), "ran": possibly_started}})
            }
        };
        let offer = &task.offer;
        println!(
            "{}",
            json!({
                "attempt": format!("{attempt:016x}"), "placer": &*task.placer, "service": offer.service,
                "actor": offer.actor, "class": offer.class, "fate": state,
            })
        );
    }
    Ok(ExitCode::SUCCESS)
}
