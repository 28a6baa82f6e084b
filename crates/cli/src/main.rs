//! The maplethread program: a placer, stand-in hosts, and days on loopback that judge placers from their traffic.

mod agent;
mod fleet;
mod hosts;
mod membership_test;
mod scale;
mod scale_report;
mod trace;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use maplethread_config::{DampingMode, Document, PlacerConfig};
use maplethread_emulator::mutant::MutantOutcome;
use maplethread_emulator::random_choice::RandomChoice;
use maplethread_emulator::recorded_scenario::{self, RecordedScenario};
use maplethread_emulator::report::Report;
use maplethread_emulator::scenario::Scenario;
use maplethread_emulator::scenario_run;
use maplethread_engine::Decide;

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
    Placer(PlacerArgs),
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
    /// Run stand-in hosts, to try a placer by hand; they write the inventory that it reads
    Host {
        /// The settings file
        #[arg(long)]
        config: PathBuf,
    },
    /// Play a bad day on loopback: stand-in hosts and owners, real placers, troubles, and a verdict on the five rules
    BadDay(FaultRunArgs),
    /// Run a stand-in for Consul servers: the endpoints that placers need, on loopback, without storage
    ConsulStandIn {
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
    /// Put one placer under an open-loop load of asks, against stand-in hosts that accept all at once
    Load(LoadArgs),
    /// Run a node agent: real processes for what placers offer, with a durable store
    Agent(agent::AgentArgs),
    /// Be a small task for agents to run: use so much, for so long, and log one's life
    Worker(worker::WorkerArgs),
    /// See the fleet as a placer sees it, or make a key for one
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Play faults between real placers: a faulty network, kills, pauses, restarts; a verdict on the fleet's view and the
    /// five rules
    FleetDrill(membership_test::MembershipTestArgs),
    /// Read, cut, sum up and replay the trace files of placers
    #[command(subcommand)]
    Trace(trace::TraceCommand),
    /// Measure what the placer program costs by the size of its fleet
    #[command(subcommand)]
    Scale(scale::ScaleCommand),
}

#[derive(Args)]
struct PlacerArgs {
    /// The settings file
    #[arg(long)]
    config: PathBuf,
    /// What decides; `random` is the baseline of bad days
    #[arg(long, value_enum, default_value_t = Decider::Module, hide = true)]
    decider: Decider,
    /// Break this rule on purpose (baseline only)
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=6), hide = true)]
    rogue: u8,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Decider {
    Module,
    Random,
}

