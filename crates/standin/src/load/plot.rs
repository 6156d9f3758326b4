//! Plot of latency by quantile, with one line for each row of the table.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::*;

use super::outcome::Measured;
use super::table::Row;

const SIZE: (u32, u32) = (900, 540);
const MARGIN: u32 = 16;
const LABEL_AREA: u32 = 48;
const FONT: (&str, u32) = ("sans-serif", 18);
/// End of the horizontal axis, in nines: 0 is the lowest latency, 3 is p99.9.
const NINES_MAX: f64 = 3.3;
const STEPS: u32 = 66;

/// Writes the plot as an SVG file. The horizontal axis counts nines: 1 is p90, 2 is p99, 3 is
/// p99.9.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn plot(path: &Path, title: &str, rows: &[Row]) -> anyhow::Result<()> {
    draw(path, title, rows).map_err(|error| anyhow!("{}: {error}", path.display()))
}

fn draw(path: &Path, title: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<(&str, Vec<(f64, f64)>)> = rows
        .iter()
        .filter_map(|row| Some((row.name.as_str(), latency_points(row.rounds.first()?))))
        .collect();
    let points = lines.iter().flat_map(|(_, line)| line);
    let latency_max_ms = points.map(|(_, ms)| *ms).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..NINES_MAX, 0.0..latency_max_ms * 1.05)?;
    chart.configure_mesh().x_desc("nines of the quantile").y_desc("latency, ms").draw()?;
    for (number, (name, line)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

fn latency_points(measured: &Measured) -> Vec<(f64, f64)> {
    let point = |step: u32| {
        let nines = f64::from(step) / f64::from(STEPS) * NINES_MAX;
        (nines, measured.quantile_ms(1.0 - 10f64.powf(-nines)))
    };
    (0..=STEPS).map(point).collect()
}
