//! The sockets of owners' connections: accepted while there are descriptors, read a little at a time, and closed so that
//! what was written to them arrives.

use maplethread::Micros;
use maplethread_platform_wire::owner::{self, ToOwner};
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection, is_resource_exhausted};

use super::{KIND_BITS, MAX_UNREAD_BYTES, OWNER_KIND, Shell, token};
use crate::engine::OwnerId;
use crate::startup::StartError;

/// How many bytes are read from one owner in one turn of the loop. However many owners send at once, the turn ends soon,
/// and what they cancel is read in the next one.
const OWNER_READ_BYTES: usize = 4 << 10;
/// How many bytes may wait for an owner; one that reads too slowly is disconnected.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 256 << 10;
/// An owner for which more bytes than this wait is throttled: it is not read...
const THROTTLE_ABOVE_BYTES: usize = 32 << 10;
/// ...until fewer bytes than this wait.
const RESUME_BELOW_BYTES: usize = 8 << 10;
/// How many connections are accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// How long accepting is paused when there is no descriptor, in microseconds, unless a connection is closed before.
const ACCEPT_RETRY: Micros = 100_000;
/// The share of the connections that owners hold (the platform's own keep to a third, PROTOCOL), unless all of them have
/// pending requests.
const USUAL_OWNER_SHARE: Share = Share {
    numerator: 1,
    denominator: 2,
};
/// The largest share that owners hold, and that hosts hold: each leaves room for the other. Beyond it new owners wait in
/// the backlog.
pub(super) const MAX_PEER_SHARE: Share = Share {
    numerator: 3,
    denominator: 4,
};
/// How long a connection that is being closed is kept at most, in microseconds, so that its owner can read what was written
/// to it.
const LINGER_TIMEOUT: Micros = 5_000_000;
/// How many bytes that the owner sends meanwhile are read and dropped: closing with bytes unread is a reset, which may
/// destroy what was written. An owner that sends more is held up by its own socket.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// How many connections are kept that are being closed.
const MAX_LINGERING: usize = 64;
/// How long the end of the process waits for owners to read what was written to them, in microseconds;
/// `ShutdownSchedule` leaves time for it.
const SHUTDOWN_LINGER_TIMEOUT: Micros = 250_000;
/// How many connections are examined to find one that can be closed.
const MAX_CLOSE_CANDIDATES: usize = 8;

/// A part of a whole.
pub(super) struct Share {
    numerator: usize,
    denominator: usize,
}

impl Share {
    /// This part of a number, rounded down.
    pub(super) const fn of(&self, whole: usize) -> usize {
        whole * self.numerator / self.denominator
    }
}

pub(super) struct OwnerConnection {
    pub(super) conn: TcpConnection,
    scanned_bytes: usize,
    /// The turn in which it was last read.
    last_read_turn: u64,
}

/// A connection that is being closed.
pub(super) struct LingeringConnection {
    conn: TcpConnection,
    pub(super) until: Micros,
    /// How many bytes are still read.
    remaining_bytes: usize,
    /// This side is closed.
    is_write_closed: bool,
}

impl Shell {
    /// How many connections owners and hosts hold.
    pub(super) fn connection_count(&self) -> usize {
        self.owners.len() + self.lingering.len() + self.host_connections.len()
    }

