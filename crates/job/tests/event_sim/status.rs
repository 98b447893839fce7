//! Checks the job status and the counts of waiting jobs against the jobs that have started.

use std::collections::BTreeSet;

use job::JobId;
use job::JobStatus;
use job::RunId;
use job::TaskKey;

use super::EventSim;
use crate::support;

impl EventSim {
    /// Records a start on a worker. A gang has started when each of its members is running, or was
    /// in a report of a crashed worker and is still booked.
    pub(super) fn record_start(&mut self, task: TaskKey, run: RunId) {
        let step = task.step;
        let spec = &self.jobs[&step.job].steps[step.step as usize];
        let all = (0..spec.count).all(|index| self.runs(TaskKey { step, index }, run));
        if !spec.gang || all {
            self.started.insert(task.step.job);
        }
    }

    /// Returns whether a worker has a run, or had it when it crashed and the planner still books
    /// it.
    fn runs(&self, task: TaskKey, run: RunId) -> bool {
        let mut active = self.workers.iter().filter_map(|one| one.running.get(&task));
        let mut lost = self.lost_runs().iter();
        active.any(|(number, _)| *number == run)
            || lost.any(|&(key, member, number)| {
                (member, number) == (task, run) && self.planner.has_booked(key, task, run)
            })
    }

    /// Checks that no job is pending while the worker's report lists a task of it that is not in
    /// a gang. A cancelled job is exempt, since its status is final for callers.
    pub(super) fn check_reported(&self, machine: usize) {
        for task in self.workers[machine].running.keys() {
            let spec = &self.jobs[&task.step.job];
            let gang = spec.steps[task.step.step as usize].gang;
            let status = self.planner.job_status(task.step.job);
            if !gang && !spec.canceled {
                assert_ne!(
                    status,
                    Some(JobStatus::Pending),
                    "{task} runs while its job is pending"
                );
            }
        }
    }

    /// Checks that no job is shown as active, or missing among the waiting ones, before a worker
    /// has started a task of it.
    pub(super) fn check_statuses(&self) {
        let mut waiting = 0;
        for (id, spec) in &self.jobs {
            if self.started.contains(id) || !self.has_read(*id) {
                continue;
            }
            assert_ne!(
                self.planner.job_status(*id),
                Some(JobStatus::Active),
                "job {id} is active before its first start"
            );
            waiting += usize::from(!spec.canceled);
        }
        let counted = self.planner.count_queue(&support::queue(2).name).waiting;
        assert!(
            counted >= waiting,
            "{counted} of {waiting} waiting jobs are counted"
        );
    }
}

/// Jobs of which a worker has started a task.
pub(super) type StartedJobs = BTreeSet<JobId>;
