//! Executes the engine's outputs.

use maplethread_engine::{Decide, Output};

use super::Daemon;

/// Maximum number of times that outputs are executed per turn. Executing them may cause further ones, for example when
/// a connection fails.
const MAX_OUTPUT_ROUNDS: usize = 8;

impl<D: Decide> Daemon<D> {
    /// Executes the outputs of a turn and writes their bytes to clients and hosts.
    pub(super) fn execute_outputs(&mut self) {
        for _ in 0..MAX_OUTPUT_ROUNDS {
            let outputs = self.engine.take_outputs();
            if outputs.is_empty() {
                break;
            }
            for output in outputs {
                self.execute_output(output);
            }
        }
        for token in self.pending_writes.take() {
            self.flush_connection(token);
        }
        let now = self.event_loop.now();
        for arrived_at in self.engine.take_first_offer_arrivals() {
            self.gauges
                .decision_times
                .record(now.saturating_sub(arrived_at));
        }
        self.publish_gauges(now);
        self.lingering.close_expired(now);
    }

    fn execute_output(&mut self, output: Output) {
        match output {
            Output::ToClient(id, bytes) => self.write_to_client(id, &bytes),
            Output::CloseClient(id) => self.close_client(id),
            Output::ToHost(id, bytes) => self.write_to_host(id, &bytes),
            Output::Connect(id, address) => self.connect_host(id, address),
            Output::CloseHost(id) => self.close_host(id),
            Output::FetchMembership {
                client,
                slot,
                after,
            } => {
                let now = self.event_loop.now();
                let membership = self.membership.as_ref();
                let view = membership.map(|membership| membership.view_json(now, after));
                self.engine.answer_membership(client, slot, view.as_ref());
            }
        }
    }

    fn flush_connection(&mut self, token: u64) {
        if self.hosts.owns_token(token) {
            self.flush_host(token);
        } else {
            self.flush_client(token);
        }
    }
}
