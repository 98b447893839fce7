//! Upper bounds of numbers from callers, the operator, workers and stored rows, so that no sum of them
//! overflows. What exceeds a bound exceeds any pool and any retention as well.

use std::time::Duration;

use crate::JobSpec;
use crate::Organisation;
use crate::Queue;
use crate::Resources;
use crate::StepSpec;

/// Longest time, and latest time since 1970: more than a century.
pub const MAX_TIME: Duration = Duration::from_secs(1 << 32);

/// Largest amount of a resource of a worker, a task or a limit.
pub const MAX_AMOUNT: u64 = 1 << 32;

/// Largest factor on the run time of a job in its objective.
pub const MAX_STRETCH: f64 = 1000.0;

/// Largest weight of an organisation.
pub const MAX_WEIGHT: f64 = 1e9;

/// Returns a factor between 0 and `most`; 0 if it is undefined.
fn bounded(factor: f64, most: f64) -> f64 {
    if factor.is_nan() {
        0.0
    } else {
        factor.clamp(0.0, most)
    }
}

impl Resources {
    /// Returns whether no amount exceeds [`MAX_AMOUNT`].
    #[must_use]
    pub fn in_bounds(&self) -> bool {
        self.cpu.max(self.memory).max(self.gpu) <= MAX_AMOUNT
    }

    /// Limits each amount to [`MAX_AMOUNT`].
    #[must_use]
    pub fn bounded(&self) -> Resources {
        Resources {
            cpu: self.cpu.min(MAX_AMOUNT),
            memory: self.memory.min(MAX_AMOUNT),
            gpu: self.gpu.min(MAX_AMOUNT),
        }
    }
}

impl Queue {
    /// Limits the numbers of the queue.
    pub fn bound(&mut self) {
        self.stretch = bounded(self.stretch, MAX_STRETCH);
        self.slack = self.slack.min(MAX_TIME);
        self.timeout = self.timeout.min(MAX_TIME);
        if let Some(advice) = &mut self.advice {
            advice.fixed = advice.fixed.min(MAX_TIME);
            advice.each = advice.each.min(MAX_TIME);
            advice.valid = advice.valid.min(MAX_TIME);
        }
    }
}

impl Organisation {
    /// Limits the numbers of the organisation.
    pub fn bound(&mut self) {
        self.weight = bounded(self.weight, MAX_WEIGHT);
        self.limit.0 = self.limit.0.bounded();
    }
}

impl StepSpec {
    fn bound(&mut self) {
        self.need = self.need.bounded();
        self.estimate = self.estimate.min(MAX_TIME);
    }
}

impl JobSpec {
    /// Limits the numbers of the job.
    pub fn bound(&mut self) {
        self.queue.bound();
        self.steps.iter_mut().for_each(StepSpec::bound);
        if let Some(schedule) = &mut self.schedule {
            schedule.first = schedule.first.min(MAX_TIME);
            schedule.interval = schedule.interval.min(MAX_TIME);
        }
        self.received = self.received.min(MAX_TIME);
        if let Some(organisation) = &mut self.organisation {
            organisation.bound();
        }
    }
}
