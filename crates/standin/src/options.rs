//! How to play a day.

use std::path::PathBuf;

use maplethread_config::Damping;

use crate::demand::Arrival;
use crate::scenario::Scenario;

/// How to play a day.
#[derive(Clone, Debug)]
pub struct Options {
    /// The day.
    pub scenario: Scenario,
    /// Seed of everything drawn.
    pub seed: u64,
    /// The program whose `placer` subcommand is run.
    pub program: PathBuf,
    /// Use the random-choice decider.
    pub random: bool,
    /// Break this rule (1 to 5) on purpose; 0 for none.
    pub rogue: u8,
    /// Hosts and placers register in a catalogue, with this way of damping.
    pub consul: Option<Damping>,
    /// Tell how it goes, on standard error.
    pub progress: bool,
    /// Keep the placers' logs and settings in this folder.
    pub keep: Option<PathBuf>,
    /// Placers write trace files into this folder.
    pub trace: Option<PathBuf>,
    /// First asks of a recorded day, in place of those that the scenario draws.
    pub arrivals: Option<Vec<Arrival>>,
}
