//! Correction factors for the callers' estimates of task times, learned for each queue.

use std::collections::HashMap;

use super::{JobKey, Ms, Pool};
use crate::id::RunId;

/// The weight of a new sample in the moving mean, which covers about the last twenty tasks.
const WEIGHT: f64 = 0.05;
/// The bounds of a sample, which limit the effect of a few outliers.
const FACTOR_BOUNDS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// The learned ratio of actual to estimated task time for each queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Estimates {
    by_queue: HashMap<String, f64>,
}

impl Estimates {
    /// Returns the factor by which a queue's estimates are multiplied.
    pub fn factor(&self, queue: &str) -> f64 {
        self.by_queue.get(queue).copied().unwrap_or(1.0)
    }

    fn add_sample(&mut self, queue: &str, estimated_ms: u32, took: Ms) {
        if estimated_ms == 0 {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "times of tasks are far below 2^52 ms")]
        let sample = took as f64 / f64::from(estimated_ms);
        let sample = sample.clamp(*FACTOR_BOUNDS.start(), *FACTOR_BOUNDS.end());
        let factor = self.by_queue.entry(queue.to_owned()).or_insert(sample);
        *factor += WEIGHT * (sample - *factor);
    }
}

impl Pool {
    pub(super) fn learn_task_time(&mut self, key: JobKey, run: RunId, took: Ms) {
        let Some(job) = self.jobs.get(key) else { return };
        let Some(step) = job.spec.steps.get(usize::from(run.task.step)) else { return };
        if !step.lasting {
            self.estimates.add_sample(&job.spec.queue, step.estimated_ms, took);
        }
    }
}
