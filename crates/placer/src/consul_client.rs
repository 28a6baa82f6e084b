//! Sends the calls of a Consul source to its servers, with one connection per call in flight. Idle connections are kept
//! for later calls.

use std::collections::HashMap;
use std::io;

use maplethread_config::{ConsulSettings, PlacerConfig};
use maplethread_consul::{CallId, ConsulSource, Output, Update};
use maplethread_reactor::{Poller, ReadOutcome, Readiness, ResourceError, TcpConnection};
use maplethread_wire::http::{HttpError, Limits, Message, MessageReader, ReadResult, Role};

use crate::error::Error;
use crate::tokens::TokenAllocator;

/// Maximum number of bytes of a response that are read per round.
const MAX_READ_BYTES_PER_ROUND: usize = 256 << 10;
/// Maximum number of bytes buffered per connection before they are parsed.
const MAX_UNREAD_BYTES: usize = 512 << 10;
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Maximum number of times that a tick executes the source's outputs. A call that fails at once may cause another call.
const MAX_OUTPUT_ROUNDS: usize = 4;

/// A call whose response is outstanding.
#[derive(Clone, Copy)]
struct PendingCall {
    id: CallId,
    /// When the call times out, µs.
    deadline: u64,
}

/// A request to be sent to a server.
struct OutgoingCall<'a> {
    call: PendingCall,
    /// The server's index in the settings.
    server: usize,
    request: &'a [u8],
}

/// A connection to one of the servers.
struct ServerConnection {
    connection: TcpConnection,
    /// The server's index in the settings.
    server: usize,
    reader: MessageReader,
    /// None on an idle connection.
    in_flight: Option<PendingCall>,
}

impl ServerConnection {
    /// Reads available bytes. Returns the response once it is complete.
    fn read_response(&mut self) -> (ReadOutcome, Result<Option<Message>, HttpError>) {
        let outcome = self
            .connection
            .read_available(MAX_READ_BYTES_PER_ROUND, MAX_UNREAD_BYTES);
        let response = self.reader.read(self.connection.unread());
        let response = response.map(|(result, used)| {
            self.connection.consume(used);
            match result {
                ReadResult::Message(message) => Some(message),
                _ => None,
            }
        });
        (outcome, response)
    }
}

/// A Consul source together with its connections.
pub struct ConsulClient {
    /// Decides which calls to make, and holds what they returned.
    pub source: ConsulSource,
    settings: ConsulSettings,
    /// Keyed by poller token.
    connections: HashMap<u64, ServerConnection>,
    idle_tokens: Vec<u64>,
}

impl ConsulClient {
    /// Creates a client if the settings have a `[consul]` section. `seed` randomises retry delays.
    ///
    /// # Errors
    /// If the token file can't be read.
    pub fn new(config: &PlacerConfig, seed: u64) -> Result<Option<ConsulClient>, Error> {
        let Some(settings) = &config.consul else {
            return Ok(None);
        };
        let token = match &settings.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path)
                    .map_err(ResourceError::for_resource(path.display().to_string()))?;
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

    /// Whether this poller token belongs to one of the client's connections.
    pub fn owns_token(&self, token: u64) -> bool {
        self.connections.contains_key(&token)
    }

    /// The latest time at which [`ConsulClient::tick`] must be called, µs.
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

    /// Does everything that is due and returns the resulting updates.
    pub fn tick(&mut self, now: u64, poller: &Poller, tokens: &mut TokenAllocator) -> Vec<Update> {
        self.fail_timed_out_calls(now);
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

    fn fail_timed_out_calls(&mut self, now: u64) {
        let is_timed_out = |connection: &ServerConnection| {
            connection
                .in_flight
                .is_some_and(|call| call.deadline <= now)
        };
        let timed_out: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_timed_out(connection))
            .map(|(&token, _)| token)
            .collect();
        for token in timed_out {
            self.fail_call(now, token, "no response within the timeout");
        }
    }

    /// Sends a request on an idle connection to its server, or on a new one if none is idle.
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

    /// Opens a connection to a server and returns the connection's token.
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

    /// Closes a connection and fails the call on it, if there is one.
    fn fail_call(&mut self, now: u64, token: u64, reason: &str) {
        self.idle_tokens.retain(|&idle| idle != token);
        if let Some(connection) = self.connections.remove(&token)
            && let Some(call) = connection.in_flight
        {
            self.source.handle_failure(now, call.id, reason);
        }
    }

    /// Handles readiness of one of the connections.
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
        let (outcome, response) = server.read_response();
        match response {
            Err(error) => self.fail_call(now, token, &error.to_string()),
            Ok(Some(response)) => self.finish_call(now, token, outcome, response),
            Ok(None) if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) => {
                self.fail_call(
                    now,
                    token,
                    "connection closed before the response was complete",
                );
            }
            Ok(None) => {}
        }
    }

    /// Completes a call whose response was fully read. The connection is kept for later calls if it can be reused.
    fn finish_call(&mut self, now: u64, token: u64, outcome: ReadOutcome, response: Message) {
        let Some(server) = self.connections.get_mut(&token) else {
            return;
        };
        let is_reusable = response.head.is_keep_alive()
            && server.connection.unread().is_empty()
            && outcome == ReadOutcome::AllRead;
        if let Some(call) = server.in_flight.take() {
            self.source.handle_response(now, call.id, response);
        }
        if is_reusable && self.idle_tokens.len() < MAX_IDLE_CONNECTIONS {
            self.idle_tokens.push(token);
        } else {
            self.connections.remove(&token);
        }
    }
}
