//! Asks: taken, joined, hung up on, and answered once.

use std::collections::BTreeSet;
use std::sync::Arc;

use maplethread::{Event, Resources, ServiceId, Task, TaskId};

use crate::answers::{Answer, Known};
use crate::api::{self, Place, Problem};
use crate::engine::{Actor, ActorKey, Ask, Engine, Output, Stage};
use crate::names::hash;
use crate::notes::{Ending, Kept};
use crate::sessions::copies;
use crate::{ClientId, Decide};

impl<D: Decide> Engine<D> {
    pub(crate) fn hang_up(&mut self, task: TaskId) {
        let Some(ask) = self.forget_ask(task) else {
            return;
        };
        self.counters.hung_up += 1;
        let after = self.now.saturating_sub(ask.asked);
        self.notes.add(|| Kept::Answered {
            task,
            ending: Ending::HungUp,
            attempts: ask.attempts,
            after,
        });
        ask.span.in_scope(|| tracing::debug!("hung up"));
        if let Some(key) = &ask.idempotency {
            self.answers.forget(key);
        }
        self.events.push(Event::ClientDisconnected(task));
        if let Some(wire) = ask.out {
            self.call_off(wire);
        }
    }

    /// Keeps track of what a client waits for.
    pub(crate) fn waits(&mut self, client: ClientId, task: TaskId, begins: bool) {
        if let Some(client) = self.clients.get_mut(&client) {
            if begins {
                client.waits.insert(task);
            } else {
                client.waits.remove(&task);
            }
        }
    }

    pub(crate) fn forget_ask(&mut self, task: TaskId) -> Option<Ask> {
        let ask = self.asks.remove(&task)?;
        self.deadlines.remove(&(ask.deadline, task));
        for id in ask.waiters.iter().map(|w| &w.2).chain([&ask.request]) {
            if self.by_request.get(id) == Some(&task) {
                self.by_request.remove(id);
            }
        }
        if self.actors.get(&ask.key) == Some(&Actor::Asking(task)) {
            self.actors.remove(&ask.key);
        }
        Some(ask)
    }

    pub(crate) fn place(
        &mut self,
        client: ClientId,
        slot: u64,
        body: Place,
        request: Option<String>,
        idempotency: Option<String>,
    ) -> Result<(), Problem> {
        let Some(class) = self.config.class.iter().position(|c| c.name == body.class) else {
            return Err(Problem::new(
                422,
                "no-such-class",
                "No class of this name",
                body.class,
            ));
        };
        let mut joins = None;
        if let Some(key) = &idempotency {
            match self.answers.get(key) {
                Some(Known::Answered(bytes)) => {
                    let bytes = bytes.to_vec();
                    self.reply(client, slot, bytes, false);
                    return Ok(());
                }
                Some(Known::Asking(task)) => joins = Some(*task),
                None => {}
            }
        }
        let key: ActorKey = (body.service.as_str().into(), body.actor.as_str().into());
        let actor = self.actors.get(&key).copied();
        if let Some(Actor::Asking(task)) = actor {
            joins = joins.or(Some(task));
        }
        if let Some(ask) = joins.and_then(|task| self.asks.get_mut(&task)) {
            if ask.waiters.len() >= 64 {
                let detail = "64 requests wait for this ask already";
                return Err(Problem::busy(
                    "too-many-waiters",
                    "Too many requests for one ask",
                    detail,
                ));
            }
            let id = request.map_or_else(|| ask.request.clone(), Arc::from);
            ask.waiters.push((client, slot, id.clone()));
            self.by_request.entry(id).or_insert(ask.task.id);
            let task = ask.task.id;
            self.waits(client, task, true);
            return Ok(());
        }
        if let Some(Actor::Placed(wire)) = actor
            && let Some(attempt) = self.attempts.get(&wire)
        {
            if attempt.stop.is_some() {
                let mut problem = Problem::new(
                    409,
                    "stopping",
                    "The actor is being stopped",
                    "ask again once it has ended",
                );
                problem.retry_after_s = Some(1);
                return Err(problem);
            }
            // It is placed already: one placing, one answer.
            let (host, number) = (attempt.host, attempt.id.number);
            let request = request.map_or_else(|| attempt.request.clone(), Arc::from);
            let address = self
                .hosts
                .get(&host)
                .map(|h| h.address.to_string())
                .unwrap_or_default();
            let (host, (service, actor)) = (self.host_name(host), key);
            let answer = Answer::Placed {
                request,
                service,
                actor,
                host,
                address,
                attempt: number,
            };
            self.reply(client, slot, api::answer(200, &answer), false);
            return Ok(());
        }
        let until = self.unsettled.get(&key).map(|(until, _)| *until);
        if let Some(until) = until.filter(|&until| until > self.now) {
            let detail = "an earlier attempt may have run and is being called off";
            let mut problem = Problem::new(
                409,
                "unsettled",
                "The actor's last attempt is not settled",
                detail,
            );
            problem.retry_after_s = Some((until - self.now).div_ceil(1_000_000));
            return Err(problem);
        }
        if self.stopping {
            let mut problem = Problem::busy("stopping", "This placer is stopping", "ask another");
            problem.close = true;
            return Err(problem);
        }
        if self.asks.len() >= self.config.api.max_asks {
            return Err(Problem::busy(
                "too-many-asks",
                "Too many asks are open",
                "api.max_asks are open",
            ));
        }
        if self.actors.len() >= self.config.api.max_actors {
            return Err(Problem::busy(
                "too-many-actors",
                "Too many actors are held",
                "api.max_actors are held",
            ));
        }
        let budget = body.budget_ms.min(self.config.api.max_budget_ms) * 1000;
        if self.pace.turns_away(self.now, budget) {
            let detail = "the placer's turns run late; other placers may have time";
            return Err(Problem::busy(
                "overloaded",
                "This placer is overloaded",
                detail,
            ));
        }
        let deadline = self.unread_since.unwrap_or(self.now).min(self.now) + budget;
        let give_up_at = deadline - self.margin_within(budget);
        if give_up_at <= self.now {
            let detail = "the placer stood still, and the ask's budget may be over";
            return Err(Problem::busy(
                "stood-still",
                "The ask lay unread for too long",
                detail,
            ));
        }
        self.next_task += 1;
        let id = TaskId(self.next_task);
        let request: Arc<str> = match request {
            Some(request) => request.into(),
            None => format!("{:x}-{}", self.mark >> 40, id.0).into(),
        };
        let task = Task {
            id,
            service: ServiceId(hash(&body.service)),
            class,
            requested: Resources::new(body.cores, body.memory_gib),
            expected_duration: body.life_ms.map(|ms| ms.saturating_mul(1000)),
            deadline: give_up_at,
            is_resubmission: body.again,
        };
        let name = body.key.as_deref().unwrap_or(&body.actor);
        let copies = copies(
            self.settings.classes[class].retry_safety,
            hash(&format!("{}/{name}", body.service)),
        );
        let span = tracing::info_span!("ask", request = %request, service = %key.0, actor = %key.1);
        span.in_scope(|| tracing::debug!(class = body.class, budget_ms = budget / 1000, "asked"));
        let idempotency: Option<Arc<str>> = idempotency.map(Into::into);
        if let Some(key) = &idempotency {
            self.answers.asking(key, id);
        }
        self.by_request.insert(request.clone(), id);
        self.actors.insert(key.clone(), Actor::Asking(id));
        self.notes.add(|| Kept::Asked {
            task: id,
            service: task.service,
            key: key.clone(),
            class,
            request: request.clone(),
            idempotency: idempotency.clone(),
        });
        let waiters = vec![(client, slot, request.clone())];
        let (asked, out, attempts, reason, lack, may_run) = (self.now, None, 0, None, None, None);
        let ask = Ask {
            task,
            asked,
            deadline,
            fresh: true,
            key,
            request,
            idempotency,
            waiters,
            copies,
            out,
            attempts,
            reason,
            lack,
            lacked: BTreeSet::new(),
            may_run,
            span,
        };
        self.asks.insert(id, ask);
        self.waits(client, id, true);
        self.deadlines.insert((deadline, id));
        self.counters.asks += 1;
        self.events.push(Event::PlacementRequested(task));
        Ok(())
    }

