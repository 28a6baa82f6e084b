//! Voters under simulated time: a faulty network, crashes that lose what was not durable, pauses and clocks that run fast
//! or slow. At no instant may two act; epochs only grow.

use std::collections::BTreeMap;

use maplethread_leadership::{Output, Saved, Settings, Voter};
use maplethread_simnet::{Link, Network};
use maplethread_timers::Timers;
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

type Micros = u64;
const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const START: Micros = 1_000 * S;

enum Ev {
    Arrives(u64, Vec<u8>),
    Tick(u64, u64),
    Resume(u64),
    Start(u64),
}

struct Process {
    voter: Option<Voter>,
    saved: Saved,
    life: u64,
    rate: f64,
    began: Micros,
    paused: bool,
    inbox: Vec<Vec<u8>>,
}

struct World {
    now: Micros,
    network: Network,
    queue: Timers<Ev>,
    processes: BTreeMap<u64, Process>,
    rng: Pcg64Mcg,
    /// Who acted last, and in which epoch.
    acted: Option<(u64, u64)>,
    /// The owner of each epoch.
    epochs: BTreeMap<u64, u64>,
    acting: u64,
    foreign: usize,
    crash_between: bool,
}

impl World {
    fn new(seed: u64, voters: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let processes = (1..=voters)
            .map(|id| {
                let rate = 0.9 + (rng.next_u64() % 21) as f64 / 100.0;
                let process = Process {
                    voter: None,
                    saved: Saved::default(),
                    life: 0,
                    rate,
                    began: START,
                    paused: false,
                    inbox: Vec::new(),
                };
                (id, process)
            })
            .collect();
        let mut world = World {
            now: START,
            network: Network::new(seed),
            queue: Timers::default(),
            processes,
            rng,
            acted: None,
            epochs: BTreeMap::new(),
            acting: 0,
            foreign: 0,
            crash_between: false,
        };
        (1..=voters).for_each(|id| world.start(id));
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn local(&self, id: u64) -> Micros {
        let p = &self.processes[&id];
        p.began + ((self.now - p.began) as f64 * p.rate) as Micros
    }

    fn start(&mut self, id: u64) {
        let voters: Vec<u64> = self.processes.keys().copied().collect();
        let settings = Settings {
            id,
            voters,
            tick: 100 * MS,
            election_ticks: 10,
            heartbeat_ticks: 2,
            clock_error: 0.1,
        };
        let (seed, now) = (self.rng.next_u64(), self.local(id));
        let process = self.processes.get_mut(&id).expect("it is one");
        process.life += 1;
        process.voter =
            Some(Voter::new(settings, process.saved.clone(), seed, now).expect("a sound store"));
        self.carry_out(id);
        self.tick_later(id);
    }

    fn crash(&mut self, id: u64, back_after: Micros) {
        let process = self.processes.get_mut(&id).expect("it is one");
        if process.voter.take().is_some() {
            process.inbox.clear();
            process.paused = false;
            self.queue.schedule(self.now + back_after, Ev::Start(id));
        }
    }

    fn tick_later(&mut self, id: u64) {
        let local = self.local(id);
        let process = &self.processes[&id];
        let Some(voter) = &process.voter else { return };
        let wait = (voter.next_timeout().saturating_sub(local) as f64 / process.rate) as Micros + 1;
        self.queue
            .schedule(self.now + wait, Ev::Tick(id, process.life));
    }

    fn carry_out(&mut self, id: u64) {
        let process = self.processes.get_mut(&id).expect("it is one");
        let Some(voter) = &mut process.voter else {
            return;
        };
        for output in voter.outputs() {
            // A crash between any two of what is to be done.
            if self.crash_between && self.rng.next_u64().is_multiple_of(400) {
                let wait = 10 * MS + self.draw(2 * S);
                return self.crash(id, wait);
            }
            match output {
                Output::Persist(writes) => {
                    let process = self.processes.get_mut(&id).expect("it is one");
                    for write in writes {
                        process.saved.take(write).expect("sound");
                    }
                }
                Output::Send(to, bytes) => {
                    for takes in self.network.send(id as usize, to as usize) {
                        self.queue
                            .schedule(self.now + takes, Ev::Arrives(to, bytes.clone()));
                    }
                }
                Output::Owned(owned) => {
                    let known = *self.epochs.entry(owned.epoch).or_insert(owned.owner);
                    assert_eq!(known, owned.owner, "epoch {} has two owners", owned.epoch);
                }
                Output::ForeignStore(_) => self.foreign += 1,
            }
        }
    }

    /// Who may act at this instant, by its own clock: never two, and in epochs that only grow.
    fn check(&mut self) {
        let acting: Vec<(u64, u64)> = self
            .processes
            .keys()
            .copied()
            .filter_map(|id| {
                Some((
                    id,
                    self.processes[&id]
                        .voter
                        .as_ref()?
                        .may_act(self.local(id))?,
                ))
            })
            .collect();
        assert!(
            acting.len() <= 1,
            "{acting:?} may act at once, at {}",
            self.now
        );
        if let Some(&(id, epoch)) = acting.first() {
            assert_eq!(
                self.epochs.get(&epoch),
                Some(&id),
                "epoch {epoch} is another's"
            );
            if let Some((before, last)) = self.acted {
                assert!(
                    epoch > last || (epoch == last && before == id),
                    "epoch {epoch} after {last}"
                );
            }
            self.acted = Some((id, epoch));
            self.acting += 1;
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.queue.next_due_at().filter(|&at| at <= end) {
            // Between events too, as leases end and others begin.
            self.now = self.now.max(at);
            let Some(event) = self.queue.pop_due(at) else {
                break;
            };
            match event {
                Ev::Arrives(id, bytes) => {
                    let local = self.local(id);
                    let process = self.processes.get_mut(&id).expect("it is one");
                    if process.paused {
                        process.inbox.push(bytes);
                    } else if let Some(voter) = &mut process.voter {
                        voter.message(local, &bytes);
                    }
                }
                Ev::Tick(id, life) => {
                    let local = self.local(id);
                    let process = self.processes.get_mut(&id).expect("it is one");
                    if process.life != life || process.paused {
                        continue;
                    }
                    if let Some(voter) = &mut process.voter {
                        voter.tick(local);
                    }
                    self.carry_out(id);
                    self.tick_later(id);
                    self.check();
                    continue;
                }
                Ev::Resume(id) => {
                    let local = self.local(id);
                    let process = self.processes.get_mut(&id).expect("it is one");
                    if !std::mem::take(&mut process.paused) {
                        continue;
                    }
                    let inbox = std::mem::take(&mut process.inbox);
                    if let Some(voter) = &mut process.voter {
                        inbox.iter().for_each(|bytes| voter.message(local, bytes));
                    }
                    self.carry_out(id);
                    self.tick_later(id);
                    self.check();
                    continue;
                }
                Ev::Start(id) => {
                    self.start(id);
                    self.check();
                    continue;
                }
            }
            let ids: Vec<u64> = self.processes.keys().copied().collect();
            ids.into_iter().for_each(|id| self.carry_out(id));
            self.check();
        }
        self.now = end;
    }

    fn actor(&self) -> Option<u64> {
        self.processes.keys().copied().find(|id| {
            self.processes[id]
                .voter
                .as_ref()
                .is_some_and(|v| v.may_act(self.local(*id)).is_some())
        })
    }

    /// Lets time pass until somebody acts; how long that took.
    fn until_acting(&mut self, most: Micros) -> Micros {
        let from = self.now;
        while self.actor().is_none() {
            self.run(20 * MS);
            assert!(
                self.now <= from + most,
                "nobody acts after {} ms",
                (self.now - from) / MS
            );
        }
        self.now - from
    }
}

#[test]
fn one_of_three_or_five_comes_to_act_and_goes_on() {
    for (seed, voters) in [(1, 1), (2, 3), (3, 5), (4, 7)] {
        let mut world = World::new(seed, voters);
        world.until_acting(8 * S);
        let owner = world.actor();
        world.run(60 * S);
        assert_eq!(
            (world.actor(), world.epochs.len()),
            (owner, 1),
            "the owner changed without need"
        );
    }
}

#[test]
fn a_killed_a_parted_and_a_paused_owner_are_each_followed_by_another_in_a_higher_epoch() {
    for seed in 0..10 {
        let mut world = World::new(seed, 3);
        world.until_acting(8 * S);
        let first = world.actor().expect("one acts");
        world.crash(first, 30 * S);
        world.run(S);
        world.until_acting(8 * S);
        let second = world.actor().expect("one acts");
        assert_ne!(first, second);
        world.run(40 * S);
        let now = world.actor().expect("one acts");
        let others: Vec<usize> = (1..=3).filter(|&p| p != now as usize).collect();
        world.network.partition(&[others, vec![now as usize]]);
        world.run(S);
        world.until_acting(8 * S);
        assert_ne!(world.actor(), Some(now));
        world.network.heal();
        world.run(10 * S);
        // One that stood still for long finds its lease over before it acts.
        let paused = world.actor().expect("one acts");
        world.processes.get_mut(&paused).expect("it is one").paused = true;
        world.queue.schedule(world.now + 20 * S, Ev::Resume(paused));
        world.run(S);
        world.until_acting(8 * S);
        assert_ne!(world.actor(), Some(paused));
        world.run(30 * S);
        assert!(world.epochs.len() >= 4, "{:?}", world.epochs);
    }
}

#[test]
fn a_voter_that_was_started_anew_keeps_the_promise_that_it_forgot() {
    for offset in 0..300 {
        let mut world = World::new(100 + offset, 3);
        world.until_acting(8 * S);
        world.run(5 * S);
        let owner = world.actor().expect("one acts");
        let (cut, helper) = match owner {
            1 => (2, 3),
            2 => (1, 3),
            _ => (1, 2),
        };
        // One hears nothing of the owner and asks for votes, which the other refuses, as it hears the owner.
        world.network.cut(owner as usize, cut);
        world.network.cut(cut, owner as usize);
        world.run(4 * S + offset * 7 * MS);
        assert_eq!(world.actor(), Some(owner));
        // Started anew in no time it has forgotten that; the owner's lease counts on it still.
        world.crash(helper, MS);
        world.run(3 * S);
        assert_eq!(
            (world.actor(), world.epochs.len()),
            (Some(owner), 1),
            "{offset}"
        );
    }
}

#[test]
fn with_no_majority_nobody_acts_and_all_voters_crashed_at_once_go_on_in_a_higher_epoch() {
    let mut world = World::new(5, 3);
    world.until_acting(8 * S);
    let epoch = world.acted.expect("one acted").1;
    world.network.partition(&[vec![1], vec![2], vec![3]]);
    world.run(3 * S);
    let before = world.acting;
    world.run(3_600 * S);
    assert_eq!(world.acting, before, "one acted without a majority");
    world.network.heal();
    (1..=3).for_each(|id| world.crash(id, S));
    world.run(2 * S);
    world.until_acting(10 * S);
    assert!(world.acted.expect("one acts").1 > epoch);
}

#[test]
fn a_voter_whose_store_is_gone_does_not_vote_again_under_its_name() {
    let mut world = World::new(6, 3);
    world.until_acting(8 * S);
    world.run(5 * S);
    let owner = world.actor().expect("one acts");
    let other = (1..=3).find(|&id| id != owner).expect("another");
    world.crash(other, S);
    world.processes.get_mut(&other).expect("it is one").saved = Saved::default();
    world.run(5 * S);
    assert!(world.foreign > 0, "its new store is taken for the old one");
    // With it silent, the other two still are a majority; without one of them nobody is.
    world.until_acting(8 * S);
    let third = (1..=3)
        .find(|&id| id != owner && id != other)
        .expect("a third");
    world.crash(third, 60 * S);
    world.run(4 * S);
    let before = world.acting;
    world.run(20 * S);
    assert_eq!(
        world.acting, before,
        "a voter that may have forgotten a vote was counted"
    );
}

#[test]
fn logs_stay_short_and_a_voter_that_was_away_for_long_catches_up_by_a_snapshot() {
    let mut world = World::new(7, 3);
    world.until_acting(8 * S);
    world.crash(3, 4_000 * S);
    // Ownerships that change hundreds of times fill the log.
    for n in 0..700 {
        world.run(3 * S);
        if let Some(actor) = world.actor()
            && n % 2 == 0
        {
            world.crash(actor, 100 * MS);
        }
    }
    world.run(2_000 * S);
    world.until_acting(10 * S);
    world.run(10 * S);
    let latest = world.acted.expect("one acted").1;
    assert!(latest > 200, "{latest}");
    for (id, process) in &world.processes {
        let voter = process.voter.as_ref().expect("it runs");
        assert!(voter.kept() <= 600, "{id} keeps {}", voter.kept());
        assert_eq!(voter.state().latest.map(|l| l.epoch), Some(latest), "{id}");
    }
}

#[test]
fn a_damaged_or_foreign_store_is_told() {
    use maplethread_leadership::Write;
    let settings = Settings {
        id: 1,
        voters: vec![1],
        tick: 100 * MS,
        election_ticks: 10,
        heartbeat_ticks: 2,
        clock_error: 0.1,
    };
    let mut saved = Saved::default();
    saved.take(Write::Vote(vec![255; 9])).expect("it is kept");
    let error = Voter::new(settings.clone(), saved.clone(), 1, START)
        .err()
        .expect("no identity");
    assert!(error.to_string().contains("no identity"), "{error}");
    saved.take(Write::Identity(7)).expect("it is kept");
    let error = Voter::new(settings, saved, 1, START)
        .err()
        .expect("damaged");
    assert!(error.to_string().contains("damaged"), "{error}");
    assert!(
        Saved::default()
            .take(Write::Snapshot(vec![255; 9]))
            .is_err()
    );
}

/// One drawn schedule: parts, one-way cuts, loss, late and doubled messages, crashes anywhere, pauses; then, once faults
/// stop, somebody acts.
fn drawn(seed: u64) {
    let voters = [3, 5][seed as usize % 2];
    let mut world = World::new(seed, voters);
    world.crash_between = seed.is_multiple_of(3);
    for _ in 0..25 {
        let id = 1 + world.draw(voters);
        match world.draw(8) {
            0 => {
                let mut parts = vec![Vec::new(), Vec::new()];
                for p in 1..=voters as usize {
                    parts[world.draw(2) as usize].push(p);
                }
                world.network.partition(&parts);
            }
            1 => {
                let other = 1 + world.draw(voters);
                world.network.cut(id as usize, other as usize);
            }
            2 => {
                let (loss, late) = (world.draw(30) as f64 / 100.0, world.draw(10) as f64 / 100.0);
                let late_by = 500 * MS + world.draw(20 * S);
                world.network.default_link = Link {
                    loss_probability: loss,
                    duplicate_probability: 0.1,
                    min_latency: 200,
                    max_latency: 300 * MS,
                    late_probability: late,
                    late_delay: late_by,
                };
            }
            3 | 4 => {
                let wait = 10 * MS + world.draw(4 * S);
                world.crash(id, wait);
            }
            5 => {
                let span = 200 * MS + world.draw(10 * S);
                world.processes.get_mut(&id).expect("it is one").paused = true;
                world.queue.schedule(world.now + span, Ev::Resume(id));
            }
            6 => {
                for id in 1..=voters {
                    let wait = 10 * MS + world.draw(S);
                    world.crash(id, wait);
                }
            }
            _ => world.network.heal(),
        }
        let span = 100 * MS + world.draw(4 * S);
        world.run(span);
    }
    world.crash_between = false;
    world.network.heal();
    world.network.default_link = Link::default();
    world.run(15 * S);
    world.until_acting(40 * S);
}

#[test]
fn drawn_schedules_never_let_two_act() {
    (0..150).for_each(drawn);
}

#[test]
fn more_drawn_schedules_never_let_two_act() {
    (10_000..10_150).for_each(drawn);
}

/// `cargo test --release -p maplethread-leadership --test model -- --ignored`
#[test]
#[ignore = "thousands of schedules, for a sitting of its own"]
fn thousands_of_drawn_schedules() {
    (20_000..25_000).for_each(drawn);
}
