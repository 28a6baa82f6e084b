//! A drill: real placers with a faulty network between them, placing for stand-in owners on stand-in hosts all the while.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::Duration;

use maplethread_config::FleetSettings;
use maplethread_emulator::report::Report;
use maplethread_emulator::run_options::{MembershipTest, RunEvent};
use maplethread_emulator::scenario::Scenario;
use maplethread_emulator::scenario_run;
use maplethread_placer::Clock;
use serde_json::{Value, json};

use crate::checker::{CheckResult, ProcessHistory, check};
use crate::observers::{Observations, Observers};
use crate::proxy::{NetworkProxy, Traffic};
use crate::schedule::{NetworkStep, Schedule};

/// What to play.
#[derive(Clone, Debug)]
pub struct FaultInjectionRun {
    /// What befalls whom.
    pub schedule: Schedule,
    /// Seed of the network, the owners and the placers.
    pub seed: u64,
    /// The program whose placers are run.
    pub program: PathBuf,
    /// Keep the placers' settings and logs here.
    pub keep_files_in: Option<PathBuf>,
    /// Tell how it goes, on standard error.
    pub shows_progress: bool,
    /// Placers keep no view: to compare placing.
    pub without_view: bool,
    /// Once this is set the drill ends with an error, and so do its processes.
    pub interrupted: Arc<AtomicBool>,
}

/// What it came to.
pub struct RunReport {
    /// Of the fleet's view.
    pub membership: CheckResult,
    /// Of the five rules, with service and times.
    pub service: Report,
    /// What the network carried.
    pub traffic: Traffic,
    /// How long the drill lasted, s.
    pub duration_s: f64,
}

impl RunReport {
    /// Whether all held.
    pub fn passed(&self) -> bool {
        self.membership.violations.is_empty() && self.service.is_good()
    }

    /// As one object.
    pub fn to_json(&self) -> Value {
        let per_member =
            self.traffic.bytes as f64 / self.duration_s / self.membership.members.max(1) as f64;
        json!({
            "fleet": self.membership.to_json(), "day": self.service.json(),
            "network": {
                "datagrams": self.traffic.sent, "bytes": self.traffic.bytes, "passed_on": self.traffic.delivered,
                "strangers": self.traffic.from_unknown_senders, "bytes_a_second_a_member": per_member.round(),
            },
        })
    }
}

/// The drill's key.
const KEY: &str = "2b7e151628aed2a6abf7158809cf4f3c762e7160f38b4da56a784d9045190cfe";

/// Plays a drill.
pub fn run(drill: &FaultInjectionRun) -> io::Result<RunReport> {
    let schedule = &drill.schedule;
    let proxy = NetworkProxy::start(schedule.placers, drill.seed)?;
    let temporary = tempfile::tempdir()?;
    let key_file = temporary.path().join("fleet.key");
    std::fs::write(&key_file, KEY)?;
    let faster = u64::from(schedule.faster.max(1));
    let section = |place: usize| FleetSettings {
        name: "drill".to_owned(),
        listen: proxy.listen(place),
        advertise: Some(proxy.advertise(place)),
        seeds: (0..schedule.placers.min(3))
            .map(|p| proxy.advertise(p))
            .collect(),
        key_file: key_file.clone(),
        probe_interval_ms: 1000 / faster,
        probe_timeout_ms: 300 / faster,
        indirect_probes: 3,
        suspicion_multiplier: 5,
        gossip_interval_ms: 200 / faster,
        sync_interval_ms: 2000 / faster,
        discovery_interval_ms: 5000 / faster,
        retention_s: schedule.forget_after_s,
        max_members: 4096,
    };
    let (news, heard) = channel();
    let sections = (0..schedule.placers)
        .filter(|_| !drill.without_view)
        .map(section)
        .collect();
    let fleet = MembershipTest {
        sections,
        faults: schedule.placer_faults(),
        events: news,
    };
    let mut scenario = Scenario::standard().with_duration(schedule.faults_s + schedule.settle_s);
    scenario.placers = schedule.placers as u32;
    scenario = scenario.with_host_count(schedule.hosts);
    // What befalls hosts and placers is the drill's own.
    scenario.faults.clear();
    let options = scenario_run::RunOptions {
        scenario,
        seed: drill.seed,
        program: drill.program.clone(),
        use_random_choice: false,
        mutant: 0,
        consul: None,
        show_progress: drill.shows_progress,
        kept_folder: drill.keep_files_in.clone(),
        trace_folder: None,
        arrivals: None,
        membership: Some(fleet),
        interrupted: drill.interrupted.clone(),
    };
    let steps = schedule.network_steps();
    let ends = schedule.faults_s + schedule.settle_s;
    let clock = Clock::start();
    let started = clock.now();
    std::thread::scope(|scope| {
        let proxy = &proxy;
        let watching = scope.spawn(move || watch(&heard, proxy, steps, ends));
        // The sender goes with the options, so the watcher ends with the day.
        let day = scenario_run::run_scenario(&options);
        drop(options);
        let (news, watched, begun) = watching
            .join()
            .map_err(|_| io::Error::other("the watcher panicked"))?;
        let day = day?;
        let quiet = begun + (schedule.faults_s * 1e6) as u64;
        let faults: Vec<(u64, u64)> = schedule
            .fault
            .iter()
            .filter(|f| {
                !matches!(
                    f.kind,
                    crate::schedule::Kind::Kill { .. } | crate::schedule::Kind::Lose { .. }
                )
            })
            .map(|f| {
                (
                    begun + (f.at_s * 1e6) as u64,
                    begun + ((f.at_s + f.for_s) * 1e6) as u64,
                )
            })
            .collect();
        let end = begun + (ends * 1e6) as u64;
        let fleet = check(
            &ProcessHistory::from_events(&news),
            &watched,
            &faults,
            quiet,
            end,
        );
        let lasted_s = (clock.now() - started) as f64 / 1e6;
        Ok(RunReport {
            membership: fleet,
            service: day,
            traffic: proxy.traffic(),
            duration_s: lasted_s,
        })
    })
}

/// Follows the placers' views and takes the network's steps until the drill is over; what the day told, what placers
/// showed, and when the drill began.
fn watch(
    heard: &Receiver<RunEvent>,
    proxy: &NetworkProxy,
    steps: Vec<(u64, NetworkStep)>,
    ends_s: f64,
) -> (Vec<RunEvent>, Observations, u64) {
    let clock = Clock::start();
    let (mut all, mut begun) = (Vec::new(), None);
    let mut watchers = Some(Observers::new());
    let mut watched = Observations::default();
    let mut steps = steps.into_iter().peekable();
    loop {
        match heard.recv_timeout(Duration::from_millis(5)) {
            Ok(news) => {
                match (news, &mut watchers) {
                    (RunEvent::PlacerServing(_, number, api), Some(watchers)) => {
                        watchers.follow(number, api)
                    }
                    (RunEvent::Started(at), _) => begun = Some(at),
                    _ => {}
                }
                all.push(news);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        let Some(begun) = begun else { continue };
        let now = clock.now().saturating_sub(begun);
        while let Some((_, step)) = steps.next_if(|s| s.0 <= now) {
            step.apply(&mut proxy.faults());
        }
        // What is shown once owners have stopped, and placers are told to end, says nothing of the drill.
        if now as f64 >= ends_s * 1e6
            && let Some(watchers) = watchers.take()
        {
            watched = watchers.finish();
        }
    }
    if let Some(watchers) = watchers {
        watched = watchers.finish();
    }
    (all, watched, begun.unwrap_or(0))
}
