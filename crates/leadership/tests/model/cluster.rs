//! A cluster of voters in simulated time, with a faulty network, crashes that lose all state that is not durable, pauses, and
//! clocks that are fast or slow. After every event it checks that at most one voter may act as leader and that epochs
//! increase.

use std::collections::BTreeMap;

use maplethread_leadership::{DurableState, Micros, Output, Settings, Voter};
use maplethread_simnet::Network;
use maplethread_timers::Timers;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A millisecond, in µs.
pub const MS: Micros = 1_000;
/// A second, in µs.
pub const SECOND: Micros = 1_000_000;
/// The start time of the simulation.
pub const START: Micros = 1_000 * SECOND;

enum Event {
    MessageArrives { to: u64, message: Vec<u8> },
    Tick { id: u64, start_count: u64 },
    Resume(u64),
    Start(u64),
}

/// The process of a voter. Its durable state survives crashes.
pub struct Process {
    voter: Option<Voter>,
    pub durable: DurableState,
    start_count: u64,
    clock_rate: f64,
    clock_started_at: Micros,
    is_paused: bool,
    /// Messages that arrived during a pause, in order.
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

    /// The time of the process's clock, which may be fast or slow.
    fn local_time(&self, now: Micros) -> Micros {
        self.clock_started_at + ((now - self.clock_started_at) as f64 * self.clock_rate) as Micros
    }

    pub fn voter(&self) -> Option<&Voter> {
        self.voter.as_ref()
    }
}

/// A voter that may act as leader, and its epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActingLeader {
    pub id: u64,
    pub epoch: u64,
}

pub struct Cluster {
    now: Micros,
    pub network: Network,
    events: Timers<Event>,
    pub processes: BTreeMap<u64, Process>,
    rng: Pcg64Mcg,
    /// The latest acting leader that a check found.
    pub last_acting: Option<ActingLeader>,
    /// The leader of each epoch.
    pub leader_by_epoch: BTreeMap<u64, u64>,
    /// The number of checks that found an acting leader.
    pub acting_checks: u64,
    /// The number of [`Output::StoreMismatch`] reports.
    pub store_mismatch_reports: usize,
    /// Whether voters may crash between two outputs.
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
        max_clock_drift: 0.1,
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
            last_acting: None,
            leader_by_epoch: BTreeMap::new(),
            acting_checks: 0,
            store_mismatch_reports: 0,
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
            .expect("the cluster has a voter with this id")
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

    /// Crashes a process, which restarts after `restart_after`.
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
                let restart_after = 10 * MS + self.random_below(2 * SECOND);
                return self.crash(id, restart_after);
            }
            match output {
                Output::Persist(writes) => {
                    for write in writes {
                        let applied = self.process(id).durable.apply(write);
                        applied.expect("writes of a voter can be decoded");
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
                Output::StoreMismatch(_) => self.store_mismatch_reports += 1,
            }
        }
    }

    /// The voters that may act as leader now, each by its own clock.
    fn acting_leaders(&self) -> impl Iterator<Item = ActingLeader> {
        self.processes.iter().filter_map(|(&id, process)| {
            let epoch = process
                .voter
                .as_ref()?
                .acting_epoch(process.local_time(self.now))?;
            Some(ActingLeader { id, epoch })
        })
    }

    /// Asserts that at most one voter may act as leader, and that its epoch is new or its own.
    fn assert_single_acting_leader(&mut self) {
        let found: Vec<ActingLeader> = self.acting_leaders().collect();
        assert!(
            found.len() <= 1,
            "several voters may act as leader at {} µs: {found:?}",
            self.now
        );
        let Some(&acting) = found.first() else { return };
        assert_eq!(
            self.leader_by_epoch.get(&acting.epoch),
            Some(&acting.id),
            "voter acts in epoch {}, whose lease it does not hold",
            acting.epoch
        );
        if let Some(last) = self.last_acting {
            assert!(
                acting.epoch > last.epoch || acting == last,
                "{acting:?} acts after {last:?}"
            );
        }
        self.last_acting = Some(acting);
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
        self.assert_single_acting_leader();
    }

    /// The voter that may act as leader now.
    pub fn acting_voter(&self) -> Option<u64> {
        self.acting_leaders().next().map(|acting| acting.id)
    }

    /// Runs until a voter may act as leader. Returns how long that took.
    pub fn run_until_acting(&mut self, timeout: Micros) -> Micros {
        let from = self.now;
        while self.acting_voter().is_none() {
            self.run(20 * MS);
            assert!(
                self.now <= from + timeout,
                "no voter may act as leader after {} ms",
                (self.now - from) / MS
            );
        }
        self.now - from
    }
}
