//! Emulated owners, hosts and command channels of the operators' platform, for tests with real placers on loopback.
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

/// The types of messages to hosts and from them.
pub mod kind {
    pub const OPEN: u8 = 1;
    pub const READY: u8 = 9;
    pub const CLOSE: u8 = 12;
}

/// The codes of parameters in messages to hosts and from them.
pub mod code {
    pub const CAUSE: u8 = 61;
    pub const DESCRIPTION: u8 = 63;
}

/// The causes of rejections and releases.
pub mod cause {
    pub const NORMAL: u8 = 16;
    pub const NO_CAPACITY: u8 = 34;
}

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");
/// The limit for one wait of a test, long enough for slow machines; a passing test does not reach it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A placer's process and its listen address, which is read from its log.
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
            .expect("placer process starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped standard error")).lines();
        let address = loop {
            let line = lines
                .next()
                .expect("log line with the listen address")
                .expect("line can be read");
            let line: Value = serde_json::from_str(&line).expect("valid JSON");
            if let Some(address) = line["fields"]["listen"].as_str() {
                break address.parse().expect("socket address");
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        PlacerProcess { child, address }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).expect("process id");
        kill_process(pid, signal).expect("signal can be sent");
    }

    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("exit status") {
                return status;
            }
            assert!(
                Instant::now() < deadline,
                "the placer did not exit within {TEST_TIMEOUT:?}"
            );
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

/// Emulated hosts at one address. They answer probes, and pass every message to the test, which sends all other answers.
pub struct EmulatedHost {
    pub address: SocketAddr,
    pub messages: Receiver<(TcpStream, Vec<u8>)>,
    ends: Receiver<()>,
}

impl EmulatedHost {
    pub fn start() -> EmulatedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
        let address = listener.local_addr().expect("local address");
        let (sender, messages) = channel();
        let (end_sender, ends) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, sender) = (stream.expect("connection is accepted"), sender.clone());
                let end_sender = end_sender.clone();
                std::thread::spawn(move || {
                    read_messages(stream, &sender);
                    let _ = end_sender.send(());
                });
            }
        });
        EmulatedHost {
            address,
            messages,
            ends,
        }
    }

    /// Waits until the placer has closed its side of a connection.
    pub fn wait_for_end(&self) {
        self.ends
            .recv_timeout(TEST_TIMEOUT)
            .expect("a connection ends");
    }

    /// Receives the next message of this type: its connection, and its bytes after the length.
    pub fn next(&self, kind: u8) -> (TcpStream, Vec<u8>) {
        loop {
            let (stream, message) = self
                .messages
                .recv_timeout(TEST_TIMEOUT)
                .expect("host receives a message");
            if message[0] == kind {
                return (stream, message);
            }
        }
    }
}

pub fn read_messages(mut stream: TcpStream, sender: &Sender<(TcpStream, Vec<u8>)>) {
    let mut length = [0; 2];
    while stream.read_exact(&mut length).is_ok() {
        let mut message = vec![0; usize::from(u16::from_be_bytes(length))];
        if stream.read_exact(&mut message).is_err() {
            return;
        }
        if message[0] == 52 {
            send_from_host(&mut stream, 53, &message, 61, &[1]);
        }
        if sender
            .send((stream.try_clone().expect("stream can be cloned"), message))
            .is_err()
        {
            return;
        }
    }
}

/// Sends a message with one parameter to a placer, for the task of the received message `about`.
pub fn send_from_host(stream: &mut TcpStream, kind: u8, about: &[u8], code: u8, value: &[u8]) {
    let mut bytes = ((12 + value.len()) as u16).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend_from_slice(&about[1..9]);
    bytes.push(code);
    bytes.extend_from_slice(&(value.len() as u16).to_be_bytes());
    bytes.extend_from_slice(value);
    stream.write_all(&bytes).expect("data can be sent");
}

/// Returns the value of a message's parameter, if it has it.
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

/// An emulated command channel. It passes the request line of each poll to the test, which sends the response's body.
pub struct EmulatedCommandChannel {
    pub address: SocketAddr,
    pub polls: Receiver<(TcpStream, String)>,
}

impl EmulatedCommandChannel {
    pub fn start() -> EmulatedCommandChannel {
        EmulatedCommandChannel::listen_at(([127, 0, 0, 1], 0).into())
    }

