//! The signs of life of one host.

use crate::{Micros, Settings, SignOfLife};

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
    last_sign_of_life: Micros,
    /// The last one that was not the answer to a heartbeat.
    last_traffic: Micros,
    /// Its silence counts from then on; not at all while it is idle and owes no answer.
    silent_since: Option<Micros>,
    /// The next tick, while its silence counts.
    next_tick: Option<Micros>,
    /// Heartbeats without an answer.
    unanswered_heartbeats: u32,
    /// It came into use and has given no sign of life since.
    owes_sign_of_life: bool,
}

impl Host {
    /// A host that has just greeted. It counts as in use until the caller says otherwise.
    pub fn greeted(now: Micros, first_tick: Micros) -> Host {
        Host {
            in_use: true,
            last_sign_of_life: now,
            last_traffic: now,
            silent_since: Some(now),
            next_tick: Some(first_tick),
            unanswered_heartbeats: 0,
            owes_sign_of_life: false,
        }
    }

    pub fn in_use(&self) -> bool {
        self.in_use
    }

    pub fn queue(&self) -> Queue {
        self.next_tick
            .map_or(Queue::Idle(self.last_sign_of_life), Queue::Tick)
    }

    /// It is sent something to work on. If it owed a sign of life before, its silence still counts from then.
    pub fn mark_in_use(&mut self, now: Micros, settings: &Settings) {
        if self.in_use {
            return;
        }
        self.in_use = true;
        self.owes_sign_of_life = true;
        self.silent_since.get_or_insert(now);
        self.next_tick.get_or_insert(now + settings.ping_interval);
    }

    /// It has nothing to work on any more.
    pub fn mark_idle(&mut self) {
        self.in_use = false;
        self.stop_watch_if_nothing_owed();
    }

    /// A sign of life.
    pub fn record_sign_of_life(&mut self, now: Micros, sign: SignOfLife) {
        self.last_sign_of_life = now;
        self.owes_sign_of_life = false;
        self.silent_since = self.silent_since.map(|_| now);
        match sign {
            SignOfLife::Answer => {
                self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_sub(1)
            }
            SignOfLife::Traffic => self.last_traffic = now,
        }
        self.stop_watch_if_nothing_owed();
    }

    /// While it is idle and owes no answer, its silence does not count until its next heartbeat.
    fn stop_watch_if_nothing_owed(&mut self) {
        if !self.in_use && !self.owes_sign_of_life && self.unanswered_heartbeats == 0 {
            (self.silent_since, self.next_tick) = (None, None);
        }
    }

    /// The silence up to now was the caller's own and does not count.
    pub fn forgive_silence(&mut self, now: Micros) {
        self.last_sign_of_life = now;
        self.silent_since = self.silent_since.map(|_| now);
    }

    /// Whether its silence is final.
    pub fn is_silent(&self, now: Micros, settings: &Settings) -> bool {
        self.silent_since
            .is_some_and(|since| since + settings.silence_timeout <= now)
    }

    /// Whether something other than an answer was received within the interval.
    pub fn had_recent_traffic(&self, now: Micros, settings: &Settings) -> bool {
        self.last_traffic + settings.ping_interval > now
    }

    /// Moves a tick that has come to the first one after now, in the same phase.
    pub fn advance_tick(&mut self, now: Micros, settings: &Settings) {
        let every = settings.ping_interval.max(1);
        self.next_tick = self
            .next_tick
            .map(|tick| tick + every * (1 + now.saturating_sub(tick) / every));
    }

    /// A heartbeat is sent. The silence of an idle host counts from its first unanswered one.
    pub fn record_heartbeat(&mut self, now: Micros, settings: &Settings) {
        self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_add(1);
        self.silent_since.get_or_insert(now);
        self.next_tick.get_or_insert(now + settings.ping_interval);
    }

    /// The last heartbeat could not be sent, so that no answer comes. Its silence counts all the same.
    pub fn record_unsent_heartbeat(&mut self) {
        self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_sub(1);
    }
}
