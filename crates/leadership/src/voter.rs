//! A voter, which drives the Raft library and determines when it may act as the leader.

use std::collections::BTreeSet;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{Config, RawNode, ReadOnlyOption, ReadState, Ready, StateRole, Storage};
use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

use crate::durable::{DurableState, DurableWrite, RestoredState, StoreError};
use crate::envelope::{self, ReceivedMessage};
use crate::lease_renewal::LeaseRenewal;
use crate::raft_log::{RETAINED_ENTRIES, RaftLog};
use crate::settings::{Micros, Settings};
use crate::state::{Command, LeadershipState, Lease};

/// The maximum size of the entries in one message, in bytes.
const MAX_MESSAGE_ENTRIES_BYTES: u64 = 64 << 10;
/// Maximum number of unacknowledged append messages to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// The maximum size of proposed entries that are not committed yet, in bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// An action or event for the caller. Outputs must be processed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Make these writes durable before processing the outputs that follow.
    Persist(Vec<DurableWrite>),
    /// Send this message to the voter with this id.
    Send(u64, Vec<u8>),
    /// The voters have committed this lease.
    LeaseBegun(Lease),
    /// The voter with this id, possibly the local one, uses a store other than its registered one. Its messages are ignored.
    StoreMismatch(u64),
}

/// One voter of a fleet.
pub struct Voter {
    settings: Settings,
    node: RawNode<RaftLog>,
    state: LeadershipState,
    /// The identity of the store.
    store_identity: u64,
    seed: u64,
    /// When the current tick interval began.
    last_tick_at: Micros,
    /// The voter does not vote before this time; see [`Settings::vote_delay_after_start`].
    no_votes_until: Micros,
    renewal: LeaseRenewal,
    /// The last term in which the voter proposed a lease.
    lease_requested_in_term: u64,
    applied_index: u64,
    reported_store_mismatches: BTreeSet<u64>,
    outputs: Vec<Output>,
}

impl Voter {
    /// Starts a voter from its durable state. The identity of a new store is generated from the seed, and is its first write.
    ///
    /// # Errors
    ///
    /// Fails if the durable state cannot be decoded, if a store in use has no identity, or if the Raft library rejects the
    /// state or the settings.
    pub fn new(
        settings: Settings,
        durable: DurableState,
        seed: u64,
        now: Micros,
    ) -> Result<Voter, StoreError> {
        let mut outputs = Vec::new();
        let store_identity = match durable.identity {
            Some(identity) => identity,
            None if durable.has_history() => return Err(StoreError::MissingIdentity),
            None => {
                let identity = Pcg64Mcg::seed_from_u64(seed).next_u64();
                outputs.push(Output::Persist(vec![DurableWrite::Identity(identity)]));
                identity
            }
        };
        let RestoredState {
            log,
            state,
            applied_index,
        } = durable.restore(&settings.voters)?;
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let mut voter = Voter {
            node: RawNode::new(&raft_config(&settings, applied_index), log, &logger)?,
            state,
            store_identity,
            seed,
            last_tick_at: now,
            no_votes_until: now + settings.vote_delay_after_start(),
            renewal: LeaseRenewal::default(),
            lease_requested_in_term: 0,
            applied_index,
            reported_store_mismatches: BTreeSet::new(),
            outputs,
            settings,
        };
        voter.process_ready(now);
        Ok(voter)
    }

    /// Takes the pending outputs, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The latest time at which [`Voter::tick`] must be called.
    pub fn next_timeout(&self) -> Micros {
        self.last_tick_at + self.settings.tick_interval
    }

    /// Advances the Raft timer by one tick, if it is due. A pause of the process of any length counts as one tick,
    /// because heartbeats of the leader may have arrived during it that are not read yet.
    pub fn tick(&mut self, now: Micros) {
        if now < self.next_timeout() {
            return;
        }
        let delay = now - self.next_timeout();
        self.last_tick_at = if delay > self.settings.tick_interval {
            now
        } else {
            self.next_timeout()
        };
        self.node.tick();
        if self.is_leader() {
            self.start_renewal_round(now);
        }
        self.process_ready(now);
    }