    pub fn listen_at(address: SocketAddr) -> EmulatedCommandChannel {
        let listener = TcpListener::bind(address).expect("free port");
        let address = listener.local_addr().expect("local address");
        let (sender, polls) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, sender) = (stream.expect("connection is accepted"), sender.clone());
                std::thread::spawn(move || {
                    let reader = BufReader::new(stream.try_clone().expect("stream can be cloned"));
                    for line in reader
                        .lines()
                        .map_while(Result::ok)
                        .filter(|l| l.starts_with("GET "))
                    {
                        let _ =
                            sender.send((stream.try_clone().expect("stream can be cloned"), line));
                    }
                });
            }
        });
        EmulatedCommandChannel { address, polls }
    }

    pub fn poll(&self) -> (TcpStream, String) {
        self.polls
            .recv_timeout(TEST_TIMEOUT)
            .expect("poll is received")
    }

    pub fn respond(&self, mut stream: TcpStream, events: &Value) {
        let body = events.to_string();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream
            .write_all(answer.as_bytes())
            .expect("data can be sent");
    }
}

/// An owner's connection.
pub struct OwnerClient {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl OwnerClient {
    pub fn connect(placer: &PlacerProcess) -> OwnerClient {
        let stream = TcpStream::connect(placer.address).expect("connection is accepted");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("read timeout can be set");
        let reader = BufReader::new(stream.try_clone().expect("stream can be cloned"));
        OwnerClient { stream, reader }
    }

    pub fn send(&mut self, message: &Value) {
        self.stream
            .write_all(format!("{message}\n").as_bytes())
            .expect("data can be sent");
    }

    pub fn receive(&mut self) -> Value {
        let mut line = String::new();
        self.reader.read_line(&mut line).expect("line can be read");
        serde_json::from_str(&line)
            .unwrap_or_else(|_| panic!("expected a JSON answer, got {line:?}"))
    }

    /// Whether the placer closes the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        matches!(self.reader.read_to_end(&mut rest), Ok(0)) || rest.is_empty()
    }
}

pub const TEXT: &str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9 \u{e9}\"\\\u{7}";

pub fn setup(sid: &str, left_ms: u64) -> Value {
    json!({"msg": "open", "sid": sid, "attrs": {"class": "web", "left": left_ms.to_string(), "key": "7f3a9c21e0b4d655",
        "extras": "cores:1;memory:2;service:00000000b4d65521"}, "text": TEXT})
}

pub fn host_update(cursor: u64, name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": {"index": cursor, "snapshot": false, "endpoints": [
        {"name": name, "address": address, "zone": "east", "type": "std", "group": 0, "status": status,
         "weight": 1, "since_ms": 0}]}}]})
}

pub fn config(folder: &Path, channel: SocketAddr, initial_list: &Value) -> PathBuf {
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
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "channel": channel, "known": initial_list});
    let path = folder.join("config.json");
    std::fs::write(&path, config.to_string()).expect("file can be written");
    path
}

/// What a placer that is reconfigured needs: a folder for its configuration, a host, and two command channels.
pub struct ReloadSetup {
    pub folder: tempfile::TempDir,
    pub host: EmulatedHost,
    pub first: EmulatedCommandChannel,
    pub second: EmulatedCommandChannel,
}

impl ReloadSetup {
    pub fn start() -> ReloadSetup {
        ReloadSetup {
            folder: tempfile::tempdir().expect("temporary folder"),
            host: EmulatedHost::start(),
            first: EmulatedCommandChannel::start(),
            second: EmulatedCommandChannel::start(),
        }
    }
}

/// A placer with one host, and an owner that is connected to it.
pub struct SinglePlacer {
    pub _folder: tempfile::TempDir,
    pub _commands: EmulatedCommandChannel,
    pub host: EmulatedHost,
    pub placer: PlacerProcess,
    pub owner: OwnerClient,
}

