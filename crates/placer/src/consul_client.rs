//! Consul on sockets: carries the source's calls to its servers, one connection for each call in flight, and keeps
//! idle ones for the next.

use std::collections::HashMap;
use std::net::SocketAddr;

use maplethread_config::{ConsulSettings, PlacerConfig};
use maplethread_consul::{CallId, ConsulSource, Output, Update};
use maplethread_reactor::{Poller, ReadOutcome, Readiness, TcpConnection};
use maplethread_wire::http::{Limits, Message, MessageReader, ReadResult, Role};

use crate::start::{Error, io_error};

/// Bytes of an answer that are read in one round.
const MAX_READ_BYTES_PER_ROUND: usize = 256 << 10;
/// Bytes of one connection that may wait to be understood.
const MAX_UNREAD_BYTES: usize = 512 << 10;
/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;

struct ServerConnection {
    connection: TcpConnection,
    server: usize,
    reader: MessageReader,
    /// The call in flight and until when its answer is waited for; none on an idle connection.
    in_flight: Option<(CallId, u64)>,
}

/// A source on sockets.
pub struct ConsulClient {
    /// What is asked and known.
    pub source: ConsulSource,
    config: ConsulSettings,
    connections: HashMap<u64, ServerConnection>,
    idle_tokens: Vec<u64>,
}

impl ConsulClient {
    /// The source that the settings name, if they name one.
    pub fn new(config: &PlacerConfig, seed: u64) -> Result<Option<ConsulClient>, Error> {
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
        let source = ConsulSource::new(config, consul, token, seed);
        Ok(Some(ConsulClient {
            source,
            config: consul.clone(),
            connections: HashMap::new(),
            idle_tokens: Vec::new(),
        }))
    }

    /// Whether a token of the poller belongs to one of its connections.
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    /// When [`Catalogue::tick`] is to be called at the latest.
    pub fn next_timeout(&self, now: u64) -> Option<u64> {
        let waits = self
            .connections
            .values()
            .filter_map(|c| c.in_flight.map(|(_, until)| until))
            .min();
        [self.source.next_timeout(now), waits]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what is due, and returns what is new.
    pub fn tick(&mut self, now: u64, poller: &Poller, next_token: &mut u64) -> Vec<Update> {
        let late: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, c)| c.in_flight.is_some_and(|(_, until)| until <= now))
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
                    Output::Call {
                        call,
                        server,
                        request,
                        timeout: within,
                    } => {
                        let result =
                            self.send(call, server, &request, now + within, poller, next_token);
                        if let Err(e) = result {
                            self.source.handle_failure(now, call, &e.to_string());
                        }
                    }
                }
            }
        }
        self.source.take_updates()
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
            .idle_tokens
            .iter()
            .position(|t| self.connections.get(t).is_some_and(|c| c.server == server));
        let token = match at {
            Some(at) => self.idle_tokens.swap_remove(at),
            None => {
                *next_token += 1;
                let address: SocketAddr = self.config.servers[server];
                let conn = TcpConnection::connect(address, *next_token, poller)?;
                let limits = Limits {
                    max_body_bytes: self.config.max_response_bytes,
                    ..Limits::default()
                };
                let reader = MessageReader::new(Role::Responses, limits);
                self.connections.insert(
                    *next_token,
                    ServerConnection {
                        connection: conn,
                        server,
                        reader,
                        in_flight: None,
                    },
                );
                *next_token
            }
        };
        if let Some(c) = self.connections.get_mut(&token) {
            c.in_flight = Some((call, until));
            c.connection.write_buffer().extend_from_slice(request);
            c.connection.flush(poller)?;
        }
        Ok(())
    }

    fn fail(&mut self, now: u64, token: u64, why: &str) {
        self.idle_tokens.retain(|&t| t != token);
        if let Some(c) = self.connections.remove(&token)
            && let Some((call, _)) = c.in_flight
        {
            self.source.handle_failure(now, call, why);
        }
    }

    /// One of its connections is ready.
    pub fn on_ready(&mut self, now: u64, token: u64, r: &Readiness, poller: &Poller) {
        let Some(c) = self.connections.get_mut(&token) else {
            return;
        };
        if c.connection.is_connecting() {
            if !r.is_writable && !r.is_closed {
                return;
            }
            if let Err(e) = c.connection.finish_connect() {
                self.fail(now, token, &e.to_string());
                return;
            }
        }
        if let Err(e) = c.connection.flush(poller) {
            self.fail(now, token, &e.to_string());
            return;
        }
        if !r.is_readable {
            return;
        }
        let outcome = c
            .connection
            .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
        let answer: Result<Option<Message>, String> = match c.reader.read(c.connection.unread()) {
            Ok((found, used)) => {
                c.connection.consume(used);
                Ok(if let ReadResult::Message(message) = found {
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
                let call = c.in_flight.take();
                let keep = message.head.is_keep_alive() && c.connection.unread().is_empty();
                if let Some((call, _)) = call {
                    self.source.handle_response(now, call, message);
                }
                if keep
                    && outcome == ReadOutcome::Drained
                    && self.idle_tokens.len() < MAX_IDLE_CONNECTIONS
                {
                    self.idle_tokens.push(token);
                } else {
                    self.connections.remove(&token);
                }
            }
            Ok(None) if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) => {
                self.fail(now, token, "the connection ended before the answer");
            }
            Ok(None) => {}
        }
    }
}
