//! The lease of a placer slot: a number below a configured count, held by a session that locks a key. No two running
//! placers ever hold the same slot, so that all placers together stay within the warm-up budget of each host (rule 4).
//!
//! The lease is timed on the placer's own clock from when its last successful renewal was *sent*. The servers can't end
//! a session sooner than its TTL after they received that renewal, so a placer that was paused detects by its own clock
//! that its slot is lost, before it sends any request. Others can't acquire the slot until the lock delay after that.

use std::collections::BTreeSet;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::Micros;
use crate::backoff::Backoff;

/// The next request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Create a session.
    CreateSession,
    /// Renew this session.
    RenewSession(String),
    /// List the slots that are held.
    ListSlots,
    /// Lock a slot for a session.
    AcquireSlot {
        /// The slot.
        slot: u32,
        /// The session.
        session: String,
    },
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseResponse {
    /// The session was created and has this id.
    SessionCreated(String),
    /// The session was renewed.
    SessionRenewed,
    /// The session no longer exists.
    SessionGone,
    /// The slots that are held.
    SlotsListed {
        /// Those held by other sessions.
        others: BTreeSet<u32>,
        /// The one held by this placer's session, if there is one.
        own: Option<u32>,
    },
    /// Whether the slot was acquired.
    SlotAcquired(bool),
    /// No response, or an invalid one.
    Failed,
}

/// The lease of a slot.
#[derive(Debug)]
pub struct SlotLease {
    slot_count: u32,
    /// The TTL of the session.
    ttl: Micros,
    rng: Pcg64Mcg,
    session: Option<String>,
    /// Until when the session is certain to exist.
    valid_until: Micros,
    slot: Option<u32>,
    /// Slots that others hold, according to the last listing and failed acquisitions since; none before a listing.
    occupied_slots: Option<BTreeSet<u32>>,
    /// The request in flight and when it was sent.
    in_flight: Option<(LeaseRequest, Micros)>,
    /// No request is sent before this time.
    next_request_at: Micros,
    backoff: Backoff,
    /// Whether all slots are held by others.
    all_slots_taken: bool,
}

/// How much sooner than its session a lease ends, as a share of the TTL, since clocks may run at different rates.
const EXPIRY_MARGIN_SHARE: f64 = 0.1;
/// While others hold all slots, they are listed again about this often.
const RELIST_INTERVAL: Micros = 1_000_000;

impl SlotLease {
    /// Creates a lease of one of `slot_count` slots, with sessions of this TTL.
    pub fn new(slot_count: u32, ttl: Micros, seed: u64) -> SlotLease {
        SlotLease {
            slot_count,
            ttl,
            rng: Pcg64Mcg::seed_from_u64(seed),
            session: None,
            valid_until: 0,
            slot: None,
            occupied_slots: None,
            in_flight: None,
            next_request_at: 0,
            backoff: Backoff::default(),
            all_slots_taken: false,
        }
    }

    /// The slot, if it is certain that this placer still holds it.
    pub fn slot(&self, now: Micros) -> Option<u32> {
        self.slot.filter(|_| now < self.valid_until)
    }

    /// Whether others hold all slots.
    pub fn are_all_slots_taken(&self) -> bool {
        self.all_slots_taken
    }

    /// The session, if there is one.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Until when the slot is held without a renewal; none without a slot.
    pub fn valid_until(&self) -> Option<Micros> {
        self.slot.map(|_| self.valid_until)
    }

