//! SVG charts of the burn report.

use std::fmt::{self, Write};

use savorykeel_policy::burn::{Cause, Counts, SeriesPoint};
use strum::IntoEnumIterator;

/// Number of points of a series that a chart shows, one a minute.
const POINT_COUNT: u64 = 60;
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 120.0;
const MARGIN_LEFT: f64 = 48.0;
const MARGIN_BOTTOM: f64 = 18.0;
const BAR_GAP: f64 = 1.0;

/// Returns the colour of a cause in charts and in the legend.
pub(super) fn colour(cause: Cause) -> &'static str {
    match cause {
        Cause::Shed => "#b8860b",
        Cause::BackendFailure => "#b22222",
        Cause::Unknown => "#6a3d9a",
        Cause::Slow => "#1f78b4",
    }
}

/// Draws a bar chart of the share of bad calls by cause, for each minute of the last
/// hour.
pub(super) fn bad_calls_chart(points: &[SeriesPoint]) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_chart(&mut out, points);
    out
}

fn write_chart(out: &mut String, points: &[SeriesPoint]) -> fmt::Result {
    let max_share = points.iter().map(|point| bad_share(&point.counts)).fold(0.01, f64::max);
    writeln!(
        out,
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" role=\"img\" \
         aria-label=\"bad calls by cause, last hour\">"
    )?;
    write_axes(out, max_share)?;
    for point in points.iter().filter(|point| point.age < POINT_COUNT) {
        write_bar(out, point, max_share)?;
    }
    writeln!(out, "</svg>")
}

fn write_axes(out: &mut String, max_share: f64) -> fmt::Result {
    let base = HEIGHT - MARGIN_BOTTOM;
    writeln!(out, "<line x1=\"{MARGIN_LEFT}\" y1=\"{base}\" x2=\"{WIDTH}\" y2=\"{base}\"/>")?;
    writeln!(out, "<line x1=\"{MARGIN_LEFT}\" y1=\"0\" x2=\"{MARGIN_LEFT}\" y2=\"{base}\"/>")?;
    writeln!(out, "<text x=\"0\" y=\"10\">{:.1}%</text>", max_share * 100.0)?;
    writeln!(out, "<text x=\"0\" y=\"{base}\">0%</text>")?;
    writeln!(out, "<text x=\"{MARGIN_LEFT}\" y=\"{HEIGHT}\">1 h ago</text>")?;
    writeln!(out, "<text x=\"{WIDTH}\" y=\"{HEIGHT}\" text-anchor=\"end\">now</text>")
}

fn write_bar(out: &mut String, point: &SeriesPoint, max_share: f64) -> fmt::Result {
    let step = (WIDTH - MARGIN_LEFT) / POINT_COUNT as f64;
    let x = WIDTH - step * (point.age + 1) as f64;
    let scale = (HEIGHT - MARGIN_BOTTOM) / max_share;
    let mut y = HEIGHT - MARGIN_BOTTOM;
    for cause in Cause::iter() {
        let height = share(point.counts.by_cause(cause), point.counts.total) * scale;
        if height <= 0.0 {
            continue;
        }
        y -= height;
        writeln!(
            out,
            "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{:.1}\" height=\"{height:.1}\" fill=\"{}\">\
             <title>{} min ago: {} {} of {}</title></rect>",
            step - BAR_GAP,
            colour(cause),
            point.age,
            point.counts.by_cause(cause),
            cause,
            point.counts.total
        )?;
    }
    Ok(())
}

fn bad_share(counts: &Counts) -> f64 {
    share(counts.failed() + counts.slow, counts.total)
}

fn share(part: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { part as f64 / total as f64 }
}
