//! The owners' thread: its event loop, the state of each owner, and timers.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use maplethread_checker::Observer;
use maplethread_engine::Timers;
use maplethread_reactor::{MAX_EVENTS_PER_WAIT, Poller, Readiness, TcpConnection};
use maplethread_wire::http::{Decoder, MessageReader};

use super::behaviour::{LoadBalancerEntry, OwnerBehaviour};
use crate::demand::Arrival;
use crate::read_times::ReadTimes;
use crate::run_context::{RunContext, lock};
use crate::scenario::Scenario;
use crate::seeded_rng::SeededRng;

/// Lower bound of the maximum number of connections, however few descriptors are left.
const MIN_CONNECTIONS: usize = 64;
/// The random stream of an owner.
const OWNER_STREAM: u64 = 10;
/// The thread polls at least this often, µs.
const POLL_INTERVAL_US: u64 = 50_000;

/// A process of a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlacerGeneration {
    /// The placer, by number.
    pub(super) placer: usize,
    pub(super) generation: u64,
}

/// A placer that the load balancer sends a request to.
pub(super) struct Target {
    pub(super) process: PlacerGeneration,
    pub(super) address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerState {
    /// No request is in flight; a timer triggers the next one.
    BetweenRequests,
    /// The owner waits for an answer on this connection.
    AwaitingAnswer(u64),
    /// The task was placed by this process of a placer.
    Placed(PlacerGeneration),
    /// The owner sends no more requests.
    Finished,
}

pub(super) struct Owner {
    pub(super) service: Arc<str>,
    pub(super) actor: Arc<str>,
    pub(super) class: usize,
    /// Cores and memory (GiB) that it requests.
    pub(super) resources: [f64; 2],
    pub(super) wanted_until: u64,
    pub(super) zone: String,
    pub(super) state: OwnerState,
    pub(super) request_count: u32,
    pub(super) failure_count: u32,
    pub(super) request: Arc<str>,
    pub(super) requested_at: u64,
    /// The owner's own generator.
    pub(super) rng: SeededRng,
}

#[derive(Clone, Copy, Debug)]
pub(super) enum Timer {
    /// The next owner arrives.
    Arrival,
    /// An owner sends its next request.
    Request(usize),
    /// The deadline of this request of an owner.
    Deadline(usize, u32),
    /// An owner abandons this request before its deadline.
    EarlyDisconnect(usize, u32),
    /// An owner checks whether its task still runs.
    CheckPlacement(usize),
    /// Event streams are opened to placers that have none.
    WatchEvents,
    /// An abandoned connection that was left open is closed.
    CloseConnection(u64),
}

pub(super) enum ConnectionUse {
    /// Requests and their answers.
    Requests {
        reader: MessageReader,
        owner: Option<usize>,
        is_abandoned: bool,
    },
    /// Life-cycle events.
    Events { decoder: Decoder, line: Vec<u8> },
}

pub(super) struct OwnerConnection {
    pub(super) conn: TcpConnection,
    pub(super) process: PlacerGeneration,
    pub(super) purpose: ConnectionUse,
}

pub(super) struct OwnerThread {
    pub(super) poller: Poller,
    pub(super) scenario: Arc<Scenario>,
    pub(super) context: RunContext,
    pub(super) max_connections: usize,
    /// The owners that have not arrived yet.
    pub(super) arrivals: std::vec::IntoIter<Arrival>,
    pub(super) behaviour: Arc<Mutex<OwnerBehaviour>>,
    pub(super) start: u64,
    pub(super) owners: Vec<Owner>,
    pub(super) by_actor: HashMap<Arc<str>, usize>,
    pub(super) connections: HashMap<u64, OwnerConnection>,
    /// Idle connections, by placer process.
    pub(super) idle: BTreeMap<PlacerGeneration, Vec<u64>>,
    pub(super) event_connections: BTreeMap<usize, u64>,
    pub(super) last_token: u64,
    pub(super) timers: Timers<Timer>,
    pub(super) read_times: ReadTimes,
    /// Number of requests without an answer.
    pub(super) unanswered: usize,
    pub(super) placement_times_us: Vec<u64>,
}

impl OwnerThread {
    pub(super) fn new(
        scenario: Arc<Scenario>,
        context: RunContext,
        arrivals: Vec<Arrival>,
        behaviour: Arc<Mutex<OwnerBehaviour>>,
    ) -> io::Result<OwnerThread> {
        let start = context.clock.now();
        let mut timers = Timers::default();
        if let Some(first) = arrivals.first() {
            timers.schedule(start + first.at_us, Timer::Arrival);
        }
        timers.schedule(start, Timer::WatchEvents);
        Ok(OwnerThread {
            poller: Poller::new()?,
            max_connections: max_connections(&scenario),
            scenario,
            context,
            arrivals: arrivals.into_iter(),
            behaviour,
            start,
            owners: Vec::new(),
            by_actor: HashMap::new(),
            connections: HashMap::new(),
            idle: BTreeMap::new(),
            event_connections: BTreeMap::new(),
            last_token: 1,
            timers,
            read_times: ReadTimes::new(Observer::Clients, start),
            unanswered: 0,
            placement_times_us: Vec::new(),
        })
    }

