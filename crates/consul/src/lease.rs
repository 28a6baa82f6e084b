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
use crate::query::BackOff;

/// What to ask for next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Make a session.
    Create,
    /// Renew this session.
    Renew(String),
    /// See which slots are held.
    List,
    /// Lock a slot.
    Acquire(u32, String),
}

/// How an ask went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// A session was made.
    Created(String),
    /// It was renewed.
    Renewed,
    /// It does not exist any more.
    Gone,
    /// These slots are held by other sessions, and perhaps one by this placer's.
    Held(BTreeSet<u32>, Option<u32>),
    /// Whether the slot is this placer's now.
    Acquired(bool),
    /// No answer, or one that tells nothing.
    Failed,
}

/// The lease of a slot.
#[derive(Debug)]
pub struct Lease {
    slots: u32,
    ttl: Micros,
    rng: Pcg64Mcg,
    session: Option<String>,
    /// The session surely lives until then.
    until: Micros,
    slot: Option<u32>,
    /// Slots that were found held since they were last listed.
    held: Option<BTreeSet<u32>>,
    asking: Option<(Ask, Micros)>,
    /// Nothing is asked before.
    not_before: Micros,
    back_off: BackOff,
    /// All slots are held by others.
    full: bool,
}

/// A lease ends so much early, as a share of the TTL: clocks may run at slightly different rates.
const MARGIN: f64 = 0.1;
/// With all slots held, the next look is after this.
const LOOK_AGAIN: Micros = 1_000_000;

impl Lease {
    /// A placer that wants one of so many slots, by sessions of this TTL.
    pub fn new(slots: u32, ttl: Micros, seed: u64) -> Lease {
        Lease {
            slots,
            ttl,
            rng: Pcg64Mcg::seed_from_u64(seed),
            session: None,
            until: 0,
            slot: None,
            held: None,
            asking: None,
            not_before: 0,
            back_off: BackOff::default(),
            full: false,
        }
    }

    /// The slot that is surely this placer's now.
    pub fn slot(&self, now: Micros) -> Option<u32> {
        self.slot.filter(|_| now < self.until)
    }

    /// Whether all slots are held by others.
    pub fn full(&self) -> bool {
        self.full
    }

    /// The session, if there is one.
    pub fn session(&self) -> Option<&str> {
        self.session.as_deref()
    }

    /// Until when the slot is held without a renewal.
    pub fn until(&self) -> Option<Micros> {
        self.slot.map(|_| self.until)
    }

    /// When [`Lease::next`] has something to say at the latest.
    pub fn due(&self, now: Micros) -> Option<Micros> {
        if self.asking.is_some() {
            return self.until().filter(|&until| until > now);
        }
        let renew = self.renew_at();
        let step = match (&self.session, self.slot) {
            (Some(_), Some(_)) => renew,
            (Some(_), None) => self.not_before,
            (None, _) => self.not_before,
        };
        Some(step.max(self.not_before))
    }

    /// Renewed when a third of it is used up, so that two may fail.
    fn renew_at(&self) -> Micros {
        let whole = (self.ttl as f64 * (1.0 - MARGIN)) as Micros;
        self.until.saturating_sub(whole - whole / 3)
    }

    /// What to ask now, if anything.
    pub fn next(&mut self, now: Micros) -> Option<Ask> {
        if self.asking.is_some() || now < self.not_before {
            return None;
        }
        let ask = match &self.session {
            None => Ask::Create,
            Some(session) if now >= self.renew_at() => Ask::Renew(session.clone()),
            Some(_) if self.slot.is_some() => return None,
            Some(session) => match &self.held {
                None => Ask::List,
                Some(held) => {
                    let free: Vec<u32> = (0..self.slots).filter(|n| !held.contains(n)).collect();
                    if free.is_empty() {
                        (self.full, self.held) = (true, None);
                        self.not_before = now + LOOK_AGAIN / 2 + self.rng.next_u64() % LOOK_AGAIN;
                        return None;
                    }
                    Ask::Acquire(
                        free[(self.rng.next_u64() % free.len() as u64) as usize],
                        session.clone(),
                    )
                }
            },
        };
        self.asking = Some((ask.clone(), now));
        Some(ask)
    }