impl SinglePlacer {
    pub fn start() -> SinglePlacer {
        let folder = tempfile::tempdir().expect("temporary folder");
        let (host, commands) = (EmulatedHost::start(), EmulatedCommandChannel::start());
        let initial_list = host_update(1, "s-1", host.address, "active");
        let placer = PlacerProcess::start(&config(folder.path(), commands.address, &initial_list));
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
    /// Checks that no message is buffered.
    pub fn assert_nothing_received(&self) {
        assert!(self.reader.buffer().is_empty());
    }
}

/// Writes a configuration with changes, and returns its path.
pub fn write_config_with(
    folder: &Path,
    channel: SocketAddr,
    initial_list: &Value,
    change: impl FnOnce(&mut Value),
) -> PathBuf {
    let file = config(folder, channel, initial_list);
    let text = std::fs::read_to_string(&file).expect("file can be read");
    let mut value: Value = serde_json::from_str(&text).expect("valid JSON");
    change(&mut value);
    std::fs::write(&file, value.to_string()).expect("file can be written");
    file
}

pub fn probe(sid: u64) -> Value {
    json!({"msg": "probe", "sid": format!("{sid:016x}"), "attrs": {}, "code": 0})
}

/// Sets the maximum number of descriptors of a placer's process.
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
    .expect("limit can be set");
}

/// The number of open descriptors of a placer's process.
pub fn descriptor_count(placer: &PlacerProcess) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", placer.child.id()))
        .expect("descriptor list can be read")
        .count()
}

/// Waits until a condition holds; panics with its description after `TEST_TIMEOUT`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Accepts every set-up that the host receives until the test ends, each after a pause. Returns a receiver of the ids and
/// arrival times of the set-ups.
pub fn accept_all(host: EmulatedHost, pause: Duration) -> Receiver<(u64, Instant)> {
    let (sender, arrivals) = channel();
    std::thread::spawn(move || {
        for (mut stream, message) in host.messages.iter().filter(|(_, m)| m[0] == 1) {
            let _ = sender.send((setup_id(&message), Instant::now()));
            std::thread::sleep(pause);
            send_from_host(&mut stream, 9, &message, 63, TEXT.as_bytes());
        }
    });
    arrivals
}

/// The task id of a message to a host.
pub fn setup_id(message: &[u8]) -> u64 {
    u64::from_be_bytes(message[1..9].try_into().expect("task id"))
}

/// The message by which an owner hands over a task that is already running on this host.
pub fn running_task(sid: &str, host: &str) -> Value {
    let mut message = setup(sid, 0);
    message["attrs"]
        .as_object_mut()
        .expect("JSON object")
        .remove("left");
    message["attrs"]["extras"] = json!(format!(
        "cores:1;memory:2;service:00000000b4d65521;at:{host}"
    ));
    message
}

/// Writes as much as the kernel takes at once. The stream is non-blocking afterwards.
pub fn write_while_possible(stream: &mut TcpStream, bytes: &[u8]) {
    stream
        .set_nonblocking(true)
        .expect("the mode can be changed");
    let mut written = 0;
    while let Ok(count @ 1..) = stream.write(&bytes[written..]) {
        written += count;
    }
}

/// An address without a listener.
pub fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .expect("free port")
        .local_addr()
        .expect("local address")
}

/// Writes a configuration with this maximum number of descriptors, and a latency objective of 20 s, which allows for answers
/// that a slow or busy machine delays by seconds.
pub fn config_with_long_objective(
    folder: &Path,
    channel: SocketAddr,
    initial_list: &Value,
    sockets: u64,
) -> PathBuf {
    write_config_with(folder, channel, initial_list, |config| {
        config["settings"]["classes"][0]["aimMs"] = json!(20_000.0);
        config["limits"]["sockets"] = json!(sockets);
    })
}

/// A set-up of a task of this service.
pub fn setup_of_service(sid: u64, service: u64) -> Value {
    let mut set_up = setup(&format!("{sid:016x}"), 20_000);
    set_up["attrs"]["key"] = json!(format!("{sid:016x}"));
    set_up["attrs"]["extras"] = json!(format!("cores:0.1;memory:0.1;service:{service:016x}"));
    set_up
}

/// Receives `count` answers: the ids of the placed tasks, and the number of other answers.
pub fn answers(owner: &mut OwnerClient, count: usize) -> (BTreeSet<String>, usize) {
    let (mut placed, mut other) = (BTreeSet::new(), 0);
    for _ in 0..count {
        let answer = owner.receive();
        let sid = answer["sid"].as_str().expect("task id").to_owned();
        if answer["msg"] == "ready" {
            assert!(placed.insert(sid), "second answer for one task: {answer}");
        } else {
            other += 1;
        }
    }
    (placed, other)
}
