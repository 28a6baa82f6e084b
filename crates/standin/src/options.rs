//! How to play a day.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Sender;

use maplethread_config::{Damping, Fleet};

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
    /// The placers keep a view of their fleet, and a drill adds what befalls them.
    pub fleet: Option<FleetPart>,
    /// Once this is set the day ends at once with an error, and so do its processes.
    pub interrupted: Arc<AtomicBool>,
}

impl Options {
    /// Arguments of the day's placers besides their settings.
    pub(crate) fn placer_arguments(&self) -> Vec<String> {
        let mut arguments = Vec::new();
        if self.keep.is_some() {
            arguments.extend(["--log", "debug"].map(str::to_owned));
        } else if self.rogue > 0 {
            // Its moves against the rule are counted from the log.
            arguments.extend(["--log", "info"].map(str::to_owned));
        }
        if self.random || self.rogue > 0 {
            arguments.extend(["--decider", "random", "--rogue"].map(str::to_owned));
            arguments.push(self.rogue.to_string());
        }
        arguments
    }
}

/// What a drill of the fleet adds to a day.
#[derive(Clone, Debug)]
pub struct FleetPart {
    /// `[fleet]` of each placer, by its number.
    pub sections: Vec<Fleet>,
    /// What befalls placers, µs after the day began.
    pub acts: Vec<(u64, PlacerAct)>,
    /// Is told what placers did and what befell them.
    pub news: Sender<DayNews>,
}

/// What befalls the placer of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerAct {
    /// It is killed.
    Kill(usize),
    /// Owners' front layer has noticed that it is gone.
    Noticed(usize),
    /// It is started again.
    Respawn(usize),
    /// It stands still.
    Pause(usize),
    /// It goes on.
    GoOn(usize),
    /// It is told to end.
    End(usize),
    /// It is ended if it did not by itself.
    Reap(usize),
}

/// What happened on a day, and when: Unix time, µs.
#[derive(Clone, Copy, Debug)]
pub enum DayNews {
    /// A placer serves at this address.
    Serves(u64, usize, SocketAddr),
    /// All serve, and owners begin to ask.
    Begins(u64),
    /// This befell a placer.
    Befell(u64, PlacerAct),
}
