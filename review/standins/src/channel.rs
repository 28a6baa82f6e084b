//! The command channel: numbered events over HTTP/1.1 with long polls.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;

/// How long a message takes from one hall to another, as the site's page tells: 0.42 to 0.78 ms. A poll and its answer take one
/// each.
const ONE_WAY: Duration = Duration::from_micros(750);

#[derive(Default)]
struct State {
    /// The events after those that the configuration holds, with their numbers.
    events: Vec<(u64, String)>,
    /// The number of the last event.
    last: u64,
    /// While it is silent, open polls and those that arrive get no answer, and their connections stay open.
    is_silent: bool,
    /// The number of answers sent.
    answers: u64,
}

#[derive(Clone)]
pub struct Channel {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Channel {
    /// Starts a channel whose last event so far has this number.
    pub fn start(last: u64, record: &Record) -> std::io::Result<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let channel = Channel {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                last,
                ..State::default()
            })),
            record: record.clone(),
        };
        let server = channel.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        Ok(channel)
    }

    /// Adds an event with one changed host.
    pub fn tell(&self, endpoint: &str) {
        let mut state = self.state.lock().expect("no thread panics");
        state.last += 1;
        let number = state.last;
        let event = format!(
            r#"{{"cursor":{number},"nodes":{{"index":{number},"snapshot":false,"endpoints":[{endpoint}]}}}}"#
        );
        self.record
            .write(&format!("channel: holds event {number}: {endpoint}"));
        state.events.push((number, event));
    }

    /// The number of answers sent so far.
    pub fn answers(&self) -> u64 {
        self.state.lock().expect("no thread panics").answers
    }

    /// Waits until a poll is answered, and returns when it was.
    pub fn wait_for_answer(&self) -> Duration {
        let before = self.answers();
        while self.answers() == before {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.record.now()
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().expect("no thread panics").is_silent = is_silent;
        self.record.write(if is_silent {
            "channel: falls silent"
        } else {
            "channel: answers polls again"
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let Some(target) = line.strip_prefix("GET ") else {
                continue;
            };
            let number = |name: &str| {
                let (_, rest) = target.split_once(name)?;
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().ok()
            };
            let resume = number("resume=").unwrap_or(0);
            let block = Duration::from_millis(number("block=").unwrap_or(0).min(5_000));
            self.record
                .write(&format!("channel: poll resume={resume} block={block:?}"));
            std::thread::sleep(2 * ONE_WAY);
            let Some(body) = self.wait_for_events(resume, block) else {
                // The poll is never answered, and the connection stays open.
                self.record.write(&format!(
                    "channel: leaves the poll resume={resume} unanswered"
                ));
                loop {
                    std::thread::sleep(Duration::from_secs(3600));
                }
            };
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            self.state.lock().expect("no thread panics").answers += 1;
            self.record.write(&format!("channel: answers {body}"));
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The body of the answer to a poll, or none if the channel fell silent before the answer.
    fn wait_for_events(&self, resume: u64, block: Duration) -> Option<String> {
        let until = self.record.now() + block;
        loop {
            {
                let state = self.state.lock().expect("no thread panics");
                if state.is_silent {
                    return None;
                }
                if state.last > resume || self.record.now() >= until {
                    let events: Vec<&str> = state
                        .events
                        .iter()
                        .filter(|(number, _)| *number > resume)
                        .map(|(_, event)| event.as_str())
                        .collect();
                    return Some(format!(
                        r#"{{"cursor":{},"cmds":[{}]}}"#,
                        state.last,
                        events.join(",")
                    ));
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}
