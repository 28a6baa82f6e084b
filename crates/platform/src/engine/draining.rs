//! Connections on which a host has sent what is invalid. Their attempts end at once, and no more messages are sent on them.
//! A host that has written the release of a task on such a connection considers it sent, so releases are still read until
//! the host has seen the end of the connection.

use maplethread::{AttemptOutcome, Micros, TaskId};
use maplethread_engine::Decide;
use maplethread_platform_wire::host::{DecodeError, MessageHeader};

use super::Engine;
use super::output::{ConnectionId, DisconnectReason, Output};

/// What the shell does with bytes of a host that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidMessage {
    /// The message is ignored; decoding continues after it.
    Skipped,
    /// The connection is drained.
    ConnectionDrained,
}

impl<D: Decide> Engine<D> {
    /// Handles bytes from a host that cannot be decoded. `header` is that of the message, if the message is complete.
    ///
    /// Hosts may send an answer with an invalid description under the id of a task that this placer does not know, ahead of a
    /// valid answer, so such a message is skipped. Otherwise the connection is drained.
    pub fn handle_invalid_message(
        &mut self,
        now: Micros,
        id: ConnectionId,
        error: DecodeError,
        header: Option<MessageHeader>,
    ) -> InvalidMessage {
        let is_well_formed = matches!(error, DecodeError::InvalidParameter(_));
        let is_about_unknown_task =
            header.is_some_and(|header| self.tasks.id_by_setup(header.id).is_none());
        if is_well_formed && is_about_unknown_task {
            return InvalidMessage::Skipped;
        }
        self.drain_connection(now, id);
        InvalidMessage::ConnectionDrained
    }

    fn drain_connection(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        self.draining_connections.insert(id, connection.machine);
        // This side of the connection is closed, but not the whole connection, so its attempts are ended one by one.
        let attempts: Vec<TaskId> = connection.attempts.iter().copied().collect();
        for task in attempts {
            self.abandon_attempt(task, AttemptOutcome::Disconnected, false);
        }
        self.outputs.push(Output::DrainConnection(id));
        self.connection_lost(now, id, DisconnectReason::Broken);
    }

    /// Handles the end of a connection that was drained.
    pub fn connection_drained(&mut self, id: ConnectionId) {
        self.draining_connections.remove(&id);
    }
}
