//! Hosts: they accept the tasks that they are offered, hold them and release them, by the protocol page.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::{could_not_run, Record};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn shutdown(fd: i32, how: i32) -> i32;
}

pub const OPEN: u8 = 1;
pub const READY: u8 = 9;
pub const CLOSE: u8 = 12;
pub const EVENT: u8 = 44;
pub const PROBE: u8 = 52;
pub const PROBED: u8 = 53;

/// Resets a connection: it is closed with unsent data thrown away and a reset.
pub fn reset(stream: &TcpStream) {
    // struct linger { int l_onoff; int l_linger; }: on, no time.
    let linger = [1i32.to_ne_bytes(), 0i32.to_ne_bytes()].concat();
    // SAFETY: the descriptor is open, and the value has the length given. 1 is SOL_SOCKET, 13 SO_LINGER.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    // With no linger time, closing the last descriptor resets; a connect to an unspecified address does at once.
    // AF_UNSPEC disconnects a TCP socket with a reset.
    extern "C" {
        fn connect(fd: i32, address: *const u8, length: u32) -> i32;
    }
    let unspecified = [0u8; 16];
    // SAFETY: the address is a zeroed sockaddr of the length given.
    unsafe { connect(stream.as_raw_fd(), unspecified.as_ptr(), 16) };
}

/// One process on a host's machine.
#[derive(Default)]
struct State {
    /// The id of the host whose process answers new connections.
    host: String,
    /// Counts processes. Connections of earlier ones are not served any more.
    process: u64,
    /// The machine has vanished, or its process is dead: no new connection is served, and nothing comes on open ones.
    is_down: bool,
    /// Offers are answered with a release of this cause.
    refuse: Option<u8>,
    /// Offers get no answer, though their tasks run.
    swallow_answers: bool,
    connections: BTreeMap<u64, TcpStream>,
    /// The connections of a machine that has vanished; they stay open and say nothing.
    frozen: Vec<TcpStream>,
    last_connection: u64,
    /// Running tasks, with the connection of their set-up.
    tasks: BTreeMap<String, u64>,
    /// Releases that are also sent on the next connection opened.
    releases: Vec<(String, u8)>,
    /// All set-ups that started a task here: when, under which host id, and which.
    started: Vec<(f64, String, String)>,
    /// What fills the queue of connections while the machine is silent.
    fill: Vec<TcpStream>,
    /// Set-ups that were given up, with their connection.
    given_up: BTreeSet<(u64, String)>,
}

#[derive(Clone)]
pub struct Host {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    listener: Arc<TcpListener>,
    record: Record,
}

pub fn message(kind: u8, sid: &str, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend_from_slice(&u64::from_str_radix(sid, 16).unwrap_or(0).to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend_from_slice(&(value.len() as u16).to_be_bytes());
        body.extend_from_slice(value);
    }
    let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes
}

pub fn parameter(body: &[u8], wanted: u8) -> Option<&[u8]> {
    let mut rest = body.get(9..)?;
    while let [code, high, low, more @ ..] = rest {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        let value = more.get(..length)?;
        if *code == wanted {
            return Some(value);
        }
        rest = &more[length..];
    }
    None
}

