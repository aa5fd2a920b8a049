//! SVG chart of the load distribution over replicas before and after a change.
use crate::case::{Case, CaseGroup, group_by_seed};
use crate::error::Error as LabError;
use crate::interval::ConfidenceInterval;
use crate::spread_table::excess;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, BLUE, Cartesian2d, ChartBuilder, ChartContext, Circle, Color, DrawingArea, IntoDrawingArea,
    LineSeries, RED, RGBColor, SVGBackend, SeriesLabelPosition, WHITE,
};
use std::error::Error;
use std::ops::Range;
use std::path::Path;

/// Width and height of the chart in pixels.
const SIZE: (u32, u32) = (640, 320);
/// Minimum extent of the vertical axis on both sides of 0.
const MIN_AXIS: f64 = 0.02;
/// Factor by which the vertical axis exceeds the intervals.
const AXIS_MARGIN: f64 = 1.1;
/// Horizontal distance between the points of the two series; 1 is the distance between two experiments.
const SERIES_DISTANCE: f64 = 0.08;

type SpreadChart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The confidence interval of an experiment at its horizontal position.
struct Point {
    x: f64,
    interval: ConfidenceInterval,
}

/// The experiments of one folder of results.
struct Series {
    label: &'static str,
    colour: RGBColor,
    points: Vec<Point>,
}

/// Writes a chart of the experiments that are in both folders: the mean imbalance over the fleet in windows
/// of ten seconds, in excess of random assignment, with its confidence interval over the seeds.
///
/// # Errors
/// Returns an error if the file can't be written.
pub fn write(path: &Path, before: &[Case], after: &[Case]) -> Result<(), LabError> {
    let (before, after) = (group_by_seed(before), group_by_seed(after));
    let in_both = |name: &&str| before.iter().any(|group| group.name == *name);
    let names: Vec<&str> = after.iter().map(|group| group.name).filter(in_both).collect();
    let series = [
        Series { label: "before", colour: RED, points: points(&before, &names) },
        Series { label: "after", colour: BLUE, points: points(&after, &names) },
    ];
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    draw(&area, &names, &series).map_err(|source| LabError::write(path, source))
}

fn points(groups: &[CaseGroup<'_>], names: &[&str]) -> Vec<Point> {
    let point = |(index, name): (usize, &&str)| {
        let group = groups.iter().find(|group| group.name == *name)?;
        let samples: Vec<f64> =
            group.cases.iter().map(|case| excess(&case.results.spread.fleet_10s)).collect();
        Some(Point { x: index as f64, interval: ConfidenceInterval::of(&samples) })
    };
    names.iter().enumerate().filter_map(point).collect()
}

fn axis_range(series: &[Series]) -> Range<f64> {
    let intervals = || series.iter().flat_map(|series| &series.points).map(|point| point.interval);
    let low = intervals().map(|interval| interval.low).fold(-MIN_AXIS, f64::min);
    let high = intervals().map(|interval| interval.high).fold(MIN_AXIS, f64::max);
    low * AXIS_MARGIN..high * AXIS_MARGIN
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    names: &[&str],
    series: &[Series],
) -> Result<(), Box<dyn Error>> {
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption("most / mean of replicas in 10 s, beyond chance", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(-0.5..names.len() as f64 - 0.5, axis_range(series))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(1)
        .x_labels(2 * names.len() + 1)
        .x_label_formatter(&|x| label_at(names, *x))
        .draw()?;
    for (index, series) in series.iter().enumerate() {
        draw_series(&mut chart, series, SERIES_DISTANCE * (index as f64 - 0.5))?;
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

/// Draws a line for each interval and a circle for each mean, moved to the right by `shift`.
fn draw_series(chart: &mut SpreadChart<'_, '_>, series: &Series, shift: f64) -> Result<(), Box<dyn Error>> {
    let Series { label, colour, points } = series;
    let colour = *colour;
    for Point { x, interval } in points {
        let line = [(x + shift, interval.low), (x + shift, interval.high)];
        chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?;
    }
    let means = points.iter().map(|point| (point.x + shift, point.interval.mean));
    chart
        .draw_series(means.map(|mean| Circle::new(mean, 3, colour.filled())))?
        .label(*label)
        .legend(move |(x, y)| Circle::new((x + 8, y), 3, colour.filled()));
    Ok(())
}

/// Returns the experiment's name for an integer position on the axis; empty for other positions.
fn label_at(names: &[&str], x: f64) -> String {
    let index = x.round();
    let whole = (index - x).abs() < 0.01;
    let name = names.get(index.max(0.0) as usize).filter(|_| whole);
    name.map_or_else(String::new, ToString::to_string)
}
