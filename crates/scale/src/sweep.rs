//! Runs a sweep: one point after the other, each with a new fleet.

use std::path::PathBuf;
use std::time::Instant;

use maplethread_capacity::{PointSettings, RESULT_FORMAT, SweepPoint, SweepResult};

use crate::error::ScaleError;
use crate::faults::{inject_and_measure, restore_fleet};
use crate::fleet::{Fleet, FleetSize};
use crate::interrupt::InterruptFlag;
use crate::machine::{current_commit, describe_machine};
use crate::phases::{measure_peak, measure_rest};
use crate::requirements;
use crate::sampler::Sampler;
use crate::sweep_file::SweepFile;

/// How to run a sweep.
#[derive(Clone, Debug)]
pub struct SweepOptions {
    /// The sweep file.
    pub sweep: SweepFile,
    /// The name of the sweep, which is the stem of its file name.
    pub name: String,
    /// The command that repeats the sweep, for the results.
    pub command: String,
    /// The program whose `placer` command is measured.
    pub program: PathBuf,
    /// Whether nothing else uses the loopback interface, so that its packets can be counted.
    pub owns_loopback: bool,
    /// Whether to print the progress on standard error.
    pub shows_progress: bool,
    /// The flag that ends the sweep.
    pub interrupted: InterruptFlag,
}

/// Runs a sweep, after a check that the machine can hold each of its points.
///
/// # Errors
///
/// Returns an error if the machine is too small, a process or socket fails, the fleet does not reach the state to be
/// measured, or the sweep is interrupted.
pub fn run(options: &SweepOptions) -> Result<SweepResult, ScaleError> {
    let sweep = &options.sweep;
    let sizes: Vec<PointSettings> = sweep
        .values
        .iter()
        .map(|&value| sweep.point(value))
        .collect();
    sizes.iter().try_for_each(requirements::check_machine)?;
    let mut points = Vec::new();
    for settings in sizes {
        for &seed in &sweep.seeds {
            points.push(measure_point(options, settings, seed)?);
        }
    }
    Ok(SweepResult {
        format: RESULT_FORMAT,
        sweep: options.name.clone(),
        dimension: sweep.dimension,
        command: options.command.clone(),
        commit: current_commit(),
        machine: describe_machine(),
        points,
    })
}

fn measure_point(
    options: &SweepOptions,
    settings: PointSettings,
    seed: u64,
) -> Result<SweepPoint, ScaleError> {
    let started = Instant::now();
    let (phases, sampler) = (
        &options.sweep.phases,
        Sampler {
            owns_loopback: options.owns_loopback,
        },
    );
    let size = FleetSize {
        workers: settings.workers as usize,
        placers: settings.placers as usize,
        hollow_placers: settings.hollow_placers as usize,
        has_membership: settings.members > 0,
        seed,
    };
    let mut fleet = Fleet::start(size, &options.program, &options.interrupted)?;
    restore_fleet(&mut fleet, &settings, phases)?;
    let mut samples = vec![measure_rest(&fleet, phases, sampler)?];
    samples.extend(measure_peak(&fleet, &settings, phases, sampler)?);
    for &fault in &options.sweep.faults {
        samples.push(inject_and_measure(
            &mut fleet, fault, &settings, phases, sampler,
        )?);
    }
    if options.shows_progress {
        let seconds = started.elapsed().as_secs_f64();
        let dimension = options.sweep.dimension;
        eprintln!(
            "{dimension:?} {}, seed {seed}: {seconds:.1} s",
            settings.value(dimension)
        );
    }
    Ok(SweepPoint {
        seed,
        settings,
        phases: samples,
    })
}
