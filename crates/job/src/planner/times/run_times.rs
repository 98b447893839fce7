//! Learns the run times of a queue's tasks from completed runs.
//!
//! Declared run times are guesses and may differ greatly from the actual ones. If objectives were
//! derived from them, tasks that can be in time would count as late and wait behind all others.

use std::collections::HashMap;
use std::time::Duration;

/// Number of observed steps at which the observations of a queue weigh as much as the declared
/// time.
const PRIOR_WEIGHT: f64 = 2.0;

/// Factor on the weight of older observations with each new one: about the last hundred
/// steps count, so that the estimate follows a queue whose work changes.
const DECAY: f64 = 0.99;

/// Observations of one queue: weighted sums, over its completed tasks, of the logarithms of the
/// declared run time (`x`) and the actual one (`y`).
#[derive(Clone, Copy, Debug, Default)]
struct RegressionSums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl RegressionSums {
    /// Adds an observation.
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let decay = DECAY.powf(weight);
        for (sum, new) in [
            (&mut self.weight, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * decay + new * weight;
        }
    }

    /// Predicts the logarithm of the actual time from that of the declared time, by linear
    /// regression with a prior that favours the declared time while there are few observations.
    fn predict(&self, x: f64) -> f64 {
        if self.weight <= 0.0 {
            return x;
        }
        let mean_x = self.x / self.weight;
        let mean_y = self.y / self.weight;
        let var = (self.xx / self.weight - mean_x * mean_x).max(0.0);
        let cov = self.xy / self.weight - mean_x * mean_y;
        let slope = (cov * self.weight + PRIOR_WEIGHT) / (var * self.weight + PRIOR_WEIGHT);
        let offset = (mean_y - mean_x) * self.weight / (self.weight + PRIOR_WEIGHT);
        mean_x + offset + slope * (x - mean_x)
    }
}

/// Learnt run times, by queue.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    queues: HashMap<String, RegressionSums>,
}

impl RunTimes {
    /// Adds the observation of a task that was declared to take `declared` and took `took`.
    /// `weight` is the task's share of its step.
    pub fn observe(&mut self, queue: &str, declared: Duration, took: Duration, weight: f64) {
        let (x, y) = (log(declared), log(took));
        if let Some(sums) = self.queues.get_mut(queue) {
            sums.add(x, y, weight);
            return;
        }
        let mut sums = RegressionSums::default();
        sums.add(x, y, weight);
        self.queues.insert(queue.to_owned(), sums);
    }

    /// Predicts the run time of a task of a queue from its declared time.
    pub fn predict(&self, queue: &str, declared: Duration) -> Duration {
        let sums = self.queues.get(queue);
        sums.map_or(declared, |sums| {
            Duration::try_from_secs_f64(sums.predict(log(declared)).exp()).unwrap_or(declared)
        })
    }
}

/// Returns the logarithm of a time in seconds; shorter times count as one millisecond.
fn log(time: Duration) -> f64 {
    time.max(Duration::from_millis(1)).as_secs_f64().ln()
}
