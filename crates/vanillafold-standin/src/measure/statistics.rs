//! Medians and linear fits.

use serde::Serialize;

/// Returns the median of `values`; 0 if there are none.
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

/// A straight line fitted to measured points.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LinearFit {
    /// The value of the line at size 0.
    pub at_zero: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to points of size and value by the method of least squares. The slope is 0 if all
    /// sizes are equal.
    #[must_use]
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let square_sum: f64 = points.iter().map(|p| (p.0 - mean_size).powi(2)).sum();
        let product_sum: f64 = points
            .iter()
            .map(|p| (p.0 - mean_size) * (p.1 - mean_value))
            .sum();
        let slope = match square_sum > 0.0 {
            true => product_sum / square_sum,
            false => 0.0,
        };
        Self {
            at_zero: mean_value - slope * mean_size,
            slope,
        }
    }

    /// Returns the value of the line at `size`.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.at_zero + self.slope * size
    }
}
