//! Processes a history entry by entry and dispatches each observation to the rules that it affects.

use maplethread_wire::frame::{Frame, Offer, Reason};

use crate::history::{HistoryEntry, Observation};
use crate::parameters::RuleParameters;
use crate::state::{
    Attempt, AttemptId, Checker, ConnectionKey, Name, PlacerAndHost, PlacerProcess,
};
use crate::verdict::Verdict;

/// Checks a history against the five rules. Its entries must be sorted by time.
pub fn check(history: &[HistoryEntry], parameters: &RuleParameters) -> Verdict {
    let mut checker = Checker::new(history, parameters);
    for (index, entry) in history.iter().enumerate() {
        (checker.now, checker.entry_index) = (entry.at_us, index);
        let read_through = checker.observer_delay.hosts_read_through(
            &entry.observation,
            entry.at_us,
            parameters.timing_slack_us,
        );
        checker.report_due_spread_violations(read_through);
        checker.report_due_concurrent_attempts(read_through);
        checker.stop_counting_lost_connections(entry.at_us);
        checker.apply(&entry.observation);
    }
    let end = history.last().map_or(0, |entry| entry.at_us);
    checker.report_due_spread_violations(u64::MAX);
    checker.report_due_concurrent_attempts(u64::MAX);
    checker.check_unanswered_requests(end);
    checker.verdict.replica_index_waits_us = checker.replica_indexes.finish(end);
    checker.verdict
}

