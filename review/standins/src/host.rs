//! A host of the platform: it examines one set-up at a time, answers, keeps standing tasks and releases them.

use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

const OPEN: u8 = 1;
const READY: u8 = 9;
const CLOSE: u8 = 12;
const PROBE: u8 = 52;
const PROBED: u8 = 53;
const CLASS: u8 = 33;
const REASON: u8 = 47;
const CAUSE: u8 = 61;
const DESCRIPTION: u8 = 63;

/// What a host does with a set-up that it has examined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Accept,
    /// Accepts it, but the answer is lost on its way.
    AcceptUnheard,
    /// Refuses it with cause 34 and the note `nc` (no cores): it never ran.
    Refuse,
}

/// Decides on set-ups: host name, id of the set-up, class.
pub type Decide = Arc<dyn Fn(&str, &str, &str) -> Answer + Send + Sync>;

/// One attempt, as the host saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub setup: String,
    pub host: String,
    pub connection: u64,
    /// When the set-up had reached the host whole.
    pub from: Duration,
    /// When its end was written or it was given up.
    pub until: Option<Duration>,
}

/// All attempts that reached a host, in the order of their arrival.
pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

struct Connection {
    id: u64,
    stream: TcpStream,
    unread: Vec<u8>,
    is_open: bool,
}

struct Offer {
    due: Duration,
    connection: u64,
    setup: String,
    class: String,
}

#[derive(Default)]
struct Orders {
    /// Tasks that come to their end now.
    end: Vec<String>,
}

pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    orders: Arc<Mutex<Orders>>,
    standing: Arc<Mutex<BTreeMap<String, u64>>>,
}

impl Host {
    pub fn start(
        name: &str,
        record: &Record,
        attempts: &Attempts,
        examine: Duration,
        decide: Decide,
    ) -> std::io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let orders = Arc::new(Mutex::new(Orders::default()));
        let standing = Arc::new(Mutex::new(BTreeMap::new()));
        let mut state = State {
            name: name.to_owned(),
            record: record.clone(),
            attempts: attempts.clone(),
            examine,
            decide,
            connections: Vec::new(),
            last_connection: 0,
            offers: VecDeque::new(),
            standing: standing.clone(),
            releases_to_repeat: Vec::new(),
            orders: orders.clone(),
        };
        std::thread::spawn(move || {
            loop {
                state.turn(&listener);
                std::thread::sleep(Duration::from_micros(300));
            }
        });
        Ok(Host {
            name: name.to_owned(),
            address,
            orders,
            standing,
        })
    }

    /// Lets a standing task come to its end: the host releases it with cause 16.
    pub fn end_task(&self, setup: &str) {
        let mut orders = self.orders.lock().expect("no thread panics");
        orders.end.push(setup.to_owned());
    }

    /// Whether the task stands on this host.
    pub fn holds(&self, setup: &str) -> bool {
        self.standing
            .lock()
            .expect("no thread panics")
            .contains_key(setup)
    }
}

struct State {
    name: String,
    record: Record,
    attempts: Attempts,
    examine: Duration,
    decide: Decide,
    connections: Vec<Connection>,
    last_connection: u64,
    offers: VecDeque<Offer>,
    /// Standing tasks, with the connections of their set-ups.
    standing: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Releases that are sent also on the next connection opened.
    releases_to_repeat: Vec<(String, u8)>,
    orders: Arc<Mutex<Orders>>,
}

impl State {
    fn turn(&mut self, listener: &TcpListener) {
        self.read_connections();
        if let Ok((stream, _)) = listener.accept() {
            // What came on other connections before this one was opened is handled before it.
            self.read_connections();
            self.accept(stream);
        }
        let ended = std::mem::take(&mut self.orders.lock().expect("no thread panics").end);
        for setup in ended {
            self.release(&setup, 16, "its end");
        }
        while self
            .offers
            .front()
            .is_some_and(|offer| offer.due <= self.record.now())
        {
            let offer = self.offers.pop_front().expect("front was checked");
            self.answer(offer);
        }
    }

