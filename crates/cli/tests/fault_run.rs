//! Short fault runs with real processes, and the mutants that the checker must detect.

use std::process::Command;
use std::sync::{Mutex, PoisonError};

use serde_json::Value;

/// Makes the runs sequential: on a machine with two cores, concurrent runs would miss deadlines.
static ONE_RUN_AT_A_TIME: Mutex<()> = Mutex::new(());

fn fault_run(args: &[&str]) -> (Option<i32>, Value) {
    let _guard = ONE_RUN_AT_A_TIME
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let out = Command::new(env!("CARGO_BIN_EXE_maplethread"))
        .args(["--log", "error", "fault-run", "--json"])
        .args(args)
        .output()
        .expect("process starts");
    let text = String::from_utf8_lossy(&out.stdout);
    let report = serde_json::from_str(&text).unwrap_or_else(|e| {
        panic!(
            "no report ({e}): {text}\n{}",
            String::from_utf8_lossy(&out.stderr)
        );
    });
    (out.status.code(), report)
}

#[test]
fn short_run_breaks_no_rule_and_its_traces_replay() {
    let traces = tempfile::tempdir().expect("temporary folder");
    let folder = traces.path().to_str().expect("UTF-8 path");
    let scenario = [
        "--seconds",
        "12",
        "--seed",
        "7",
        "--placers",
        "3",
        "--hosts",
        "12",
        "--trace",
        folder,
    ];
    let (code, report) = fault_run(&scenario);
    assert_eq!(report["broken"], serde_json::json!({}), "{report:#}");
    assert_eq!(report["unanswered"], 0, "{report:#}");
    assert_eq!(code, Some(0));
    let count = |key: &str| report[key].as_u64().unwrap_or(0);
    assert!(
        count("asks") > 200 && count("placed") > count("asks") / 2,
        "{report:#}"
    );
    // Each request has one answer, or an excuse for a missing one.
    let all = count("placed")
        + count("refused")
        + count("failed")
        + count("turned_away")
        + count("excused");
    assert_eq!(all, count("asks"), "{report:#}");
    assert!(
        report["service"]
            .as_f64()
            .is_some_and(|s| (0.2..=1.0).contains(&s)),
        "{report:#}"
    );
    // The trace of every placer process replays to the same actions; that of a killed one ends with its last complete block.
    let mut recorded_requests = 0;
    let entries = std::fs::read_dir(traces.path())
        .expect("folder can be read")
        .map(|e| e.expect("directory entry").path());
    for file in entries.collect::<Vec<_>>() {
        let trace = |tool: &[&str]| {
            let mut program = Command::new(env!("CARGO_BIN_EXE_maplethread"));
            let out = program
                .arg("trace")
                .args(tool)
                .arg(&file)
                .output()
                .expect("process starts");
            (
                out.status.code(),
                String::from_utf8_lossy(&out.stdout).into_owned(),
            )
        };
        let (code, output) = trace(&["replay"]);
        assert!(
            code == Some(0) && output.contains(" 0 turns differ, 0 turns after a gap"),
            "{output}"
        );
        let (_, summary) = trace(&["summary", "--json"]);
        let summary: Value = serde_json::from_str(&summary).expect("valid JSON");
        let classes = summary["classes"].as_object().expect("classes object");
        recorded_requests += classes
            .values()
            .filter_map(|c| c["asked"].as_u64())
            .sum::<u64>();
        assert_eq!(summary["lost"]["octets"], 0, "{summary:#}");
        // The command searches its anonymised copy for identifiers of the original.
        let copy = traces.path().join("hidden");
        let copy = copy.to_str().expect("UTF-8 path");
        let mut program = Command::new(env!("CARGO_BIN_EXE_maplethread"));
        let anonymised = program
            .args(["trace", "anonymise"])
            .arg(&file)
            .arg(copy)
            .output()
            .expect("process starts");
        assert!(anonymised.status.success(), "{anonymised:?}");
        std::fs::remove_file(copy).expect("copy can be removed");
    }
    // The traces of killed placers lack their last second, and some requests never reached a placer.
    assert!(
        (count("asks") * 8 / 10..=count("asks")).contains(&recorded_requests),
        "{recorded_requests} of {}",
        count("asks")
    );
}

const MUTANT_SCENARIO: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../emulator/scenarios/rogue.toml"
);

fn checker_detects_mutant(rule: u8) {
    let number = rule.to_string();
    let (code, report) = fault_run(&[
        "--scenario",
        MUTANT_SCENARIO,
        "--seed",
        "2",
        "--rogue",
        &number,
    ]);
    assert_eq!(code, Some(1), "{report:#}");
    let broken = report["broken"].as_object().expect("JSON object");
    assert!(
        broken.contains_key(&number),
        "the checker missed rule {rule}: {report:#}"
    );
    // The report has the frames that show the broken rule.
    let shown = report["broken_shown"].as_array().expect("JSON array");
    assert!(
        shown
            .iter()
            .any(|b| b["rule"] == rule && b["records"].as_array().is_some_and(|r| !r.is_empty()))
    );
}

#[test]
fn checker_detects_placer_that_leaves_requests_unanswered() {
    checker_detects_mutant(1);
}

