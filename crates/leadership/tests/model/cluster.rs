//! A cluster of voters in simulated time: a faulty network, crashes that lose what was not durable, pauses, and clocks that
//! run fast or slow. After every event it checks that at most one voter may act and that epochs only grow.

use std::collections::BTreeMap;

use maplethread_leadership::{DurableState, Micros, Output, Settings, Voter};
use maplethread_simnet::Network;
use maplethread_timers::Timers;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A millisecond, µs.
pub const MS: Micros = 1_000;
/// A second, µs.
pub const S: Micros = 1_000_000;
/// When the simulation starts.
pub const START: Micros = 1_000 * S;

enum Event {
    MessageArrives { to: u64, message: Vec<u8> },
    Tick { id: u64, start_count: u64 },
    Resume(u64),
    Start(u64),
}

/// The process of a voter. It keeps its durable state across crashes.
pub struct Process {
    voter: Option<Voter>,
    pub durable: DurableState,
    start_count: u64,
    clock_rate: f64,
    clock_started_at: Micros,
    is_paused: bool,
    /// Messages that arrived during a pause.
    inbox: Vec<Vec<u8>>,
}

impl Process {
    fn new(clock_rate: f64) -> Process {
        Process {
            voter: None,
            durable: DurableState::default(),
            start_count: 0,
            clock_rate,
            clock_started_at: START,
            is_paused: false,
            inbox: Vec::new(),
        }
    }

    /// The time of the process's own clock.
    fn local_time(&self, now: Micros) -> Micros {
        self.clock_started_at + ((now - self.clock_started_at) as f64 * self.clock_rate) as Micros
    }

    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }
}

/// A voter that acts, and the epoch in which it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Actor {
    pub id: u64,
    pub epoch: u64,
}

pub struct Cluster {
    now: Micros,
    pub network: Network,
    events: Timers<Event>,
    pub processes: BTreeMap<u64, Process>,
    rng: Pcg64Mcg,
    /// The voter that acted last.
    pub last_actor: Option<Actor>,
    /// The leader of each epoch.
    pub leader_by_epoch: BTreeMap<u64, u64>,
    /// How many checks found a voter that may act.
    pub acting_checks: u64,
    /// How often a voter was reported to use a foreign store.
    pub foreign_store_reports: usize,
    /// Whether voters may crash between any two outputs.
    pub crash_between_outputs: bool,
}

/// The settings of voter `id`.
pub fn settings(id: u64, voters: Vec<u64>) -> Settings {
    Settings {
        id,
        voters,
        tick_interval: 100 * MS,
        election_ticks: 10,
        heartbeat_ticks: 2,
        max_clock_error: 0.1,
    }
}

impl Cluster {
    pub fn new(seed: u64, voter_count: u64) -> Cluster {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let processes = (1..=voter_count)
            .map(|id| {
                let clock_rate = 0.9 + (rng.next_u64() % 21) as f64 / 100.0;
                (id, Process::new(clock_rate))
            })
            .collect();
        let mut cluster = Cluster {
            now: START,
            network: Network::new(seed),
            events: Timers::default(),
            processes,
            rng,
            last_actor: None,
            leader_by_epoch: BTreeMap::new(),
            acting_checks: 0,
            foreign_store_reports: 0,
            crash_between_outputs: false,
        };
        (1..=voter_count).for_each(|id| cluster.start(id));
        cluster
    }

    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    fn local_time(&self, id: u64) -> Micros {
        self.processes[&id].local_time(self.now)
    }

    fn process(&mut self, id: u64) -> &mut Process {
        self.processes
            .get_mut(&id)
            .expect("the cluster has this voter")
    }

    fn start(&mut self, id: u64) {
        let voters = self.processes.keys().copied().collect();
        let (seed, now) = (self.rng.next_u64(), self.local_time(id));
        let process = self.process(id);
        process.start_count += 1;
        let durable = process.durable.clone();
        let voter = Voter::new(settings(id, voters), durable, seed, now);
        process.voter = Some(voter.expect("the durable state is valid"));
        self.process_outputs(id);
        self.schedule_tick(id);
    }

    /// Ends a process, which starts again after `restart_after`.
    pub fn crash(&mut self, id: u64, restart_after: Micros) {
        let process = self.process(id);
        if process.voter.take().is_some() {
            process.inbox.clear();
            process.is_paused = false;
            self.events
                .schedule(self.now + restart_after, Event::Start(id));
        }
    }

    pub fn pause(&mut self, id: u64, duration: Micros) {
        self.process(id).is_paused = true;
        self.events.schedule(self.now + duration, Event::Resume(id));
    }

