//! A short bad day with real processes, and the five rogues that the judge must catch.

use std::process::Command;
use std::sync::{Mutex, PoisonError};

use serde_json::Value;

/// Days run one at a time: on two slow cores two of them would be late together.
static ONE: Mutex<()> = Mutex::new(());

fn bad_day(args: &[&str]) -> (Option<i32>, Value) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let out = Command::new(env!("CARGO_BIN_EXE_maplethread"))
        .args(["--log", "error", "bad-day", "--json"])
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
fn a_short_bad_day_breaks_no_rule_and_its_traces_replay() {
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
    let (code, report) = bad_day(&day);
    assert_eq!(report["broken"], serde_json::json!({}), "{report:#}");
    assert_eq!(report["unanswered"], 0, "{report:#}");
    assert_eq!(code, Some(0));
    let n = |key: &str| report[key].as_u64().unwrap_or(0);
    assert!(n("asks") > 200 && n("placed") > n("asks") / 2, "{report:#}");
    // Each ask has one answer, or a reason why nobody is to blame for its lack.
    let all = n("placed") + n("refused") + n("failed") + n("turned_away") + n("excused");
    assert_eq!(all, n("asks"), "{report:#}");
    assert!(
        report["service"]
            .as_f64()
            .is_some_and(|s| (0.2..=1.0).contains(&s)),
        "{report:#}"
    );
    // Every life of every placer, killed ones up to their last whole block, decided as the module does.
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
    // A killed placer loses its last second, and some asks never reached theirs.
    assert!(
        (n("asks") * 8 / 10..=n("asks")).contains(&asked),
        "{asked} of {}",
        n("asks")
    );
}

const ROGUE_DAY: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../standin/scenarios/rogue.toml"
);

fn rogue(rule: u8) {
    let number = rule.to_string();
    let (code, report) = bad_day(&["--scenario", ROGUE_DAY, "--seed", "2", "--rogue", &number]);
    assert_eq!(code, Some(1), "{report:#}");
    let broken = report["broken"].as_object().expect("an object");
    assert!(
        broken.contains_key(&number),
        "the judge missed rule {rule}: {report:#}"
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
fn the_judge_catches_a_placer_that_leaves_asks_unanswered() {
    rogue(1);
}

#[test]
fn the_judge_catches_a_placer_that_keeps_quiet_around_pauses() {
    // Rogue 6 answers all that it is asked, but for what was open when it stood still for half a second.
    let (code, report) = bad_day(&["--scenario", ROGUE_DAY, "--seed", "2", "--rogue", "6"]);
    assert_eq!(code, Some(1), "{report:#}");
    assert!(report["unanswered"].as_u64() > Some(0), "{report:#}");
    assert!(report["broken"]["1"].as_u64() > Some(0), "{report:#}");
}

#[test]
fn the_judge_catches_a_placer_that_repeats_what_may_have_run() {
    rogue(2);
}

#[test]
fn the_judge_catches_a_placer_that_ignores_drains() {
    rogue(3);
}

#[test]
fn the_judge_catches_a_placer_that_pushes_cold_hosts_over() {
    rogue(4);
}

#[test]
fn the_judge_catches_a_placer_that_ignores_spread_limits() {
    rogue(5);
}

/// The exit status of a day on which a rogue had no occasion to break its rule.
const NO_OCCASION: i32 = 3;

#[test]
fn a_rogue_without_an_occasion_does_not_pass_for_a_day_that_kept_the_rules() {
    // No host drains and none is gone, so there is nothing for rogue 3 to ignore.
    let quiet = [
        "--without",
        "shrink",
        "--without",
        "host_crash",
        "--seconds",
        "3",
    ];
    let day = [
        &["--scenario", ROGUE_DAY, "--seed", "2", "--rogue", "3"][..],
        &quiet,
    ]
    .concat();
    let (code, report) = bad_day(&day);
    assert_eq!(code, Some(NO_OCCASION), "{report:#}");
    assert_eq!(
        report["rogue"],
        serde_json::json!({"number": 3, "moves": 0, "caught": 0}),
        "{report:#}"
    );
}

/// A rogue on a short standard day, where nothing was arranged for it.
fn rogue_on_a_short_standard_day(rogue: u8, rule: &str) {
    let (code, report) = bad_day(&[
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
        "the judge missed rule {rule}: {report:#}"
    );
    assert_eq!(
        (code, &report["rogue"]["caught"]),
        (Some(1), &report["broken"][rule]),
        "{report:#}"
    );
}

#[test]
fn rogue_5_has_its_occasion_on_a_short_standard_day() {
    rogue_on_a_short_standard_day(5, "5");
}

#[test]
fn rogue_6_has_its_occasion_on_a_short_standard_day() {
    rogue_on_a_short_standard_day(6, "1");
}

#[test]
fn a_placer_that_keeps_the_rules_keeps_them_on_the_rogues_day_too() {
    let (code, report) = bad_day(&["--scenario", ROGUE_DAY, "--seed", "2"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
}

#[test]
fn placers_that_restart_over_cold_hosts_keep_the_rules() {
    // With a fresh account after each start this day broke rule 4 every time.
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../standin/scenarios/restarts.toml"
    );
    let (code, report) = bad_day(&["--scenario", day, "--seed", "5"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn a_drawn_day_breaks_no_rule_and_is_written_as_it_is_played() {
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
    let (code, report) = bad_day(&[&args[..], &["--write-scenario", file]].concat());
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    // Played from its file it has the same first asks, though another decides.
    let (_, again) = bad_day(&["--scenario", file, "--seed", "3", "--random"]);
    assert_eq!(again["first_asks"], report["first_asks"], "{again:#}");
    assert!(report["first_asks"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn a_short_bad_day_with_a_catalogue_breaks_no_rule() {
    let (code, report) = bad_day(&[
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
fn a_leader_lost_during_a_rolling_deploy_breaks_no_rule() {
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../standin/scenarios/leader-lost.toml"
    );
    let (code, report) = bad_day(&["--consul", "--scenario", day, "--seed", "4"]);
    assert_eq!(
        (code, &report["broken"]),
        (Some(0), &serde_json::json!({})),
        "{report:#}"
    );
    assert!(report["placed"].as_u64() > Some(200), "{report:#}");
}

#[test]
fn numbers_under_fire_have_one_holder_and_are_taken_when_they_fall_free() {
    let day = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../standin/scenarios/membership.toml"
    );
    let mut day: toml::Table =
        toml::from_str(&std::fs::read_to_string(day).expect("a scenario")).expect("TOML");
    (day["placers"], day["slots"]) = (6.into(), 4.into());
    day["fleet"]["hosts"] = 9.into();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("membership.toml");
    std::fs::write(&file, day.to_string()).expect("a file");
    let file = file.to_str().expect("a name");
    let (code, report) = bad_day(&[
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
    // Numbers fall free when their holders are killed or stopped for longer than their sessions last.
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
