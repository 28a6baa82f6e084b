//! Owners' connections that are being closed, and the shutdown, which closes all of them. A socket that is closed with unread
//! bytes sends a reset, which may discard data that the owner has not read. So the connection is half-closed once all is
//! written, and read until its owner has closed it too.

use maplethread::Micros;
use maplethread_reactor::{ReadOutcome, TcpConnection};

use super::owners::OwnerConnection;
use super::{KIND_BITS, MAX_UNREAD_BYTES, OWNER_KIND, Shell, token};
use crate::engine::OwnerId;
use crate::startup::StartError;

/// How long a connection that is being closed is kept, so that its owner can read what was written to it.
const LINGER_TIMEOUT: Micros = 5_000_000;
/// How many bytes are read and discarded on a connection that is being closed. After this many reading stops, and TCP flow
/// control blocks an owner that sends more.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// The maximum number of connections that are being closed.
const MAX_LINGERING_CONNECTIONS: usize = 64;
/// How long the shutdown waits for owners to read what was written to them. `ShutdownSchedule` reserves time for it.
const SHUTDOWN_LINGER_TIMEOUT: Micros = 250_000;

/// A connection that is being closed.
pub(super) struct LingeringConnection {
    pub(super) conn: TcpConnection,
    pub(super) until: Micros,
    /// How many further bytes may be read and discarded.
    remaining_bytes: usize,
    /// The placer's side of the connection is closed: all bytes are written.
    is_write_closed: bool,
}

impl Shell {
    /// Closes an owner's connection, which the engine has removed, after giving the owner time to read what was written to
    /// it.
    pub(super) fn start_lingering(&mut self, now: Micros, id: OwnerId) {
        let Some(OwnerConnection { conn, .. }) = self.owners.remove(&id) else {
            return;
        };
        self.buffered_owners.remove(&id);
        self.resume_accepting();
        if conn.written_bytes() == 0 && conn.unwritten_bytes() == 0 {
            return;
        }
        if self.lingering.len() >= MAX_LINGERING_CONNECTIONS {
            self.lingering.pop_first();
        }
        self.keep_lingering(id, conn, now + LINGER_TIMEOUT);
    }

    fn keep_lingering(&mut self, id: OwnerId, mut conn: TcpConnection, until: Micros) {
        // Further input is read and discarded.
        if conn.set_reading(true, self.event_loop.poller()).is_ok() {
            let unread_bytes = conn.unread().len();
            conn.consume(unread_bytes);
            self.lingering.insert(
                id,
                LingeringConnection {
                    conn,
                    until,
                    remaining_bytes: MAX_LINGER_BYTES,
                    is_write_closed: false,
                },
            );
            self.pending_writes.insert(token(OWNER_KIND, id.0));
        }
    }

    /// Writes to a connection that is being closed, and closes this side once all is written. Returns whether there is one.
    pub(super) fn flush_lingering(&mut self, id: OwnerId) -> bool {
        let Some(lingering) = self.lingering.get_mut(&id) else {
            return false;
        };
        if lingering.conn.flush(self.event_loop.poller()).is_err() {
            self.lingering.remove(&id);
        } else if lingering.conn.unwritten_bytes() == 0
            && !std::mem::replace(&mut lingering.is_write_closed, true)
        {
            lingering.conn.shutdown_write();
        }
        true
    }

    /// Reads and discards the input of a connection that is being closed.
    pub(super) fn discard_input(&mut self, id: OwnerId) {
        let Some(lingering) = self.lingering.get_mut(&id) else {
            return;
        };
        let outcome = lingering
            .conn
            .read_available(MAX_UNREAD_BYTES, MAX_UNREAD_BYTES);
        let unread_bytes = lingering.conn.unread().len();
        lingering.conn.consume(unread_bytes);
        lingering.remaining_bytes = lingering.remaining_bytes.saturating_sub(unread_bytes);
        let is_within_limit_or_paused = lingering.remaining_bytes > 0
            || lingering
                .conn
                .set_reading(false, self.event_loop.poller())
                .is_ok();
        if !is_within_limit_or_paused
            || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed)
        {
            self.lingering.remove(&id);
            self.resume_accepting();
        }
    }

    /// Shuts down. Input that has arrived is handled, with new requests rejected; then each owner's connection is half-closed
    /// and read until its owner has closed it too, or until `SHUTDOWN_LINGER_TIMEOUT` is over.
    pub(super) fn shut_down(&mut self) -> Result<(), StartError> {
        self.engine.reject_new_requests();
        let ids: Vec<OwnerId> = self.owners.keys().copied().collect();
        for &id in &ids {
            self.read_owner(id, MAX_UNREAD_BYTES);
        }
        let now = self.event_loop.now();
        self.engine.turn(now);
        self.perform_outputs(now);
        self.flush_pending_writes(now);
        self.host_connections.clear();
        self.draining_hosts.clear();
        self.channel_connection = None;
        for (id, owner) in std::mem::take(&mut self.owners) {
            self.keep_lingering(id, owner.conn, now + SHUTDOWN_LINGER_TIMEOUT);
        }
        self.flush_pending_writes(now);
        // New connections are refused at once from now on, so that owners can use another placer.
        self.listener = None;
        let mut ready = Vec::new();
        while !self.lingering.is_empty() {
            let now = self.event_loop.now();
            self.lingering
                .retain(|_, connection| connection.until > now);
            let until = self
                .lingering
                .values()
                .map(|connection| connection.until)
                .max()
                .unwrap_or(now);
            self.event_loop.wait_until(Some(until), &mut ready)?;
            for readiness in ready
                .iter()
                .filter(|readiness| readiness.token & ((1 << KIND_BITS) - 1) == OWNER_KIND)
            {
                self.handle_owner_ready(OwnerId(readiness.token >> KIND_BITS), readiness);
            }
            self.flush_pending_writes(now);
        }
        Ok(())
    }
}
