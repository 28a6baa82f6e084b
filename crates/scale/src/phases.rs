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

/// The peak is measured this time after the first of its tasks are due to end, s.
const END_MARGIN_S: f64 = 1.0;
/// Clients and list changes continue this time after the measured peak, s, so that the load is constant up to its end.
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

/// Waits until all placers are connected to all workers, and then for the idle time `settle_s`.
pub(crate) fn wait_settled(fleet: &Fleet, phases: &Phases) -> Result<(), ScaleError> {
    fleet.wait_connected()?;
    fleet.interrupted().sleep(phases.settle_s)
}

/// Measures the fleet at the peak; returns `None` for a point without starts and list changes.
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
    let total = warm_up + phases.peak_s + TAIL_S;
    let clients = connect_clients(fleet, point, phases, total)?;
    let changes = list_changes(fleet, point, total);
    thread::scope(|scope| {
        let client_thread = clients.map(|clients| scope.spawn(move || clients.run()));
        let change_thread = changes.map(|changes| scope.spawn(move || changes.run()));
        fleet.interrupted().sleep(warm_up)?;
        let before = sampler.snapshot(fleet);
        fleet.interrupted().sleep(phases.peak_s)?;
        let after = sampler.snapshot(fleet);
        let mut sample = sampler.phase_between(fleet, Phase::Peak, (&before, &after))?;
        if let Some(client_thread) = client_thread {
            let answers = client_thread
                .join()
                .map_err(|_| ScaleError::NotSettled("the client thread panicked".to_owned()))?;
            sample.answer_us = Some(answer_times_us(
                &answers.map_err(ScaleError::io("clients"))?,
            )?);
        }
        if let Some(change_thread) = change_thread {
            change_thread.join().map_err(|_| {
                ScaleError::NotSettled("the thread of the list changes panicked".to_owned())
            })??;
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

/// Median, 99th percentile and maximum time to an answer; an error if not every request was placed.
fn answer_times_us(answers: &AnswerTimes) -> Result<[u64; 3], ScaleError> {
    if answers.placed < answers.requests {
        let (placed, requests) = (answers.placed, answers.requests);
        return Err(ScaleError::NotSettled(format!(
            "only {placed} of {requests} requests at the peak were placed"
        )));
    }
    let times: &Histogram<u64> = &answers.times[1];
    Ok([
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    ])
}
