//! The quantities of a placer, budgets, and keys of figures.

mod support;

use maplethread_capacity::{
    Aggregation, AnswerTime, Budget, DESIGN_SIZE, Dimension, Fault, FigureKey, KeyError, Phase,
    Quantity, TrafficClass, measured_at_size,
};
use support::{PLACERS, point, sample, sweep};

fn mean(quantity: Quantity) -> f64 {
    quantity
        .measured(&sample(Phase::Rest, 100), Aggregation::Mean)
        .expect("placers")
}

#[test]
fn message_quantities_are_per_placer_and_second() {
    assert_eq!(mean(Quantity::Messages(TrafficClass::Control)), 200.0);
    assert_eq!(mean(Quantity::Messages(TrafficClass::Placing)), 1.0);
    assert_eq!(mean(Quantity::Messages(TrafficClass::Either)), 3.0);
    assert_eq!(mean(Quantity::Messages(TrafficClass::WideControl)), 203.0);
    assert_eq!(mean(Quantity::Messages(TrafficClass::All)), 204.0);
    assert_eq!(
        mean(Quantity::PayloadBytes(TrafficClass::All)),
        204.0 * 20.0
    );
    assert_eq!(mean(Quantity::WireBytes(TrafficClass::All)), 204.0 * 100.0);
}

#[test]
fn answer_times_are_in_ms() {
    assert_eq!(mean(Quantity::Answer(AnswerTime::Median)), 0.8);
    assert_eq!(mean(Quantity::Answer(AnswerTime::Percentile99)), 2.5);
    assert_eq!(mean(Quantity::Answer(AnswerTime::Longest)), 12.345);
}

#[test]
fn aggregates_processes_by_mean_or_highest() {
    let mut sample = sample(Phase::Rest, 100);
    sample.placers[1].host_connections = 200;
    assert_eq!(
        Quantity::HostConnections.measured(&sample, Aggregation::Mean),
        Some(150.0)
    );
    assert_eq!(
        Quantity::HostConnections.measured(&sample, Aggregation::Highest),
        Some(200.0)
    );
    sample.placers.clear();
    sample.answer_us = None;
    assert!(
        Quantity::all().all(|quantity| quantity.measured(&sample, Aggregation::Mean).is_none())
    );
}

#[test]
fn keys_are_unique_per_quantity_and_phase() {
    for quantity in Quantity::all() {
        assert_eq!(Quantity::from_key(&quantity.key()), Some(quantity));
    }
    for phase in Phase::all() {
        assert_eq!(Phase::from_key(phase.key()), Some(phase));
    }
    for fault in Fault::ALL {
        let name_in_results = serde_json::to_value(fault).expect("JSON");
        assert_eq!(
            name_in_results,
            fault.key(),
            "key differs from the name in results"
        );
    }
}

#[test]
fn rejects_invalid_keys() {
    let error = |key| FigureKey::parse(key).expect_err("an invalid key");
    assert_eq!(error("workers"), KeyError::Form);
    assert_eq!(
        error("workers/1300/unknown/cpu"),
        KeyError::Phase("unknown".to_owned())
    );
    assert_eq!(
        error("workers/1300/rest/unknown"),
        KeyError::Quantity("unknown".to_owned())
    );
    assert_eq!(
        error("workers/many/rest/cpu"),
        KeyError::Size("many".to_owned())
    );
    assert_eq!(
        error("workers/-1/rest/cpu"),
        KeyError::Size("-1".to_owned())
    );
    assert_eq!(
        error("budget/rest/descriptors"),
        KeyError::Budget("descriptors".to_owned())
    );
}

#[test]
fn design_size_matches_points_with_all_of_its_settings() {
    let at_size = point(1_300, &[]).settings;
    assert!(
        DESIGN_SIZE.matches(&at_size, Phase::Peak),
        "two real and four hollow placers make up six"
    );
    let mut other = at_size;
    other.tasks -= 1;
    assert!(!DESIGN_SIZE.matches(&other, Phase::Peak));
    other = at_size;
    other.starts_per_second = 0.0;
    assert!(!DESIGN_SIZE.matches(&other, Phase::Peak));
    assert!(
        DESIGN_SIZE.matches(&other, Phase::Rest),
        "the start rate is ignored at rest"
    );
    other = at_size;
    other.hollow_placers -= PLACERS;
    assert!(!DESIGN_SIZE.matches(&other, Phase::Peak));
}

#[test]
fn headroom_is_the_budget_over_the_measured_figure() {
    assert_eq!(Budget::Cpu.headroom(1.25), Some(2.0));
    assert_eq!(Budget::ControlWire.headroom(24_000.0), Some(0.5));
    assert_eq!(Budget::ResidentMemory.headroom(31_250.0), Some(1.0));
    assert_eq!(Budget::Cpu.headroom(0.0), None);
}

#[test]
fn measured_at_size_is_the_highest_placer_of_all_sweeps() {
    let mut tasks = sweep(&[1_300], &[Phase::Rest]);
    tasks.sweep = "tasks".to_owned();
    tasks.points[0].phases[0].placers[1].resident_kib = 99_999;
    let results = [sweep(&[800, 1_300], &[Phase::Rest]), tasks];
    let highest =
        measured_at_size(&results, Phase::Rest, Quantity::ResidentMemory).expect("measured");
    assert_eq!((highest.value, highest.sweep), (99_999.0, "tasks"));
    assert_eq!(
        measured_at_size(&results, Phase::Peak, Quantity::ResidentMemory),
        None
    );
}

#[test]
fn laws_are_fitted_to_800_workers_or_half_of_other_dimensions() {
    let workers = [100.0, 400.0, 800.0, 1_300.0];
    assert_eq!(Dimension::Workers.fit_limit(&workers), Some(800.0));
    assert_eq!(
        Dimension::Workers.fit_limit(&[100.0, 200.0, 300.0, 600.0]),
        Some(300.0),
        "a small fleet"
    );
    assert_eq!(
        Dimension::Placers.fit_limit(&[1.0, 2.0, 4.0, 8.0, 12.0]),
        Some(6.0)
    );
    assert_eq!(
        Dimension::Placers.fit_limit(&[1.0, 6.0, 12.0]),
        Some(6.0),
        "the second largest size"
    );
    assert_eq!(Dimension::Placers.fit_limit(&[1.0]), None);
    assert_eq!(Dimension::Placers.fit_limit(&[]), None);
}
