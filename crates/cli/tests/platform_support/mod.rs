//! Emulated owners, hosts and command channel of the operators' platform, around real placers on loopback.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");
/// Longer than anything here may take, also on slow machines; nothing waits for it when all goes well.
pub const LONG: Duration = Duration::from_secs(30);

/// A placer's process, with its log.
pub struct PlacerProcess {
    pub child: Child,
    pub address: SocketAddr,
}

impl PlacerProcess {
    pub fn start(config: &Path) -> PlacerProcess {
        let mut child = Command::new(PROGRAM)
            .args(["--log-format", "json", "platform"])
            .env("RELAY_CONFIG", config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("a placer");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let address = loop {
            let line = lines
                .next()
                .expect("it says where it listens")
                .expect("a line");
            let line: Value = serde_json::from_str(&line).expect("JSON");
            if let Some(address) = line["fields"]["listen"].as_str() {
                break address.parse().expect("an address");
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        PlacerProcess { child, address }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("its number");
        kill_process(pid, signal).expect("a signal");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let by = Instant::now() + LONG;
        loop {
            if let Some(status) = self.child.try_wait().expect("its end") {
                return status;
            }
            assert!(Instant::now() < by, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for PlacerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Emulated hosts at one address: probes are answered, and all messages go to the test, which decides the answers.
pub struct EmulatedHost {
    pub address: SocketAddr,
    pub heard: Receiver<(TcpStream, Vec<u8>)>,
}

impl EmulatedHost {
    pub fn start() -> EmulatedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let (tell, heard) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, tell) = (stream.expect("a connection"), tell.clone());
                std::thread::spawn(move || read_messages(stream, &tell));
            }
        });
        EmulatedHost { address, heard }
    }

    /// The next message of this type: its connection and its bytes after the length.
    pub fn next(&self, kind: u8) -> (TcpStream, Vec<u8>) {
        loop {
            let (stream, message) = self.heard.recv_timeout(LONG).expect("a message for a host");
            if message[0] == kind {
                return (stream, message);
            }
        }
    }
}

pub fn read_messages(mut stream: TcpStream, tell: &Sender<(TcpStream, Vec<u8>)>) {
    let mut length = [0; 2];
    while stream.read_exact(&mut length).is_ok() {
        let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
        if stream.read_exact(&mut message).is_err() {
            return;
        }
        if message[0] == 52 {
            send_from_host(&mut stream, 53, &message, 61, &[1]);
        }
        if tell
            .send((stream.try_clone().expect("a handle"), message))
            .is_err()
        {
            return;
        }
    }
}

/// A message to a placer about the task of `about`, with one parameter.
pub fn send_from_host(stream: &mut TcpStream, kind: u8, about: &[u8], code: u8, value: &[u8]) {
    let mut bytes = ((12 + value.len()) as u16).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(&about[1..9]);
    bytes.push(code);
    bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
    bytes.extend_from_slice(value);
    stream.write_all(&bytes).expect("it is read");
}

/// A parameter of a message.
pub fn parameter(message: &[u8], code: u8) -> Option<&[u8]> {
    let mut rest = &message[9..];
    while let [c, high, low, more @ ..] = rest {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if *c == code {
            return Some(&more[..length]);
        }
        rest = &more[length..];
    }
    None
}

/// An emulated command channel: each poll's request line goes to the test, which gives the answer's body.
pub struct EmulatedCommandChannel {
    pub address: SocketAddr,
    pub polls: Receiver<(TcpStream, String)>,
}

impl EmulatedCommandChannel {
    pub fn start() -> EmulatedCommandChannel {
        EmulatedCommandChannel::at(([127, 0, 0, 1], 0).into())
    }

    pub fn at(address: SocketAddr) -> EmulatedCommandChannel {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("its address");
        let (tell, polls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, tell) = (stream.expect("a connection"), tell.clone());
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().expect("a handle"));
                    for line in reader
                        .lines()
                        .map_while(Result::ok)
                        .filter(|l| l.starts_with("GET "))
                    {
                        let _ = tell.send((stream.try_clone().expect("a handle"), line));
                    }
                });
            }
        });
        EmulatedCommandChannel { address, polls }
    }

    pub fn poll(&self) -> (TcpStream, String) {
        self.polls.recv_timeout(LONG).expect("a poll")
    }

    pub fn tell(&self, mut stream: TcpStream, events: &Value) {
        let body = events.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).expect("it is read");
    }
}

