//! Plots of offline experiments.

use std::path::{Path, PathBuf};

use eyre::eyre;
use plotters::prelude::*;

use super::Report;
use crate::plot::{Plotted, SIZE};

/// Range of the axes, ms.
const AXIS_MS: std::ops::Range<f64> = 1.0..20_000.0;

/// Writes a plot of predicted against measured times to the first event, and one of the worth by
/// day and policy. Returns the paths of the files.
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be written.
pub fn write(reports: &[Report], folder: &Path) -> eyre::Result<Vec<PathBuf>> {
    std::fs::create_dir_all(folder)?;
    let files = vec![
        folder.join("region-predicted.svg"),
        folder.join("region-worth.svg"),
    ];
    // The errors of the plotting library borrow the drawing area, so only their texts are returned.
    predicted(reports, &files[0]).map_err(|error| eyre!("{error}"))?;
    worth(reports, &files[1]).map_err(|error| eyre!("{error}"))?;
    Ok(files)
}

fn predicted(reports: &[Report], file: &Path) -> Plotted {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Time to the first event at the engine", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(AXIS_MS.log_scale(), AXIS_MS.log_scale())?;
    chart
        .configure_mesh()
        .x_desc("predicted, ms")
        .y_desc("seen, ms")
        .draw()?;
    let records = reports.iter().flat_map(|report| &report.records);
    let points = records.filter_map(|record| Some((record.class, record.predicted?)));
    chart.draw_series(points.map(|(class, (predicted, measured))| {
        let at = (predicted.max(AXIS_MS.start), measured.max(AXIS_MS.start));
        Circle::new(at, 2, Palette99::pick(class).filled())
    }))?;
    let equal = [(AXIS_MS.start, AXIS_MS.start), (AXIS_MS.end, AXIS_MS.end)];
    chart.draw_series(LineSeries::new(equal, BLACK.mix(0.5)))?;
    area.present()?;
    Ok(())
}

fn worth(reports: &[Report], file: &Path) -> Plotted {
    let mut days: Vec<&str> = reports.iter().map(|report| report.day.as_str()).collect();
    days.dedup();
    let mut policies: Vec<&str> = reports.iter().map(|r| r.policy.as_str()).collect();
    policies.sort_unstable();
    policies.dedup();
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Worth by day, one point for each seed", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(-0.5..days.len() as f64 - 0.5, -0.5..1.0)?;
    let label = |x: &f64| {
        let named = (x.fract().abs() < 0.01).then(|| days.get(x.round() as usize));
        named
            .flatten()
            .map_or(String::new(), |day| (*day).to_owned())
    };
    chart
        .configure_mesh()
        .x_labels(days.len())
        .x_label_formatter(&label)
        .draw()?;
    for (number, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let own = reports.iter().filter(|report| report.policy == *policy);
        let points = own.filter_map(|report| {
            let day = days.iter().position(|day| *day == report.day)?;
            let x = day as f64 + number as f64 * 0.12 - 0.12;
            Some(Circle::new((x, report.worth.max(-0.5)), 3, color.filled()))
        });
        chart
            .draw_series(points)?
            .label(*policy)
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
