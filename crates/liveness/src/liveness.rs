//! The liveness of all hosts, in the order in which something is due.

use std::collections::{BTreeMap, BTreeSet};

use crate::host::{Host, Queue};
use crate::pacer::Pacer;
use crate::{Micros, Settings, SignOfLife};

/// What is due for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DueAction<K> {
    /// It is to be sent a heartbeat.
    SendHeartbeat(K),
    /// Its silence is final: its connection is to be dropped. It is no longer known here.
    Disconnect(K),
}

/// The signs of life of all hosts to which there is a connection. `K` names a host.
#[derive(Debug)]
pub struct Liveness<K> {
    settings: Settings,
    hosts: BTreeMap<K, Host>,
    /// How many of them are in use.
    in_use_count: usize,
    /// Hosts whose silence counts, by their next tick.
    ticks: BTreeSet<(Micros, K)>,
    /// The other hosts, all idle, by their last sign of life.
    idle: BTreeSet<(Micros, K)>,
    pacer: Pacer,
}

impl<K: Copy + Ord> Liveness<K> {
    /// Knows no hosts yet.
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

    /// A host has greeted on a new connection. It counts as in use until [`Liveness::mark_idle`]. Its first tick comes
    /// after `first_tick_after`, at most an interval; where that is random, it spreads the ticks of hosts that greet at
    /// once.
    pub fn host_greeted(&mut self, now: Micros, key: K, first_tick_after: Micros) {
        self.remove(key);
        let first_tick = now + first_tick_after.min(self.settings.ping_interval);
        let host = Host::greeted(now, first_tick);
        self.enqueue(key, host.queue());
        self.in_use_count += 1;
        self.hosts.insert(key, host);
    }

    /// The connection to a host has ended.
    pub fn remove(&mut self, key: K) {
        if let Some(host) = self.hosts.remove(&key) {
            self.in_use_count -= usize::from(host.in_use());
            self.dequeue(key, host.queue());
        }
    }

    /// Something was received from a host.
    pub fn record_sign_of_life(&mut self, now: Micros, key: K, sign: SignOfLife) {
        self.update_host(key, |host, _| host.record_sign_of_life(now, sign));
    }

    /// A host is sent something to work on. Changes nothing if it is in use.
    pub fn mark_in_use(&mut self, now: Micros, key: K) {
        self.update_host(key, |host, settings| host.mark_in_use(now, settings));
    }

    /// A host has nothing to work on any more. Changes nothing if it is idle.
    pub fn mark_idle(&mut self, key: K) {
        self.update_host(key, |host, _| host.mark_idle());
    }

    /// The heartbeat that was just due could not be sent.
    pub fn record_unsent_heartbeat(&mut self, key: K) {
        self.update_host(key, |host, _| host.record_unsent_heartbeat());
    }

    /// Takes what is due by now. `stalled` tells that the caller was stalled, so that the silence was its own.
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

    /// When something is due next, µs.
    pub fn next_due_at(&self) -> Option<Micros> {
        let tick = self.ticks.first().map(|(tick, _)| *tick);
        let turn = self.next_turn().map(|(turn, _)| turn);
        tick.into_iter().chain(turn).min()
    }

    /// How many hosts are not in use.
    pub fn idle_host_count(&self) -> usize {
        self.hosts.len() - self.in_use_count
    }

    /// The longest time from the last sign of life of an idle host to its next heartbeat, for the present number of
    /// idle hosts, µs.
    pub fn max_idle_interval(&self) -> Micros {
        self.pacer.max_interval(self.idle_host_count())
    }

    /// The idle host whose turn is next, and when it is.
    fn next_turn(&self) -> Option<(Micros, K)> {
        let &(oldest_sign, key) = self.idle.first()?;
        Some((
            self.pacer.next_turn_at(self.idle_host_count(), oldest_sign),
            key,
        ))
    }

    /// A host's tick has come.
    fn handle_tick(&mut self, now: Micros, key: K, stalled: bool) -> Option<DueAction<K>> {
        let settings = self.settings;
        let mut due = None;
        self.update_host(key, |host, _| {
            if stalled {
                host.forgive_silence(now);
            }
            host.advance_tick(now, &settings);
            if host.is_silent(now, &settings) {
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

    /// Changes what is known of a host, and its place in the queues with it.
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
            Queue::Idle(heard) => self.idle.insert((heard, key)),
        };
    }

    fn dequeue(&mut self, key: K, queue: Queue) {
        match queue {
            Queue::Tick(tick) => self.ticks.remove(&(tick, key)),
            Queue::Idle(heard) => self.idle.remove(&(heard, key)),
        };
    }
}
