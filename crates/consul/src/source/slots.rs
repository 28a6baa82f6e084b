//! The placer's slot and its registration as a service: builds the requests and interprets the responses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use maplethread_config::SlotLeaseSettings;
use serde_json::{Value, json};

use super::calls::QueryKind;
use super::requests::RequestBuilder;
use super::{CallId, ConsulSource, MICROS_PER_MS, SHORT_CALL_TIMEOUT, Update};
use crate::Micros;
use crate::lease::{LeaseRequest, LeaseResponse, SlotLease};
use crate::request::{Consistency, RequestTarget, percent_encode};

/// The placer's slot and its registration.
pub(super) struct Slots {
    settings: SlotLeaseSettings,
    lease: SlotLease,
    /// The lease request that is in flight.
    request: Option<(CallId, LeaseRequest)>,
    /// The slot as last passed to the placer.
    current: Option<u32>,
    /// The name and the API's address under which the placer registers.
    registration: Option<(String, SocketAddr)>,
}

impl Slots {
    /// Creates the state of a placer that needs one of `slot_count` slots.
    pub(super) fn new(settings: &SlotLeaseSettings, slot_count: u32, seed: u64) -> Slots {
        Slots {
            settings: settings.clone(),
            lease: SlotLease::new(slot_count, settings.ttl_ms * MICROS_PER_MS, seed),
            request: None,
            current: None,
            registration: None,
        }
    }

    pub(super) fn set_registration(&mut self, name: &str, address: SocketAddr) {
        self.registration = Some((name.to_owned(), address));
    }

    /// The slot as last passed to the placer.
    pub(super) fn current(&self) -> Option<u32> {
        self.current
    }

    /// Whether others hold all slots.
    pub(super) fn are_all_taken(&self) -> bool {
        self.lease.are_all_slots_taken()
    }

    /// The latest time of the next lease request.
    pub(super) fn next_due(&self, now: Micros) -> Option<Micros> {
        self.lease.next_due(now)
    }

    /// When the slot expires if it is not renewed.
    pub(super) fn expiry(&self, now: Micros) -> Option<Micros> {
        self.lease
            .valid_until()
            .filter(|&until| until > now && self.current.is_some())
    }

    /// The interval at which the check of the registration is passed: a third of its TTL, so that two calls may fail.
    pub(super) fn pass_check_interval(&self) -> Micros {
        self.settings.ttl_ms * MICROS_PER_MS / 3
    }

    /// The request that registers the placer as a service with a check.
    pub(super) fn registration_request(&self, requests: &RequestBuilder) -> Option<Vec<u8>> {
        let (name, address) = self.registration.as_ref()?;
        let body = json!({
            "ID": name, "Name": self.settings.service, "Address": address.ip().to_string(), "Port": address.port(),
            "Check": {
                "TTL": format!("{}ms", self.settings.ttl_ms),
                "DeregisterCriticalServiceAfter": "10m",
            },
        });
        let target = RequestTarget::new("/v1/agent/service/register");
        Some(requests.put(&target, &body.to_string()))
    }

    /// The request that passes the check of the registration.
    pub(super) fn pass_check_request(&self, requests: &RequestBuilder) -> Option<Vec<u8>> {
        let (name, _) = self.registration.as_ref()?;
        let path = format!("/v1/agent/check/pass/service:{}", percent_encode(name));
        Some(requests.put(&RequestTarget::new(path), ""))
    }

    fn lease_request(&self, requests: &RequestBuilder, request: &LeaseRequest) -> Vec<u8> {
        let prefix = percent_encode(&self.settings.key_prefix);
        match request {
            LeaseRequest::CreateSession => {
                let body = json!({
                    "Name": requests.user_agent, "TTL": format!("{}ms", self.settings.ttl_ms),
                    "LockDelay": format!("{}ms", self.settings.lock_delay_ms), "Behavior": "release",
                    // The session ends only by its TTL: the health of the node on which it is created must not end it.
                    "NodeChecks": [], "ServiceChecks": [],
                });
                requests.put(&requests.target("/v1/session/create"), &body.to_string())
            }
            LeaseRequest::RenewSession(session) => {
                let path = format!("/v1/session/renew/{}", percent_encode(session));
                requests.put(&requests.target(path), "")
            }
            LeaseRequest::ListSlots => {
                let target = requests
                    .target(format!("/v1/kv/{prefix}/"))
                    .with_param("recurse", "")
                    .with_consistency(Consistency::Consistent);
                requests.get(&target)
            }
            LeaseRequest::AcquireSlot { slot, session } => {
                let target = requests
                    .target(format!("/v1/kv/{prefix}/{slot}"))
                    .with_param("acquire", session);
                requests.put(&target, &requests.user_agent)
            }
        }
    }

