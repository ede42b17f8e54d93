//! `thistle-bench capacity`: prints a table of every cost in docs/CAPACITY.md, and plots each.

use std::path::Path;

use plotters::prelude::*;

use super::Error;
use crate::slopes::{Slope, measure};

const PLOT_SIZE: (u32, u32) = (480, 320);

/// Measures all slopes, prints them, and plots them into a folder.
pub fn run(plots: &Path) -> Result<(), Error> {
    std::fs::create_dir_all(plots)?;
    println!("{:<36} {:<12} {:>12} {:>12} {:>6}  points", "cost", "per", "base", "each", "unit");
    for slope in measure() {
        print_row(&slope);
        draw(&slope, plots).map_err(|e| Error::Plot(e.to_string()))?;
    }
    Ok(())
}

fn print_row(slope: &Slope) {
    let (base, each) = slope.line();
    let points: Vec<_> = slope.points.iter().map(|(x, y)| format!("{x:.0}:{y:.2}")).collect();
    println!(
        "{:<36} {:<12} {base:>12.2} {each:>12.4} {:>6}  {}",
        slope.name,
        slope.per,
        slope.unit,
        points.join(" ")
    );
}

fn draw(slope: &Slope, plots: &Path) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let file = plots.join(format!("{}.svg", slope.name.replace([' ', ','], "-")));
    let area = SVGBackend::new(&file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let largest = |f: &dyn Fn(&(f64, f64)) -> f64| slope.points.iter().map(f).fold(1e-9, f64::max);
    let (x, y) = (largest(&|p| p.0), largest(&|p| p.1));
    let (base, each) = slope.line();
    // Labels need a system font, which a build machine may not have, so the axes have none; the table
    // has the figures.
    let mut chart = ChartBuilder::on(&area).margin(16).build_cartesian_2d(0.0..x, 0.0..y * 1.1)?;
    chart.draw_series(LineSeries::new([(0.0, base.max(0.0)), (x, base + each * x)], &BLUE))?;
    let dots = slope.points.iter().map(|&p| Circle::new(p, 4, RED.filled()));
    chart.draw_series(dots)?;
    area.present()
}
