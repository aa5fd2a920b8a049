//! SVG chart of goodput over time.
use crate::case::Case;
use crate::error::Error;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};
use std::path::Path;

/// Width and height of the chart in pixels.
const SIZE: (u32, u32) = (1000, 500);
/// Upper end of the vertical axis in percent.
const MAX_PERCENT: f64 = 105.0;

/// Writes a chart with a line for each case: the share of requests served in time, for each second.
///
/// # Errors
/// Returns an error if the file can't be written.
pub fn write(path: &Path, title: &str, cases: &[Case]) -> Result<(), Error> {
    draw(path, title, cases).map_err(|source| Error::write(path, source))
}

fn draw(path: &Path, title: &str, cases: &[Case]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = cases.iter().map(|case| case.results.seconds.len()).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest, 0.0..MAX_PERCENT)?;
    chart.configure_mesh().x_desc("second").y_desc("served in time, % of what was offered").draw()?;
    for (index, case) in cases.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(goodput_points(case), colour.stroke_width(2)))?
            .label(case.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Returns the seconds in which requests were offered, with their goodput in percent.
fn goodput_points(case: &Case) -> impl Iterator<Item = (f64, f64)> {
    let seconds = case.results.seconds.iter().enumerate().filter(|(_, counts)| counts.offered > 0);
    seconds.map(|(second, counts)| (second as f64, 100.0 * counts.goodput()))
}
