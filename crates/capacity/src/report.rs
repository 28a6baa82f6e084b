//! The report on all results: the blocks and figures of the page, and the plots.

use crate::budget_block::{budget_block, measured_at_size, size_block};
use crate::figure::{FigureKey, KeyError, SweepAspect};
use crate::law_selection::LawEvaluation;
use crate::number::{format_figure, format_multiple, format_percent};
use crate::page::PageContents;
use crate::plot::{PlotError, sweep_plot};
use crate::quantity::Quantity;
use crate::result::{Phase, SweepResult};
use crate::sweep_block::{NOT_MEASURED, sweep_block};

/// The name of the block of the design size.
pub const SIZE_BLOCK: &str = "size";
/// The name of the block of the budgets at that size.
pub const BUDGET_BLOCK: &str = "budgets";

/// A plot, to be written to a file next to the results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plot {
    /// The name of the file.
    pub file_name: String,
    /// The SVG text.
    pub svg: String,
}

/// The report on the results of all sweeps.
#[derive(Clone, Debug)]
pub struct Report {
    results: Vec<SweepResult>,
    plot_folder: String,
}

impl Report {
    /// Creates a report. `plot_folder` is the path of the plots' folder, relative to the page.
    pub fn new(mut results: Vec<SweepResult>, plot_folder: &str) -> Self {
        results.sort_by(|a, b| a.sweep.cmp(&b.sweep));
        Self {
            results,
            plot_folder: plot_folder.to_owned(),
        }
    }

    /// Draws the plot of each sweep.
    ///
    /// # Errors
    ///
    /// A plot could not be drawn.
    pub fn plots(&self) -> Result<Vec<Plot>, PlotError> {
        let plot = |result: &SweepResult| {
            Ok(Plot {
                file_name: plot_file_name(&result.sweep),
                svg: sweep_plot(result)?,
            })
        };
        self.results.iter().map(plot).collect()
    }

    fn result(&self, sweep: &str) -> Option<&SweepResult> {
        self.results.iter().find(|result| result.sweep == sweep)
    }

    fn sweep_figure(
        &self,
        sweep: &str,
        phase: Phase,
        quantity: Quantity,
        aspect: &SweepAspect,
    ) -> Option<String> {
        let result = self.result(sweep)?;
        if let SweepAspect::Measured(size) = aspect {
            return result.measured(phase, quantity, *size).map(format_figure);
        }
        let selection = result.select_law(phase, quantity)?;
        evaluation_figure(selection.selected(), aspect)
    }

    fn key_figure(&self, key: &FigureKey) -> Option<String> {
        match key {
            FigureKey::Sweep {
                sweep,
                phase,
                quantity,
                aspect,
            } => self.sweep_figure(sweep, *phase, *quantity, aspect),
            FigureKey::Budget {
                phase,
                budget,
                headroom,
            } => {
                let measured = measured_at_size(&self.results, *phase, budget.quantity())?.value;
                if *headroom {
                    budget.headroom(measured).map(format_multiple)
                } else {
                    Some(format_figure(measured))
                }
            }
        }
    }
}

impl PageContents for Report {
    fn required_blocks(&self) -> Vec<String> {
        let fixed_blocks = [SIZE_BLOCK, BUDGET_BLOCK].map(str::to_owned);
        fixed_blocks
            .into_iter()
            .chain(self.results.iter().map(|result| result.sweep.clone()))
            .collect()
    }

    fn block(&self, name: &str) -> String {
        match name {
            SIZE_BLOCK => size_block(),
            BUDGET_BLOCK => budget_block(&self.results),
            sweep => match self.result(sweep) {
                Some(result) => sweep_block(
                    result,
                    &format!("{}/{}", self.plot_folder, plot_file_name(sweep)),
                ),
                None => format!("This sweep is {NOT_MEASURED}.\n"),
            },
        }
    }

    fn figure(&self, key: &str) -> Result<String, KeyError> {
        let key = FigureKey::parse(key)?;
        Ok(self
            .key_figure(&key)
            .unwrap_or_else(|| NOT_MEASURED.to_owned()))
    }
}

fn evaluation_figure(evaluation: &LawEvaluation, aspect: &SweepAspect) -> Option<String> {
    let held_out = |size: f64| {
        evaluation
            .held_out
            .iter()
            .find(|held_out| held_out.measured.size == size)
    };
    match aspect {
        SweepAspect::Measured(_) => None,
        SweepAspect::Predicted(size) => {
            held_out(*size).map(|held_out| format_figure(held_out.predicted.value))
        }
        SweepAspect::Error(size) => {
            held_out(*size).map(|held_out| format_percent(held_out.relative_error()))
        }
        SweepAspect::Coefficient(name) => {
            let position = evaluation
                .fit
                .law()
                .coefficient_names()
                .iter()
                .position(|coefficient_name| coefficient_name == name)?;
            evaluation
                .fit
                .coefficients()
                .get(position)
                .map(|coefficient| format_figure(coefficient.value))
        }
    }
}

fn plot_file_name(sweep: &str) -> String {
    format!("{sweep}.svg")
}
