//! Rank of waiting steps, which determines the order in which their tasks start.

use std::time::Duration;

use crate::LATE_FACTOR;
use crate::Mechanism;
use crate::StepKey;
use crate::planner::Planner;
use crate::planner::limits::shares::BANDS;
use crate::planner::state::job_state::JobState;

/// Bounds of a gang's relative size. In its rank, the time to its objective is multiplied by this
/// size. Because of the bounds, a large gang that has waited goes before a small one that is
/// accepted much later, so it is not postponed forever.
const SIZE_RANGE: std::ops::RangeInclusive<f64> = 0.25..=2.0;

/// Weight of the newest job in the mean work of its queue.
const WORK_GAIN: f64 = 0.05;

/// Rank of a step; lower ranks are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Band by the share of its organisation, see [`Planner::band`].
    pub(crate) band: u8,
    /// 0 while the objective can be met, 1 while a late result still has value, 2 after that.
    pub(crate) stage: u8,
    /// Priority of the queue; 0 is the most urgent.
    pub(crate) priority: u32,
    /// End of the objective; for a gang, it is adjusted by the gang's relative size.
    due: Duration,
}

/// Share of the estimated run time of the remaining steps that must fit before the end of the
/// objective for a step to count as in time: estimates are wrong by up to a factor of two.
const WORK_SHARE: f64 = 0.5;

/// The same share for a gang, which ends with its slowest member. With [`WORK_SHARE`], a backlog
/// was served in order of due time and most gangs ended just after their objective: 141 of 269 in
/// a fully loaded pool. In three fully loaded pools (two runs each), the results that callers got
/// in time made up 0.610 of the value of all results to their callers on average with
/// [`WORK_SHARE`] for gangs, and 0.635 with this share.
const GANG_WORK_SHARE: f64 = 1.0;

impl Planner {
    /// Returns the rank of a step; `None` if a former owner may have started its job and recovery
    /// has not ended.
    pub(crate) fn rank(&self, key: StepKey) -> Option<Rank> {
        let job = self.jobs.get(&key.job)?;
        if job.maybe_started && self.recovering {
            return None;
        }
        let objective = job.expected.objective;
        let (spec, _) = job.step(key)?;
        let due = job.accepted_at + objective;
        let switches = self.policy.switches;
        let whole_chain = spec.gang && switches.enabled(Mechanism::WholeChain);
        let work_share = if whole_chain {
            GANG_WORK_SHARE
        } else {
            WORK_SHARE
        };
        let tail = job.expected.tail_times.get(key.step as usize).copied();
        let ready = self.now + tail.unwrap_or(spec.estimate).mul_f64(work_share);
        let has_turn = self.has_turn(key);
        let in_time = has_turn || ready <= due || !switches.enabled(Mechanism::InTimeFirst);
        let stage = if in_time || self.overdue_gang == Some(key) {
            0
        } else if ready <= job.accepted_at + objective * LATE_FACTOR {
            1
        } else {
            2
        };
        let due = if spec.gang && switches.enabled(Mechanism::SmallFirst) {
            job.accepted_at + objective.mul_f64(self.relative_size(job))
        } else {
            due
        };
        Some(Rank {
            band: self.ranked_band(key, stage),
            stage,
            priority: if has_turn { 0 } else { job.spec.queue.priority },
            due,
        })
    }

    /// Returns the band of a step in its rank. With shares by work, a result without value to its caller
    /// goes after all others.
    fn ranked_band(&self, key: StepKey, stage: u8) -> u8 {
        if self.has_turn(key) {
            return 0;
        }
        let hopeless = stage > 1 && self.policy.switches.enabled(Mechanism::WorkShares);
        self.band(key) + if hopeless { BANDS } else { 0 }
    }

    /// Returns the work of a job relative to the mean of its queue.
    ///
    /// Under a backlog, not all gangs can be in time, and the resources of one large gang are
    /// enough for several small ones. In two fully loaded pools (two runs each), the results that
    /// callers got in time made up 0.643 of the value of all results to their callers on average
    /// with gangs in order of due time, and 0.672 with the relative size.
    fn relative_size(&self, job: &JobState) -> f64 {
        let mean = self.mean_work.get(&job.spec.queue.name);
        let mean = mean.copied().unwrap_or_default();
        if mean <= 0.0 {
            return 1.0;
        }
        #[allow(clippy::cast_precision_loss)]
        let size = job.expected.work as f64 / mean;
        size.clamp(*SIZE_RANGE.start(), *SIZE_RANGE.end())
    }

    /// Updates the mean work of a queue's jobs with a new job.
    pub(crate) fn learn_mean_work(&mut self, queue: &str, work: u64) {
        #[allow(clippy::cast_precision_loss)]
        let work = work as f64;
        if let Some(mean) = self.mean_work.get_mut(queue) {
            *mean += (work - *mean) * WORK_GAIN;
        } else {
            self.mean_work.insert(queue.to_owned(), work);
        }
    }

    /// Returns the gang that is ranked as if it were in time: of those that can no longer meet
    /// their objective, the one whose job was accepted first. Otherwise tasks that are still in
    /// time take each processor that becomes free, and a gang that few workers may run never
    /// starts. Only one gang is preferred in this way; under overload, more of them would make all
    /// others late.
    pub(crate) fn find_overdue_gang(&self) -> Option<StepKey> {
        if !self.policy.switches.enabled(Mechanism::OldestLateGang) {
            return None;
        }
        let late = self.pending_steps.iter().filter(|key| {
            let job = self.jobs.get(&key.job);
            let step = job.and_then(|job| job.step(**key));
            let gang = step.is_some_and(|(spec, _)| spec.gang);
            gang && self.limit_suffices(**key)
                && self.rank(**key).is_some_and(|rank| rank.stage > 0)
        });
        late.min_by_key(|key| {
            let job = self.jobs.get(&key.job);
            job.map(|job| (self.band(**key), job.accepted_at))
        })
        .copied()
    }
}