    fn accept(&mut self, stream: TcpStream) {
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        self.last_connection += 1;
        let id = self.last_connection;
        self.log(&format!("connection {id} opened"));
        self.connections.push(Connection {
            id,
            stream,
            unread: Vec::new(),
            is_open: true,
        });
        for (setup, cause) in std::mem::take(&mut self.releases_to_repeat) {
            self.log(&format!(
                "sends close {setup} cause {cause} on connection {id} (a release, also on the next connection opened)"
            ));
            self.send(id, CLOSE, &setup, &[(CAUSE, &[cause])]);
        }
    }

    fn read_connections(&mut self) {
        for index in 0..self.connections.len() {
            let connection = &mut self.connections[index];
            let mut buffer = [0; 4096];
            while connection.is_open {
                match connection.stream.read(&mut buffer) {
                    Ok(0) => connection.is_open = false,
                    Ok(count) => connection.unread.extend_from_slice(&buffer[..count]),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                    Err(error) if error.kind() == ErrorKind::Interrupted => {}
                    Err(_) => connection.is_open = false,
                }
            }
            let id = connection.id;
            while let Some(message) = self.next_message(index) {
                self.handle(id, &message);
            }
        }
        let closed: Vec<u64> = self
            .connections
            .iter()
            .filter(|connection| !connection.is_open)
            .map(|connection| connection.id)
            .collect();
        for id in closed {
            self.log(&format!(
                "connection {id} closed: gives up the set-ups open on it"
            ));
            self.connections.retain(|connection| connection.id != id);
            let given_up: Vec<String> = self
                .offers
                .iter()
                .filter(|offer| offer.connection == id)
                .map(|offer| offer.setup.clone())
                .collect();
            self.offers.retain(|offer| offer.connection != id);
            for setup in given_up {
                self.end_attempt(&setup, id);
            }
        }
    }

    fn next_message(&mut self, index: usize) -> Option<Vec<u8>> {
        let unread = &mut self.connections[index].unread;
        let length = 2 + usize::from(u16::from_be_bytes([*unread.first()?, *unread.get(1)?]));
        if unread.len() < length {
            return None;
        }
        let message = unread[2..length].to_vec();
        unread.drain(..length);
        Some(message)
    }

    fn handle(&mut self, connection: u64, message: &[u8]) {
        if message.len() < 9 {
            return;
        }
        let setup = message[1..9].iter().map(|b| format!("{b:02x}")).collect();
        match message[0] {
            OPEN => self.handle_offer(connection, setup, message),
            CLOSE => self.handle_close(connection, &setup, message),
            PROBE => self.send(connection, PROBED, &setup, &[(CAUSE, &[1])]),
            _ => {}
        }
    }

    fn handle_offer(&mut self, connection: u64, setup: String, message: &[u8]) {
        let class = parameter(message, CLASS).unwrap_or_default();
        let class = String::from_utf8_lossy(class).into_owned();
        self.log(&format!(
            "receives open {setup} class {class} on connection {connection}"
        ));
        let now = self.record.now();
        self.attempts
            .lock()
            .expect("no thread panics")
            .push(Attempt {
                setup: setup.clone(),
                host: self.name.clone(),
                connection,
                from: now,
                until: None,
            });
        let begins = self.offers.back().map_or(now, |offer| offer.due.max(now));
        self.offers.push_back(Offer {
            due: begins + self.examine,
            connection,
            setup,
            class,
        });
    }

    fn handle_close(&mut self, connection: u64, setup: &str, message: &[u8]) {
        let cause = parameter(message, CAUSE).and_then(|c| c.first().copied());
        let cause = cause.unwrap_or(0);
        self.log(&format!(
            "receives close {setup} cause {cause} on connection {connection}"
        ));
        let before = self.offers.len();
        self.offers
            .retain(|offer| !(offer.setup == setup && offer.connection == connection));
        if self.offers.len() < before {
            self.end_attempt(setup, connection);
        } else if self.holds(setup) {
            self.release(setup, 41, "cut by the placer's release");
        }
    }

    fn holds(&self, setup: &str) -> bool {
        let standing = self.standing.lock().expect("no thread panics");
        standing.contains_key(setup)
    }

