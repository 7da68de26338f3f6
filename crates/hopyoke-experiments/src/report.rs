//! Self-contained HTML report with plots.

use crate::figures::{AccuracyReport, median, relative_error};
use crate::replay::ReplayResult;
use plotters::prelude::*;
use std::fmt::Write;

type SvgResult = Result<String, String>;

const PLOT_SIZE: (u32, u32) = (860, 380);
const PREDICTION_COLOR: RGBColor = RGBColor(31, 119, 180);
const ESTIMATE_COLOR: RGBColor = RGBColor(214, 120, 39);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Renders the report as an HTML page.
///
/// # Errors
/// Returns the plotting library's message if a plot cannot be drawn.
pub fn render_html(
    title: &str,
    result: &ReplayResult,
    report: &AccuracyReport,
) -> Result<String, String> {
    let mut out = String::from(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\">\n<meta name=\"viewport\" content=\"width=device-width\">\n",
    );
    let _ = write!(
        out,
        "<title>{0}</title>\n<style>{1}</style>\n<h1>{0}</h1>\n",
        escape(title),
        include_str!("report.css")
    );
    let _ = writeln!(
        out,
        "<p>{} predictions in {:.0} s of virtual time; {} elected leaders; {} jobs finished before they were observed, {} were skipped. \
         All machines are simulated.</p>",
        result.outcomes.len(),
        result.virtual_time_s,
        result.elected_leaders,
        result.unobserved_jobs,
        result.skipped_jobs
    );
    out += "<table><tr><th>class<th>jobs<th>within p10–p90<th>early<th>late<th>median error<th>median estimate error<th>band width</tr>\n";
    for r in &report.rows {
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.0}%</tr>",
            escape(&r.name),
            r.jobs,
            r.in_band,
            r.early,
            r.late,
            r.median_error,
            r.estimate_error,
            r.band_width
        );
    }
    out += "</table>\n";
    for r in &report.recoveries {
        let when = r
            .completions
            .map_or("not within 40".to_owned(), |k| format!("after {k}"));
        let _ = writeln!(
            out,
            "<p>{} changed at {:.0} s: the error was back at its baseline (median {:.1}%) {when} completions.</p>",
            escape(&r.class),
            r.changed_at_s,
            r.baseline_error
        );
    }
    for (heading, plot) in [
        ("Predicted and actual run times", plot_run_times(result)),
        (
            "Calibration: share of jobs that finished by each predicted quantile",
            plot_calibration(result),
        ),
        ("Median error over time", plot_error_over_time(result)),
        (
            "Distribution of errors: predictions and submitted estimates",
            plot_error_distribution(result),
        ),
    ] {
        let _ = write!(out, "<h2>{heading}</h2>\n{}\n", plot?);
    }
    Ok(out + "</html>\n")
}

fn draw(
    f: impl FnOnce(
        &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>>,
) -> SvgResult {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        f(&area).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// Maximum number of points in the run time plot; larger results are sampled evenly.
const MAX_POINTS: usize = 3000;

/// Plots predicted against actual run times.
fn plot_run_times(result: &ReplayResult) -> SvgResult {
    let step = result.outcomes.len().div_ceil(MAX_POINTS).max(1);
    let points: Vec<(f64, f64, bool)> = result
        .outcomes
        .iter()
        .step_by(step)
        .map(|o| {
            let started_s = o.finished_s - o.run_time_s;
            let inside = o.p10_s <= o.finished_s && o.finished_s <= o.p90_s;
            (
                o.run_time_s.max(0.5),
                (o.p50_s - started_s).max(0.5),
                inside,
            )
        })
        .collect();
    let most = points.iter().map(|p| p.0.max(p.1)).fold(1.0, f64::max) * 1.2;
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d((1.0..most).log_scale(), (1.0..most).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("run time, s")
            .y_desc("predicted p50, s")
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(points.iter().map(|(x, y, inside)| {
            let color = if *inside {
                PREDICTION_COLOR.mix(0.35)
            } else {
                ESTIMATE_COLOR.mix(0.5)
            };
            Circle::new((*x, *y), 2, color.filled())
        }))?;
        chart.draw_series(LineSeries::new([(1.0, 1.0), (most, most)], BLACK.mix(0.6)))?;
        Ok(())
    })
}

/// Plots the observed share of jobs below each predicted quantile.
fn plot_calibration(result: &ReplayResult) -> SvgResult {
    let share = |f: &dyn Fn(&crate::replay::JobOutcome) -> f64| {
        let below = result
            .outcomes
            .iter()
            .filter(|o| o.finished_s <= f(o))
            .count();
        100.0 * below as f64 / result.outcomes.len().max(1) as f64
    };
    let points = [
        (10.0, share(&|o| o.p10_s)),
        (50.0, share(&|o| o.p50_s)),
        (90.0, share(&|o| o.p90_s)),
    ];
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..100.0, 0.0..100.0)?;
        chart
            .configure_mesh()
            .x_desc("predicted, %")
            .y_desc("finished by, %")
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(LineSeries::new(
            [(0.0, 0.0), (100.0, 100.0)],
            BLACK.mix(0.5),
        ))?;
        chart.draw_series(LineSeries::new(points, PREDICTION_COLOR.stroke_width(2)))?;
        chart.draw_series(
            points
                .iter()
                .map(|p| Circle::new(*p, 5, PREDICTION_COLOR.filled())),
        )?;
        Ok(())
    })
}

