//! Turns of the decider: passing events to it, and carrying out its actions.

use maplethread::{Action, AttemptId, BlockReason, Event, Micros, TaskId};

use crate::answers::FinalAnswer;
use crate::attempt::Stage;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::event_batch;
use crate::ids::HostId;
use crate::placement_request::block_reason_name;
use crate::turn_latency::DEADLINE_ANSWER_MARGIN;

/// Maximum number of rounds of decisions in one turn. An offer that can't be sent causes an event, which the next round
/// handles.
const MAX_ROUNDS_PER_TURN: usize = 8;
/// Maximum number of tasks that are placed in one turn. Further requests wait for the next turn, after the offers of
/// this one have been written: an offer that is written long after its decision may fall into the same warm-up window
/// of a host as later offers.
const MAX_PLACEMENTS_PER_TURN: usize = 64;

impl<D: Decide> Engine<D> {
    /// Passes the events of this turn to the decider, and carries out its actions.
    pub(crate) fn decide(&mut self) {
        let (mut requested_tasks, mut actions) = (Vec::new(), Vec::new());
        let mut placements_left = MAX_PLACEMENTS_PER_TURN;
        for _ in 0..MAX_ROUNDS_PER_TURN {
            let events = event_batch::take(&mut self.events, &mut placements_left);
            if events.is_empty() {
                break;
            }
            self.decider.turn(self.now, &events, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(action);
            }
            requested_tasks.extend(events.iter().filter_map(|event| match event {
                Event::PlacementRequested(task) => Some(task.id),
                _ => None,
            }));
        }
        for task in requested_tasks {
            if let Some(request) = self.requests.get_mut(&task) {
                request.awaits_first_turn = false;
            }
        }
    }

    /// Answers the requests that the decider has not answered and for which the next turn may be too late.
    pub(crate) fn answer_expiring_requests(&mut self) {
        let margin = self.turn_latency.answer_margin();
        let answer_by = self.now + DEADLINE_ANSWER_MARGIN;
        let expiring = self
            .deadlines
            .iter()
            .take_while(|(deadline, _)| *deadline <= answer_by + margin);
        let due: Vec<TaskId> = expiring
            .filter(|(deadline, task)| {
                let received_at = self
                    .requests
                    .get(task)
                    .map_or(*deadline, |request| request.received_at);
                let budget = deadline.saturating_sub(received_at);
                *deadline <= answer_by + self.answer_margin_for(budget)
            })
            .map(|&(_, task)| task)
            .collect();
        for task in due {
            self.send_deadline_answer(task);
        }
    }

    /// How long before its deadline a request with this budget must be answered, given how late turns run.
    pub(crate) fn answer_margin_for(&self, budget: Micros) -> Micros {
        self.turn_latency.answer_margin().min(budget / 2)
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Offer {
                task,
                machine,
                timeout,
            } => self.send_offer(task, HostId(machine.0), timeout),
            Action::Cancel(attempt) => self.cancel(attempt),
            Action::Reject { task, retry_after } => self.reject(task, retry_after),
            Action::Fail(task) => self.fail(task),
            Action::Blocked { task, reason } => self.record_block_reason(task, reason),
            Action::Migrate(task) => self.stop_for_migration(task),
            Action::SetTimer { after, label } => self.set_decider_timer(self.now + after, label),
            Action::Probe(machine) => self.send_probe(HostId(machine.0)),
            Action::Log(line) => tracing::info!(target: "maplethread::decisions", "{line}"),
            // Not needed here: endpoints are pushed, each host has one connection that is kept open, and placers do not
            // exchange messages.
            Action::WatchEndpoints { .. }
            | Action::FetchEndpoints
            | Action::CloseIdleConnections(_)
            | Action::SendToPeer { .. } => {}
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        let in_flight = self
            .requests
            .get(&id.task)
            .and_then(|request| request.in_flight)
            .filter(|key| self.attempts.get(key).is_some_and(|a| a.id == id));
        if let Some(attempt) = in_flight {
            self.cancel_attempt(attempt);
        }
    }

    fn reject(&mut self, task: TaskId, retry_after: Option<Micros>) {
        let Some(request) = self.requests.get(&task) else {
            return;
        };
        let answer = FinalAnswer::Rejected {
            request_id: request.request_id.clone(),
            reason: request.rejection_reason(),
            retry_after_ms: retry_after.unwrap_or(0) / 1000,
            attempts: request.attempts,
        };
        self.finish_request(task, answer);
    }

    fn fail(&mut self, task: TaskId) {
        let Some(request) = self.requests.get(&task) else {
            return;
        };
        let in_flight_on = request
            .in_flight
            .and_then(|key| self.attempts.get(&key))
            .and_then(|attempt| self.hosts.get(&attempt.host))
            .map(|host| &host.name);
        let unknown = match in_flight_on.or(request.possibly_started_on.as_ref()) {
            Some(host) => format!("whether it runs on {host}"),
            None => "whether it runs".to_owned(),
        };
        let answer = FinalAnswer::Failed {
            request_id: request.request_id.clone(),
            unknown,
            attempts: request.attempts,
        };
        self.finish_request(task, answer);
    }

    fn record_block_reason(&mut self, task: TaskId, reason: BlockReason) {
        let Some(request) = self.requests.get_mut(&task) else {
            return;
        };
        let name = block_reason_name(reason);
        request.block_reason = Some(reason);
        if request.past_block_reasons.insert(reason) {
            *self.counters.blocked_by_reason.entry(name).or_default() += 1;
        }
        request
            .span
            .in_scope(|| tracing::debug!(held_for = name, "blocked"));
    }

    fn stop_for_migration(&mut self, task: TaskId) {
        let placed = self
            .attempts
            .iter()
            .find(|(_, a)| a.id.task == task && a.stage == Stage::Placed)
            .map(|(&key, _)| key);
        if let Some(attempt) = placed {
            self.stop_attempt(attempt, "moved");
        }
    }
}
