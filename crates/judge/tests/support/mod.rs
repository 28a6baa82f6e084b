//! What tests of the judge share: figures, names and offers.
#![allow(dead_code, reason = "each test file uses a part")]

use std::sync::Arc;

use maplethread_judge::Figures;
use maplethread_wire::frame::{Copies, Load, Offer};

pub const S: u64 = 1_000_000;

pub fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Figures of one placer, without classes and hosts.
pub fn figures() -> Figures {
    Figures {
        classes: Vec::new(),
        hosts: Vec::new(),
        placers: 1,
        drain_grace: 2 * S,
        cold_for: 6 * S,
        fall_window: 2 * S,
        fresh_offers: 16.0,
        lost_after: 5 * S,
        reprieve: S / 2,
        slack: 150_000,
    }
}

/// An offer of a request of its own, of class `c`.
pub fn offer(attempt: u64) -> Offer {
    Offer {
        attempt,
        number: 0,
        service: "s".into(),
        actor: "a".into(),
        class: "c".into(),
        request: format!("r{attempt}"),
        asks: Load {
            cores: 1.0,
            memory: 1.0,
        },
        priority: 0,
        copies: Copies::Safe,
        life_ms: 0,
        wait_ms: 100,
    }
}