impl Checker<'_> {
    fn apply(&mut self, observation: &Observation) {
        match observation {
            Observation::HostStarted { host, started_ms } => self.start_host(host, *started_ms),
            Observation::HostStopped { host } => self.stop_counting_host(host),
            Observation::PlacerConnected { .. }
            | Observation::ConnectionLost { .. }
            | Observation::FrameFromPlacer { .. }
            | Observation::FrameFromHost { .. } => self.apply_host_traffic(observation),
            Observation::PlacementRequested { .. }
            | Observation::Answered { .. }
            | Observation::ClientConnectionLost { .. }
            | Observation::ClientDisconnected { .. } => self.apply_client_traffic(observation),
            Observation::InventoryReplaced { ready, gone } => {
                self.apply_gone_hosts(gone);
                self.apply_ready_hosts(ready);
            }
            Observation::CatalogueAnswered {
                placer,
                index,
                consistent,
                body,
            } => self.apply_catalogue_answer(placer, *index, *consistent, body),
            Observation::PlacerStarted { placer } => {
                self.observe_replica_indexes(observation);
                // The new process has not received what was sent to the previous one.
                let drained_hosts = &mut self.drained_hosts;
                drained_hosts
                    .missing_from_catalogue
                    .retain(|key, _| key.placer != *placer);
                drained_hosts.highest_catalogue_index.remove(placer);
            }
            Observation::ReplicaIndexLocked { .. }
            | Observation::ReplicaIndexReleased { .. }
            | Observation::CatalogueLeaderLost { .. }
            | Observation::PlacerStopped { .. }
            | Observation::PlacerPaused { .. }
            | Observation::PlacerResumed { .. } => self.observe_replica_indexes(observation),
            Observation::ObserverDelayed {
                observer,
                delayed_since_us: since,
            } => {
                self.observer_delay.set_delay(*observer, *since);
            }
            // `Availability` has already read these from the whole history.
            Observation::InventoryUnreadable => {}
        }
    }

    fn apply_host_traffic(&mut self, observation: &Observation) {
        let key = |host: &Name, connection: u64| ConnectionKey {
            host: host.clone(),
            connection,
        };
        match observation {
            Observation::PlacerConnected {
                host,
                connection,
                placer,
                generation: incarnation,
            } => self.connect(&key(host, *connection), placer, *incarnation),
            Observation::ConnectionLost { host, connection } => {
                self.record_connection_loss(&key(host, *connection));
            }
            Observation::FrameFromPlacer {
                host,
                connection,
                frame,
            } => self.apply_placer_frame(&key(host, *connection), frame),
            Observation::FrameFromHost {
                host,
                connection,
                frame,
            } => self.apply_host_frame(&key(host, *connection), frame),
            _ => {}
        }
    }

    fn apply_client_traffic(&mut self, observation: &Observation) {
        let now = self.now;
        match observation {
            Observation::PlacementRequested {
                request,
                placer,
                budget_us,
                ..
            } => self.record_request(request, placer, *budget_us),
            Observation::Answered { request, outcome } => self.record_answer(request, outcome),
            Observation::ClientConnectionLost { request } => {
                if let Some(state) = self.requests.get_mut(request) {
                    state.connection_lost_at = state.connection_lost_at.or(Some(now));
                }
            }
            Observation::ClientDisconnected { request } => {
                if let Some(state) = self.requests.get_mut(request) {
                    state.disconnected_at = state.disconnected_at.or(Some(now));
                }
            }
            _ => {}
        }
    }

    fn observe_replica_indexes(&mut self, observation: &Observation) {
        if let Some(description) = self.replica_indexes.observe(self.now, observation) {
            self.report_violation(4, description, vec![self.entry_index]);
        }
    }

    fn start_host(&mut self, host: &Name, started_ms: u64) {
        self.warm_up.started_ms.insert(host.clone(), started_ms);
        self.warm_up.announced.retain(|key| key.host != *host);
        self.warm_up.offers.remove(host);
        // The tasks and the announcements of the previous process ended with it.
        self.stop_counting_host(host);
        self.drained_hosts
            .draining
            .retain(|key, _| key.host != *host);
    }

    fn connect(&mut self, connection: &ConnectionKey, placer: &Name, generation: u64) {
        let process = PlacerProcess {
            placer: placer.clone(),
            generation,
        };
        self.connections.insert(connection.clone(), process);
        self.expect_reports(connection, placer);
        self.warm_up.announced.insert(PlacerAndHost {
            placer: placer.clone(),
            host: connection.host.clone(),
        });
    }

    fn apply_placer_frame(&mut self, connection: &ConnectionKey, frame: &Frame) {
        match frame {
            Frame::Offer(offer) => self.apply_offer(connection, offer),
            Frame::Cancel(id) => self.apply_stop(*id, true),
            Frame::Stop(id) => self.apply_stop(*id, false),
            _ => {}
        }
    }

    fn apply_offer(&mut self, connection: &ConnectionKey, offer: &Offer) {
        let Some(process) = self.connections.get(connection).cloned() else {
            return;
        };
        let (host, placer) = (&connection.host, &process.placer);
        self.verdict.offers += 1;
        let request: Name = offer.request_id.as_str().into();
        self.check_offer_repetition(&request, &process, host, offer);
        self.check_drained_host(placer, host);
        self.check_warm_up_budget(placer, host);
        let attempt = Attempt {
            prior_attempts: offer.prior_attempts,
            host: host.clone(),
            connection: connection.connection,
            sent_at: self.now,
            evidence: self.entry_index,
            ended_at: None,
            never_ran: false,
            is_accepted: false,
        };
        self.attempts.insert(offer.attempt_id, attempt);
        self.attempts_by_host
            .entry(host.clone())
            .or_default()
            .insert(offer.attempt_id);
        self.record_placement(offer.attempt_id, &process, &offer.service);
        self.check_spread_limit(&process, host, &offer.service, &offer.class);
    }

    /// Handles a placer's stop or cancellation of an attempt. A cancelled attempt no longer counts in the spread, even
    /// if it was accepted; a stopped one that was accepted counts until its host reports its end.
    fn apply_stop(&mut self, id: AttemptId, is_cancelled: bool) {
        let sent_at = self.sent_to_host();
        self.spreads.ended_by_host_report.remove(&id);
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.end(sent_at);
            if is_cancelled || !attempt.is_accepted {
                self.stop_counting_at(id, sent_at);
            }
        }
    }

    fn apply_host_frame(&mut self, connection: &ConnectionKey, frame: &Frame) {
        let now = self.now;
        match frame {
            Frame::Refused(id, ..) => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.end(now);
                    attempt.never_ran = true;
                }
                self.stop_counting_by_host_report(*id);
            }
            Frame::Ended(id, reason, ran, _) => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.end(now);
                    attempt.never_ran |= !ran && *reason != Reason::Error && !attempt.is_accepted;
                }
                self.stop_counting_by_host_report(*id);
            }
            Frame::Accepted(id, _) => {
                if let Some(attempt) = self.attempts.get_mut(id) {
                    attempt.is_accepted = true;
                }
            }
            Frame::Held(offer, _) => {
                self.record_report(connection, offer.attempt_id, &offer.service);
            }
            Frame::HeldEnd => self.finish_reports(connection),
            Frame::Drain => self.record_drain(connection),
            _ => {}
        }
    }
}
