//! How to play a day.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Sender;

use maplethread_config::{DampingMode, FleetSettings};

use crate::demand::Arrival;
use crate::scenario::Scenario;

/// How to play a day.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The day.
    pub scenario: Scenario,
    /// Seed of everything drawn.
    pub seed: u64,
    /// The program whose `placer` subcommand is run.
    pub program: PathBuf,
    /// Use the random-choice decider.
    pub use_random_choice: bool,
    /// Break this rule (1 to 5) on purpose; 0 for none.
    pub mutant: u8,
    /// Hosts and placers register in a catalogue, with this way of damping.
    pub consul: Option<DampingMode>,
    /// Tell how it goes, on standard error.
    pub show_progress: bool,
    /// Keep the placers' logs and settings in this folder.
    pub kept_folder: Option<PathBuf>,
    /// Placers write trace files into this folder.
    pub trace_folder: Option<PathBuf>,
    /// First asks of a recorded day, in place of those that the scenario draws.
    pub arrivals: Option<Vec<Arrival>>,
    /// The placers keep a view of their fleet, and a drill adds what befalls them.
    pub membership: Option<MembershipTest>,
    /// Once this is set the day ends at once with an error, and so do its processes.
    pub interrupted: Arc<AtomicBool>,
}

impl RunOptions {
    /// Arguments of the day's placers besides their settings.
    pub(crate) fn placer_arguments(&self) -> Vec<String> {
        let mut arguments = Vec::new();
        if self.kept_folder.is_some() {
            arguments.extend(["--log", "debug"].map(str::to_owned));
        } else if self.mutant > 0 {
            // Its moves against the rule are counted from the log.
            arguments.extend(["--log", "info"].map(str::to_owned));
        }
        if self.use_random_choice || self.mutant > 0 {
            arguments.extend(["--decider", "random", "--rogue"].map(str::to_owned));
            arguments.push(self.mutant.to_string());
        }
        arguments
    }
}

/// What a drill of the fleet adds to a day.
#[derive(Clone, Debug)]
pub struct MembershipTest {
    /// `[fleet]` of each placer, by its number.
    pub sections: Vec<FleetSettings>,
    /// What befalls placers, µs after the day began.
    pub faults: Vec<(u64, PlacerFault)>,
    /// Is told what placers did and what befell them.
    pub events: Sender<RunEvent>,
}

/// What befalls the placer of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerFault {
    /// It is killed.
    Kill(usize),
    /// Owners' front layer has noticed that it is gone.
    MarkDown(usize),
    /// It is started again.
    Restart(usize),
    /// It stands still.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It is told to end.
    Terminate(usize),
    /// It is ended if it did not by itself.
    KillIfRunning(usize),
}

/// What happened on a day, and when: Unix time, µs.
#[derive(Clone, Copy, Debug)]
pub enum RunEvent {
    /// A placer serves at this address.
    PlacerServing(u64, usize, SocketAddr),
    /// All serve, and owners begin to ask.
    Started(u64),
    /// This befell a placer.
    FaultInjected(u64, PlacerFault),
}