    /// The decider left an ask open up to its deadline: it is answered in its stead, with no more than is known.
    pub(crate) fn last_word(&mut self, task: TaskId) {
        let Some(ask) = self.asks.get(&task) else {
            return;
        };
        let (request, attempts) = (ask.request.clone(), ask.attempts);
        ask.span
            .in_scope(|| tracing::warn!(attempts, "left open up to its deadline"));
        self.counters.overdue += 1;
        let answer = if attempts == 0 {
            Answer::Refused {
                request,
                reason: ask.refusal(),
                come_back_ms: 0,
                attempts,
            }
        } else {
            Answer::Failed {
                request,
                unknown: "whether it runs".to_owned(),
                attempts,
            }
        };
        self.events.push(Event::ClientDisconnected(task));
        self.answer(task, answer);
    }

    /// The one final answer to an ask. What is still out is called off, unless it is what was placed.
    pub(crate) fn answer(&mut self, task: TaskId, answer: Answer) {
        let Some(ask) = self.forget_ask(task) else {
            return;
        };
        let name = match &answer {
            Answer::Placed { .. } => {
                self.counters.placed += 1;
                "placed"
            }
            Answer::Refused { .. } => {
                self.counters.refused += 1;
                "refused"
            }
            Answer::Failed { .. } => {
                self.counters.failed += 1;
                "failed"
            }
        };
        let out = ask.out.filter(|w| {
            self.attempts
                .get(w)
                .is_some_and(|a| a.stage != Stage::Seated)
        });
        if let Some(wire) = out {
            self.call_off(wire);
        }
        let after = self.now.saturating_sub(ask.asked);
        self.notes.add(|| Kept::Answered {
            task,
            ending: ending(&answer),
            attempts: ask.attempts,
            after,
        });
        let late = ask.deadline <= self.now;
        ask.span
            .in_scope(|| tracing::debug!(attempts = ask.attempts, late, "{name}"));
        let bytes = api::answer(200, &answer);
        if let Some(key) = &ask.idempotency {
            self.answers.answered(key, self.now, bytes.clone().into());
        }
        for (client, slot, id) in ask.waiters {
            self.waits(client, task, false);
            if late {
                // Its owner gave up: nothing is said after the deadline, and the silence is made plain.
                self.counters.too_late += 1;
                self.outputs.push(Output::CloseClient(client));
                self.client_closed(self.now, client);
            } else {
                // Each request that waited has the answer under its own id.
                let own = if id == ask.request {
                    bytes.clone()
                } else {
                    api::answer(200, &answer.named(id))
                };
                self.reply(client, slot, own, false);
            }
        }
    }
}

fn ending(answer: &Answer) -> Ending {
    match answer {
        Answer::Placed { host, .. } => Ending::Placed(host.clone()),
        Answer::Refused {
            reason,
            come_back_ms,
            ..
        } => Ending::Refused(reason, *come_back_ms),
        Answer::Failed { .. } => Ending::Failed,
    }
}
