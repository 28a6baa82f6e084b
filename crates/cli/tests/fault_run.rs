//! Short fault runs with real processes, and the mutants that the checker must catch.

use std::process::Command;
use std::sync::{Mutex, PoisonError};

use serde_json::Value;

/// Runs come one after the other: on two slow cores two of them would be late together.
static ONE_RUN_AT_A_TIME: Mutex<()> = Mutex::new(());

fn fault_run(args: &[&str]) -> (Option<i32>, Value) {
    let _one = ONE_RUN_AT_A_TIME
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let out = Command::new(env!("CARGO_BIN_EXE_maplethread"))
        .args(["--log", "error", "fault-run", "--json"])
        .args(args)
        .output()
        .expect("the program starts");
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
    let traces = tempfile::tempdir().expect("a folder");
    let folder = traces.path().to_str().expect("a name");
    let day = [
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
    let (code, report) = fault_run(&day);
    assert_eq!(report["broken"], serde_json::json!({}), "{report:#}");
    assert_eq!(report["unanswered"], 0, "{report:#}");
    assert_eq!(code, Some(0));
    let n = |key: &str| report[key].as_u64().unwrap_or(0);
    assert!(n("asks") > 200 && n("placed") > n("asks") / 2, "{report:#}");
    // Each request has one answer, or a reason why its absence is excused.
    let all = n("placed") + n("refused") + n("failed") + n("turned_away") + n("excused");
    assert_eq!(all, n("asks"), "{report:#}");
    assert!(
        report["service"]
            .as_f64()
            .is_some_and(|s| (0.2..=1.0).contains(&s)),
        "{report:#}"
    );
    // Every run of every placer process, killed ones up to their last whole block, decided as the module does.
    let mut asked = 0;
    let entries = std::fs::read_dir(traces.path())
        .expect("a folder")
        .map(|e| e.expect("an entry").path());
    for file in entries.collect::<Vec<_>>() {
        let trace = |tool: &[&str]| {
            let mut program = Command::new(env!("CARGO_BIN_EXE_maplethread"));
            let out = program
                .arg("trace")
                .args(tool)
                .arg(&file)
                .output()
                .expect("the program starts");
            (
                out.status.code(),
                String::from_utf8_lossy(&out.stdout).into_owned(),
            )
        };
        let (code, told) = trace(&["replay"]);
        assert!(
            code == Some(0) && told.contains(" 0 turns differ, 0 turns after a gap"),
            "{told}"
        );
        let (_, summary) = trace(&["summary", "--json"]);
        let summary: Value = serde_json::from_str(&summary).expect("JSON");
        let classes = summary["classes"].as_object().expect("classes");
        asked += classes
            .values()
            .filter_map(|c| c["asked"].as_u64())
            .sum::<u64>();
        assert_eq!(summary["lost"]["octets"], 0, "{summary:#}");
        // A copy that hides all names is searched for them.
        let copy = traces.path().join("hidden");
        let copy = copy.to_str().expect("a name");
        let mut program = Command::new(env!("CARGO_BIN_EXE_maplethread"));
        let hidden = program
            .args(["trace", "anonymise"])
            .arg(&file)
            .arg(copy)
            .output()
            .expect("it starts");
        assert!(hidden.status.success(), "{hidden:?}");
        std::fs::remove_file(copy).expect("the copy");
    }
    // A killed placer loses its last second, and some requests never reached theirs.
    assert!(
        (n("asks") * 8 / 10..=n("asks")).contains(&asked),
        "{asked} of {}",
        n("asks")
    );
}

const MUTANT_SCENARIO: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../emulator/scenarios/rogue.toml"
);

fn checker_catches_mutant(rule: u8) {
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
    let broken = report["broken"].as_object().expect("an object");
    assert!(
        broken.contains_key(&number),
        "the checker missed rule {rule}: {report:#}"
    );
    // The frames that show it are given.
    let shown = report["broken_shown"].as_array().expect("a list");
    assert!(
        shown
            .iter()
            .any(|b| b["rule"] == rule && b["records"].as_array().is_some_and(|r| !r.is_empty()))
    );
}

