//! Handling of timers that fire.

use maplethread::{Event, Micros, TaskId};
use rand_pcg::rand_core::Rng;

use crate::decide::Decide;
use crate::engine::Engine;
use crate::timer::Timer;

impl<D: Decide> Engine<D> {
    pub(crate) fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Decider(label) => self.events.push(Event::TimerFired { label }),
            Timer::AttemptTimeout(attempt) => self.handle_attempt_timeout(attempt),
            Timer::Reconnect { host, epoch } => self.connect(host, epoch),
            Timer::GreetingTimeout { host, epoch } => self.handle_greeting_timeout(host, epoch),
            Timer::TasksLost { host, epoch } => self.handle_tasks_lost(host, epoch),
            Timer::ProbeTimeout(nonce) => self.handle_probe_timeout(nonce),
            Timer::ClientTimeout(client) => self.handle_client_timeout(client),
            Timer::UnsettledExpiry => self.expire_unsettled(),
            Timer::FollowerHeartbeat => self.heartbeat_followers(),
        }
    }

    /// Sets a timer of the decider. That of a task is dropped when its request ends.
    pub(crate) fn set_decider_timer(&mut self, at: Micros, label: u64) {
        let timer = Timer::Decider(label);
        let Some(task) = TaskId::from_timer_label(label) else {
            self.timers.schedule(at, timer);
            return;
        };
        if let Some(request) = self.requests.get_mut(&task) {
            let earlier = request.timer.replace(self.timers.schedule(at, timer));
            self.timers.cancel(earlier);
        }
    }

    /// Returns a random duration between half of `max` and `max`.
    pub(crate) fn jitter(&mut self, max: Micros) -> Micros {
        let half = max / 2;
        half + self.rng.next_u64() % (max - half).max(1)
    }
}