/// An owner's connection.
pub struct OwnerClient {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl OwnerClient {
    pub fn connect(placer: &PlacerProcess) -> OwnerClient {
        let stream = TcpStream::connect(placer.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a handle"));
        OwnerClient { stream, reader }
    }

    pub fn send(&mut self, message: &Value) {
        self.stream
            .write_all(format!("{message}\n").as_bytes())
            .expect("it is read");
    }

    pub fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("a line");
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("no answer but {line:?}"))
    }

    /// Whether the placer closes the connection without another word.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        matches!(self.reader.read_to_end(&mut rest), Ok(0)) || rest.is_empty()
    }
}

pub const TEXT: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9 \u{e9}\"\\\u{7}";

pub fn setup(sid: &str, left: u64) -> Value {
    json!({"msg": "open", "sid": sid, "attrs": {"class": "web", "left": left.to_string(), "key": "7f3a9c21e0b4d655",
        "extras": "cores:1;memory:2;service:00000000b4d65521"}, "text": TEXT})
}

pub fn listed(cursor: u64, name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": {"index": cursor, "snapshot": false, "endpoints": [
        {"name": name, "address": address, "zone": "east", "type": "std", "group": 0, "status": status,
         "weight": 1, "since_ms": 0}]}}]})
}

pub fn config(folder: &Path, channel: SocketAddr, known: &Value) -> PathBuf {
    let class = json!({"aimMs": 600.0, "effect": "pure", "name": "web", "windowMs": 5000.0, "group": "all",
        "worth": 3.0});
    let settings = json!({
        "allowed": {"connectTimeoutMs": 250.0, "idleCloseMs": 30000.0, "maxAttempts": 3, "mayCancel": true,
            "peers": false, "probes": false, "retryAfter": false, "maxRetryAfterMs": 3000.0},
        "classes": [class],
        "domain": {"ack": "accepted", "admitCores": 1.5, "admitMemory": 1.5, "freeBy": "used", "listsFree": false,
            "kindByClass": [-1], "kindCores": [30], "memoryByKind": [86.0], "spreadMost": [4],
            "spreadOver": ["zone"], "startBonusS": [12.0], "classPriority": [0]},
        "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.17, "coldMs": 15000.0, "fallMultiple": 4.0,
            "tipAfterMs": 3000.0},
        "ordinal": 0, "peersTotal": 1, "registryMode": "ask", "reporting": {"fields": [], "how": "silent"},
        "shapes": ["std"], "zone": 0, "zones": ["east", "west"]
    });
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "channel": channel, "known": known});
    let path = folder.join("config.json");
    std::fs::write(&path, config.to_string()).expect("a file");
    path
}

/// A placer that knows one host, and an owner of it.
pub struct SinglePlacer {
    pub _folder: tempfile::TempDir,
    pub _commands: EmulatedCommandChannel,
    pub host: EmulatedHost,
    pub placer: PlacerProcess,
    pub owner: OwnerClient,
}

impl SinglePlacer {
    pub fn start() -> SinglePlacer {
        let folder = tempfile::tempdir().expect("a folder");
        let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
        let known = listed(1, "s-1", host.address, "active");
        let placer = PlacerProcess::start(&config(folder.path(), commands.address, &known));
        let owner = OwnerClient::connect(&placer);
        SinglePlacer {
            _folder: folder,
            _commands: commands,
            host,
            placer,
            owner,
        }
    }
}

