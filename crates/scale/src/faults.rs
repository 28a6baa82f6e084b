//! Faults at scale, each measured second by second from its injection until the fleet has settled.
//!
//! Owners request lost tasks again at once, so the measurement of a fault includes placing these tasks.
//!
//! The worst second of a fault is reported separately for each quantity: the processor time of each placer is that of its
//! own busiest second, and the messages are those of the second with the most bytes on the wire. These may be different
//! seconds. Memory, descriptors and connections are those at the end of the measurement.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use maplethread_capacity::{Fault, MessageCount, Phase, PhaseSample, PointSettings};

use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::phases::wait_settled;
use crate::sampler::{Sampler, Snapshot, process_sample};
use crate::scenario::{RACK_SIZE, ZONE_COUNT};
use crate::sweep_file::Phases;

/// A step of a fault is polled at this interval, and fails after the time-out below.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// The fleet counts as settled once it has been fully connected, with all tasks running, for this number of seconds in a
/// row.
const MIN_SETTLED_SECONDS: usize = 3;

/// Injects a fault and measures its worst second.
pub(crate) fn inject_and_measure(
    fleet: &mut Fleet,
    fault: Fault,
    point: &PointSettings,
    phases: &Phases,
    sampler: Sampler,
) -> Result<PhaseSample, ScaleError> {
    // These two faults end the one before them; every other one starts with a restored fleet.
    if !matches!(fault, Fault::ZoneReturns | Fault::RegionHeals) {
        restore_fleet(fleet, point, phases)?;
    }
    let (owners, stop) = (fleet.owners().clone(), AtomicBool::new(false));
    let tasks = u64::from(point.tasks);
    thread::scope(|scope| {
        // Placer restarts lose no tasks, but would disconnect the clients.
        let resubmits = fault != Fault::PlacerRestarts;
        let (owners, stop) = (&owners, &stop);
        let resubmit_thread =
            resubmits.then(|| scope.spawn(move || owners.resubmit_lost(tasks, stop)));
        let mut observer = FaultObserver {
            sampler,
            tasks,
            snapshots: vec![sampler.snapshot(fleet)],
        };
        let observed = observer.observe(fleet, fault, phases);
        stop.store(true, Ordering::Relaxed);
        let resubmitted = resubmit_thread.map(|thread| thread.join());
        observed?;
        match resubmitted {
            Some(Err(_)) => return Err(ScaleError::NotSettled("owners panicked".to_owned())),
            Some(Ok(result)) => result?,
            None => {}
        }
        observer.worst_second(fleet, fault)
    })
}

/// Undoes the effects of earlier faults.
pub(crate) fn restore_fleet(
    fleet: &mut Fleet,
    point: &PointSettings,
    phases: &Phases,
) -> Result<(), ScaleError> {
    fleet.start_dead_workers();
    fleet.reconnect_workers();
    fleet.wait_connected()?;
    fleet.owners().run_tasks(u64::from(point.tasks))?;
    wait_settled(fleet, phases)
}

/// The workers of the first rack. Worker numbers rotate over the zones, so a rack has every `ZONE_COUNT`-th worker.
fn rack_workers(workers: usize) -> impl Iterator<Item = usize> {
    (0..workers).step_by(ZONE_COUNT).take(RACK_SIZE)
}

fn restart_workers(
    fleet: &Fleet,
    phases: &Phases,
    observer: &mut FaultObserver,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    for n in 0..phases.worker_restarts as usize {
        let at = start + Duration::from_secs_f64(n as f64 * phases.worker_restart_every_s);
        observer.sample_until(fleet, at)?;
        fleet.restart_worker(n % fleet.size().workers);
    }
    Ok(())
}

/// Restarts one placer after the other, each after the one before is connected to all workers again.
fn restart_placers(
    fleet: &mut Fleet,
    phases: &Phases,
    observer: &mut FaultObserver,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    for number in 0..fleet.size().placers {
        let at = start + Duration::from_secs_f64(number as f64 * phases.placer_restart_every_s);
        observer.sample_until(fleet, at)?;
        fleet.end_placer(number)?;
        observer.wait(fleet, |fleet| fleet.has_placer_ended(number))?;
        fleet.spawn_placer(number)?;
        observer.wait(fleet, Fleet::poll_serving_placer)?;
        observer.wait(fleet, |fleet| fleet.is_fully_connected())?;
    }
    Ok(())
}

/// Takes snapshots during one fault, one second apart.
struct FaultObserver {
    sampler: Sampler,
    /// Tasks that are to run once the fleet has settled.
    tasks: u64,
    snapshots: Vec<Snapshot>,
}

