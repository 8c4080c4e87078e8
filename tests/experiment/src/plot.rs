//! The differences of each metric as points, drawn to a file.

use crate::comparison::MetricChange;
use crate::error::ExperimentError;
use plotters::prelude::*;
use std::path::Path;

/// Size of the picture.
const WIDTH: u32 = 900;
/// Height of the row of one metric.
const ROW_HEIGHT: u32 = 28;
/// Room for the names of metrics.
const LABEL_WIDTH: u32 = 330;
/// Room for title and axis.
const FRAME_HEIGHT: u32 = 90;
/// Range of the axis where nothing moved.
const RANGE_MIN: f64 = 0.001;

/// Draws the differences of all metrics that moved.
///
/// # Errors
///
/// The file cannot be written.
pub fn draw(path: &Path, title: &str, changes: &[MetricChange]) -> Result<(), ExperimentError> {
    let moved: Vec<&MetricChange> = changes.iter().filter(|change| change.has_moved()).collect();
    let failed = |error: &dyn std::fmt::Display| ExperimentError::Plot(error.to_string());
    let height = FRAME_HEIGHT + ROW_HEIGHT * moved.len() as u32;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE).map_err(|error| failed(&error))?;
    let differences = moved.iter().flat_map(|change| &change.differences);
    let range = differences.fold(RANGE_MIN, |range, one| range.max(one.abs())) * 1.1;
    let rows = moved.len().max(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(-range..range, 0.0..rows)
        .map_err(|error| failed(&error))?;
    let name = |row: &f64| {
        let place = rows - row - 0.5;
        let is_middle = place >= 0.0 && place.fract().abs() < 0.01;
        let metric = moved.get(place as usize).filter(|_| is_middle);
        metric.map_or_else(String::new, |change| change.metric.clone())
    };
    chart
        .configure_mesh()
        .y_labels(2 * moved.len() + 1)
        .y_label_formatter(&name)
        .disable_y_mesh()
        .draw()
        .map_err(|error| failed(&error))?;
    for (place, change) in moved.iter().enumerate() {
        let row = rows - place as f64 - 0.5;
        let points = change.differences.iter();
        let points = points.map(|one| Circle::new((*one, row), 3, BLUE.filled()));
        chart.draw_series(points).map_err(|error| failed(&error))?;
        let median = Cross::new((change.summary.median, row), 6, RED.stroke_width(2));
        chart
            .draw_series(std::iter::once(median))
            .map_err(|error| failed(&error))?;
    }
    area.present().map_err(|error| failed(&error))
}
