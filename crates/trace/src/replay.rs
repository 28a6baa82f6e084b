//! Feeds the recorded turns to a fresh policy and compares all of its actions.

use std::collections::BTreeMap;

use maplethread::{Action, Placer, Settings, SettingsError};

use crate::header::Header;
use crate::record::{Record, TimedRecord, Turn};

/// Why a trace can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The file is not the first of its run, so that the policy's state at its beginning is not known.
    #[error("this is part {0} of its run; a replay begins with part 0")]
    NotFirstPart(u32),
    /// The header has no settings: another policy decided, or the turns are not whole.
    #[error("something else than the module decided here")]
    NoSettings,
    /// The settings make no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Where a replay came to another decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Which turn, from 0.
    pub turn_index: u64,
    /// When, µs.
    pub time_us: u64,
    /// What the trace has from the first differing action on.
    pub recorded: Vec<Action>,
    /// What the module now does.
    pub replayed: Vec<Action>,
}

/// How a replay went.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayResult {
    /// Turns fed.
    pub turns: u64,
    /// Actions compared.
    pub compared_actions: u64,
    /// Turns in which some action differed.
    pub differing_turns: u64,
    /// The first of them.
    pub first_difference: Option<Difference>,
    /// Actions by what they are: recorded, and replayed. What the module would do on the recorded events; events that
    /// its other decisions would have led to are not in them.
    pub actions_by_kind: BTreeMap<&'static str, [u64; 2]>,
    /// Offers by host's number: recorded, and replayed.
    pub offers_by_host: BTreeMap<u32, [u64; 2]>,
    /// Turns that could not be compared, since the trace has a gap before them.
    pub turns_after_gap: u64,
}

/// A replay on its way.
pub struct Replay {
    placer: Placer,
    actions: Vec<Action>,
    is_after_gap: bool,
    /// What was found so far.
    pub result: ReplayResult,
}

impl Replay {
    /// A replay by a fresh policy with the settings and the seed of the trace.
    ///
    /// # Errors
    ///
    /// The trace can't be replayed.
    pub fn new(header: &Header) -> Result<Replay, ReplayError> {
        Replay::with_settings(header, None)
    }

    /// The same with other settings, to see what these would have led to.
    ///
    /// # Errors
    ///
    /// The trace can't be replayed, or the settings make no sense.
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

    /// Takes in a record.
    pub fn feed(&mut self, stamped: &TimedRecord) {
        match &stamped.record {
            Record::Turn(_) if self.is_after_gap => self.result.turns_after_gap += 1,
            Record::Turn(turn) => self.replay_turn(stamped.at, turn),
            Record::Gap { turns, .. } if *turns > 0 => self.is_after_gap = true,
            _ => {}
        }
    }

    /// Blocks are missing here: what follows can't be compared.
    pub fn mark_gap(&mut self) {
        self.is_after_gap = true;
    }

    fn replay_turn(&mut self, at: u64, turn: &Turn) {
        self.actions.clear();
        self.placer.turn(turn.now, &turn.events, &mut self.actions);
        for (which, actions) in [&turn.actions, &self.actions].into_iter().enumerate() {
            for action in actions {
                self.result
                    .actions_by_kind
                    .entry(action_kind(action))
                    .or_default()[which] += 1;
                if let Action::Offer { machine, .. } = action {
                    self.result.offers_by_host.entry(machine.0).or_default()[which] += 1;
                }
            }
        }
        let same = turn
            .actions
            .iter()
            .zip(&self.actions)
            .take_while(|(a, b)| a == b)
            .count();
        let number = self.result.turns;
        self.result.turns += 1;
        self.result.compared_actions += turn.actions.len() as u64;
        if same < turn.actions.len().max(self.actions.len()) {
            self.result.differing_turns += 1;
            self.result
                .first_difference
                .get_or_insert_with(|| Difference {
                    turn_index: number,
                    time_us: at,
                    recorded: turn.actions[same..].to_vec(),
                    replayed: self.actions[same..].to_vec(),
                });
        }
    }
}

impl ReplayResult {
    /// The share of the recorded offers that would go to other hosts, as far as counts by host tell.
    pub fn moved_offer_share(&self) -> f64 {
        let [recorded, replayed] = self
            .actions_by_kind
            .get("offer")
            .copied()
            .unwrap_or_default();
        let whole = [recorded.max(1) as f64, replayed.max(1) as f64];
        let alike = |&[a, b]: &[u64; 2]| (a as f64 / whole[0]).min(b as f64 / whole[1]);
        1.0 - self.offers_by_host.values().map(alike).sum::<f64>()
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
        Action::CloseIdle(_) => "close_idle",
        Action::SendToPeer { .. } => "tell",
        Action::WatchEndpoints { .. } => "listen",
        Action::FetchEndpoints => "lookup",
        Action::Log(_) => "log",
    }
}