    /// Handles a message from another voter. A message that cannot be decoded is ignored.
    pub fn handle_message(&mut self, now: Micros, bytes: &[u8]) {
        let Some(received) = envelope::decode(bytes) else {
            return;
        };
        if received.message.to != self.settings.id {
            return;
        }
        if let Some(voter) = self.mismatched_store(&received) {
            if self.reported_store_mismatches.insert(voter) {
                self.outputs.push(Output::StoreMismatch(voter));
            }
            return;
        }
        if !self.may_step(now, &received.message) {
            return;
        }
        let ReceivedMessage {
            from,
            store,
            message,
            ..
        } = received;
        let is_unregistered = !self.state.stores.contains_key(&from);
        // An error is ignored: a message that the library rejects has no effect, as if it had been lost.
        let _ = self.node.step(message);
        if is_unregistered && self.is_leader() {
            self.propose(&Command::RegisterStore { voter: from, store });
        }
        self.process_ready(now);
    }

    /// Returns the voter that uses a store other than its registered one, if a message shows that. Such a voter may have lost
    /// the record of its votes and of the entries that it acknowledged.
    fn mismatched_store(&self, received: &ReceivedMessage) -> Option<u64> {
        let expects_another = received
            .expected_store
            .is_some_and(|expected| expected != self.store_identity);
        if expects_another {
            Some(self.settings.id)
        } else if !self.state.accepts_store(received.from, received.store) {
            Some(received.from)
        } else {
            None
        }
    }

