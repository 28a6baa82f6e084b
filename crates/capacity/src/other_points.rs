//! The generated table of points with the workers of the design size, but with other tasks, starts or placers.

use crate::budget_block::budget_cell;
use crate::markdown::{Table, collapsible};
use crate::number::format_figure;
use crate::quantity::Aggregation;
use crate::result::{Dimension, Phase, PhaseSample, PointSettings, SweepResult};
use crate::size::{Budget, DESIGN_SIZE};
use crate::sweep::find_sample;
use crate::sweep_block::NOT_MEASURED;

/// The table as a collapsible section; empty without such points.
pub fn other_points(results: &[SweepResult]) -> String {
    let rows: Vec<Vec<String>> = Phase::all()
        .flat_map(|phase| phase_rows(results, phase))
        .collect();
    if rows.is_empty() {
        return String::new();
    }
    let mut header = ["phase", "sweep", "placers", "tasks", "starts/s"]
        .map(str::to_owned)
        .to_vec();
    header.extend(Budget::ALL.map(|budget| budget.quantity().title()));
    let mut table = Table::new(&header);
    for row in &rows {
        table.row(row);
    }
    let workers = format_figure(f64::from(DESIGN_SIZE.workers));
    let title = format!("Measured with {workers} workers, but not at the whole size");
    format!("\n{}", collapsible(&title, &table.into_text()))
}

fn phase_rows(results: &[SweepResult], phase: Phase) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for result in results {
        for point in result
            .points
            .iter()
            .filter(|point| has_design_workers_only(&point.settings, phase))
        {
            let sample = find_sample(point, phase);
            rows.extend(sample.map(|sample| row(&result.sweep, &point.settings, sample)));
        }
    }
    rows
}

fn has_design_workers_only(settings: &PointSettings, phase: Phase) -> bool {
    settings.workers == DESIGN_SIZE.workers && !DESIGN_SIZE.matches(settings, phase)
}

fn row(sweep: &str, settings: &PointSettings, sample: &PhaseSample) -> Vec<String> {
    let starts = if sample.phase == Phase::Rest {
        0.0
    } else {
        settings.starts_per_second
    };
    let sizes = [
        settings.value(Dimension::Placers),
        settings.value(Dimension::Tasks),
        starts,
    ];
    let mut row = vec![sample.phase.title(), sweep.to_owned()];
    row.extend(sizes.map(format_figure));
    row.extend(Budget::ALL.map(|budget| {
        let measured = budget.quantity().measured(sample, Aggregation::Highest);
        measured.map_or(NOT_MEASURED.to_owned(), |value| budget_cell(budget, value))
    }));
    row
}
