//! The generated page with its blocks and figures, and the plots.

mod support;

use maplethread_capacity::{
    Dimension, Fault, PageError, PagePart, Phase, ProcessSample, Report, regenerate,
};
use support::{SIZES, sweep};

const PAGE: &str = "# Capacity\n
<!-- begin generated: size -->
<!-- end generated: size -->
Text, and a figure: <!-- figure: workers/1300/rest/host_connections -->?<!-- /figure --> connections.
<!-- begin generated: workers -->
old
<!-- end generated: workers -->
<!-- begin generated: budgets -->
<!-- end generated: budgets -->
The end.";

fn report(phases: &[Phase]) -> Report {
    Report::new(vec![sweep(&SIZES, phases)], "capacity")
}

fn block<'a>(page: &'a str, name: &str) -> &'a str {
    let (_, after) = page
        .split_once(&format!("begin generated: {name} -->"))
        .expect("a begin marker");
    after
        .split_once(&format!("<!-- end generated: {name}"))
        .expect("an end marker")
        .0
}

fn row<'a>(text: &'a str, start: &str) -> Vec<&'a str> {
    let line = text.lines().find(|line| line.starts_with(start));
    line.unwrap_or_else(|| panic!("no row {start} in\n{text}"))
        .trim_matches('|')
        .split('|')
        .map(str::trim)
        .collect()
}

#[test]
fn regenerates_blocks_and_figures_and_keeps_other_text() {
    let page = regenerate(PAGE, &report(&[Phase::Rest])).expect("a page");
    assert!(page.text.contains(
        "a figure: <!-- figure: workers/1300/rest/host_connections -->1,300<!-- /figure --> c"
    ));
    assert!(page.text.starts_with("# Capacity\n") && page.text.ends_with("\nThe end."));
    assert!(!page.text.contains("\nold\n"));
    let parts: Vec<String> = page.changed.iter().map(PagePart::to_string).collect();
    let figure = "figure `workers/1300/rest/host_connections`";
    assert_eq!(
        parts,
        ["block `size`", figure, "block `workers`", "block `budgets`"]
    );
    let second_run = regenerate(&page.text, &report(&[Phase::Rest])).expect("a page");
    assert_eq!(
        (second_run.text, second_run.changed),
        (page.text, Vec::new())
    );
}

#[test]
fn lists_only_the_changed_parts() {
    let page = regenerate(PAGE, &report(&[Phase::Rest]))
        .expect("a page")
        .text;
    let edited = page.replace("connections -->1,300", "connections -->9");
    let regenerated = regenerate(&edited, &report(&[Phase::Rest])).expect("a page");
    assert_eq!(
        regenerated.changed,
        [PagePart::Figure(
            "workers/1300/rest/host_connections".to_owned()
        )]
    );
    let edited = page.replace("| workers | 1,300 |", "| workers | 1,200 |");
    let regenerated = regenerate(&edited, &report(&[Phase::Rest])).expect("a page");
    assert_eq!(regenerated.changed, [PagePart::Block("size".to_owned())]);
}

#[test]
fn block_of_a_sweep_shows_the_line_and_its_predictions() {
    let page = regenerate(PAGE, &report(&[Phase::Rest]))
        .expect("a page")
        .text;
    let workers = block(&page, "workers");
    let cells = row(workers, "| host connections | a + b·n");
    assert!(cells[1].contains("b = 1 (1 to 1)"), "{cells:?}");
    assert_eq!(
        cells[3..],
        [
            "1,300",
            "1,300 (1,300 to 1,300)",
            "1,300",
            "0.0%",
            "yes",
            "foretold"
        ]
    );
    assert!(
        workers.contains("| | | | 2,600 | 2,600 (2,600 to 2,600) | 2,600 | 0.0% | yes | |"),
        "{workers}"
    );
}

