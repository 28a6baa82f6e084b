//! An owner: it sends JSON lines to a placer on a connection, and records the lines that it receives.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

/// A message from the placer.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: Duration,
    pub kind: String,
    pub setup: String,
}

pub struct Owner {
    name: String,
    stream: TcpStream,
    record: Record,
    received: Arc<Mutex<Vec<Received>>>,
}

/// A task to place, as its owner describes it.
pub struct Task<'a> {
    pub setup: &'a str,
    pub class: &'a str,
    pub left_ms: u64,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
    pub is_keyed: bool,
}

impl Owner {
    pub fn connect(name: &str, placer: SocketAddr, record: &Record) -> std::io::Result<Owner> {
        let stream = TcpStream::connect(placer)?;
        stream.set_nodelay(true)?;
        let received = Arc::new(Mutex::new(Vec::new()));
        let reader = BufReader::new(stream.try_clone()?);
        let (kept, reader_record, reader_name) =
            (received.clone(), record.clone(), name.to_owned());
        std::thread::spawn(move || {
            for line in reader.lines() {
                let Ok(line) = line else { break };
                let message = Received {
                    at: reader_record.now(),
                    kind: text_field(&line, "msg"),
                    setup: text_field(&line, "sid"),
                };
                if message.kind != "probed" {
                    reader_record.write(&format!("owner {reader_name}: receives {line}"));
                }
                kept.lock().expect("no thread panics").push(message);
            }
            reader_record.write(&format!("owner {reader_name}: connection ended"));
        });
        record.write(&format!("owner {name}: connected"));
        Ok(Owner {
            name: name.to_owned(),
            stream,
            record: record.clone(),
            received,
        })
    }

    fn send(&mut self, line: &str) -> std::io::Result<()> {
        self.stream.write_all(format!("{line}\n").as_bytes())
    }

    pub fn open(&mut self, task: &Task) -> std::io::Result<Duration> {
        let Task {
            setup,
            class,
            left_ms,
            service,
            cores,
            memory,
            is_keyed,
        } = task;
        let idem = if *is_keyed {
            format!(r#","idem":"{setup}{setup}""#)
        } else {
            String::new()
        };
        self.record.write(&format!(
            "owner {}: sends open {setup} class {class} left {left_ms}",
            self.name
        ));
        let at = self.record.now();
        self.send(&format!(
            r#"{{"msg":"open","sid":"{setup}","attrs":{{"class":"{class}","left":"{left_ms}","key":"{setup}"{idem},"extras":"cores:{cores};memory:{memory};service:{service:016x}"}},"text":"{setup} c=IN IP4 10.4.7.9"}}"#
        ))?;
        Ok(at)
    }

    /// Sends a test of the connection.
    pub fn probe(&mut self) -> std::io::Result<()> {
        self.send(r#"{"msg":"probe","sid":"00000000000000ff","attrs":{},"code":0}"#)
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.record
            .write(&format!("owner {}: closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// All messages of this kind about a set-up.
    pub fn received(&self, kind: &str, setup: &str) -> Vec<Received> {
        let received = self.received.lock().expect("no thread panics");
        received
            .iter()
            .filter(|message| message.kind == kind && message.setup == setup)
            .cloned()
            .collect()
    }

    /// The first message about a set-up: its answer, or a release.
    pub fn first(&self, setup: &str) -> Option<Received> {
        let received = self.received.lock().expect("no thread panics");
        received
            .iter()
            .find(|message| message.setup == setup)
            .cloned()
    }

    /// Waits for the first message about a set-up.
    pub fn wait_first(&self, setup: &str, timeout: Duration) -> Option<Received> {
        let until = self.record.now() + timeout;
        loop {
            if let Some(message) = self.first(setup) {
                return Some(message);
            }
            if self.record.now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn text_field(line: &str, name: &str) -> String {
    let start = format!(r#""{name}":""#);
    line.split_once(&start)
        .and_then(|(_, rest)| rest.split_once('"'))
        .map_or(String::new(), |(value, _)| value.to_owned())
}
