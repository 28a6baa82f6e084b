//! How to run a scenario.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Sender;

use maplethread_config::{DampingMode, FleetSettings};

use crate::demand::Arrival;
use crate::scenario::Scenario;

/// How to run a scenario.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of everything drawn.
    pub seed: u64,
    /// The program whose `placer` subcommand is run.
    pub program: PathBuf,
    /// Use the random-choice decider.
    pub use_random_choice: bool,
    /// Violate this rule (1 to 5; 6 for rule 1 around pauses only) on purpose; 0 for none.
    pub mutant: u8,
    /// Hosts and placers register in a catalogue, with this way of damping.
    pub consul: Option<DampingMode>,
    /// Show the progress on standard error.
    pub show_progress: bool,
    /// Keep the placers' logs and settings in this folder.
    pub kept_folder: Option<PathBuf>,
    /// Placers write trace files into this folder.
    pub trace_folder: Option<PathBuf>,
    /// First requests of a recorded run, in place of those that the scenario draws.
    pub arrivals: Option<Vec<Arrival>>,
    /// The placers are members of a group, and a membership test adds faults of theirs.
    pub membership: Option<MembershipTest>,
    /// Once this is set the run ends at once with an error, and so do its processes.
    pub interrupted: Arc<AtomicBool>,
}

impl RunOptions {
    /// Arguments of the run's placers besides their settings.
    pub(crate) fn placer_arguments(&self) -> Vec<String> {
        let mut arguments = Vec::new();
        if self.kept_folder.is_some() {
            arguments.extend(["--log", "debug"].map(str::to_owned));
        } else if self.mutant > 0 {
            // Its violations are counted from the log.
            arguments.extend(["--log", "info"].map(str::to_owned));
        }
        if self.use_random_choice || self.mutant > 0 {
            arguments.extend(["--decider", "random", "--rogue"].map(str::to_owned));
            arguments.push(self.mutant.to_string());
        }
        arguments
    }
}

/// What a membership test adds to a run.
#[derive(Clone, Debug)]
pub struct MembershipTest {
    /// `[fleet]` of each placer, by its number.
    pub sections: Vec<FleetSettings>,
    /// Faults of placers, with their times in µs after the start of the run.
    pub faults: Vec<(u64, PlacerFault)>,
    /// Receives what placers did and which faults were injected.
    pub events: Sender<RunEvent>,
}

/// A fault of the placer of a number, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerFault {
    /// It is killed.
    Kill(usize),
    /// The load balancer has noticed that it is down.
    MarkDown(usize),
    /// It is started again.
    Restart(usize),
    /// It is paused.
    Pause(usize),
    /// It is resumed.
    Resume(usize),
    /// It is told to end.
    Terminate(usize),
    /// It is killed if it has not ended by itself.
    KillIfRunning(usize),
}

/// What happened in a run, and when: Unix time, µs.
#[derive(Clone, Copy, Debug)]
pub enum RunEvent {
    /// A placer serves at this address.
    PlacerServing(u64, usize, SocketAddr),
    /// All serve, and owners begin to send requests.
    Started(u64),
    /// This fault was injected.
    FaultInjected(u64, PlacerFault),
}
