//! A self-contained HTML page with plots.

use crate::figures::{Figures, error, median};
use crate::replay::Replayed;
use plotters::prelude::*;
use std::fmt::Write;

type Drawn = Result<String, String>;

const SIZE: (u32, u32) = (860, 380);
const OURS: RGBColor = RGBColor(31, 119, 180);
const OWNERS: RGBColor = RGBColor(214, 120, 39);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The page.
///
/// # Errors
/// Why a plot could not be drawn.
pub fn html(title: &str, replayed: &Replayed, figures: &Figures) -> Result<String, String> {
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
        "<p>{} predictions in {:.0} s of virtual time under {} leaders; {} jobs ended unseen, {} were left aside. \
         All figures are from simulated machines.</p>",
        replayed.outcomes.len(),
        replayed.span_s,
        replayed.leaders,
        replayed.unseen,
        replayed.left_aside
    );
    out += "<table><tr><th>class<th>jobs<th>inside p10–p90<th>before<th>after<th>median error<th>owner's<th>band's width</tr>\n";
    for r in &figures.rows {
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.1}%<td>{:.0}%</tr>",
            escape(&r.name),
            r.jobs,
            r.inside,
            r.before,
            r.after,
            r.error,
            r.owner_error,
            r.width
        );
    }
    out += "</table>\n";
    for r in &figures.recoveries {
        let when = r
            .completions
            .map_or("not within 40".to_owned(), |k| format!("after {k}"));
        let _ = writeln!(
            out,
            "<p>{} changed at {:.0} s: predictions are as good as before (median error {:.1}%) {when} completions.</p>",
            escape(&r.class),
            r.at_s,
            r.ordinary
        );
    }
    for (heading, plot) in [
        ("Predicted against actual run", scatter(replayed)),
        (
            "Calibration: how many ends lie below each predicted quantile",
            calibration(replayed),
        ),
        ("Median error over time", over_time(replayed)),
        ("Errors, ours and the owners'", errors(replayed)),
    ] {
        let _ = write!(out, "<h2>{heading}</h2>\n{}\n", plot?);
    }
    Ok(out + "</html>\n")
}

fn draw(
    f: impl FnOnce(
        &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>>,
) -> Drawn {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        f(&area).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

/// At most this many points are drawn, evenly chosen.
const MOST_POINTS: usize = 3000;

fn scatter(replayed: &Replayed) -> Drawn {
    let step = replayed.outcomes.len().div_ceil(MOST_POINTS).max(1);
    let points: Vec<(f64, f64, bool)> = replayed
        .outcomes
        .iter()
        .step_by(step)
        .map(|o| {
            let began = o.finished_s - o.ran_s;
            let inside = o.p10_s <= o.finished_s && o.finished_s <= o.p90_s;
            (o.ran_s.max(0.5), (o.p50_s - began).max(0.5), inside)
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
            .x_desc("ran, s")
            .y_desc("predicted p50, s")
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(points.iter().map(|(x, y, inside)| {
            let colour = if *inside {
                OURS.mix(0.35)
            } else {
                OWNERS.mix(0.5)
            };
            Circle::new((*x, *y), 2, colour.filled())
        }))?;
        chart.draw_series(LineSeries::new([(1.0, 1.0), (most, most)], BLACK.mix(0.6)))?;
        Ok(())
    })
}

fn calibration(replayed: &Replayed) -> Drawn {
    let share = |f: &dyn Fn(&crate::replay::Outcome) -> f64| {
        let below = replayed
            .outcomes
            .iter()
            .filter(|o| o.finished_s <= f(o))
            .count();
        100.0 * below as f64 / replayed.outcomes.len().max(1) as f64
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
            .y_desc("ended below, %")
            .light_line_style(WHITE)
            .draw()?;
        chart.draw_series(LineSeries::new(
            [(0.0, 0.0), (100.0, 100.0)],
            BLACK.mix(0.5),
        ))?;
        chart.draw_series(LineSeries::new(points, OURS.stroke_width(2)))?;
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 5, OURS.filled())))?;
        Ok(())
    })
}

/// Median errors of stretches of a hundred predictions.
fn over_time(replayed: &Replayed) -> Drawn {
    let width = (replayed.outcomes.len() / 100).max(20);
    let (mut ours, mut owners) = (Vec::new(), Vec::new());
    for part in replayed.outcomes.chunks(width) {
        let Some(at) = part.first().map(|o| o.predicted_at_s) else {
            continue;
        };
        ours.push((at, 100.0 * median(part.iter().map(error).collect())));
        let guesses = part.iter().filter(|o| o.guess_s > 0.0);
        owners.push((
            at,
            100.0
                * median(
                    guesses
                        .map(|o| (o.guess_s - o.ran_s).abs() / o.ran_s)
                        .collect(),
                ),
        ));
    }
    owners.retain(|p| p.1.is_finite());
    let (from, to) = (
        ours.first().map_or(0.0, |p| p.0),
        ours.last().map_or(1.0, |p| p.0).max(1.0),
    );
    let most = ours.iter().chain(&owners).map(|p| p.1).fold(10.0, f64::max) * 1.1;
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
            .draw_series(LineSeries::new(owners, OWNERS.stroke_width(2)))?
            .label("owners' guesses")
            .legend(line(OWNERS));
        chart
            .draw_series(LineSeries::new(ours, OURS.stroke_width(2)))?
            .label("learned")
            .legend(line(OURS));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()?;
        Ok(())
    })
}

/// Which share of predictions is off by at most so much.
fn errors(replayed: &Replayed) -> Drawn {
    let curve = |mut v: Vec<f64>| -> Vec<(f64, f64)> {
        v.sort_by(f64::total_cmp);
        let n = v.len().max(1);
        (0..=100)
            .filter_map(|p| Some((100.0 * *v.get((p * (n - 1)) / 100)?, p as f64)))
            .collect()
    };
    let ours = curve(replayed.outcomes.iter().map(error).collect());
    let guesses = replayed.outcomes.iter().filter(|o| o.guess_s > 0.0);
    let owners = curve(
        guesses
            .map(|o| (o.guess_s - o.ran_s).abs() / o.ran_s)
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
            .x_desc("off by at most, % of the run")
            .y_desc("% of runs")
            .light_line_style(WHITE)
            .draw()?;
        let line =
            |c: RGBColor| move |(x, y)| PathElement::new([(x, y), (x + 18, y)], c.stroke_width(2));
        chart
            .draw_series(LineSeries::new(owners, OWNERS.stroke_width(2)))?
            .label("owners' guesses")
            .legend(line(OWNERS));
        chart
            .draw_series(LineSeries::new(ours, OURS.stroke_width(2)))?
            .label("learned")
            .legend(line(OURS));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()?;
        Ok(())
    })
}
