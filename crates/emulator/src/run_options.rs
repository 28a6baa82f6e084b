//! Options of a run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::Sender;

use maplethread_config::{DampingMode, FleetSettings};

use crate::demand::Arrival;
use crate::scenario::Scenario;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// The executable whose `placer` subcommand starts a placer.
    pub program: PathBuf,
    /// Placers use the random-choice decider.
    pub use_random_choice: bool,
    /// The rule (1 to 5; 6 for rule 1 around pauses only) that placers violate on purpose; 0 for none.
    pub mutant: u8,
    /// If set, hosts and placers register in an emulated catalogue, and placers use this damping mode.
    pub consul: Option<DampingMode>,
    /// Print progress to standard error.
    pub show_progress: bool,
    /// Keep the placers' logs and settings in this folder.
    pub log_folder: Option<PathBuf>,
    /// Placers write trace files into this folder.
    pub trace_folder: Option<PathBuf>,
    /// First requests of a recorded run, used instead of arrivals drawn from the seed.
    pub arrivals: Option<Vec<Arrival>>,
    /// If set, the placers form a membership group, and these faults of placers are injected as well.
    pub membership: Option<MembershipTest>,
    /// Once this is set, the run stops with an error and its processes are killed.
    pub interrupted: Arc<AtomicBool>,
}

impl RunOptions {
    /// Command-line arguments of the placers, besides the path of their settings.
    pub(crate) fn placer_arguments(&self) -> Vec<String> {
        let mut arguments = Vec::new();
        if self.log_folder.is_some() {
            arguments.extend(["--log", "debug"].map(str::to_owned));
        } else if self.mutant > 0 {
            // The mutant's violations are counted in the log, where they appear at this level.
            arguments.extend(["--log", "info"].map(str::to_owned));
        }
        if self.use_random_choice || self.mutant > 0 {
            arguments.extend(["--decider", "random", "--rogue"].map(str::to_owned));
            arguments.push(self.mutant.to_string());
        }
        arguments
    }
}

/// The part of a run that tests the placers' membership group.
#[derive(Clone, Debug)]
pub struct MembershipTest {
    /// The `[fleet]` section of each placer's settings, by placer number.
    pub sections: Vec<FleetSettings>,
    /// Faults of placers, with their times in µs after the start of the run.
    pub faults: Vec<(u64, PlacerFault)>,
    /// Receives the events of the run.
    pub events: Sender<RunEvent>,
}

/// A fault of a placer, or the end of one. Placers are given by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacerFault {
    /// The placer is killed.
    Kill(usize),
    /// The load balancer has noticed that the placer is down.
    MarkDown(usize),
    /// The placer is started again.
    Restart(usize),
    /// The placer is paused (`SIGSTOP`).
    Pause(usize),
    /// The placer is resumed (`SIGCONT`).
    Resume(usize),
    /// The placer is asked to terminate (`SIGTERM`).
    Terminate(usize),
    /// The placer is killed if it has not exited by itself.
    KillIfRunning(usize),
}

/// An event of a run, with its Unix time in µs.
#[derive(Clone, Copy, Debug)]
pub enum RunEvent {
    /// The placer of this number serves at this address.
    PlacerServing(u64, usize, SocketAddr),
    /// All placers serve, and owners begin to send requests.
    Started(u64),
    /// This fault was injected.
    FaultInjected(u64, PlacerFault),
}
