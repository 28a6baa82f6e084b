//! Many members under simulated time and a faulty network, seeded: equal seeds give equal runs to the byte. The members
//! are the unchanged core.

use std::collections::BTreeMap;

use maplethread_membership::{
    Facts, KeyRing, LocalMember, MemberName, MemberState, MembershipChange, Micros, Notice,
    OWN_PROBE, Output, Settings, Timing,
};
use maplethread_simnet::Network;
use maplethread_timers::Timers;

mod fixtures;
mod settling;

use fixtures::place_of;
pub use fixtures::{KEY, address, facts, keys, member_name};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const S: Micros = 1_000_000;
const START: Micros = 1_790_000_000 * S;

enum Event {
    DatagramArrives(usize, Vec<u8>),
    Tick(usize, u64),
    Resume(usize),
}

/// A process at a place of the network.
struct Process {
    member: usize,
    local_member: LocalMember,
    /// Its clock runs so fast.
    clock_rate: f64,
    clock_started_at: Micros,
    is_paused: bool,
    /// What waits to be read.
    inbox: Vec<Vec<u8>>,
    start_number: u64,
    next_tick_at: Micros,
}

/// What was seen of the whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelStatistics {
    /// Running members that could be reached and were called down.
    pub false_alarms: u64,
    /// Datagrams sent, and their bytes.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// News of members about themselves.
    pub notices: Vec<(String, Notice)>,
    /// A running hash of all changes of all views, in order.
    pub change_hash: u64,
}

/// The fleet, its network and its time.
pub struct Model {
    now: Micros,
    /// The network between places.
    pub network: Network,
    /// The pace of members that start from now on.
    pub timing: Timing,
    /// Keys of members that start from now on.
    pub keys: KeyRing,
    /// Who seeds are, by place.
    pub seeds: Vec<usize>,
    seed: u64,
    started: u64,
    queue: Timers<Event>,
    processes: BTreeMap<usize, Process>,
    statistics: ModelStatistics,
    /// Calls of a running member down count as false alarms.
    pub counts_false_alarms: bool,
    /// The last datagrams that came to each place, for tests that send them again.
    pub recorded: Vec<(usize, Vec<u8>)>,
    /// Whether they are kept.
    pub is_recording: bool,
}

impl Model {
    /// A network without members.
    pub fn new(seed: u64) -> Model {
        Model {
            now: START,
            network: Network::new(seed),
            timing: Timing::default(),
            keys: keys(KEY),
            seeds: vec![0],
            seed,
            started: 0,
            queue: Timers::default(),
            processes: BTreeMap::new(),
            statistics: ModelStatistics::default(),
            counts_false_alarms: true,
            recorded: Vec::new(),
            is_recording: false,
        }
    }

    /// Starts so many members, the first ones seeds.
    pub fn start_all(&mut self, count: usize) {
        (0..count).for_each(|n| self.start(n, n));
    }

    /// Starts a member at a place, by a clock that is right.
    pub fn start(&mut self, member: usize, at: usize) {
        self.start_with(member, at, 0, 1.0);
    }

    /// Starts a member at a place; its wall clock is off by so many ms, and its clocks run so fast.
    pub fn start_with(&mut self, member: usize, at: usize, off_ms: i64, rate: f64) {
        self.started += 1;
        let life = (self.now / 1000).saturating_add_signed(off_ms);
        let settings = Settings {
            name: MemberName::try_from(member_name(member)).expect("a sound name"),
            advertised_address: address(at),
            generation: life,
            facts: facts(life),
            seeds: self.seeds.iter().map(|&s| address(s)).collect(),
            keys: self.keys.clone(),
            timing: self.timing,
        };
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.started;
        let fleet = LocalMember::new(settings, seed, self.now);
        let process = Process {
            member,
            local_member: fleet,
            clock_rate: rate,
            clock_started_at: self.now,
            is_paused: false,
            inbox: Vec::new(),
            start_number: self.started,
            next_tick_at: Micros::MAX,
        };
        assert!(
            self.processes.insert(at, process).is_none(),
            "the place is taken"
        );
        self.process_outputs(at);
    }

    /// Ends the process at a place, unasked.
    pub fn kill(&mut self, at: usize) {
        self.processes.remove(&at).expect("it runs");
    }

    /// Ends the process at a place, which says that it leaves and goes on for a while.
    pub fn leave(&mut self, at: usize) {
        let local = self.local_time(at);
        self.process_at(at).local_member.leave(local);
        self.process_outputs(at);
        self.run(200 * MS);
        self.kill(at);
    }

    /// Has a process stand still.
    pub fn pause(&mut self, at: usize, span: Micros) {
        self.process_at(at).is_paused = true;
        self.queue.schedule(self.now + span, Event::Resume(at));
    }

    /// Gives a process other keys.
    pub fn set_keys(&mut self, at: usize, keys: KeyRing) {
        self.process_at(at).local_member.set_keys(keys);
    }

    /// Has a process say something else of itself.
    pub fn set_facts(&mut self, at: usize, facts: Facts) {
        let local = self.local_time(at);
        self.process_at(at).local_member.set_facts(local, facts);
        self.process_outputs(at);
    }

