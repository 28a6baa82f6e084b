//! The plot of a sweep as SVG text: the costs of a placer by size, at rest and at the peak, with the selected laws.

use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

use crate::fit::Observation;
use crate::law_selection::LawSelection;
use crate::number::format_figure;
use crate::quantity::{Quantity, TrafficClass};
use crate::result::{Phase, SweepResult};

/// The plot of a sweep could not be drawn.
#[derive(Debug, Error)]
#[error("plot of {sweep}: {problem}")]
pub struct PlotError {
    sweep: String,
    problem: String,
}

type DrawError = Box<dyn std::error::Error>;

const SIZE_PIXELS: (u32, u32) = (1200, 800);
/// The number of line segments that the curve of a law is drawn with.
const CURVE_SEGMENTS: u32 = 12;
/// The height of the axis as a factor of the highest value.
const AXIS_HEIGHT_FACTOR: f64 = 1.1;
const POINT_RADIUS_PIXELS: i32 = 4;

/// The quantity of each panel.
const PANELS: [Quantity; 4] = [
    Quantity::Cpu,
    Quantity::ProportionalMemory,
    Quantity::WireBytes(TrafficClass::Control),
    Quantity::WireBytes(TrafficClass::All),
];

/// The phases and their colours, which are from the palette of Okabe and Ito for colour-blind readers.
const SERIES: [(Phase, RGBColor); 2] = [
    (Phase::Rest, RGBColor(0, 114, 178)),
    (Phase::Peak, RGBColor(213, 94, 0)),
];

/// Draws a sweep. Points that laws were fitted to are filled, held-out points are hollow.
///
/// # Errors
///
/// Drawing failed.
pub fn sweep_plot(result: &SweepResult) -> Result<String, PlotError> {
    let mut svg = String::new();
    draw(&mut svg, result).map_err(|error| PlotError {
        sweep: result.sweep.clone(),
        problem: error.to_string(),
    })?;
    Ok(svg)
}

fn draw(svg: &mut String, result: &SweepResult) -> Result<(), DrawError> {
    let area = SVGBackend::with_string(svg, SIZE_PIXELS).into_drawing_area();
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
    let observations_by_series = SERIES.map(|(phase, _)| result.observations(phase, quantity));
    let all_observations = || observations_by_series.iter().flatten();
    let max_size = all_observations()
        .map(|observation| observation.size)
        .fold(1.0, f64::max);
    let max_value = all_observations()
        .map(|observation| observation.value)
        .reduce(f64::max)
        .filter(|&value| value > 0.0)
        .unwrap_or(1.0);
    let mut chart = ChartBuilder::on(area)
        .caption(quantity.title(), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..max_size * 1.05, 0.0..max_value * AXIS_HEIGHT_FACTOR)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(result.dimension.title())
        .x_label_formatter(&|size| format_figure(*size))
        .y_label_formatter(&|value| format_figure(*value))
        .draw()?;
    for ((phase, colour), observations) in SERIES.into_iter().zip(&observations_by_series) {
        let selection = LawSelection::of_dimension(result.dimension, observations);
        let limit = selection
            .as_ref()
            .map_or(f64::INFINITY, LawSelection::limit);
        let (fitted, held_out): (Vec<Observation>, Vec<Observation>) = observations
            .iter()
            .partition(|observation| observation.size <= limit);
        let curve = selection
            .map(|selection| curve(&selection, observations, max_value * AXIS_HEIGHT_FACTOR))
            .unwrap_or_default();
        chart
            .draw_series(LineSeries::new(curve, colour.stroke_width(2)))?
            .label(phase.title())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
        chart.draw_series(fitted.iter().map(|observation| {
            Circle::new(
                (observation.size, observation.value),
                POINT_RADIUS_PIXELS,
                colour.filled(),
            )
        }))?;
        let hollow_point = |observation: &Observation| {
            Circle::new(
                (observation.size, observation.value),
                POINT_RADIUS_PIXELS,
                colour.stroke_width(2),
            )
        };
        chart.draw_series(held_out.iter().map(hollow_point))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}

/// The points of the selected law over the measured sizes, without those outside the panel.
fn curve(
    selection: &LawSelection,
    observations: &[Observation],
    max_value: f64,
) -> Vec<(f64, f64)> {
    let fit = &selection.selected().fit;
    let sizes = || observations.iter().map(|observation| observation.size);
    let (min_size, max_size) = (
        sizes().fold(f64::INFINITY, f64::min),
        sizes().fold(0.0, f64::max),
    );
    let size_at = |segment: u32| {
        min_size + (max_size - min_size) * f64::from(segment) / f64::from(CURVE_SEGMENTS)
    };
    let points = (0..=CURVE_SEGMENTS)
        .map(size_at)
        .map(|size| (size, fit.value(size)));
    points
        .filter(|(_, value)| (0.0..=max_value).contains(value))
        .collect()
}
