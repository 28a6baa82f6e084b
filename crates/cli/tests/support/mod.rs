//! A real placer process between scripted hosts and scripted clients, on free loopback ports.
#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use maplethread_wire::frame::{self, Frame, Offer};
use maplethread_wire::http::{self, Limits, Message, MessageReader, ReadResult, Role};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Long enough for a slow machine; nothing waits so long when all is well.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// One connection of the placer to a scripted host.
pub struct Link {
    stream: TcpStream,
    buffer: Vec<u8>,
    pub placer: String,
    pub life: u64,
}

impl Link {
    pub fn send(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).expect("the placer reads");
    }

    /// The next frame but pings, which are answered; nothing if the connection has ended or `within` is over.
    pub fn next_within(&mut self, within: Duration) -> Option<Frame> {
        let until = Instant::now() + within;
        loop {
            match self.read_frame(until)? {
                Frame::Ping(nonce) => self.send(&Frame::Pong(nonce)),
                frame => return Some(frame),
            }
        }
    }

    /// The next frame, of whichever kind; nothing is answered.
    pub fn next_silently(&mut self) -> Option<Frame> {
        self.read_frame(Instant::now() + PATIENCE)
    }

    fn read_frame(&mut self, until: Instant) -> Option<Frame> {
        loop {
            let (frame, used) = frame::decode(&self.buffer).expect("sound frames");
            self.buffer.drain(..used);
            if frame.is_some() {
                return frame;
            }
            let left = until.checked_duration_since(Instant::now())?;
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))
                .expect("a timeout");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    pub fn next(&mut self) -> Frame {
        self.next_within(PATIENCE).expect("a frame from the placer")
    }

    pub fn offer(&mut self) -> Offer {
        loop {
            if let Frame::Offer(offer) = self.next() {
                return offer;
            }
        }
    }

    /// Frames that come within a while.
    pub fn all_within(&mut self, within: Duration) -> Vec<Frame> {
        let until = Instant::now() + within;
        let mut frames = Vec::new();
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            frames.extend(self.next_within(left));
        }
        frames
    }

    /// The bare connection.
    pub fn into_stream(self) -> TcpStream {
        assert!(self.buffer.is_empty(), "frames are left unread");
        self.stream
            .set_read_timeout(Some(PATIENCE))
            .expect("a timeout");
        self.stream
    }
}

/// A host whose answers the test gives.
pub struct ScriptedHost {
    listener: TcpListener,
    pub name: String,
    pub zone: String,
    pub cell: String,
    pub started_ms: u64,
}

impl ScriptedHost {
    pub fn new(name: &str, zone: &str, cell: &str) -> ScriptedHost {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let (name, zone, cell) = (name.to_owned(), zone.to_owned(), cell.to_owned());
        ScriptedHost {
            listener,
            name,
            zone,
            cell,
            started_ms: 1,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Takes the placer's connection and greets, naming what it holds.
    pub fn greet(&self, held: &[Frame]) -> Link {
        let (stream, _) = self.listener.accept().expect("the placer connects");
        stream.set_nodelay(true).expect("a socket");
        let mut link = Link {
            stream,
            buffer: Vec::new(),
            placer: String::new(),
            life: 0,
        };
        match link.next() {
            Frame::Hello {
                name, started_ms, ..
            } => (link.placer, link.life) = (name, started_ms),
            other => panic!("a placer greets first, not {other:?}"),
        }
        link.send(&Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: self.name.clone(),
            started_ms: self.started_ms,
            max_offers: 8,
        });
        held.iter().for_each(|frame| link.send(frame));
        link.send(&Frame::HeldEnd);
        link
    }

    /// The next connection, without greeting.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("the placer connects").0
    }
}

/// A placer process and its files.
pub struct Placer {
    folder: tempfile::TempDir,
    child: Option<Child>,
    pub address: SocketAddr,
}

pub const CLASSES: &str = r#"
[[class]]
name = "web-api"
effect = "safe"
aim_ms = 400

[[class]]
name = "ledger-batch"
effect = "keyed"
group = "zone"
window_ms = 5000
aim_ms = 400

[[class]]
name = "statements"
effect = "unsafe"
aim_ms = 400

[[class]]
name = "spread"
effect = "safe"
aim_ms = 400
spread_over = "host"
spread_most = 2
"#;

impl Placer {
    /// Writes the files; nothing runs yet. Lines of `api` go into that table.
    pub fn files(hosts: &[&ScriptedHost], api: &str) -> Placer {
        let folder = tempfile::tempdir().expect("a folder");
        let config = format!(
            r#"
[placer]
name = "p0"
number = 0
placers = 1
zone = "a"
zones = ["a", "b"]
seed = 5

[api]
listen = "127.0.0.1:0"
{api}

[hosts]
inventory = "hosts.toml"
reconnect_first_ms = 20
reconnect_most_ms = 50

[placing]
max_attempts = 3

[rules]
cold_from = 0.2
cold_for_ms = 2000
fall_multiple = 4.0
fall_window_ms = 1000
fresh_offers = 10.0

[[kind]]
name = "std"
cores = 1000.0
memory_gib = 1000.0
{CLASSES}"#
        );
        std::fs::write(folder.path().join("placer.toml"), config).expect("a file");
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let placer = Placer {
            folder,
            child: None,
            address,
        };
        placer.inventory(&hosts.iter().map(|h| (*h, "ready")).collect::<Vec<_>>());
        placer
    }

    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    pub fn log(&self) -> PathBuf {
        self.folder.path().join("placer.log")
    }

