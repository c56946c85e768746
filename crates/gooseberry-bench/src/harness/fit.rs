//! Least-squares fit of a straight line.

use serde::Serialize;

/// Measurements and the least-squares line through them.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fit {
    /// Pairs of a size and the value measured at it.
    pub(crate) points: Vec<(f64, f64)>,
    /// Increase of the value per unit of size.
    pub(crate) slope: f64,
    /// Intercept: the value at size 0.
    pub(crate) base: f64,
    /// Coefficient of determination, 0 to 1; 0 if all sizes or all values are equal.
    pub(crate) r2: f64,
}

/// Fits a line through `points`, which must not be empty.
pub(crate) fn fit(points: Vec<(f64, f64)>) -> Fit {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let xy: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let xx: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let yy: f64 = points.iter().map(|p| (p.1 - y).powi(2)).sum();
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    let r2 = if xx * yy > 0.0 {
        xy * xy / (xx * yy)
    } else {
        0.0
    };
    Fit {
        base: y - slope * x,
        slope,
        r2,
        points,
    }
}
