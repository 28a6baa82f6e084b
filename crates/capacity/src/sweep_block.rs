//! The generated block of a sweep: where it was measured, its points, its laws and what they foretold.

use crate::fit::Interval;
use crate::markdown::{Table, folded};
use crate::number::{format_figure, format_percent};
use crate::quantity::{Aggregation, AnswerTime, Quantity, TrafficClass};
use crate::result::{Phase, PhaseSample, SweepResult};
use crate::study::{FitVerdict, HeldOut, MAX_RELATIVE_ERROR, Study, Trial};
use crate::sweep::find_sample;

/// What stands where nothing was measured.
pub const NOT_MEASURED: &str = "not measured";

/// What stands where there is nothing to measure, such as answers where nothing is asked.
const ABSENT: &str = "–";

/// Traffic columns of the tables of points.
const SHOWN_TRAFFIC: [TrafficClass; 4] = [
    TrafficClass::Control,
    TrafficClass::Placing,
    TrafficClass::Either,
    TrafficClass::All,
];

/// The block of a sweep. `plot` is where the page finds its plot.
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
        folded(
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

/// One row a phase and point: phases in the order of the page, points in that of the sweep.
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
        let packets = sample.and_then(|s| Some(s.loopback_packets? as f64 / s.seconds));
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
    let counts = [
        Quantity::Messages,
        Quantity::PayloadBytes,
        Quantity::WireBytes,
    ];
    let columns: Vec<Quantity> = counts
        .into_iter()
        .flat_map(|count| SHOWN_TRAFFIC.map(count))
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
        text += &format!("\n{}", folded(&title, &fit_table(result, phase)));
    }
    text
}

/// The size up to which the laws of a phase are fitted; the same for all quantities of a placer that ran.
fn phase_limit(result: &SweepResult, phase: Phase) -> Option<f64> {
    Some(result.study(phase, Quantity::Cpu)?.limit())
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
        if observations.iter().all(|o| o.value == 0.0) {
            always_zero.push(quantity.title());
        } else if let Some(study) = result.study(phase, quantity) {
            fit_rows(&mut table, quantity, &study);
        }
    }
    let mut text = table.into_text();
    if !always_zero.is_empty() {
        text += &format!("\n0 at every size: {}.\n", always_zero.join("; "));
    }
    text
}

/// A row for each size held out; what belongs to the law stands in the first.
fn fit_rows(table: &mut Table, quantity: Quantity, study: &Study) {
    let trial = study.chosen();
    let mut cells = vec![
        quantity.title(),
        law_cell(study),
        format_figure(trial.fit.residual_root_mean_square()),
    ];
    if trial.held_out.is_empty() {
        cells.extend([ABSENT; 5].map(str::to_owned));
        cells.push(verdict_cell(trial));
        table.row(&cells);
    }
    for (position, held_out) in trial.held_out.iter().enumerate() {
        let first = position == 0;
        let mut row = if first {
            cells.clone()
        } else {
            vec![String::new(); cells.len()]
        };
        row.extend(held_out_cells(held_out));
        row.push(if first {
            verdict_cell(trial)
        } else {
            String::new()
        });
        table.row(&row);
    }
}

fn law_cell(study: &Study) -> String {
    let fit = &study.chosen().fit;
    let names = fit.law().coefficient_names();
    let coefficient = |(name, c): (&&str, crate::fit::Coefficient)| {
        format!(
            "{name} = {}{}",
            format_figure(c.value),
            interval_text(c.interval)
        )
    };
    let coefficients: Vec<String> = names
        .iter()
        .zip(fit.coefficients())
        .map(coefficient)
        .collect();
    let mut text = format!("{}: {}", fit.law().formula(), coefficients.join(", "));
    if let Some(error) = missed_line_error(study) {
        text += &format!(
            "; a line misses by {}",
            format_percent(error).trim_start_matches('+')
        );
    }
    text
}

/// The largest error of the line, where another law was found.
fn missed_line_error(study: &Study) -> Option<f64> {
    let line = study.line()?;
    let other_law = study.chosen().fit.law() != line.fit.law();
    other_law.then(|| line.worst_error()).flatten()
}

fn held_out_cells(held_out: &HeldOut) -> Vec<String> {
    let inside = match held_out.is_in_interval() {
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
        inside.to_owned(),
    ]
}

fn interval_text(interval: Option<Interval>) -> String {
    interval.map_or(String::new(), |i| {
        format!(" ({} to {})", format_figure(i.low), format_figure(i.high))
    })
}

fn verdict_cell(trial: &Trial) -> String {
    match trial.verdict() {
        FitVerdict::Predicted => "foretold".to_owned(),
        FitVerdict::Missed => format!("missed by more than {:.0}%", MAX_RELATIVE_ERROR * 100.0),
        FitVerdict::NotTested => "not tested".to_owned(),
    }
}
