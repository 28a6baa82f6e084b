//! Consul on sockets: carries the source's calls to its servers, one connection for each call in flight, and keeps
//! idle ones for the next.

use std::collections::HashMap;
use std::net::SocketAddr;

use maplethread_config::{Consul, PlacerConfig};
use maplethread_consul::{CallId, Out, Source, Update};
use maplethread_reactor::{Conn, Poller, ReadOutcome, Readiness};
use maplethread_wire::http::{Found, Limits, Message, Reader, Role};

use crate::start::{Error, io_error};

/// Bytes of an answer that are read in one round.
const READ_ROUND: usize = 256 << 10;
/// Bytes of one connection that may wait to be understood.
const READ_MOST: usize = 512 << 10;
/// Idle connections that are kept.
const MOST_IDLE: usize = 4;

struct Call {
    conn: Conn,
    server: usize,
    reader: Reader,
    /// The call in flight and until when its answer is waited for; none on an idle connection.
    call: Option<(CallId, u64)>,
}

/// A source on sockets.
pub struct Catalogue {
    /// What is asked and known.
    pub source: Source,
    config: Consul,
    calls: HashMap<u64, Call>,
    idle: Vec<u64>,
}

impl Catalogue {
    /// The source that the settings name, if they name one.
    pub fn new(config: &PlacerConfig, seed: u64) -> Result<Option<Catalogue>, Error> {
        let Some(consul) = &config.consul else {
            return Ok(None);
        };
        let token = match &consul.token_file {
            None => None,
            Some(path) => {
                let text =
                    std::fs::read_to_string(path).map_err(io_error(path.display().to_string()))?;
                Some(text.trim().to_owned())
            }
        };
        let source = Source::new(config, consul, token, seed);
        Ok(Some(Catalogue {
            source,
            config: consul.clone(),
            calls: HashMap::new(),
            idle: Vec::new(),
        }))
    }

    /// Whether a token of the poller belongs to one of its connections.
    pub fn has(&self, token: u64) -> bool {
        self.calls.contains_key(&token)
    }

    /// When [`Catalogue::tick`] is to be called at the latest.
    pub fn next_timeout(&self, now: u64) -> Option<u64> {
        let waits = self
            .calls
            .values()
            .filter_map(|c| c.call.map(|(_, until)| until))
            .min();
        [self.source.next_timeout(now), waits]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what is due, and returns what is new.
    pub fn tick(&mut self, now: u64, poller: &Poller, next_token: &mut u64) -> Vec<Update> {
        let late: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| c.call.is_some_and(|(_, until)| until <= now))
            .map(|(&token, _)| token)
            .collect();
        late.into_iter()
            .for_each(|token| self.fail(now, token, "no answer in time"));
        self.source.tick(now);
        // A call that fails at once may lead to the next.
        for _ in 0..4 {
            let outputs = self.source.outputs();
            if outputs.is_empty() {
                break;
            }
            for out in outputs {
                match out {
                    Out::Call {
                        call,
                        server,
                        request,
                        within,
                    } => {
                        let result =
                            self.send(call, server, &request, now + within, poller, next_token);
                        if let Err(e) = result {
                            self.source.failed(now, call, &e.to_string());
                        }
                    }
                }
            }
        }
        self.source.updates()
    }

    fn send(
        &mut self,
        call: CallId,
        server: usize,
        request: &[u8],
        until: u64,
        poller: &Poller,
        next_token: &mut u64,
    ) -> std::io::Result<()> {
        let at = self
            .idle
            .iter()
            .position(|t| self.calls.get(t).is_some_and(|c| c.server == server));
        let token = match at {
            Some(at) => self.idle.swap_remove(at),
            None => {
                *next_token += 1;
                let address: SocketAddr = self.config.servers[server];
                let conn = Conn::connect(address, *next_token, poller)?;
                let limits = Limits {
                    body: self.config.max_answer_bytes,
                    ..Limits::default()
                };
                let reader = Reader::new(Role::Responses, limits);
                self.calls.insert(
                    *next_token,
                    Call {
                        conn,
                        server,
                        reader,
                        call: None,
                    },
                );
                *next_token
            }
        };
        if let Some(c) = self.calls.get_mut(&token) {
            c.call = Some((call, until));
            c.conn.out().extend_from_slice(request);
            c.conn.flush(poller)?;
        }
        Ok(())
    }

    fn fail(&mut self, now: u64, token: u64, why: &str) {
        self.idle.retain(|&t| t != token);
        if let Some(c) = self.calls.remove(&token)
            && let Some((call, _)) = c.call
        {
            self.source.failed(now, call, why);
        }
    }

    /// One of its connections is ready.
    pub fn ready(&mut self, now: u64, token: u64, r: &Readiness, poller: &Poller) {
        let Some(c) = self.calls.get_mut(&token) else {
            return;
        };
        if c.conn.connecting() {
            if !r.write && !r.closed {
                return;
            }
            if let Err(e) = c.conn.connected() {
                self.fail(now, token, &e.to_string());
                return;
            }
        }
        if let Err(e) = c.conn.flush(poller) {
            self.fail(now, token, &e.to_string());
            return;
        }
        if !r.read {
            return;
        }
        let outcome = c.conn.fill(READ_ROUND, READ_MOST);
        let answer: Result<Option<Message>, String> = match c.reader.read(c.conn.unread()) {
            Ok((found, used)) => {
                c.conn.take(used);
                Ok(if let Found::Message(message) = found {
                    Some(message)
                } else {
                    None
                })
            }
            Err(e) => Err(e.to_string()),
        };
        match answer {
            Err(why) => self.fail(now, token, &why),
            Ok(Some(message)) => {
                let call = c.call.take();
                let keep = message.head.keep_alive() && c.conn.unread().is_empty();
                if let Some((call, _)) = call {
                    self.source.answered(now, call, message);
                }
                if keep && outcome == ReadOutcome::Drained && self.idle.len() < MOST_IDLE {
                    self.idle.push(token);
                } else {
                    self.calls.remove(&token);
                }
            }
            Ok(None) if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Broken) => {
                self.fail(now, token, "the connection ended before the answer");
            }
            Ok(None) => {}
        }
    }
}
