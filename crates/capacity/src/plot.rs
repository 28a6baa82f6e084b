//! The plot of a sweep as SVG text: what a placer costs over the size, at rest and at the peak, with the laws found.

use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

use crate::fit::Observation;
use crate::number::format_figure;
use crate::quantity::{Quantity, TrafficClass};
use crate::result::{Phase, SweepResult};
use crate::study::Study;

/// A plot could not be drawn.
#[derive(Debug, Error)]
#[error("plot of {sweep}: {problem}")]
pub struct PlotError {
    sweep: String,
    problem: String,
}

type DrawError = Box<dyn std::error::Error>;

const SIZE: (u32, u32) = (1200, 800);
/// Pieces that the curve of a law is drawn in.
const CURVE_STEPS: u32 = 12;
/// Room above the highest value.
const HEADROOM: f64 = 1.1;
const POINT_RADIUS: i32 = 4;

/// What is drawn, one panel each.
const PANELS: [Quantity; 4] = [
    Quantity::Cpu,
    Quantity::ProportionalMemory,
    Quantity::WireBytes(TrafficClass::Control),
    Quantity::WireBytes(TrafficClass::All),
];

/// Colours that stay apart for people who see few of them (Okabe and Ito).
const SERIES: [(Phase, RGBColor); 2] = [
    (Phase::Rest, RGBColor(0, 114, 178)),
    (Phase::Peak, RGBColor(213, 94, 0)),
];

/// Draws a sweep. Sizes that laws were fitted to are full, those that they foretold are hollow.
pub fn sweep_plot(result: &SweepResult) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, result).map_err(|error| PlotError {
        sweep: result.sweep.clone(),
        problem: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(svg: &mut String, result: &SweepResult) -> Result<(), DrawError> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    for (panel, quantity) in area.split_evenly((2, 2)).iter().zip(PANELS) {
        draw_panel(panel, result, quantity)?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    result: &SweepResult,
    quantity: Quantity,
) -> Result<(), DrawError> {
    let observed = SERIES.map(|(phase, _)| result.observations(phase, quantity));
    let all = || observed.iter().flatten();
    let largest = all().map(|o| o.size).fold(1.0, f64::max);
    let highest = all()
        .map(|o| o.value)
        .reduce(f64::max)
        .filter(|&value| value > 0.0)
        .unwrap_or(1.0);
    let mut chart = ChartBuilder::on(area)
        .caption(quantity.title(), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..highest * HEADROOM)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(result.dimension.title())
        .x_label_formatter(&|size| format_figure(*size))
        .y_label_formatter(&|value| format_figure(*value))
        .draw()?;
    for ((phase, colour), observations) in SERIES.into_iter().zip(&observed) {
        let study = Study::of_dimension(result.dimension, observations);
        let limit = study.as_ref().map_or(f64::INFINITY, Study::limit);
        let (fitted, held_out): (Vec<Observation>, Vec<Observation>) =
            observations.iter().partition(|o| o.size <= limit);
        let curve = study
            .map(|study| curve(&study, observations, highest * HEADROOM))
            .unwrap_or_default();
        chart
            .draw_series(LineSeries::new(curve, colour.stroke_width(2)))?
            .label(phase.title())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
        chart.draw_series(
            fitted
                .iter()
                .map(|o| Circle::new((o.size, o.value), POINT_RADIUS, colour.filled())),
        )?;
        let hollow =
            |o: &Observation| Circle::new((o.size, o.value), POINT_RADIUS, colour.stroke_width(2));
        chart.draw_series(held_out.iter().map(hollow))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// The law over the measured sizes, as far as the panel shows it.
fn curve(study: &Study, observations: &[Observation], highest: f64) -> Vec<(f64, f64)> {
    let fit = &study.chosen().fit;
    let sizes = || observations.iter().map(|o| o.size);
    let (first, last) = (
        sizes().fold(f64::INFINITY, f64::min),
        sizes().fold(0.0, f64::max),
    );
    let at = |step: u32| first + (last - first) * f64::from(step) / f64::from(CURVE_STEPS);
    let points = (0..=CURVE_STEPS)
        .map(at)
        .map(|size| (size, fit.value(size)));
    points
        .filter(|(_, value)| (0.0..=highest).contains(value))
        .collect()
}