/// Plots the median error over consecutive chunks of predictions, about a hundred of them.
fn plot_error_over_time(result: &ReplayResult) -> SvgResult {
    let width = (result.outcomes.len() / 100).max(20);
    let (mut predictions, mut estimates) = (Vec::new(), Vec::new());
    for chunk in result.outcomes.chunks(width) {
        let Some(at) = chunk.first().map(|o| o.predicted_at_s) else {
            continue;
        };
        predictions.push((
            at,
            100.0 * median(chunk.iter().map(relative_error).collect()),
        ));
        let estimated = chunk.iter().filter(|o| o.estimate_s > 0.0);
        estimates.push((
            at,
            100.0
                * median(
                    estimated
                        .map(|o| (o.estimate_s - o.run_time_s).abs() / o.run_time_s)
                        .collect(),
                ),
        ));
    }
    estimates.retain(|p| p.1.is_finite());
    let (from, to) = (
        predictions.first().map_or(0.0, |p| p.0),
        predictions.last().map_or(1.0, |p| p.0).max(1.0),
    );
    let most = predictions
        .iter()
        .chain(&estimates)
        .map(|p| p.1)
        .fold(10.0, f64::max)
        * 1.1;
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(from..to, 0.0..most)?;
        chart
            .configure_mesh()
            .x_desc("s")
            .y_desc("median error, %")
            .light_line_style(WHITE)
            .draw()?;
        let line =
            |c: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2));
        chart
            .draw_series(LineSeries::new(estimates, ESTIMATE_COLOR.stroke_width(2)))?
            .label("submitted estimates")
            .legend(line(ESTIMATE_COLOR));
        chart
            .draw_series(LineSeries::new(
                predictions,
                PREDICTION_COLOR.stroke_width(2),
            ))?
            .label("learned")
            .legend(line(PREDICTION_COLOR));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()?;
        Ok(())
    })
}

/// Plots the cumulative distribution of relative errors.
fn plot_error_distribution(result: &ReplayResult) -> SvgResult {
    let curve = |mut v: Vec<f64>| -> Vec<(f64, f64)> {
        v.sort_by(f64::total_cmp);
        let n = v.len().max(1);
        (0..=100)
            .filter_map(|p| Some((100.0 * *v.get((p * (n - 1)) / 100)?, p as f64)))
            .collect()
    };
    let predictions = curve(result.outcomes.iter().map(relative_error).collect());
    let estimated = result.outcomes.iter().filter(|o| o.estimate_s > 0.0);
    let estimates = curve(
        estimated
            .map(|o| (o.estimate_s - o.run_time_s).abs() / o.run_time_s)
            .collect(),
    );
    draw(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..200.0, 0.0..100.0)?;
        chart
            .configure_mesh()
            .x_desc("error at most, % of run time")
            .y_desc("% of jobs")
            .light_line_style(WHITE)
            .draw()?;
        let line =
            |c: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2));
        chart
            .draw_series(LineSeries::new(estimates, ESTIMATE_COLOR.stroke_width(2)))?
            .label("submitted estimates")
            .legend(line(ESTIMATE_COLOR));
        chart
            .draw_series(LineSeries::new(
                predictions,
                PREDICTION_COLOR.stroke_width(2),
            ))?
            .label("learned")
            .legend(line(PREDICTION_COLOR));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()?;
        Ok(())
    })
}
