//! Curves as a plot in SVG.

use {
    crate::{
        bench_error::{BenchError, PlotDrawSnafu},
        policy_run::PolicyName,
    },
    plotters::prelude::*,
    std::path::Path,
};

/// The plot's width and height, pixels.
const SIZE: (u32, u32) = (760, 480);
/// Space for the numbers beside the axes, pixels.
const LABELS: u32 = 56;
/// Space around all, pixels.
const MARGIN: u32 = 14;
/// The radius of a point, pixels.
const POINT: i32 = 4;
/// The caption's font size, pixels.
const CAPTION: u32 = 17;
/// How far the axes go beyond the last point.
const BEYOND: f64 = 1.05;

/// A plot of some policies' curves.
#[derive(Clone, Debug)]
pub struct SweepPlot {
    /// The text above.
    pub caption: String,
    /// The points of each policy.
    pub curves: Vec<(PolicyName, Vec<(f64, f64)>)>,
    /// The text along the horizontal axis.
    pub horizontal: &'static str,
    /// The text along the vertical axis.
    pub vertical: &'static str,
}

impl SweepPlot {
    /// Draws the plot to a file.
    ///
    /// # Errors
    /// The file can't be written, or the plot can't be drawn.
    pub fn draw(&self, path: &Path) -> Result<(), BenchError> {
        self.draw_svg(path)
            .map_err(|fault| fault.to_string())
            .map_err(|fault| PlotDrawSnafu { fault, path }.build())
    }

    fn draw_svg(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let across = 0.0..self.greatest(|point| point.0) * BEYOND;
        let upward = 0.0..self.greatest(|point| point.1) * BEYOND;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.caption, ("sans-serif", CAPTION))
            .margin(MARGIN)
            .x_label_area_size(LABELS)
            .y_label_area_size(LABELS)
            .build_cartesian_2d(across, upward)?;
        chart
            .configure_mesh()
            .x_desc(self.horizontal)
            .y_desc(self.vertical)
            .draw()?;
        for (policy, points) in &self.curves {
            let colour = colour(*policy);
            let line = LineSeries::new(points.iter().copied(), &colour);
            chart
                .draw_series(line)?
                .label(policy.text())
                .legend(move |(x, y)| Circle::new((x, y), POINT, colour.filled()));
            let dots = points
                .iter()
                .map(|at| Circle::new(*at, POINT, colour.filled()));
            chart.draw_series(dots)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .border_style(BLACK)
            .position(SeriesLabelPosition::LowerRight)
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn greatest(&self, number: impl Fn(&(f64, f64)) -> f64) -> f64 {
        let mut greatest = f64::MIN_POSITIVE;
        for (_, points) in &self.curves {
            for point in points {
                greatest = greatest.max(number(point));
            }
        }
        greatest
    }
}

fn colour(policy: PolicyName) -> RGBColor {
    match policy {
        PolicyName::Clairvoyant => RGBColor(120, 120, 120),
        PolicyName::Naive => RGBColor(200, 80, 60),
        PolicyName::Ours => RGBColor(30, 100, 200),
        PolicyName::Reserve => RGBColor(220, 160, 30),
    }
}
