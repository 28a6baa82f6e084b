//! The sockets of owners' connections. They are accepted while descriptors are left, read a limited number of bytes at a
//! time, and closed only after the owner had time to read what was written.

use maplethread::Micros;
use maplethread_platform_wire::owner::{self, ToOwner};
use maplethread_reactor::{ReadOutcome, Readiness, TcpConnection, is_resource_exhausted};

use super::{MAX_UNREAD_BYTES, OWNER_KIND, Shell, token};
use crate::engine::{OwnerConnectionEnd, OwnerId};

/// The maximum number of bytes read from one owner in one turn of the event loop. It keeps turns short when many owners
/// send at once, so that cancellations are read soon, in the next turn.
const OWNER_READ_BYTES: usize = 4 << 10;
/// The maximum number of bytes read from all owners in one turn, for the same reason.
pub(super) const MAX_OWNER_BYTES_PER_TURN: usize = 128 << 10;
/// The maximum number of unwritten bytes for an owner. One that reads too slowly is disconnected.
const MAX_UNWRITTEN_BYTES: usize = 256 << 10;
/// An owner with more unwritten bytes than this is throttled: its connection is not read.
const THROTTLE_ABOVE_BYTES: usize = 32 << 10;
/// A throttled owner's connection is read again once it has no more unwritten bytes than this.
const RESUME_BELOW_BYTES: usize = 8 << 10;
/// The maximum number of connections accepted in one turn. Each may require closing another one, whose input is read first.
const MAX_ACCEPTS_PER_TURN: usize = 32;
/// How long accepting is paused when no descriptor is left, unless a connection is closed before.
const ACCEPT_RETRY_DELAY: Micros = 100_000;
/// Above this share of the connections, owners without pending requests are disconnected before new ones are accepted. By
/// the platform protocol the platform's own owners use at most a third of the connections.
const SOFT_OWNER_SHARE: Share = Share {
    numerator: 1,
    denominator: 2,
};
/// The maximum share of the connections for owners, and the same for hosts, so that neither can use all of them. Beyond it
/// new owners wait in the backlog.
pub(super) const MAX_PEER_SHARE: Share = Share {
    numerator: 3,
    denominator: 4,
};
/// The maximum number of connections examined to find one that can be closed.
const MAX_CLOSE_CANDIDATES: usize = 8;

/// A fraction of a total.
pub(super) struct Share {
    numerator: usize,
    denominator: usize,
}

impl Share {
    /// This fraction of `total`, rounded down.
    pub(super) const fn of(&self, total: usize) -> usize {
        total * self.numerator / self.denominator
    }
}

/// Which owners' connections without pending requests may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closable {
    /// Those without running tasks.
    WithoutRunningTasks,
    /// All, those with running tasks last.
    All,
}

pub(super) struct OwnerConnection {
    pub(super) conn: TcpConnection,
    scanned_bytes: usize,
    /// The turn in which the connection was last read.
    last_read_turn: u64,
    /// The turn in which anything was last received.
    last_received_turn: u64,
}

impl OwnerConnection {
    /// The turn in which the connection was last read.
    pub(super) fn last_read_turn(&self) -> u64 {
        self.last_read_turn
    }
}

/// The number of bytes that were read and not decoded, or not written.
fn buffered_bytes(connection: &TcpConnection) -> usize {
    connection.unread().len() + connection.unwritten_bytes()
}

impl Shell {
    /// The number of connections of owners and hosts.
    pub(super) fn connection_count(&self) -> usize {
        self.owners.len()
            + self.lingering.len()
            + self.host_connections.len()
            + self.draining_hosts.len()
    }