    /// Whether a message may be passed to the library.
    fn may_step(&self, now: Micros, message: &Message) -> bool {
        match message.get_msg_type() {
            // The library panics if the commit index of a heartbeat is beyond the end of the log.
            MessageType::MsgHeartbeat => {
                message.commit <= self.node.store().last_index().unwrap_or(0)
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => {
                now >= self.no_votes_until
            }
            _ => true,
        }
    }

    /// The epoch in which this voter may act as the leader now. The lease is valid from the start of its renewal round, and
    /// ends before a majority can elect another leader, provided that no clock exceeds [`Settings::max_clock_drift`].
    pub fn acting_epoch(&self, now: Micros) -> Option<u64> {
        let own_lease = self
            .state
            .latest_lease
            .filter(|lease| lease.leader == self.settings.id)?;
        let has_current_lease = self.is_leader()
            && self.lease_requested_in_term == self.node.raft.term
            && self.renewal.is_valid(now);
        has_current_lease.then_some(own_lease.epoch)
    }

    /// The replicated state, up to the last entry that this voter has applied.
    pub fn state(&self) -> &LeadershipState {
        &self.state
    }

    /// The number of entries in this voter's log.
    pub fn log_length(&self) -> u64 {
        self.node.store().len()
    }

    fn is_leader(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    fn propose(&mut self, command: &Command) {
        if let Ok(data) = postcard::to_allocvec(command) {
            // An error is ignored: the command is proposed again when its cause occurs again.
            let _ = self.node.propose(Vec::new(), data);
        }
    }

    /// Requests confirmation from a majority that this voter is still the leader.
    fn start_renewal_round(&mut self, now: Micros) {
        let round = self.renewal.start_round(now);
        self.node.read_index(round.to_be_bytes().to_vec());
    }

    /// Processes the library's ready states until there are none left.
    fn process_ready(&mut self, now: Micros) {
        self.set_election_timeout();
        if !self.is_leader() {
            self.renewal.reset();
        } else if self.lease_requested_in_term != self.node.raft.term {
            self.request_lease(now);
        }
        while self.node.has_ready() {
            let ready = self.node.ready();
            self.handle_ready(ready);
        }
        self.compact();
    }

    /// Replaces the library's random election timeout by one that depends only on the seed and the term, so that the outputs
    /// are deterministic.
    fn set_election_timeout(&mut self) {
        let min_ticks = self.settings.election_ticks as usize;
        let term = self.node.raft.term;
        let random = Pcg64Mcg::seed_from_u64(self.seed ^ term.wrapping_mul(0x9e37_79b9)).next_u64();
        let ticks = min_ticks + random as usize % min_ticks.max(1);
        self.node.raft.set_randomized_election_timeout(ticks);
    }

    /// Proposes a lease, once for each term in which this voter is elected.
    fn request_lease(&mut self, now: Micros) {
        self.lease_requested_in_term = self.node.raft.term;
        let voter = self.settings.id;
        self.propose(&Command::BeginLease { leader: voter });
        if !self.state.stores.contains_key(&voter) {
            self.propose(&Command::RegisterStore {
                voter,
                store: self.store_identity,
            });
        }
        self.start_renewal_round(now);
    }

    fn handle_ready(&mut self, mut ready: Ready) {
        self.extend_lease(&ready.take_read_states());
        let writes = self.store_ready(&mut ready);
        if !writes.is_empty() {
            self.outputs.push(Output::Persist(writes));
        }
        let messages = ready.take_messages();
        let messages_after_persist = ready.take_persisted_messages();
        self.send(messages);
        self.send(messages_after_persist);
        self.apply_committed(ready.take_committed_entries());
        let mut light_ready = self.node.advance(ready);
        if let Some(index) = light_ready.commit_index() {
            self.node.store().set_commit_index(index);
        }
        self.send(light_ready.take_messages());
        self.apply_committed(light_ready.take_committed_entries());
        self.node.advance_apply();
    }

    /// Stores the snapshot, entries and hard state of a ready state in the log. Returns the writes that make them durable.
    fn store_ready(&mut self, ready: &mut Ready) -> Vec<DurableWrite> {
        let mut writes = Vec::new();
        if !ready.snapshot().is_empty() {
            writes.extend(self.install_snapshot(ready.snapshot().clone()));
        }
        let entries = ready.take_entries();
        if let Some(first) = entries.first() {
            let encoded = entries
                .iter()
                .filter_map(|entry| entry.write_to_bytes().ok())
                .collect();
            writes.push(DurableWrite::Entries {
                first_index: first.index,
                entries: encoded,
            });
            self.node.store().append(&entries);
        }
        if let Some(hard_state) = ready.hs() {
            writes.extend(hard_state.write_to_bytes().ok().map(DurableWrite::Vote));
            self.node.store().set_hard_state(hard_state.clone());
        }
        writes
    }

    /// Extends the lease by the rounds that a majority has confirmed.
    fn extend_lease(&mut self, confirmed: &[ReadState]) {
        let duration = self.settings.lease_duration();
        for read_state in confirmed {
            if let Ok(round) = read_state.request_ctx.as_slice().try_into() {
                self.renewal
                    .confirm_round(u64::from_be_bytes(round), duration);
            }
        }
    }

    /// Installs a received snapshot. Returns the write that makes it durable.
    fn install_snapshot(&mut self, snapshot: Snapshot) -> Option<DurableWrite> {
        self.state = postcard::from_bytes(snapshot.get_data()).ok()?;
        self.applied_index = snapshot.get_metadata().index;
        let write = snapshot.write_to_bytes().ok().map(DurableWrite::Snapshot);
        self.node.store().install_snapshot(snapshot);
        write
    }

    fn apply_committed(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied_index = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal || entry.data.is_empty() {
                continue;
            }
            let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else {
                continue;
            };
            if let Some(lease) = self.state.apply(&command) {
                self.outputs.push(Output::LeaseBegun(lease));
            }
        }
    }

    /// Replaces old entries by a snapshot once the log is too long.
    fn compact(&mut self) {
        if self.log_length() <= 2 * RETAINED_ENTRIES {
            return;
        }
        let Some(snapshot) = self.make_snapshot() else {
            return;
        };
        if let Ok(bytes) = snapshot.write_to_bytes() {
            let write = DurableWrite::Snapshot(bytes);
            self.outputs.push(Output::Persist(vec![write]));
        }
        self.node.store().compact(snapshot);
    }

    /// Makes a snapshot of the replicated state; `None` if encoding fails or the term of the last applied entry is unknown.
    fn make_snapshot(&self) -> Option<Snapshot> {
        let data = postcard::to_allocvec(&self.state).ok()?;
        let term = self.node.store().term(self.applied_index).ok()?;
        let mut snapshot = Snapshot::default();
        snapshot.set_data(data.into());
        let metadata = snapshot.mut_metadata();
        metadata.index = self.applied_index;
        metadata.term = term;
        metadata.set_conf_state(ConfState {
            voters: self.settings.voters.clone(),
            ..ConfState::default()
        });
        Some(snapshot)
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = message.to;
            let expected_store = self.state.stores.get(&to).copied();
            let encoded = envelope::encode(
                &message,
                self.settings.id,
                self.store_identity,
                expected_store,
            );
            self.outputs
                .extend(encoded.map(|bytes| Output::Send(to, bytes)));
        }
    }
}

/// The configuration of the Raft library.
fn raft_config(settings: &Settings, applied_index: u64) -> Config {
    let election_ticks = settings.election_ticks as usize;
    Config {
        id: settings.id,
        election_tick: election_ticks,
        heartbeat_tick: settings.heartbeat_ticks as usize,
        applied: applied_index,
        max_size_per_msg: MAX_MESSAGE_ENTRIES_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        // The range of the library's random election timeout; see `Voter::set_election_timeout`.
        min_election_tick: election_ticks,
        max_election_tick: 2 * election_ticks,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
