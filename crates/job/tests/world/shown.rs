//! What the world knows of jobs that have begun, against what the planner
//! shows callers.

use std::collections::BTreeSet;

use job::JobId;
use job::RunId;
use job::Shown;
use job::TaskKey;

use super::World;
use crate::support;

impl World {
    /// A worker has started a task. A gang begins when all its members are
    /// there, or had been when the owner last heard of them.
    pub(super) fn note_start(&mut self, task: TaskKey, run: RunId) {
        let step = task.step;
        let spec = &self.jobs[&step.job].steps[step.step as usize];
        let all = (0..spec.count).all(|index| self.runs(TaskKey { step, index }, run));
        if !spec.gang || all {
            self.begun.insert(task.step.job);
        }
    }

    fn runs(&self, task: TaskKey, run: RunId) -> bool {
        let mut held = self.workers.iter().filter_map(|one| one.running.get(&task));
        let mut lost = self.lost_members().iter();
        held.any(|(number, _)| *number == run)
            || lost.any(|&(key, member, number)| {
                (member, number) == (task, run) && self.planner.has_booked(key, task, run)
            })
    }

    /// Each job of which a listed worker runs a single task has begun. A cancel
    /// that comes first ends the job as far as callers are concerned.
    pub(super) fn check_listed(&self, at: usize) {
        for task in self.workers[at].running.keys() {
            let spec = &self.jobs[&task.step.job];
            let gang = spec.steps[task.step.step as usize].gang;
            let shown = self.planner.shown(task.step.job);
            if !gang && !spec.canceled {
                assert_ne!(shown, Some(Shown::Pending), "{task} runs");
            }
        }
    }

    /// No job is shown as active, or left out of those that wait, unless a
    /// worker has begun it.
    pub(super) fn check_shown(&self) {
        let mut waiting = 0;
        for (id, spec) in &self.jobs {
            if self.begun.contains(id) {
                continue;
            }
            assert_ne!(
                self.planner.shown(*id),
                Some(Shown::Active),
                "job {id} has not begun"
            );
            waiting += usize::from(!spec.canceled);
        }
        let counted = self.planner.count_queue(&support::queue(2).name).waiting;
        assert!(counted >= waiting, "{counted} of {waiting} jobs that wait");
    }
}

/// Jobs of which a worker has ever begun a task.
pub(super) type Begun = BTreeSet<JobId>;
