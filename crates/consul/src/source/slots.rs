//! The placer's number: what the lease wants asked, and what the answers mean to it.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::{CallId, ConsulSource, Purpose, SHORT, Update};
use crate::Micros;
use crate::lease::{Ask, SlotLease, Told};
use crate::query::{Mode, escape};

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

    pub(super) fn lease_step(&mut self, now: Micros) {
        let Some(lease) = &mut self.lease else { return };
        let Some(ask) = lease.next_request(now) else {
            return;
        };
        let Some(m) = &self.config.membership else {
            return;
        };
        let key = |slot: u32| format!("/v1/kv/{}/{slot}", escape(&m.prefix));
        let (target, method, body) = match &ask {
            Ask::Create => {
                let body = json!({
                    "Name": self.user_agent, "TTL": format!("{}ms", m.ttl_ms),
                    "LockDelay": format!("{}ms", self.lock_delay_ms), "Behavior": "release",
                    // A session of its own TTL only: the health of the node it is made on must not end it.
                    "NodeChecks": [], "ServiceChecks": [],
                });
                (
                    self.target("/v1/session/create".to_owned()),
                    "PUT",
                    body.to_string(),
                )
            }
            Ask::Renew(id) => (
                self.target(format!("/v1/session/renew/{}", escape(id))),
                "PUT",
                String::new(),
            ),
            Ask::List => {
                let path = format!("/v1/kv/{}/", escape(&m.prefix));
                (
                    self.target(path)
                        .with_param("recurse", "")
                        .mode(Mode::Consistent),
                    "GET",
                    String::new(),
                )
            }
            Ask::Acquire(slot, id) => (
                self.target(key(*slot)).with_param("acquire", id),
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
        let server = self.loops.get(&Purpose::Lease).map_or(0, |l| l.server);
        let call = self.send(Purpose::Lease, server, request, SHORT);
        self.lease_ask = Some((call, ask));
    }

    pub(super) fn lease_told(&self, call: CallId, status: u16, body: &[u8]) -> Told {
        let Some((asked, ask)) = &self.lease_ask else {
            return Told::Failed;
        };
        if *asked != call {
            return Told::Failed;
        }
        let json: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
        match (ask, status) {
            (Ask::Create, 200) => match json["ID"].as_str() {
                Some(id) => Told::Created(id.to_owned()),
                None => Told::Failed,
            },
            (Ask::Renew(_), 200) => Told::Renewed,
            (Ask::Renew(_), 404) => Told::Gone,
            // No key was ever locked.
            (Ask::List, 404) => Told::Held(BTreeSet::new(), None),
            (Ask::List, 200) => {
                let Some(all) = json.as_array() else {
                    return Told::Failed;
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
                Told::Held(held, mine)
            }
            (Ask::Acquire(..), 200) => match json.as_bool() {
                Some(acquired) => Told::Acquired(acquired),
                None => Told::Failed,
            },
            _ => Told::Failed,
        }
    }

    pub(super) fn lease_done(&mut self, now: Micros, told: Told) {
        self.lease_ask = None;
        if let Some(lease) = &mut self.lease {
            lease.handle_response(now, told);
        }
        self.fence(now);
        self.lease_step(now);
    }
}
