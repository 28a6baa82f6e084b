//! A voter: the consensus library, what has to be durable before it speaks, and the lease.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::storage::MemStorage;
use raft::{Config, RawNode, ReadOnlyOption, StateRole, Storage};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::log::Log;
use crate::state::{Command, Ownership, State};

/// Time, µs, of a clock that runs on while the machine sleeps; where it starts is the caller's matter.
pub type Micros = u64;

/// The longest message that is taken in, octets.
const LONGEST: usize = 1 << 20;
/// Entries that are kept behind a snapshot, so that a voter that is a little behind needs none.
const KEPT: u64 = 256;
/// Rounds by which a lease is renewed and that wait for their answers at a time.
const MOST_ROUNDS: usize = 64;

/// A voter's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Which voter it is, from 1.
    pub id: u64,
    /// All voters, alike at each.
    pub voters: Vec<u64>,
    /// The period of its timers, µs.
    pub tick: Micros,
    /// A leader that is silent for so many periods is followed no longer.
    pub election_ticks: u32,
    /// A leader speaks each so many periods.
    pub heartbeat_ticks: u32,
    /// Clocks run at most this share too fast or too slow.
    pub clock_error: f64,
}

/// What has to be durable, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// The identity of the store; written first, once.
    Identity(u64),
    /// The vote and the term.
    Vote(Vec<u8>),
    /// Entries from this place of the log on; what lay there and after it is void.
    Entries(u64, Vec<Vec<u8>>),
    /// A snapshot: entries up to its own place are void.
    Snapshot(Vec<u8>),
}

/// What was durable when the voter started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Saved {
    /// The identity of the store; nothing where it is new.
    pub identity: Option<u64>,
    vote: Option<Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
    snapshot: Option<(u64, Vec<u8>)>,
}

impl Saved {
    /// Takes in what was written: a store is the sum of its writes.
    pub fn take(&mut self, write: Write) -> Result<(), Unsound> {
        match write {
            Write::Identity(identity) => self.identity = Some(identity),
            Write::Vote(vote) => self.vote = Some(vote),
            Write::Entries(first, entries) => {
                self.entries.split_off(&first);
                self.entries.extend((first..).zip(entries));
            }
            Write::Snapshot(bytes) => {
                let index = Snapshot::parse_from_bytes(&bytes)?.get_metadata().index;
                self.entries = self.entries.split_off(&(index.saturating_sub(KEPT) + 1));
                self.snapshot = Some((index, bytes));
            }
        }
        Ok(())
    }
}

