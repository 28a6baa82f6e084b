//! Attempts: sending, cancelling, stopping and finishing them, and tracking those that may still start.

use maplethread::{AttemptId, AttemptOutcome, AttemptResult, Event, FailureReason, Micros, TaskId};
use maplethread_config::RetrySafety;
use maplethread_wire::frame::{Frame, Offer, Reason, ResourceAmounts};

use crate::attempt::{ActorState, Attempt, AttemptEnd, Stage, UnsettledAttempt};
use crate::decide::Decide;
use crate::engine::Engine;
use crate::ids::{ActorKey, AttemptKey, HostId};
use crate::placement_request::PlacementRequest;
use crate::sessions::{Delivery, failure_reason, resources};
use crate::timer::Timer;

impl<D: Decide> Engine<D> {
    /// Offers a task to a host, which has to answer within `timeout`.
    pub(crate) fn send_offer(&mut self, task: TaskId, host: HostId, timeout: Micros) {
        let key = AttemptKey::new(self.attempt_id_prefix, self.next_attempt);
        let Some(request) = self.requests.get_mut(&task) else {
            tracing::warn!(
                task = task.0,
                "decider offered a task without a pending request; offer not sent"
            );
            return;
        };
        self.next_attempt += 1;
        let id = AttemptId {
            task,
            number: request.attempts,
        };
        request.attempts += 1;
        request.block_reason = None;
        let class = &self.config.classes[request.task.class];
        let offer = Frame::Offer(Offer {
            attempt_id: key.0,
            prior_attempts: id.number,
            service: request.key.service.to_string(),
            actor: request.key.actor.to_string(),
            class: class.name.clone(),
            request_id: request.request_id.to_string(),
            requested: ResourceAmounts {
                cores: request.task.requested.cores,
                memory_gib: request.task.requested.memory,
            },
            priority: class.priority,
            duplicate_policy: request.duplicate_policy,
            expected_duration_ms: request.task.expected_duration.unwrap_or(0) / 1000,
            answer_timeout_ms: (timeout / 1000).min(u64::from(u32::MAX)) as u32,
        });
        let mut attempt = Attempt {
            id,
            host,
            key: request.key.clone(),
            request_id: request.request_id.clone(),
            class: request.task.class,
            sent_at: self.now,
            expires_at: self.now + timeout,
            timeout_timer: None,
            frame_end: 0,
            stage: Stage::Offered,
            is_running: false,
            is_cancelled: false,
            stop_reason: None,
            is_unwanted: false,
        };
        let span = request.span.clone();
        let host_name = self.host_name(host);
        let is_warming_up = self.is_warming_up(host);
        let overlaps_late_offer =
            is_warming_up && self.warm_up_offers.overlaps_late_offer(host, self.now);
        let sent = if overlaps_late_offer {
            None
        } else {
            self.send_frame(host, &offer, Delivery::BestEffort)
        };
        let Some(frame_end) = sent else {
            span.in_scope(|| {
                tracing::debug!(host = %host_name, attempt = id.number, overlaps_late_offer, "offer not sent");
            });
            self.events.push(Event::AttemptFinished {
                attempt: id,
                result: AttemptResult {
                    outcome: AttemptOutcome::ConnectFailed,
                    reason: None,
                    closes_task: false,
                    load: None,
                },
            });
            return;
        };
        span.in_scope(|| {
            tracing::debug!(host = %host_name, attempt = id.number, wait_ms = timeout / 1000, "offered");
        });
        self.counters.offers += 1;
        if is_warming_up {
            self.warm_up_offers.record(host, self.now);
        }
        attempt.frame_end = frame_end;
        let timer = Timer::AttemptTimeout(key);
        attempt.timeout_timer = Some(self.timers.schedule(attempt.expires_at, timer));
        self.attempts.insert(key, attempt);
        self.record_offer(task, key, id.number == 0);
        if let Some(host) = self.hosts.get_mut(&host) {
            host.attempts.insert(key);
        }
        self.update_host_use(host);
    }

