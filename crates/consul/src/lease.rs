//! A slot of the placers: a number below a configured count, leased by a session-locked key, so that no two live
//! placers ever hold one, and the cold budgets of rule 4 add up whatever happens.
//!
//! The lease is reckoned on the placer's own clock from when its last successful renewal was *sent*: the servers
//! can't end a session sooner than its TTL after they had that renewal, so a placer that was stopped knows by its own
//! clock that its slot is lost, before it asks anybody. Others can't take the slot until the lock delay after that.

use std::collections::BTreeSet;

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::Micros;
use crate::query::Backoff;

/// What to ask for next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    /// Make a session.
    CreateSession,
    /// Renew this session.
    RenewSession(String),
    /// See which slots are held.
    ListSlots,
    /// Lock a slot.
    AcquireSlot(u32, String),
}

/// How an ask went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseResponse {
    /// A session was made.
    SessionCreated(String),
    /// It was renewed.
    SessionRenewed,
    /// It does not exist any more.
    SessionGone,
    /// These slots are held by other sessions, and perhaps one by this placer's.
    SlotsListed(BTreeSet<u32>, Option<u32>),
    /// Whether the slot is this placer's now.
    SlotAcquired(bool),
    /// No answer, or one that tells nothing.
    Failed,
}

/// The lease of a slot.
#[derive(Debug)]
pub struct SlotLease {
    slots: u32,
    ttl: Micros,
    rng: Pcg64Mcg,
    session: Option<String>,
    /// The session surely lives until then.
    valid_until: Micros,
    slot: Option<u32>,
    /// Slots that were found held since they were last listed.
    occupied_slots: Option<BTreeSet<u32>>,
    in_flight: Option<(LeaseRequest, Micros)>,
    /// Nothing is asked before.
    next_request_at: Micros,
    backoff: Backoff,
    /// All slots are held by others.
    all_slots_taken: bool,
}

/// A lease ends so much early, as a share of the TTL: clocks may run at slightly different rates.
const EXPIRY_MARGIN: f64 = 0.1;
/// With all slots held, the next look is after this.
const RELIST_INTERVAL: Micros = 1_000_000;

impl SlotLease {
    /// A placer that wants one of so many slots, by sessions of this TTL.
    pub fn new(slots: u32, ttl: Micros, seed: u64) -> SlotLease {
        SlotLease {
            slots,
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

    /// The slot that is surely this placer's now.
    pub fn slot(&self, now: Micros) -> Option<u32> {
        self.slot.filter(|_| now < self.valid_until)
    }

    /// Whether all slots are held by others.
    pub fn are_all_slots_taken(&self) -> bool {
        self.all_slots_taken
    }

    /// The session, if there is one.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Until when the slot is held without a renewal.
    pub fn valid_until(&self) -> Option<Micros> {
        self.slot.map(|_| self.valid_until)
    }

    /// When [`Lease::next`] has something to say at the latest.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.in_flight.is_some() {
            return self.valid_until().filter(|&until| until > now);
        }
        let renew = self.renew_at();
        let step = match (&self.session, self.slot) {
            (Some(_), Some(_)) => renew,
            (Some(_), None) => self.next_request_at,
            (None, _) => self.next_request_at,
        };
        Some(step.max(self.next_request_at))
    }

    /// Renewed when a third of it is used up, so that two may fail.
    fn renew_at(&self) -> Micros {
        let whole = (self.ttl as f64 * (1.0 - EXPIRY_MARGIN)) as Micros;
        self.valid_until.saturating_sub(whole - whole / 3)
    }

