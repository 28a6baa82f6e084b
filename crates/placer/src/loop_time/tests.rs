//! Total and longest durations of phases.

use std::time::Duration;

use super::{LoopTime, Phase, SharedPhase};

#[test]
fn phase_keeps_the_total_and_the_longest_duration() {
    let mut phase = Phase::default();
    for micros in [20, 70, 10] {
        phase.add_micros(micros);
    }
    assert_eq!(phase.to_json()["all"], 100);
    assert_eq!(phase.to_json()["longest"], 70);
}

#[test]
fn shared_phase_adds_the_duration_of_measured_work() {
    let phase = SharedPhase::default();
    let reported = phase.clone();
    let result = phase.measure(|| {
        std::thread::sleep(Duration::from_millis(2));
        7
    });
    assert_eq!(result, 7);
    assert!(reported.get().total >= Duration::from_millis(2));
    assert_eq!(reported.get().total, reported.get().longest);
}

#[test]
fn json_contains_every_phase_under_its_status_name() {
    let json = LoopTime::default().to_json();
    let names: Vec<&String> = json
        .as_object()
        .expect("the phases are a JSON object")
        .keys()
        .collect();
    let expected = [
        "deciding",
        "lists",
        "reading",
        "recording",
        "turn",
        "writing",
    ];
    assert_eq!(names, expected);
}
