//! The generated block of a sweep: the machine, the points, and the laws with their predictions.

use crate::fit::Interval;
use crate::law_selection::{FitVerdict, HeldOut, LawEvaluation, LawSelection, MAX_RELATIVE_ERROR};
use crate::markdown::{Table, collapsible};
use crate::number::{format_figure, format_percent};
use crate::quantity::{Aggregation, AnswerTime, Quantity, TrafficClass};
use crate::result::{Phase, PhaseSample, SweepResult};
use crate::sweep::find_sample;

/// The text of cells that were not measured.
pub const NOT_MEASURED: &str = "not measured";

/// The text of cells without a value, such as answer times without requests.
const ABSENT: &str = "–";

/// The columns of the traffic table.
const SHOWN_TRAFFIC: [TrafficClass; 4] = [
    TrafficClass::Control,
    TrafficClass::Placing,
    TrafficClass::Either,
    TrafficClass::All,
];

/// The block of a sweep. `plot` is the path of its plot, relative to the page.
pub fn sweep_block(result: &SweepResult, plot: &str) -> String {
    let mut text = provenance(result);
    text += &format!(
        "\n![{}: cost of a placer over {}]({plot})\n",
        result.sweep,
        result.dimension.title()
    );
    text += "\nMean of the placers; packets and answers are those of all placers together.\n\n";
    text += &process_table(result);
    text += &format!(
        "\n{}",
        collapsible(
            "Traffic of one placer a second, both directions",
            &traffic_table(result)
        )
    );
    text += &missing_phases(result);
    text += &law_tables(result);
    text
}

fn provenance(result: &SweepResult) -> String {
    let machine = &result.machine;
    format!(
        "`{}` at {}, on {} ({} cores, {} MiB, Linux {}).\n",
        result.command,
        result.commit,
        machine.processor,
        machine.cores,
        machine.memory_mib,
        machine.kernel
    )
}

/// Calls `row` with the first cells and the sample of each phase and point, in the order of the page and of the sweep.
fn for_each_row(result: &SweepResult, mut row: impl FnMut(Vec<String>, Option<&PhaseSample>)) {
    for phase in result.measured_phases() {
        for point in &result.points {
            row(
                vec![phase.title(), format_figure(result.size_of(point))],
                find_sample(point, phase),
            );
        }
    }
}

fn process_table(result: &SweepResult) -> String {
    let columns = [
        Quantity::Cpu,
        Quantity::ResidentMemory,
        Quantity::ProportionalMemory,
        Quantity::Descriptors,
        Quantity::HostConnections,
        Quantity::Answer(AnswerTime::Median),
        Quantity::Answer(AnswerTime::Percentile99),
        Quantity::Answer(AnswerTime::Longest),
    ];
    let mut header = header(result, &columns);
    header.push("loopback packets/s".to_owned());
    let mut table = Table::new(&header);
    for_each_row(result, |mut cells, sample| {
        cells.extend(columns.map(|quantity| measured_cell(quantity, sample)));
        let packets =
            sample.and_then(|sample| Some(sample.loopback_packets? as f64 / sample.seconds));
        cells.push(packets.map_or(ABSENT.to_owned(), format_figure));
        table.row(&cells);
    });
    table.into_text()
}

fn header(result: &SweepResult, columns: &[Quantity]) -> Vec<String> {
    let mut header = vec!["phase".to_owned(), result.dimension.title().to_owned()];
    header.extend(columns.iter().map(|quantity| quantity.title()));
    header
}

fn traffic_table(result: &SweepResult) -> String {
    let traffic_quantities = [
        Quantity::Messages,
        Quantity::PayloadBytes,
        Quantity::WireBytes,
    ];
    let columns: Vec<Quantity> = traffic_quantities
        .into_iter()
        .flat_map(|quantity| SHOWN_TRAFFIC.map(quantity))
        .collect();
    let mut table = Table::new(&header(result, &columns));
    for_each_row(result, |mut cells, sample| {
        cells.extend(
            columns
                .iter()
                .map(|&quantity| measured_cell(quantity, sample)),
        );
        table.row(&cells);
    });
    table.into_text()
}

fn measured_cell(quantity: Quantity, sample: Option<&PhaseSample>) -> String {
    let Some(sample) = sample else {
        return NOT_MEASURED.to_owned();
    };
    quantity
        .measured(sample, Aggregation::Mean)
        .map_or(ABSENT.to_owned(), format_figure)
}

fn missing_phases(result: &SweepResult) -> String {
    let measured = result.measured_phases();
    let missing: Vec<String> = Phase::all()
        .filter(|phase| !measured.contains(phase))
        .map(Phase::title)
        .collect();
    match missing.as_slice() {
        [] => String::new(),
        missing => format!("\nNot measured in this sweep: {}.\n", missing.join("; ")),
    }
}