    pub(super) fn run(&mut self) -> io::Result<Vec<u64>> {
        let mut ready: Vec<Readiness> = Vec::new();
        loop {
            let now = self.context.clock.now();
            let latest = now + POLL_INTERVAL_US;
            let next = self.timers.next_due_at().unwrap_or(latest).min(latest);
            ready.clear();
            self.poller.wait(
                Some(Duration::from_micros(next.saturating_sub(now))),
                &mut ready,
            )?;
            self.read_times
                .polled(now, ready.len() < MAX_EVENTS_PER_WAIT);
            for r in &ready {
                self.handle_ready(r);
            }
            let due_by = self.context.clock.now();
            while let Some(due) = self.timers.pop_due(due_by) {
                // The clock is read for each timer: deadlines count from when a request is sent, and handling overdue
                // timers may take long.
                self.handle_timer(self.context.clock.now(), due);
            }
            if self.behaviour().is_closing && self.unanswered == 0 {
                self.behaviour().is_closed = true;
                return Ok(std::mem::take(&mut self.placement_times_us));
            }
        }
    }

    pub(super) fn handle_timer(&mut self, now: u64, due: Timer) {
        match due {
            Timer::Arrival => self.start_next_owner(now),
            Timer::Request(owner) => self.send_request(now, owner),
            Timer::Deadline(owner, request_number) => {
                if self.owners[owner].request_count == request_number {
                    self.read_pending_answer(owner);
                    self.disconnect(now, owner, false);
                }
            }
            Timer::EarlyDisconnect(owner, request_number) => {
                if self.owners[owner].request_count == request_number {
                    self.disconnect(now, owner, true);
                }
            }
            Timer::CheckPlacement(owner) => self.check_placement(now, owner),
            Timer::WatchEvents => self.watch_all_events(now),
            Timer::CloseConnection(token) => self.drop_connection(token),
        }
    }

    pub(super) fn start_next_owner(&mut self, now: u64) {
        let Some(arrival) = self.arrivals.next() else {
            return;
        };
        if let Some(next) = self.arrivals.as_slice().first() {
            self.timers
                .schedule(self.start + next.at_us, Timer::Arrival);
        }
        if self.behaviour().is_closing {
            return;
        }
        let demand = arrival.demand(&self.scenario, self.start);
        self.context
            .service_accounting()
            .add_demand(&arrival.actor, demand);
        let number = self.owners.len();
        self.by_actor.insert(arrival.actor.clone(), number);
        self.owners.push(Owner {
            service: arrival.service,
            actor: arrival.actor,
            class: arrival.class,
            resources: arrival.resources,
            wanted_until: demand.until_us,
            zone: self.scenario.fleet.zones[arrival.zone].clone(),
            state: OwnerState::BetweenRequests,
            request_count: 0,
            failure_count: 0,
            request: "".into(),
            requested_at: now,
            rng: SeededRng::new(arrival.seed, OWNER_STREAM),
        });
        self.send_request(now, number);
    }

    /// The placer that the load balancer sends an owner's request to: a random one that is up, if possible in the
    /// owner's zone.
    pub(super) fn choose_placer(&mut self, owner: usize) -> Option<Target> {
        let behaviour = lock(&self.behaviour);
        let owner = &mut self.owners[owner];
        let up: Vec<(usize, &LoadBalancerEntry)> = behaviour
            .placers
            .iter()
            .enumerate()
            .filter(|(_, placer)| !placer.is_down && placer.address.is_some())
            .collect();
        let in_zone = up.iter().filter(|(_, placer)| placer.zone == owner.zone);
        let in_zone: Vec<_> = in_zone.copied().collect();
        let candidates = if in_zone.is_empty() { up } else { in_zone };
        let index = owner.rng.index_below(candidates.len().max(1));
        let &(placer, entry) = candidates.get(index)?;
        Some(Target {
            process: PlacerGeneration {
                placer,
                generation: entry.generation,
            },
            address: entry.address?,
        })
    }

    /// Schedules an owner's next request after a time drawn from this range, which grows with the number of failures.
    pub(super) fn schedule_retry(&mut self, now: u64, owner: usize, after_ms: [f64; 2]) {
        let state = &mut self.owners[owner];
        state.state = OwnerState::BetweenRequests;
        let factor = 1.0 + 0.5 * f64::from(state.failure_count.min(6).saturating_sub(2));
        let wait_us = state.rng.between(after_ms) * factor * 1000.0;
        self.timers
            .schedule(now + wait_us as u64, Timer::Request(owner));
    }

    pub(super) fn behaviour(&self) -> MutexGuard<'_, OwnerBehaviour> {
        lock(&self.behaviour)
    }
}

/// The maximum number of connections. It leaves the hosts of this process the descriptors that they need, and an eighth
/// of the limit for everything else.
fn max_connections(scenario: &Scenario) -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let limit = limit.map_or(usize::MAX, |limit| {
        usize::try_from(limit).unwrap_or(usize::MAX)
    });
    let host_descriptors = scenario.fleet.hosts * (1 + scenario.placers as usize);
    (limit - limit / 8)
        .saturating_sub(host_descriptors)
        .max(MIN_CONNECTIONS)
}
