//! In which order waiting steps are served.

use std::time::Duration;

use super::Planner;
use super::job_state::JobState;
use crate::Mechanism;
use crate::StepKey;

/// Time counted towards a gang's objective at the least and at the most, as shares
/// of it: a large gang that waits goes before a small one that comes later, so it
/// is not left over for good.
const SIZE_RANGE: std::ops::RangeInclusive<f64> = 0.25..=2.0;

/// Weight of the newest job in the mean work of its queue.
const WORK_GAIN: f64 = 0.05;

/// Order in which steps are served; lower first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// 0 while the objective can be met, 1 while late is still worth
    /// something, 2 after that.
    pub(super) stage: u8,
    pub(super) priority: u32,
    due: Duration,
}

/// A late answer is worth something up to this multiple of the objective.
const LATE_FACTOR: u32 = 3;

/// Share of the estimated work that must still fit before the objective for a
/// job to count as in time: estimates are off by up to a factor of two.
const HOPE: f64 = 0.5;

/// The same for a gang, which ends with its slowest member. With the share of
/// single tasks, a backlog was served in order of due time and most gangs ended
/// just too late: 141 of 269 on a day at the pool's limit. Mean worth of three
/// such days with two seeds 0.610, with this 0.635.
const GANG_HOPE: f64 = 1.0;

impl Planner {
    pub(super) fn rank(&self, key: StepKey) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        if job.maybe_started && self.recovering {
            return None;
        }
        let objective = job.expected.objective;
        let (spec, _) = job.step(key)?;
        let due = job.accepted_at + objective;
        let switches = self.policy.switches;
        let whole = spec.gang && switches.has(Mechanism::WholeChain);
        let hope = if whole { GANG_HOPE } else { HOPE };
        let tail = job.expected.tails.get(key.step as usize).copied();
        let ready = self.now + tail.unwrap_or(spec.estimate).mul_f64(hope);
        let hopeful = ready <= due || !switches.has(Mechanism::Stages);
        let stage = if hopeful || self.elder == Some(key) {
            0
        } else if ready <= job.accepted_at + objective * LATE_FACTOR {
            1
        } else {
            2
        };
        let due = if spec.gang && switches.has(Mechanism::SmallFirst) {
            job.accepted_at + objective.mul_f64(self.size(job))
        } else {
            due
        };
        Some(Rank {
            stage,
            priority: job.spec.queue.priority,
            due,
        })
    }

    /// Size of a job against others of its queue.
    ///
    /// Under a backlog not all gangs can be in time; the room of one large gang
    /// serves several small ones. In order of due times, mean worth of two days at
    /// the pool's limit with two seeds each was 0.643, with this 0.672.
    fn size(&self, job: &JobState) -> f64 {
        let mean = self.mean_work.get(&job.spec.queue.name);
        let mean = mean.copied().unwrap_or_default();
        if mean <= 0.0 {
            return 1.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let size = job.expected.work as f64 / mean;
        size.clamp(*SIZE_RANGE.start(), *SIZE_RANGE.end())
    }

    /// Learns the mean work of a queue's jobs.
    pub(super) fn learn_work(&mut self, queue: &str, work: u64) {
        #[allow(clippy::cast_precision_loss)]
        let work = work as f64;
        if let Some(mean) = self.mean_work.get_mut(queue) {
            *mean += (work - *mean) * WORK_GAIN;
        } else {
            self.mean_work.insert(queue.to_owned(), work);
        }
    }

    /// The gang that has waited longest beyond its objective. It keeps its rank:
    /// otherwise tasks that are still in time take each processor that becomes
    /// free, and a gang that few workers may run never starts. Only one, so that
    /// under overload the late do not make all others late.
    pub(super) fn find_elder(&self) -> Option<StepKey> {
        if !self.policy.switches.has(Mechanism::Elder) {
            return None;
        }
        let late = self.open.iter().filter(|key| {
            let job = self.jobs.get(&key.job);
            let step = job.and_then(|job| job.step(**key));
            let gang = step.is_some_and(|(spec, _)| spec.gang);
            gang && self.rank(**key).is_some_and(|rank| rank.stage > 0)
        });
        late.min_by_key(|key| self.jobs.get(&key.job).map(|job| job.accepted_at))
            .copied()
    }
}