    fn schedule_tick(&mut self, id: u64) {
        let process = &self.processes[&id];
        let Some(voter) = &process.voter else { return };
        let local_delay = voter
            .next_timeout()
            .saturating_sub(process.local_time(self.now));
        let delay = (local_delay as f64 / process.clock_rate) as Micros + 1;
        let tick = Event::Tick {
            id,
            start_count: process.start_count,
        };
        self.events.schedule(self.now + delay, tick);
    }

    fn process_outputs(&mut self, id: u64) {
        let Some(voter) = &mut self.process(id).voter else {
            return;
        };
        for output in voter.take_outputs() {
            if self.crash_between_outputs && self.rng.next_u64().is_multiple_of(400) {
                let restart_after = 10 * MS + self.random_below(2 * S);
                return self.crash(id, restart_after);
            }
            match output {
                Output::Persist(writes) => {
                    for write in writes {
                        let applied = self.process(id).durable.apply(write);
                        applied.expect("a voter writes what can be decoded");
                    }
                }
                Output::Send(to, message) => {
                    for delay in self.network.send(id as usize, to as usize) {
                        let message = message.clone();
                        self.events
                            .schedule(self.now + delay, Event::MessageArrives { to, message });
                    }
                }
                Output::LeaseBegun(lease) => {
                    let leader = *self
                        .leader_by_epoch
                        .entry(lease.epoch)
                        .or_insert(lease.leader);
                    assert_eq!(
                        leader, lease.leader,
                        "epoch {} has two leaders",
                        lease.epoch
                    );
                }
                Output::ForeignStore(_) => self.foreign_store_reports += 1,
            }
        }
    }

    /// The voters that may act now, each by its own clock.
    fn actors(&self) -> impl Iterator<Item = Actor> {
        self.processes.iter().filter_map(|(&id, process)| {
            let epoch = process
                .voter
                .as_ref()?
                .acting_epoch(process.local_time(self.now))?;
            Some(Actor { id, epoch })
        })
    }

    /// At most one voter may act, and the epochs of those that do only grow.
    fn assert_single_actor(&mut self) {
        let actors: Vec<Actor> = self.actors().collect();
        assert!(
            actors.len() <= 1,
            "{actors:?} may act at once, at {}",
            self.now
        );
        let Some(&actor) = actors.first() else { return };
        assert_eq!(
            self.leader_by_epoch.get(&actor.epoch),
            Some(&actor.id),
            "epoch {} is another's",
            actor.epoch
        );
        if let Some(last) = self.last_actor {
            assert!(
                actor.epoch > last.epoch || actor == last,
                "{actor:?} after {last:?}"
            );
        }
        self.last_actor = Some(actor);
        self.acting_checks += 1;
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(at) = self.events.next_due_at().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            let Some(event) = self.events.pop_due(at) else {
                break;
            };
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::MessageArrives { to, message } => {
                let now = self.local_time(to);
                let process = self.process(to);
                if process.is_paused {
                    process.inbox.push(message);
                } else if let Some(voter) = &mut process.voter {
                    voter.handle_message(now, &message);
                }
                let ids: Vec<u64> = self.processes.keys().copied().collect();
                ids.into_iter().for_each(|id| self.process_outputs(id));
            }
            Event::Tick { id, start_count } => {
                let now = self.local_time(id);
                let process = self.process(id);
                if process.start_count != start_count || process.is_paused {
                    return;
                }
                if let Some(voter) = &mut process.voter {
                    voter.tick(now);
                }
                self.process_outputs(id);
                self.schedule_tick(id);
            }
            Event::Resume(id) => {
                let now = self.local_time(id);
                let process = self.process(id);
                if !std::mem::take(&mut process.is_paused) {
                    return;
                }
                let inbox = std::mem::take(&mut process.inbox);
                if let Some(voter) = &mut process.voter {
                    inbox
                        .iter()
                        .for_each(|message| voter.handle_message(now, message));
                }
                self.process_outputs(id);
                self.schedule_tick(id);
            }
            Event::Start(id) => self.start(id),
        }
        self.assert_single_actor();
    }

    /// The voter that may act now.
    pub fn acting_voter(&self) -> Option<u64> {
        self.actors().next().map(|actor| actor.id)
    }

    /// Runs until a voter may act, and returns how long that took.
    pub fn run_until_acting(&mut self, timeout: Micros) -> Micros {
        let from = self.now;
        while self.acting_voter().is_none() {
            self.run(20 * MS);
            assert!(
                self.now <= from + timeout,
                "nobody acts after {} ms",
                (self.now - from) / MS
            );
        }
        self.now - from
    }
}
