//! Plots of response times, refusals and capacity over time, from the logs of nodes.

use std::path::{Path, PathBuf};

use eyre::WrapErr;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use crate::{
    log_lines::{LogLine, read_lines},
    statement::ExitKind,
};

/// Length of the time bucket that one point of a plot stands for, in milliseconds.
const BUCKET_MS: i64 = 1_000;
/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// One line of a plot.
#[derive(Clone, Debug)]
struct PlotSeries {
    name: String,
    /// Seconds since the first line of the logs, and value.
    points: Vec<(f64, f64)>,
}

/// Content of one plot and the file that it is written to.
#[derive(Clone, Debug)]
struct PlotSpec {
    file: &'static str,
    title: &'static str,
    /// Label of the vertical axis.
    unit: &'static str,
    series: Vec<PlotSeries>,
}

/// Values by series name and second.
#[derive(Clone, Debug, Default)]
struct BucketTable {
    /// Sorted by name and second, without duplicates.
    rows: Vec<((String, i64), Vec<f64>)>,
}

impl BucketTable {
    fn add(&mut self, name: &str, second: i64, value: f64) {
        let key = (name.to_owned(), second);
        match self.rows.binary_search_by(|(known, _)| known.cmp(&key)) {
            Ok(at) => self.rows[at].1.push(value),
            Err(at) => self.rows.insert(at, (key, vec![value])),
        }
    }

    /// Builds one series for each name, with `suffix` added to the name. `fold` reduces the values
    /// of each second to one point.
    fn series(&self, suffix: &str, fold: impl Fn(&[f64]) -> f64) -> Vec<PlotSeries> {
        let mut all: Vec<PlotSeries> = Vec::new();
        for ((name, second), values) in &self.rows {
            let name = format!("{name}{suffix}");
            let point = (second_to_f64(*second), fold(values));
            match all.last_mut().filter(|series| series.name == name) {
                Some(series) => series.points.push(point),
                None => all.push(PlotSeries { name, points: vec![point] }),
            }
        }
        all
    }
}

#[expect(clippy::cast_precision_loss, reason = "logs cover far fewer seconds")]
fn second_to_f64(second: i64) -> f64 {
    second as f64
}

fn quantile(values: &[f64], fraction: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index below the length"
    )]
    let index = ((values.len() - 1) as f64 * fraction).round() as usize;
    values[index]
}

/// Number of lines that a line stands for: itself, and those of its kind that the rate limit of the
/// log dropped before it.
fn represented_lines(line: &LogLine) -> f64 {
    1.0 + line.fields["left_out"].as_f64().unwrap_or(0.0)
}

/// Median and 95th percentile, by route, of the time to the answer or to the first event of a
/// stream.
fn response_times(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "end") {
        let Some(first_ms) = line.fields["first_ms"].as_f64() else { continue };
        let route = line.str_field("route").unwrap_or("?");
        table.add(route, (line.at_ms - since_ms) / BUCKET_MS, first_ms);
    }
    let mut series = table.series(" p50", |values| quantile(values, 0.5));
    series.extend(table.series(" p95", |values| quantile(values, 0.95)));
    series
}

/// Requests that were refused, failed or broken off in each second, by reason.
fn refusals(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "end") {
        let reason = line.str_field("reason").filter(|reason| !reason.is_empty());
        if let (Some("refused" | "failed" | "broken-off"), Some(reason)) =
            (line.str_field("outcome"), reason)
        {
            table.add(reason, (line.at_ms - since_ms) / BUCKET_MS, represented_lines(line));
        }
    }
    table.series("", |values| values.iter().sum())
}

/// Upstreams that the arriving work needs, and those that serve, by pool. The leader logs both
/// whenever it orders capacity.
fn capacity(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "capacity") {
        let second = (line.at_ms - since_ms) / BUCKET_MS;
        let pool = line.str_field("pool").unwrap_or("?");
        if let Some(need) = line.fields["need"].as_f64() {
            table.add(&format!("{pool} needed"), second, need);
        }
        let rows = line.fields["stock"].as_array().map(Vec::as_slice).unwrap_or_default();
        let sum = |column: usize| rows.iter().filter_map(|row| row[column].as_f64()).sum();
        table.add(&format!("{pool} reclaimable"), second, sum(1));
        table.add(&format!("{pool} on demand"), second, sum(2));
    }
    table.series("", |values| values.last().copied().unwrap_or(0.0))
}

fn draw(plot: &PlotSpec, path: &Path) -> eyre::Result<()> {
    let points = || plot.series.iter().flat_map(|series| &series.points);
    let end = points().map(|(at, _)| *at).fold(1.0, f64::max);
    let max_value = points().map(|(_, value)| *value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(plot.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc(plot.unit).draw()?;
    for (index, series) in plot.series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(series.points.iter().copied(), colour.stroke_width(2)))?
            .label(series.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

/// Draws all plots of the logs in `files` into `folder`.
pub fn plot_logs(folder: &Path, files: &[PathBuf]) -> eyre::Result<ExitKind> {
    let lines = read_lines(files)?;
    let Some(first) = lines.first() else {
        eprintln!("samphirectl: no log line of a node in {} files", files.len());
        return Ok(ExitKind::Refused);
    };
    std::fs::create_dir_all(folder).wrap_err_with(|| folder.display().to_string())?;
    let since_ms = first.at_ms;
    let plots = [
        PlotSpec {
            file: "first_signs.svg",
            title: "Time to the answer, or to the first event of a stream, by route",
            unit: "milliseconds",
            series: response_times(&lines, since_ms),
        },
        PlotSpec {
            file: "refusals.svg",
            title: "Requests that were refused, failed or broken off, by reason",
            unit: "requests per second",
            series: refusals(&lines, since_ms),
        },
        PlotSpec {
            file: "capacity.svg",
            title: "Upstreams needed and serving",
            unit: "upstreams",
            series: capacity(&lines, since_ms),
        },
    ];
    for plot in &plots {
        let path = folder.join(plot.file);
        draw(plot, &path)?;
        let points: usize = plot.series.iter().map(|series| series.points.len()).sum();
        println!("{}: {} series, {points} points", path.display(), plot.series.len());
    }
    let left_out: f64 = lines.iter().map(|line| represented_lines(line) - 1.0).sum();
    println!("{} lines, {left_out} more dropped by the rate limit", lines.len());
    Ok(ExitKind::Success)
}