    /// Records that an attempt of a request is in flight.
    fn record_offer(&mut self, task: TaskId, key: AttemptKey, is_first: bool) {
        let Some(request) = self.requests.get_mut(&task) else {
            return;
        };
        request.in_flight = Some(key);
        if is_first {
            // Decision times do not include the time for which a request was blocked.
            if request.awaits_first_turn {
                self.first_offer_arrivals.push(request.received_at);
            } else {
                self.counters.blocked += 1;
            }
        }
    }

    /// Whether a host has started so recently that the decider limits offers to it.
    fn is_warming_up(&self, host: HostId) -> bool {
        let started_at = self.hosts.get(&host).and_then(|h| h.entry.started_at);
        started_at.is_some_and(|at| at + self.settings.rules.warm_up_duration > self.now)
    }

    pub(crate) fn handle_attempt_timeout(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else {
            return;
        };
        if attempt.stage == Stage::Placed || attempt.expires_at > self.now {
            return;
        }
        if !attempt.is_cancelled {
            let host = attempt.host;
            self.send_frame(host, &Frame::Cancel(key.0), Delivery::Required);
        }
        self.finish_attempt(key, AttemptEnd::uncertain(AttemptOutcome::TimedOut));
    }

    /// Cancels an attempt that no request waits for any more.
    pub(crate) fn cancel_attempt(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        if std::mem::replace(&mut attempt.is_cancelled, true) {
            return;
        }
        self.counters.cancelled += 1;
        let (host, actor, class) = (attempt.host, attempt.key.clone(), attempt.class);
        self.mark_unsettled(class, actor, key);
        self.send_frame(host, &Frame::Cancel(key.0), Delivery::Required);
    }

    /// Records that an attempt may still start, if its actor must not run twice.
    fn mark_unsettled(&mut self, class: usize, actor: ActorKey, attempt: AttemptKey) {
        if self.config.classes[class].retry_safety != RetrySafety::Idempotent {
            let until = self.now + self.config.api.resubmission_hold_ms * 1000;
            self.unsettled
                .insert(actor.clone(), UnsettledAttempt { attempt, until });
            self.unsettled_attempts.insert(attempt, actor);
            self.schedule_unsettled_expiry();
        }
    }

    /// Schedules the next removal of unsettled attempts, unless one is scheduled.
    fn schedule_unsettled_expiry(&mut self) {
        if self.is_unsettled_expiry_scheduled {
            return;
        }
        if let Some(next) = self.unsettled.values().map(|entry| entry.until).min() {
            self.is_unsettled_expiry_scheduled = true;
            self.timers.schedule(next, Timer::UnsettledExpiry);
        }
    }

    /// Records that an attempt certainly does not run.
    pub(crate) fn clear_unsettled(&mut self, attempt: AttemptKey) {
        if let Some(actor) = self.unsettled_attempts.remove(&attempt)
            && self.is_last_unsettled(&actor, attempt)
        {
            self.unsettled.remove(&actor);
        }
    }

    /// Whether an attempt is the latest unsettled one of an actor.
    fn is_last_unsettled(&self, actor: &ActorKey, attempt: AttemptKey) -> bool {
        self.unsettled
            .get(actor)
            .is_some_and(|unsettled| unsettled.attempt == attempt)
    }

    /// Removes unsettled attempts whose time is over.
    pub(crate) fn expire_unsettled(&mut self) {
        let now = self.now;
        self.is_unsettled_expiry_scheduled = false;
        self.unsettled.retain(|_, unsettled| unsettled.until > now);
        let unsettled = &self.unsettled;
        self.unsettled_attempts.retain(|attempt, actor| {
            unsettled
                .get(actor)
                .is_some_and(|unsettled| unsettled.attempt == *attempt)
        });
        self.schedule_unsettled_expiry();
    }