impl OwnerClient {
    /// Nothing more lies there.
    pub fn assert_nothing_received(&self) {
        assert!(self.reader.buffer().is_empty());
    }
}

/// A configuration with changes.
pub fn changed(
    folder: &Path,
    channel: SocketAddr,
    known: &Value,
    change: impl FnOnce(&mut Value),
) -> PathBuf {
    let file = config(folder, channel, known);
    let text = std::fs::read_to_string(&file).expect("text");
    let mut value: Value = serde_json::from_str(&text).expect("JSON");
    change(&mut value);
    std::fs::write(&file, value.to_string()).expect("a file");
    file
}

pub fn probe(sid: u64) -> Value {
    json!({"msg": "probe", "sid": format!("{sid:016x}"), "attrs": {}, "code": 0})
}

/// Sets how many descriptors a placer may hold.
pub fn set_descriptor_limit(placer: &PlacerProcess, descriptors: u64) {
    let limit = Rlimit {
        current: Some(descriptors),
        maximum: Some(descriptors),
    };
    prlimit(
        Pid::from_raw(placer.child.id() as i32),
        Resource::Nofile,
        limit,
    )
    .expect("a limit");
}

/// Descriptors that a placer holds.
pub fn descriptor_count(placer: &PlacerProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", placer.child.id()))
        .expect("its descriptors")
        .count()
}

/// Waits until something holds that happens soon.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let by = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < by, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Accepts every set-up that reaches the host until the test is over, after a pause each; tells whose they were, and when
/// they came.
pub fn accept_all(host: EmulatedHost, pause: Duration) -> Receiver<(u64, Instant)> {
    let (tell, reached) = channel();
    std::thread::spawn(move || {
        for (mut stream, message) in host.heard.iter().filter(|(_, m)| m[0] == 1) {
            let _ = tell.send((setup_id(&message), Instant::now()));
            std::thread::sleep(pause);
            send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
        }
    });
    reached
}

/// The id of the task that a message to a host is about.
pub fn setup_id(message: &[u8]) -> u64 {
    u64::from_be_bytes(message[1..9].try_into().expect("an id"))
}

/// A task that runs on this host already, as its owner hands it over.
pub fn running(sid: &str, host: &str) -> Value {
    let mut at = setup(sid, 0);
    at["attrs"]
        .as_object_mut()
        .expect("an object")
        .remove("left");
    at["attrs"]["extras"] = json!(format!(
        "cores:1;memory:2;service:00000000b4d65521;at:{host}"
    ));
    at
}

/// An address at which nobody listens.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .expect("a port")
        .local_addr()
        .expect("its address")
}

/// A configuration with so many descriptors, whose aim lets an answer take seconds, as on a slow and busy machine.
pub fn config_with_long_objective(
    folder: &Path,
    channel: SocketAddr,
    known: &Value,
    sockets: u64,
) -> PathBuf {
    changed(folder, channel, known, |config| {
        config["settings"]["classes"][0]["aimMs"] = json!(20_000.0);
        config["limits"]["sockets"] = json!(sockets);
    })
}

/// A set-up of a service of its own.
pub fn setup_of_service(sid: u64, service: u64) -> Value {
    let mut set_up = setup(&format!("{sid:016x}"), 20_000);
    set_up["attrs"]["key"] = json!(format!("{sid:016x}"));
    set_up["attrs"]["extras"] = json!(format!("cores:0.1;memory:0.1;service:{service:016x}"));
    set_up
}

/// The ids of the next answers that place a task, and how many answers did not.
pub fn answers(owner: &mut OwnerClient, count: usize) -> (BTreeSet<String>, usize) {
    let (mut placed, mut other) = (BTreeSet::new(), 0);
    for _ in 0..count {
        let answer = owner.receive();
        let sid = answer["sid"].as_str().expect("an id").to_owned();
        if answer["msg"] == "ready" {
            assert!(placed.insert(sid), "a second answer: {answer}");
        } else {
            other += 1;
        }
    }
    (placed, other)
}
