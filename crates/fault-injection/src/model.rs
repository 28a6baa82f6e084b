//! A model of many members with simulated time and a faulty network. It is deterministic: equal seeds give
//! byte-identical runs. The members run the unchanged membership core.

use std::collections::BTreeMap;

use maplethread_membership::{
    Facts, KeyRing, LocalMember, MemberName, MemberState, MembershipChange, Micros, Notice,
    OWN_PROBE, Output, Settings, Timing,
};
use maplethread_simnet::Network;
use maplethread_timers::Timers;

mod fixtures;
mod settling;

use fixtures::node_of;
pub use fixtures::{KEY, address, facts, keys, member_name};

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const S: Micros = 1_000_000;
/// Start of the simulated time, as Unix time.
const START: Micros = 1_790_000_000 * S;

enum Event {
    DatagramArrives(usize, Vec<u8>),
    Tick(usize, u64),
    Resume(usize),
}

/// A process at a node of the network.
struct Process {
    member: usize,
    local_member: LocalMember,
    /// Rate of the process's clock relative to simulated time.
    clock_rate: f64,
    clock_started_at: Micros,
    is_paused: bool,
    /// Datagrams that arrived during a pause.
    inbox: Vec<Vec<u8>>,
    start_number: u64,
    next_tick_at: Micros,
}

/// Statistics of a run of the model.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelStatistics {
    /// Number of times that a running, reachable member was declared down.
    pub false_alarms: u64,
    /// Number of datagrams sent.
    pub datagrams_sent: u64,
    /// Number of bytes sent in datagrams.
    pub bytes_sent: u64,
    /// Notices that members issued about themselves, with the member's name.
    pub notices: Vec<(String, Notice)>,
    /// Hash of all changes of all views, in order.
    pub change_hash: u64,
}

/// The members, their network and the simulated time.
pub struct Model {
    now: Micros,
    /// The network between the nodes.
    pub network: Network,
    /// Timing of members that start from now on.
    pub timing: Timing,
    /// Keys of members that start from now on.
    pub keys: KeyRing,
    /// Nodes whose addresses new members get as seeds.
    pub seeds: Vec<usize>,
    seed: u64,
    start_count: u64,
    queue: Timers<Event>,
    processes: BTreeMap<usize, Process>,
    statistics: ModelStatistics,
    /// Whether declaring a running member down counts as a false alarm.
    pub counts_false_alarms: bool,
    /// Datagrams that were delivered while recording, with their destination node, for tests that replay them.
    pub recorded_datagrams: Vec<(usize, Vec<u8>)>,
    /// Whether delivered datagrams are recorded.
    pub is_recording: bool,
}

impl Model {
    /// Creates a model without members.
    pub fn new(seed: u64) -> Model {
        Model {
            now: START,
            network: Network::new(seed),
            timing: Timing::default(),
            keys: keys(KEY),
            seeds: vec![0],
            seed,
            start_count: 0,
            queue: Timers::default(),
            processes: BTreeMap::new(),
            statistics: ModelStatistics::default(),
            counts_false_alarms: true,
            recorded_datagrams: Vec::new(),
            is_recording: false,
        }
    }

    /// Starts `count` members, member `n` at node `n`.
    pub fn start_all(&mut self, count: usize) {
        (0..count).for_each(|n| self.start(n, n));
    }

    /// Starts a member at a node, with an accurate clock.
    pub fn start(&mut self, member: usize, node: usize) {
        self.start_with(member, node, 0, 1.0);
    }

