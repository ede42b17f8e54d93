//! Records traces: arrivals and service times are drawn once and stored in files.

use std::fmt::Write;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The load profile of a trace to record.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The duration, in milliseconds.
    pub millis: u64,
    /// The number of entries.
    pub entries: usize,
    /// The share of the arrivals at the first entry, in percent; the rest is spread evenly.
    pub skew_percent: u32,
    /// The number of slots of all workers.
    pub slots: u32,
    /// The mean service time, in microseconds.
    pub service_us: u64,
    /// The offered load, in percent of the capacity of the slots.
    pub load_percent: u32,
    /// The shares of gold and silver, in percent; the rest is bronze.
    pub gold_silver: (u32, u32),
    /// The deadlines of gold, silver and bronze, in milliseconds.
    pub deadlines_ms: [u64; 3],
    /// The share of requests that may not run twice, in percent.
    pub once_percent: u32,
}

/// Draws the arrivals as lines of CSV.
///
/// Arrivals are a Poisson process. Service times are log-uniform from a quarter to four times a middle
/// value, so that the declared mean says little about a single request.
pub fn generate(load: &Load) -> String {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let busy = f64::from(load.slots) * f64::from(load.load_percent) / 100.0;
    let gap_us = load.service_us as f64 / busy;
    let mut at = 0.0;
    let mut lines = String::new();
    loop {
        at += -gap_us * (1.0 - rng.random::<f64>()).ln();
        if at >= load.millis as f64 * 1_000.0 {
            return lines;
        }
        let entry = draw_entry(load, &mut rng);
        let tier = draw_tier(load, &mut rng);
        let service = draw_service(load, &mut rng);
        let once = rng.random_range(0..100) < load.once_percent;
        let deadline = load.deadlines_ms[tier];
        let repeatable = u8::from(!once);
        // Writing to a string does not fail.
        let _ = writeln!(lines, "{at:.0},{entry},{tier},{deadline},{service:.0},{repeatable}");
    }
}

fn draw_entry(load: &Load, rng: &mut SmallRng) -> usize {
    if rng.random_range(0..100) < load.skew_percent {
        return 0;
    }
    rng.random_range(1.min(load.entries - 1)..load.entries)
}

fn draw_tier(load: &Load, rng: &mut SmallRng) -> usize {
    let (gold, silver) = load.gold_silver;
    match rng.random_range(0..100) {
        x if x < gold => 0,
        x if x < gold + silver => 1,
        _ => 2,
    }
}

/// Returns a service time whose mean is the load's.
fn draw_service(load: &Load, rng: &mut SmallRng) -> f64 {
    const SPREAD: f64 = 4.0;
    // The mean of a log-uniform draw over [1/s, s] is (s - 1/s) / (2 ln s).
    let mean = (SPREAD - 1.0 / SPREAD) / (2.0 * SPREAD.ln());
    let factor = SPREAD.powf(rng.random_range(-1.0..1.0));
    load.service_us as f64 * factor / mean
}
