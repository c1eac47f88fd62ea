//! The slopes as printed.

use {
    crate::node::line_fit::LineFit,
    serde::Serialize,
    std::{collections::BTreeMap, fmt::Write},
};

/// What was measured at one size.
#[derive(Clone, Debug, Serialize)]
pub struct SlopePoint {
    /// The size.
    pub size: f64,
    /// The measured values by name; each name has its unit.
    pub values: BTreeMap<&'static str, f64>,
}

impl SlopePoint {
    /// A point.
    pub fn new(size: f64, values: impl IntoIterator<Item = (&'static str, f64)>) -> Self {
        let values = values.into_iter().collect();
        Self { size, values }
    }
}

/// Points over one size that grows.
#[derive(Clone, Debug, Serialize)]
pub struct SlopeSeries {
    /// The straight line through the points of each value.
    pub fits: BTreeMap<&'static str, LineFit>,
    /// What was measured.
    pub name: &'static str,
    /// The points by rising size.
    pub points: Vec<SlopePoint>,
    /// What grows.
    pub size: &'static str,
}

impl SlopeSeries {
    /// A series with its lines.
    pub fn new(name: &'static str, size: &'static str, points: Vec<SlopePoint>) -> Self {
        let mut columns: BTreeMap<&'static str, Vec<(f64, f64)>> = BTreeMap::new();
        for point in &points {
            for (value_name, value) in &point.values {
                columns
                    .entry(value_name)
                    .or_default()
                    .push((point.size, *value));
            }
        }
        let mut fits = BTreeMap::new();
        for (value_name, column) in columns {
            if let Some(fit) = LineFit::new(&column) {
                fits.insert(value_name, fit);
            }
        }
        Self {
            fits,
            name,
            points,
            size,
        }
    }
}

/// All series of one run.
#[derive(Clone, Debug, Serialize)]
pub struct NodeReport {
    /// The series in the order measured.
    pub series: Vec<SlopeSeries>,
}

impl NodeReport {
    /// The report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for series in &self.series {
            let _ = writeln!(text, "{} by {}", series.name, series.size);
            for point in &series.points {
                let _ = write!(text, "  {:>8}", point.size);
                for (name, value) in &point.values {
                    let _ = write!(text, "  {name}={value:.3}");
                }
                text.push('\n');
            }
            for (name, fit) in &series.fits {
                let LineFit { base, error, slope } = fit;
                let error = error * 100.0;
                let _ = writeln!(
                    text,
                    "  {name}: {base:.4} + {slope:.6} each ({error:.0}% off at most)"
                );
            }
        }
        text
    }
}
