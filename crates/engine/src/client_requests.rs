//! API requests other than placement: cancellation, actors, membership and status.

use std::ops::Bound;

use serde_json::{Value, json};

use crate::api::{ApiRequest, PageRequest};
use crate::attempt::ActorState;
use crate::decide::Decide;
use crate::engine::Engine;
use crate::host::ConnectionState;
use crate::ids::{ActorKey, ClientId, RequestSlot};
use crate::output::Output;
use crate::problem::{Problem, json_response};

impl<D: Decide> Engine<D> {
    /// Handles a request, or returns why it can't be handled. A request that is not answered at once is answered later,
    /// in the same slot.
    pub(crate) fn handle_request(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        request: ApiRequest,
    ) -> Result<(), Problem> {
        match request {
            ApiRequest::Place(place) => self.accept_request(client, slot, place),
            ApiRequest::CancelRequest(request_id) => self.cancel_request(client, slot, &request_id),
            ApiRequest::StopActor(key) => self.stop_actor(client, slot, &key),
            ApiRequest::GetActor(key) => {
                let actor = self
                    .describe_actor(&key)
                    .ok_or_else(Problem::no_such_actor)?;
                self.reply(client, slot, json_response(200, &actor));
                Ok(())
            }
            ApiRequest::ListActors(page) => {
                let actors = self.describe_page(&page);
                self.reply(client, slot, json_response(200, &actors));
                Ok(())
            }
            ApiRequest::FollowEvents(cursor) => self.follow(client, slot, &cursor),
            ApiRequest::Membership { after } => {
                self.outputs.push(Output::FetchMembership {
                    client,
                    slot,
                    after,
                });
                Ok(())
            }
            ApiRequest::Status { is_full } => {
                let status = self.describe_status(is_full);
                self.reply(client, slot, json_response(200, &status));
                Ok(())
            }
        }
    }

    /// Answers [`Output::FetchMembership`]. `membership` is `None` if this placer keeps no membership.
    pub fn answer_membership(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        membership: Option<&Value>,
    ) {
        match membership {
            Some(membership) => self.reply(client, slot, json_response(200, membership)),
            None => {
                let problem = Problem::new(
                    404,
                    "no-fleet",
                    "This placer keeps no view of a fleet",
                    "no [fleet] is set",
                );
                self.reply_problem(client, slot, problem);
            }
        }
    }

    /// Cancels the requests with this id. Other requests for the same actor keep waiting.
    fn cancel_request(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        request_id: &str,
    ) -> Result<(), Problem> {
        let Some(&task) = self.tasks_by_request_id.get(request_id) else {
            return Err(Problem::new(
                404,
                "no-such-ask",
                "No ask of this id is open",
                "it has its answer, or was never asked",
            ));
        };
        let Some(request) = self.requests.get_mut(&task) else {
            return Ok(());
        };
        let cancelled: Vec<_> = request
            .waiters
            .extract_if(.., |waiter| *waiter.request_id == *request_id)
            .collect();
        let is_abandoned = request.waiters.is_empty();
        self.tasks_by_request_id.remove(request_id);
        if is_abandoned {
            self.disconnect_request(task);
        }
        for waiter in cancelled {
            self.remove_awaited_task(waiter.client, task);
            let problem = Problem::new(
                410,
                "cancelled",
                "The ask was cancelled",
                "by DELETE /v1/asks",
            );
            self.reply_problem(waiter.client, waiter.slot, problem);
        }
        let body = json!({"request": request_id});
        self.reply(client, slot, json_response(202, &body));
        Ok(())
    }

    fn stop_actor(
        &mut self,
        client: ClientId,
        slot: RequestSlot,
        key: &ActorKey,
    ) -> Result<(), Problem> {
        match self.actors.get(key).copied() {
            Some(ActorState::Placed(attempt)) => {
                self.stop_attempt(attempt, "stopped");
                let body = json!({"service": key.service, "actor": key.actor, "state": "stopping"});
                self.reply(client, slot, json_response(202, &body));
                Ok(())
            }
            Some(ActorState::Pending(_)) => Err(Problem::new(
                409,
                "not-placed",
                "It is not placed yet",
                "cancel its ask, or wait for the answer",
            )),
            None => Err(Problem::no_such_actor()),
        }
    }

    fn describe_page(&self, page: &PageRequest) -> Value {
        let first = page
            .after
            .as_ref()
            .map_or(Bound::Unbounded, Bound::Excluded);
        let mut keys: Vec<&ActorKey> = self
            .actors
            .range((first, Bound::Unbounded))
            .take(page.limit + 1)
            .map(|(key, _)| key)
            .collect();
        let has_more = keys.len() > page.limit;
        keys.truncate(page.limit);
        let actors: Vec<Value> = keys
            .iter()
            .filter_map(|key| self.describe_actor(key))
            .collect();
        let next = keys
            .last()
            .filter(|_| has_more)
            .map(|key| json!({"after_service": key.service, "after_actor": key.actor}));
        json!({"actors": actors, "held": self.actors.len(), "next": next})
    }

    fn describe_actor(&self, key: &ActorKey) -> Option<Value> {
        let ActorKey { service, actor } = key;
        Some(match *self.actors.get(key)? {
            ActorState::Pending(task) => {
                let request = self.requests.get(&task)?;
                json!({
                    "service": service,
                    "actor": actor,
                    "state": "asking",
                    "request": request.request_id,
                    "class": self.config.classes[request.task.class].name,
                    "attempts": request.attempts,
                })
            }
            ActorState::Placed(attempt) => {
                let attempt = self.attempts.get(&attempt)?;
                let host = self.hosts.get(&attempt.host);
                let state = match (attempt.stop_reason, attempt.is_running) {
                    (Some(_), _) => "stopping",
                    (None, true) => "running",
                    (None, false) => "placed",
                };
                json!({
                    "service": service,
                    "actor": actor,
                    "state": state,
                    "request": attempt.request_id,
                    "class": self.config.classes[attempt.class].name,
                    "host": host.map(|host| host.name.clone()),
                    "address": host.map(|host| host.address.to_string()),
                })
            }
        })
    }

    fn describe_status(&self, is_full: bool) -> Value {
        let connected = self
            .hosts
            .values()
            .filter(|host| host.connection == ConnectionState::Up)
            .count();
        json!({
            "placer": self.config.identity.name,
            "life": self.started_ms,
            "state": if self.is_stopping { "stopping" } else { "serving" },
            "counters": self.counters,
            "open_asks": self.requests.len(),
            "actors": self.actors.len(),
            "attempts": self.attempts.len(),
            "clients": self.clients.len(),
            "followers": self.followers.len(),
            "hosts": self.hosts.len(),
            "hosts_connected": connected,
            "gauges": if is_full { &self.gauges } else { &Value::Null },
            "events": {
                "oldest": self.recent_events.oldest_seq(),
                "next": self.recent_events.next_seq(),
            },
        })
    }
}