#[derive(Args)]
struct FaultRunArgs {
    /// A scenario file; the standard bad day without one
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// Draw the day's demand and troubles from the seed
    #[arg(long, conflicts_with = "scenario")]
    drawn: bool,
    /// Leave troubles of this kind out, such as `rolling_restart`
    #[arg(long, value_name = "KIND")]
    without: Vec<String>,
    /// Play the demand and the troubles that these trace files tell, and report beside what was recorded; --scenario
    /// gives the hosts' and the classes' behaviour
    #[arg(long, value_name = "FILE", num_args = 1.., conflicts_with_all = ["drawn", "seconds", "hosts", "placers"])]
    from_trace: Vec<PathBuf>,
    /// With --from-trace: so many times as fast
    #[arg(long, default_value_t = 1.0, value_name = "X", requires = "from_trace")]
    speed: f64,
    /// Write the scenario that is played to this file
    #[arg(long, value_name = "FILE")]
    write_scenario: Option<PathBuf>,
    /// Length of the day; troubles are squeezed or stretched with it
    #[arg(long, value_name = "N")]
    seconds: Option<f64>,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Placers
    #[arg(long, value_name = "N")]
    placers: Option<u32>,
    /// Stand-in hosts; services and cells grow with them
    #[arg(long, value_name = "N")]
    hosts: Option<usize>,
    /// Let the random-choice baseline decide
    #[arg(long)]
    random: bool,
    /// Let a placer decide that breaks rule N on purpose (6: rule 1, around pauses only), to see that the judge catches it
    #[arg(long, default_value_t = 0, value_name = "N", value_parser = clap::value_parser!(u8).range(0..=6))]
    rogue: u8,
    /// Hosts and placers register in a stand-in for Consul, whose troubles are played besides
    #[arg(long)]
    consul: bool,
    /// With --consul: how good news after repeated changes is held back
    #[arg(long, value_enum, default_value_t = DampingArg::Off, requires = "consul")]
    damping: DampingArg,
    /// Print one JSON object
    #[arg(long)]
    json: bool,
    /// Keep the placers' settings and debug logs in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
    /// Let the placers write trace files into this folder
    #[arg(long, value_name = "FOLDER")]
    trace: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum DampingArg {
    Penalty,
    Off,
    Hold,
}

#[derive(Args)]
struct LoadArgs {
    /// Asks a second
    #[arg(long, default_value_t = 370.0, value_name = "N")]
    rate: f64,
    /// Seconds
    #[arg(long, default_value_t = 10.0, value_name = "N")]
    seconds: f64,
    /// Stand-in hosts
    #[arg(long, default_value_t = 130, value_name = "N")]
    hosts: usize,
    /// Client connections, each with asks pipelined
    #[arg(long, default_value_t = 64, value_name = "N")]
    connections: usize,
    /// Tasks end after so many ms; 0 for never
    #[arg(long, default_value_t = 5000, value_name = "MS")]
    life_ms: u64,
    /// Take the hosts from a catalogue, whose entries change N times a second in the second half of the run
    #[arg(long, value_name = "N")]
    storm: Option<f64>,
    /// Look for the highest rate that is sustained (p99 of due-to-answer under 50 ms), starting from --rate
    #[arg(long)]
    max: bool,
    /// Let the placer write trace files into this folder
    #[arg(long, value_name = "FOLDER")]
    trace: Option<PathBuf>,
    /// Print one JSON object a run
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let filter = tracing_subscriber::EnvFilter::try_new(&cli.log);
    let filter = match filter {
        Ok(filter) => filter,
        Err(e) => return fail(format!("--log {}: {e}", cli.log)),
    };
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    match cli.log_format {
        LogFormat::Text => logs.with_ansi(false).init(),
        LogFormat::Json => logs.json().with_span_list(false).init(),
    }
    let result = match cli.command {
        Command::Placer(args) => placer(&args),
        Command::Platform { config } => maplethread_platform::run(&config)
            .map(|()| ExitCode::SUCCESS)
            .map_err(|e| e.to_string()),
        Command::CheckConfig { file } => check_config(&file),
        Command::Host { config } => host(&config),
        Command::BadDay(args) => fault_run(&args),
        Command::Load(args) => load(&args),
        Command::Agent(args) => agent::run(&args),
        Command::Worker(args) => worker::run(&args),
        Command::FleetDrill(args) => membership_test::run(&args),
        Command::Fleet(command) => fleet::run(&command),
        Command::Trace(command) => trace::run(&command),
        Command::Scale(command) => scale::command(&command),
        Command::ConsulStandIn {
            port,
            servers,
            lag_ms,
        } => consul_emulator(port, servers, lag_ms),
    };
    result.unwrap_or_else(fail)
}

fn fail(why: String) -> ExitCode {
    eprintln!("maplethread: {why}");
    ExitCode::from(2)
}

fn placer(args: &PlacerArgs) -> Result<ExitCode, String> {
    let options = maplethread_placer::Options {
        config_path: args.config.clone(),
    };
    let (which, rogue) = (args.decider, args.rogue);
    let decider = |config: &PlacerConfig,
                   seed: u64|
     -> Result<Box<dyn Decide>, maplethread::SettingsError> {
        Ok(match which {
            Decider::Module => Box::new(maplethread::Placer::new(config.policy_settings(), seed)?),
            Decider::Random => Box::new(RandomChoice::new(config.policy_settings(), seed, rogue)),
        })
    };
    maplethread_placer::run(&options, decider).map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn check_config(file: &Path) -> Result<ExitCode, String> {
    let config = maplethread_placer::load_config(file).map_err(|e| e.to_string())?;
    println!(
        "{}: sound; placer {} of {}, {} classes, {} kinds of hosts",
        file.display(),
        config.identity.name,
        config.identity.replica_count,
        config.classes.len(),
        config.kinds.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// The folder of traces, for placers that run elsewhere.
fn absolute_folder(folder: &Option<PathBuf>) -> Result<Option<PathBuf>, String> {
    folder
        .as_ref()
        .map(std::path::absolute)
        .transpose()
        .map_err(|e| format!("--trace: {e}"))
}

fn read_scenario(file: &Path) -> Result<Scenario, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    Scenario::parse(Document {
        file: &name,
        text: &text,
    })
    .map_err(|e| e.to_string())
}

fn host(file: &Path) -> Result<ExitCode, String> {
    let config = hosts::load(file)?;
    let scenario = std::sync::Arc::new(read_scenario(&config.scenario)?);
    let addresses = hosts::listen_addresses(&config, scenario.fleet.hosts);
    scenario_run::run_hosts(&scenario, &addresses, config.seed, &config.inventory)
        .map_err(|e| format!("hosts: {e}"))?;
    Ok(ExitCode::SUCCESS)
}

fn fault_run(args: &FaultRunArgs) -> Result<ExitCode, String> {
    let mut scenario = match &args.scenario {
        None if args.drawn => Scenario::random(args.seed),
        None if args.consul => Scenario::standard_with_catalogue(),
        None => Scenario::standard(),
        Some(file) => read_scenario(file)?,
    };
    if let Some(seconds) = args.seconds {
        if !(seconds.is_finite() && seconds >= 1.0) {
            return Err("--seconds: at least 1".to_owned());
        }
        scenario = scenario.with_duration(seconds);
    }
    scenario.placers = args.placers.unwrap_or(scenario.placers).max(1);
    if let Some(hosts) = args.hosts {
        scenario = scenario.with_host_count(hosts.max(1));
    }
    let recorded = match args.from_trace.as_slice() {
        [] => None,
        files => Some(read_traces(files, &scenario, args)?),
    };
    if let Some(recorded) = &recorded {
        scenario = recorded.scenario.clone();
    }
    for kind in &args.without {
        let known = serde_json::from_value(kind.as_str().into());
        scenario = scenario.without_fault(known.map_err(|e| format!("--without {kind}: {e}"))?);
    }
    if let Some(file) = &args.write_scenario {
        let text = toml::to_string(&scenario).map_err(|e| e.to_string())?;
        std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    if scenario.slots.is_some_and(|slots| slots < scenario.placers) && !args.consul {
        return Err(
            "fewer slots than placers: numbers have to be leased, with --consul".to_owned(),
        );
    }
    let options = scenario_run::RunOptions {
        scenario,
        seed: args.seed,
        program: std::env::current_exe().map_err(|e| format!("own program: {e}"))?,
        use_random_choice: args.random,
        mutant: args.rogue,
        consul: args.consul.then_some(match args.damping {
            DampingArg::Penalty => DampingMode::Penalty,
            DampingArg::Off => DampingMode::Off,
            DampingArg::Hold => DampingMode::Hold,
        }),
        show_progress: !args.json,
        kept_folder: args.keep.clone(),
        trace_folder: absolute_folder(&args.trace)?,
        arrivals: recorded.as_ref().map(|r| r.arrivals.clone()),
        membership: None,
        interrupted: interrupted()?,
    };
    let report = scenario_run::run_scenario(&options).map_err(|e| format!("bad day: {e}"))?;
    if args.json {
        let mut json = report.json();
        if let Some(recorded) = &recorded {
            json["recorded"] = recorded.summary.clone();
        }
        println!("{json}");
    } else {
        if let Some(recorded) = &recorded {
            print!(
                "{}",
                compare_with_recording(&recorded.summary, &report.json())
            );
        }
        print!("{}", report.text());
    }
    Ok(exit_code(&report))
}

/// The exit status of a day with a rogue that had no occasion to break its rule.
const EXIT_NO_OCCASION: u8 = 3;
/// The exit status of a day with a rogue that broke its rule, which the judge missed.
const EXIT_MISSED: u8 = 4;

/// A day with a rogue never succeeds: the judge caught it, or the day does not show that it can.
fn exit_code(report: &Report) -> ExitCode {
    let Some(rogue) = report.mutant else {
        return if report.is_good() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        };
    };
    match rogue.outcome() {
        MutantOutcome::Detected => ExitCode::FAILURE,
        MutantOutcome::NoOpportunity => exit_not_caught(&rogue.text(), EXIT_NO_OCCASION),
        MutantOutcome::Missed => exit_not_caught(&rogue.text(), EXIT_MISSED),
    }
}

fn exit_not_caught(why: &str, status: u8) -> ExitCode {
    eprintln!("maplethread: {why}");
    ExitCode::from(status)
}

/// A flag that SIGINT and SIGTERM set, so that what was started is ended, whoever sent the signal.
fn interrupted() -> Result<std::sync::Arc<std::sync::atomic::AtomicBool>, String> {
    let flag = std::sync::Arc::default();
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // A second one ends the program at once.
        signal_hook::flag::register_conditional_shutdown(signal, 2, std::sync::Arc::clone(&flag))
            .and_then(|_| signal_hook::flag::register(signal, std::sync::Arc::clone(&flag)))
            .map_err(|e| format!("signals: {e}"))?;
    }
    Ok(flag)
}

fn read_traces(
    files: &[PathBuf],
    base: &Scenario,
    args: &FaultRunArgs,
) -> Result<RecordedScenario, String> {
    if !(args.speed.is_finite() && (0.01..=1000.0).contains(&args.speed)) {
        return Err("--speed: 0.01 to 1000".to_owned());
    }
    let mut traces = files
        .iter()
        .map(|f| trace::open(f))
        .collect::<Result<Vec<_>, _>>()?;
    recorded_scenario::read(&mut traces, base, args.speed, args.seed)
        .map_err(|e| format!("--from-trace: {e}"))
}

/// Answers of the recorded day and of the one that was played.
fn compare_with_recording(recorded: &serde_json::Value, played: &serde_json::Value) -> String {
    let of_classes = |outcome: &str| -> u64 {
        let classes = recorded["classes"].as_object().into_iter().flatten();
        classes
            .filter_map(|(_, c)| c["outcomes"][outcome].as_u64())
            .sum()
    };
    let mut text = String::from("what asks came to, returns among them: recorded, played\n");
    for outcome in ["placed", "refused", "failed"] {
        text += &format!(
            "  {outcome}: {}, {}\n",
            of_classes(outcome),
            played[outcome]
        );
    }
    let (then, now) = (&recorded["ask_to_placed_ms"], &played["place_ms"]);
    text += &format!(
        "  ask to placed, p50 and p99 in ms (at the placer, at the owner): {} {}, {:.1} {:.1}\n",
        then["p50"],
        then["p99"],
        now["p50"].as_f64().unwrap_or(0.0),
        now["p99"].as_f64().unwrap_or(0.0)
    );
    text
}

fn load(args: &LoadArgs) -> Result<ExitCode, String> {
    if !(args.rate > 0.0 && args.seconds > 0.0 && args.hosts > 0) {
        return Err("--rate, --seconds and --hosts: above 0".to_owned());
    }
    let program = std::env::current_exe().map_err(|e| format!("own program: {e}"))?;
    let trace = absolute_folder(&args.trace)?;
    let measure = |rate: f64| {
        let options = maplethread_emulator::load_test::LoadOptions {
            program: program.clone(),
            requests_per_s: rate,
            seconds: args.seconds,
            host_count: args.hosts,
            connection_count: args.connections,
            task_duration_ms: args.life_ms,
            seed: 1,
            health_changes_per_s: args.storm,
            trace_folder: trace.clone(),
        };
        let measured =
            maplethread_emulator::load_test::run(&options).map_err(|e| format!("load: {e}"))?;
        if args.json {
            println!("{}", measured.json());
        } else {
            println!("{}", measured.text());
        }
        Ok::<_, String>(measured)
    };
    let first = measure(args.rate)?;
    if args.max {
        let sustained = |m: &maplethread_emulator::load_test::LoadResult| {
            m.answer_us[1] < 50_000 && m.placed == m.requests
        };
        let (mut low, mut high) = (0.0, args.rate);
        let mut last = first;
        while sustained(&last) {
            (low, high) = (high, high * 1.5);
            last = measure(high)?;
        }
        for _ in 0..4 {
            let middle = (low + high) / 2.0;
            if sustained(&measure(middle)?) {
                low = middle
            } else {
                high = middle
            }
        }
        println!("highest rate sustained: {low:.0} asks a second");
    }
    Ok(ExitCode::SUCCESS)
}

fn consul_emulator(port: u16, servers: u16, lag_ms: u64) -> Result<ExitCode, String> {
    let at = |n: u16| {
        let port = if port == 0 { 0 } else { port.saturating_add(n) };
        std::net::SocketAddr::from(([127, 0, 0, 1], port))
    };
    let settings = maplethread_consul_emulator::EmulatorSettings {
        listen: (0..servers.max(1)).map(at).collect(),
        lag_us: lag_ms * 1000,
        ..maplethread_consul_emulator::EmulatorSettings::new(1)
    };
    let servers = maplethread_consul_emulator::Servers::start(settings)
        .map_err(|e| format!("servers: {e}"))?;
    for address in &servers.addresses {
        println!("stand-in for Consul listening on {address}");
    }
    servers.join().map_err(|e| format!("servers: {e}"))?;
    Ok(ExitCode::SUCCESS)
}
