//! Consul on sockets: carries the source's calls to its servers, one connection for each call in flight, and keeps idle
//! ones for the next.

use std::collections::HashMap;
use std::io;

use maplethread_config::{ConsulSettings, PlacerConfig};
use maplethread_consul::{CallId, ConsulSource, Output, Update};
use maplethread_reactor::{Poller, ReadOutcome, Readiness, ResourceError, TcpConnection};
use maplethread_wire::http::{HttpError, Limits, Message, MessageReader, ReadResult, Role};

use crate::error::Error;
use crate::tokens::TokenAllocator;

/// Bytes of an answer that are read in one round.
const MAX_READ_BYTES_PER_ROUND: usize = 256 << 10;
/// Bytes of one connection that may wait to be understood.
const MAX_UNREAD_BYTES: usize = 512 << 10;
/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// A call that fails at once may lead to the next; so often that is made at once.
const MAX_OUTPUT_ROUNDS: usize = 4;

/// A call that waits for its answer.
#[derive(Clone, Copy)]
struct PendingCall {
    id: CallId,
    /// Its answer is waited for until then, µs.
    deadline: u64,
}

/// A request on its way to a server.
struct OutgoingCall<'a> {
    call: PendingCall,
    /// The server's place in the settings.
    server: usize,
    request: &'a [u8],
}

/// A connection to one of the servers.
struct ServerConnection {
    connection: TcpConnection,
    /// The server's place in the settings.
    server: usize,
    reader: MessageReader,
    /// None on an idle connection.
    in_flight: Option<PendingCall>,
}

impl ServerConnection {
    /// Reads what has come; the whole answer, if it is there.
    fn read_answer(&mut self) -> (ReadOutcome, Result<Option<Message>, HttpError>) {
        let outcome = self
            .connection
            .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
        let answer = self.reader.read(self.connection.unread());
        let answer = answer.map(|(result, used)| {
            self.connection.consume(used);
            match result {
                ReadResult::Message(message) => Some(message),
                _ => None,
            }
        });
        (outcome, answer)
    }
}

/// A Consul source on sockets.
pub struct ConsulClient {
    /// What is asked and known.
    pub source: ConsulSource,
    settings: ConsulSettings,
    /// By the tokens of the connections.
    connections: HashMap<u64, ServerConnection>,
    idle_tokens: Vec<u64>,
}

