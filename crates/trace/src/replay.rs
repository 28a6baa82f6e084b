//! Feeds the recorded turns to a new policy and compares its actions with the recorded ones.

use std::collections::BTreeMap;

use maplethread::{Action, Placer, Settings, SettingsError};

use crate::header::Header;
use crate::record::{Record, TimedRecord, Turn};

/// Why a trace can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The file is not the first of its run, so the policy's initial state is unknown.
    #[error("file is part {0} of its run; a replay has to start with part 0")]
    NotFirstPart(u32),
    /// The header has no settings: something else decided, or the turns are incomplete, as in a cut or merged trace.
    #[error("no policy settings in the trace header")]
    NoSettings,
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A turn in which the replay decided differently.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The index of the turn, from 0.
    pub turn_index: u64,
    /// The time of the turn, µs.
    pub time_us: u64,
    /// The recorded actions, from the first differing one.
    pub recorded: Vec<Action>,
    /// The replayed actions, from the first differing one.
    pub replayed: Vec<Action>,
}

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayResult {
    /// The number of replayed turns.
    pub turns: u64,
    /// The number of recorded actions in these turns.
    pub compared_actions: u64,
    /// The number of turns in which some action differed.
    pub differing_turns: u64,
    /// The first turn that differed.
    pub first_difference: Option<Difference>,
    /// The number of actions by kind: recorded, and replayed. The replayed ones respond to the recorded events; events
    /// that differing decisions would have caused are not simulated.
    pub actions_by_kind: BTreeMap<&'static str, [u64; 2]>,
    /// The number of offers by host: recorded, and replayed.
    pub offers_by_host: BTreeMap<u32, [u64; 2]>,
    /// The number of turns that could not be compared, since they follow a gap in the trace.
    pub turns_after_gap: u64,
}

/// A replay in progress.
pub struct Replay {
    placer: Placer,
    actions: Vec<Action>,
    is_after_gap: bool,
    /// The result so far.
    pub result: ReplayResult,
}

impl Replay {
    /// Starts a replay by a new policy with the settings and the seed of the trace.
    ///
    /// # Errors
    ///
    /// The trace is not the first part of its run, or has no valid settings.
    pub fn new(header: &Header) -> Result<Replay, ReplayError> {
        Replay::with_settings(header, None)
    }

    /// Starts a replay with other settings if they are given, to compare their decisions with the recorded ones.
    ///
    /// # Errors
    ///
    /// The trace is not the first part of its run or has no settings, or the settings to use are invalid.
    pub fn with_settings(
        header: &Header,
        settings: Option<Settings>,
    ) -> Result<Replay, ReplayError> {
        if header.part != 0 {
            return Err(ReplayError::NotFirstPart(header.part));
        }
        let recorded = header.settings.clone().ok_or(ReplayError::NoSettings)?;
        let settings = settings.unwrap_or(recorded);
        let placer = Placer::new(settings, header.seed)?;
        Ok(Replay {
            placer,
            actions: Vec::new(),
            is_after_gap: false,
            result: ReplayResult::default(),
        })
    }

    /// Processes a record.
    pub fn feed(&mut self, timed_record: &TimedRecord) {
        match &timed_record.record {
            Record::Turn(_) if self.is_after_gap => self.result.turns_after_gap += 1,
            Record::Turn(turn) => self.replay_turn(timed_record.at, turn),
            Record::Gap { turns, .. } if *turns > 0 => self.is_after_gap = true,
            _ => {}
        }
    }

    /// Marks missing blocks; turns after them can't be compared.
    pub fn mark_gap(&mut self) {
        self.is_after_gap = true;
    }

    fn replay_turn(&mut self, at: u64, turn: &Turn) {
        self.actions.clear();
        self.placer.turn(turn.now, &turn.events, &mut self.actions);
        for (column, actions) in [&turn.actions, &self.actions].into_iter().enumerate() {
            for action in actions {
                self.result
                    .actions_by_kind
                    .entry(action_kind(action))
                    .or_default()[column] += 1;
                if let Action::Offer { machine, .. } = action {
                    self.result.offers_by_host.entry(machine.0).or_default()[column] += 1;
                }
            }
        }
        let equal_prefix = turn
            .actions
            .iter()
            .zip(&self.actions)
            .take_while(|(a, b)| a == b)
            .count();
        let turn_index = self.result.turns;
        self.result.turns += 1;
        self.result.compared_actions += turn.actions.len() as u64;
        if equal_prefix < turn.actions.len().max(self.actions.len()) {
            self.result.differing_turns += 1;
            self.result
                .first_difference
                .get_or_insert_with(|| Difference {
                    turn_index,
                    time_us: at,
                    recorded: turn.actions[equal_prefix..].to_vec(),
                    replayed: self.actions[equal_prefix..].to_vec(),
                });
        }
    }
}

impl ReplayResult {
    /// The share of offers that would go to other hosts, estimated from the numbers of offers by host.
    pub fn moved_offer_share(&self) -> f64 {
        let [recorded, replayed] = self
            .actions_by_kind
            .get("offer")
            .copied()
            .unwrap_or_default();
        let totals = [recorded.max(1) as f64, replayed.max(1) as f64];
        let common_share = |&[a, b]: &[u64; 2]| (a as f64 / totals[0]).min(b as f64 / totals[1]);
        1.0 - self.offers_by_host.values().map(common_share).sum::<f64>()
    }
}

fn action_kind(action: &Action) -> &'static str {
    match action {
        Action::Offer { .. } => "offer",
        Action::Cancel(_) => "cancel",
        Action::Reject { .. } => "refuse",
        Action::Fail(_) => "fail",
        Action::Blocked { .. } => "held",
        Action::Migrate(_) => "move",
        Action::SetTimer { .. } => "wake",
        Action::Probe(_) => "probe",
        Action::CloseIdleConnections(_) => "close_idle",
        Action::SendToPeer { .. } => "tell",
        Action::WatchEndpoints { .. } => "listen",
        Action::FetchEndpoints => "lookup",
        Action::Log(_) => "log",
    }
}