    /// Starts a member at a node, with an offset of its wall clock in ms and a rate of its clock.
    ///
    /// # Panics
    ///
    /// If a process already runs at the node.
    pub fn start_with(&mut self, member: usize, node: usize, clock_offset_ms: i64, rate: f64) {
        self.start_count += 1;
        let started_ms = (self.now / 1000).saturating_add_signed(clock_offset_ms);
        let settings = Settings {
            name: MemberName::try_from(member_name(member)).expect("the member name is valid"),
            advertised_address: address(node),
            generation: started_ms,
            facts: facts(started_ms),
            seeds: self.seeds.iter().map(|&s| address(s)).collect(),
            keys: self.keys.clone(),
            timing: self.timing,
        };
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.start_count;
        let core = LocalMember::new(settings, seed, self.now);
        let process = Process {
            member,
            local_member: core,
            clock_rate: rate,
            clock_started_at: self.now,
            is_paused: false,
            inbox: Vec::new(),
            start_number: self.start_count,
            next_tick_at: Micros::MAX,
        };
        assert!(
            self.processes.insert(node, process).is_none(),
            "a process already runs at node {node}"
        );
        self.process_outputs(node);
    }

    /// Kills the process at a node.
    ///
    /// # Panics
    ///
    /// If no process runs at the node.
    pub fn kill(&mut self, node: usize) {
        self.processes
            .remove(&node)
            .expect("a process runs at the node");
    }

    /// Has the member at a node leave, and kills its process 200 ms later.
    pub fn leave(&mut self, node: usize) {
        let local_now = self.local_time(node);
        self.process_at(node).local_member.leave(local_now);
        self.process_outputs(node);
        self.run(200 * MS);
        self.kill(node);
    }

    /// Pauses the process at a node for `span`.
    pub fn pause(&mut self, node: usize, span: Micros) {
        self.process_at(node).is_paused = true;
        self.queue.schedule(self.now + span, Event::Resume(node));
    }

    /// Replaces the keys of the member at a node.
    pub fn set_keys(&mut self, node: usize, keys: KeyRing) {
        self.process_at(node).local_member.set_keys(keys);
    }

    /// Replaces the facts of the member at a node.
    pub fn set_facts(&mut self, node: usize, facts: Facts) {
        let local_now = self.local_time(node);
        self.process_at(node)
            .local_member
            .set_facts(local_now, facts);
        self.process_outputs(node);
    }

    /// Delivers a datagram to a node, bypassing the network.
    pub fn inject(&mut self, to: usize, bytes: Vec<u8>) {
        self.queue
            .schedule(self.now, Event::DatagramArrives(to, bytes));
    }

    /// The member at a node.
    pub fn local_member(&self, node: usize) -> &LocalMember {
        &self.processes[&node].local_member
    }

    /// The present view of the member at a node.
    pub fn view(&self, node: usize) -> maplethread_membership::MembershipView {
        self.local_member(node).view(self.local_time(node))
    }

    /// Nodes with a process.
    pub fn nodes(&self) -> Vec<usize> {
        self.processes.keys().copied().collect()
    }

    /// The number of the member that runs at a node.
    pub fn member_at(&self, node: usize) -> usize {
        self.processes[&node].member
    }

    /// Starts a new member at the first seed's node if no process runs at any seed's node, as an operator would do.
    pub fn restart_seed_if_none_runs(&mut self) {
        if let Some(&seed) = self.seeds.first()
            && self.seeds.iter().all(|s| !self.processes.contains_key(s))
        {
            self.start(500 + seed, seed);
        }
    }

    /// Statistics of the run so far.
    pub fn statistics(&self) -> &ModelStatistics {
        &self.statistics
    }

    fn process_at(&mut self, node: usize) -> &mut Process {
        self.processes
            .get_mut(&node)
            .expect("a process runs at the node")
    }

    fn local_time(&self, node: usize) -> Micros {
        let process = &self.processes[&node];
        process.clock_started_at
            + ((self.now - process.clock_started_at) as f64 * process.clock_rate) as Micros
    }

