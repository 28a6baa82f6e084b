//! The generated blocks of the design size and of the budgets at that size.

use crate::markdown::Table;
use crate::number::{format_figure, format_multiple};
use crate::other_points::other_points;
use crate::quantity::{Aggregation, Quantity};
use crate::result::{Phase, SweepResult};
use crate::size::{Budget, DESIGN_SIZE};
use crate::sweep::find_sample;
use crate::sweep_block::NOT_MEASURED;

/// The highest value measured at the design size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasuredAtSize<'a> {
    /// The value.
    pub value: f64,
    /// The name of the sweep that it was measured in.
    pub sweep: &'a str,
}

/// The highest value of a quantity in a phase at the design size, over all sweeps, points and placers.
pub fn measured_at_size(
    results: &[SweepResult],
    phase: Phase,
    quantity: Quantity,
) -> Option<MeasuredAtSize<'_>> {
    let highest_in_sweep = |result: &SweepResult| {
        let points_at_size = result
            .points
            .iter()
            .filter(|point| DESIGN_SIZE.matches(&point.settings, phase));
        let samples = points_at_size.filter_map(|point| find_sample(point, phase));
        samples
            .filter_map(|sample| quantity.measured(sample, Aggregation::Highest))
            .reduce(f64::max)
    };
    let highest_by_sweep = results.iter().filter_map(|result| {
        Some(MeasuredAtSize {
            value: highest_in_sweep(result)?,
            sweep: &result.sweep,
        })
    });
    highest_by_sweep.reduce(|highest, next| {
        if next.value > highest.value {
            next
        } else {
            highest
        }
    })
}

/// The block of the design size.
pub fn size_block() -> String {
    let mut table = Table::new(&["", "the size"]);
    table.row(&["workers", &format_figure(f64::from(DESIGN_SIZE.workers))]);
    table.row(&[
        "tasks running",
        &format_figure(f64::from(DESIGN_SIZE.tasks)),
    ]);
    table.row(&[
        "task starts a second",
        &format_figure(DESIGN_SIZE.starts_per_second),
    ]);
    table.row(&[
        "control machines, with a placer each",
        &format_figure(f64::from(DESIGN_SIZE.control_machines)),
    ]);
    table.into_text()
}

/// The block of the budgets.
pub fn budget_block(results: &[SweepResult]) -> String {
    let mut header = vec!["phase".to_owned()];
    header.extend(Budget::ALL.map(|budget| budget.quantity().title()));
    header.push("sweeps".to_owned());
    let mut table = Table::new(&header);
    let mut limits = vec!["**budget**".to_owned()];
    limits.extend(Budget::ALL.map(|budget| format!("**{}**", format_figure(budget.limit()))));
    table.row(&limits);
    for phase in Phase::all() {
        table.row(&phase_row(results, phase));
    }
    format!(
        "Highest placer of all points at the size (traffic: mean of the placers), with the headroom: the budget over \
         the\nmeasured figure. Bold where the budget is exceeded.\n\n{}{}",
        table.into_text(),
        other_points(results)
    )
}

fn phase_row(results: &[SweepResult], phase: Phase) -> Vec<String> {
    let mut row = vec![phase.title()];
    let mut sweeps: Vec<&str> = Vec::new();
    for budget in Budget::ALL {
        let measured = measured_at_size(results, phase, budget.quantity());
        row.push(measured.map_or(NOT_MEASURED.to_owned(), |highest| {
            budget_cell(budget, highest.value)
        }));
        sweeps.extend(measured.map(|highest| highest.sweep));
    }
    sweeps.sort_unstable();
    sweeps.dedup();
    row.push(sweeps.join(", "));
    row
}

/// A measured value with its headroom, bold if the budget is exceeded.
pub fn budget_cell(budget: Budget, measured: f64) -> String {
    match budget.headroom(measured) {
        None => format_figure(measured),
        Some(headroom) if headroom < 1.0 => {
            format!(
                "**{} ({})**",
                format_figure(measured),
                format_multiple(headroom)
            )
        }
        Some(headroom) => format!(
            "{} ({})",
            format_figure(measured),
            format_multiple(headroom)
        ),
    }
}
