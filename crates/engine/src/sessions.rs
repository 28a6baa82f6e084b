//! The host side: the list of hosts, connections, heartbeats, and the frames that hosts send.

mod adoption;
mod connections;
mod frames;
pub(crate) mod heartbeats;
mod inventory;
mod starts;

use maplethread::Why;
use maplethread_wire::frame::{Copies, Reason};

pub(crate) fn why(reason: Reason) -> Option<Why> {
    Some(match reason {
        Reason::Cores => Why::Cores,
        Reason::Memory => Why::Memory,
        Reason::Line => Why::Line,
        Reason::NotHere => Why::NotHere,
        Reason::Evicted => Why::Evicted,
        Reason::PushedOut => Why::PushedOut,
        Reason::SentAway => Why::SentAway,
        Reason::Unknown | Reason::Done | Reason::Stopped | Reason::Error => return None,
    })
}

/// What stands on the wire for a class's effect.
pub(crate) fn copies(effect: maplethread::Effect, key: u64) -> Copies {
    match effect {
        maplethread::Effect::Safe => Copies::Safe,
        maplethread::Effect::Keyed { .. } => Copies::Keyed(key),
        maplethread::Effect::Unsafe => Copies::Unsafe,
    }
}
