//! The maplethread program: a placer, a node agent, the tools for their files, and runs on loopback that check placers by
//! their traffic.

mod agent;
mod consul_emulator;
mod error;
mod fault_run;
mod fleet;
mod hosts;
mod interrupt;
mod load;
mod membership_test;
mod placer;
mod scale;
mod scale_report;
mod trace;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use crate::error::ErrorContext;

#[derive(Parser)]
#[command(name = "maplethread", version, about, max_term_width = 100)]
struct Cli {
    /// The least important log lines to show: error, warn, info, debug, or a filter such as `info,maplethread=debug`
    #[arg(
        long,
        global = true,
        default_value = "info",
        env = "MAPLETHREAD_LOG",
        value_name = "LEVEL"
    )]
    log: String,
    /// How log lines read
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run a placer: serve the actor-placement API and place what is asked for on the hosts of the inventory
    Placer(placer::PlacerArgs),
    /// Run a placer in service on the operators' platform, as RELAY_CONFIG tells
    Platform {
        /// The configuration file
        #[arg(long, env = "RELAY_CONFIG")]
        config: PathBuf,
    },
    /// Check a placer's settings file and say what is wrong, with line and key
    CheckConfig {
        /// The settings file
        file: PathBuf,
    },
    /// Run emulated hosts, to try a placer by hand; they write the inventory that it reads
    Host {
        /// The settings file
        #[arg(long)]
        config: PathBuf,
    },
    /// Run a fault scenario on loopback: emulated hosts and owners, real placers, faults, and a verdict on the five rules
    #[command(alias = "bad-day")]
    FaultRun(fault_run::FaultRunArgs),
    /// Run an emulator of Consul servers: the endpoints that placers need, on loopback, without storage
    #[command(alias = "consul-stand-in")]
    ConsulEmulator {
        /// Servers, on ports from this one on; 0 for free ones
        #[arg(long, default_value_t = 8500)]
        port: u16,
        /// How many
        #[arg(long, default_value_t = 3)]
        servers: u16,
        /// How far followers lag, ms
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
    },
    /// Put one placer under an open-loop load of asks, against emulated hosts that accept all at once
    Load(load::LoadArgs),
    /// Run a node agent: real processes for what placers offer, with a durable store
    Agent(agent::AgentArgs),
    /// Be a small task for agents to run: use so much, for so long, and log one's life
    Worker(worker::WorkerArgs),
    /// See the fleet as a placer sees it, or make a key for one
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Inject faults between real placers: a faulty network, kills, pauses, restarts; a verdict on the membership and the
    /// five rules
    #[command(alias = "fleet-drill")]
    MembershipTest(membership_test::MembershipTestArgs),
    /// Read, cut, sum up and replay the trace files of placers
    #[command(subcommand)]
    Trace(trace::TraceCommand),
    /// Measure what the placer program costs by the size of its fleet
    #[command(subcommand)]
    Scale(scale::ScaleCommand),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&cli.log);
    let filter = match filter {
        Ok(filter) => filter,
        Err(e) => return fail(&format!("--log {}: {e}", cli.log)),
    };
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match cli.log_format {
        LogFormat::Text => logs.with_ansi(false).init(),
        LogFormat::Json => logs.json().with_span_list(false).init(),
    }
    let result = match cli.command {
        Command::Placer(args) => placer::run(&args),
        Command::Platform { config } => maplethread_platform::run(&config)
            .map(|()| ExitCode::SUCCESS)
            .in_library(),
        Command::CheckConfig { file } => placer::check_config(&file),
        Command::Host { config } => hosts::run(&config),
        Command::FaultRun(args) => fault_run::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Agent(args) => agent::run(&args),
        Command::Worker(args) => worker::run(&args),
        Command::MembershipTest(args) => membership_test::run(&args),
        Command::Fleet(command) => fleet::run(&command),
        Command::Trace(command) => trace::run(&command),
        Command::Scale(command) => scale::command(&command),
        Command::ConsulEmulator {
            port,
            servers,
            lag_ms,
        } => consul_emulator::run(port, servers, lag_ms),
    };
    result.unwrap_or_else(|error| fail(&error.to_string()))
}

fn fail(why: &str) -> ExitCode {
    eprintln!("maplethread: {why}");
    ExitCode::from(2)
}