impl FaultObserver {
    /// Injects the fault, and takes snapshots until it is over.
    fn observe(
        &mut self,
        fleet: &mut Fleet,
        fault: Fault,
        phases: &Phases,
    ) -> Result<(), ScaleError> {
        let workers = fleet.size().workers;
        match fault {
            Fault::WorkerDies => fleet.kill_workers([0]),
            Fault::RackDies => fleet.kill_workers(rack_workers(workers)),
            Fault::ZoneDies => fleet.kill_workers((0..workers).step_by(ZONE_COUNT)),
            Fault::ZoneReturns => fleet.start_dead_workers(),
            Fault::RegionCut => fleet.isolate_workers((0..workers).step_by(2)),
            Fault::RegionHeals => fleet.reconnect_workers(),
            Fault::WorkerRestarts => restart_workers(fleet, phases, self)?,
            Fault::PlacerRestarts => restart_placers(fleet, phases, self)?,
        }
        match fault {
            Fault::RegionCut => self.sample_for(fleet, phases.region_cut_s, |_, _| Ok(false)),
            _ => self.sample_until_settled(fleet, phases),
        }
    }

    /// Takes a snapshot each second until a time.
    fn sample_until(&mut self, fleet: &Fleet, until: Instant) -> Result<(), ScaleError> {
        loop {
            let next = self.snapshots.last().map_or(until, Snapshot::next_second);
            if next > until {
                return fleet.interrupted().sleep_until(until);
            }
            fleet.interrupted().sleep_until(next)?;
            self.snapshots.push(self.sampler.snapshot(fleet));
        }
    }

    /// Takes snapshots until a step is done; an error after `STEP_TIMEOUT`.
    fn wait(
        &mut self,
        fleet: &mut Fleet,
        mut done: impl FnMut(&mut Fleet) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let start = Instant::now();
        while !done(fleet)? {
            if start.elapsed() > STEP_TIMEOUT {
                let reason = format!("a step of a fault took longer than {STEP_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(reason));
            }
            self.sample_until(fleet, Instant::now() + POLL_INTERVAL)?;
        }
        Ok(())
    }

    /// Takes a snapshot each second for at most `max_s` seconds, until `done` returns true for the fleet and the elapsed
    /// seconds.
    fn sample_for(
        &mut self,
        fleet: &Fleet,
        max_s: f64,
        mut done: impl FnMut(&Fleet, f64) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < max_s {
            let next = self
                .snapshots
                .last()
                .map_or_else(Instant::now, Snapshot::next_second);
            fleet.interrupted().sleep_until(next)?;
            self.snapshots.push(self.sampler.snapshot(fleet));
            if done(fleet, start.elapsed().as_secs_f64())? {
                break;
            }
        }
        Ok(())
    }

    fn sample_until_settled(&mut self, fleet: &Fleet, phases: &Phases) -> Result<(), ScaleError> {
        let (mut settled_seconds, tasks) = (0, self.tasks);
        self.sample_for(fleet, phases.fault_s, |fleet, seconds| {
            let statuses = fleet.statuses()?;
            let settled = fleet.is_fully_connected_in(&statuses) && statuses.actors >= tasks;
            settled_seconds = if settled { settled_seconds + 1 } else { 0 };
            Ok(settled_seconds >= MIN_SETTLED_SECONDS && seconds >= phases.fault_at_least_s)
        })
    }

    fn worst_second(&self, fleet: &Fleet, fault: Fault) -> Result<PhaseSample, ScaleError> {
        let connected = fleet.statuses()?.connected_hosts;
        let mut placers = Vec::new();
        for (number, host_connections) in connected.into_iter().enumerate() {
            let cores = self
                .consecutive_snapshots()
                .map(|(before, after)| after.cores_since(before)[number]);
            placers.push(process_sample(
                fleet,
                number,
                cores.fold(0.0, f64::max),
                host_connections,
            )?);
        }
        let bytes = |messages: &[MessageCount]| messages.iter().map(|m| m.wire_bytes).sum::<u64>();
        let seconds = self
            .consecutive_snapshots()
            .map(|(before, after)| after.messages_since(before));
        Ok(PhaseSample {
            phase: Phase::WorstSecond(fault),
            seconds: 1.0,
            placers,
            messages: seconds
                .max_by_key(|messages| bytes(messages))
                .unwrap_or_default(),
            loopback_packets: self
                .consecutive_snapshots()
                .filter_map(|(before, after)| after.packets_since(before))
                .max(),
            answer_us: None,
        })
    }

    fn consecutive_snapshots(&self) -> impl Iterator<Item = (&Snapshot, &Snapshot)> {
        self.snapshots.iter().zip(self.snapshots.iter().skip(1))
    }
}
