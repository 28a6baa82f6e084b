//! Owners: connections to the placer, with JSON lines.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::{could_not_run, Record};

/// A message from the placer.
#[derive(Clone, Debug)]
pub struct Message {
    /// Milliseconds since the start of the run.
    pub at: f64,
    /// The name of the connection.
    pub connection: String,
    pub kind: String,
    pub sid: String,
    pub code: Option<u8>,
    pub text: String,
}

/// All that the owners of a run were sent.
#[derive(Clone, Default)]
pub struct Inbox(Arc<Mutex<Vec<Message>>>);

impl Inbox {
    pub fn all(&self) -> Vec<Message> {
        self.0
            .lock()
            .map(|messages| messages.clone())
            .unwrap_or_default()
    }

    /// The messages about a set-up.
    pub fn about(&self, sid: &str) -> Vec<Message> {
        self.all()
            .into_iter()
            .filter(|message| message.sid == sid)
            .collect()
    }

    /// The first message of this kind about a set-up.
    pub fn first(&self, sid: &str, kind: &str) -> Option<Message> {
        self.about(sid)
            .into_iter()
            .find(|message| message.kind == kind)
    }
}

/// What an owner asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub sid: String,
    pub class: String,
    pub key: String,
    pub idem: Option<String>,
    pub service: u64,
    pub cores: f64,
    pub memory: f64,
    pub left_ms: u64,
}

pub struct Owner {
    pub name: String,
    stream: TcpStream,
    record: Record,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    line[start..].split('"').next()
}

fn parse(line: &str, at: f64, connection: &str) -> Option<Message> {
    let code = line
        .find("\"code\":")
        .map(|start| {
            line[start + 7..]
                .chars()
                .take_while(char::is_ascii_digit)
                .collect::<String>()
        })
        .and_then(|digits| digits.parse().ok());
    Some(Message {
        at,
        connection: connection.to_owned(),
        kind: field(line, "msg")?.to_owned(),
        sid: field(line, "sid")?.to_owned(),
        code,
        text: field(line, "text").unwrap_or_default().to_owned(),
    })
}

impl Owner {
    pub fn connect(record: &Record, inbox: &Inbox, name: &str, placer: SocketAddr) -> Owner {
        let is_open = crate::wait_for(Duration::from_secs(10), || {
            TcpStream::connect(placer).is_ok()
        });
        let stream = TcpStream::connect(placer);
        let Ok(stream) = stream else {
            could_not_run(&format!("owner {name} can't connect (open: {is_open})"));
        };
        let _ = stream.set_nodelay(true);
        record.line(format!("owner {name} connects"));
        let reading = stream
            .try_clone()
            .unwrap_or_else(|_| could_not_run("owner"));
        let (inbox, own_record, own_name) = (inbox.clone(), record.clone(), name.to_owned());
        std::thread::spawn(move || {
            for line in BufReader::new(reading).lines().map_while(Result::ok) {
                own_record.line(format!("owner {own_name} < {line}"));
                if let Some(message) = parse(&line, own_record.now(), &own_name) {
                    if let Ok(mut messages) = inbox.0.lock() {
                        messages.push(message);
                    }
                }
            }
            own_record.line(format!("owner {own_name}: its connection has ended"));
        });
        Owner {
            name: name.to_owned(),
            stream,
            record: record.clone(),
        }
    }

    pub fn send_line(&mut self, line: &str) {
        self.record.line(format!("owner {} > {line}", self.name));
        let _ = self.stream.write_all(format!("{line}\n").as_bytes());
    }

    /// Sends bytes that are not recorded.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Sends a set-up.
    pub fn open(&mut self, ask: &Ask) {
        self.send_line(&open_line(ask, None));
    }

    /// Hands over a task that a host holds.
    pub fn hand_over(&mut self, ask: &Ask, host: &str) {
        self.send_line(&open_line(ask, Some(host)));
    }

    pub fn test(&mut self, sid: &str) {
        self.send_line(&format!(
            r#"{{"msg":"probe","sid":"{sid}","attrs":{{}},"code":0}}"#
        ));
    }

    pub fn close_task(&mut self, sid: &str, code: u8) {
        self.send_line(&format!(
            r#"{{"msg":"close","sid":"{sid}","attrs":{{}},"code":{code}}}"#
        ));
    }

    /// Ends the connection in order.
    pub fn close(self) {
        self.record
            .line(format!("owner {} closes its connection", self.name));
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Resets the connection.
    pub fn reset(self) {
        self.record
            .line(format!("the connection of owner {} is reset", self.name));
        crate::host::reset(&self.stream);
    }
}

pub fn open_line(ask: &Ask, at: Option<&str>) -> String {
    let idem = ask
        .idem
        .as_ref()
        .map_or(String::new(), |idem| format!(r#","idem":"{idem}""#));
    let at = at.map_or(String::new(), |host| format!(";at:{host}"));
    format!(
        r#"{{"msg":"open","sid":"{}","attrs":{{"class":"{}","left":"{}","key":"{}"{idem},"extras":"cores:{};memory:{};service:{:016x}{at}"}},"text":"{}\r\nm=task {}\r\n"}}"#,
        ask.sid,
        ask.class,
        ask.left_ms,
        ask.key,
        ask.cores,
        ask.memory,
        ask.service,
        ask.key,
        ask.sid
    )
}