impl Host {
    pub fn start(record: &Record, name: &str) -> Host {
        // A port of its own: one that the system has chosen is lost when the process dies.
        let listener = loop {
            if let Ok(listener) = TcpListener::bind(crate::placer::free_address()) {
                break listener;
            }
        };
        let host = Host {
            address: listener
                .local_addr()
                .unwrap_or_else(|_| could_not_run("host")),
            state: Arc::new(Mutex::new(State {
                host: name.to_owned(),
                ..State::default()
            })),
            listener: Arc::new(listener),
            record: record.clone(),
        };
        let _ = host.listener.set_nonblocking(true);
        let accepting = host.clone();
        std::thread::spawn(move || loop {
            if !accepting.lock().is_down {
                while let Ok((stream, _)) = accepting.listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    accepting.accepted(stream);
                }
            }
            std::thread::sleep(Duration::from_micros(500));
        });
        host
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|_| could_not_run("host state"))
    }

    fn accepted(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut state = self.lock();
        state.last_connection += 1;
        let (number, process, name) = (state.last_connection, state.process, state.host.clone());
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        self.record
            .line(format!("host {name}: connection {number} is opened"));
        // Releases are sent also on the next connection opened.
        let releases = std::mem::take(&mut state.releases);
        let mut writing = stream;
        for (sid, cause) in releases {
            self.record.line(format!(
                "host {name}: release of {sid}, cause {cause}, also on connection {number}"
            ));
            let _ = writing.write_all(&message(CLOSE, &sid, &[(61, &[cause])]));
        }
        state.connections.insert(number, writing);
        drop(state);
        let host = self.clone();
        std::thread::spawn(move || host.serve(reading, number, process));
    }

    fn serve(&self, mut reading: TcpStream, number: u64, process: u64) {
        let mut length = [0; 2];
        while reading.read_exact(&mut length).is_ok() {
            let mut body = vec![0; usize::from(u16::from_be_bytes(length))];
            if reading.read_exact(&mut body).is_err() {
                break;
            }
            let is_current = self.lock().process == process;
            if !is_current {
                // The process is gone. Once another one answers at the address, nobody knows this connection there.
                while self.lock().is_down {
                    std::thread::sleep(Duration::from_millis(1));
                }
                self.record.line(format!(
                    "connection {number} of an earlier process is reset"
                ));
                reset(&reading);
                return;
            }
            self.handle(number, process, &body);
        }
        let mut state = self.lock();
        if state.process == process && state.connections.remove(&number).is_some() {
            let name = state.host.clone();
            drop(state);
            self.record
                .line(format!("host {name}: connection {number} has ended"));
        }
    }

    fn handle(&self, number: u64, process: u64, body: &[u8]) {
        let sid = format!(
            "{:016x}",
            u64::from_be_bytes(body[1..9].try_into().unwrap_or_default())
        );
        match body[0] {
            OPEN => {
                let class =
                    String::from_utf8_lossy(parameter(body, 33).unwrap_or_default()).into_owned();
                let wait =
                    String::from_utf8_lossy(parameter(body, 35).unwrap_or_default()).into_owned();
                let name = self.lock().host.clone();
                self.record.line(format!("host {name}: set-up {sid} of {class} on connection {number}, answer within {wait} ms"));
                let host = self.clone();
                std::thread::spawn(move || {
                    // One offer takes some milliseconds to look at.
                    std::thread::sleep(Duration::from_millis(17));
                    host.answer(number, process, &sid);
                });
            }
            CLOSE => {
                let cause = parameter(body, 61)
                    .and_then(|value| value.first().copied())
                    .unwrap_or(0);
                let mut state = self.lock();
                let name = state.host.clone();
                self.record
                    .line(format!("host {name}: close of {sid}, cause {cause}"));
                state.given_up.insert((number, sid.clone()));
                if state.tasks.remove(&sid).is_some() {
                    self.record
                        .line(format!("host {name}: task {sid} is ended by the placer"));
                    let bytes = message(CLOSE, &sid, &[(61, &[31])]);
                    if let Some(stream) = state.connections.get_mut(&number) {
                        let _ = stream.write_all(&bytes);
                    }
                }
            }
            PROBE => {
                let mut state = self.lock();
                let name = state.host.clone();
                self.record
                    .line(format!("host {name}: test on connection {number}, passed"));
                if let Some(stream) = state.connections.get_mut(&number) {
                    let _ = stream.write_all(&message(PROBED, &sid, &[(61, &[1])]));
                }
            }
            _ => {}
        }
    }

    fn answer(&self, number: u64, process: u64, sid: &str) {
        let mut state = self.lock();
        if state.process != process || state.is_down {
            return;
        }
        let name = state.host.clone();
        if let Some(cause) = state.refuse {
            self.record
                .line(format!("host {name}: {sid} refused, cause {cause}"));
            if let Some(stream) = state.connections.get_mut(&number) {
                let _ = stream.write_all(&message(CLOSE, sid, &[(61, &[cause]), (47, b"nc")]));
            }
            return;
        }
        let is_open = state.connections.contains_key(&number);
        if !is_open || state.given_up.contains(&(number, sid.to_owned())) {
            self.record
                .line(format!("host {name}: {sid} was given up before it ran"));
            return;
        }
        state.tasks.insert(sid.to_owned(), number);
        state
            .started
            .push((self.record.now(), name.clone(), sid.to_owned()));
        let is_swallowed = state.swallow_answers;
        self.record.line(format!(
            "host {name}: {sid} runs{}",
            if is_swallowed {
                ", its answer is lost"
            } else {
                ""
            }
        ));
        if is_swallowed {
            return;
        }
        let text = format!("{sid}\r\nh={name}\r\n");
        if let Some(stream) = state.connections.get_mut(&number) {
            let _ = stream.write_all(&message(READY, sid, &[(63, text.as_bytes())]));
            let _ = stream.write_all(&message(EVENT, sid, &[(47, b"live"), (57, b"1")]));
            let _ = stream.write_all(&message(EVENT, sid, &[(47, b"c"), (57, b"0.3")]));
            let _ = stream.write_all(&message(EVENT, sid, &[(47, b"m"), (57, b"1")]));
        }
    }

    /// Tells what a running task uses.
    pub fn note_use(&self, sid: &str) {
        let mut state = self.lock();
        let Some(&number) = state.tasks.get(sid) else {
            return;
        };
        let number = if state.connections.contains_key(&number) {
            number
        } else {
            state.connections.keys().next().copied().unwrap_or(0)
        };
        if let Some(stream) = state.connections.get_mut(&number) {
            self.record.line(format!("host: note on the use of {sid}"));
            let _ = stream.write_all(&message(EVENT, sid, &[(47, b"c"), (57, b"0.3")]));
        }
    }

    /// Ends a task and releases it: on the connection of its set-up, or else on any open one, and on the next one opened.
    pub fn end_task(&self, sid: &str, cause: u8) -> bool {
        let mut state = self.lock();
        let Some(number) = state.tasks.remove(sid) else {
            return false;
        };
        let name = state.host.clone();
        state.releases.push((sid.to_owned(), cause));
        let number = if state.connections.contains_key(&number) {
            Some(number)
        } else {
            state.connections.keys().next().copied()
        };
        self.record.line(format!(
            "host {name}: {sid} ends, release with cause {cause} on connection {number:?}"
        ));
        if let Some(stream) = number.and_then(|number| state.connections.get_mut(&number)) {
            let _ = stream.write_all(&message(CLOSE, sid, &[(61, &[cause])]));
        }
        true
    }

    /// The host holds a task that was placed before the run.
    pub fn hold(&self, sid: &str) {
        let mut state = self.lock();
        self.record
            .line(format!("host {} holds {sid} from before", state.host));
        state.tasks.insert(sid.to_owned(), 0);
    }

    /// Tells every `interval_ms` what one of the running tasks uses.
    pub fn note_use_every(&self, interval_ms: u64) {
        let host = self.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(interval_ms));
            if let Some(sid) = host.tasks().first() {
                host.note_use(sid);
            }
        });
    }

    pub fn holds(&self, sid: &str) -> bool {
        self.lock().tasks.contains_key(sid)
    }

    pub fn tasks(&self) -> Vec<String> {
        self.lock().tasks.keys().cloned().collect()
    }

    /// The tasks that were started here.
    pub fn started(&self) -> Vec<(f64, String, String)> {
        self.lock().started.clone()
    }

    pub fn connection_count(&self) -> usize {
        self.lock().connections.len()
    }

    pub fn set_refuse(&self, cause: Option<u8>) {
        self.lock().refuse = cause;
    }

    pub fn set_swallow_answers(&self, is_on: bool) {
        self.lock().swallow_answers = is_on;
    }

    /// The host's process dies: its connections are reset, its tasks are cut, and connections are refused until
    /// `come_back`. Returns the tasks that were cut.
    pub fn die(&self) -> Vec<String> {
        let mut state = self.lock();
        state.is_down = true;
        state.process += 1;
        // SAFETY: the descriptor is a listening socket. 0 is SHUT_RD, which ends listening until `listen` is called.
        unsafe { shutdown(self.listener.as_raw_fd(), 0) };
        let cut: Vec<String> = std::mem::take(&mut state.tasks).into_keys().collect();
        state.releases.clear();
        self.record.line(format!(
            "host {} dies, its tasks are cut: {}",
            state.host,
            cut.join(" ")
        ));
        for stream in std::mem::take(&mut state.connections).values() {
            reset(stream);
        }
        cut
    }

    /// The machine vanishes: open connections stay open and say nothing, and new ones never come up. Returns the tasks that
    /// are cut.
    pub fn vanish(&self) -> Vec<String> {
        let mut state = self.lock();
        state.is_down = true;
        state.process += 1;
        let cut: Vec<String> = std::mem::take(&mut state.tasks).into_keys().collect();
        state.releases.clear();
        let connections = std::mem::take(&mut state.connections);
        state.frozen.extend(connections.into_values());
        self.record.line(format!(
            "host {} vanishes, its tasks are cut: {}",
            state.host,
            cut.join(" ")
        ));
        drop(state);
        self.stop_accepting();
        cut
    }

    /// From now on no new connection comes up: the queue of connections that nobody accepts is full.
    fn stop_accepting(&self) {
        // SAFETY: the descriptor is a listening socket; a second call only changes the length of its queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        for _ in 0..8 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(40)) {
                Ok(stream) => self.lock().fill.push(stream),
                Err(_) => return,
            }
        }
        could_not_run("new connections to a silent host come up");
    }

    /// A machine that has vanished or whose process has died comes back, or another one takes its address, with the process of the host `name`, which
    /// holds no task. It knows nothing of the old connections and resets them when something comes on them.
    pub fn come_back(&self, name: &str) {
        let mut state = self.lock();
        state.fill.clear();
        state.host = name.to_owned();
        // SAFETY: as in `stop_accepting`.
        unsafe { listen(self.listener.as_raw_fd(), 128) };
        state.is_down = false;
        self.record.line(format!(
            "host {name} answers at {}, with no task",
            self.address
        ));
    }
}
