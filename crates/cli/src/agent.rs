//! `maplethread agent`: the node agent, and a look into its store.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Subcommand};
use maplethread_agent::store::{Store, StoredState};
use maplethread_agent::{AgentConfig, TaskState, process, run};
use serde_json::json;

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
    /// Show what the store of an agent that does not run holds, and whether it is sound, as JSON lines
    State {
        /// The settings file
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Say what is wrong with a settings file
    Check {
        /// The settings file
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
}

pub fn run(args: &AgentArgs) -> Result<ExitCode, String> {
    match (&args.command, &args.config) {
        (Some(AgentCommand::State { config }), _) => print_state(config),
        (Some(AgentCommand::Check { config }), _) => {
            let (_, programs) = AgentConfig::load(config).map_err(|e| e.to_string())?;
            println!("{}: sound; {} programs", config.display(), programs.len());
            Ok(ExitCode::SUCCESS)
        }
        (None, Some(config)) => {
            run::run(config, |_| {}).map_err(|e| e.to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        (None, None) => Err("--config is missing".to_owned()),
    }
}

fn print_state(config: &std::path::Path) -> Result<ExitCode, String> {
    let (config, _) = AgentConfig::load(config).map_err(|e| e.to_string())?;
    let path = config.store_path();
    if !path.exists() {
        return Err(format!("{}: there is no store", path.display()));
    }
    let told = |e: maplethread_agent::store::StoreError| format!("{}: {e}", path.display());
    let StoredState { facts, tasks } = Store::open(&path).map_err(told)?.load().map_err(told)?;
    println!(
        "{}",
        json!({"agent": config.name, "boot": facts.boot_id, "drains": facts.is_draining, "tasks": tasks.len()})
    );
    for (attempt, kept) in tasks {
        let fate = match kept.state {
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
        let offer = &kept.offer;
        println!(
            "{}",
            json!({
                "attempt": format!("{attempt:016x}"), "placer": &*kept.placer, "service": offer.service,
                "actor": offer.actor, "class": offer.class, "fate": fate,
            })
        );
    }
    Ok(ExitCode::SUCCESS)
}