    /// The latest time at which [`SlotLease::next_request`] must be called.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.in_flight.is_some() {
            return self.valid_until().filter(|&until| until > now);
        }
        let due = match (&self.session, self.slot) {
            (Some(_), Some(_)) => self.renewal_due(),
            (Some(_), None) | (None, _) => self.next_request_at,
        };
        Some(due.max(self.next_request_at))
    }

    /// How long a lease lasts after its renewal was sent.
    fn duration(&self) -> Micros {
        (self.ttl as f64 * (1.0 - EXPIRY_MARGIN_SHARE)) as Micros
    }

    /// A lease is renewed when a third of its duration has passed, so that two renewals may fail.
    fn renewal_due(&self) -> Micros {
        let duration = self.duration();
        self.valid_until.saturating_sub(duration - duration / 3)
    }

    /// Returns the request to send now, if there is one.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if self.in_flight.is_some() || now < self.next_request_at {
            return None;
        }
        let request = match &self.session {
            None => LeaseRequest::CreateSession,
            Some(session) if now >= self.renewal_due() => {
                LeaseRequest::RenewSession(session.clone())
            }
            Some(_) if self.slot.is_some() => return None,
            Some(session) => match &self.occupied_slots {
                None => LeaseRequest::ListSlots,
                Some(occupied) => {
                    let free: Vec<u32> = (0..self.slot_count)
                        .filter(|slot| !occupied.contains(slot))
                        .collect();
                    if free.is_empty() {
                        self.schedule_relisting(now);
                        return None;
                    }
                    let index = (self.rng.next_u64() % free.len() as u64) as usize;
                    LeaseRequest::AcquireSlot {
                        slot: free[index],
                        session: session.clone(),
                    }
                }
            },
        };
        self.in_flight = Some((request.clone(), now));
        Some(request)
    }

    fn schedule_relisting(&mut self, now: Micros) {
        self.all_slots_taken = true;
        self.occupied_slots = None;
        self.next_request_at = now + RELIST_INTERVAL / 2 + self.rng.next_u64() % RELIST_INTERVAL;
    }

    /// Processes the result of the last request.
    pub fn handle_response(&mut self, now: Micros, response: LeaseResponse) {
        let Some((request, sent)) = self.in_flight.take() else {
            return;
        };
        match (request, response) {
            (LeaseRequest::CreateSession, LeaseResponse::SessionCreated(session)) => {
                self.session = Some(session);
                self.slot = None;
                self.occupied_slots = None;
                self.valid_until = sent + self.duration();
                self.backoff.reset();
            }
            (LeaseRequest::RenewSession(_), LeaseResponse::SessionRenewed) => {
                self.valid_until = sent + self.duration();
                self.backoff.reset();
            }
            // The slot is lost with the session, even if it has not expired by the placer's own clock.
            (LeaseRequest::RenewSession(_), LeaseResponse::SessionGone) => self.discard_session(),
            // The slot was locked by a request whose response was lost. Without this, one placer would hold two slots.
            (LeaseRequest::ListSlots, LeaseResponse::SlotsListed { own: Some(own), .. })
                if own < self.slot_count =>
            {
                self.hold_slot(own);
            }
            (LeaseRequest::ListSlots, LeaseResponse::SlotsListed { others, .. }) => {
                self.occupied_slots = Some(others);
                self.all_slots_taken = false;
                self.backoff.reset();
            }
            (LeaseRequest::AcquireSlot { slot, .. }, LeaseResponse::SlotAcquired(true)) => {
                self.hold_slot(slot);
            }
            // Another placer has locked the slot first, or its lock delay is not over.
            (LeaseRequest::AcquireSlot { slot, .. }, LeaseResponse::SlotAcquired(false)) => {
                self.occupied_slots.get_or_insert_default().insert(slot);
            }
            (request, _) => self.handle_failure(now, &request),
        }
        // A response to a request sent before a long pause may refer to a session that has expired since.
        if self.slot.is_some() && now >= self.valid_until {
            self.discard_session();
        }
    }

    fn hold_slot(&mut self, slot: u32) {
        self.slot = Some(slot);
        self.occupied_slots = None;
        self.all_slots_taken = false;
        self.backoff.reset();
    }

    fn handle_failure(&mut self, now: Micros, request: &LeaseRequest) {
        self.next_request_at = now + self.backoff.next_delay(&mut self.rng);
        if matches!(
            request,
            LeaseRequest::ListSlots | LeaseRequest::AcquireSlot { .. }
        ) {
            self.occupied_slots = None;
        }
        // A session that can no longer be renewed is replaced by a new one.
        if self.session.is_some() && now >= self.valid_until {
            self.discard_session();
        }
    }

    fn discard_session(&mut self) {
        self.session = None;
        self.slot = None;
        self.occupied_slots = None;
        self.valid_until = 0;
    }
}

#[cfg(test)]
mod tests;
