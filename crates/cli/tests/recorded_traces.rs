//! Traces of an earlier build, recorded in a random scenario, stay readable: every recorded turn replays to the same
//! actions, and every report on them equals the one that the earlier build printed.
//!
//! `fixtures/recorded` has three files of two placers, one of which was restarted, and the output of `maplethread trace` for
//! each of them at commit a11b515. The fixtures are not regenerated when the code changes.

use std::path::{Path, PathBuf};
use std::process::Command;

/// The recorded files, with their numbers of turns and of actions.
const RECORDED: [(&str, u64, u64); 3] = [
    ("placer-0", 1587, 848),
    ("placer-1", 399, 245),
    ("placer-1-restarted", 1101, 594),
];

fn fixture(name: &str, ending: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/recorded")
        .join(format!("{name}.{ending}"))
}

/// Runs `maplethread trace` with these arguments on a recorded file, and returns its standard output.
fn trace(arguments: &[&str], name: &str) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_maplethread"))
        .arg("trace")
        .args(arguments)
        .arg(fixture(name, "mtrace"))
        .output()
        .expect("process runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(
        output.status.success(),
        "trace {arguments:?} {name}: {errors}"
    );
    String::from_utf8(output.stdout).expect("valid UTF-8")
}

fn expected(name: &str, ending: &str) -> String {
    std::fs::read_to_string(fixture(name, ending)).expect("fixture can be read")
}

#[test]
fn every_recorded_turn_replays_to_the_same_actions() {
    for (name, turns, actions) in RECORDED {
        let report = trace(&["replay", "--build-differs"], name);
        let wanted = format!(
            "{turns} turns, {actions} actions compared, 0 turns differ, 0 turns after a gap not compared;"
        );
        assert!(report.starts_with(&wanted), "{name}: {report}");
    }
}

#[test]
fn summaries_of_recorded_traces_read_as_before() {
    for (name, ..) in RECORDED {
        assert_eq!(trace(&["summary"], name), expected(name, "summary.txt"));
        assert_eq!(
            trace(&["summary", "--json"], name),
            expected(name, "summary.json")
        );
    }
}

#[test]
fn losses_of_recorded_traces_read_as_before() {
    for (name, ..) in RECORDED {
        assert_eq!(trace(&["losses"], name), expected(name, "losses.txt"));
        assert_eq!(
            trace(&["losses", "--json"], name),
            expected(name, "losses.json")
        );
    }
}

#[test]
fn records_of_recorded_traces_print_as_the_same_json_lines() {
    for (name, ..) in RECORDED {
        let printed = trace(&["cat"], name);
        let packed = std::fs::read(fixture(name, "cat.zst")).expect("fixture can be read");
        let wanted = zstd::decode_all(&packed[..]).expect("valid Zstandard frame");
        let wanted = String::from_utf8(wanted).expect("valid UTF-8");
        let lines = printed.lines().zip(wanted.lines());
        for (number, (printed, wanted)) in lines.enumerate() {
            assert_eq!(printed, wanted, "{name}, line {}", number + 1);
        }
        assert_eq!(printed.len(), wanted.len(), "{name}");
    }
}

#[test]
fn headers_of_recorded_traces_are_read_as_before() {
    for (name, ..) in RECORDED {
        let mut printed: serde_json::Value =
            serde_json::from_str(&trace(&["info"], name)).expect("valid JSON");
        let mut wanted: serde_json::Value =
            serde_json::from_str(&expected(name, "info.json")).expect("valid JSON");
        // The source of the policy module has changed since the recording, and so has its hash.
        for info in [&mut printed, &mut wanted] {
            let key = info.as_object_mut().expect("JSON object");
            assert!(key.remove("module_is_this_one").is_some());
        }
        assert_eq!(printed, wanted, "{name}");
    }
}
