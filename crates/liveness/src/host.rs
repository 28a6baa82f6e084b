//! The heartbeat state of one host.

use crate::{Activity, Micros, Settings};

/// The queue in which a host waits for its next heartbeat, with its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Queue {
    /// Hosts with ticks of their own, by the next tick.
    Tick(Micros),
    /// Idle hosts, by their last activity.
    Idle(Micros),
}

/// The heartbeat state of one host.
#[derive(Debug)]
pub(crate) struct Host {
    in_use: bool,
    /// When anything was last received from the host.
    last_activity: Micros,
    /// When something other than the answer to a heartbeat was last received.
    last_traffic: Micros,
    /// When the silence time-out was last started; `None` while the host is idle and no answer is outstanding.
    timeout_started_at: Option<Micros>,
    /// The next tick, while the silence time-out is running.
    next_tick: Option<Micros>,
    /// Number of heartbeats without an answer.
    unanswered_heartbeats: u32,
    /// Whether the host came into use and nothing has been received from it since.
    awaits_activity: bool,
}

impl Host {
    /// Creates a host that has just sent its greeting. It counts as in use until it is marked idle.
    pub fn greeted(now: Micros, first_tick: Micros) -> Host {
        Host {
            in_use: true,
            last_activity: now,
            last_traffic: now,
            timeout_started_at: Some(now),
            next_tick: Some(first_tick),
            unanswered_heartbeats: 0,
            awaits_activity: false,
        }
    }

    pub fn in_use(&self) -> bool {
        self.in_use
    }

    pub fn queue(&self) -> Queue {
        self.next_tick
            .map_or(Queue::Idle(self.last_activity), Queue::Tick)
    }

    /// Marks the host as in use, and starts the silence time-out unless it is running already.
    pub fn mark_in_use(&mut self, now: Micros, settings: &Settings) {
        if self.in_use {
            return;
        }
        self.in_use = true;
        self.awaits_activity = true;
        self.timeout_started_at.get_or_insert(now);
        self.next_tick.get_or_insert(now + settings.ping_interval);
    }

    /// Marks the host as idle.
    pub fn mark_idle(&mut self) {
        self.in_use = false;
        self.stop_timeout_if_answered();
    }

    /// Records that something was received from the host.
    pub fn record_activity(&mut self, now: Micros, activity: Activity) {
        self.last_activity = now;
        self.awaits_activity = false;
        self.timeout_started_at = self.timeout_started_at.map(|_| now);
        match activity {
            Activity::Answer => {
                self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_sub(1)
            }
            Activity::Traffic => self.last_traffic = now,
        }
        self.stop_timeout_if_answered();
    }

    /// Stops the silence time-out of a host that is idle and has no answer outstanding, until its next heartbeat.
    fn stop_timeout_if_answered(&mut self) {
        if !self.in_use && !self.awaits_activity && self.unanswered_heartbeats == 0 {
            (self.timeout_started_at, self.next_tick) = (None, None);
        }
    }

    /// Restarts a running silence time-out at `now`, because the caller was stalled and could not read the host's
    /// input.
    pub fn restart_timeout(&mut self, now: Micros) {
        self.last_activity = now;
        self.timeout_started_at = self.timeout_started_at.map(|_| now);
    }

    /// Whether nothing was received from the host within the silence time-out.
    pub fn has_timed_out(&self, now: Micros, settings: &Settings) -> bool {
        self.timeout_started_at
            .is_some_and(|since| since + settings.silence_timeout <= now)
    }

    /// Whether something other than an answer was received within the ping interval.
    pub fn had_recent_traffic(&self, now: Micros, settings: &Settings) -> bool {
        self.last_traffic + settings.ping_interval > now
    }

    /// Moves a due tick to the first one after `now`, in the same phase.
    pub fn advance_tick(&mut self, now: Micros, settings: &Settings) {
        let interval = settings.ping_interval.max(1);
        self.next_tick = self
            .next_tick
            .map(|tick| tick + interval * (1 + now.saturating_sub(tick) / interval));
    }

    /// Records that a heartbeat is sent. For an idle host, the first unanswered heartbeat starts the silence time-out.
    pub fn record_heartbeat(&mut self, now: Micros, settings: &Settings) {
        self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_add(1);
        self.timeout_started_at.get_or_insert(now);
        self.next_tick.get_or_insert(now + settings.ping_interval);
    }

    /// Records that the last heartbeat could not be sent, so that no answer will come. The silence time-out keeps
    /// running, so that a host to which nothing can be sent is disconnected.
    pub fn record_unsent_heartbeat(&mut self) {
        self.unanswered_heartbeats = self.unanswered_heartbeats.saturating_sub(1);
    }
}
