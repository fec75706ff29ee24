//! `plot`: draws a chart of `load` reports.

use std::{fs, path::Path};

use anyhow::{Context, anyhow};
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::{
    args::Plot,
    exit::{CliError, Exit},
    load::Report,
};

/// Size of the chart, in pixels.
const SIZE: (u32, u32) = (960, 540);

/// Latencies of one service, by request rate.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Draws the 99th percentile of the latency over the request rate, with one line per service.
pub(crate) fn plot(args: &Plot) -> Result<(), CliError> {
    let reports: Result<Vec<_>, _> = args.reports.iter().map(|path| read(path)).collect();
    let lines = lines(&reports?);
    draw(&args.output, &lines).with_context(|| format!("drawing {}", args.output.display()))?;
    Ok(())
}

fn read(path: &Path) -> Result<Report, CliError> {
    let wrong =
        |e: &dyn std::fmt::Display| CliError::open(Exit::Usage, format!("{}: {e}", path.display()));
    let text = fs::read(path).map_err(|e| wrong(&e))?;
    serde_json::from_slice(&text).map_err(|e| wrong(&format!("not a report of `load`: {e}")))
}

fn lines(reports: &[Report]) -> Vec<Line> {
    let names = reports.iter().flat_map(|report| report.services.keys());
    let names: std::collections::BTreeSet<_> = names.collect();
    let line = |name: &std::sync::Arc<str>| {
        let services = reports
            .iter()
            .filter_map(|r| Some((r.rate, r.services.get(name)?)));
        let mut points: Vec<_> = services
            .map(|(rate, service)| (rate, service.p99_ms))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        Line {
            name: name.to_string(),
            points,
        }
    };
    names.into_iter().map(line).collect()
}

fn draw(path: &Path, lines: &[Line]) -> anyhow::Result<()> {
    let points = lines.iter().flat_map(|line| line.points.iter());
    let (mut right, mut top) = (1.0_f64, 1.0_f64);
    for (x, y) in points {
        right = right.max(*x);
        top = top.max(*y);
    }
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    let fault = |e: &dyn std::fmt::Display| anyhow!("{e}");
    area.fill(&WHITE).map_err(|e| fault(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)
        .map_err(|e| fault(&e))?;
    chart
        .configure_mesh()
        .x_desc("requests a second")
        .y_desc("time to answer, p99, ms")
        .draw()
        .map_err(|e| fault(&e))?;
    for (n, line) in lines.iter().enumerate() {
        let color = Palette99::pick(n).stroke_width(2);
        let series = LineSeries::new(line.points.iter().copied(), color);
        chart
            .draw_series(series)
            .map_err(|e| fault(&e))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(plotters::prelude::BLACK)
        .draw()
        .map_err(|e| fault(&e))?;
    area.present().map_err(|e| fault(&e))
}
