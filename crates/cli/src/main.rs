//! The maplethread program: a placer, a node agent, tools for their files, and test runs on loopback that check placers by
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
    /// Minimum level of log lines: error, warn, info or debug, or a filter such as `info,maplethread=debug`
    #[arg(
        long,
        global = true,
        default_value = "info",
        env = "MAPLETHREAD_LOG",
        value_name = "LEVEL"
    )]
    log: String,
    /// Format of log lines
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
    /// Run a placer: serve the actor-placement API and place the requested actors on the hosts of the inventory
    Placer(placer::PlacerArgs),
    /// Run a placer on the operators' platform, with the configuration file that RELAY_CONFIG names
    Platform {
        /// The configuration file
        #[arg(long, env = "RELAY_CONFIG")]
        config: PathBuf,
    },
    /// Check a placer's settings file and report the first error with its line and key
    CheckConfig {
        /// The settings file
        file: PathBuf,
    },
    /// Run emulated hosts for manual tests of a placer, and write the inventory that the placer reads
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
        /// Port of the first server, followed by those of the others; 0 selects free ports
        #[arg(long, default_value_t = 8500)]
        port: u16,
        /// Number of servers
        #[arg(long, default_value_t = 3)]
        servers: u16,
        /// Replication lag of the followers, ms
        #[arg(long, default_value_t = 20)]
        lag_ms: u64,
    },
    /// Load one placer with open-loop requests, against emulated hosts that accept every offer at once
    Load(load::LoadArgs),
    /// Run a node agent: start processes for the offers of placers, and keep its tasks in a durable store
    Agent(agent::AgentArgs),
    /// Run a synthetic task for agents: use the given cores and memory for the given time, and log start and end
    Worker(worker::WorkerArgs),
    /// Show the fleet as a placer sees it, or generate a fleet key
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Inject faults between real placers (network faults, kills, pauses, restarts), and check the membership and the five
    /// rules
    #[command(alias = "fleet-drill")]
    MembershipTest(membership_test::MembershipTestArgs),
    /// Inspect, cut, summarise and replay the trace files of placers
    #[command(subcommand)]
    Trace(trace::TraceCommand),
    /// Measure the resource use of the placer program by the size of its fleet
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

fn fail(message: &str) -> ExitCode {
    eprintln!("maplethread: {message}");
    ExitCode::from(2)
}
