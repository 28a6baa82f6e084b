//! Attempts: offered, called off, stopped, ended, and when an actor of theirs counts as settled.

use std::sync::Arc;

use maplethread::{
    AttemptId, AttemptOutcome, AttemptResult, Event, FailureReason, Micros, Resources, TaskId,
};
use maplethread_config::RetrySafety;
use maplethread_wire::frame::{Frame, Offer, Reason, ResourceAmounts};

use crate::engine::{ActorKey, ActorState, Attempt, Engine, Stage, Timer};
use crate::sessions::failure_reason;
use crate::{Decide, HostId};

impl<D: Decide> Engine<D> {
    pub(crate) fn send_offer(&mut self, task: TaskId, host: HostId, wait: Micros) {
        let Some(ask) = self.requests.get_mut(&task) else {
            tracing::warn!(task = task.0, "an offer for a task that is not asked for");
            return;
        };
        let id = AttemptId {
            task,
            number: ask.attempts,
        };
        ask.attempts += 1;
        ask.block_reason = None;
        let wire = self.attempt_id_prefix | (self.next_attempt & ((1 << 40) - 1));
        self.next_attempt += 1;
        let class = &self.config.classes[ask.task.class];
        let offer = Offer {
            attempt_id: wire,
            prior_attempts: id.number,
            service: ask.key.0.to_string(),
            actor: ask.key.1.to_string(),
            class: class.name.clone(),
            request_id: ask.request_id.to_string(),
            requested: ResourceAmounts {
                cores: ask.task.requested.cores,
                memory_gib: ask.task.requested.memory,
            },
            priority: class.priority,
            duplicate_policy: ask.duplicate_policy,
            expected_duration_ms: ask.task.expected_duration.unwrap_or(0) / 1000,
            answer_timeout_ms: (wait / 1000).min(u64::from(u32::MAX)) as u32,
        };
        let (key, request, class, span) = (
            ask.key.clone(),
            ask.request_id.clone(),
            ask.task.class,
            ask.span.clone(),
        );
        let name = self
            .hosts
            .get(&host)
            .map(|h| h.name.clone())
            .unwrap_or_default();
        let cold = self.is_warming_up(host);
        let meets_late_one = cold && self.warm_up_offers.overlaps_late_offer(host, self.now);
        let sent = if meets_late_one {
            None
        } else {
            self.send_frame(host, &Frame::Offer(offer), true)
        };
        let Some(frame_end) = sent else {
            span.in_scope(
                || tracing::debug!(host = %name, attempt = id.number, meets_late_one, "not sent"),
            );
            let end = AttemptResult {
                outcome: AttemptOutcome::ConnectFailed,
                reason: None,
                closes_task: false,
                load: None,
            };
            self.events.push(Event::AttemptFinished {
                attempt: id,
                result: end,
            });
            return;
        };
        span.in_scope(|| {
            tracing::debug!(host = %name, attempt = id.number, max_wait_ms = wait / 1000, "offered");
        });
        self.counters.offers += 1;
        if cold {
            self.warm_up_offers.record(host, self.now);
        }
        let (sent, until) = (self.now, self.now + wait);
        let (stage, runs, cancelled, stop, unwanted) = (Stage::Offered, false, false, None, false);
        let attempt = Attempt {
            id,
            host,
            key,
            request_id: request,
            class,
            sent_at: sent,
            expires_at: until,
            frame_end,
            stage,
            is_running: runs,
            is_cancelled: cancelled,
            stop_reason: stop,
            is_unwanted: unwanted,
        };
        self.attempts.insert(wire, attempt);
        if let Some(ask) = self.requests.get_mut(&task) {
            ask.in_flight = Some(wire);
            if id.number == 0 {
                // What is held for want of a host is waited for, not decided on slowly.
                if ask.awaits_first_turn {
                    self.decided_arrivals.push(ask.received_at);
                } else {
                    self.counters.blocked += 1;
                }
            }
        }
        if let Some(host) = self.hosts.get_mut(&host) {
            host.attempts.insert(wire);
        }
        self.update_host_use(host);
        self.timers.schedule(until, Timer::AttemptTimeout(wire));
    }

    /// Whether a host has come up so lately that the decider counts what it is sent.
    fn is_warming_up(&self, host: HostId) -> bool {
        let started = self.hosts.get(&host).and_then(|h| h.entry.started_at);
        started.is_some_and(|started| started + self.settings.rules.warm_up_duration > self.now)
    }

    pub(crate) fn handle_attempt_timeout(&mut self, wire: u64) {
        let Some(attempt) = self.attempts.get(&wire) else {
            return;
        };
        if attempt.stage == Stage::Placed || attempt.expires_at > self.now {
            return;
        }
        if !attempt.is_cancelled {
            let host = attempt.host;
            self.send_frame(host, &Frame::Cancel(wire), false);
        }
        self.finish_attempt(wire, AttemptOutcome::TimedOut, None, None, false);
    }