fn law_tables(result: &SweepResult) -> String {
    let mut text = format!(
        "\nA law counts as foretold where each size held out was foretold within {:.0}%. Where the line was not, the law \
         with the smallest error at these sizes is shown; they chose it, so they are no test of it.\n",
        MAX_RELATIVE_ERROR * 100.0
    );
    for phase in result.measured_phases() {
        let Some(limit) = phase_limit(result, phase) else {
            text += &format!("\nLaws, {}: too few sizes to fit.\n", phase.title());
            continue;
        };
        let title = format!(
            "Laws, {}: fitted to sizes up to {} {}",
            phase.title(),
            format_figure(limit),
            result.dimension.title()
        );
        text += &format!("\n{}", collapsible(&title, &fit_table(result, phase)));
    }
    text
}

/// The size up to which the laws of a phase are fitted, which is the same for all quantities of a placer process.
fn phase_limit(result: &SweepResult, phase: Phase) -> Option<f64> {
    Some(result.select_law(phase, Quantity::Cpu)?.limit())
}

fn fit_table(result: &SweepResult, phase: Phase) -> String {
    let header = [
        "quantity",
        "law and coefficients (95%)",
        "residual (root mean square)",
        "size held out",
        "foretold (95%)",
        "measured",
        "error",
        "in interval",
        "verdict",
    ];
    let mut table = Table::new(&header);
    let mut always_zero = Vec::new();
    for quantity in Quantity::all() {
        let observations = result.observations(phase, quantity);
        if observations.is_empty() {
            continue;
        }
        if observations
            .iter()
            .all(|observation| observation.value == 0.0)
        {
            always_zero.push(quantity.title());
        } else if let Some(selection) = result.select_law(phase, quantity) {
            fit_rows(&mut table, quantity, &selection);
        }
    }
    let mut text = table.into_text();
    if !always_zero.is_empty() {
        text += &format!("\n0 at every size: {}.\n", always_zero.join("; "));
    }
    text
}

/// Adds a row for each held-out size; the first one also shows the law and its verdict.
fn fit_rows(table: &mut Table, quantity: Quantity, selection: &LawSelection) {
    let evaluation = selection.selected();
    let mut cells = vec![
        quantity.title(),
        law_cell(selection),
        format_figure(evaluation.fit.residual_root_mean_square()),
    ];
    if evaluation.held_out.is_empty() {
        cells.extend([ABSENT; 5].map(str::to_owned));
        cells.push(verdict_cell(evaluation));
        table.row(&cells);
    }
    for (index, held_out) in evaluation.held_out.iter().enumerate() {
        let is_first = index == 0;
        let mut row = if is_first {
            cells.clone()
        } else {
            vec![String::new(); cells.len()]
        };
        row.extend(held_out_cells(held_out));
        row.push(if is_first {
            verdict_cell(evaluation)
        } else {
            String::new()
        });
        table.row(&row);
    }
}

fn law_cell(selection: &LawSelection) -> String {
    let fit = &selection.selected().fit;
    let names = fit.law().coefficient_names();
    let coefficient = |(name, estimate): (&&str, crate::fit::Coefficient)| {
        format!(
            "{name} = {}{}",
            format_figure(estimate.value),
            interval_text(estimate.interval)
        )
    };
    let coefficients: Vec<String> = names
        .iter()
        .zip(fit.coefficients())
        .map(coefficient)
        .collect();
    let mut text = format!("{}: {}", fit.law().formula(), coefficients.join(", "));
    if let Some(error) = rejected_line_error(selection) {
        text += &format!(
            "; a line misses by {}",
            format_percent(error).trim_start_matches('+')
        );
    }
    text
}

/// The largest error of the line, if another law was selected.
fn rejected_line_error(selection: &LawSelection) -> Option<f64> {
    let line = selection.line()?;
    let is_other_law = selection.selected().fit.law() != line.fit.law();
    is_other_law.then(|| line.worst_error()).flatten()
}

fn held_out_cells(held_out: &HeldOut) -> Vec<String> {
    let in_interval = match held_out.is_in_interval() {
        Some(true) => "yes",
        Some(false) => "no",
        None => ABSENT,
    };
    vec![
        format_figure(held_out.measured.size),
        format!(
            "{}{}",
            format_figure(held_out.predicted.value),
            interval_text(held_out.predicted.interval)
        ),
        format_figure(held_out.measured.value),
        format_percent(held_out.relative_error()),
        in_interval.to_owned(),
    ]
}

fn interval_text(interval: Option<Interval>) -> String {
    interval.map_or(String::new(), |interval| {
        format!(
            " ({} to {})",
            format_figure(interval.low),
            format_figure(interval.high)
        )
    })
}

fn verdict_cell(evaluation: &LawEvaluation) -> String {
    match evaluation.verdict() {
        FitVerdict::Predicted => "foretold".to_owned(),
        FitVerdict::Missed => format!("missed by more than {:.0}%", MAX_RELATIVE_ERROR * 100.0),
        FitVerdict::NotTested => "not tested".to_owned(),
    }
}
