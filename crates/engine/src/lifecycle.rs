//! Life-cycle events: a bounded ring that followers read from a sequence number on.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// One event in the life of an actor.
#[derive(Clone, Debug, Serialize)]
pub struct LifecycleEvent {
    /// Its number; one more than the event before.
    pub seq: u64,
    /// When, Unix time in ms.
    pub at_ms: u64,
    /// What.
    pub event: &'static str,
    /// The service.
    pub service: Arc<str>,
    /// The actor.
    pub actor: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// Why, where something is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
    /// The request that led to the placing.
    pub request: Arc<str>,
}

/// The latest events.
pub struct RecentEvents {
    events: VecDeque<LifecycleEvent>,
    max_events: usize,
    next_seq: u64,
}

impl RecentEvents {
    /// An empty ring for so many events.
    pub fn new(max_events: usize) -> RecentEvents {
        RecentEvents {
            events: VecDeque::new(),
            max_events,
            next_seq: 1,
        }
    }

    /// The number that the next event will have.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// The number of the oldest event kept, or of the next if none is.
    pub fn oldest_seq(&self) -> u64 {
        self.next_seq - self.events.len() as u64
    }

    /// Adds an event and gives it its number.
    pub fn push(&mut self, mut event: LifecycleEvent) {
        event.seq = self.next_seq;
        self.next_seq += 1;
        if self.events.len() == self.max_events {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The event of this number, if it is kept.
    pub fn get(&self, seq: u64) -> Option<&LifecycleEvent> {
        self.events
            .get(usize::try_from(seq.checked_sub(self.oldest_seq())?).ok()?)
    }
}
