//! Run times of a queue's tasks, learnt from those that were done.
//!
//! Callers guess, and a guess may tell little of the run time. Taken at its word, it makes
//! tasks count as late that are not, and these wait behind all others.

use std::collections::HashMap;
use std::time::Duration;

/// Steps seen for which a queue's own figures weigh as much as the declared one.
const PRIOR: f64 = 2.0;

/// Share of its weight that an observation keeps with each later one: the last
/// hundred steps count, so that a queue whose work changes is learnt anew.
const KEPT: f64 = 0.99;

/// What was seen of one queue: weighted sums over its done tasks of the logarithms
/// of the declared (`x`) and the true (`y`) time.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl Sums {
    fn add(&mut self, x: f64, y: f64, weight: f64) {
        let kept = KEPT.powf(weight);
        for (sum, new) in [
            (&mut self.weight, 1.0),
            (&mut self.x, x),
            (&mut self.y, y),
            (&mut self.xx, x * x),
            (&mut self.xy, x * y),
        ] {
            *sum = *sum * kept + new * weight;
        }
    }

    /// The expected logarithm for a declared one: a straight line through what was
    /// seen, drawn towards the declared time while little was.
    fn expect(&self, x: f64) -> f64 {
        if self.weight <= 0.0 {
            return x;
        }
        let mean_x = self.x / self.weight;
        let mean_y = self.y / self.weight;
        let var = (self.xx / self.weight - mean_x * mean_x).max(0.0);
        let cov = self.xy / self.weight - mean_x * mean_y;
        let slope = (cov * self.weight + PRIOR) / (var * self.weight + PRIOR);
        let offset = (mean_y - mean_x) * self.weight / (self.weight + PRIOR);
        mean_x + offset + slope * (x - mean_x)
    }
}

/// What was learnt, by queue.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    queues: HashMap<String, Sums>,
}

impl RunTimes {
    /// A task that was declared to take `declared` took `took`; `weight` is its
    /// share of its step.
    pub fn observe(&mut self, queue: &str, declared: Duration, took: Duration, weight: f64) {
        let (x, y) = (log(declared), log(took));
        if let Some(sums) = self.queues.get_mut(queue) {
            sums.add(x, y, weight);
            return;
        }
        let mut sums = Sums::default();
        sums.add(x, y, weight);
        self.queues.insert(queue.to_owned(), sums);
    }

    /// How long a task of a queue will take that was declared to take `declared`.
    pub fn expect(&self, queue: &str, declared: Duration) -> Duration {
        let sums = self.queues.get(queue);
        sums.map_or(declared, |sums| {
            Duration::try_from_secs_f64(sums.expect(log(declared)).exp()).unwrap_or(declared)
        })
    }
}

/// Logarithm of a time in seconds; times under a millisecond count as one.
fn log(time: Duration) -> f64 {
    time.max(Duration::from_millis(1)).as_secs_f64().ln()
}
