//! Slopes: how costs grow with a size; each has points at several sizes and a line fitted through them.

mod control;
mod pool;
mod requests;
mod state;

use std::time::Instant;

/// A cost at several sizes, whose growth is fitted by a line.
#[derive(Clone, Debug)]
pub struct Slope {
    /// The name of the cost.
    pub name: &'static str,
    /// The unit of the size.
    pub per: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// The pairs of size and cost.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Returns a slope with the given points.
    pub fn new(
        name: &'static str,
        per: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        Self { name, per, unit, points }
    }

    /// Returns the least-squares line through the points: the base cost and the cost of each further unit.
    pub fn line(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let (sx, sy) = self.points.iter().fold((0.0, 0.0), |(a, b), p| (a + p.0, b + p.1));
        let (mx, my) = (sx / n, sy / n);
        let (mut cov, mut var) = (0.0, 0.0);
        for (x, y) in &self.points {
            cov += (x - mx) * (y - my);
            var += (x - mx) * (x - mx);
        }
        let each = if var == 0.0 { 0.0 } else { cov / var };
        (my - each * mx, each)
    }
}

/// Measures all slopes.
pub fn measure() -> Vec<Slope> {
    let mut slopes = vec![control::claim_memory_slope(), state::memory_slope()];
    slopes.extend(state::measure());
    slopes.extend(control::measure());
    slopes.extend(requests::measure());
    slopes.extend(pool::measure());
    slopes
}

/// Returns the time of one call in microseconds: the median over `rounds` of the mean of `calls` calls.
pub(crate) fn micros(rounds: usize, calls: u32, mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|_| {
            let began = Instant::now();
            (0..calls).for_each(|_| call());
            began.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}
