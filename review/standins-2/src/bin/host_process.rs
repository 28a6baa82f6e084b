//! A host as a process of its own, with one thread: it waits for input or for the time of its next timer, runs the timers
//! that are due, and then handles the input. It prints its address, and a line for all that it does.
//!
//! Arguments: its name, and the least and the most milliseconds that a task lives.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

use review_standins_2::host::{message, parameter, CLOSE, EVENT, OPEN, PROBE, PROBED, READY};
use review_standins_2::unix_ms;

#[repr(C)]
struct PollFd {
    fd: i32,
    events: i16,
    revents: i16,
}

extern "C" {
    fn poll(fds: *mut PollFd, count: u64, timeout_ms: i32) -> i32;
}

const POLLIN: i16 = 1;

struct Connection {
    stream: TcpStream,
    unread: Vec<u8>,
}

enum Timer {
    Answer(u64, String),
    End(String),
}

struct Host {
    name: String,
    life_ms: (u64, u64),
    connections: BTreeMap<u64, Connection>,
    last_connection: u64,
    /// Running tasks, with the connection of their set-up.
    tasks: BTreeMap<String, u64>,
    /// Releases that are also sent on the next connection opened.
    releases: Vec<String>,
    timers: Vec<(u64, Timer)>,
}

fn say(text: String) {
    println!("{} {text}", unix_ms());
}

impl Host {
    fn send(&mut self, number: u64, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            let _ = connection.stream.write_all(bytes);
        }
    }

    fn run_timers(&mut self) {
        let now = unix_ms();
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.timers = waiting;
        for (_, timer) in due {
            match timer {
                Timer::Answer(number, sid) => self.answer(number, sid),
                Timer::End(sid) => self.end(&sid),
            }
        }
    }

    fn answer(&mut self, number: u64, sid: String) {
        if !self.connections.contains_key(&number) {
            return;
        }
        say(format!("started {sid}"));
        let text = format!("{sid}\r\nh={}\r\n", self.name);
        self.send(number, &message(READY, &sid, &[(63, text.as_bytes())]));
        self.send(number, &message(EVENT, &sid, &[(47, b"live"), (57, b"1")]));
        // The length of its life follows from its id.
        let hash = u64::from_str_radix(&sid, 16)
            .unwrap_or(0)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let life = self.life_ms.0 + (hash >> 33) % (self.life_ms.1 - self.life_ms.0).max(1);
        self.timers
            .push((unix_ms() + life, Timer::End(sid.clone())));
        self.tasks.insert(sid, number);
    }

    /// A task has come to its end: it is released on the connection of its set-up, otherwise on any open one, and also on
    /// the next connection opened.
    fn end(&mut self, sid: &str) {
        let Some(number) = self.tasks.remove(sid) else {
            return;
        };
        let on = if self.connections.contains_key(&number) {
            Some(number)
        } else {
            self.connections.keys().next().copied()
        };
        say(format!("ended {sid} on {on:?}"));
        if let Some(number) = on {
            self.send(number, &message(CLOSE, sid, &[(61, &[16])]));
        }
        self.releases.push(sid.to_owned());
    }

    fn accept(&mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        self.last_connection += 1;
        let number = self.last_connection;
        say(format!("connection {number} is opened"));
        self.connections.insert(
            number,
            Connection {
                stream,
                unread: Vec::new(),
            },
        );
        for sid in std::mem::take(&mut self.releases) {
            say(format!("also released {sid} on {number}"));
            self.send(number, &message(CLOSE, &sid, &[(61, &[16])]));
        }
    }

    fn read(&mut self, number: u64) {
        let mut chunk = [0; 16 << 10];
        let mut is_open = true;
        let Some(connection) = self.connections.get_mut(&number) else {
            return;
        };
        loop {
            match connection.stream.read(&mut chunk) {
                Ok(0) => is_open = false,
                Ok(count) => {
                    connection.unread.extend_from_slice(&chunk[..count]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => is_open = false,
            }
            break;
        }
        let mut bodies = Vec::new();
        while connection.unread.len() >= 2 {
            let length = usize::from(u16::from_be_bytes([
                connection.unread[0],
                connection.unread[1],
            ]));
            if connection.unread.len() < 2 + length {
                break;
            }
            bodies.push(connection.unread[2..2 + length].to_vec());
            connection.unread.drain(..2 + length);
        }
        for body in bodies {
            self.handle(number, &body);
        }
        if !is_open {
            say(format!("connection {number} has ended"));
            self.connections.remove(&number);
        }
    }

    fn handle(&mut self, number: u64, body: &[u8]) {
        let sid = format!(
            "{:016x}",
            u64::from_be_bytes(body[1..9].try_into().unwrap_or_default())
        );
        match body[0] {
            OPEN => {
                let wait =
                    String::from_utf8_lossy(parameter(body, 35).unwrap_or_default()).into_owned();
                say(format!("set-up {sid} on {number}, answer within {wait} ms"));
                // One offer takes some milliseconds to look at.
                self.timers
                    .push((unix_ms() + 17, Timer::Answer(number, sid)));
            }
            CLOSE => {
                say(format!("close {sid} on {number}"));
                self.timers.retain(|(_, timer)| !matches!(timer, Timer::Answer(on, id) if *on == number && *id == sid));
                if self.tasks.remove(&sid).is_some() {
                    say(format!("cut {sid}"));
                    self.send(number, &message(CLOSE, &sid, &[(61, &[31])]));
                }
            }
            PROBE => {
                say(format!("test on {number}, passed"));
                self.send(number, &message(PROBED, &sid, &[(61, &[1])]));
            }
            _ => {}
        }
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let mut number = || {
        arguments
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(1000)
    };
    let life_ms = (number(), number());
    let Ok(listener) = TcpListener::bind("127.0.0.1:0") else {
        std::process::exit(2);
    };
    let _ = listener.set_nonblocking(true);
    if let Ok(address) = listener.local_addr() {
        println!("{address}");
    }
    let mut host = Host {
        name,
        life_ms,
        connections: BTreeMap::new(),
        last_connection: 0,
        tasks: BTreeMap::new(),
        releases: Vec::new(),
        timers: Vec::new(),
    };
    loop {
        let next = host.timers.iter().map(|(at, _)| *at).min();
        let wait = next.map_or(1000, |at| at.saturating_sub(unix_ms()).min(1000)) as i32;
        let numbers: Vec<u64> = host.connections.keys().copied().collect();
        let mut fds = vec![PollFd {
            fd: listener.as_raw_fd(),
            events: POLLIN,
            revents: 0,
        }];
        for number in &numbers {
            fds.push(PollFd {
                fd: host.connections[number].stream.as_raw_fd(),
                events: POLLIN,
                revents: 0,
            });
        }
        // SAFETY: the array has the length given, and its descriptors are open.
        unsafe { poll(fds.as_mut_ptr(), fds.len() as u64, wait) };
        host.run_timers();
        if fds[0].revents != 0 {
            while let Ok((stream, _)) = listener.accept() {
                host.accept(stream);
            }
        }
        for (fd, number) in fds[1..].iter().zip(numbers) {
            if fd.revents != 0 {
                host.read(number);
            }
        }
    }
}
