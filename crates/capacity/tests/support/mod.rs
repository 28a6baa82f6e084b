//! Synthetic results of sweeps.
#![allow(dead_code)] // Each test file uses some of these items.

use maplethread_capacity::{
    Dimension, Direction, MachineInfo, MessageCount, MessageKind, Observation, Phase, PhaseSample,
    PointSettings, ProcessSample, RESULT_FORMAT, SweepPoint, SweepResult,
};

/// The number of real placers of each point.
pub const PLACERS: u32 = 2;

/// The sizes of the sweep of workers.
pub const SIZES: [u32; 7] = [100, 200, 400, 600, 800, 1_300, 2_600];

/// Observations with costs computed from sizes.
pub fn observations(sizes: &[u32], cost: impl Fn(f64) -> f64) -> Vec<Observation> {
    let to_observation = |&size: &u32| Observation {
        size: f64::from(size),
        value: cost(f64::from(size)),
    };
    sizes.iter().map(to_observation).collect()
}

/// A process whose costs are linear in the number of workers.
fn process(workers: u32) -> ProcessSample {
    ProcessSample {
        cpu_cores: 0.001 + 0.00001 * f64::from(workers),
        resident_kib: 4_000 + 8 * u64::from(workers),
        proportional_kib: 3_000 + 8 * u64::from(workers),
        descriptors: 20 + workers,
        host_connections: workers,
    }
}

fn count(kind: MessageKind, direction: Direction, count: u64) -> MessageCount {
    MessageCount {
        kind,
        direction,
        count,
        payload_bytes: count * 20,
        wire_bytes: count * 100,
    }
}

/// A phase of 10 s with, per second and placer, a ping and a pong for each worker, one offer and three reports.
pub fn sample(phase: Phase, workers: u32) -> PhaseSample {
    let pings_per_phase = u64::from(workers * PLACERS) * 10;
    PhaseSample {
        phase,
        seconds: 10.0,
        placers: vec![process(workers); PLACERS as usize],
        messages: vec![
            count(MessageKind::Ping, Direction::FromPlacer, pings_per_phase),
            count(MessageKind::Pong, Direction::ToPlacer, pings_per_phase),
            count(
                MessageKind::Offer,
                Direction::FromPlacer,
                10 * u64::from(PLACERS),
            ),
            count(
                MessageKind::Report,
                Direction::ToPlacer,
                30 * u64::from(PLACERS),
            ),
        ],
        loopback_packets: None,
        answer_us: Some([800, 2_500, 12_345]),
    }
}

/// A point at the design size, except for the number of workers.
pub fn point(workers: u32, phases: &[Phase]) -> SweepPoint {
    SweepPoint {
        seed: 1,
        settings: PointSettings {
            workers,
            placers: PLACERS,
            hollow_placers: 4,
            tasks: 24_000,
            starts_per_second: 190.0,
            ..PointSettings::default()
        },
        phases: phases.iter().map(|&phase| sample(phase, workers)).collect(),
    }
}

/// A sweep over the number of workers.
pub fn sweep(sizes: &[u32], phases: &[Phase]) -> SweepResult {
    SweepResult {
        format: RESULT_FORMAT,
        sweep: "workers".to_owned(),
        dimension: Dimension::Workers,
        command: "maplethread scale run config/scale/workers.toml".to_owned(),
        commit: "0000000".to_owned(),
        machine: MachineInfo {
            processor: "synthetic".to_owned(),
            cores: 2,
            memory_mib: 4_096,
            kernel: "6.1".to_owned(),
        },
        points: sizes
            .iter()
            .map(|&workers| point(workers, phases))
            .collect(),
    }
}
