//! The plot of requests in time, late, refused and failed over time.

use std::collections::BTreeMap;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, PathElement, RGBColor, SVGBackend,
    Text, WHITE,
};

use super::tally::Row;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 400);
/// Width of the part at the right that says which line is which.
const KEY_WIDTH: u32 = 100;
/// Distance of the key's first row from the top, and of each row from the one before it, in pixels.
const KEY_ROW_HEIGHT: i32 = 20;
/// Length of a line in the key, in pixels.
const KEY_LINE_LENGTH: i32 = 16;

/// Returns the shares of each second's requests as an SVG document.
///
/// # Errors
///
/// Returns a message if the plot can't be drawn.
pub(super) fn seconds_as_svg(seconds: &BTreeMap<u64, Row>) -> Result<String, String> {
    let mut svg = String::new();
    draw(&mut svg, seconds).map_err(|err| err.to_string())?;
    Ok(svg)
}

/// Selects one count of a row.
type Count = fn(&Row) -> u64;

fn draw(svg: &mut String, seconds: &BTreeMap<u64, Row>) -> Result<(), Box<dyn std::error::Error>> {
    let first = seconds.keys().next().copied().unwrap_or(0);
    let last = seconds
        .keys()
        .next_back()
        .copied()
        .unwrap_or(0)
        .max(first + 1);
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (plot, key) = root.split_horizontally(SIZE.0 - KEY_WIDTH);
    let mut chart = ChartBuilder::on(&plot)
        .caption("share of the requests of each second", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(first as f64..last as f64, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first start of a process")
        .draw()?;
    let series: [(&str, RGBColor, Count); 4] = [
        ("in time", RGBColor(0, 128, 0), |row| row.in_time),
        ("late", RGBColor(230, 150, 0), |row| row.late),
        ("refused", RGBColor(0, 0, 200), |row| row.refused),
        ("failed", RGBColor(200, 0, 0), |row| row.failed),
    ];
    for (row, (label, color, count)) in (1..).zip(series) {
        let points = seconds.iter().map(|(second, row)| {
            let share = count(row) as f64 / row.requests.max(1) as f64;
            (*second as f64, share)
        });
        let style = color.stroke_width(2);
        chart.draw_series(LineSeries::new(points, style))?;
        let y = row * KEY_ROW_HEIGHT;
        key.draw(&PathElement::new([(0, y), (KEY_LINE_LENGTH, y)], style))?;
        let text_at = (KEY_LINE_LENGTH + 6, y - 4);
        key.draw(&Text::new(label, text_at, ("sans-serif", 12).into_font()))?;
    }
    root.present()?;
    Ok(())
}