    /// Nobody waits for this attempt any more.
    pub(crate) fn cancel_attempt(&mut self, wire: u64) {
        let Some(attempt) = self.attempts.get_mut(&wire) else {
            return;
        };
        if std::mem::replace(&mut attempt.is_cancelled, true) {
            return;
        }
        self.counters.cancelled += 1;
        let (host, key, class) = (attempt.host, attempt.key.clone(), attempt.class);
        self.mark_unsettled(class, key, wire);
        self.send_frame(host, &Frame::Cancel(wire), false);
    }

    /// An attempt of an actor that must not run twice may still come to run.
    fn mark_unsettled(&mut self, class: usize, key: ActorKey, wire: u64) {
        if self.config.classes[class].retry_safety != RetrySafety::Idempotent {
            let until = self.now + self.config.api.resubmission_hold_ms * 1000;
            self.timers.schedule(until, Timer::UnsettledExpiry);
            self.unsettled.insert(key.clone(), (until, wire));
            self.unsettled_attempts.insert(wire, key);
        }
    }

    /// It is now known that this attempt does not run.
    pub(crate) fn clear_unsettled(&mut self, wire: u64) {
        if let Some(key) = self.unsettled_attempts.remove(&wire)
            && self.unsettled.get(&key).is_some_and(|(_, w)| *w == wire)
        {
            self.unsettled.remove(&key);
        }
    }

    /// Tells a host to stop a placed task; if it has no connection, once it has.
    pub(crate) fn stop_attempt(&mut self, wire: u64, why: &'static str) {
        let Some(attempt) = self.attempts.get_mut(&wire) else {
            return;
        };
        attempt.stop_reason = Some(why);
        let host = attempt.host;
        self.send_frame(host, &Frame::Stop(wire), false);
    }

    /// An attempt has its outcome. `known_dead` tells that it surely does not run (any more).
    pub(crate) fn finish_attempt(
        &mut self,
        wire: u64,
        ending: AttemptOutcome,
        refusal: Option<Reason>,
        load: Option<ResourceAmounts>,
        known_dead: bool,
    ) {
        let Some(attempt) = self.attempts.remove(&wire) else {
            return;
        };
        let why = refusal.and_then(failure_reason);
        let host_name = match self.hosts.get_mut(&attempt.host) {
            Some(host) => {
                host.attempts.remove(&wire);
                host.unconfirmed.remove(&wire);
                host.name.clone()
            }
            None => Arc::from(""),
        };
        self.update_host_use(attempt.host);
        let seated = attempt.stage == Stage::Placed;
        let never_ran = matches!(
            ending,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed
        );
        if known_dead || never_ran {
            self.clear_unsettled(wire);
        } else if !seated {
            self.mark_unsettled(attempt.class, attempt.key.clone(), wire);
        }
        let mut closed = seated;
        match self.requests.get_mut(&attempt.id.task) {
            Some(ask) => {
                ask.in_flight = ask.in_flight.filter(|&w| w != wire);
                if !seated {
                    ask.last_failure = Some(match ending {
                        AttemptOutcome::Rejected => refusal.map_or("unknown", Reason::as_str),
                        AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent => {
                            "no_connection"
                        }
                        AttemptOutcome::Disconnected => "connection_lost",
                        AttemptOutcome::Error => "error",
                        AttemptOutcome::TimedOut
                        | AttemptOutcome::Cancelled
                        | AttemptOutcome::Completed => "no_answer",
                    });
                }
                if !never_ran {
                    ask.possibly_started_on
                        .get_or_insert_with(|| host_name.clone());
                }
                ask.span.in_scope(|| {
                    tracing::debug!(host = %host_name, attempt = attempt.id.number, ?ending, ?why, "ended");
                });
            }
            None => closed = true,
        }
        if seated && !attempt.is_unwanted {
            if self.actors.get(&attempt.key) == Some(&ActorState::Placed(wire)) {
                self.actors.remove(&attempt.key);
            }
            let (event, reason) = match (ending, why) {
                (AttemptOutcome::Completed, _) => ("ended", None),
                (AttemptOutcome::Cancelled, _) => (attempt.stop_reason.unwrap_or("stopped"), None),
                (AttemptOutcome::Error, _) => ("ended", Some("error")),
                (_, Some(FailureReason::Evicted)) => ("evicted", Some("memory")),
                (_, Some(FailureReason::Preempted)) => ("evicted", Some("pushed_out")),
                (_, Some(FailureReason::Drained)) => ("evicted", Some("sent_away")),
                _ => ("lost", None),
            };
            self.publish_event(
                event,
                &attempt.key,
                host_name,
                reason,
                attempt.request_id.clone(),
            );
        }
        let load = load.map(|l| Resources::new(l.cores, l.memory_gib));
        self.events.push(Event::AttemptFinished {
            attempt: attempt.id,
            result: AttemptResult {
                outcome: ending,
                reason: why,
                closes_task: closed,
                load,
            },
        });
    }
}