    /// Advances the simulated time by `span` and handles the events that are due.
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
            Event::DatagramArrives(node, bytes) => {
                let Some(process) = self.processes.get_mut(&node) else {
                    return;
                };
                if process.is_paused {
                    // A socket buffer holds a limited number of datagrams; further ones are dropped.
                    if process.inbox.len() < 200 {
                        process.inbox.push(bytes);
                    }
                    return;
                }
                let local_now = self.local_time(node);
                self.process_at(node)
                    .local_member
                    .handle_datagram(local_now, &bytes);
                if self.is_recording {
                    self.recorded_datagrams.push((node, bytes));
                }
                self.process_outputs(node);
            }
            Event::Tick(node, number) => {
                let local_now = self.processes.get(&node).map(|_| self.local_time(node));
                let Some(process) = self
                    .processes
                    .get_mut(&node)
                    .filter(|p| p.start_number == number)
                else {
                    return;
                };
                if process.is_paused || process.next_tick_at > self.now {
                    return;
                }
                process.next_tick_at = Micros::MAX;
                process.local_member.tick(local_now.unwrap_or_default());
                self.process_outputs(node);
            }
            Event::Resume(node) => {
                if !self.processes.contains_key(&node) {
                    return;
                }
                let local_now = self.local_time(node);
                let process = self.process_at(node);
                (process.is_paused, process.next_tick_at) = (false, Micros::MAX);
                let inbox = std::mem::take(&mut process.inbox);
                inbox
                    .iter()
                    .for_each(|bytes| process.local_member.handle_datagram(local_now, bytes));
                process.local_member.tick(local_now);
                self.process_outputs(node);
            }
        }
    }

    fn process_outputs(&mut self, node: usize) {
        let outputs = self.process_at(node).local_member.take_outputs();
        let reporter = self.processes[&node].member;
        for output in outputs {
            match output {
                Output::Send(to, bytes) => {
                    self.statistics.datagrams_sent += 1;
                    self.statistics.bytes_sent += bytes.len() as u64;
                    let Some(to) = node_of(to) else { continue };
                    for delay in self.network.send(node, to) {
                        self.queue
                            .schedule(self.now + delay, Event::DatagramArrives(to, bytes.clone()));
                    }
                }
                Output::Changed(change) => {
                    self.statistics.false_alarms += u64::from(self.is_false_alarm(&change));
                    let text = format!("{reporter} {change:?} {}", self.now);
                    let hash = text
                        .bytes()
                        .fold(0_u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
                    self.statistics.change_hash = self.statistics.change_hash.rotate_left(5) ^ hash;
                }
                Output::Notice(notice) => self
                    .statistics
                    .notices
                    .push((member_name(reporter), notice)),
            }
        }
        let local_now = self.local_time(node);
        let now = self.now;
        let process = self.process_at(node);
        let due_at = process.local_member.next_timeout().unwrap_or(Micros::MAX);
        let wait = (due_at.saturating_sub(local_now) as f64 / process.clock_rate) as Micros;
        let next = now.saturating_add(wait + 1);
        if next < process.next_tick_at {
            process.next_tick_at = next;
            let number = process.start_number;
            self.queue.schedule(next, Event::Tick(node, number));
        }
    }

    /// Whether a change declares a running member down because of the reporting member's own probe, not because of
    /// another member's message. The cheap conditions come first: when all members join at once, there are as many
    /// changes as pairs of members, and searching the process of each one would take cubic time.
    fn is_false_alarm(&self, change: &MembershipChange) -> bool {
        let went_down = change.new_state == Some(MemberState::Down)
            && change.previous_state.is_some_and(MemberState::is_live);
        self.counts_false_alarms
            && went_down
            && change.reported_by == OWN_PROBE
            && self.is_running(&change.name)
    }

    /// Whether an unpaused process of the member with this name runs.
    fn is_running(&self, member: &str) -> bool {
        self.processes
            .values()
            .any(|process| !process.is_paused && member_name(process.member) == member)
    }

    /// A datagram of `length` bytes that no member of the fleet has sent.
    pub fn invalid_datagram(&mut self, length: usize) -> Vec<u8> {
        let mut bytes: Vec<u8> = (0..length)
            .map(|n| ((n as u64 * 2_654_435_761) >> 7) as u8)
            .collect();
        if let Some(first) = bytes.first_mut() {
            *first = 1;
        }
        bytes
    }
}