impl ConsulClient {
    /// The client of the Consul that the settings name, if they name one. `seed` spreads its retries.
    ///
    /// # Errors
    /// When the file with the token can't be read.
    pub fn new(config: &PlacerConfig, seed: u64) -> Result<Option<ConsulClient>, Error> {
        let Some(settings) = &config.consul else {
            return Ok(None);
        };
        let token = match &settings.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path)
                    .map_err(ResourceError::of(path.display().to_string()))?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Some(ConsulClient {
            source: ConsulSource::new(config, settings, token, seed),
            settings: settings.clone(),
            connections: HashMap::new(),
            idle_tokens: Vec::new(),
        }))
    }

    /// Whether a token of the poller belongs to one of its connections.
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    /// When [`ConsulClient::tick`] is to be called at the latest, µs.
    pub fn next_timeout(&self, now: u64) -> Option<u64> {
        let next_deadline = self
            .connections
            .values()
            .filter_map(|connection| connection.in_flight.map(|call| call.deadline))
            .min();
        [self.source.next_timeout(now), next_deadline]
            .into_iter()
            .flatten()
            .min()
    }

    /// Does what is due, and returns what is new.
    pub fn tick(&mut self, now: u64, poller: &Poller, tokens: &mut TokenAllocator) -> Vec<Update> {
        self.fail_late_calls(now);
        self.source.tick(now);
        for _ in 0..MAX_OUTPUT_ROUNDS {
            let outputs = self.source.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for Output::Call {
                call: id,
                server,
                request,
                timeout,
            } in outputs
            {
                let outgoing = OutgoingCall {
                    call: PendingCall {
                        id,
                        deadline: now + timeout,
                    },
                    server,
                    request: &request,
                };
                if let Err(error) = self.send(&outgoing, poller, tokens) {
                    self.source.handle_failure(now, id, &error.to_string());
                }
            }
        }
        self.source.take_updates()
    }

    fn fail_late_calls(&mut self, now: u64) {
        let is_late = |connection: &ServerConnection| {
            connection
                .in_flight
                .is_some_and(|call| call.deadline <= now)
        };
        let late: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_late(connection))
            .map(|(&token, _)| token)
            .collect();
        for token in late {
            self.fail_call(now, token, "no answer in time");
        }
    }

    /// Sends a request on an idle connection to its server, or else on a new one.
    fn send(
        &mut self,
        outgoing: &OutgoingCall<'_>,
        poller: &Poller,
        tokens: &mut TokenAllocator,
    ) -> io::Result<()> {
        let token = match self.take_idle(outgoing.server) {
            Some(token) => token,
            None => self.connect(outgoing.server, poller, tokens)?,
        };
        if let Some(server) = self.connections.get_mut(&token) {
            server.in_flight = Some(outgoing.call);
            server
                .connection
                .write_buffer()
                .extend_from_slice(outgoing.request);
            server.connection.flush(poller)?;
        }
        Ok(())
    }

    fn take_idle(&mut self, server: usize) -> Option<u64> {
        let connections = &self.connections;
        let is_to_server = |token| connections.get(token).is_some_and(|c| c.server == server);
        let position = self.idle_tokens.iter().position(is_to_server)?;
        Some(self.idle_tokens.swap_remove(position))
    }

    /// Opens a connection to a server; returns its token.
    fn connect(
        &mut self,
        server: usize,
        poller: &Poller,
        tokens: &mut TokenAllocator,
    ) -> io::Result<u64> {
        let token = tokens.allocate();
        let connection = TcpConnection::connect(self.settings.servers[server], token, poller)?;
        let limits = Limits {
            max_body_bytes: self.settings.max_response_bytes,
            ..Limits::default()
        };
        let connection = ServerConnection {
            connection,
            server,
            reader: MessageReader::new(Role::Responses, limits),
            in_flight: None,
        };
        self.connections.insert(token, connection);
        Ok(token)
    }

    /// Gives up a connection, and the call on it if there is one.
    fn fail_call(&mut self, now: u64, token: u64, reason: &str) {
        self.idle_tokens.retain(|&idle| idle != token);
        if let Some(connection) = self.connections.remove(&token)
            && let Some(call) = connection.in_flight
        {
            self.source.handle_failure(now, call.id, reason);
        }
    }

    /// One of its connections is ready.
    pub fn on_ready(&mut self, now: u64, readiness: &Readiness, poller: &Poller) {
        let token = readiness.token;
        let Some(server) = self.connections.get_mut(&token) else {
            return;
        };
        if server.connection.is_connecting() {
            if !readiness.is_writable && !readiness.is_closed {
                return;
            }
            if let Err(error) = server.connection.finish_connect() {
                self.fail_call(now, token, &error.to_string());
                return;
            }
        }
        if let Err(error) = server.connection.flush(poller) {
            self.fail_call(now, token, &error.to_string());
            return;
        }
        if !readiness.is_readable {
            return;
        }
        let (outcome, answer) = server.read_answer();
        match answer {
            Err(error) => self.fail_call(now, token, &error.to_string()),
            Ok(Some(answer)) => self.finish_call(now, token, outcome, answer),
            Ok(None) if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) => {
                self.fail_call(now, token, "the connection ended before the answer");
            }
            Ok(None) => {}
        }
    }

    /// The whole answer to a call is read. Its connection is kept for the next call if it can be.
    fn finish_call(&mut self, now: u64, token: u64, outcome: ReadOutcome, answer: Message) {
        let Some(server) = self.connections.get_mut(&token) else {
            return;
        };
        let is_reusable = answer.head.is_keep_alive()
            && server.connection.unread().is_empty()
            && outcome == ReadOutcome::Drained;
        if let Some(call) = server.in_flight.take() {
            self.source.handle_response(now, call.id, answer);
        }
        if is_reusable && self.idle_tokens.len() < MAX_IDLE_CONNECTIONS {
            self.idle_tokens.push(token);
        } else {
            self.connections.remove(&token);
        }
    }
}
