//! The placer's number: what the lease wants asked, and what the answers mean to it.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::{CallId, ConsulSource, QueryKind, SHORT_CALL_TIMEOUT, Update};
use crate::Micros;
use crate::lease::{LeaseRequest, LeaseResponse, SlotLease};
use crate::query::{Consistency, percent_encode};

impl ConsulSource {
    /// The slot is lost by the own clock: told before anything else happens.
    pub(super) fn fence(&mut self, now: Micros) {
        let slot = self.lease.as_ref().and_then(|l| l.slot(now));
        if self.lease.is_some() && slot != self.slot {
            tracing::info!(?slot, "placer number");
            self.slot = slot;
            self.updates.push(Update::Slot(slot));
        }
    }

    pub(super) fn advance_lease(&mut self, now: Micros) {
        let Some(lease) = &mut self.lease else { return };
        let Some(ask) = lease.next_request(now) else {
            return;
        };
        let Some(m) = &self.config.membership else {
            return;
        };
        let key = |slot: u32| format!("/v1/kv/{}/{slot}", percent_encode(&m.key_prefix));
        let (target, method, body) = match &ask {
            LeaseRequest::CreateSession => {
                let body = json!({
                    "Name": self.user_agent, "TTL": format!("{}ms", m.ttl_ms),
                    "LockDelay": format!("{}ms", self.lock_delay_ms), "Behavior": "release",
                    // A session of its own TTL only: the health of the node it is made on must not end it.
                    "NodeChecks": [], "ServiceChecks": [],
                });
                (
                    self.target_in_datacentre("/v1/session/create".to_owned()),
                    "PUT",
                    body.to_string(),
                )
            }
            LeaseRequest::RenewSession(id) => (
                self.target_in_datacentre(format!("/v1/session/renew/{}", percent_encode(id))),
                "PUT",
                String::new(),
            ),
            LeaseRequest::ListSlots => {
                let path = format!("/v1/kv/{}/", percent_encode(&m.key_prefix));
                (
                    self.target_in_datacentre(path)
                        .with_param("recurse", "")
                        .with_consistency(Consistency::Consistent),
                    "GET",
                    String::new(),
                )
            }
            LeaseRequest::AcquireSlot(slot, id) => (
                self.target_in_datacentre(key(*slot))
                    .with_param("acquire", id),
                "PUT",
                self.user_agent.clone(),
            ),
        };
        let request = target.to_request(
            method,
            &self.user_agent,
            self.token.as_deref(),
            body.as_bytes(),
        );
        let server = self.queries.get(&QueryKind::Lease).map_or(0, |l| l.server);
        let call = self.send(QueryKind::Lease, server, request, SHORT_CALL_TIMEOUT);
        self.lease_request = Some((call, ask));
    }

    pub(super) fn parse_lease_response(
        &self,
        call: CallId,
        status: u16,
        body: &[u8],
    ) -> LeaseResponse {
        let Some((asked, ask)) = &self.lease_request else {
            return LeaseResponse::Failed;
        };
        if *asked != call {
            return LeaseResponse::Failed;
        }
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (ask, status) {
            (LeaseRequest::CreateSession, 200) => match json["ID"].as_str() {
                Some(id) => LeaseResponse::SessionCreated(id.to_owned()),
                None => LeaseResponse::Failed,
            },
            (LeaseRequest::RenewSession(_), 200) => LeaseResponse::SessionRenewed,
            (LeaseRequest::RenewSession(_), 404) => LeaseResponse::SessionGone,
            // No key was ever locked.
            (LeaseRequest::ListSlots, 404) => LeaseResponse::SlotsListed(BTreeSet::new(), None),
            (LeaseRequest::ListSlots, 200) => {
                let Some(all) = json.as_array() else {
                    return LeaseResponse::Failed;
                };
                let own = self.lease.as_ref().and_then(SlotLease::session);
                let (mut held, mut mine) = (BTreeSet::new(), None);
                for key in all {
                    let slot = key["Key"]
                        .as_str()
                        .and_then(|k| k.rsplit('/').next()?.parse().ok());
                    match (slot, key["Session"].as_str()) {
                        (Some(slot), session) if session.is_some() && session == own => {
                            mine = Some(slot)
                        }
                        (Some(slot), Some(session)) if !session.is_empty() => {
                            held.insert(slot);
                        }
                        _ => {}
                    }
                }
                LeaseResponse::SlotsListed(held, mine)
            }
            (LeaseRequest::AcquireSlot(..), 200) => match json.as_bool() {
                Some(acquired) => LeaseResponse::SlotAcquired(acquired),
                None => LeaseResponse::Failed,
            },
            _ => LeaseResponse::Failed,
        }
    }

    pub(super) fn complete_lease_request(&mut self, now: Micros, told: LeaseResponse) {
        self.lease_request = None;
        if let Some(lease) = &mut self.lease {
            lease.handle_response(now, told);
        }
        self.fence(now);
        self.advance_lease(now);
    }
}
