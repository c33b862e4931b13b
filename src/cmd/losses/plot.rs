//! Draws the requests not served in time as an SVG chart, with one line per cause.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Color;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::PathElement;
use plotters::prelude::SVGBackend;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use super::Account;
use super::Cause;
use crate::error::Error;

/// Width and height of the chart, in pixels.
const CHART_SIZE: (u32, u32) = (960, 480);
/// Maximum number of causes in the chart: those with the most requests.
const MAX_CAUSES: usize = 8;

/// Writes a chart of the requests not served in time to `path`, by cause and window.
pub(super) fn draw(account: &Account, path: &Path) -> Result<(), Error> {
    render(account, path).map_err(|err| Error::Io(std::io::Error::other(err.to_string())))
}

fn render(account: &Account, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut series: BTreeMap<&Cause, BTreeMap<u64, u64>> = BTreeMap::new();
    for (start, causes) in account.windows() {
        for (cause, count) in causes {
            series.entry(cause).or_default().insert(start.as_secs(), *count);
        }
    }
    let mut series: Vec<_> = series.into_iter().collect();
    series.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.values().sum::<u64>()));
    series.truncate(MAX_CAUSES);
    let times: Vec<u64> = account.occupancy().map(|(start, _)| start.as_secs()).collect();
    let max_count =
        series.iter().flat_map(|(_, counts)| counts.values()).copied().max().unwrap_or(1);
    let end = times.last().copied().unwrap_or(1).max(1);
    let area = SVGBackend::new(path, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..end, 0..max_count + 1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("requests not served in time").draw()?;
    for (index, (cause, counts)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = times.iter().map(|time| (*time, counts.get(time).copied().unwrap_or(0)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(cause.to_string())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
