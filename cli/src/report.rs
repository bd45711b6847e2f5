//! `wingshed report`: draws plots of a replay, as SVG files.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use plotters::prelude::*;
use wingshed_lib::coordination::placement::BEST_RULE;
use wingshed_lib::coordination::replay::{replay, ReplayRule};
use wingshed_lib::coordination::replay_outcome::ReplayOutcome;
use wingshed_lib::state::configuration::NO_IMPORT_RATES;

use crate::replay::load_trace;
use crate::table::to_text;

/// The width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 480);
/// The multiples of the mean load for which the trace is replayed.
const MULTIPLES: [f64; 8] = [1.1, 1.15, 1.25, 1.35, 1.5, 1.65, 1.8, 2.0];
const HOME_RULE: ReplayRule = ReplayRule::Home(BEST_RULE, Some(NO_IMPORT_RATES));

/// draw plots of a replay: load of each engine, reuse, messages, and reuse against skew
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportCommand {
    /// the trace
    #[argh(positional)]
    trace: PathBuf,
    /// the folder for the plots
    #[argh(option, default = "PathBuf::from(\"report\")")]
    out: PathBuf,
}

/// One line of a plot.
struct PlotLine {
    points: Vec<(f64, f64)>,
    color: RGBColor,
    width: u32,
    name: Option<&'static str>,
}

/// Draws all plots, and prints a table of reuse and skew for each multiple.
pub fn run(command: &ReportCommand) -> Result<bool, String> {
    let trace = load_trace(&command.trace)?;
    std::fs::create_dir_all(&command.out).map_err(|error| error.to_string())?;
    let outcome = replay(&trace, HOME_RULE, 1);
    let plot_path = |name: &str| command.out.join(name);
    plot_loads(&plot_path("load.svg"), &outcome)?;
    plot_reuse(&plot_path("reuse.svg"), &outcome)?;
    plot_messages(&plot_path("control.svg"), &outcome)?;
    let mut curve = Vec::new();
    let mut rows = Vec::new();
    for multiple in MULTIPLES {
        let mut other = trace.clone();
        other.setup.multiple = multiple;
        let outcome = replay(&other, HOME_RULE, 1);
        curve.push((outcome.skew(0.99), outcome.reuse() * 100.0));
        rows.push(vec![
            format!("{multiple:.2}"),
            format!("{:.1}%", outcome.reuse() * 100.0),
            format!("{:.3}", outcome.skew(0.5)),
            format!("{:.3}", outcome.skew(0.99)),
            outcome.above_bound.to_string(),
            format!("{:.1}%", outcome.hop_share() * 100.0),
        ]);
    }
    let line = PlotLine { points: curve, color: BLUE, width: 2, name: Some("multiple 1.1 to 2.0") };
    let labels = ("skew, p99 of largest over mean", "reuse, %");
    plot(&plot_path("reuse-against-skew.svg"), "Reuse against skew", labels, &[line])?;
    println!(
        "{}",
        to_text(&["multiple", "reuse", "skew p50", "p99", "above bound", "hops"], &rows)
    );
    println!("Plots are in {}.", command.out.display());
    Ok(true)
}

fn plot_loads(path: &Path, outcome: &ReplayOutcome) -> Result<(), String> {
    let engines = outcome.samples.iter().map(|sample| sample.loads.len()).max().unwrap_or(0);
    let seconds = |at_ms: u64| at_ms as f64 / 1000.0;
    let mut lines: Vec<PlotLine> = (0..engines)
        .map(|engine| PlotLine {
            points: outcome
                .samples
                .iter()
                .filter_map(|s| Some((seconds(s.at_ms), *s.loads.get(engine)? as f64)))
                .collect(),
            color: RGBColor(190, 190, 190),
            width: 1,
            name: None,
        })
        .collect();
    let mean_times = |factor: f64| -> Vec<(f64, f64)> {
        outcome.samples.iter().map(|s| (seconds(s.at_ms), s.mean * factor)).collect()
    };
    lines.push(PlotLine { points: mean_times(1.0), color: BLUE, width: 2, name: Some("mean") });
    let bound = mean_times(outcome.multiple());
    lines.push(PlotLine {
        points: bound,
        color: RED,
        width: 2,
        name: Some("multiple of the mean"),
    });
    plot(path, "Load of each engine", ("seconds", "work in flight, tokens"), &lines)
}

fn plot_reuse(path: &Path, outcome: &ReplayOutcome) -> Result<(), String> {
    const WINDOW: usize = 30;
    let pairs = outcome.samples.iter().zip(outcome.samples.iter().skip(WINDOW));
    let points = pairs.filter(|(a, b)| b.returning > a.returning).map(|(a, b)| {
        let share = (b.reused - a.reused) as f64 / (b.returning - a.returning) as f64;
        (b.at_ms as f64 / 1000.0, share * 100.0)
    });
    let line =
        PlotLine { points: points.collect(), color: BLUE, width: 2, name: Some("30 s window") };
    plot(path, "Returning requests that found their prefix cached", ("seconds", "%"), &[line])
}

fn plot_messages(path: &Path, outcome: &ReplayOutcome) -> Result<(), String> {
    let pairs = outcome.samples.iter().zip(outcome.samples.iter().skip(1));
    let points = pairs.map(|(a, b)| (b.at_ms as f64 / 1000.0, (b.messages - a.messages) as f64));
    let line = PlotLine { points: points.collect(), color: BLUE, width: 1, name: None };
    let labels = ("seconds", "renewals and tries at other routers, all routers");
    plot(path, "Messages per second for placement", labels, &[line])
}

fn plot(path: &Path, title: &str, labels: (&str, &str), lines: &[PlotLine]) -> Result<(), String> {
    draw(path, title, labels, lines).map_err(|error| error.to_string())
}

/// Draws lines into an SVG file. `labels` are those of the horizontal and the vertical axis.
fn draw(
    path: &Path,
    title: &str,
    labels: (&str, &str),
    lines: &[PlotLine],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let span = |values: Vec<f64>| {
        let low = values.iter().copied().fold(f64::INFINITY, f64::min);
        let high = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        if low < high {
            low..high
        } else {
            0.0..1.0
        }
    };
    let across = span(points().map(|(x, _)| *x).collect());
    let up = span(points().map(|(_, y)| *y).collect());
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(across, up)?;
    chart.configure_mesh().x_desc(labels.0).y_desc(labels.1).light_line_style(WHITE).draw()?;
    for line in lines {
        let style = line.color.stroke_width(line.width);
        let series = chart.draw_series(LineSeries::new(line.points.iter().copied(), style))?;
        if let Some(name) = line.name {
            let color = line.color;
            let mark = move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color);
            series.label(name).legend(mark);
        }
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}
