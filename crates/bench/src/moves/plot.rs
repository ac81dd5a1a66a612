//! Plots the number of calls harmed by bad versions under each strategy.

use std::path::Path;

use anyhow::Context;
use plotters::prelude::*;
use strum::IntoEnumIterator;

use super::{Cell, stats::mean, strategy::Strategy};

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (1_200, 640);

/// Writes the plot to an SVG file.
pub(crate) fn write(path: &Path, cells: &[Cell]) -> anyhow::Result<()> {
    draw(path, cells).with_context(|| format!("failed to write the plot to {}", path.display()))
}

fn draw(path: &Path, cells: &[Cell]) -> anyhow::Result<()> {
    let bad: Vec<&Cell> = cells.iter().filter(|cell| !cell.family.is_good()).collect();
    let mut families: Vec<_> = bad.iter().map(|cell| cell.family).collect();
    families.dedup();
    let max_harm = bad.iter().map(|cell| mean_harmed_calls(cell)).fold(10.0, f64::max) * 2.0;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Calls harmed by a bad version, mean over the seeds", ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(60)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..families.len() as f64, (1.0..max_harm).log_scale())?;
    let names: Vec<String> = families.iter().map(ToString::to_string).collect();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(families.len() + 1)
        .x_label_formatter(&|x| names.get(*x as usize).cloned().unwrap_or_default())
        .x_label_style(("sans-serif", 11))
        .y_desc("calls")
        .draw()?;
    for (i, strategy) in Strategy::iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let bars = bad.iter().filter(|cell| cell.strategy == strategy).filter_map(|cell| {
            let at = families.iter().position(|family| *family == cell.family)? as f64;
            let left = at + 0.1 + 0.2 * i as f64;
            Some(Rectangle::new(
                [(left, 1.0), (left + 0.18, mean_harmed_calls(cell).max(1.0))],
                color.filled(),
            ))
        });
        chart
            .draw_series(bars)?
            .label(strategy.to_string())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    area.present()?;
    Ok(())
}

fn mean_harmed_calls(cell: &Cell) -> f64 {
    let harmed: Vec<f64> =
        cell.outcomes.iter().map(|outcome| outcome.harmed_calls as f64).collect();
    mean(&harmed).value
}
