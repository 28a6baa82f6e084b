//! The command channel: numbered events over HTTP, with long polls.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::record::{could_not_run, Record};

#[derive(Default)]
struct Events {
    /// The `endpoints` arrays of the events, as JSON; the first one is the whole list.
    events: Vec<String>,
    /// How late each answer leaves, in milliseconds.
    delay_ms: u64,
}

#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    state: Arc<(Mutex<Events>, Condvar)>,
    record: Record,
}

/// An entry of the list of hosts.
pub fn entry(
    name: &str,
    address: SocketAddr,
    zone: &str,
    kind: &str,
    group: u32,
    status: &str,
    since_ms: u64,
) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":{group},"status":"{status}","weight":1,"since_ms":{since_ms}}}"#
    )
}

impl Channel {
    pub fn start(record: &Record) -> Channel {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("channel"));
        let channel = Channel {
            address: listener
                .local_addr()
                .unwrap_or_else(|_| could_not_run("channel")),
            state: Arc::default(),
            record: record.clone(),
        };
        let accepting = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        channel
    }

    /// Adds an event, which is told from now on.
    pub fn push(&self, entries: &[String]) {
        let (events, changed) = &*self.state;
        if let Ok(mut events) = events.lock() {
            events.events.push(format!("[{}]", entries.join(",")));
            self.record.line(format!(
                "channel tells event {}: {}",
                events.events.len(),
                entries.join(" ")
            ));
        }
        changed.notify_all();
    }

    pub fn set_delay_ms(&self, delay_ms: u64) {
        if let Ok(mut events) = self.state.0.lock() {
            events.delay_ms = delay_ms;
        }
    }

    /// The events from number `after` + 1 on, in the form of an answer and of `known`.
    pub fn events_after(&self, after: usize) -> String {
        let Ok(events) = self.state.0.lock() else {
            return String::new();
        };
        Channel::format(&events.events, after)
    }

    fn format(events: &[String], after: usize) -> String {
        let told: Vec<String> = events
            .iter()
            .enumerate()
            .skip(after)
            .map(|(index, entries)| {
                let number = index + 1;
                let is_full = index == 0;
                format!(r#"{{"cursor":{number},"nodes":{{"index":{number},"snapshot":{is_full},"endpoints":{entries}}}}}"#)
            })
            .collect();
        format!(
            r#"{{"cursor":{},"cmds":[{}]}}"#,
            events.len(),
            told.join(",")
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            while let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
                buffer.drain(..end + 4);
                let number = |name: &str| -> u64 {
                    head.split([' ', '?', '&'])
                        .find_map(|part| part.strip_prefix(name)?.parse().ok())
                        .unwrap_or(0)
                };
                let body = self.wait(number("resume=") as usize, number("block=").min(5000));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
        }
    }

    fn wait(&self, after: usize, block_ms: u64) -> String {
        let end = Instant::now() + Duration::from_millis(block_ms);
        let (events, changed) = &*self.state;
        let Ok(mut held) = events.lock() else {
            return String::new();
        };
        while held.events.len() <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            match changed.wait_timeout(held, left) {
                Ok((guard, _)) => held = guard,
                Err(_) => return String::new(),
            }
        }
        let body = Channel::format(&held.events, after);
        let delay = held.delay_ms;
        drop(held);
        std::thread::sleep(Duration::from_millis(delay));
        body
    }
}
