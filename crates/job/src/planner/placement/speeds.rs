//! Which work prefers slow workers.

use crate::Mechanism;
use crate::StepKey;
use crate::StepSpec;
use crate::planner::Planner;
use crate::planner::placement::place::Candidate;
use crate::planner::placement::speed_order::SpeedNeed;
use crate::planner::placement::speed_order::speed_class;
use crate::planner::state::roster::WorkerState;
use crate::planner::times::speed::SLOW_FACTOR;

impl Planner {
    /// Returns whether a worker counts as slow, if that mechanism is enabled.
    pub(crate) fn slow(&self, worker: &WorkerState) -> bool {
        let in_classes = !self.speeds.differs && self.policy.switches.enabled(Mechanism::Speeds);
        in_classes && worker.speed.slow()
    }

    /// Returns the speed that a step needs; `None` if all workers are about equally fast.
    pub(crate) fn speed_need(&self, key: StepKey) -> Option<SpeedNeed> {
        if !self.speeds.differs {
            return None;
        }
        let job = self.jobs.get(&key.job)?;
        let tail = job.expected.tail_times.get(key.step as usize);
        let due = job.accepted_at + job.expected.objective;
        let left = due.saturating_sub(self.now);
        let fast = self.speeds.fast - self.speeds.mean;
        Some(SpeedNeed::new(
            left,
            tail.copied().unwrap_or_default(),
            fast,
        ))
    }

    /// Returns the speed class of a worker relative to the mean of the pool.
    pub(crate) fn speed_class(&self, worker: &WorkerState) -> i16 {
        speed_class(worker.factor.log() - self.speeds.mean)
    }

    /// Returns the position of a worker in the order of preference by speed; lower is better.
    pub(crate) fn speed_position(&self, worker: &WorkerState, need: Option<SpeedNeed>) -> i16 {
        need.map_or(0, |need| need.position(self.speed_class(worker)))
    }

    /// Orders the candidates for a gang of `count` members by speed.
    pub(crate) fn order_for_gang(
        &self,
        key: StepKey,
        spec: &StepSpec,
        candidates: &mut [Candidate],
        count: usize,
    ) {
        let Some(need) = self.speed_need(key) else {
            return;
        };
        let booked = spec.booked();
        let class = |candidate: &Candidate| self.speed_class(&self.workers[candidate.key]);
        let workers: Vec<(i16, u64)> = candidates
            .iter()
            .map(|candidate| (class(candidate), candidate.free.fit_count(&booked)))
            .collect();
        let need = need.for_gang(count as u64, &workers);
        for (candidate, (class, _)) in candidates.iter_mut().zip(workers) {
            candidate.position = need.position(class);
        }
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
