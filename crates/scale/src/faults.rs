//! Faults at size, each watched second by second from its beginning until the fleet has settled.
//!
//! Owners whose tasks were lost ask for them again at once, so that placing what was lost is part of the fault.
//!
//! The worst second of a fault is told for each quantity by itself: the processor time of each placer is that of its
//! own busiest second, and the messages are those of the second with the most bytes on a wire. These seconds need not
//! be the same one. Memory, descriptors and connections are those at the end of the fault's watch.

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

/// A step of a fault is looked after this often, and has failed after this.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Once all is connected the watch goes on for so many seconds.
const SETTLED_SECONDS: usize = 3;

/// Strikes the fleet with a fault and measures its worst second.
pub(crate) fn inject_and_measure(
    fleet: &mut Fleet,
    fault: Fault,
    point: &PointSettings,
    phases: &Phases,
    sampler: Sampler,
) -> Result<PhaseSample, ScaleError> {
    // These two end the fault before them; every other one finds the fleet whole.
    if !matches!(fault, Fault::ZoneReturns | Fault::RegionHeals) {
        restore_fleet(fleet, point, phases)?;
    }
    let (owners, stop) = (fleet.owners().clone(), AtomicBool::new(false));
    let tasks = u64::from(point.tasks);
    thread::scope(|scope| {
        // Where placers are restarted, no task is lost, and clients would lose their connections.
        let asks_again = fault != Fault::PlacerRestarts;
        let (owners, stop) = (&owners, &stop);
        let replacing = asks_again.then(|| scope.spawn(move || owners.resubmit_lost(tasks, stop)));
        let mut watch = FaultObserver {
            sampler,
            tasks,
            snapshots: vec![sampler.snapshot(fleet)],
        };
        let watched = watch.observe(fleet, fault, phases);
        stop.store(true, Ordering::Relaxed);
        let replaced = replacing.map(|thread| thread.join());
        watched?;
        match replaced {
            Some(Err(_)) => return Err(ScaleError::NotSettled("the owners failed".to_owned())),
            Some(Ok(result)) => result?,
            None => {}
        }
        watch.worst_second(fleet, fault)
    })
}

/// Brings back what earlier faults took away.
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

/// Workers that stand in one rack: cells are filled zone by zone.
fn rack_workers(workers: usize) -> impl Iterator<Item = usize> {
    (0..workers).step_by(ZONE_COUNT).take(RACK_SIZE)
}

fn restart_workers(
    fleet: &Fleet,
    phases: &Phases,
    watch: &mut FaultObserver,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    for n in 0..phases.worker_restarts as usize {
        let at = start + Duration::from_secs_f64(n as f64 * phases.worker_restart_every_s);
        watch.sample_until(fleet, at)?;
        fleet.restart_worker(n % fleet.size().workers);
    }
    Ok(())
}

/// One placer after the other; the next one once the last one is connected to all workers again.
fn restart_placers(
    fleet: &mut Fleet,
    phases: &Phases,
    watch: &mut FaultObserver,
) -> Result<(), ScaleError> {
    let start = Instant::now();
    for number in 0..fleet.size().placers {
        let at = start + Duration::from_secs_f64(number as f64 * phases.placer_restart_every_s);
        watch.sample_until(fleet, at)?;
        fleet.end_placer(number)?;
        watch.wait(fleet, |fleet| fleet.has_placer_ended(number))?;
        fleet.spawn_placer(number)?;
        watch.wait(fleet, Fleet::poll_serving_placer)?;
        watch.wait(fleet, |fleet| fleet.is_fully_connected())?;
    }
    Ok(())
}

/// The moments of one fault, a second apart.
struct FaultObserver {
    sampler: Sampler,
    /// Tasks that are to run once the fleet has settled.
    tasks: u64,
    snapshots: Vec<Snapshot>,
}

impl FaultObserver {
    /// Strikes, and goes on until the fault is over.
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
            _ => self.until_settled(fleet, phases),
        }
    }

    /// Goes on until a time, with a moment each second.
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

    /// Goes on until the fleet has done something.
    fn wait(
        &mut self,
        fleet: &mut Fleet,
        mut done: impl FnMut(&mut Fleet) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let start = Instant::now();
        while !done(fleet)? {
            if start.elapsed() > STEP_TIMEOUT {
                let why = format!("a step of a fault took longer than {STEP_TIMEOUT:?}");
                return Err(ScaleError::NotSettled(why));
            }
            self.sample_until(fleet, Instant::now() + POLL_INTERVAL)?;
        }
        Ok(())
    }

    /// Goes on for at most so many seconds, until `done` says so of the fleet and the seconds so far.
    fn sample_for(
        &mut self,
        fleet: &Fleet,
        at_most: f64,
        mut done: impl FnMut(&Fleet, f64) -> Result<bool, ScaleError>,
    ) -> Result<(), ScaleError> {
        let start = Instant::now();
        while start.elapsed().as_secs_f64() < at_most {
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

    fn until_settled(&mut self, fleet: &Fleet, phases: &Phases) -> Result<(), ScaleError> {
        let (mut quiet, tasks) = (0, self.tasks);
        self.sample_for(fleet, phases.fault_s, |fleet, seconds| {
            let statuses = fleet.statuses()?;
            let settled = fleet.is_fully_connected_in(&statuses) && statuses.actors >= tasks;
            quiet = if settled { quiet + 1 } else { 0 };
            Ok(quiet >= SETTLED_SECONDS && seconds >= phases.fault_at_least_s)
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
