//! Measures placer processes from outside: snapshots of their cumulative counters, and the difference of two snapshots.

use std::time::{Duration, Instant};

use maplethread_capacity::{MessageCount, Phase, PhaseSample, ProcessSample};
use maplethread_emulator::traffic::Traffic;
use maplethread_emulator::usage::{process_resources, process_usage};

use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::machine::loopback_packets;
use crate::membership::{DatagramCounters, datagrams_since};

/// The processor time that one placer process has used.
#[derive(Clone, Copy, Debug)]
struct ProcessorTime {
    pid: u32,
    cpu_s: f64,
}

/// Cumulative counters of a fleet at one time.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    taken_at: Instant,
    processor_times: Vec<Option<ProcessorTime>>,
    traffic: Traffic,
    datagrams: Vec<DatagramCounters>,
    loopback_packets: Option<u64>,
}

/// Takes snapshots of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sampler {
    /// Whether nothing else uses the loopback interface, so that its packets can be counted.
    pub(crate) owns_loopback: bool,
}

impl Sampler {
    /// Takes a snapshot.
    pub(crate) fn snapshot(self, fleet: &Fleet) -> Snapshot {
        let pids = fleet.pids();
        let processors = pids.into_iter().map(|pid| processor_time(pid?)).collect();
        let packets = if self.owns_loopback {
            loopback_packets()
        } else {
            None
        };
        let datagrams = fleet.sent_datagrams();
        Snapshot {
            taken_at: Instant::now(),
            processor_times: processors,
            traffic: fleet.counter().snapshot(),
            datagrams,
            loopback_packets: packets,
        }
    }

    /// Returns the sample of a phase between two snapshots, with the current memory, descriptors and connections.
    pub(crate) fn phase_between(
        self,
        fleet: &Fleet,
        phase: Phase,
        span: (&Snapshot, &Snapshot),
    ) -> Result<PhaseSample, ScaleError> {
        let (before, after) = span;
        let seconds = after.seconds_since(before);
        let connected = fleet.statuses()?.connected_hosts;
        let mut placers = Vec::new();
        for (number, cpu_cores) in after.cores_since(before).into_iter().enumerate() {
            let host_connections = connected.get(number).copied().unwrap_or(0);
            placers.push(process_sample(fleet, number, cpu_cores, host_connections)?);
        }
        Ok(PhaseSample {
            phase,
            seconds,
            placers,
            messages: after.messages_since(before),
            loopback_packets: after.packets_since(before),
            answer_us: None,
        })
    }
}

impl Snapshot {
    /// The time one second after this snapshot.
    pub(crate) fn next_second(&self) -> Instant {
        self.taken_at + Duration::from_secs(1)
    }

    pub(crate) fn seconds_since(&self, earlier: &Snapshot) -> f64 {
        (self.taken_at - earlier.taken_at).as_secs_f64()
    }

    /// Cores that each placer used since an earlier snapshot; a placer started later counts from its start.
    pub(crate) fn cores_since(&self, earlier: &Snapshot) -> Vec<f64> {
        let seconds = self.seconds_since(earlier).max(1e-9);
        let pairs = self.processor_times.iter().zip(&earlier.processor_times);
        let used = pairs.map(|(now, before)| match (now, before) {
            (Some(now), Some(before)) if now.pid == before.pid => now.cpu_s - before.cpu_s,
            (Some(now), _) => now.cpu_s,
            (None, _) => 0.0,
        });
        used.map(|cpu_s| (cpu_s / seconds).max(0.0)).collect()
    }

    /// Messages since an earlier snapshot.
    pub(crate) fn messages_since(&self, earlier: &Snapshot) -> Vec<MessageCount> {
        let mut messages = self.traffic.since(&earlier.traffic);
        messages.extend(datagrams_since(&self.datagrams, &earlier.datagrams));
        messages
    }

    /// Packets of the loopback interface since an earlier snapshot.
    pub(crate) fn packets_since(&self, earlier: &Snapshot) -> Option<u64> {
        self.loopback_packets
            .zip(earlier.loopback_packets)
            .map(|(now, before)| now - before)
    }
}

fn processor_time(pid: u32) -> Option<ProcessorTime> {
    // The usage of an exiting process can't be read.
    process_usage(pid).ok().map(|usage| ProcessorTime {
        pid,
        cpu_s: usage.cpu_s,
    })
}

/// Samples the current memory, descriptors and connections of a placer.
pub(crate) fn process_sample(
    fleet: &Fleet,
    number: usize,
    cpu_cores: f64,
    host_connections: u32,
) -> Result<ProcessSample, ScaleError> {
    let Some(pid) = fleet.pids()[number] else {
        return Err(ScaleError::NotSettled(format!(
            "placer {number} is not running"
        )));
    };
    let failed = || ScaleError::io(format!("/proc/{pid}"));
    let memory = process_usage(pid).map_err(failed())?;
    let holdings = process_resources(pid).map_err(failed())?;
    Ok(ProcessSample {
        cpu_cores,
        resident_kib: memory.resident_kib,
        proportional_kib: holdings.proportional_kib,
        descriptors: holdings.descriptors,
        host_connections,
    })
}
