//! A fault injection run: real placers with a faulty network between them, which place tasks of emulated owners on
//! emulated hosts throughout.

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

/// The options of a run.
#[derive(Clone, Debug)]
pub struct FaultInjectionRun {
    /// The faults to inject, and the number of placers and hosts.
    pub schedule: Schedule,
    /// Seed of all randomness in the network, the owners and the placers.
    pub seed: u64,
    /// Path of the program that is run as placer.
    pub program: PathBuf,
    /// Folder in which the placers' settings and logs are kept.
    pub kept_folder: Option<PathBuf>,
    /// Print the progress on standard error.
    pub shows_progress: bool,
    /// Run the placers without membership, to compare the placement service with and without it.
    pub without_membership: bool,
    /// Once this is set, the run ends with an error and its processes are stopped.
    pub interrupted: Arc<AtomicBool>,
}

/// The result of a run.
pub struct RunReport {
    /// Result of the membership check.
    pub membership: CheckResult,
    /// Report on the five placement rules, with service and latencies.
    pub service: Report,
    /// Traffic of the network between the placers.
    pub traffic: Traffic,
    /// Duration of the run, s.
    pub duration_s: f64,
}

impl RunReport {
    /// Whether neither check found a violation.
    pub fn passed(&self) -> bool {
        self.membership.violations.is_empty() && self.service.has_passed()
    }

    /// The result as a JSON object.
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

/// The membership key of the run.
const FLEET_KEY: &str = "2b7e151628aed2a6abf7158809cf4f3c762e7160f38b4da56a784d9045190cfe";

/// Executes a run.
///
/// # Errors
///
/// If the network, the placers or the emulated owners and hosts cannot be started, if one of them fails, or if the run
/// is interrupted.
pub fn run(run_options: &FaultInjectionRun) -> io::Result<RunReport> {
    let schedule = &run_options.schedule;
    let proxy = NetworkProxy::start(schedule.placers, run_options.seed)?;
    let temp_dir = tempfile::tempdir()?;
    let key_file = temp_dir.path().join("fleet.key");
    std::fs::write(&key_file, FLEET_KEY)?;
    let speedup = u64::from(schedule.speedup.max(1));
    let section = |node: usize| FleetSettings {
        name: "drill".to_owned(),
        listen: proxy.listen(node),
        advertise: Some(proxy.advertise(node)),
        seeds: (0..schedule.placers.min(3))
            .map(|p| proxy.advertise(p))
            .collect(),
        key_file: key_file.clone(),
        probe_interval_ms: 1000 / speedup,
        probe_timeout_ms: 300 / speedup,
        indirect_probes: 3,
        suspicion_multiplier: 5,
        gossip_interval_ms: 200 / speedup,
        sync_interval_ms: 2000 / speedup,
        discovery_interval_ms: 5000 / speedup,
        retention_s: schedule.forget_after_s,
        max_members: 4096,
    };
    let (event_sender, event_receiver) = channel();
    let sections = (0..schedule.placers)
        .filter(|_| !run_options.without_membership)
        .map(section)
        .collect();
    let membership_test = MembershipTest {
        sections,
        faults: schedule.placer_faults(),
        events: event_sender,
    };
    let mut scenario =
        Scenario::standard().with_duration(schedule.fault_phase_s + schedule.settle_s);
    scenario.placers = schedule.placers as u32;
    scenario = scenario.with_host_count(schedule.hosts);
    // Only the faults of this run's schedule are injected, not those of the standard scenario.
    scenario.faults.clear();
    let options = scenario_run::RunOptions {
        scenario,
        seed: run_options.seed,
        program: run_options.program.clone(),
        use_random_choice: false,
        mutant: 0,
        consul: None,
        show_progress: run_options.shows_progress,
        log_folder: run_options.kept_folder.clone(),
        trace_folder: None,
        arrivals: None,
        membership: Some(membership_test),
        interrupted: run_options.interrupted.clone(),
    };
    let steps = schedule.network_steps();
    let end_s = schedule.fault_phase_s + schedule.settle_s;
    let clock = Clock::start();
    let run_started_at = clock.now();
    std::thread::scope(|scope| {
        let proxy = &proxy;
        let observer_thread =
            scope.spawn(move || observe_run(&event_receiver, proxy, steps, end_s));
        // The options own the event sender. Dropping them ends the observer thread.
        let report = scenario_run::run_scenario(&options);
        drop(options);
        let (events, observations, started_at) = observer_thread
            .join()
            .map_err(|_| io::Error::other("the observer thread panicked"))?;
        let report = report?;
        let faults_ended_at = started_at + (schedule.fault_phase_s * 1e6) as u64;
        let faults: Vec<(u64, u64)> = schedule
            .faults
            .iter()
            .filter(|f| {
                !matches!(
                    f.kind,
                    crate::schedule::FaultKind::Kill { .. }
                        | crate::schedule::FaultKind::Lose { .. }
                )
            })
            .map(|f| {
                (
                    started_at + (f.at_s * 1e6) as u64,
                    started_at + ((f.at_s + f.duration_s) * 1e6) as u64,
                )
            })
            .collect();
        let end = started_at + (end_s * 1e6) as u64;
        let check_result = check(
            &ProcessHistory::from_events(&events),
            &observations,
            &faults,
            faults_ended_at,
            end,
        );
        let elapsed_s = (clock.now() - run_started_at) as f64 / 1e6;
        Ok(RunReport {
            membership: check_result,
            service: report,
            traffic: proxy.traffic(),
            duration_s: elapsed_s,
        })
    })
}

/// Observes the placers' views and applies the network's faults until the run is over. Returns the events of the run,
/// the observations, and the start time of the run in Unix time, µs.
fn observe_run(
    event_receiver: &Receiver<RunEvent>,
    proxy: &NetworkProxy,
    steps: Vec<(u64, NetworkStep)>,
    end_s: f64,
) -> (Vec<RunEvent>, Observations, u64) {
    let clock = Clock::start();
    let (mut events, mut start) = (Vec::new(), None);
    let mut observers = Some(Observers::new());
    let mut observations = Observations::default();
    let mut steps = steps.into_iter().peekable();
    loop {
        match event_receiver.recv_timeout(Duration::from_millis(5)) {
            Ok(event) => {
                match (event, &mut observers) {
                    (RunEvent::PlacerServing(_, number, api), Some(observers)) => {
                        observers.follow(number, api)
                    }
                    (RunEvent::Started(at), _) => start = Some(at),
                    _ => {}
                }
                events.push(event);
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        let Some(start) = start else { continue };
        let now = clock.now().saturating_sub(start);
        while let Some((_, step)) = steps.next_if(|s| s.0 <= now) {
            step.apply(&mut proxy.faults());
        }
        // After this time owners stop and placers are terminated, so later views must not be checked.
        if now as f64 >= end_s * 1e6
            && let Some(observers) = observers.take()
        {
            observations = observers.finish();
        }
    }
    if let Some(observers) = observers {
        observations = observers.finish();
    }
    (events, observations, start.unwrap_or(0))
}