#[test]
fn checker_detects_placer_that_leaves_requests_unanswered_after_a_pause() {
    // Mutant 6 answers every request but those that were open when it paused for half a second.
    let (code, report) = fault_run(&["--scenario", MUTANT_SCENARIO, "--seed", "2", "--rogue", "6"]);
    assert_eq!(code, Some(1), "{report:#}");
    assert!(report["unanswered"].as_u64() > Some(0), "{report:#}");
    assert!(report["broken"]["1"].as_u64() > Some(0), "{report:#}");
}

#[test]
fn checker_detects_placer_that_retries_possibly_started_tasks() {
    checker_detects_mutant(2);
}

#[test]
fn checker_detects_placer_that_ignores_drains() {
    checker_detects_mutant(3);
}

#[test]
fn checker_detects_placer_that_overloads_warming_hosts() {
    checker_detects_mutant(4);
}

#[test]
fn checker_detects_placer_that_ignores_spread_limits() {
    checker_detects_mutant(5);
}

/// The exit status of a run with a mutant that had no opportunity to break its rule.
const EXIT_NO_OPPORTUNITY: i32 = 3;

#[test]
fn mutant_without_an_opportunity_does_not_count_as_success() {
    // Without drains and crashes, there is nothing that mutant 3 could ignore.
    let quiet = [
        "--without",
        "shrink",
        "--without",
        "host_crash",
        "--seconds",
        "3",
    ];
    let scenario = [
        &["--scenario", MUTANT_SCENARIO, "--seed", "2", "--rogue", "3"][..],
        &quiet,
    ]
    .concat();
    let (code, report) = fault_run(&scenario);
    assert_eq!(code, Some(EXIT_NO_OPPORTUNITY), "{report:#}");
    assert_eq!(
        report["rogue"],
        serde_json::json!({"number": 3, "moves": 0, "caught": 0}),
        "{report:#}"
    );
}

/// Checks that the checker detects a mutant in a short standard run, which is not made for it.
fn mutant_is_detected_in_short_standard_run(mutant: u8, rule: &str) {
    let (code, report) = fault_run(&[
        "--seconds",
        "12",
        "--seed",
        "1",
        "--rogue",
        &mutant.to_string(),
    ]);
    assert!(
        report["rogue"]["moves"].as_u64() > Some(0),
        "the mutant had no opportunity: {report:#}"
    );
    assert!(
        report["broken"][rule].as_u64() > Some(0),
        "the checker missed rule {rule}: {report:#}"
    );
    assert_eq!(
        (code, &report["rogue"]["caught"]),
        (Some(1), &report["broken"][rule]),
        "{report:#}"
    );
}

#[test]
fn mutant_5_is_detected_in_short_standard_run() {
    mutant_is_detected_in_short_standard_run(5, "5");
}

#[test]
fn mutant_6_is_detected_in_short_standard_run() {
    mutant_is_detected_in_short_standard_run(6, "1");
}

#[test]
fn correct_placer_breaks_no_rule_in_mutant_scenario() {
    let (code, report) = fault_run(&["--scenario", MUTANT_SCENARIO, "--seed", "2"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
}

#[test]
fn restarting_placers_break_no_rule_over_warming_hosts() {
    // A placer that starts with a full budget breaks rule 4 in every run of this scenario.
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/restarts.toml"
    );
    let (code, report) = fault_run(&["--scenario", scenario, "--seed", "5"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn random_scenario_breaks_no_rule_and_is_written_as_run() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("drawn.toml");
    let file = file.to_str().expect("UTF-8 path");
    let args = [
        "--drawn",
        "--seed",
        "3",
        "--seconds",
        "12",
        "--placers",
        "3",
        "--hosts",
        "15",
    ];
    let (code, report) = fault_run(&[&args[..], &["--write-scenario", file]].concat());
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    // Run from its file, the scenario has the same first requests, although with another policy.
    let (_, again) = fault_run(&["--scenario", file, "--seed", "3", "--random"]);
    assert_eq!(again["first_asks"], report["first_asks"], "{again:#}");
    assert!(report["first_asks"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn short_run_with_catalogue_breaks_no_rule() {
    let (code, report) = fault_run(&[
        "--consul",
        "--seconds",
        "14",
        "--seed",
        "3",
        "--placers",
        "3",
        "--hosts",
        "12",
    ]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn leader_loss_during_rolling_deploy_breaks_no_rule() {
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/leader-lost.toml"
    );
    let (code, report) = fault_run(&["--consul", "--scenario", scenario, "--seed", "4"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn replica_indexes_have_one_holder_and_are_taken_over_under_faults() {
    let scenario = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/membership.toml"
    );
    let mut scenario: toml::Table =
        toml::from_str(&std::fs::read_to_string(scenario).expect("scenario file can be read"))
            .expect("valid TOML");
    (scenario["placers"], scenario["slots"]) = (6.into(), 4.into());
    scenario["fleet"]["hosts"] = 9.into();
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("membership.toml");
    std::fs::write(&file, scenario.to_string()).expect("file can be written");
    let file = file.to_str().expect("UTF-8 path");
    let (code, report) = fault_run(&[
        "--consul",
        "--scenario",
        file,
        "--seconds",
        "20",
        "--seed",
        "6",
    ]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    // Replica indexes are released when their holders are killed, or paused for longer than their sessions.
    let numbers = &report["numbers"];
    assert!(
        numbers["taken"].as_u64() > Some(1),
        "no replica index was taken over: {report:#}"
    );
    assert!(
        numbers["wait_ms"]["max"]
            .as_f64()
            .is_some_and(|ms| ms < 5000.0),
        "{report:#}"
    );
}