    /// What to ask now, if anything.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if self.in_flight.is_some() || now < self.next_request_at {
            return None;
        }
        let ask = match &self.session {
            None => LeaseRequest::CreateSession,
            Some(session) if now >= self.renew_at() => LeaseRequest::RenewSession(session.clone()),
            Some(_) if self.slot.is_some() => return None,
            Some(session) => match &self.occupied_slots {
                None => LeaseRequest::ListSlots,
                Some(held) => {
                    let free: Vec<u32> = (0..self.slots).filter(|n| !held.contains(n)).collect();
                    if free.is_empty() {
                        (self.all_slots_taken, self.occupied_slots) = (true, None);
                        self.next_request_at =
                            now + RELIST_INTERVAL / 2 + self.rng.next_u64() % RELIST_INTERVAL;
                        return None;
                    }
                    LeaseRequest::AcquireSlot(
                        free[(self.rng.next_u64() % free.len() as u64) as usize],
                        session.clone(),
                    )
                }
            },
        };
        self.in_flight = Some((ask.clone(), now));
        Some(ask)
    }

    /// How the last ask went.
    pub fn handle_response(&mut self, now: Micros, told: LeaseResponse) {
        let Some((ask, sent)) = self.in_flight.take() else {
            return;
        };
        let lease = (self.ttl as f64 * (1.0 - EXPIRY_MARGIN)) as Micros;
        match (ask, told) {
            (LeaseRequest::CreateSession, LeaseResponse::SessionCreated(session)) => {
                (self.session, self.slot, self.occupied_slots) = (Some(session), None, None);
                self.valid_until = sent + lease;
                self.backoff.reset();
            }
            (LeaseRequest::RenewSession(_), LeaseResponse::SessionRenewed) => {
                self.valid_until = sent + lease;
                self.backoff.reset();
            }
            (LeaseRequest::RenewSession(_), LeaseResponse::SessionGone) => {
                // The slot is lost with it, whatever the own clock says.
                (
                    self.session,
                    self.slot,
                    self.occupied_slots,
                    self.valid_until,
                ) = (None, None, None, 0);
            }
            // Locked by an ask whose answer was lost: without this, one placer would keep two slots from others.
            (LeaseRequest::ListSlots, LeaseResponse::SlotsListed(_, Some(own)))
                if own < self.slots =>
            {
                (self.slot, self.occupied_slots, self.all_slots_taken) = (Some(own), None, false);
                self.backoff.reset();
            }
            (LeaseRequest::ListSlots, LeaseResponse::SlotsListed(held, _)) => {
                (self.occupied_slots, self.all_slots_taken) = (Some(held), false);
                self.backoff.reset();
            }
            (LeaseRequest::AcquireSlot(slot, _), LeaseResponse::SlotAcquired(true)) => {
                (self.slot, self.occupied_slots, self.all_slots_taken) = (Some(slot), None, false);
                self.backoff.reset();
            }
            (LeaseRequest::AcquireSlot(slot, _), LeaseResponse::SlotAcquired(false)) => {
                // Somebody was quicker, or the lock delay is not over.
                self.occupied_slots.get_or_insert_default().insert(slot);
            }
            (ask, _) => {
                self.next_request_at = now + self.backoff.next_wait(&mut self.rng);
                if matches!(ask, LeaseRequest::ListSlots | LeaseRequest::AcquireSlot(..)) {
                    self.occupied_slots = None;
                }
                // A session that can't be renewed any more is given up for a new one.
                if self.session.is_some() && now >= self.valid_until {
                    (
                        self.session,
                        self.slot,
                        self.occupied_slots,
                        self.valid_until,
                    ) = (None, None, None, 0);
                }
            }
        }
        // What was asked for before a long stop tells of a session that may be gone by now.
        if self.slot.is_some() && now >= self.valid_until {
            (
                self.session,
                self.slot,
                self.occupied_slots,
                self.valid_until,
            ) = (None, None, None, 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn lease_with_slot_2() -> (SlotLease, u32) {
        let mut lease = SlotLease::new(4, 10 * S, 7);
        assert_eq!(lease.next_request(0), Some(LeaseRequest::CreateSession));
        lease.handle_response(0, LeaseResponse::SessionCreated("s".into()));
        assert_eq!(lease.next_request(0), Some(LeaseRequest::ListSlots));
        lease.handle_response(0, LeaseResponse::SlotsListed([0, 1, 3].into(), None));
        assert_eq!(
            lease.next_request(0),
            Some(LeaseRequest::AcquireSlot(2, "s".into()))
        );
        lease.handle_response(0, LeaseResponse::SlotAcquired(true));
        (lease, 2)
    }

    #[test]
    fn acquires_free_slot_and_renews_it_in_time() {
        let (mut lease, slot) = lease_with_slot_2();
        let mut now = 0;
        for _ in 0..50 {
            assert_eq!(lease.next_request(now), None);
            now = lease.next_due(now).expect("a renewal");
            assert_eq!(lease.slot(now), Some(slot), "renewed too late");
            assert!(matches!(
                lease.next_request(now),
                Some(LeaseRequest::RenewSession(_))
            ));
            lease.handle_response(now + S / 100, LeaseResponse::SessionRenewed);
        }
        assert!(now >= 140 * S, "renewed too often: {now}");
    }

    #[test]
    fn slot_expires_by_own_clock_after_a_pause() {
        let (mut lease, slot) = lease_with_slot_2();
        assert_eq!(lease.slot(8 * S), Some(slot));
        assert_eq!(
            lease.slot(9 * S),
            None,
            "a tenth of the TTL before the servers can end the session"
        );
        // A renewal sent before the stop and answered after it counts from when it was sent.
        assert!(lease.next_request(4 * S).is_some());
        lease.handle_response(60 * S, LeaseResponse::SessionRenewed);
        assert_eq!(lease.slot(60 * S), None);
        assert_eq!(
            lease.next_request(60 * S),
            Some(LeaseRequest::CreateSession),
            "it begins anew"
        );
    }

    #[test]
    fn loses_slot_when_session_is_gone() {
        let (mut lease, _) = lease_with_slot_2();
        lease.next_request(4 * S);
        lease.handle_response(4 * S, LeaseResponse::SessionGone);
        assert_eq!(lease.slot(4 * S), None);
        assert_eq!(lease.next_request(4 * S), Some(LeaseRequest::CreateSession));
    }

    #[test]
    fn keeps_slot_until_expiry_while_renewals_fail() {
        let (mut lease, slot) = lease_with_slot_2();
        let mut now = lease.next_due(0).expect("a renewal");
        let mut tries = 0;
        while lease.slot(now).is_some() {
            if lease.next_request(now).is_some() {
                lease.handle_response(now, LeaseResponse::Failed);
                tries += 1;
            }
            now += S / 20;
        }
        assert!(
            now >= 9 * S && (4..20).contains(&tries),
            "{tries} tries until {now}"
        );
        assert_eq!(slot, 2);
        // It gives up the session and begins anew.
        let until = now + 10 * S;
        while lease.next_request(now) != Some(LeaseRequest::CreateSession) {
            lease.handle_response(now, LeaseResponse::Failed);
            now += S / 20;
            assert!(now < until);
        }
    }

    #[test]
    fn finds_own_slot_again_when_the_answer_was_lost() {
        let mut lease = SlotLease::new(4, 10 * S, 7);
        lease.next_request(0);
        lease.handle_response(0, LeaseResponse::SessionCreated("s".into()));
        lease.next_request(0);
        lease.handle_response(0, LeaseResponse::SlotsListed([0, 1, 3].into(), None));
        assert_eq!(
            lease.next_request(0),
            Some(LeaseRequest::AcquireSlot(2, "s".into()))
        );
        lease.handle_response(0, LeaseResponse::Failed);
        assert_eq!(lease.slot(0), None, "not known to be its own");
        let again = lease.next_due(0).expect("another look");
        assert_eq!(lease.next_request(again), Some(LeaseRequest::ListSlots));
        lease.handle_response(again, LeaseResponse::SlotsListed([0, 1, 3].into(), Some(2)));
        assert_eq!(lease.slot(again), Some(2));
        assert_eq!(lease.next_request(again), None, "one is enough");
    }

    #[test]
    fn lists_slots_again_when_all_are_taken() {
        let mut lease = SlotLease::new(2, 10 * S, 7);
        lease.next_request(0);
        lease.handle_response(0, LeaseResponse::SessionCreated("s".into()));
        lease.next_request(0);
        lease.handle_response(0, LeaseResponse::SlotsListed([0, 1].into(), None));
        assert_eq!(lease.next_request(0), None);
        assert!(lease.are_all_slots_taken() && lease.slot(0).is_none());
        let again = lease.next_due(0).expect("another look");
        assert!((S / 2..=2 * S).contains(&again));
        assert_eq!(lease.next_request(again), Some(LeaseRequest::ListSlots));
        lease.handle_response(again, LeaseResponse::SlotsListed([0].into(), None));
        assert_eq!(
            lease.next_request(again),
            Some(LeaseRequest::AcquireSlot(1, "s".into()))
        );
        // Somebody was quicker: not tried again until listed anew.
        lease.handle_response(again, LeaseResponse::SlotAcquired(false));
        assert_eq!(lease.next_request(again), None);
        assert!(lease.are_all_slots_taken());
    }
}