    /// How the last ask went.
    pub fn told(&mut self, now: Micros, told: Told) {
        let Some((ask, sent)) = self.asking.take() else {
            return;
        };
        let lease = (self.ttl as f64 * (1.0 - MARGIN)) as Micros;
        match (ask, told) {
            (Ask::Create, Told::Created(session)) => {
                (self.session, self.slot, self.held) = (Some(session), None, None);
                self.until = sent + lease;
                self.back_off.well();
            }
            (Ask::Renew(_), Told::Renewed) => {
                self.until = sent + lease;
                self.back_off.well();
            }
            (Ask::Renew(_), Told::Gone) => {
                // The slot is lost with it, whatever the own clock says.
                (self.session, self.slot, self.held, self.until) = (None, None, None, 0);
            }
            // Locked by an ask whose answer was lost: without this, one placer would keep two slots from others.
            (Ask::List, Told::Held(_, Some(own))) if own < self.slots => {
                (self.slot, self.held, self.full) = (Some(own), None, false);
                self.back_off.well();
            }
            (Ask::List, Told::Held(held, _)) => {
                (self.held, self.full) = (Some(held), false);
                self.back_off.well();
            }
            (Ask::Acquire(slot, _), Told::Acquired(true)) => {
                (self.slot, self.held, self.full) = (Some(slot), None, false);
                self.back_off.well();
            }
            (Ask::Acquire(slot, _), Told::Acquired(false)) => {
                // Somebody was quicker, or the lock delay is not over.
                self.held.get_or_insert_default().insert(slot);
            }
            (ask, _) => {
                self.not_before = now + self.back_off.failed(&mut self.rng);
                if matches!(ask, Ask::List | Ask::Acquire(..)) {
                    self.held = None;
                }
                // A session that can't be renewed any more is given up for a new one.
                if self.session.is_some() && now >= self.until {
                    (self.session, self.slot, self.held, self.until) = (None, None, None, 0);
                }
            }
        }
        // What was asked for before a long stop tells of a session that may be gone by now.
        if self.slot.is_some() && now >= self.until {
            (self.session, self.slot, self.held, self.until) = (None, None, None, 0);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Micros = 1_000_000;

    fn leased() -> (Lease, u32) {
        let mut lease = Lease::new(4, 10 * S, 7);
        assert_eq!(lease.next(0), Some(Ask::Create));
        lease.told(0, Told::Created("s".into()));
        assert_eq!(lease.next(0), Some(Ask::List));
        lease.told(0, Told::Held([0, 1, 3].into(), None));
        assert_eq!(lease.next(0), Some(Ask::Acquire(2, "s".into())));
        lease.told(0, Told::Acquired(true));
        (lease, 2)
    }

    #[test]
    fn a_free_slot_is_taken_and_renewed_in_time() {
        let (mut lease, slot) = leased();
        let mut now = 0;
        for _ in 0..50 {
            assert_eq!(lease.next(now), None);
            now = lease.due(now).expect("a renewal");
            assert_eq!(lease.slot(now), Some(slot), "renewed too late");
            assert!(matches!(lease.next(now), Some(Ask::Renew(_))));
            lease.told(now + S / 100, Told::Renewed);
        }
        assert!(now >= 140 * S, "renewed too often: {now}");
    }

    #[test]
    fn a_placer_that_was_stopped_knows_by_its_own_clock_that_the_slot_is_lost() {
        let (mut lease, slot) = leased();
        assert_eq!(lease.slot(8 * S), Some(slot));
        assert_eq!(
            lease.slot(9 * S),
            None,
            "a tenth of the TTL before the servers can end the session"
        );
        // A renewal sent before the stop and answered after it counts from when it was sent.
        assert!(lease.next(4 * S).is_some());
        lease.told(60 * S, Told::Renewed);
        assert_eq!(lease.slot(60 * S), None);
        assert_eq!(lease.next(60 * S), Some(Ask::Create), "it begins anew");
    }

    #[test]
    fn a_lost_session_loses_the_slot_at_once() {
        let (mut lease, _) = leased();
        lease.next(4 * S);
        lease.told(4 * S, Told::Gone);
        assert_eq!(lease.slot(4 * S), None);
        assert_eq!(lease.next(4 * S), Some(Ask::Create));
    }

    #[test]
    fn failures_back_off_and_the_slot_is_kept_as_long_as_it_surely_is() {
        let (mut lease, slot) = leased();
        let mut now = lease.due(0).expect("a renewal");
        let mut tries = 0;
        while lease.slot(now).is_some() {
            if lease.next(now).is_some() {
                lease.told(now, Told::Failed);
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
        while lease.next(now) != Some(Ask::Create) {
            lease.told(now, Told::Failed);
            now += S / 20;
            assert!(now < until);
        }
    }

    #[test]
    fn a_slot_whose_answer_was_lost_is_found_again() {
        let mut lease = Lease::new(4, 10 * S, 7);
        lease.next(0);
        lease.told(0, Told::Created("s".into()));
        lease.next(0);
        lease.told(0, Told::Held([0, 1, 3].into(), None));
        assert_eq!(lease.next(0), Some(Ask::Acquire(2, "s".into())));
        lease.told(0, Told::Failed);
        assert_eq!(lease.slot(0), None, "not known to be its own");
        let again = lease.due(0).expect("another look");
        assert_eq!(lease.next(again), Some(Ask::List));
        lease.told(again, Told::Held([0, 1, 3].into(), Some(2)));
        assert_eq!(lease.slot(again), Some(2));
        assert_eq!(lease.next(again), None, "one is enough");
    }

    #[test]
    fn with_all_slots_held_it_waits_and_looks_again() {
        let mut lease = Lease::new(2, 10 * S, 7);
        lease.next(0);
        lease.told(0, Told::Created("s".into()));
        lease.next(0);
        lease.told(0, Told::Held([0, 1].into(), None));
        assert_eq!(lease.next(0), None);
        assert!(lease.full() && lease.slot(0).is_none());
        let again = lease.due(0).expect("another look");
        assert!((S / 2..=2 * S).contains(&again));
        assert_eq!(lease.next(again), Some(Ask::List));
        lease.told(again, Told::Held([0].into(), None));
        assert_eq!(lease.next(again), Some(Ask::Acquire(1, "s".into())));
        // Somebody was quicker: not tried again until listed anew.
        lease.told(again, Told::Acquired(false));
        assert_eq!(lease.next(again), None);
        assert!(lease.full());
    }
}
