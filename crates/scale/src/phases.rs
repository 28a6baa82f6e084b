//! The phases without faults: at rest, and at the peak.

use std::thread;

use hdrhistogram::Histogram;
use maplethread_capacity::{Phase, PhaseSample, PointSettings};
use maplethread_emulator::clients::{AnswerTimes, Clients};

use crate::error::ScaleError;
use crate::fleet::Fleet;
use crate::host_list::ListChanges;
use crate::owners::ClientPlan;
use crate::sampler::Sampler;
use crate::sweep_file::Phases;

/// The peak is measured this long after the first of its tasks should have ended, s.
const END_MARGIN_S: f64 = 1.0;
/// Clients and list changes go on this long after the measured peak, so that its end is like its middle, s.
const TAIL_S: f64 = 0.5;

/// Measures the fleet at rest.
pub(crate) fn measure_rest(
    fleet: &Fleet,
    phases: &Phases,
    sampler: Sampler,
) -> Result<PhaseSample, ScaleError> {
    wait_settled(fleet, phases)?;
    let before = sampler.snapshot(fleet);
    fleet.interrupted().sleep(phases.rest_s)?;
    let after = sampler.snapshot(fleet);
    sampler.phase_between(fleet, Phase::Rest, (&before, &after))
}

/// Waits until all placers are connected to all workers, and for the quiet time after that.
pub(crate) fn wait_settled(fleet: &Fleet, phases: &Phases) -> Result<(), ScaleError> {
    fleet.wait_connected()?;
    fleet.interrupted().sleep(phases.settle_s)
}

/// Measures the fleet at the peak; nothing where the peak is no different from rest.
pub(crate) fn measure_peak(
    fleet: &Fleet,
    point: &PointSettings,
    phases: &Phases,
    sampler: Sampler,
) -> Result<Option<PhaseSample>, ScaleError> {
    if point.starts_per_second == 0.0 && point.list_changes_per_second == 0.0 {
        return Ok(None);
    }
    wait_settled(fleet, phases)?;
    let warm_up = phases.task_life_s + END_MARGIN_S;
    let whole = warm_up + phases.peak_s + TAIL_S;
    let clients = connect_clients(fleet, point, phases, whole)?;
    let changes = list_changes(fleet, point, whole);
    thread::scope(|scope| {
        let asking = clients.map(|clients| scope.spawn(move || clients.run()));
        let changing = changes.map(|changes| scope.spawn(move || changes.run()));
        fleet.interrupted().sleep(warm_up)?;
        let before = sampler.snapshot(fleet);
        fleet.interrupted().sleep(phases.peak_s)?;
        let after = sampler.snapshot(fleet);
        let mut sample = sampler.phase_between(fleet, Phase::Peak, (&before, &after))?;
        if let Some(asking) = asking {
            let answers = asking
                .join()
                .map_err(|_| ScaleError::NotSettled("the clients failed".to_owned()))?;
            sample.answer_us = Some(answer_times_us(
                &answers.map_err(ScaleError::io("clients"))?,
            )?);
        }
        if let Some(changing) = changing {
            changing
                .join()
                .map_err(|_| ScaleError::NotSettled("the list changes failed".to_owned()))??;
        }
        Ok(Some(sample))
    })
}

fn connect_clients(
    fleet: &Fleet,
    point: &PointSettings,
    phases: &Phases,
    seconds: f64,
) -> Result<Option<Clients>, ScaleError> {
    if point.starts_per_second == 0.0 {
        return Ok(None);
    }
    let plan = ClientPlan {
        requests_per_second: point.starts_per_second,
        seconds,
        split_s: phases.task_life_s + END_MARGIN_S,
        task_duration_ms: Some((phases.task_life_s * 1000.0) as u64),
    };
    fleet.clients(plan).map(Some)
}

fn list_changes(fleet: &Fleet, point: &PointSettings, seconds: f64) -> Option<ListChanges> {
    let rate = point.list_changes_per_second;
    (rate > 0.0).then(|| ListChanges {
        path: fleet.inventory_path(),
        inventory: fleet.inventory(),
        rate,
        seconds,
        interrupted: fleet.interrupted().clone(),
    })
}

/// Median, 99th percentile and longest time to an answer; an error if not every ask was placed.
fn answer_times_us(answers: &AnswerTimes) -> Result<[u64; 3], ScaleError> {
    if answers.placed < answers.requests {
        let (placed, asked) = (answers.placed, answers.requests);
        return Err(ScaleError::NotSettled(format!(
            "{placed} of {asked} asks at the peak were placed"
        )));
    }
    let times: &Histogram<u64> = &answers.times[1];
    Ok([
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    ])
}
