//! Taking, keeping, losing and finding a slot.

use super::*;

const S: Micros = 1_000_000;

fn lease_with_slot_2() -> (SlotLease, u32) {
    let mut lease = SlotLease::new(4, 10 * S, 7);
    assert_eq!(lease.next_request(0), Some(LeaseRequest::CreateSession));
    lease.handle_response(0, LeaseResponse::SessionCreated("s".into()));
    assert_eq!(lease.next_request(0), Some(LeaseRequest::ListSlots));
    lease.handle_response(
        0,
        LeaseResponse::SlotsListed {
            others: [0, 1, 3].into(),
            own: None,
        },
    );
    assert_eq!(
        lease.next_request(0),
        Some(LeaseRequest::AcquireSlot {
            slot: 2,
            session: "s".into()
        })
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
    lease.handle_response(
        0,
        LeaseResponse::SlotsListed {
            others: [0, 1, 3].into(),
            own: None,
        },
    );
    assert_eq!(
        lease.next_request(0),
        Some(LeaseRequest::AcquireSlot {
            slot: 2,
            session: "s".into()
        })
    );
    lease.handle_response(0, LeaseResponse::Failed);
    assert_eq!(lease.slot(0), None, "not known to be its own");
    let again = lease.next_due(0).expect("another look");
    assert_eq!(lease.next_request(again), Some(LeaseRequest::ListSlots));
    lease.handle_response(
        again,
        LeaseResponse::SlotsListed {
            others: [0, 1, 3].into(),
            own: Some(2),
        },
    );
    assert_eq!(lease.slot(again), Some(2));
    assert_eq!(lease.next_request(again), None, "one is enough");
}

#[test]
fn lists_slots_again_when_all_are_taken() {
    let mut lease = SlotLease::new(2, 10 * S, 7);
    lease.next_request(0);
    lease.handle_response(0, LeaseResponse::SessionCreated("s".into()));
    lease.next_request(0);
    lease.handle_response(
        0,
        LeaseResponse::SlotsListed {
            others: [0, 1].into(),
            own: None,
        },
    );
    assert_eq!(lease.next_request(0), None);
    assert!(lease.are_all_slots_taken() && lease.slot(0).is_none());
    let again = lease.next_due(0).expect("another look");
    assert!((S / 2..=2 * S).contains(&again));
    assert_eq!(lease.next_request(again), Some(LeaseRequest::ListSlots));
    lease.handle_response(
        again,
        LeaseResponse::SlotsListed {
            others: [0].into(),
            own: None,
        },
    );
    assert_eq!(
        lease.next_request(again),
        Some(LeaseRequest::AcquireSlot {
            slot: 1,
            session: "s".into()
        })
    );
    // Somebody was quicker: not tried again until listed anew.
    lease.handle_response(again, LeaseResponse::SlotAcquired(false));
    assert_eq!(lease.next_request(again), None);
    assert!(lease.are_all_slots_taken());
}
