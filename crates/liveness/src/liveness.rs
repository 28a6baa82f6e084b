//! The heartbeat state of all hosts, ordered by when something is due.

use std::collections::{BTreeMap, BTreeSet};

use crate::host::{Host, Queue};
use crate::pacer::Pacer;
use crate::{Activity, Micros, Settings};

/// An action that is due for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueAction<K> {
    /// Send a heartbeat to the host.
    SendHeartbeat(K),
    /// Drop the connection: nothing was received from the host within [`Settings::silence_timeout`]. Its entry here has
    /// been removed.
    Disconnect(K),
}

/// The heartbeat state of all hosts to which there is a connection. `K` identifies a host.
#[derive(Debug)]
pub struct Liveness<K> {
    settings: Settings,
    hosts: BTreeMap<K, Host>,
    /// Number of hosts in use.
    in_use_count: usize,
    /// Hosts whose silence time-out is running, by their next tick.
    ticks: BTreeSet<(Micros, K)>,
    /// The other hosts, all of them idle, by their last activity.
    idle: BTreeSet<(Micros, K)>,
    pacer: Pacer,
}

impl<K: Copy + Ord> Liveness<K> {
    /// Creates an instance without hosts.
    pub fn new(settings: Settings) -> Liveness<K> {
        Liveness {
            settings,
            hosts: BTreeMap::new(),
            in_use_count: 0,
            ticks: BTreeSet::new(),
            idle: BTreeSet::new(),
            pacer: Pacer::new(settings),
        }
    }

    /// Adds a host that has sent its greeting on a new connection. It counts as in use until [`Liveness::mark_idle`].
    /// Its first tick is due after `first_tick_after`, which is limited to the ping interval. A random value spreads
    /// the ticks of hosts that connect at the same time.
    pub fn host_greeted(&mut self, now: Micros, key: K, first_tick_after: Micros) {
        self.remove(key);
        let first_tick = now + first_tick_after.min(self.settings.ping_interval);
        let host = Host::greeted(now, first_tick);
        self.enqueue(key, host.queue());
        self.in_use_count += 1;
        self.hosts.insert(key, host);
    }

    /// Removes a host whose connection has ended.
    pub fn remove(&mut self, key: K) {
        if let Some(host) = self.hosts.remove(&key) {
            self.in_use_count -= usize::from(host.in_use());
            self.dequeue(key, host.queue());
        }
    }

    /// Records that something was received from a host.
    pub fn record_activity(&mut self, now: Micros, key: K, activity: Activity) {
        self.update_host(key, |host, _| host.record_activity(now, activity));
    }

    /// Marks a host as in use. Has no effect if it is in use already.
    pub fn mark_in_use(&mut self, now: Micros, key: K) {
        self.update_host(key, |host, settings| host.mark_in_use(now, settings));
    }

    /// Marks a host as idle. Has no effect if it is idle already.
    pub fn mark_idle(&mut self, key: K) {
        self.update_host(key, |host, _| host.mark_idle());
    }

    /// Records that the heartbeat that was last due to a host could not be sent.
    pub fn record_unsent_heartbeat(&mut self, key: K) {
        self.update_host(key, |host, _| host.record_unsent_heartbeat());
    }

    /// Takes the actions that are due at `now`. `stalled` means that the caller was stalled, so that the time before
    /// `now` does not count towards the silence time-outs of hosts.
    pub fn take_due(&mut self, now: Micros, stalled: bool) -> Vec<DueAction<K>> {
        let mut due = Vec::new();
        while let Some(&(tick, key)) = self.ticks.first()
            && tick <= now
        {
            due.extend(self.handle_tick(now, key, stalled));
        }
        while let Some((turn, key)) = self.next_turn()
            && turn <= now
        {
            self.pacer.record_turn(now, turn, self.idle_host_count());
            self.update_host(key, |host, settings| host.record_heartbeat(now, settings));
            due.push(DueAction::SendHeartbeat(key));
        }
        due
    }

    /// When the next action is due, µs.
    pub fn next_due_at(&self) -> Option<Micros> {
        let tick = self.ticks.first().map(|(tick, _)| *tick);
        let turn = self.next_turn().map(|(turn, _)| turn);
        tick.into_iter().chain(turn).min()
    }

    /// Number of hosts that are not in use.
    pub fn idle_host_count(&self) -> usize {
        self.hosts.len() - self.in_use_count
    }

    /// The longest time from the last activity of an idle host to its next heartbeat, for the present number of idle
    /// hosts, µs.
    pub fn max_idle_interval(&self) -> Micros {
        self.pacer.max_interval(self.idle_host_count())
    }

    /// The idle host that is next to get a heartbeat, and when.
    fn next_turn(&self) -> Option<(Micros, K)> {
        let &(oldest_activity, key) = self.idle.first()?;
        Some((
            self.pacer
                .next_turn_at(self.idle_host_count(), oldest_activity),
            key,
        ))
    }

    /// Handles a due tick of a host.
    fn handle_tick(&mut self, now: Micros, key: K, stalled: bool) -> Option<DueAction<K>> {
        let settings = self.settings;
        let mut due = None;
        self.update_host(key, |host, _| {
            if stalled {
                host.restart_timeout(now);
            }
            host.advance_tick(now, &settings);
            if host.has_timed_out(now, &settings) {
                due = Some(DueAction::Disconnect(key));
            } else if !host.had_recent_traffic(now, &settings) {
                host.record_heartbeat(now, &settings);
                due = Some(DueAction::SendHeartbeat(key));
            }
        });
        if let Some(DueAction::Disconnect(key)) = due {
            self.remove(key);
        }
        due
    }

    /// Changes the state of a host, and moves it between the queues accordingly.
    fn update_host(&mut self, key: K, change: impl FnOnce(&mut Host, &Settings)) {
        let Some(host) = self.hosts.get_mut(&key) else {
            return;
        };
        let (queue_before, in_use_before) = (host.queue(), host.in_use());
        change(host, &self.settings);
        let (queue, in_use) = (host.queue(), host.in_use());
        self.in_use_count = self.in_use_count + usize::from(in_use) - usize::from(in_use_before);
        if queue != queue_before {
            self.dequeue(key, queue_before);
            self.enqueue(key, queue);
        }
    }

    fn enqueue(&mut self, key: K, queue: Queue) {
        match queue {
            Queue::Tick(tick) => self.ticks.insert((tick, key)),
            Queue::Idle(last_activity) => self.idle.insert((last_activity, key)),
        };
    }

    fn dequeue(&mut self, key: K, queue: Queue) {
        match queue {
            Queue::Tick(tick) => self.ticks.remove(&(tick, key)),
            Queue::Idle(last_activity) => self.idle.remove(&(last_activity, key)),
        };
    }
}