/// Why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Unsound {
    /// A part of it can't be read.
    #[error("the voter's store is damaged: {0}")]
    Damaged(#[from] protobuf::ProtobufError),
    /// The state in it can't be read.
    #[error("the voter's store holds a state that can't be read: {0}")]
    State(#[from] postcard::Error),
    /// The library does not take it.
    #[error("the voter's store or settings can't be used: {0}")]
    Refused(#[from] raft::Error),
    /// It holds a vote or a log, and no identity.
    #[error("the voter's store is no whole one: it holds a vote or a log, and no identity")]
    NoIdentity,
}

/// What the caller is to do, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make these durable before anything that follows.
    Persist(Vec<Write>),
    /// Send this to a voter.
    Send(u64, Vec<u8>),
    /// This ownership was agreed on.
    Owned(Ownership),
    /// A voter, or this one itself, speaks from a store that is not the one that it voted with: it is not listened to.
    ForeignStore(u64),
}

/// What goes between voters.
#[derive(Serialize, Deserialize)]
struct Envelope {
    from: u64,
    store: u64,
    /// The store with which the receiver votes, as far as the sender knows; 0 where it does not.
    to_store: u64,
    message: Vec<u8>,
}

/// A voter.
pub struct Voter {
    settings: Settings,
    node: RawNode<Log>,
    state: State,
    identity: u64,
    seed: u64,
    /// The last period that was counted began then.
    ticked: Micros,
    /// No vote is given before this: what was promised before a restart may still hold.
    mute_until: Micros,
    /// Rounds of questions to the majority, and when each was asked.
    rounds: BTreeMap<u64, Micros>,
    round: u64,
    /// Until when a majority holds to this voter, by its own clock.
    lease_until: Micros,
    /// The term in which it has asked for the ownership.
    asked_in: u64,
    applied: u64,
    foreign: BTreeSet<u64>,
    outputs: Vec<Output>,
}

fn logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

impl Voter {
    /// A voter from what was durable. A new store gets its identity from the seed, as its first write.
    pub fn new(settings: Settings, saved: Saved, seed: u64, now: Micros) -> Result<Voter, Unsound> {
        let mut outputs = Vec::new();
        let begun = saved.vote.is_some() || saved.snapshot.is_some() || !saved.entries.is_empty();
        let identity = match saved.identity {
            Some(identity) => identity,
            None if begun => return Err(Unsound::NoIdentity),
            None => {
                let identity = Pcg64Mcg::seed_from_u64(seed).next_u64();
                outputs.push(Output::Persist(vec![Write::Identity(identity)]));
                identity
            }
        };
        let conf = ConfState {
            voters: settings.voters.clone(),
            ..ConfState::default()
        };
        let memory = MemStorage::new_with_conf_state(conf);
        let mut kept = None;
        let mut state = State::default();
        let mut applied = 0;
        if let Some((index, bytes)) = &saved.snapshot {
            let snapshot = Snapshot::parse_from_bytes(bytes)?;
            state = postcard::from_bytes(snapshot.get_data())?;
            kept = Some(snapshot.clone());
            memory.wl().apply_snapshot(snapshot)?;
            applied = *index;
        }
        let first = memory.first_index()?;
        let entries: Result<Vec<Entry>, _> = saved
            .entries
            .range(first..)
            .map(|(_, bytes)| Entry::parse_from_bytes(bytes))
            .collect();
        memory.wl().append(&entries?)?;
        if let Some(vote) = &saved.vote {
            memory
                .wl()
                .set_hardstate(HardState::parse_from_bytes(vote)?);
        }
        let election = settings.election_ticks as usize;
        let config = Config {
            id: settings.id,
            election_tick: election,
            heartbeat_tick: settings.heartbeat_ticks as usize,
            applied,
            max_size_per_msg: 64 << 10,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            // The library draws from this range by random numbers of its own; see `settle`.
            min_election_tick: election,
            max_election_tick: 2 * election,
            read_only_option: ReadOnlyOption::Safe,
            max_uncommitted_size: 1 << 20,
            ..Config::default()
        };
        let store = Log {
            memory,
            snapshot: RefCell::new(kept),
        };
        let node = RawNode::new(&config, store, &logger())?;
        let promised = settings.tick as f64
            * f64::from(settings.election_ticks)
            * (1.0 + settings.clock_error);
        let mut voter = Voter {
            node,
            state,
            identity,
            seed,
            ticked: now,
            mute_until: now + promised as Micros + settings.tick,
            rounds: BTreeMap::new(),
            round: 0,
            lease_until: 0,
            asked_in: 0,
            applied,
            foreign: BTreeSet::new(),
            outputs,
            settings,
        };
        voter.settle(now);
        Ok(voter)
    }

    /// What is to be done, in order.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// When [`Voter::tick`] is to be called at the latest.
    pub fn next_timeout(&self) -> Micros {
        self.ticked + self.settings.tick
    }

    /// Lets time pass. A voter that stood still counts one period, however long it was: what waits to be read may tell of
    /// a leader.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_timeout() {
            return;
        }
        let late = now - self.next_timeout();
        self.ticked = if late > self.settings.tick {
            now
        } else {
            self.next_timeout()
        };
        self.node.tick();
        if self.leads() {
            self.renew(now);
        }
        self.settle(now);
    }

    /// Takes in a message of another voter. What can't be read is left out.
    pub fn message(&mut self, now: Micros, bytes: &[u8]) {
        if bytes.len() > LONGEST {
            return;
        }
        let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
            return;
        };
        let Ok(message) = Message::parse_from_bytes(&envelope.message) else {
            return;
        };
        if envelope.from != message.from || message.to != self.settings.id {
            return;
        }
        // One whose store is gone may have forgotten whom it voted for, and what it said that it holds.
        let to_another = envelope.to_store != 0 && envelope.to_store != self.identity;
        let foreign = if to_another {
            Some(self.settings.id)
        } else {
            None
        };
        let from_another = !self.state.admits(envelope.from, envelope.store);
        if let Some(voter) = foreign.or(from_another.then_some(envelope.from)) {
            if self.foreign.insert(voter) {
                self.outputs.push(Output::ForeignStore(voter));
            }
            return;
        }
        // The library ends the process over a leader that holds more for agreed on than this log has.
        let last = self.node.store().last_index().unwrap_or(0);
        if message.get_msg_type() == MessageType::MsgHeartbeat && message.commit > last {
            return;
        }
        let asks_a_vote = matches!(
            message.get_msg_type(),
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote
        );
        if asks_a_vote && now < self.mute_until {
            return;
        }
        let unknown = !self.state.stores.contains_key(&envelope.from);
        // What the library does not take, it says so of, and is otherwise as if it had not come.
        let _ = self.node.step(message);
        if unknown && self.leads() {
            self.propose(&Command::Register {
                voter: envelope.from,
                store: envelope.store,
            });
        }
        self.settle(now);
    }

    /// The epoch in which this voter may act now. The lease counts from when the majority was asked, and ends, by clocks
    /// of any allowed rate, before a majority can follow another voter.
    pub fn may_act(&self, now: Micros) -> Option<u64> {
        let own = self.state.latest.filter(|l| l.owner == self.settings.id)?;
        (self.leads() && self.asked_in == self.node.raft.term && now < self.lease_until)
            .then_some(own.epoch)
    }

    /// What was agreed on, as far as this voter knows.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Entries that this voter keeps.
    pub fn kept(&self) -> u64 {
        let store = self.node.store();
        let first = store.first_index().unwrap_or(0);
        (store.last_index().unwrap_or(0) + 1).saturating_sub(first)
    }

    fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn propose(&mut self, command: &Command) {
        if let Ok(data) = postcard::to_allocvec(command) {
            // Where it is not taken it is proposed again when its cause comes again.
            let _ = self.node.propose(Vec::new(), data);
        }
    }

    /// Asks the majority whether it still holds to this voter.
    fn renew(&mut self, now: Micros) {
        if self.rounds.len() >= MOST_ROUNDS {
            self.rounds.pop_first();
        }
        self.round += 1;
        self.rounds.insert(self.round, now);
        self.node.read_index(self.round.to_be_bytes().to_vec());
    }

    /// Carries out what the library wants, until it wants nothing more.
    fn settle(&mut self, now: Micros) {
        // The library draws the period of the next election anew by random numbers of its own. One that goes by seed and
        // term takes its place, so that equal runs stay equal.
        let ticks = self.settings.election_ticks as usize;
        let drawn =
            Pcg64Mcg::seed_from_u64(self.seed ^ self.node.raft.term.wrapping_mul(0x9e37_79b9))
                .next_u64();
        self.node
            .raft
            .set_randomized_election_timeout(ticks + drawn as usize % ticks.max(1));
        if !self.leads() {
            self.rounds.clear();
            self.lease_until = 0;
        } else if self.asked_in != self.node.raft.term {
            self.asked_in = self.node.raft.term;
            self.propose(&Command::Own {
                owner: self.settings.id,
            });
            let (voter, store) = (self.settings.id, self.identity);
            if !self.state.stores.contains_key(&voter) {
                self.propose(&Command::Register { voter, store });
            }
            self.renew(now);
        }
        while self.node.has_ready() {
            let mut ready = self.node.ready();
            self.read(&ready.take_read_states());
            let mut writes = Vec::new();
            if !ready.snapshot().is_empty() {
                self.install(ready.snapshot().clone(), &mut writes);
            }
            if !ready.entries().is_empty() {
                let entries = ready.take_entries();
                let bytes = entries
                    .iter()
                    .filter_map(|e| e.write_to_bytes().ok())
                    .collect();
                writes.push(Write::Entries(entries[0].index, bytes));
                let _ = self.node.store().memory.wl().append(&entries);
            }
            if let Some(vote) = ready.hs() {
                writes.extend(vote.write_to_bytes().ok().map(Write::Vote));
                self.node.store().memory.wl().set_hardstate(vote.clone());
            }
            if !writes.is_empty() {
                self.outputs.push(Output::Persist(writes));
            }
            let messages = ready.take_messages();
            let after = ready.take_persisted_messages();
            self.send(messages);
            self.send(after);
            self.commit(ready.take_committed_entries());
            let mut light = self.node.advance(ready);
            if let Some(commit) = light.commit_index() {
                self.node.store().memory.wl().mut_hard_state().commit = commit;
            }
            self.send(light.take_messages());
            self.commit(light.take_committed_entries());
            self.node.advance_apply();
        }
        self.compact();
    }

    /// Rounds that a majority has answered: the lease counts from when they were asked.
    fn read(&mut self, states: &[raft::ReadState]) {
        let span = self.settings.tick as f64 * f64::from(self.settings.election_ticks);
        // The voters' clocks may be fast while this one's is slow.
        let span = (span * (1.0 - self.settings.clock_error) / (1.0 + self.settings.clock_error))
            as Micros;
        for state in states {
            let Ok(number) = state
                .request_ctx
                .as_slice()
                .try_into()
                .map(u64::from_be_bytes)
            else {
                continue;
            };
            if let Some(asked) = self.rounds.remove(&number) {
                self.lease_until = self
                    .lease_until
                    .max(asked + span.saturating_sub(self.settings.tick));
            }
        }
    }

    fn install(&mut self, snapshot: Snapshot, writes: &mut Vec<Write>) {
        let Ok(state) = postcard::from_bytes(snapshot.get_data()) else {
            return;
        };
        writes.extend(snapshot.write_to_bytes().ok().map(Write::Snapshot));
        self.applied = snapshot.get_metadata().index;
        self.state = state;
        let _ = self
            .node
            .store()
            .memory
            .wl()
            .apply_snapshot(snapshot.clone());
        self.node.store().snapshot.replace(Some(snapshot));
    }

    fn commit(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else {
                continue;
            };
            if let Some(owned) = self.state.apply(&command) {
                self.outputs.push(Output::Owned(owned));
            }
        }
    }

    /// Keeps the log short: a snapshot takes the place of what is old.
    fn compact(&mut self) {
        if self.kept() <= 2 * KEPT {
            return;
        }
        let Ok(data) = postcard::to_allocvec(&self.state) else {
            return;
        };
        let store = self.node.store();
        let Ok(term) = store.term(self.applied) else {
            return;
        };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.applied, term);
        metadata.set_conf_state(ConfState {
            voters: self.settings.voters.clone(),
            ..ConfState::default()
        });
        if let Ok(bytes) = snapshot.write_to_bytes() {
            self.outputs
                .push(Output::Persist(vec![Write::Snapshot(bytes)]));
        }
        self.node.store().snapshot.replace(Some(snapshot));
        let _ = self
            .node
            .store()
            .memory
            .wl()
            .compact(self.applied.saturating_sub(KEPT));
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = message.to;
            let Ok(message) = message.write_to_bytes() else {
                continue;
            };
            let to_store = self.state.stores.get(&to).copied().unwrap_or(0);
            let envelope = Envelope {
                from: self.settings.id,
                store: self.identity,
                to_store,
                message,
            };
            if let Ok(bytes) = postcard::to_allocvec(&envelope) {
                self.outputs.push(Output::Send(to, bytes));
            }
        }
    }
}
