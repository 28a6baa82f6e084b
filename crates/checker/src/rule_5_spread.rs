//! Rule 5: a service stays within its spread limit, in which attempts in flight and running tasks count. An attempt
//! counts from its offer until its host has ended it, or until its placer treats it as lost.

use crate::parameters::TopologyLevel;
use crate::state::{
    AttemptId, Checker, ConnectionKey, LostConnection, Name, PendingSpreadCheck, Placement,
    PlacerProcess,
};

impl Checker<'_> {
    /// Checks the spread of a service after an offer to a host. A spread above the limit is recorded and reported
    /// later, see
    /// [`Checker::report_due_spread_violations`].
    pub(crate) fn check_spread_limit(
        &mut self,
        process: &PlacerProcess,
        host: &Name,
        service: &str,
        class: &str,
    ) {
        let Some(limit) = self.parameters.class(class).and_then(|c| c.spread_limit) else {
            return;
        };
        if !self.locations.contains_key(host) {
            return;
        }
        let services = self.spreads.attempts_by_service.get(process);
        let attempts: Vec<AttemptId> = services
            .and_then(|services| services.get(service))
            .into_iter()
            .flatten()
            .copied()
            .filter(|id| {
                self.is_in_same_domain(*id, host, limit.level) && self.must_have_been_read(*id)
            })
            .collect();
        let count = attempts.len();
        if count as u32 > limit.max_tasks {
            let description = format!(
                "{} has {count} tasks of {service} in the same spread domain as {host}, the limit is {}",
                process.placer, limit.max_tasks
            );
            self.spreads.pending_checks.push_back(PendingSpreadCheck {
                due: self.now + self.parameters.timing_slack_us,
                description,
                max_tasks: limit.max_tasks,
                attempts,
            });
        }
    }

    /// Whether an attempt was sent to the same host, cell or zone as `host`.
    fn is_in_same_domain(&self, id: AttemptId, host: &Name, level: TopologyLevel) -> bool {
        let attempt_host = self.attempts.get(&id).map(|attempt| &attempt.host);
        let Some(attempt_location) = attempt_host.and_then(|host| self.locations.get(host)) else {
            return false;
        };
        self.locations
            .get(host)
            .is_some_and(|location| match level {
                TopologyLevel::Host => attempt_location.host == location.host,
                TopologyLevel::Cell => {
                    (&attempt_location.zone, &attempt_location.cell)
                        == (&location.zone, &location.cell)
                }
                TopologyLevel::Zone => attempt_location.zone == location.zone,
            })
    }

    /// Whether the placer that counts an attempt must have read the host's report of it by now.
    fn must_have_been_read(&self, id: AttemptId) -> bool {
        self.spreads
            .reattached_at
            .get(&id)
            .is_none_or(|&read_by| read_by <= self.now)
    }

    /// Counts an attempt in the spread of its service from now on.
    pub(crate) fn record_placement(
        &mut self,
        id: AttemptId,
        process: &PlacerProcess,
        service: &str,
    ) {
        let spreads = &mut self.spreads;
        spreads
            .attempts_by_service
            .entry(process.clone())
            .or_default()
            .entry(service.to_owned())
            .or_default()
            .insert(id);
        spreads.placements.insert(
            id,
            Placement {
                process: process.clone(),
                service: service.to_owned(),
            },
        );
        // A placer to which a host reports the task again counts it again.
        spreads.stopped_counting_at.remove(&id);
        spreads.ended_by_host_report.remove(&id);
    }

    /// Stops counting an attempt.
    pub(crate) fn stop_counting(&mut self, id: AttemptId) {
        self.stop_counting_at(id, self.now);
    }

    /// Stops counting an attempt as of the time `at`.
    pub(crate) fn stop_counting_at(&mut self, id: AttemptId, at: u64) {
        let spreads = &mut self.spreads;
        if let Some(placement) = spreads.placements.remove(&id)
            && let Some(services) = spreads.attempts_by_service.get_mut(&placement.process)
            && let Some(attempts) = services.get_mut(&placement.service)
        {
            attempts.remove(&id);
            spreads.stopped_counting_at.insert(id, at);
        }
    }

    /// Stops counting an attempt because its host has reported its end. The report is recorded before the placer can
    /// read it, so an offer that the placer sent earlier cannot rely on it.
    pub(crate) fn stop_counting_by_host_report(&mut self, id: AttemptId) {
        if self.spreads.placements.contains_key(&id) {
            self.spreads.ended_by_host_report.insert(id);
        }
        self.stop_counting(id);
    }

    /// Stops counting everything that was running on a host or in flight to it.
    pub(crate) fn stop_counting_host(&mut self, host: &Name) {
        for id in self.attempts_last_offered_to(host) {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.end(self.now);
            }
            self.spreads.ended_by_host_report.remove(&id);
            self.stop_counting(id);
        }
    }

    /// Records, when a placer connects to a host, which attempts the placer counts there. The host has yet to report
    /// them.
    pub(crate) fn expect_reports(&mut self, connection: &ConnectionKey, placer: &Name) {
        let is_own = |id: &AttemptId| {
            let placement = self.spreads.placements.get(id);
            placement.is_some_and(|placement| placement.process.placer == *placer)
        };
        let own = self
            .attempts_last_offered_to(&connection.host)
            .into_iter()
            .filter(is_own)
            .collect();
        self.spreads
            .not_yet_reported
            .insert(connection.clone(), own);
    }

    /// Records that a host has reported a task that it holds to a placer that has connected.
    pub(crate) fn record_report(
        &mut self,
        connection: &ConnectionKey,
        id: AttemptId,
        service: &str,
    ) {
        if let Some(expected) = self.spreads.not_yet_reported.get_mut(connection) {
            expected.remove(&id);
        }
        let Some(process) = self.connections.get(connection).cloned() else {
            return;
        };
        // The placer process already counts its own attempts; those of an earlier process count as its own from now on.
        let Some(placement) = self.spreads.placements.get(&id) else {
            return;
        };
        let is_own = placement.process == process;
        let has_ended = self.attempts.get(&id).is_some_and(|attempt| {
            attempt.ended_at.is_some() && attempt.connection == connection.connection
        });
        if !is_own && !has_ended {
            self.stop_counting(id);
            self.record_placement(id, &process, service);
            // `u64::MAX` if the placer never becomes available again.
            let read_by = self
                .availability
                .reached_placer_at(&process.placer, self.now)
                .saturating_add(self.parameters.timing_slack_us);
            self.spreads.reattached_at.insert(id, read_by);
        }
    }

    /// Handles the end of a host's report: the attempts that it did not report have ended.
    pub(crate) fn finish_reports(&mut self, connection: &ConnectionKey) {
        let missing = self.spreads.not_yet_reported.remove(connection);
        for id in missing.into_iter().flatten() {
            self.stop_counting(id);
        }
    }

    /// Handles a lost connection. The placer receives no more frames about attempts that the host has not accepted, so
    /// they stop counting. Accepted ones count until the host reports again on a new connection, or until the placer
    /// treats them as lost.
    pub(crate) fn record_connection_loss(&mut self, connection: &ConnectionKey) {
        let lost_at = self.sent_to_host();
        let mut unaccepted = Vec::new();
        for id in self.attempts_last_offered_to(&connection.host) {
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            if attempt.connection == connection.connection {
                attempt.end(lost_at);
                self.spreads.ended_by_host_report.remove(&id);
                if !attempt.is_accepted {
                    unaccepted.push(id);
                }
            }
        }
        for id in unaccepted {
            self.stop_counting_at(id, lost_at);
        }
        self.spreads.not_yet_reported.remove(connection);
        if let Some(process) = self.connections.remove(connection) {
            let loss_delay_us = if self.spreads.gone_hosts.contains(&connection.host) {
                0
            } else {
                self.parameters.connection_loss_timeout_us
            };
            self.spreads.lost_connections.push_back(LostConnection {
                due: self.now + loss_delay_us,
                key: connection.clone(),
                placer: process.placer,
            });
            self.sort_lost_connections();
        }
    }

    /// Applies the hosts that the inventory lists as gone: if such a host is disconnected, its tasks are lost at once.
    pub(crate) fn apply_gone_hosts(&mut self, gone: &[Name]) {
        let spreads = &mut self.spreads;
        spreads.gone_hosts = gone.iter().cloned().collect();
        for lost in &mut spreads.lost_connections {
            if spreads.gone_hosts.contains(&lost.key.host) {
                lost.due = self.now;
            }
        }
        self.sort_lost_connections();
    }

    fn sort_lost_connections(&mut self) {
        self.spreads
            .lost_connections
            .make_contiguous()
            .sort_by_key(|lost| lost.due);
    }

    /// Stops counting the tasks of hosts that have been disconnected for [`RuleParameters::lost_after_us`].
    ///
    /// [`RuleParameters::lost_after_us`]: crate::RuleParameters::lost_after_us
    pub(crate) fn stop_counting_lost_connections(&mut self, now: u64) {
        while let Some(lost) = self
            .spreads
            .lost_connections
            .pop_front_if(|lost| lost.due < now)
        {
            let LostConnection { key, placer, .. } = lost;
            let is_connected_again = self
                .connections
                .iter()
                .any(|(other, process)| other.host == key.host && process.placer == placer);
            if is_connected_again {
                continue;
            }
            for id in self.attempts_last_offered_to(&key.host) {
                let was_offered_before_loss = self
                    .attempts
                    .get(&id)
                    .is_some_and(|attempt| attempt.connection <= key.connection);
                let placement = self.spreads.placements.get(&id);
                if was_offered_before_loss && placement.is_some_and(|p| p.process.placer == placer)
                {
                    self.stop_counting(id);
                }
            }
        }
    }

    /// Reports the spreads that are still above their limit once everything sent before them has been read, which is
    /// everything sent to hosts up to `read_through`. An attempt that has ended since then only by its host's report
    /// still counts.
    pub(crate) fn report_due_spread_violations(&mut self, read_through: u64) {
        while let Some(check) = self
            .spreads
            .pending_checks
            .pop_front_if(|check| check.due < read_through)
        {
            let still_counts = |id: &&AttemptId| {
                let stopped_counting_at = self.spreads.stopped_counting_at.get(id);
                self.spreads.ended_by_host_report.contains(id)
                    || stopped_counting_at.is_none_or(|&at| at > check.due)
            };
            if check.attempts.iter().filter(still_counts).count() as u32 > check.max_tasks {
                let evidence = check
                    .attempts
                    .iter()
                    .filter_map(|id| self.attempts.get(id))
                    .map(|attempt| attempt.evidence)
                    .collect();
                self.report_violation(5, check.description, evidence);
            }
        }
    }
}