    /// Puts a datagram before a place, whoever sent it.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.queue
            .schedule(self.now, Event::DatagramArrives(to, bytes));
    }

    /// The member at a place.
    pub fn local_member(&self, at: usize) -> &LocalMember {
        &self.processes[&at].local_member
    }

    /// What the member at a place shows now.
    pub fn view(&self, at: usize) -> maplethread_membership::MembershipView {
        self.local_member(at).view(self.local_time(at))
    }

    /// Places with a process.
    pub fn places(&self) -> Vec<usize> {
        self.processes.keys().copied().collect()
    }

    /// Which member runs at a place.
    pub fn member_at(&self, at: usize) -> usize {
        self.processes[&at].member
    }

    /// If no seed's place has a process any more, one starts there anew, as an operator would have it.
    pub fn restart_seed_if_none_runs(&mut self) {
        if let Some(&seed) = self.seeds.first()
            && self.seeds.iter().all(|s| !self.processes.contains_key(s))
        {
            self.start(500 + seed, seed);
        }
    }

    /// What was seen so far.
    pub fn statistics(&self) -> &ModelStatistics {
        &self.statistics
    }

    fn process_at(&mut self, place: usize) -> &mut Process {
        self.processes.get_mut(&place).expect("it runs")
    }

    fn local_time(&self, at: usize) -> Micros {
        let process = &self.processes[&at];
        process.clock_started_at
            + ((self.now - process.clock_started_at) as f64 * process.clock_rate) as Micros
    }

    /// Lets time pass.
    pub fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while let Some(at) = self.queue.next_due_at().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            let Some(event) = self.queue.pop_due(at) else {
                break;
            };
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::DatagramArrives(at, bytes) => {
                let Some(process) = self.processes.get_mut(&at) else {
                    return;
                };
                if process.is_paused {
                    // A socket's buffer has room for so many.
                    if process.inbox.len() < 200 {
                        process.inbox.push(bytes);
                    }
                    return;
                }
                let local = self.local_time(at);
                self.process_at(at)
                    .local_member
                    .handle_datagram(local, &bytes);
                if self.is_recording {
                    self.recorded.push((at, bytes));
                }
                self.process_outputs(at);
            }
            Event::Tick(at, number) => {
                let local = self.processes.get(&at).map(|_| self.local_time(at));
                let Some(process) = self
                    .processes
                    .get_mut(&at)
                    .filter(|p| p.start_number == number)
                else {
                    return;
                };
                if process.is_paused || process.next_tick_at > self.now {
                    return;
                }
                process.next_tick_at = Micros::MAX;
                process.local_member.tick(local.unwrap_or_default());
                self.process_outputs(at);
            }
            Event::Resume(at) => {
                if !self.processes.contains_key(&at) {
                    return;
                }
                let local = self.local_time(at);
                let process = self.process_at(at);
                (process.is_paused, process.next_tick_at) = (false, Micros::MAX);
                let inbox = std::mem::take(&mut process.inbox);
                inbox
                    .iter()
                    .for_each(|bytes| process.local_member.handle_datagram(local, bytes));
                process.local_member.tick(local);
                self.process_outputs(at);
            }
        }
    }

    fn process_outputs(&mut self, at: usize) {
        let outputs = self.process_at(at).local_member.take_outputs();
        let by = self.processes[&at].member;
        for output in outputs {
            match output {
                Output::Send(to, bytes) => {
                    self.statistics.datagrams_sent += 1;
                    self.statistics.bytes_sent += bytes.len() as u64;
                    let Some(to) = place_of(to) else { continue };
                    for takes in self.network.send(at, to) {
                        self.queue
                            .schedule(self.now + takes, Event::DatagramArrives(to, bytes.clone()));
                    }
                }
                Output::Changed(change) => {
                    self.statistics.false_alarms += u64::from(self.is_false_alarm(&change));
                    let text = format!("{by} {change:?} {}", self.now);
                    let step = text
                        .bytes()
                        .fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
                    self.statistics.change_hash = self.statistics.change_hash.rotate_left(5) ^ step;
                }
                Output::Notice(notice) => self.statistics.notices.push((member_name(by), notice)),
            }
        }
        let local = self.local_time(at);
        let now = self.now;
        let process = self.process_at(at);
        let due = process.local_member.next_timeout().unwrap_or(Micros::MAX);
        let wait = (due.saturating_sub(local) as f64 / process.clock_rate) as Micros;
        let next = now.saturating_add(wait + 1);
        if next < process.next_tick_at {
            process.next_tick_at = next;
            let number = process.start_number;
            self.queue.schedule(next, Event::Tick(at, number));
        }
    }

    /// Whether a change calls a running member down by the judgement of the one that tells it, not by hearsay. Cheap tests
    /// come first: with all members joining at once there are as many changes as pairs of members, and looking for each
    /// one's process would take cubic time.
    fn is_false_alarm(&self, change: &MembershipChange) -> bool {
        let went_down = change.new_state == Some(MemberState::Down)
            && change.previous_state.is_some_and(MemberState::is_live);
        self.counts_false_alarms
            && went_down
            && change.reported_by == OWN_PROBE
            && self.is_running(&change.name)
    }

    /// Whether some process of this name runs and is not paused.
    fn is_running(&self, member: &str) -> bool {
        self.processes
            .values()
            .any(|process| !process.is_paused && member_name(process.member) == member)
    }

    /// A datagram that nobody of this fleet made.
    pub fn garbage(&mut self, length: usize) -> Vec<u8> {
        let mut bytes: Vec<u8> = (0..length)
            .map(|n| ((n as u64 * 2_654_435_761) >> 7) as u8)
            .collect();
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        bytes
    }
}
