//! A load test of one placer: open-loop requests at a fixed rate, with hosts that accept every offer at once.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command as Process, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use hdrhistogram::Histogram;
use maplethread_config::{
    CostSettings, DampingMode, HostEntry, HostKind, HostSettings, HostState, Identity, Inventory,
    PlacementSettings, PlacerConfig, RuleSettings,
};
use maplethread_consul_emulator::{EmulatorSettings as ServerSettings, Servers};
use maplethread_engine::Timers;
use maplethread_placer::Clock;
use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::frame::{self, Frame};
use serde_json::{Value, json};

use crate::catalogue_registration::register_host;
use crate::clients::{Clients, RequestLoad};
use crate::settings::{api, consul, hosts, unconstrained_class};
use crate::usage::process_usage;

/// Options of a load test.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// The executable whose `placer` subcommand starts the placer.
    pub program: PathBuf,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Duration of the load, s.
    pub duration_s: f64,
    /// Number of hosts.
    pub host_count: usize,
    /// Number of client connections.
    pub connection_count: usize,
    /// Duration of a task, ms; 0 for tasks that do not end.
    pub task_duration_ms: u64,
    /// Seed of the placer.
    pub seed: u64,
    /// If set, the hosts are read from an emulated catalogue, and in the second half of the run the health of a third
    /// of them changes this many times a second in total.
    pub health_changes_per_s: Option<f64>,
    /// The placer writes trace files into this folder.
    pub trace_folder: Option<PathBuf>,
}

/// The result of a load test.
#[derive(Clone, Debug)]
pub struct LoadResult {
    /// Target rate, requests a second.
    pub rate: f64,
    /// Answers a second.
    pub answered_rate: f64,
    /// Number of requests.
    pub requests: u64,
    /// Number of requests that were answered `placed`.
    pub placed: u64,
    /// Time from when a request was due to its answer: p50, p99, p99.9 and maximum, µs.
    pub answer_times_us: [u64; 4],
    /// The same for the first half of the run and for the second.
    pub answer_us_by_half: [[u64; 4]; 2],
    /// Decisions: p50 and p99, µs, as the placer measured them.
    pub decision_times_us: [u64; 2],
    /// Resident memory of the placer before and after the load, KiB.
    pub rss_kib: [u64; 2],
    /// Number of actors at the end.
    pub actors: u64,
    /// Time that the placer's event loop spent on reading, on turns, on deciding within them and on writing, µs, in
    /// total and in the longest turn.
    pub event_loop_time: Value,
    /// Share of one core that the placer used when idle and under load.
    pub cpu: [f64; 2],
}

impl LoadResult {
    /// The result as a JSON object.
    pub fn json(&self) -> Value {
        json!({
            "rate": self.rate, "answered_rate": self.answered_rate, "asks": self.requests, "placed": self.placed,
            "place_us": {"p50": self.answer_times_us[0], "p99": self.answer_times_us[1], "p99.9": self.answer_times_us[2], "max": self.answer_times_us[3]},
            "halves_us": self.answer_us_by_half,
            "decide_us": {"p50": self.decision_times_us[0], "p99": self.decision_times_us[1]},
            "rss_kib": {"before": self.rss_kib[0], "after": self.rss_kib[1]},
            "actors": self.actors,
            "spent_us": self.event_loop_time,
            "cpu": {"idle": self.cpu[0], "load": self.cpu[1]},
        })
    }

    /// The result as text.
    pub fn text(&self) -> String {
        let spent = |part: &str| {
            let value = |key: &str| self.event_loop_time[part][key].as_u64().unwrap_or(0);
            format!(
                "{:.1} us ({:.1} ms)",
                value("all") as f64 / self.requests.max(1) as f64,
                value("longest") as f64 / 1000.0
            )
        };
        let spent = format!(
            "spent an ask (longest turn): reading {} of which lists {}, turns {} of which deciding {} and recording {}, writing {}\n",
            spent("reading"),
            spent("lists"),
            spent("turn"),
            spent("deciding"),
            spent("recording"),
            spent("writing")
        );
        let text = format!(
            "{:.0} asks a second wanted, {:.0} answered; {} asks, {} placed\n\
             due to answer: p50 {} us, p99 {} us, p99.9 {} us, max {} us\n\
             decisions: p50 {} us, p99 {} us\n\
             placer: {:.1} MiB before, {:.1} MiB with {} actors; {:.1}% of a core idle, {:.1}% under load\n",
            self.rate,
            self.answered_rate,
            self.requests,
            self.placed,
            self.answer_times_us[0],
            self.answer_times_us[1],
            self.answer_times_us[2],
            self.answer_times_us[3],
            self.decision_times_us[0],
            self.decision_times_us[1],
            self.rss_kib[0] as f64 / 1024.0,
            self.rss_kib[1] as f64 / 1024.0,
            self.actors,
            self.cpu[0] * 100.0,
            self.cpu[1] * 100.0
        );
        let halves = format!(
            "due to answer, p50, p99, p99.9 and max: first half {:?} us, second half {:?} us\n",
            self.answer_us_by_half[0], self.answer_us_by_half[1]
        );
        text + &halves + &spent
    }
}