    /// Replaces the inventory atomically.
    pub fn inventory(&self, hosts: &[(&ScriptedHost, &str)]) {
        let mut text = String::new();
        for (h, state) in hosts {
            text += &format!(
                "[[host]]\nname = \"{}\"\naddress = \"{}\"\nzone = \"{}\"\ncell = \"{}\"\nkind = \"std\"\nstate = \"{state}\"\n",
                h.name,
                h.address(),
                h.zone,
                h.cell
            );
        }
        self.raw_inventory(&text);
    }

    pub fn raw_inventory(&self, text: &str) {
        let new = self.folder.path().join("hosts.toml.new");
        std::fs::write(&new, text).expect("a file");
        std::fs::rename(&new, self.folder.path().join("hosts.toml")).expect("a folder");
    }

    /// Starts the process; its address is known once all hosts are greeted.
    pub fn start(&mut self) -> impl FnOnce(&mut Placer) + use<> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())
            .expect("a log");
        let mut child = Command::new(env!("CARGO_BIN_EXE_maplethread"))
            .args(["placer", "--log", "debug", "--config"])
            .arg(self.folder.path().join("placer.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .expect("the placer starts");
        let out = child.stdout.take().expect("piped");
        self.child = Some(child);
        move |placer: &mut Placer| {
            let mut line = String::new();
            BufReader::new(out).read_line(&mut line).expect("a line");
            let address = line.trim().rsplit(' ').next().and_then(|a| a.parse().ok());
            placer.address = address.unwrap_or_else(|| {
                panic!(
                    "no address: {}",
                    std::fs::read_to_string(placer.log()).unwrap_or_default()
                )
            });
        }
    }

    pub fn pid(&self) -> Pid {
        Pid::from_child(self.child.as_ref().expect("started"))
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("the placer runs");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to leave by itself.
    pub fn left(&mut self) -> std::process::ExitStatus {
        self.child.take().expect("started").wait().expect("a child")
    }

    /// Memory, KiB.
    pub fn rss_kib(&self) -> u64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.pid().as_raw_nonzero()))
                .expect("runs");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .expect("a line");
        line.split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a number")
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the placer listens");
        stream.set_nodelay(true).expect("a socket");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        Client {
            stream,
            reader: MessageReader::new(Role::Responses, Limits::default()),
            buffer: Vec::new(),
        }
    }

    pub fn status(&self) -> Value {
        self.client().call("GET", "/v1/status", "").1
    }

    /// Waits until the status shows what is wanted.
    pub fn wait_for(&self, what: &str, shown: impl Fn(&Value) -> bool) -> Value {
        let until = Instant::now() + PATIENCE;
        loop {
            let status = self.status();
            if shown(&status) {
                return status;
            }
            assert!(Instant::now() < until, "never came about: {what}; {status}");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!(
                "{}",
                std::fs::read_to_string(self.log()).unwrap_or_default()
            );
        }
        self.kill();
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: MessageReader,
    buffer: Vec<u8>,
}

impl Client {
    pub fn write(&mut self, method: &str, target: &str, fields: &[(&str, &str)], body: &str) {
        let mut out = Vec::new();
        let mut all = vec![("Host", "placer")];
        all.extend_from_slice(fields);
        http::write_request(&mut out, method, target, &all, body.as_bytes());
        self.stream.write_all(&out).expect("the placer reads");
    }

    /// The next answer; nothing if the connection ended.
    pub fn answer(&mut self) -> Option<Message> {
        loop {
            match self.reader.read(&self.buffer).expect("sound HTTP") {
                (ReadResult::Message(message), used) => {
                    self.buffer.drain(..used);
                    return Some(message);
                }
                (_, used) => drop(self.buffer.drain(..used)),
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no answer: {e}"),
            }
        }
    }

    pub fn json(&mut self) -> (u16, Value) {
        let message = self.answer().expect("an answer");
        let body = serde_json::from_slice(&message.body).unwrap_or(Value::Null);
        (message.head.status(), body)
    }

    pub fn call(&mut self, method: &str, target: &str, body: &str) -> (u16, Value) {
        self.write(method, target, &[], body);
        self.json()
    }

    /// Asks without waiting for the answer.
    pub fn ask(&mut self, body: &str, request: &str) {
        self.write("POST", "/v1/actors", &[("X-Request-Id", request)], body);
    }
}

pub fn ask(class: &str, service: &str, actor: &str, budget_ms: u64) -> String {
    format!(
        r#"{{"service":"{service}","actor":"{actor}","class":"{class}","cores":1,"memory_gib":1,"budget_ms":{budget_ms}}}"#
    )
}

/// A placer with these hosts, all greeted and holding nothing.
pub fn world(hosts: &[&ScriptedHost]) -> (Placer, Vec<Link>) {
    let mut placer = Placer::files(hosts, "");
    let ready = placer.start();
    let links = hosts.iter().map(|h| h.greet(&[])).collect();
    ready(&mut placer);
    (placer, links)
}
