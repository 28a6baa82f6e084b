//! What is known of one host's signs of life.

use crate::{Micros, Settings, Sign};

/// In which order a host waits for its next heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Queue {
    /// At this tick of its own.
    Tick(Micros),
    /// With the idle hosts, by its last sign of life.
    Idle(Micros),
}

/// One host.
#[derive(Debug)]
pub(crate) struct Host {
    in_use: bool,
    /// The last sign of life.
    heard: Micros,
    /// The last one that was not the answer to a heartbeat.
    traffic: Micros,
    /// Its silence counts from then on; not at all while it is idle and owes no answer.
    silent_since: Option<Micros>,
    /// The next tick, while its silence counts.
    tick: Option<Micros>,
    /// Heartbeats without an answer.
    unanswered: u32,
    /// It came into use and was not heard since.
    owes_sign: bool,
}

impl Host {
    /// A host that has just greeted. It counts as in use while it tells what it holds.
    pub fn greeted(now: Micros, first_tick: Micros) -> Host {
        Host {
            in_use: true,
            heard: now,
            traffic: now,
            silent_since: Some(now),
            tick: Some(first_tick),
            unanswered: 0,
            owes_sign: false,
        }
    }

    pub fn in_use(&self) -> bool {
        self.in_use
    }

    pub fn queue(&self) -> Queue {
        self.tick.map_or(Queue::Idle(self.heard), Queue::Tick)
    }

    /// Something is sent to it that it is to work on. What it owed before it still owes since then.
    pub fn use_begins(&mut self, now: Micros, settings: &Settings) {
        if self.in_use {
            return;
        }
        self.in_use = true;
        self.owes_sign = true;
        self.silent_since.get_or_insert(now);
        self.tick.get_or_insert(now + settings.ping_every);
    }

    /// Nothing is there any more.
    pub fn use_ends(&mut self) {
        self.in_use = false;
        self.rest_if_nothing_owed();
    }

    /// A sign of life.
    pub fn heard(&mut self, now: Micros, sign: Sign) {
        self.heard = now;
        self.owes_sign = false;
        self.silent_since = self.silent_since.map(|_| now);
        match sign {
            Sign::Answer => self.unanswered = self.unanswered.saturating_sub(1),
            Sign::Traffic => self.traffic = now,
        }
        self.rest_if_nothing_owed();
    }

    /// Idle, and owing nothing: its silence does not count until its next heartbeat.
    fn rest_if_nothing_owed(&mut self) {
        if !self.in_use && !self.owes_sign && self.unanswered == 0 {
            (self.silent_since, self.tick) = (None, None);
        }
    }

    /// The silence up to now was the caller's own.
    pub fn excuse(&mut self, now: Micros) {
        self.heard = now;
        self.silent_since = self.silent_since.map(|_| now);
    }

    /// Whether its silence is final.
    pub fn is_silent(&self, now: Micros, settings: &Settings) -> bool {
        self.silent_since
            .is_some_and(|since| since + settings.silent_after <= now)
    }

    /// Whether something other than an answer was heard within the period.
    pub fn heard_lately(&self, now: Micros, settings: &Settings) -> bool {
        self.traffic + settings.ping_every > now
    }

    /// Moves a tick that has come to the first one after now, in the same phase.
    pub fn tick_passed(&mut self, now: Micros, settings: &Settings) {
        let every = settings.ping_every.max(1);
        self.tick = self
            .tick
            .map(|tick| tick + every * (1 + now.saturating_sub(tick) / every));
    }

    /// A heartbeat is sent. The silence of an idle host counts from its first unanswered one.
    pub fn heartbeat(&mut self, now: Micros, settings: &Settings) {
        self.unanswered = self.unanswered.saturating_add(1);
        self.silent_since.get_or_insert(now);
        self.tick.get_or_insert(now + settings.ping_every);
    }

    /// The last heartbeat could not be sent, so that no answer comes. Its silence counts all the same.
    pub fn heartbeat_not_sent(&mut self) {
        self.unanswered = self.unanswered.saturating_sub(1);
    }
}