    fn answer(&mut self, offer: Offer) {
        let Offer {
            connection,
            setup,
            class,
            ..
        } = offer;
        if self.holds(&setup) {
            // A copy stands: a further offer is turned away.
            self.log(&format!(
                "sends close {setup} cause 34 nh on connection {connection}: a copy stands"
            ));
            self.end_attempt(&setup, connection);
            return self.send(
                connection,
                CLOSE,
                &setup,
                &[(CAUSE, &[34]), (REASON, b"nh")],
            );
        }
        match (self.decide)(&self.name, &setup, &class) {
            Answer::Refuse => {
                self.log(&format!(
                    "sends close {setup} cause 34 nc on connection {connection}"
                ));
                self.end_attempt(&setup, connection);
                self.send(
                    connection,
                    CLOSE,
                    &setup,
                    &[(CAUSE, &[34]), (REASON, b"nc")],
                );
            }
            answer => {
                let is_lost = answer == Answer::AcceptUnheard;
                let fate = if is_lost {
                    " (lost on its way to the placer)"
                } else {
                    ""
                };
                self.log(&format!(
                    "starts {setup}; sends ready on connection {connection}{fate}"
                ));
                self.end_attempt(&setup, connection);
                self.standing
                    .lock()
                    .expect("no thread panics")
                    .insert(setup.clone(), connection);
                if !is_lost {
                    let description = format!("{} runs {setup}", self.name);
                    self.send(
                        connection,
                        READY,
                        &setup,
                        &[(DESCRIPTION, description.as_bytes())],
                    );
                }
            }
        }
    }

    /// Ends a standing task. Its release goes on the connection of its set-up, otherwise on any open one, and also on the
    /// next connection opened.
    fn release(&mut self, setup: &str, cause: u8, why: &str) {
        let Some(on) = self
            .standing
            .lock()
            .expect("no thread panics")
            .remove(setup)
        else {
            return;
        };
        let is_open = self.connections.iter().any(|c| c.id == on);
        let on = if is_open {
            Some(on)
        } else {
            self.connections.first().map(|c| c.id)
        };
        self.log(&format!("ends {setup}: {why}"));
        if let Some(on) = on {
            self.log(&format!(
                "sends close {setup} cause {cause} on connection {on}"
            ));
            self.send(on, CLOSE, setup, &[(CAUSE, &[cause])]);
        }
        self.releases_to_repeat.push((setup.to_owned(), cause));
    }

    /// Records that the end of an attempt was written, or that it was given up.
    fn end_attempt(&self, setup: &str, connection: u64) {
        let now = self.record.now();
        let mut attempts = self.attempts.lock().expect("no thread panics");
        for attempt in attempts.iter_mut().filter(|attempt| {
            attempt.setup == setup
                && attempt.host == self.name
                && attempt.connection == connection
                && attempt.until.is_none()
        }) {
            attempt.until = Some(now);
        }
    }

    fn send(&mut self, connection: u64, kind: u8, setup: &str, parameters: &[(u8, &[u8])]) {
        let mut body = vec![kind];
        body.extend(
            u64::from_str_radix(setup, 16)
                .expect("16 hex digits")
                .to_be_bytes(),
        );
        for (code, value) in parameters {
            body.push(*code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend_from_slice(value);
        }
        let mut bytes = (body.len() as u16).to_be_bytes().to_vec();
        bytes.extend(body);
        if let Some(connection) = self.connections.iter_mut().find(|c| c.id == connection) {
            let _ = connection.stream.write_all(&bytes);
        }
    }

    fn log(&self, text: &str) {
        self.record.write(&format!("host {}: {text}", self.name));
    }
}

/// The value of a message's parameter.
fn parameter(message: &[u8], code: u8) -> Option<&[u8]> {
    let mut rest = message.get(9..)?;
    while let [c, high, low, more @ ..] = rest {
        let length = usize::from(u16::from_be_bytes([*high, *low]));
        if *c == code {
            return more.get(..length);
        }
        rest = more.get(length..)?;
    }
    None
}

/// The first moment at which a set-up reached a host while another attempt of it was out, if there is one.
pub fn overlapping_attempts(attempts: &[Attempt]) -> Vec<(Attempt, Attempt)> {
    let mut found = Vec::new();
    for (index, later) in attempts.iter().enumerate() {
        for earlier in &attempts[..index] {
            if earlier.setup == later.setup && earlier.until.is_none_or(|until| until > later.from)
            {
                found.push((earlier.clone(), later.clone()));
            }
        }
    }
    found
}
