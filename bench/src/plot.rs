//! SVG plots of reports.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::report::Report;

pub(crate) const SIZE: (u32, u32) = (900, 500);

/// Writes the plots of reports to a folder and returns the names of the files.
pub fn write(reports: &[Report], folder: &Path) -> eyre::Result<Vec<String>> {
    std::fs::create_dir_all(folder)?;
    let scenario = reports.first().map_or("none", |report| &report.scenario);
    let names = [
        format!("{scenario}-ttft.svg"),
        format!("{scenario}-service.svg"),
    ];
    // The errors of the plotting library borrow the drawing area, so only their texts are returned.
    by_length(reports, &folder.join(&names[0])).map_err(|error| eyre!("{error}"))?;
    over_time(reports, &folder.join(&names[1])).map_err(|error| eyre!("{error}"))?;
    Ok(names.to_vec())
}

pub(crate) type Plotted = Result<(), Box<dyn std::error::Error>>;

/// Plots time to first token by prompt length.
fn by_length(reports: &[Report], file: &Path) -> Plotted {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let points = || reports.iter().flat_map(|report| &report.points);
    let longest = points().fold(10.0_f64, |longest, point| longest.max(point.1));
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to first token by prompt length", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (900.0..1_100_000.0_f64).log_scale(),
            (1.0..longest * 1.2).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("prompt tokens")
        .y_desc("time to first token, ms")
        .draw()?;
    for (number, report) in reports.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(
                report
                    .points
                    .iter()
                    .map(|(tokens, ms)| Circle::new((*tokens as f64, *ms), 2, color.filled())),
            )?
            .label(report.policy.clone())
            .legend(move |at| Circle::new(at, 4, color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Plots the share of answered calls by the second in which they were due.
fn over_time(reports: &[Report], file: &Path) -> Plotted {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let end = reports
        .iter()
        .map(|report| report.duration_s)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut chart = ChartBuilder::on(&area)
        .caption("Share of calls answered over time", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end as f64, 0.0..1.05_f64)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("share answered")
        .draw()?;
    for (number, report) in reports.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let shares = report.seconds.iter().map(|second| {
            (
                second.second as f64,
                second.answered as f64 / second.sent.max(1) as f64,
            )
        });
        chart
            .draw_series(LineSeries::new(shares, color.stroke_width(2)))?
            .label(report.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let actions = reports.first().map_or(&[][..], |report| &report.actions);
    for (at, _) in actions {
        chart.draw_series([PathElement::new([(*at, 0.0), (*at, 1.05)], BLACK.mix(0.4))])?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