    /// Sends a host the request to stop a placed task. A host without a connection gets it after it has reconnected.
    pub(crate) fn stop_attempt(&mut self, key: AttemptKey, reason: &'static str) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.stop_reason = Some(reason);
        let host = attempt.host;
        self.send_frame(host, &Frame::Stop(key.0), Delivery::Required);
    }

    /// Records the outcome of an attempt, and reports it to the decider and to followers.
    pub(crate) fn finish_attempt(&mut self, key: AttemptKey, end: AttemptEnd) {
        let Some(attempt) = self.attempts.remove(&key) else {
            return;
        };
        self.timers.cancel(attempt.timeout_timer);
        let reason = end.reason.and_then(failure_reason);
        if let Some(host) = self.hosts.get_mut(&attempt.host) {
            host.attempts.remove(&key);
            host.unconfirmed.remove(&key);
        }
        self.update_host_use(attempt.host);
        let is_placed = attempt.stage == Stage::Placed;
        let never_ran = matches!(
            end.outcome,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed
        );
        if end.is_known_dead || never_ran {
            self.clear_unsettled(key);
        } else if !is_placed {
            self.mark_unsettled(attempt.class, attempt.key.clone(), key);
        }
        let host_name = self.host_name(attempt.host);
        let request = self.requests.get_mut(&attempt.id.task);
        let closes_task = is_placed || request.is_none();
        if let Some(request) = request {
            record_failure(request, key, &end, is_placed);
            if !never_ran {
                request
                    .possibly_started_on
                    .get_or_insert_with(|| host_name.clone());
            }
            request.span.in_scope(|| {
                tracing::debug!(
                    host = %host_name,
                    attempt = attempt.id.number,
                    outcome = ?end.outcome,
                    ?reason,
                    "attempt finished"
                );
            });
        }
        if is_placed && !attempt.is_unwanted {
            if self.actors.get(&attempt.key) == Some(&ActorState::Placed(key)) {
                self.actors.remove(&attempt.key);
            }
            let (event, event_reason) = end_event(&attempt, end.outcome, reason);
            let subject = self.subject_of(&attempt);
            self.publish_event(event, event_reason, &subject);
        }
        self.events.push(Event::AttemptFinished {
            attempt: attempt.id,
            result: AttemptResult {
                outcome: end.outcome,
                reason,
                closes_task,
                load: end.load.map(resources),
            },
        });
    }
}

/// Records in a request how its attempt ended, unless the attempt was placed.
fn record_failure(
    request: &mut PlacementRequest,
    key: AttemptKey,
    end: &AttemptEnd,
    is_placed: bool,
) {
    request.in_flight = request.in_flight.filter(|&in_flight| in_flight != key);
    if !is_placed {
        request.last_failure = Some(match end.outcome {
            AttemptOutcome::Rejected => end.reason.map_or("unknown", Reason::as_str),
            AttemptOutcome::ConnectFailed | AttemptOutcome::NeverSent => "no_connection",
            AttemptOutcome::Disconnected => "connection_lost",
            AttemptOutcome::Error => "error",
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled | AttemptOutcome::Completed => {
                "no_answer"
            }
        });
    }
}

/// The life-cycle event for the end of a placed actor, and its reason, by their names in the API.
fn end_event(
    attempt: &Attempt,
    outcome: AttemptOutcome,
    reason: Option<FailureReason>,
) -> (&'static str, Option<&'static str>) {
    match (outcome, reason) {
        (AttemptOutcome::Completed, _) => ("ended", None),
        (AttemptOutcome::Cancelled, _) => (attempt.stop_reason.unwrap_or("stopped"), None),
        (AttemptOutcome::Error, _) => ("ended", Some("error")),
        (_, Some(FailureReason::Evicted)) => ("evicted", Some("memory")),
        (_, Some(FailureReason::Preempted)) => ("evicted", Some("pushed_out")),
        (_, Some(FailureReason::Drained)) => ("evicted", Some("sent_away")),
        _ => ("lost", None),
    }
}
