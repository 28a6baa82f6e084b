//! `maplethread scale report`: the committed page and plots match the committed results.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PAGE_WITH_MARKERS: &str = "<!-- begin generated: size -->\n<!-- end generated: size -->\n\
    <!-- begin generated: workers -->\n<!-- end generated: workers -->\n\
    <!-- begin generated: budgets -->\n<!-- end generated: budgets -->\n";

const RESULT: &str = r#"{
  "format": 1,
  "sweep": "workers",
  "dimension": "workers",
  "command": "maplethread scale run config/scale/workers.toml",
  "commit": "0000000",
  "machine": {"processor": "made up", "cores": 2, "memory_mib": 4096, "kernel": "6.1"},
  "points": []
}"#;

fn run_report(page: &Path, results: &Path, check: bool) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_maplethread"));
    command
        .args(["scale", "report", "--page"])
        .arg(page)
        .arg("--results")
        .arg(results);
    if check {
        command.arg("--check");
    }
    command.output().expect("process runs")
}

fn error_text(output: &Output) -> String {
    assert!(!output.status.success(), "expected the command to fail");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

struct ReportFolder {
    _folder: tempfile::TempDir,
    page: PathBuf,
    results: PathBuf,
}

fn report_folder(result: &str) -> ReportFolder {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (page, results) = (
        folder.path().join("CAPACITY.md"),
        folder.path().join("capacity"),
    );
    fs::create_dir(&results).expect("folder can be created");
    fs::write(&page, PAGE_WITH_MARKERS).expect("file can be written");
    fs::write(results.join("workers.json"), result).expect("file can be written");
    ReportFolder {
        _folder: folder,
        page,
        results,
    }
}

#[test]
fn committed_page_and_plots_match_the_results() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let output = run_report(&docs.join("CAPACITY.md"), &docs.join("capacity"), true);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

#[test]
fn check_passes_on_written_page_until_it_is_changed() {
    let folder = report_folder(RESULT);
    let before = error_text(&run_report(&folder.page, &folder.results, true));
    assert!(
        before.contains("CAPACITY.md: block `workers` differs"),
        "{before}"
    );
    assert!(before.contains("workers.svg: does not exist"), "{before}");
    assert_eq!(
        fs::read_to_string(&folder.page).expect("file can be read"),
        PAGE_WITH_MARKERS,
        "a check writes nothing"
    );

    assert!(
        run_report(&folder.page, &folder.results, false)
            .status
            .success()
    );
    assert!(
        run_report(&folder.page, &folder.results, true)
            .status
            .success()
    );
    let page = fs::read_to_string(&folder.page).expect("file can be read");
    assert!(
        page.contains("](capacity/workers.svg)"),
        "the page links the plot by its relative path"
    );

    fs::write(&folder.page, page.replace("24,000", "25,000")).expect("file can be written");
    let changed = error_text(&run_report(&folder.page, &folder.results, true));
    assert!(
        changed.contains("CAPACITY.md: block `size` differs") && !changed.contains("workers"),
        "{changed}"
    );
}

#[test]
fn rejects_unreadable_result_with_file_and_line() {
    let folder = report_folder(&RESULT.replace("\"cores\": 2", "\"cores\": two"));
    let error = error_text(&run_report(&folder.page, &folder.results, false));
    assert!(error.contains("workers.json: line 7, column "), "{error}");
    assert_eq!(
        fs::read_to_string(&folder.page).expect("file can be read"),
        PAGE_WITH_MARKERS
    );
}

#[test]
fn rejects_page_without_markers() {
    let folder = report_folder(RESULT);
    fs::write(&folder.page, "# Capacity\n").expect("file can be written");
    let error = error_text(&run_report(&folder.page, &folder.results, false));
    assert!(
        error.contains("CAPACITY.md: no block `size`: add the lines"),
        "{error}"
    );
}
