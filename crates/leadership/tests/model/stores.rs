//! Errors for durable state that a voter cannot use.

use maplethread_leadership::{DurableState, DurableWrite, Voter};

use crate::cluster::{START, settings};

#[test]
fn reports_damaged_store_and_store_without_identity() {
    let settings = settings(1, vec![1]);
    let mut durable = DurableState::default();
    durable
        .apply(DurableWrite::Vote(vec![255; 9]))
        .expect("votes are decoded only when a voter starts");
    let error = Voter::new(settings.clone(), durable.clone(), 1, START)
        .err()
        .expect("a store without an identity is rejected");
    assert!(error.to_string().contains("no identity"), "{error}");
    durable
        .apply(DurableWrite::Identity(7))
        .expect("an identity is a valid write");
    let error = Voter::new(settings, durable, 1, START)
        .err()
        .expect("a damaged vote is rejected");
    assert!(error.to_string().contains("damaged"), "{error}");
    assert!(
        DurableState::default()
            .apply(DurableWrite::Snapshot(vec![255; 9]))
            .is_err()
    );
}
