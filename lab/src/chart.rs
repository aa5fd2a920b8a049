//! Charts of results, as SVG.
use crate::error::Error;
use crate::run::Case;
use crate::spread::{by_case, interval};
use plotters::prelude::*;
use std::path::Path;

/// The share served in time, second by second, a line for each case.
pub fn seconds(path: &Path, title: &str, cases: &[Case]) -> Result<(), Error> {
    draw(path, title, cases).map_err(|e| Error::write(path, e))
}

fn draw(path: &Path, title: &str, cases: &[Case]) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(path, (1000, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let longest = cases.iter().map(|c| c.results.seconds.len()).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..longest, 0.0..105.0)?;
    chart.configure_mesh().x_desc("second").y_desc("served in time, % of what was offered").draw()?;
    for (n, case) in cases.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let seconds = case.results.seconds.iter().enumerate().filter(|(_, c)| c.offered > 0);
        let points = seconds.map(|(s, c)| (s as f64, 100.0 * c.goodput()));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(case.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Most against mean over the replicas in windows of ten seconds, beyond chance: for each case that stands in both, the
/// mean over seeds and its interval, before and after.
pub fn spread(path: &Path, before: &[Case], after: &[Case]) -> Result<(), Error> {
    draw_spread(path, before, after).map_err(|e| Error::write(path, e))
}

fn draw_spread(path: &Path, before: &[Case], after: &[Case]) -> Result<(), Box<dyn std::error::Error>> {
    let (before, after) = (by_case(before), by_case(after));
    let names: Vec<&str> =
        after.iter().map(|(n, _)| *n).filter(|n| before.iter().any(|(b, _)| b == n)).collect();
    let area = SVGBackend::new(path, (640, 320)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut series = Vec::new();
    for (of, label, colour) in [(&before, "before", RED), (&after, "after", BLUE)] {
        let over = |c: &&Case| c.results.spread.fleet_10s.mean - c.results.spread.fleet_10s.random_mean;
        let all = names.iter().enumerate().filter_map(|(n, name)| {
            let (_, cases) = of.iter().find(|(b, _)| b == name)?;
            Some((n as f64, interval(&cases.iter().map(over).collect::<Vec<_>>())))
        });
        series.push((all.collect::<Vec<_>>(), label, colour));
    }
    let ends = series.iter().flat_map(|s| &s.0).flat_map(|(_, i)| [i.1, i.2]);
    let (low, high) = ends.fold((-0.02_f64, 0.02_f64), |(a, b), y| (a.min(y), b.max(y)));
    let mut chart = ChartBuilder::on(&area)
        .caption("most / mean of replicas in 10 s, beyond chance", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(-0.5..names.len() as f64 - 0.5, low * 1.1..high * 1.1)?;
    let named = |x: &f64| {
        let whole = (x.round() - x).abs() < 0.01;
        names.get(x.round().max(0.0) as usize).filter(|_| whole).map_or_else(String::new, |n| n.to_string())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(1)
        .x_labels(2 * names.len() + 1)
        .x_label_formatter(&named)
        .draw()?;
    for (n, (points, label, colour)) in series.into_iter().enumerate() {
        let shift = 0.08 * (n as f64 - 0.5);
        for (x, (_, from, to)) in &points {
            let line = [(x + shift, *from), (x + shift, *to)];
            chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
        }
        chart
            .draw_series(points.iter().map(|(x, i)| Circle::new((x + shift, i.0), 3, colour.filled())))?
            .label(label)
            .legend(move |(x, y)| Circle::new((x + 8, y), 3, colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
