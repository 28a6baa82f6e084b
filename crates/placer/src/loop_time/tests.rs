//! Totals and longest times.

use std::time::Duration;

use super::{LoopTime, Phase, SharedPhase};

#[test]
fn phase_keeps_the_total_and_the_longest_time() {
    let mut phase = Phase::default();
    for micros in [20, 70, 10] {
        phase.add_micros(micros);
    }
    assert_eq!(phase.to_json()["all"], 100);
    assert_eq!(phase.to_json()["longest"], 70);
}

#[test]
fn shared_phase_counts_the_work_that_it_measures() {
    let phase = SharedPhase::default();
    let shown = phase.clone();
    let result = phase.measure(|| {
        std::thread::sleep(Duration::from_millis(2));
        7
    });
    assert_eq!(result, 7);
    assert!(shown.get().total >= Duration::from_millis(2));
    assert_eq!(shown.get().total, shown.get().longest);
}

#[test]
fn json_names_every_phase_as_the_status_does() {
    let json = LoopTime::default().to_json();
    let names: Vec<&String> = json.as_object().expect("an object").keys().collect();
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
