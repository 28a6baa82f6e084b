//! The node agent as a process with real workers, driven by a placer's frames. The tests count the tasks that actually
//! ran in the workers' own log.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use maplethread_wire::frame::{self, DuplicatePolicy, Frame, Offer, Reason, ResourceAmounts};

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplethread");

struct Agent {
    child: Child,
    address: String,
}

impl Agent {
    fn start(config: &Path) -> Agent {
        let mut child = Command::new(PROGRAM)
            .args(["--log-format", "json", "agent", "--config"])
            .arg(config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("agent process starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped standard error")).lines();
        let address = loop {
            let line = lines
                .next()
                .expect("log line with the listen address")
                .expect("line can be read");
            let line: serde_json::Value = serde_json::from_str(&line).expect("valid JSON");
            if let Some(address) = line["fields"]["address"]
                .as_str()
                .or(line["address"].as_str())
            {
                break address.to_owned();
            }
        };
        std::thread::spawn(move || lines.for_each(drop));
        Agent { child, address }
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A placer's side of a connection.
struct PlacerConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl PlacerConnection {
    fn greet(agent: &Agent) -> PlacerConnection {
        let stream = TcpStream::connect(&agent.address).expect("connection is accepted");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("read timeout can be set");
        let mut placer = PlacerConnection {
            stream,
            buffer: Vec::new(),
        };
        placer.send(&Frame::Hello {
            major: frame::MAJOR,
            minor: frame::MINOR,
            name: "p".into(),
            started_ms: 1,
            max_offers: 0,
        });
        placer
    }

    fn send(&mut self, frame: &Frame) {
        let mut bytes = Vec::new();
        frame::encode(frame, &mut bytes);
        self.stream.write_all(&bytes).expect("frame can be sent");
    }

    /// Receives the next frame; `None` if the connection has ended.
    fn receive(&mut self) -> Option<Frame> {
        loop {
            let (frame, used) = frame::decode(&self.buffer).expect("valid frames");
            self.buffer.drain(..used);
            if frame.is_some() {
                return frame;
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("reading a frame failed: {e}"),
            }
        }
    }

    fn receive_until(&mut self, wanted: impl Fn(&Frame) -> bool) -> Vec<Frame> {
        let mut all = Vec::new();
        loop {
            let frame = self.receive().expect("connection is open");
            let found = wanted(&frame);
            all.push(frame);
            if found {
                return all;
            }
        }
    }
}

fn offer(attempt: u64, class: &str, duplicate_policy: DuplicatePolicy) -> Frame {
    Frame::Offer(Offer {
        attempt_id: attempt,
        prior_attempts: 0,
        service: "s".into(),
        actor: format!("a{attempt}"),
        class: class.into(),
        request_id: format!("r{attempt}"),
        requested: ResourceAmounts {
            cores: 0.25,
            memory_gib: 0.125,
        },
        priority: 0,
        duplicate_policy,
        expected_duration_ms: 0,
        answer_timeout_ms: 1000,
    })
}

struct AgentFolder {
    config: PathBuf,
    log: PathBuf,
    _folder: tempfile::TempDir,
    name: String,
}

fn agent_folder(name: &str) -> AgentFolder {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (config, log) = (
        folder.path().join("agent.toml"),
        folder.path().join("workers.jsonl"),
    );
    let name = format!("{name}-{}", std::process::id());
    let text = format!(
        r#"name = "{name}"
listen = "127.0.0.1:0"
folder = "agent"
stop_grace_ms = 200
measure_ms = 200
[limits]
cores = 4.0
memory_gib = 8.0
[[program]]
class = "work"
path = "{PROGRAM}"
args = ["worker", "--task={{attempt}}", "--life-log={log}"]
[[program]]
class = "brief"
path = "{PROGRAM}"
args = ["worker", "--task={{attempt}}", "--life-log={log}", "--life-ms=1"]
[[program]]
class = "stubborn"
path = "{PROGRAM}"
args = ["worker", "--task={{attempt}}", "--life-log={log}", "--ignore-term"]
[[program]]
class = "missing"
path = "/nowhere/at/all"
"#,
        log = log.display()
    );
    std::fs::write(&config, text).expect("file can be written");
    AgentFolder {
        config,
        log,
        _folder: folder,
        name,
    }
}

impl AgentFolder {
    /// The number of starts of each attempt, from the workers' log.
    fn starts_by_attempt(&self) -> BTreeMap<u64, u32> {
        let mut starts = BTreeMap::new();
        for line in std::fs::read_to_string(&self.log)
            .unwrap_or_default()
            .lines()
        {
            let line: serde_json::Value =
                serde_json::from_str(line).expect("line of a worker is valid JSON");
            if line["event"] == "start" {
                let task = line["task"].as_str().expect("task id");
                *starts
                    .entry(u64::from_str_radix(task, 16).expect("hexadecimal id"))
                    .or_default() += 1;
            }
        }
        starts
    }
}

impl Drop for AgentFolder {
    fn drop(&mut self) {
        for identity in maplethread_agent::process::find_marked(&self.name)
            .values()
            .flatten()
        {
            maplethread_agent::process::signal_group(
                *identity,
                maplethread_agent::StopMode::Forced,
            );
        }
    }
}

/// The attempts that the agent reports as held.
fn held_attempts(frames: &[Frame]) -> impl Iterator<Item = u64> {
    frames.iter().filter_map(|f| match f {
        Frame::Held(offer, _) => Some(offer.attempt_id),
        _ => None,
    })
}

/// The attempts whose end is reported.
fn finished_attempts(frames: &[Frame]) -> impl Iterator<Item = u64> {
    frames.iter().filter_map(|f| match f {
        Frame::Ended(attempt, ..) => Some(*attempt),
        _ => None,
    })
}

fn is_end_of(attempt: u64) -> impl Fn(&Frame) -> bool {
    move |f| matches!(f, Frame::Ended(a, ..) if *a == attempt)
}

#[test]
fn starts_measures_and_stops_a_process() {
    let folder = agent_folder("plain");
    let agent = Agent::start(&folder.config);
    let mut placer = PlacerConnection::greet(&agent);
    placer.receive_until(|f| matches!(f, Frame::HeldEnd));
    placer.send(&offer(1, "work", DuplicatePolicy::Idempotent));
    let frames = placer
        .receive_until(|f| matches!(f, Frame::Note(1, frame::NoteKind::Memory, x) if *x > 0.0));
    let position_of = |wanted: fn(&Frame) -> bool| {
        frames
            .iter()
            .position(wanted)
            .expect("the frame was received")
    };
    assert!(
        position_of(|f| matches!(f, Frame::Accepted(1, _)))
            < position_of(|f| matches!(f, Frame::Started(1, _)))
    );
    placer.send(&Frame::Stop(1));
    let frames = placer.receive_until(is_end_of(1));
    assert!(
        matches!(
            frames.last(),
            Some(Frame::Ended(1, Reason::Stopped, true, Some(_)))
        ),
        "{frames:?}"
    );

    // A process that ignores SIGTERM is killed; one that exits by itself has completed.
    placer.send(&offer(2, "stubborn", DuplicatePolicy::Idempotent));
    placer.receive_until(|f| matches!(f, Frame::Started(2, _)));
    placer.send(&Frame::Stop(2));
    assert!(matches!(
        placer.receive_until(is_end_of(2)).last(),
        Some(Frame::Ended(2, Reason::Stopped, true, _))
    ));
    placer.send(&offer(3, "brief", DuplicatePolicy::Idempotent));
    assert!(matches!(
        placer.receive_until(is_end_of(3)).last(),
        Some(Frame::Ended(3, Reason::Completed, true, _))
    ));

    // A program that can't be started is reported as never run; a task without a program is rejected.
    placer.send(&offer(4, "missing", DuplicatePolicy::Idempotent));
    assert!(matches!(
        placer.receive_until(is_end_of(4)).last(),
        Some(Frame::Ended(4, Reason::Error, false, _))
    ));
    placer.send(&offer(5, "unknown", DuplicatePolicy::Idempotent));
    let rejection = placer.receive_until(|f| matches!(f, Frame::Refused(5, ..)));
    assert!(matches!(
        rejection.last(),
        Some(Frame::Refused(5, Reason::Ineligible, _))
    ));
    // A second task with a held key is rejected, and so is what exceeds the cores.
    placer.send(&offer(6, "work", DuplicatePolicy::IdempotencyKey(9)));
    placer.receive_until(|f| matches!(f, Frame::Started(6, _)));
    placer.send(&offer(7, "work", DuplicatePolicy::IdempotencyKey(9)));
    assert!(matches!(
        placer
            .receive_until(|f| matches!(f, Frame::Refused(7, ..)))
            .last(),
        Some(Frame::Refused(7, Reason::Ineligible, _))
    ));
    for attempt in 10..26 {
        placer.send(&offer(attempt, "work", DuplicatePolicy::Idempotent));
    }
    let rejection = placer.receive_until(|f| matches!(f, Frame::Refused(25, ..)));
    assert!(
        matches!(rejection.last(), Some(Frame::Refused(25, Reason::Cores, Some(load))) if load.cores < 0.25)
    );
}

#[test]
fn killed_agent_neither_loses_nor_repeats_accepted_tasks() {
    let folder = agent_folder("killed");
    let mut accepted: BTreeSet<u64> = BTreeSet::new();
    let mut finished: BTreeSet<u64> = BTreeSet::new();
    for round in 0..8u64 {
        let mut agent = Agent::start(&folder.config);
        let mut placer = PlacerConnection::greet(&agent);
        // The agent reports every task that it accepted before a kill as held or as ended.
        let greeting = placer.receive_until(|f| matches!(f, Frame::HeldEnd));
        let mut held: BTreeSet<u64> = held_attempts(&greeting).collect();
        finished.extend(finished_attempts(&greeting));
        let missing = |held: &BTreeSet<u64>, finished: &BTreeSet<u64>| {
            accepted
                .iter()
                .any(|a| !held.contains(a) && !finished.contains(a))
        };
        while missing(&held, &finished) {
            if let Some(Frame::Ended(attempt, ..)) = placer.receive() {
                finished.insert(attempt);
                held.remove(&attempt);
            }
        }
        // Stops half of the running tasks, offers new ones, and kills the agent after some of its frames.
        for (n, &attempt) in held.iter().enumerate() {
            if n % 2 == 0 {
                placer.send(&Frame::Stop(attempt));
            }
        }
        for n in 0..6 {
            let class = if n % 3 == 2 { "brief" } else { "work" };
            placer.send(&offer(
                100 * (round + 1) + n,
                class,
                DuplicatePolicy::NonIdempotent,
            ));
        }
        let frames = [1, 2, 4, 7, 9, 12, 3, 5][round as usize];
        let mut received_frames = 0;
        while received_frames < frames
            && let Some(frame) = placer.receive()
        {
            received_frames += u32::from(!matches!(frame, Frame::Note(..)));
            match frame {
                Frame::Accepted(attempt, _) => drop(accepted.insert(attempt)),
                Frame::Ended(attempt, ..) => drop(finished.insert(attempt)),
                _ => {}
            }
        }
        agent.kill();
        // Frames that were in flight when the agent was killed.
        while let Some(frame) = placer.receive() {
            match frame {
                Frame::Accepted(attempt, _) => drop(accepted.insert(attempt)),
                Frame::Ended(attempt, ..) => drop(finished.insert(attempt)),
                _ => {}
            }
        }
    }
    // At the end all held tasks are stopped, and no process may be left.
    let agent = Agent::start(&folder.config);
    let mut placer = PlacerConnection::greet(&agent);
    let greeting = placer.receive_until(|f| matches!(f, Frame::HeldEnd));
    let mut held: BTreeSet<u64> = held_attempts(&greeting).collect();
    finished.extend(finished_attempts(&greeting));
    held.iter()
        .for_each(|&attempt| placer.send(&Frame::Stop(attempt)));
    while !held.is_empty() || accepted.iter().any(|a| !finished.contains(a)) {
        if let Some(Frame::Ended(attempt, ..)) = placer.receive() {
            held.remove(&attempt);
            finished.insert(attempt);
        }
    }
    let starts = folder.starts_by_attempt();
    assert!(
        starts.values().all(|&n| n == 1),
        "a task was started twice: {starts:?}"
    );
    assert!(
        accepted.len() >= 8 && starts.len() >= 8,
        "expected at least 8 accepted and started tasks, got {accepted:?} and {starts:?}"
    );
    assert!(
        maplethread_agent::process::find_marked(&folder.name).is_empty(),
        "a worker process is left"
    );
}
