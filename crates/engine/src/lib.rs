//! The placer's engine: sessions of clients and hosts around the decisions, without I/O, clock or threads.
//!
//! [`Engine`] takes bytes of connections, news of the inventory and the time. It turns them into
//! [`maplethread::Event`]s for whatever [`Decide`]s, carries out the actions, and gives bytes, connections to be
//! made or closed, and the time at which it wants to be called again. It owns ids, the mapping of names to
//! numbers, bounded tables and the deadlines of the two protocols; it decides nothing about placing. The same
//! engine runs on sockets and under a simulated clock and network.

mod answers;
mod api;
mod attempts;
mod audit_log;
mod batch;
mod clients;
mod engine;
mod followers;
mod hosts;
mod ids;
mod lifecycle;
mod requests;
mod serve;
mod sessions;
mod turn_latency;
mod warm_up_offers;

pub use audit_log::{AuditEntry, RequestOutcome};
pub use engine::{Counters, Engine, Output, StartInfo};
pub use ids::stable_hash;
pub use maplethread_timers::Timers;

use maplethread::{Action, Event, Micros, Placer};

/// A connection of a client, numbered by the caller and never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

/// A host, numbered by the engine; no other host gets its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostId(pub u32);

/// Whatever decides: the module, or a baseline to compare it with.
pub trait Decide {
    /// Takes in what has happened by `now` and adds to `actions` what is to be done.
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>);

    /// Whether the engine answers in its stead what it leaves open up to a deadline. Only deciders that are to show a
    /// judge a broken rule 1 say no.
    fn allows_deadline_answers(&self) -> bool {
        true
    }

    /// Whether it is the module itself, so that a record of its turns can be replayed.
    fn is_replayable(&self) -> bool {
        false
    }
}

impl Decide for Placer {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        Placer::turn(self, now, events, actions);
    }

    fn is_replayable(&self) -> bool {
        true
    }
}

impl<D: Decide + ?Sized> Decide for Box<D> {
    fn turn(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        (**self).turn(now, events, actions);
    }

    fn allows_deadline_answers(&self) -> bool {
        (**self).allows_deadline_answers()
    }

    fn is_replayable(&self) -> bool {
        (**self).is_replayable()
    }
}