    pub(super) fn accept_owners(&mut self) {
        // To close a connection its input has to be read, also if the limit for reading is reached.
        self.owner_read_budget = MAX_OWNER_BYTES_PER_TURN;
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.is_at_owner_limit() {
                self.close_owners_above_soft_limit();
                if self.is_at_owner_limit() && !self.close_lowest_priority_owner(Closable::All) {
                    return self.pause_accepting();
                }
            }
            let Some(listener) = &self.listener else {
                return;
            };
            let (stream, address) = match listener.accept() {
                Ok(Some(accepted)) => accepted,
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed");
                    if is_resource_exhausted(&error)
                        && !self.close_lowest_priority_owner(Closable::All)
                    {
                        return self.pause_accepting();
                    }
                    continue;
                }
            };
            // Owners are disconnected only now that another one has connected. Otherwise the latest one could be, before it
            // has sent its first request.
            self.close_owners_above_soft_limit();
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
                            last_received_turn: 0,
                        },
                    );
                    let now = self.event_loop.now();
                    self.engine.owner_connected(now, id, address.ip());
                }
                Err(error) => tracing::warn!(%error, "cannot set up an accepted connection"),
            }
        }
    }

    /// Whether no further owner can be accepted.
    fn is_at_owner_limit(&self) -> bool {
        self.owners.len() >= MAX_PEER_SHARE.of(self.max_connections)
            || self.connection_count() >= self.max_connections
    }

    /// Disconnects owners without pending requests until there is room for one more below the soft limit.
    fn close_owners_above_soft_limit(&mut self) {
        let soft_owner_limit = SOFT_OWNER_SHARE.of(self.max_connections);
        while self.owners.len() + self.lingering.len() >= soft_owner_limit
            && self.close_lowest_priority_owner(Closable::WithoutRunningTasks)
        {}
    }

    /// Pauses accepting. Otherwise the poller would report the waiting connections in each turn, although none can be
    /// accepted.
    fn pause_accepting(&mut self) {
        if self.accept_paused_until.is_none() && self.set_accepting(false) {
            tracing::debug!(
                owners = self.owners.len(),
                hosts = self.host_connections.len(),
                "accepting paused: connection limit reached"
            );
            self.accept_paused_until = Some(self.event_loop.now() + ACCEPT_RETRY_DELAY);
        }
    }

    /// Ends a pause of accepting, as a connection was closed.
    pub(super) fn resume_accepting(&mut self) {
        if let Some(until) = &mut self.accept_paused_until {
            *until = 0;
        }
    }

    /// Closes lingering connections whose time is over, and resumes accepting at the end of a pause.
    pub(super) fn expire_owner_timers(&mut self, now: Micros) {
        self.lingering
            .retain(|_, connection| connection.until > now);
        if self.accept_paused_until.is_some_and(|until| until <= now) && self.set_accepting(true) {
            self.accept_paused_until = None;
        }
    }

    /// Turns the notification of new connections on or off. Returns whether that succeeded.
    fn set_accepting(&self, is_accepting: bool) -> bool {
        self.listener.as_ref().is_some_and(|listener| {
            listener
                .set_accepting(is_accepting, self.event_loop.poller())
                .is_ok()
        })
    }

    /// Closes a lingering connection or that of the lowest-priority owner. Returns whether one was closed. The owner's input
    /// is read first, as it may contain a request.
    pub(super) fn close_lowest_priority_owner(&mut self, closable: Closable) -> bool {
        if self.lingering.pop_first().is_some() {
            return true;
        }
        let includes_running = closable == Closable::All;
        let candidates = self
            .engine
            .lowest_priority_owners(includes_running, MAX_CLOSE_CANDIDATES);
        for id in candidates {
            let has_received = self.read_owner_once(id);
            if !self.owners.contains_key(&id) {
                return true;
            }
            self.flush_owner(id);
            if !has_received
                && self
                    .owners
                    .get(&id)
                    .is_some_and(|owner| owner.conn.unwritten_bytes() == 0)
            {
                self.disconnect_owner(id, OwnerConnectionEnd::Broken);
                return true;
            }
        }
        false
    }

    /// Reads a limited part of an owner's input, unless it was read in this turn already. Returns whether anything was
    /// received in this turn, or may be unread because the limit of the turn is reached.
    fn read_owner_once(&mut self, id: OwnerId) -> bool {
        let turn_number = self.turn_number;
        let Some(owner) = self.owners.get_mut(&id) else {
            return false;
        };
        if owner.last_read_turn == turn_number {
            return owner.last_received_turn == turn_number;
        }
        if self.owner_read_budget == 0 {
            return true;
        }
        owner.last_read_turn = turn_number;
        let has_received = self.read_owner(id, OWNER_READ_BYTES);
        if has_received && let Some(owner) = self.owners.get_mut(&id) {
            owner.last_received_turn = turn_number;
        }
        has_received
    }

    fn disconnect_owner(&mut self, id: OwnerId, end: OwnerConnectionEnd) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        self.buffered_owners.remove(&id);
        let end = if owner.conn.unwritten_bytes() > 0 {
            OwnerConnectionEnd::Unwritten
        } else {
            end
        };
        let now = self.event_loop.now();
        self.engine.owner_disconnected(now, id, end);
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
        if !self.owners.contains_key(&id) {
            return;
        }
        if readiness.is_closed {
            // Input may be unread, such as closes of running tasks, but the owner does not read answers any more.
            self.engine.owner_half_closed(id);
        }
        self.read_owner_once(id);
    }

    /// Reads at most `max_bytes` from an owner and handles its messages. Returns whether anything was received.
    pub(super) fn read_owner(&mut self, id: OwnerId, max_bytes: usize) -> bool {
        let now = self.event_loop.now();
        let Some(owner) = self.owners.get_mut(&id) else {
            return false;
        };
        let unread_before = owner.conn.unread().len();
        let outcome = owner.conn.read_available(max_bytes, MAX_UNREAD_BYTES);
        let received_bytes = owner.conn.unread().len() - unread_before;
        self.owner_read_budget = self.owner_read_budget.saturating_sub(received_bytes);
        let mut has_received = received_bytes > 0;
        if has_received {
            let has_more = outcome == ReadOutcome::LimitReached;
            self.engine
                .record_owner_input(now, id, received_bytes, has_more);
        }
        while let Some((message, length)) =
            owner::decode(owner.conn.unread(), &mut owner.scanned_bytes)
        {
            owner.conn.consume(length);
            tracing::trace!(owner = id.0, ?message, "message from owner");
            self.engine.handle_owner_message(now, id, message);
            has_received = true;
        }
        match outcome {
            ReadOutcome::Closed => self.disconnect_owner(id, OwnerConnectionEnd::Orderly),
            ReadOutcome::Failed => self.disconnect_owner(id, OwnerConnectionEnd::Broken),
            ReadOutcome::AllRead | ReadOutcome::LimitReached => {}
        }
        self.track_owner_buffers(id);
        has_received
    }

    pub(super) fn send_to_owner(&mut self, id: OwnerId, message: &ToOwner) {
        tracing::trace!(owner = id.0, ?message, "message to owner");
        if let Some(owner) = self.owners.get_mut(&id) {
            owner::encode(owner.conn.write_buffer(), message);
            self.pending_writes.insert(token(OWNER_KIND, id.0));
        }
    }

    pub(super) fn flush_owner(&mut self, id: OwnerId) {
        if self.flush_lingering(id) {
            return;
        }
        let Some(owner) = self.owners.get_mut(&id) else {
            return;
        };
        let has_failed = owner.conn.flush(self.event_loop.poller()).is_err();
        let unwritten_bytes = owner.conn.unwritten_bytes();
        if has_failed || unwritten_bytes > MAX_UNWRITTEN_BYTES {
            return self.disconnect_owner(id, OwnerConnectionEnd::Broken);
        }
        // While an owner does not read its answers, no further requests are read from it, so that its unwritten bytes do
        // not grow. The end of its connection is still reported.
        let is_throttled = unwritten_bytes
            > if owner.conn.is_reading() {
                THROTTLE_ABOVE_BYTES
            } else {
                RESUME_BELOW_BYTES
            };
        if owner.conn.is_reading() == is_throttled {
            if owner
                .conn
                .set_reading(!is_throttled, self.event_loop.poller())
                .is_err()
            {
                return self.disconnect_owner(id, OwnerConnectionEnd::Broken);
            }
            let now = self.event_loop.now();
            self.engine.set_owner_input_stopped(now, id, is_throttled);
        }
        self.track_owner_buffers(id);
    }

    /// Records whether an owner's connection has buffered bytes.
    fn track_owner_buffers(&mut self, id: OwnerId) {
        let has_buffered_bytes = self
            .owners
            .get(&id)
            .is_some_and(|owner| buffered_bytes(&owner.conn) > 0);
        if has_buffered_bytes {
            self.buffered_owners.insert(id);
        } else {
            self.buffered_owners.remove(&id);
        }
    }

    /// Closes the connections with the most buffered bytes while all together have too many.
    pub(super) fn limit_owner_buffers(&mut self) {
        loop {
            let open = self
                .buffered_owners
                .iter()
                .filter_map(|id| self.owners.get(id).map(|owner| (*id, &owner.conn)));
            let lingering = self
                .lingering
                .iter()
                .map(|(id, connection)| (*id, &connection.conn));
            let held: Vec<(usize, OwnerId)> = open
                .chain(lingering)
                .map(|(id, connection)| (buffered_bytes(connection), id))
                .collect();
            let total: usize = held.iter().map(|(bytes, _)| bytes).sum();
            if total <= self.max_buffer_bytes {
                return;
            }
            let Some(&(bytes, id)) = held.iter().max() else {
                return;
            };
            tracing::debug!(
                owner = id.0,
                bytes,
                total,
                "disconnecting owner: the buffers of all owners are full"
            );
            if self.lingering.remove(&id).is_none() {
                self.disconnect_owner(id, OwnerConnectionEnd::Broken);
            }
        }
    }
}
