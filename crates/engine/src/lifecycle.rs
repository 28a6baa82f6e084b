//! Life-cycle events of actors, in a bounded buffer from which followers read, starting at a sequence number.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// A life-cycle event of an actor, in the JSON form in which clients that follow events receive it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LifecycleEvent {
    /// Sequence number, one more than that of the previous event.
    pub seq: u64,
    /// Unix time in ms.
    pub at_ms: u64,
    /// The name of the event, such as `placed`.
    pub event: &'static str,
    pub service: Arc<str>,
    pub actor: Arc<str>,
    pub host: Arc<str>,
    /// The cause, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
    /// The id of the request that led to the placement.
    #[serde(rename = "request")]
    pub request_id: Arc<str>,
}

/// Buffer of the latest events.
pub(crate) struct RecentEvents {
    events: VecDeque<LifecycleEvent>,
    max_events: usize,
    next_seq: u64,
}

impl RecentEvents {
    /// Creates an empty buffer for at most `max_events`.
    pub fn new(max_events: usize) -> RecentEvents {
        RecentEvents {
            events: VecDeque::new(),
            max_events,
            next_seq: 1,
        }
    }

    /// The sequence number that the next event will have.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// The sequence number of the oldest event kept, or of the next event if none is kept.
    pub fn oldest_seq(&self) -> u64 {
        self.next_seq - self.events.len() as u64
    }

    /// Adds an event and sets its sequence number.
    pub fn push(&mut self, mut event: LifecycleEvent) {
        event.seq = self.next_seq;
        self.next_seq += 1;
        if self.events.len() == self.max_events {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The event of this sequence number, if it is kept.
    pub fn get(&self, seq: u64) -> Option<&LifecycleEvent> {
        let index = seq.checked_sub(self.oldest_seq())?;
        self.events.get(usize::try_from(index).ok()?)
    }
}