/// Hosts that accept and start every offer at once, in a thread of their own.
struct MinimalHosts {
    addresses: Vec<SocketAddr>,
    should_end: Arc<AtomicBool>,
    thread: Option<JoinHandle<io::Result<()>>>,
}

impl MinimalHosts {
    fn start(count: usize, task_duration_us: u64) -> io::Result<MinimalHosts> {
        let poller = Poller::new()?;
        let mut listeners = Vec::new();
        let mut addresses = Vec::new();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            poller.register(&listener, number as u64, false)?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let should_end = Arc::new(AtomicBool::new(false));
        let thread_should_end = should_end.clone();
        let run =
            move || run_minimal_hosts(&poller, &listeners, task_duration_us, &thread_should_end);
        let thread = std::thread::Builder::new()
            .name("null-hosts".into())
            .spawn(run)?;
        Ok(MinimalHosts {
            addresses,
            should_end,
            thread: Some(thread),
        })
    }
}

impl Drop for MinimalHosts {
    fn drop(&mut self) {
        self.should_end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run_minimal_hosts(
    poller: &Poller,
    listeners: &[TcpListener],
    task_duration_us: u64,
    should_end: &AtomicBool,
) -> io::Result<()> {
    let clock = Clock::start();
    let mut connections: HashMap<u64, (TcpConnection, usize)> = HashMap::new();
    let mut last_token = listeners.len() as u64;
    let mut ready: Vec<Readiness> = Vec::new();
    let mut task_ends: Timers<(u64, u64)> = Timers::default();
    while !should_end.load(Ordering::Relaxed) {
        ready.clear();
        let wait_us = task_ends
            .next_due_at()
            .map_or(50_000, |at| at.saturating_sub(clock.now()).min(50_000));
        poller.wait(Some(Duration::from_micros(wait_us)), &mut ready)?;
        for r in &ready {
            if let Some(listener) = listeners.get(r.token as usize) {
                while let Ok((stream, _)) = listener.accept() {
                    last_token += 1;
                    connections.insert(
                        last_token,
                        (
                            TcpConnection::from_accepted(stream, last_token, poller)?,
                            r.token as usize,
                        ),
                    );
                }
                continue;
            }
            let Some((conn, host)) = connections.get_mut(&r.token) else {
                continue;
            };
            let outcome = conn.read_available(256 << 10, 512 << 10);
            while let Ok((Some(frame), used)) = frame::decode(conn.unread()) {
                conn.consume(used);
                let mut answers = Vec::new();
                match frame {
                    Frame::Hello { .. } => {
                        let name = format!("host-{host}");
                        let (major, minor) = (frame::MAJOR, frame::MINOR);
                        answers.push(Frame::Hello {
                            major,
                            minor,
                            name,
                            started_ms: 1,
                            max_offers: 0,
                        });
                        answers.push(Frame::HeldEnd);
                    }
                    Frame::Offer(offer) => {
                        answers.push(Frame::Accepted(offer.attempt_id, 0));
                        answers.push(Frame::Started(offer.attempt_id, 0));
                        if task_duration_us > 0 {
                            task_ends.schedule(
                                clock.now() + task_duration_us,
                                (r.token, offer.attempt_id),
                            );
                        }
                    }
                    Frame::Cancel(attempt) | Frame::Stop(attempt) => {
                        answers.push(Frame::Ended(attempt, frame::Reason::Stopped, true, None));
                    }
                    Frame::Ping(nonce) => answers.push(Frame::Pong(nonce)),
                    _ => {}
                }
                answers
                    .iter()
                    .for_each(|frame| frame::encode(frame, conn.write_buffer()));
            }
            let broken = conn.flush(poller).is_err();
            if broken || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
                connections.remove(&r.token);
            }
        }
        while let Some((token, attempt)) = task_ends.pop_due(clock.now()) {
            if let Some((conn, _)) = connections.get_mut(&token) {
                frame::encode(
                    &Frame::Ended(attempt, frame::Reason::Completed, true, None),
                    conn.write_buffer(),
                );
                let _ = conn.flush(poller);
            }
        }
    }
    Ok(())
}

struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs one placer under a load.
///
/// # Errors
///
/// Files, sockets or processes of the run fail, or the placer does not start.
pub fn run(options: &LoadOptions) -> io::Result<LoadResult> {
    let folder = tempfile::tempdir()?;
    let minimal_hosts = MinimalHosts::start(options.host_count, options.task_duration_ms * 1000)?;
    let entry = |(number, address): (usize, &SocketAddr)| HostEntry {
        name: format!("host-{number}"),
        address: *address,
        zone: ["a", "b", "c"][number % 3].to_owned(),
        cell: format!("{}", number / 12),
        kind: "std".to_owned(),
        state: HostState::Ready,
        started_ms: None,
        unallocated_cores: None,
        unallocated_memory_gib: None,
    };
    let inventory = Inventory {
        hosts: minimal_hosts
            .addresses
            .iter()
            .enumerate()
            .map(entry)
            .collect(),
    };
    std::fs::write(
        folder.path().join("hosts.toml"),
        toml::to_string(&inventory).map_err(io::Error::other)?,
    )?;
    let servers = match options.health_changes_per_s {
        None => None,
        Some(_) => {
            let servers = Servers::start(ServerSettings::new(3))?;
            for host in &inventory.hosts {
                register_host(servers.addresses[0], host)?;
            }
            Some(servers)
        }
    };
    let config = PlacerConfig {
        fleet: None,
        identity: Identity {
            name: "placer-0".to_owned(),
            replica_index: 0,
            replica_count: 1,
            zone: "a".to_owned(),
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            seed: Some(options.seed),
        },
        api: api(),
        hosts: HostSettings {
            inventory: servers.is_none().then(|| "hosts.toml".into()),
            ..hosts("hosts.toml")
        },
        consul: servers
            .as_ref()
            .map(|servers| consul(servers.addresses.clone(), DampingMode::Off, None)),
        placement: PlacementSettings {
            admit_cores: 1.0,
            admit_memory: 1.0,
            ..PlacementSettings::default()
        },
        rules: RuleSettings {
            max_poll_interval_ms: 10_000,
            initial_capacity_share: 0.2,
            warm_up_duration_ms: 5_000,
            overload_multiple: 4.0,
            overload_window_ms: 2_000,
            warm_up_offers: 20.0,
        },
        costs: CostSettings::default(),
        trace: options.trace_folder.clone().map(crate::settings::trace),
        kinds: vec![HostKind {
            name: "std".to_owned(),
            cores: 1e6,
            memory_gib: 1e6,
        }],
        classes: vec![unconstrained_class()],
    };
    let path = folder.path().join("placer.toml");
    std::fs::write(&path, config.to_toml().map_err(io::Error::other)?)?;
    let mut process = Process::new(&options.program);
    process
        .args(["placer", "--log", "warn", "--config"])
        .arg(&path);
    let mut child = KillOnDrop(
        process
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?,
    );
    let pid = child.0.id();
    let mut line = String::new();
    if let Some(out) = child.0.stdout.take() {
        BufReader::new(out).read_line(&mut line)?;
    }
    let address: SocketAddr = line
        .trim()
        .rsplit(' ')
        .next()
        .and_then(|a| a.parse().ok())
        .ok_or_else(|| {
            io::Error::other("placer exited or closed its output without printing its address")
        })?;
    std::thread::sleep(Duration::from_millis(300));
    let idle_start = process_usage(pid)?;
    std::thread::sleep(Duration::from_secs(1));
    let idle_end = process_usage(pid)?;
    let load = RequestLoad {
        requests_per_s: options.requests_per_s,
        duration_s: options.duration_s,
        split_s: options.duration_s / 2.0,
        connections: options.connection_count,
        task_duration_ms: None,
        name: "actor".to_owned(),
    };
    let clients = Clients::connect(load, &[address])?;
    let health_changes =
        servers
            .as_ref()
            .zip(options.health_changes_per_s)
            .map(|(servers, rate)| {
                let (server, hosts) = (servers.addresses[0], inventory.hosts.clone());
                let (half_s, rate) = (options.duration_s / 2.0, rate.max(0.1));
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(half_s));
                    for n in 0..(half_s * rate) as usize {
                        let mut host = hosts[n * 7 % (hosts.len() / 3).max(1)].clone();
                        host.state = if n % 2 == 0 {
                            HostState::Draining
                        } else {
                            HostState::Ready
                        };
                        let _ = register_host(server, &host);
                        std::thread::sleep(Duration::from_secs_f64(1.0 / rate));
                    }
                })
            });
    let answers = clients.run()?;
    if let Some(thread) = health_changes {
        let _ = thread.join();
    }
    let load_end = process_usage(pid)?;
    let elapsed_s = answers.elapsed_s;
    std::thread::sleep(Duration::from_millis(600));
    let (_, status) = maplethread_placer::get_json(address, "/v1/status?full")?;
    let decision_us = |q: &str| status["gauges"]["decide_us"][q].as_u64().unwrap_or(0);
    let quantiles = |h: &Histogram<u64>| {
        [
            h.value_at_quantile(0.5),
            h.value_at_quantile(0.99),
            h.value_at_quantile(0.999),
            h.max(),
        ]
    };
    let halves = &answers.times;
    let mut all = halves[0].clone();
    all.add(&halves[1]).map_err(io::Error::other)?;
    Ok(LoadResult {
        rate: options.requests_per_s,
        answered_rate: all.len() as f64 / elapsed_s,
        requests: answers.requests,
        placed: answers.placed,
        answer_times_us: quantiles(&all),
        answer_us_by_half: [quantiles(&halves[0]), quantiles(&halves[1])],
        decision_times_us: [decision_us("p50"), decision_us("p99")],
        rss_kib: [idle_end.resident_kib, process_usage(pid)?.resident_kib],
        actors: status["actors"].as_u64().unwrap_or(0),
        event_loop_time: status["gauges"]["spent_us"].clone(),
        cpu: [
            idle_end.cpu_s - idle_start.cpu_s,
            (load_end.cpu_s - idle_end.cpu_s) / elapsed_s,
        ],
    })
}
