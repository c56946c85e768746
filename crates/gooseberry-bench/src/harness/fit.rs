//! A straight line through measurements.

use serde::Serialize;

/// Measurements and the line of least squares through them.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Fit {
    /// What was measured at each size.
    pub(crate) points: Vec<(f64, f64)>,
    /// The growth for each unit of size.
    pub(crate) slope: f64,
    /// The value at size 0.
    pub(crate) base: f64,
    /// The part of the variance that the line explains.
    pub(crate) r2: f64,
}

/// The line of least squares through `points`.
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