#[test]
fn checker_catches_placer_that_leaves_requests_unanswered() {
    checker_catches_mutant(1);
}

#[test]
fn checker_catches_placer_that_leaves_requests_unanswered_after_a_pause() {
    // Mutant 6 answers every request but those that were open when it paused for half a second.
    let (code, report) = fault_run(&["--scenario", MUTANT_SCENARIO, "--seed", "2", "--rogue", "6"]);
    assert_eq!(code, Some(1), "{report:#}");
    assert!(report["unanswered"].as_u64() > Some(0), "{report:#}");
    assert!(report["broken"]["1"].as_u64() > Some(0), "{report:#}");
}

#[test]
fn checker_catches_placer_that_retries_possibly_started_tasks() {
    checker_catches_mutant(2);
}

#[test]
fn checker_catches_placer_that_ignores_drains() {
    checker_catches_mutant(3);
}

#[test]
fn checker_catches_placer_that_overloads_warming_hosts() {
    checker_catches_mutant(4);
}

#[test]
fn checker_catches_placer_that_ignores_spread_limits() {
    checker_catches_mutant(5);
}

/// The exit status of a run in which a mutant had no occasion to break its rule.
const EXIT_NO_OCCASION: i32 = 3;

#[test]
fn mutant_without_an_occasion_does_not_count_as_success() {
    // No host drains and none is gone, so there is nothing for mutant 3 to ignore.
    let quiet = [
        "--without",
        "shrink",
        "--without",
        "host_crash",
        "--seconds",
        "3",
    ];
    let day = [
        &["--scenario", MUTANT_SCENARIO, "--seed", "2", "--rogue", "3"][..],
        &quiet,
    ]
    .concat();
    let (code, report) = fault_run(&day);
    assert_eq!(code, Some(EXIT_NO_OCCASION), "{report:#}");
    assert_eq!(
        report["rogue"],
        serde_json::json!({"number": 3, "moves": 0, "caught": 0}),
        "{report:#}"
    );
}

/// A mutant in a short standard run, where nothing was arranged for it.
fn mutant_is_caught_in_short_standard_run(rogue: u8, rule: &str) {
    let (code, report) = fault_run(&[
        "--seconds",
        "12",
        "--seed",
        "1",
        "--rogue",
        &rogue.to_string(),
    ]);
    assert!(
        report["rogue"]["moves"].as_u64() > Some(0),
        "no occasion: {report:#}"
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
fn mutant_5_is_caught_in_short_standard_run() {
    mutant_is_caught_in_short_standard_run(5, "5");
}

#[test]
fn mutant_6_is_caught_in_short_standard_run() {
    mutant_is_caught_in_short_standard_run(6, "1");
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
    // With a fresh budget account after each start this scenario broke rule 4 every time.
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/restarts.toml"
    );
    let (code, report) = fault_run(&["--scenario", day, "--seed", "5"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn random_scenario_breaks_no_rule_and_is_written_as_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("drawn.toml");
    let file = file.to_str().expect("a name");
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
    // Run from its file it has the same first requests, though another policy decides.
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
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/leader-lost.toml"
    );
    let (code, report) = fault_run(&["--consul", "--scenario", day, "--seed", "4"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn replica_indexes_have_one_holder_and_are_taken_over_under_faults() {
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../emulator/scenarios/membership.toml"
    );
    let mut day: toml::Table =
        toml::from_str(&std::fs::read_to_string(day).expect("a scenario")).expect("TOML");
    (day["placers"], day["slots"]) = (6.into(), 4.into());
    day["fleet"]["hosts"] = 9.into();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("membership.toml");
    std::fs::write(&file, day.to_string()).expect("a file");
    let file = file.to_str().expect("a name");
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
    // Replica indexes fall free when their holders are killed or paused for longer than their sessions last.
    let numbers = &report["numbers"];
    assert!(
        numbers["taken"].as_u64() > Some(1),
        "none changed hands: {report:#}"
    );
    assert!(
        numbers["wait_ms"]["max"]
            .as_f64()
            .is_some_and(|ms| ms < 5000.0),
        "{report:#}"
    );
}