    /// Interprets a response to the lease request that is in flight.
    fn parse_response(&self, call: CallId, status: u16, body: &[u8]) -> LeaseResponse {
        let Some((_, request)) = self.request.as_ref().filter(|(sent, _)| *sent == call) else {
            return LeaseResponse::Failed;
        };
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        let response = match (request, status) {
            (LeaseRequest::CreateSession, 200) => json["ID"]
                .as_str()
                .map(|id| LeaseResponse::SessionCreated(id.to_owned())),
            (LeaseRequest::RenewSession(_), 200) => Some(LeaseResponse::SessionRenewed),
            (LeaseRequest::RenewSession(_), 404) => Some(LeaseResponse::SessionGone),
            // No key was locked yet.
            (LeaseRequest::ListSlots, 404) => Some(LeaseResponse::SlotsListed {
                others: BTreeSet::new(),
                own: None,
            }),
            (LeaseRequest::ListSlots, 200) => {
                json.as_array().map(|keys| self.parse_locked_slots(keys))
            }
            (LeaseRequest::AcquireSlot { .. }, 200) => {
                json.as_bool().map(LeaseResponse::SlotAcquired)
            }
            _ => None,
        };
        response.unwrap_or(LeaseResponse::Failed)
    }

    /// Determines which slots are held, by the sessions that lock their keys.
    fn parse_locked_slots(&self, keys: &[Value]) -> LeaseResponse {
        let own_session = self.lease.session();
        let (mut others, mut own) = (BTreeSet::new(), None);
        for key in keys {
            let slot = key["Key"]
                .as_str()
                .and_then(|name| name.rsplit('/').next()?.parse().ok());
            match (slot, key["Session"].as_str()) {
                (Some(slot), session) if session.is_some() && session == own_session => {
                    own = Some(slot);
                }
                (Some(slot), Some(session)) if !session.is_empty() => {
                    others.insert(slot);
                }
                _ => {}
            }
        }
        LeaseResponse::SlotsListed { others, own }
    }
}

impl ConsulSource {
    /// Publishes the slot if it has changed. Each tick does this first, so that the placer does not use a slot that has
    /// expired by its own clock.
    pub(super) fn refresh_slot(&mut self, now: Micros) {
        let Some(slots) = &mut self.slots else { return };
        let slot = slots.lease.slot(now);
        if slot != slots.current {
            tracing::info!(?slot, "placer slot changed");
            slots.current = slot;
            self.updates.push(Update::Slot(slot));
        }
    }

    /// Sends the next lease request, if there is one.
    pub(super) fn advance_lease(&mut self, now: Micros) {
        let Some(slots) = &mut self.slots else { return };
        let Some(request) = slots.lease.next_request(now) else {
            return;
        };
        let bytes = slots.lease_request(&self.requests, &request);
        let call = self.calls.send(QueryKind::Lease, bytes, SHORT_CALL_TIMEOUT);
        slots.request = Some((call, request));
    }

    /// Processes the response to a lease request.
    pub(super) fn handle_lease_response(
        &mut self,
        now: Micros,
        call: CallId,
        status: u16,
        body: &[u8],
    ) {
        let Some(slots) = &self.slots else { return };
        let response = slots.parse_response(call, status, body);
        if response == LeaseResponse::Failed {
            self.calls.fail_over(QueryKind::Lease);
        }
        self.complete_lease_request(now, response);
    }

    /// Passes the result of a request to the lease, and sends the next request.
    pub(super) fn complete_lease_request(&mut self, now: Micros, response: LeaseResponse) {
        if let Some(slots) = &mut self.slots {
            slots.request = None;
            slots.lease.handle_response(now, response);
        }
        self.refresh_slot(now);
        self.advance_lease(now);
    }
}
