//! Performs the engine's outputs in the required order.

use maplethread::Micros;

use super::{HOST_KIND, KIND_BITS, OWNER_KIND, Shell, token};
use crate::engine::{ConnectionId, Output, OwnerId};

impl Shell {
    pub(super) fn perform_outputs(&mut self, now: Micros) {
        loop {
            let mut outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                return;
            }
            // Messages to owners come first, because connecting to a host may require closing an owner's connection. The
            // other outputs keep their order.
            outputs.sort_by_key(|output| !matches!(output, Output::SendToOwner(..)));
            for output in outputs {
                self.perform_output(now, output);
            }
        }
    }

    fn perform_output(&mut self, now: Micros, output: Output) {
        match output {
            Output::SendToOwner(id, message) => self.send_to_owner(id, &message),
            Output::CloseOwner(id) => self.start_lingering(now, id),
            Output::Connect(id, address) => self.connect_host(now, id, address),
            Output::SendToHost(id, bytes) => {
                if let Some(connection) = self.host_connections.get_mut(&id) {
                    connection.write_buffer().extend_from_slice(&bytes);
                    self.pending_writes.insert(token(HOST_KIND, id.0));
                }
            }
            Output::SendToHostImmediately(id, bytes) => {
                self.send_to_host_immediately(now, id, &bytes)
            }
            Output::CloseConnection(id) => {
                self.host_connections.remove(&id);
                self.resume_accepting();
            }
            Output::DrainConnection(id) => self.start_draining(now, id),
        }
    }

    pub(super) fn flush_pending_writes(&mut self, now: Micros) {
        for token in std::mem::take(&mut self.pending_writes) {
            let number = token >> KIND_BITS;
            if token & ((1 << KIND_BITS) - 1) == OWNER_KIND {
                self.flush_owner(OwnerId(number));
            } else {
                self.flush_host(now, ConnectionId(number));
            }
        }
    }
}
