//! What is derived from all results: the blocks and figures of the page, and the plots.

use crate::budget_block::{budget_block, measured_at_size, size_block};
use crate::figure::{FigureKey, KeyError, SweepAspect};
use crate::number::{format_figure, format_multiple, format_percent};
use crate::page::Contents;
use crate::plot::{PlotError, sweep_plot};
use crate::quantity::Quantity;
use crate::result::{Phase, SweepResult};
use crate::study::Trial;
use crate::sweep_block::{NOT_MEASURED, sweep_block};

/// The block of the size that the design is made for.
pub const SIZE_BLOCK: &str = "size";
/// The block of the budgets at that size.
pub const BUDGET_BLOCK: &str = "budgets";

/// A plot as a file beside the results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plot {
    /// The name of the file.
    pub file_name: String,
    /// The SVG text.
    pub svg: String,
}

/// All results, and what is said of them.
#[derive(Clone, Debug)]
pub struct Report {
    results: Vec<SweepResult>,
    plot_folder: String,
}

impl Report {
    /// A report of results, whose page finds the plots in `plot_folder`.
    pub fn new(mut results: Vec<SweepResult>, plot_folder: &str) -> Self {
        results.sort_by(|a, b| a.sweep.cmp(&b.sweep));
        Self {
            results,
            plot_folder: plot_folder.to_owned(),
        }
    }

    /// The plot of each sweep.
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
        let study = result.study(phase, quantity)?;
        trial_figure(study.chosen(), aspect)
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

impl Contents for Report {
    fn required_blocks(&self) -> Vec<String> {
        let fixed = [SIZE_BLOCK, BUDGET_BLOCK].map(str::to_owned);
        fixed
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

fn trial_figure(trial: &Trial, aspect: &SweepAspect) -> Option<String> {
    let held_out = |size: f64| {
        trial
            .held_out
            .iter()
            .find(|held_out| held_out.measured.size == size)
    };
    match aspect {
        SweepAspect::Measured(_) => None,
        SweepAspect::Predicted(size) => held_out(*size).map(|h| format_figure(h.predicted.value)),
        SweepAspect::Error(size) => held_out(*size).map(|h| format_percent(h.relative_error())),
        SweepAspect::Coefficient(name) => {
            let position = trial
                .fit
                .law()
                .coefficient_names()
                .iter()
                .position(|n| n == name)?;
            trial
                .fit
                .coefficients()
                .get(position)
                .map(|c| format_figure(c.value))
        }
    }
}

fn plot_file_name(sweep: &str) -> String {
    format!("{sweep}.svg")
}
