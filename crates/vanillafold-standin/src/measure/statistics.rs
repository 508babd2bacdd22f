//! Medians and straight lines.

use serde::Serialize;

/// The median; 0 of nothing.
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        length if length % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}

/// A straight line through measured points, by least squares.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LinearFit {
    /// The value at size 0.
    pub at_zero: f64,
    /// What each unit of size adds.
    pub slope: f64,
}

impl LinearFit {
    /// The line through points of size and value.
    #[must_use]
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        let common: f64 = points
            .iter()
            .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
            .sum();
        let slope = match spread > 0.0 {
            true => common / spread,
            false => 0.0,
        };
        Self {
            at_zero: mean_value - slope * mean_size,
            slope,
        }
    }

    /// The value at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}