#[test]
fn budget_block_shows_headroom_and_missing_measurements() {
    let fault = Phase::WorstSecond(Fault::RackDies);
    let page = regenerate(PAGE, &report(&[Phase::Rest, fault]))
        .expect("a page")
        .text;
    let budgets = block(&page, "budgets");
    let rest = row(budgets, "| at rest");
    assert_eq!(rest[1], "1.4 (1.79×)");
    assert_eq!(
        rest[4], "**52,000 (0.23×)**",
        "control payload: 1,300 pings and pongs of 20 bytes per second"
    );
    assert_eq!(rest[8], "workers");
    assert_eq!(
        row(budgets, "| worst second: a rack of 40 dies")[1],
        "1.4 (1.79×)"
    );
    let peak = row(budgets, "| at the peak");
    assert!(
        peak[1..8].iter().all(|cell| *cell == "not measured"),
        "{peak:?}"
    );
    assert!(
        block(&page, "workers")
            .contains("Not measured in this sweep: at the peak; worst second: a worker dies")
    );
}

#[test]
fn lists_points_below_the_design_size_separately() {
    let mut result = sweep(&[800, 1_300], &[Phase::Peak]);
    result.points[1].settings.tasks = 12_000;
    let page = regenerate(PAGE, &Report::new(vec![result], "capacity"))
        .expect("a page")
        .text;
    let (at_size, other) = block(&page, "budgets")
        .split_once("<details>")
        .expect("other points");
    assert_eq!(row(at_size, "| at the peak")[1], "not measured");
    assert_eq!(
        row(other, "| at the peak")[..6],
        [
            "at the peak",
            "workers",
            "6",
            "12,000",
            "190",
            "1.4 (1.79×)"
        ]
    );
    assert_eq!(
        other.matches("| at the peak").count(),
        1,
        "points with fewer workers are listed"
    );
}

#[test]
fn reports_chosen_law_with_the_error_of_the_line() {
    let mut result = sweep(&SIZES, &[Phase::Rest]);
    for point in &mut result.points {
        let workers = u64::from(point.settings.workers);
        for placer in &mut point.phases[0].placers {
            placer.resident_kib = workers * workers;
        }
    }
    let page = regenerate(PAGE, &Report::new(vec![result], "capacity"))
        .expect("a page")
        .text;
    let cells = row(block(&page, "workers"), "| resident memory, KiB | a·n^b");
    // The line fitted to these squares is 242,000 + 892.68 (n - 420), which is 2,188,049 at 2,600 instead of 6,760,000.
    assert!(
        cells[1].contains("b = 2 (2 to 2); a line misses by 67.6%"),
        "{cells:?}"
    );
    assert_eq!((cells[7], cells[8]), ("yes", "foretold"));
}

#[test]
fn marks_phase_missing_at_some_sizes_as_not_measured() {
    let mut result = sweep(&SIZES, &[Phase::Rest]);
    result.points[1].phases.clear();
    let page = regenerate(PAGE, &Report::new(vec![result], "capacity"))
        .expect("a page")
        .text;
    let cells = row(block(&page, "workers"), "| at rest | 200 ");
    assert!(
        cells[2..7].iter().all(|cell| *cell == "not measured"),
        "{cells:?}"
    );
}

#[test]
fn reports_too_few_sizes_to_fit_for_a_single_size() {
    let single_size = Report::new(vec![sweep(&[1_300], &[Phase::Peak])], "capacity");
    let page = regenerate(PAGE, &single_size).expect("a page").text;
    assert!(block(&page, "workers").contains("Laws, at the peak: too few sizes to fit."));
    assert!(
        single_size.plots().expect("plots")[0]
            .svg
            .starts_with("<svg")
    );
}

#[test]
fn figures_cover_predictions_errors_coefficients_and_headroom() {
    let line = |key: &str| format!("<!-- figure: {key} --><!-- /figure -->\n");
    let keys = [
        ("workers/2600/rest/cpu/foretold", "2.7"),
        ("workers/2600/rest/cpu/error", "0.0%"),
        ("workers/law/rest/resident_memory/b", "8"),
        ("workers/800/rest/answer_p99", "2.5"),
        ("budget/rest/cpu", "1.4"),
        ("budget/rest/cpu/headroom", "1.79×"),
        ("budget/zone_dies/cpu/headroom", "not measured"),
        ("tasks/24000/rest/cpu", "not measured"),
    ];
    let page: String = keys.iter().map(|(key, _)| line(key)).collect();
    let page = regenerate(&format!("{PAGE}\n{page}"), &report(&[Phase::Rest]))
        .expect("a page")
        .text;
    for (key, value) in keys {
        assert!(
            page.contains(&format!("{key} -->{value}<")),
            "{key} in\n{page}"
        );
    }
}

