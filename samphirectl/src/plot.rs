//! Plots of what happened over the time that logs cover.

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

/// Span that one point of a plot stands for, in milliseconds.
const BUCKET_MS: i64 = 1_000;
/// Width and height of a plot.
const PLOT_SIZE: (u32, u32) = (900, 480);

/// One line of a plot.
#[derive(Clone, Debug)]
struct PlotSeries {
    name: String,
    /// Seconds since the first line of the logs, and value.
    points: Vec<(f64, f64)>,
}

/// A plot with its axis.
#[derive(Clone, Debug)]
struct PlotSheet {
    file: &'static str,
    title: &'static str,
    unit: &'static str,
    series: Vec<PlotSeries>,
}

/// Values by name and second.
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

    /// One series a name, to which `suffix` is added, each point being what `fold` makes of the
    /// values of its second.
    fn series(&self, suffix: &str, fold: impl Fn(&[f64]) -> f64) -> Vec<PlotSeries> {
        let mut all: Vec<PlotSeries> = Vec::new();
        for ((name, second), values) in &self.rows {
            let name = format!("{name}{suffix}");
            let point = (seconds(*second), fold(values));
            match all.last_mut().filter(|series| series.name == name) {
                Some(series) => series.points.push(point),
                None => all.push(PlotSeries { name, points: vec![point] }),
            }
        }
        all
    }
}

#[expect(clippy::cast_precision_loss, reason = "logs cover far fewer seconds")]
fn seconds(second: i64) -> f64 {
    second as f64
}

fn quantile(values: &[f64], share: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "an index below the length"
    )]
    let at = ((values.len() - 1) as f64 * share).round() as usize;
    values[at]
}

/// Lines that a line stands for: itself, and those of its kind that were over the rate before it.
fn weight(line: &LogLine) -> f64 {
    1.0 + line.fields["left_out"].as_f64().unwrap_or(0.0)
}

fn first_signs(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "end") {
        let Some(first_ms) = line.fields["first_ms"].as_f64() else { continue };
        let route = line.text("route").unwrap_or("?");
        table.add(route, (line.at_ms - since_ms) / BUCKET_MS, first_ms);
    }
    let mut series = table.series(" p50", |values| quantile(values, 0.5));
    series.extend(table.series(" p95", |values| quantile(values, 0.95)));
    series
}

fn refusals(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "end") {
        let reason = line.text("reason").filter(|reason| !reason.is_empty());
        if let (Some("refused" | "failed" | "broken-off"), Some(reason)) =
            (line.text("outcome"), reason)
        {
            table.add(reason, (line.at_ms - since_ms) / BUCKET_MS, weight(line));
        }
    }
    table.series("", |values| values.iter().sum())
}

/// Upstreams needed by the work that arrives, and those that serve, as the node that acts for all
/// saw them when it ordered.
fn capacity(lines: &[LogLine], since_ms: i64) -> Vec<PlotSeries> {
    let mut table = BucketTable::default();
    for line in lines.iter().filter(|line| line.kind == "capacity") {
        let second = (line.at_ms - since_ms) / BUCKET_MS;
        let pool = line.text("pool").unwrap_or("?");
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

fn draw(sheet: &PlotSheet, path: &Path) -> eyre::Result<()> {
    let points = || sheet.series.iter().flat_map(|series| &series.points);
    let last = points().map(|(at, _)| *at).fold(1.0, f64::max);
    let most = points().map(|(_, value)| *value).fold(1.0, f64::max);
    let area = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(sheet.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..last, 0.0..most * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc(sheet.unit).draw()?;
    for (index, series) in sheet.series.iter().enumerate() {
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

/// Draws what the logs in `files` tell into `folder`.
pub fn plot_logs(folder: &Path, files: &[PathBuf]) -> eyre::Result<ExitKind> {
    let lines = read_lines(files)?;
    let Some(first) = lines.first() else {
        eprintln!("samphirectl: no line of a node in {} files", files.len());
        return Ok(ExitKind::Refused);
    };
    std::fs::create_dir_all(folder).wrap_err_with(|| folder.display().to_string())?;
    let since_ms = first.at_ms;
    let sheets = [
        PlotSheet {
            file: "first_signs.svg",
            title: "Time to the first sign of an answer, by route",
            unit: "milliseconds",
            series: first_signs(&lines, since_ms),
        },
        PlotSheet {
            file: "refusals.svg",
            title: "Requests that were refused, failed or broken off, by reason",
            unit: "a second",
            series: refusals(&lines, since_ms),
        },
        PlotSheet {
            file: "capacity.svg",
            title: "Upstreams needed and serving",
            unit: "upstreams",
            series: capacity(&lines, since_ms),
        },
    ];
    for sheet in &sheets {
        let path = folder.join(sheet.file);
        draw(sheet, &path)?;
        let points: usize = sheet.series.iter().map(|series| series.points.len()).sum();
        println!("{}: {} series, {points} points", path.display(), sheet.series.len());
    }
    let left_out: f64 = lines.iter().map(|line| weight(line) - 1.0).sum();
    println!("{} lines, {left_out} more were over the rate", lines.len());
    Ok(ExitKind::Success)
}