    pub(super) fn accept_owners(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let usual_owners = USUAL_OWNER_SHARE.of(self.max_connections);
            while self.owners.len() + self.lingering.len() >= usual_owners
                && self.close_least_useful_owner()
            {}
            if self.owners.len() >= MAX_PEER_SHARE.of(self.max_connections)
                || self.connection_count() >= self.max_connections
            {
                return self.pause_accepting();
            }
            let Some(listener) = &self.listener else {
                return;
            };
            let stream = match listener.accept() {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    if is_resource_exhausted(&error) && !self.close_least_useful_owner() {
                        return self.pause_accepting();
                    }
                    continue;
                }
            };
            self.last_owner_id += 1;
            let id = OwnerId(self.last_owner_id);
            match TcpConnection::from_accepted(
                stream,
                token(OWNER_KIND, id.0),
                self.event_loop.poller(),
            ) {
                Ok(conn) => {
                    self.owners.insert(
                        id,
                        OwnerConnection {
                            conn,
                            scanned_bytes: 0,
                            last_read_turn: 0,
                        },
                    );
                    self.engine.owner_connected(self.event_loop.now(), id);
                }
                Err(error) => tracing::warn!(%error, "owner connection failed"),
            }
        }
    }

    /// Accepts nothing for a while: a listener that is ready and can't be served would be reported in each turn.
    fn pause_accepting(&mut self) {
        if self.accept_paused_until.is_none() && self.set_accepting(false) {
            tracing::debug!(
                owners = self.owners.len(),
                hosts = self.host_connections.len(),
                "accepting paused: no descriptor left"
            );
            self.accept_paused_until = Some(self.event_loop.now() + ACCEPT_RETRY);
        }
    }

    /// A descriptor is free again: connections of the backlog are accepted.
    pub(super) fn resume_accepting(&mut self) {
        if let Some(at) = &mut self.accept_paused_until {
            *at = 0;
        }
    }

    /// Drops connections that have lingered long enough, and accepts again when a pause is over.
    pub(super) fn expire_owner_timers(&mut self, now: Micros) {
        self.lingering.retain(|_, l| l.until > now);
        if self.accept_paused_until.is_some_and(|at| at <= now) && self.set_accepting(true) {
            self.accept_paused_until = None;
        }
    }

    /// Turns the report of new connections on or off. Returns whether that worked.
    fn set_accepting(&self, on: bool) -> bool {
        self.listener
            .as_ref()
            .is_some_and(|l| l.set_accepting(on, self.event_loop.poller()).is_ok())
    }

    /// Closes the least useful owner's connection. Returns whether there was one. What it has sent by now is read first, as
    /// that may be a request.
    pub(super) fn close_least_useful_owner(&mut self) -> bool {
        if self.lingering.pop_first().is_some() {
            return true;
        }
        for _ in 0..MAX_CLOSE_CANDIDATES {
            let Some(id) = self.engine.least_useful_owner() else {
                return false;
            };
            let said = self.read_owner(id, MAX_UNREAD_BYTES);
            if !self.owners.contains_key(&id) {
                return true;
            }
            self.flush_owner(id);
            if !said
                && self
                    .owners
                    .get(&id)
                    .is_some_and(|o| o.conn.unwritten_bytes() == 0)
            {
                self.disconnect_owner(id);
                return true;
            }
        }
        false
    }

    fn disconnect_owner(&mut self, id: OwnerId) {
        self.owners.remove(&id);
        self.throttled_owners.remove(&id);
        self.engine.owner_disconnected(id);
        self.resume_accepting();
    }

    pub(super) fn handle_owner_ready(&mut self, id: OwnerId, readiness: &Readiness) {
        if readiness.is_writable {
            self.pending_writes.insert(token(OWNER_KIND, id.0));
        }
        if !readiness.is_readable {
            return;
        }
        if self.lingering.contains_key(&id) {
            return self.discard_input(id);
        }
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        if readiness.is_closed {
            // Bytes that it sent may be unread, such as closes of running tasks, but it waits for no answer any more.
            self.engine.owner_half_closed(id);
        }
        if std::mem::replace(&mut owner.last_read_turn, self.turn_number) != self.turn_number {
            self.read_owner(id, OWNER_READ_BYTES);
        }
    }

    /// Reads at most this many bytes of an owner. Returns whether it sent anything.
    fn read_owner(&mut self, id: OwnerId, most: usize) -> bool {
        let now = self.event_loop.now();
        let Some(owner) = self.owners.get_mut(&id) else {
            return false;
        };
        let before = owner.conn.unread().len();
        let outcome = owner.conn.read_available(most, MAX_UNREAD_BYTES);
        let mut said = owner.conn.unread().len() > before;
        while let Some((message, length)) =
            owner::decode(owner.conn.unread(), &mut owner.scanned_bytes)
        {
            owner.conn.consume(length);
            tracing::trace!(owner = id.0, ?message, "message from owner");
            self.engine.handle_owner_message(now, id, message);
            said = true;
        }
        if matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.disconnect_owner(id);
        }
        said
    }

    pub(super) fn send_to_owner(&mut self, id: OwnerId, message: &ToOwner) {
        tracing::trace!(owner = id.0, ?message, "message to owner");
        if let Some(owner) = self.owners.get_mut(&id) {
            owner::encode(owner.conn.write_buffer(), message);
            self.pending_writes.insert(token(OWNER_KIND, id.0));
        }
    }

    pub(super) fn flush_owner(&mut self, id: OwnerId) {
        if let Some(closing) = self.lingering.get_mut(&id) {
            if closing.conn.flush(self.event_loop.poller()).is_err() {
                self.lingering.remove(&id);
            } else if closing.conn.unwritten_bytes() == 0
                && !std::mem::replace(&mut closing.is_write_closed, true)
            {
                closing.conn.shutdown_write();
            }
            return;
        }
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        let failed = owner.conn.flush(self.event_loop.poller()).is_err();
        let waits = owner.conn.unwritten_bytes();
        if failed || waits > MAX_UNWRITTEN_BYTES {
            return self.disconnect_owner(id);
        }
        // An owner that does not read is not read either, so that what waits for it does not grow; its end is still seen.
        let throttled = waits
            > if owner.conn.is_reading() {
                THROTTLE_ABOVE_BYTES
            } else {
                RESUME_BELOW_BYTES
            };
        if owner
            .conn
            .set_reading(!throttled, self.event_loop.poller())
            .is_err()
        {
            return self.disconnect_owner(id);
        }
        if !throttled {
            self.throttled_owners.remove(&id);
        } else if self.throttled_owners.insert(id)
            && self.throttled_owners.len() > self.max_throttled_owners
        {
            let waits = |id: &OwnerId| self.owners.get(id).map_or(0, |o| o.conn.unwritten_bytes());
            if let Some(worst) = self.throttled_owners.iter().copied().max_by_key(waits) {
                self.disconnect_owner(worst);
            }
        }
    }

    /// Closes an owner's connection, which the engine knows no more, once the owner can have read what was written to it.
    pub(super) fn start_lingering(&mut self, now: Micros, id: OwnerId) {
        let Some(OwnerConnection { conn, .. }) = self.owners.remove(&id) else {
            return;
        };
        self.throttled_owners.remove(&id);
        self.resume_accepting();
        if conn.written_bytes() == 0 && conn.unwritten_bytes() == 0 {
            return;
        }
        if self.lingering.len() >= MAX_LINGERING {
            self.lingering.pop_first();
        }
        self.keep_lingering(id, conn, now + LINGER_TIMEOUT);
    }

    fn keep_lingering(&mut self, id: OwnerId, mut conn: TcpConnection, until: Micros) {
        // What the owner still sends is read and dropped.
        if conn.set_reading(true, self.event_loop.poller()).is_ok() {
            let all = conn.unread().len();
            conn.consume(all);
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

    /// Reads and drops what arrives on a connection that is being closed.
    fn discard_input(&mut self, id: OwnerId) {
        let Some(closing) = self.lingering.get_mut(&id) else {
            return;
        };
        let outcome = closing
            .conn
            .read_available(MAX_UNREAD_BYTES, MAX_UNREAD_BYTES);
        let all = closing.conn.unread().len();
        closing.conn.consume(all);
        closing.remaining_bytes = closing.remaining_bytes.saturating_sub(all);
        let throttled = closing.remaining_bytes > 0
            || closing
                .conn
                .set_reading(false, self.event_loop.poller())
                .is_ok();
        if !throttled || matches!(outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            self.lingering.remove(&id);
            self.resume_accepting();
        }
    }

    /// Ends the service. What has arrived by now is answered, new requests with a rejection; then each owner's connection is
    /// half-closed and read until its owner has closed it too, or time is up.
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
        self.channel_connection = None;
        for (id, owner) in std::mem::take(&mut self.owners) {
            self.keep_lingering(id, owner.conn, now + SHUTDOWN_LINGER_TIMEOUT);
        }
        self.flush_pending_writes(now);
        // Who connects now is refused at once, and can go elsewhere.
        self.listener = None;
        let mut ready = Vec::new();
        while !self.lingering.is_empty() {
            let now = self.event_loop.now();
            self.lingering.retain(|_, l| l.until > now);
            let until = self
                .lingering
                .values()
                .map(|l| l.until)
                .max()
                .unwrap_or(now);
            self.event_loop.wait_until(Some(until), &mut ready)?;
            for r in ready
                .iter()
                .filter(|r| r.token & ((1 << KIND_BITS) - 1) == OWNER_KIND)
            {
                self.handle_owner_ready(OwnerId(r.token >> KIND_BITS), r);
            }
            self.flush_pending_writes(now);
        }
        Ok(())
    }
}
