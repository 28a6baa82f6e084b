//! Acquiring, renewing, losing and recovering a slot.

use super::*;

const SECOND: Micros = 1_000_000;

fn lease_with_slot_2() -> (SlotLease, u32) {
    let mut lease = SlotLease::new(4, 10 * SECOND, 7);
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
        now = lease.next_due(now).expect("a time of the next renewal");
        assert_eq!(lease.slot(now), Some(slot), "renewed too late");
        assert!(matches!(
            lease.next_request(now),
            Some(LeaseRequest::RenewSession(_))
        ));
        lease.handle_response(now + SECOND / 100, LeaseResponse::SessionRenewed);
    }
    assert!(now >= 140 * SECOND, "renewed too often: {now}");
}

#[test]
fn slot_expires_by_own_clock_after_a_pause() {
    let (mut lease, slot) = lease_with_slot_2();
    assert_eq!(lease.slot(8 * SECOND), Some(slot));
    assert_eq!(
        lease.slot(9 * SECOND),
        None,
        "a tenth of the TTL before the servers can end the session"
    );
    // A renewal sent before the pause and answered after it counts from when it was sent.
    assert!(lease.next_request(4 * SECOND).is_some());
    lease.handle_response(60 * SECOND, LeaseResponse::SessionRenewed);
    assert_eq!(lease.slot(60 * SECOND), None);
    assert_eq!(
        lease.next_request(60 * SECOND),
        Some(LeaseRequest::CreateSession),
        "an expired session is replaced by a new one"
    );
}

#[test]
fn loses_slot_when_session_is_gone() {
    let (mut lease, _) = lease_with_slot_2();
    lease.next_request(4 * SECOND);
    lease.handle_response(4 * SECOND, LeaseResponse::SessionGone);
    assert_eq!(lease.slot(4 * SECOND), None);
    assert_eq!(
        lease.next_request(4 * SECOND),
        Some(LeaseRequest::CreateSession)
    );
}

#[test]
fn keeps_slot_until_expiry_while_renewals_fail() {
    let (mut lease, slot) = lease_with_slot_2();
    let mut now = lease.next_due(0).expect("a time of the next renewal");
    let mut attempts = 0;
    while lease.slot(now).is_some() {
        if lease.next_request(now).is_some() {
            lease.handle_response(now, LeaseResponse::Failed);
            attempts += 1;
        }
        now += SECOND / 20;
    }
    assert!(
        now >= 9 * SECOND && (4..20).contains(&attempts),
        "{attempts} attempts until {now}"
    );
    assert_eq!(slot, 2);
    // Once the slot has expired, the lease discards the session and creates a new one.
    let until = now + 10 * SECOND;
    while lease.next_request(now) != Some(LeaseRequest::CreateSession) {
        lease.handle_response(now, LeaseResponse::Failed);
        now += SECOND / 20;
        assert!(now < until);
    }
}

#[test]
fn recovers_own_slot_when_the_response_was_lost() {
    let mut lease = SlotLease::new(4, 10 * SECOND, 7);
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
    assert_eq!(lease.slot(0), None, "the acquisition was not confirmed");
    let relist_at = lease.next_due(0).expect("a time of the next listing");
    assert_eq!(lease.next_request(relist_at), Some(LeaseRequest::ListSlots));
    lease.handle_response(
        relist_at,
        LeaseResponse::SlotsListed {
            others: [0, 1, 3].into(),
            own: Some(2),
        },
    );
    assert_eq!(lease.slot(relist_at), Some(2));
    assert_eq!(
        lease.next_request(relist_at),
        None,
        "a lease with a slot requests no second one"
    );
}

#[test]
fn lists_slots_again_when_all_are_taken() {
    let mut lease = SlotLease::new(2, 10 * SECOND, 7);
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
    let relist_at = lease.next_due(0).expect("a time of the next listing");
    assert!((SECOND / 2..=2 * SECOND).contains(&relist_at));
    assert_eq!(lease.next_request(relist_at), Some(LeaseRequest::ListSlots));
    lease.handle_response(
        relist_at,
        LeaseResponse::SlotsListed {
            others: [0].into(),
            own: None,
        },
    );
    assert_eq!(
        lease.next_request(relist_at),
        Some(LeaseRequest::AcquireSlot {
            slot: 1,
            session: "s".into()
        })
    );
    // Another placer has locked the slot first: no further attempt until the slots are listed again.
    lease.handle_response(relist_at, LeaseResponse::SlotAcquired(false));
    assert_eq!(lease.next_request(relist_at), None);
    assert!(lease.are_all_slots_taken());
}
