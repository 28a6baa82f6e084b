//! Draws a trace second by second as SVG: answers in the upper panel, offers and drains in the lower one, on one time axis.

use std::path::Path;

use maplethread_trace::summary::SecondCounts;
use plotters::prelude::*;

use crate::error::{CommandError, ErrorContext, Source};

const SIZE_PX: (u32, u32) = (1200, 640);
/// Maximum number of points of a line; each point of a longer trace is the mean over several seconds.
const MAX_POINTS: usize = 1200;

/// Colours that remain distinguishable with colour blindness (Okabe and Ito).
const REQUESTS_COLOR: RGBColor = RGBColor(120, 120, 120);
const PLACED_COLOR: RGBColor = RGBColor(0, 158, 115);
const REJECTED_COLOR: RGBColor = RGBColor(230, 159, 0);
const FAILED_COLOR: RGBColor = RGBColor(213, 94, 0);
const OFFERS_COLOR: RGBColor = RGBColor(0, 114, 178);
const DRAINS_COLOR: RGBColor = RGBColor(204, 121, 167);

type Series = (&'static str, RGBColor, fn(&SecondCounts) -> u32);

pub fn draw(file: &Path, seconds: &[SecondCounts]) -> Result<(), CommandError> {
    try_draw(file, seconds).in_file(file)
}

fn try_draw(file: &Path, seconds: &[SecondCounts]) -> Result<(), Source> {
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 as i32 * 3 / 5);
    let answers: [Series; 4] = [
        ("requests", REQUESTS_COLOR, |s| s.requests),
        ("placed", PLACED_COLOR, |s| s.placed),
        ("refused", REJECTED_COLOR, |s| s.rejected),
        ("failed", FAILED_COLOR, |s| s.failed),
    ];
    draw_panel(&upper, "requests and answers per second", seconds, &answers)?;
    draw_panel(
        &lower,
        "offers per second, and hosts that began to drain",
        seconds,
        &[
            ("offers", OFFERS_COLOR, |s| s.offers),
            ("drains", DRAINS_COLOR, |s| s.drains),
        ],
    )?;
    area.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    seconds: &[SecondCounts],
    lines: &[Series],
) -> Result<(), Source> {
    let step = seconds.len().div_ceil(MAX_POINTS).max(1);
    let points = |of: fn(&SecondCounts) -> u32| -> Vec<(f64, f64)> {
        let mean = |(n, chunk): (usize, &[SecondCounts])| {
            let sum: u32 = chunk.iter().map(of).sum();
            ((n * step) as f64, f64::from(sum) / chunk.len() as f64)
        };
        seconds.chunks(step).enumerate().map(mean).collect()
    };
    let max_value = lines
        .iter()
        .flat_map(|l| points(l.2))
        .map(|p| p.1)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..seconds.len().max(1) as f64, 0.0..max_value * 1.05)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("s since the first record")
        .draw()?;
    for &(name, colour, of) in lines {
        chart
            .draw_series(LineSeries::new(points(of), colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(REQUESTS_COLOR)
        .draw()?;
    Ok(())
}

#[cfg(test)]
mod tests;
