//! Measures readers of the emulator: time from a change to the reader's update, cost of processing complete responses,
//! and the load of many readers on the servers. `cargo run --release -p maplethread-consul-emulator --example measure`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use maplethread_config::{Document, PlacerConfig};
use maplethread_consul::catalogue::{KnownNames, read_host_list};
use maplethread_consul::{ConsulSource, Output, Update};
use maplethread_consul_emulator::{EmulatorSettings, Servers};
use maplethread_placer::{Clock, ConsulClient, TokenAllocator};
use maplethread_reactor::{Poller, Readiness};
use maplethread_wire::http::{self, Limits, Message, MessageReader, ReadResult, Role};
use serde_json::json;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct HttpClient {
    stream: TcpStream,
    reader: MessageReader,
    buffer: Vec<u8>,
}

impl HttpClient {
    fn new(server: SocketAddr) -> Result<HttpClient> {
        let stream = TcpStream::connect(server)?;
        stream.set_nodelay(true)?;
        let limits = Limits {
            max_body_bytes: 64 << 20,
            ..Limits::default()
        };
        Ok(HttpClient {
            stream,
            reader: MessageReader::new(Role::Responses, limits),
            buffer: Vec::new(),
        })
    }

    fn call(&mut self, method: &str, target: &str, body: &str) -> Result<Vec<u8>> {
        let mut request = Vec::new();
        http::write_request(
            &mut request,
            method,
            target,
            &[("Host", "c")],
            body.as_bytes(),
        );
        self.stream.write_all(&request)?;
        loop {
            let (found, used) = self.reader.read(&self.buffer)?;
            self.buffer.drain(..used);
            if let ReadResult::Message(message) = found {
                return Ok(message.body);
            }
            let mut chunk = [0; 65536];
            let n = self.stream.read(&mut chunk)?;
            self.buffer.extend_from_slice(&chunk[..n]);
        }
    }
}

fn register(http: &mut HttpClient, n: usize, status: &str) -> Result<()> {
    let name = format!("host-{n}");
    let body = json!({
        "Node": format!("node-{n}"), "Address": "127.0.0.1",
        "Service": {"ID": name, "Service": "maplethread-host", "Port": 7000,
            "Meta": {"zone": "a", "cell": format!("c{}", n / 10), "kind": "std", "started_ms": "1700000000000"}},
        "Checks": [{"CheckID": format!("service:{name}"), "Name": "host", "Status": status, "ServiceID": name}],
    });
    http.call("PUT", "/v1/catalog/register", &body.to_string())?;
    Ok(())
}

fn config(servers: &Servers, watch: bool) -> Result<PlacerConfig> {
    let list: Vec<String> = servers
        .addresses
        .iter()
        .map(|a| format!("\"{a}\""))
        .collect();
    let text = format!(
        "[placer]\nname = \"p\"\nnumber = 0\nplacers = 1\nzone = \"a\"\nzones = [\"a\"]\n[api]\nlisten = \"127.0.0.1:0\"\n\
         [hosts]\n[consul]\nservers = [{}]\ndamping = \"off\"\nwatch = {watch}\nreads = \"stale\"\n[rules]\ncold_from = 0.2\n\
         cold_for_ms = 1\nfall_multiple = 4.0\nfall_window_ms = 1\nfresh_offers = 1.0\n[[kind]]\nname = \"std\"\n\
         cores = 1.0\nmemory_gib = 1.0\n[[class]]\nname = \"c\"\neffect = \"safe\"\naim_ms = 1\n",
        list.join(", ")
    );
    Ok(PlacerConfig::parse(Document {
        file: "measure",
        text: &text,
    })?)
}

struct Readers {
    poller: Poller,
    clock: Clock,
    all: Vec<ConsulClient>,
    tokens: TokenAllocator,
}

impl Readers {
    fn new(config: &PlacerConfig, count: usize) -> Result<Readers> {
        let mut all = Vec::new();
        for seed in 0..count {
            all.extend(ConsulClient::new(config, seed as u64)?);
        }
        Ok(Readers {
            poller: Poller::new()?,
            clock: Clock::start(),
            all,
            tokens: TokenAllocator::default(),
        })
    }

    /// Runs for this time, or until an update of the first reader contains this host; returns whether it did.
    fn run(&mut self, duration: Duration, awaited_host: Option<&str>) -> Result<bool> {
        let until = Instant::now() + duration;
        let mut ready: Vec<Readiness> = Vec::new();
        while Instant::now() < until {
            let now = self.clock.now();
            for (n, reader) in self.all.iter_mut().enumerate() {
                if reader.next_timeout(now).is_some_and(|at| at <= now) || n == 0 {
                    for update in reader.tick(now, &self.poller, &mut self.tokens) {
                        if let (0, Update::Hosts(hosts), Some(host_name)) =
                            (n, update, awaited_host)
                            && hosts.iter().any(|h| h.name == host_name)
                        {
                            return Ok(true);
                        }
                    }
                }
            }
            ready.clear();
            self.poller
                .wait(Some(Duration::from_millis(1)), &mut ready)?;
            let now = self.clock.now();
            for r in &ready {
                if let Some(reader) = self.all.iter_mut().find(|c| c.owns_token(r.token)) {
                    reader.on_ready(now, r, &self.poller);
                }
            }
        }
        Ok(false)
    }
}

/// A response with this body, parsed as from a connection.
fn response(body: &[u8], index: u64) -> Result<Message> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let limits = Limits {
        max_body_bytes: 64 << 20,
        ..Limits::default()
    };
    let bytes = [head.as_bytes(), body].concat();
    match MessageReader::new(Role::Responses, limits).read(&bytes)?.0 {
        ReadResult::Message(message) => Ok(message),
        found => Err(format!("{found:?}").into()),
    }
}

