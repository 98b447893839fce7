//! Estimates the factor of each worker on run times, with its uncertainty.
//!
//! Made for pools whose workers differ by more than 2 to 1 while no label shows it, and on which tasks
//! take one second, so a worker that turns slow has to be known after a few of its runs. Each end of
//! a run is one observation, in constant time. It is compared with the expected time of the task:
//! that of its queue, and that of its siblings, which tells much more.

use std::time::Duration;

use crate::planner::WorkerKey;

/// Variance of the logarithm of the factor before any observation: a factor of up to two either way.
pub(crate) const PRIOR: f64 = 0.12;

/// Smallest variance. It keeps the weight of the newest observation at a tenth at least.
const FLOOR: f64 = 0.008;

/// Variance of the times of the tasks of one step on the same worker, delays of reports included.
const SIBLING_NOISE: f64 = 0.06;

/// Variance of the time of a task about the one expected of its queue. Declared times are off by up
/// to a factor of two.
const QUEUE_NOISE: f64 = 0.5;

/// Variance that a second without observations adds.
const DRIFT: f64 = 0.002;

/// Deviation beyond which an observation is limited: a few tasks take several times as long as
/// their siblings on any worker.
const OUTLIER: f64 = 0.8;

/// Number of consecutive outliers in the same direction that show that the worker has changed.
const CHANGED: i8 = 2;

/// Largest logarithm of a restored factor, in hundredths: a factor of 20.
const MAX_LOG: i16 = 300;

/// Time without observations after which the estimate of a slow worker returns to that of an unknown
/// one, so that it is tried again: by work with slack, since urgent work prefers workers that are
/// known to be fast. Half of it is lost in each further such time.
const FORGET: Duration = Duration::from_secs(10);

/// Estimated factor of a worker, as a logarithm. It is above 0 if tasks take longer there than on
/// a worker of the pool's mean speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Factor {
    mean: f64,
    var: f64,
    /// Number of consecutive outliers, with their sign.
    outliers: i8,
    /// When it was last observed or aged.
    aged_at: Option<Duration>,
    /// Time since the last observation.
    idle: Duration,
}

impl Default for Factor {
    fn default() -> Factor {
        Factor {
            mean: 0.0,
            var: PRIOR,
            outliers: 0,
            aged_at: None,
            idle: Duration::ZERO,
        }
    }
}

impl Factor {
    /// Restores an estimate from what [`Factor::learnt`] returned; other values are bounded.
    pub(crate) fn restored(log_factor: i16, weight: u8) -> Factor {
        Factor {
            mean: f64::from(log_factor.clamp(-MAX_LOG, MAX_LOG)) / 100.0,
            var: (1.0 / (1.0 / PRIOR + f64::from(weight) / SIBLING_NOISE)).max(FLOOR),
            ..Factor::default()
        }
    }

    /// Returns the logarithm of the factor, in hundredths, and the weight of the observations, in
    /// runs that were compared with siblings.
    pub(crate) fn learnt(&self) -> (i16, u8) {
        #[allow(clippy::cast_possible_truncation)]
        let log_factor = (self.mean * 100.0).round() as i16;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let weight = (self.runs() + 0.5) as u8;
        (log_factor, weight)
    }

    /// Logarithm of the factor.
    pub(crate) fn log(&self) -> f64 {
        self.mean
    }

    /// Variance of the logarithm of the factor.
    pub(crate) fn var(&self) -> f64 {
        self.var
    }

    /// Returns the weight of the observations, in runs that were compared with siblings.
    fn runs(&self) -> f64 {
        ((1.0 / self.var - 1.0 / PRIOR) * SIBLING_NOISE).max(0.0)
    }

    /// Returns whether the estimate rests on at least one observation.
    pub(crate) fn known(&self) -> bool {
        self.runs() >= 0.5
    }

    /// Adds the logarithm of an observed time relative to the expected one, which has this variance.
    pub(crate) fn observe(&mut self, ratio: f64, expected_var: f64) {
        if !ratio.is_finite() {
            return;
        }
        let noise = expected_var + SIBLING_NOISE;
        let deviation = ratio - self.mean;
        // Without siblings, a long task does not differ from a slow worker.
        let telling = expected_var < QUEUE_NOISE / 2.0;
        if deviation.abs() <= OUTLIER {
            self.outliers = 0;
        } else if telling {
            let sign = if deviation > 0.0 { 1 } else { -1 };
            let again = self.outliers * sign > 0;
            self.outliers = if again { self.outliers + sign } else { sign };
        }
        let changed = self.outliers.abs() >= CHANGED;
        if changed {
            self.outliers = 0;
            self.var = 1.0;
        }
        let limit = if changed { f64::INFINITY } else { OUTLIER };
        let gain = self.var / (self.var + noise);
        self.mean += gain * deviation.clamp(-limit, limit);
        self.var = (self.var * (1.0 - gain)).max(FLOOR);
        self.idle = Duration::ZERO;
    }

    /// Lets the estimate lose weight with time.
    pub(crate) fn age(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.aged_at.unwrap_or(now));
        self.aged_at = Some(now);
        self.idle += passed;
        let seconds = passed.as_secs_f64();
        self.var = (self.var + DRIFT * seconds).min(PRIOR.max(self.var));
        if self.idle > FORGET && self.mean > 0.0 {
            self.mean *= 0.5_f64.powf(seconds / FORGET.as_secs_f64());
        }
    }
}

/// What the ended runs of a step tell about the time that its tasks take on a worker of mean speed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StepTimes {
    weight: f64,
    sum: f64,
    /// First ended run, until the next one ends: worker and logarithm of its time.
    first: Option<(WorkerKey, f64)>,
    ended: u32,
}

impl StepTimes {
    /// Returns the logarithm of the expected time and its variance, given what the queue's other
    /// jobs tell.
    pub(crate) fn expected(&self, queue_log: f64) -> (f64, f64) {
        let weight = self.weight + 1.0 / QUEUE_NOISE;
        ((self.sum + queue_log / QUEUE_NOISE) / weight, 1.0 / weight)
    }

    /// Adds an ended run whose worker has the factor `own`.
    pub(crate) fn add(&mut self, worker: WorkerKey, log_time: f64, own: &Factor, mean: f64) {
        let weight = 1.0 / (own.var + SIBLING_NOISE);
        self.weight += weight;
        self.sum += weight * (log_time - (own.mean - mean));
        self.ended += 1;
        self.first = (self.ended == 1).then_some((worker, log_time));
    }

    /// Returns whether a run has ended.
    pub(crate) fn any(&self) -> bool {
        self.ended > 0
    }

    /// Takes the first ended run if exactly one has ended.
    pub(crate) fn take_first(&mut self) -> Option<(WorkerKey, f64)> {
        self.first.take()
    }
}

#[cfg(test)]
#[path = "factor_tests.rs"]
mod tests;
