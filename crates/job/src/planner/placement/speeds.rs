//! Which work prefers slow workers.

use crate::Mechanism;
use crate::StepKey;
use crate::planner::Planner;
use crate::planner::state::roster::WorkerState;
use crate::planner::times::speed::SLOW_FACTOR;

impl Planner {
    /// Returns whether a worker counts as slow, if that mechanism is enabled.
    pub(crate) fn slow(&self, worker: &WorkerState) -> bool {
        self.policy.switches.enabled(Mechanism::Speeds) && worker.speed.slow()
    }

    /// Returns whether a step of single tasks can be in time on a slow worker. If so, it prefers
    /// slow workers, which leaves the fast ones to gangs and to tasks that need them.
    pub(crate) fn prefers_slow(&self, key: StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let tail = job.expected.tail_times.get(key.step as usize);
        let tail = tail.copied().unwrap_or_default().mul_f64(SLOW_FACTOR);
        self.now + tail <= job.accepted_at + job.expected.objective
    }
}