/// Measures how long a source takes to process lists, in total and in the longest turn.
fn measure_turns(config: &PlacerConfig, body: &[u8]) -> Result<()> {
    let Some(consul) = &config.consul else {
        return Ok(());
    };
    let mut source = ConsulSource::new(config, consul, None, 1);
    let text = String::from_utf8_lossy(body).into_owned();
    let all_critical = text.replace("\"passing\"", "\"critical\"");
    let one_critical = text.replacen("\"passing\"", "\"critical\"", 1);
    let lists = [
        ("the first", &text),
        ("unchanged", &text),
        ("one changed", &one_critical),
        ("all changed", &all_critical),
        ("unchanged", &all_critical),
    ];
    let mut now = 0;
    for (index, (label, list)) in lists.iter().enumerate() {
        now += 300_000_000;
        source.tick(now);
        for Output::Call { call, request, .. } in source.take_outputs() {
            if request.starts_with(b"GET /v1/health") {
                source.handle_response(now, call, response(list.as_bytes(), index as u64 + 5)?);
            } else {
                source.handle_failure(now, call, "not answered in this measurement");
            }
        }
        let (mut total, mut longest, mut turns, mut host_count) =
            (Duration::ZERO, Duration::ZERO, 0, 0);
        while source.has_pending_work() {
            let start = Instant::now();
            source.tick(now);
            let updates = source.take_updates();
            let elapsed = start.elapsed();
            (total, longest, turns) = (total + elapsed, longest.max(elapsed), turns + 1);
            host_count += updates
                .iter()
                .map(|u| {
                    if let Update::Hosts(hosts) = u {
                        hosts.len()
                    } else {
                        0
                    }
                })
                .sum::<usize>();
        }
        println!(
            "  {label}: {total:?} in {turns} turns, the longest {longest:?}; {host_count} hosts in updates"
        );
    }
    Ok(())
}

/// Time over which idle readers are measured, s; each reads one or two complete lists in that time.
const IDLE_S: u64 = 120;

/// Processor time of this process, readers and servers together, in ticks of 10 ms.
fn cpu_ticks() -> Result<u64> {
    let stat = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
    Ok(fields[12].parse::<u64>()? + fields[13].parse::<u64>()?)
}

fn main() -> Result<()> {
    // With the argument `rest`, only the load of idle readers is measured.
    let measures_all = std::env::args()
        .nth(1)
        .is_none_or(|argument| argument != "rest");
    for hosts in [130, 5000].into_iter().filter(|_| measures_all) {
        let servers = Servers::start(EmulatorSettings::new(3))?;
        let mut http = HttpClient::new(servers.addresses[0])?;
        for n in 0..hosts {
            register(&mut http, n, "passing")?;
        }
        std::thread::sleep(Duration::from_millis(200));
        let body = http.call("GET", "/v1/health/service/maplethread-host", "")?;
        let known = KnownNames {
            zones: vec!["a".into()],
            kinds: vec!["std".into()],
            max_entries: 10_000,
        };
        let start = Instant::now();
        let rounds = 20;
        for _ in 0..rounds {
            assert_eq!(read_host_list(&body, &known)?.entries.len(), hosts);
        }
        let parse_time = start.elapsed() / rounds;
        println!(
            "{hosts} hosts: a response of {} KiB is parsed in {parse_time:?}",
            body.len() / 1024
        );
        measure_turns(&config(&servers, false)?, &body)?;
        for watch in [false, true] {
            let mut readers = Readers::new(&config(&servers, watch)?, 1)?;
            readers.run(Duration::from_millis(1500), None)?;
            let mut times = Vec::new();
            for n in 0..100 {
                // Out of phase with the periodic reads.
                readers.run(Duration::from_millis(40 + n % 17), None)?;
                let host = (n as usize / 2 * 37) % hosts;
                let start = Instant::now();
                register(
                    &mut http,
                    host,
                    if n % 2 == 0 { "critical" } else { "passing" },
                )?;
                if readers.run(Duration::from_secs(5), Some(&format!("host-{host}")))? {
                    times.push(start.elapsed());
                }
            }
            times.sort();
            let quantile = |q: f64| times[((times.len() as f64 * q) as usize).min(times.len() - 1)];
            println!(
                "{hosts} hosts, watch {watch}: from a change to its update p50 {:?}, p99 {:?} ({} changes)",
                quantile(0.5),
                quantile(0.99),
                times.len()
            );
        }
    }
    for watch in [false, true] {
        let servers = Servers::start(EmulatorSettings::new(3))?;
        let mut http = HttpClient::new(servers.addresses[0])?;
        for n in 0..130 {
            register(&mut http, n, "passing")?;
        }
        let mut readers = Readers::new(&config(&servers, watch)?, 400)?;
        readers.run(Duration::from_secs(8), None)?;
        let before = servers.traffic_counts();
        let cpu = cpu_ticks()?;
        readers.run(Duration::from_secs(IDLE_S), None)?;
        let cpu = cpu_ticks()? - cpu;
        let after = servers.traffic_counts();
        println!(
            "400 idle readers of 130 hosts, watch {watch}: {:.0} queries a second, {:.1} MiB a minute, {:.0}% of a core",
            (after.0 - before.0) as f64 / IDLE_S as f64,
            (after.1 - before.1) as f64 / IDLE_S as f64 * 60.0 / 1048576.0,
            cpu as f64 / IDLE_S as f64,
        );
    }
    Ok(())
}
