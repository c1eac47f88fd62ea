//! A straight line through measured points.

use serde::Serialize;

/// The line of least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LineFit {
    /// The value at zero.
    pub base: f64,
    /// The greatest distance of a point from the line, as a share of the greatest value.
    pub error: f64,
    /// The rise for each one more.
    pub slope: f64,
}

impl LineFit {
    /// The line through points of size and value; none for fewer than two sizes.
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let mut spread = 0.0;
        let mut common = 0.0;
        for (size, value) in points {
            spread += (size - mean_size).powi(2);
            common += (size - mean_size) * (value - mean_value);
        }
        if spread == 0.0 || points.is_empty() {
            return None;
        }
        let slope = common / spread;
        let base = mean_value - slope * mean_size;
        let greatest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        let distances = points
            .iter()
            .map(|(size, value)| (base + slope * size - value).abs());
        let error = distances.fold(0.0, f64::max) / greatest.max(f64::MIN_POSITIVE);
        Some(Self { base, error, slope })
    }
}