#[test]
fn reports_sweep_without_results_as_not_measured() {
    let page = regenerate(PAGE, &Report::new(Vec::new(), "capacity"))
        .expect("a page")
        .text;
    assert_eq!(
        block(&page, "workers").trim(),
        "This sweep is not measured."
    );
    assert!(page.contains("-->not measured<!-- /figure --> connections."));
}

#[test]
fn rejects_invalid_markers_with_their_line() {
    let error =
        |page: &str| regenerate(page, &report(&[Phase::Rest])).expect_err("an invalid page");
    let name = "workers".to_owned();
    assert_eq!(
        error("# Capacity\n"),
        PageError::MissingBlock {
            name: "size".to_owned()
        }
    );
    let renamed = PAGE.replace("generated: workers", "generated: other");
    assert_eq!(
        error(&renamed),
        PageError::MissingBlock { name: name.clone() }
    );
    let unclosed = PAGE.replace("<!-- end generated: workers -->\n", "");
    assert_eq!(
        error(&unclosed),
        PageError::UnclosedBlock {
            line: 6,
            name: name.clone()
        }
    );
    let unopened = PAGE.replace("<!-- begin generated: workers -->\n", "");
    assert_eq!(error(&unopened), PageError::UnopenedBlock { line: 7 });
    let repeated =
        format!("{PAGE}\n<!-- begin generated: workers -->\n<!-- end generated: workers -->");
    assert_eq!(
        error(&repeated),
        PageError::RepeatedBlock { line: 12, name }
    );
    assert_eq!(
        error(&PAGE.replace("<!-- /figure -->", "")),
        PageError::UnclosedFigure { line: 5 }
    );
    let unknown_quantity = PAGE.replace("host_connections", "unknown");
    let expected = "line 5: figure `workers/1300/rest/unknown`: unknown quantity `unknown`";
    assert_eq!(error(&unknown_quantity).to_string(), expected);
}

#[test]
fn extreme_and_missing_values_render_without_an_error() {
    let mut largest = sweep(&[1, 2, 3, 4, 1_000_000_000], &[Phase::Rest, Phase::Peak]);
    largest.dimension = Dimension::Placers;
    for point in &mut largest.points {
        (point.settings.placers, point.settings.hollow_placers) =
            (point.settings.workers, u32::MAX - 1);
        for sample in &mut point.phases {
            sample.seconds = 0.001;
            sample.answer_us = Some([u64::MAX; 3]);
            sample.placers[0] = ProcessSample {
                cpu_cores: 1e9,
                proportional_kib: u64::MAX,
                ..sample.placers[0]
            };
            sample.messages[0].wire_bytes = u64::MAX;
        }
    }
    let mut without_placers = sweep(&[0, 0], &[Phase::Rest]);
    without_placers.points[0].phases[0].placers.clear();
    for result in [largest, without_placers, sweep(&[], &[])] {
        let report = Report::new(vec![result], "capacity");
        assert!(regenerate(PAGE, &report).is_ok());
        assert!(report.plots().is_ok());
    }
}

#[test]
fn plots_points_and_laws_deterministically() {
    let plots = report(&[Phase::Rest, Phase::Peak]).plots().expect("plots");
    assert_eq!(plots.len(), 1);
    assert_eq!(plots[0].file_name, "workers.svg");
    let svg = &plots[0].svg;
    assert!(
        svg.starts_with("<svg") && svg.contains("CPU, % of a core") && svg.contains("at the peak")
    );
    assert_eq!(
        svg.matches("<circle").count(),
        4 * 2 * SIZES.len(),
        "one point for each size, phase and panel"
    );
    assert_eq!(
        plots,
        report(&[Phase::Rest, Phase::Peak]).plots().expect("plots")
    );
}
