//! Starts that are recorded before they are sent, so that the count of crashes outlives
//! the owner.

use super::Planner;
use super::job_state::Phase;
use super::suspicion::Ahead;
use super::suspicion::MOST_CRASHES;
use crate::JobId;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;

impl Planner {
    /// Takes what a predecessor has recorded of a job's tasks.
    pub(super) fn recall_suspects(&mut self, job: JobId, progress: &Progress) {
        let tasks = progress.crashes.keys();
        let tasks = tasks.map(|&(round, step, index)| {
            let step = StepKey { job, round, step };
            TaskKey { step, index }
        });
        self.suspects.tasks.extend(tasks);
    }

    /// All workers of the predecessor have answered, or their lives or leases are over.
    /// What it recorded ahead and nobody lists has never started, unless some worker
    /// went down unseen.
    pub(super) fn settle_ahead(&mut self) {
        let unseen = std::mem::take(&mut self.suspects.unseen);
        let suspects: Vec<TaskKey> = self.suspects.tasks.iter().copied().collect();
        for task in suspects {
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let waits = job.phase(task) == Some(Phase::Waiting);
            let Some(suspicion) = job.suspicion_mut(task).filter(|_| waits) else {
                continue;
            };
            let Some(ahead) = suspicion.ahead.take() else {
                continue;
            };
            self.dirty.insert(task.step.job);
            if unseen {
                suspicion.unsure.insert(ahead.run);
            }
        }
    }

    /// Records the next start of each suspect of a step that waits.
    pub(super) fn record_ahead(&mut self, key: StepKey) {
        let now = self.now;
        for task in self.waiting_suspects(key) {
            let Some(run) = self.coming_run(task) else {
                continue;
            };
            let Some(suspicion) = self.suspicion_of(task) else {
                continue;
            };
            if now < suspicion.rest || suspicion.count() == 0 {
                continue;
            }
            if suspicion.count() >= MOST_CRASHES {
                self.give_up_suspect(task, run);
                return;
            }
            if suspicion.ahead.is_none_or(|ahead| ahead.run != run) {
                suspicion.ahead = Some(Ahead { run, saved: false });
                self.dirty.insert(key.job);
            }
        }
    }

    /// Number of the next start of a suspect; that of its gang, if it is a member.
    fn coming_run(&self, task: TaskKey) -> Option<RunId> {
        let job = self.jobs.get(&task.step.job)?;
        let (spec, step) = job.step(task.step)?;
        if !spec.gang {
            return Some(self.next_run(task));
        }
        let step_key = task.step;
        let members = (0..).zip(&step.tasks).map(|(index, _)| TaskKey {
            step: step_key,
            index,
        });
        members.map(|member| self.next_run(member)).max()
    }

    /// A job's progress was saved, with the starts that are recorded ahead in it.
    pub(super) fn ahead_saved(&mut self, job: JobId, progress: &Progress) {
        for (&(round, step, index), record) in &progress.crashes {
            let step = StepKey { job, round, step };
            let suspicion = self.suspicion_of(TaskKey { step, index });
            let ahead = suspicion.and_then(|suspicion| suspicion.ahead.as_mut());
            if let Some(ahead) = ahead.filter(|ahead| record.pending == Some(ahead.run)) {
                ahead.saved = true;
            }
        }
    }

    /// Whether nothing that is known against a task holds its next start back.
    pub(super) fn may_start(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicion(task));
        suspicion.is_none_or(|suspicion| suspicion.may_start(self.now))
    }

    /// Whether workers have crashed under any task of a step. Most steps have none; a
    /// look at each task of each waiting step took a third of a round.
    pub(super) fn suspected(&self, key: StepKey) -> bool {
        let task = |index: u32| TaskKey { step: key, index };
        let known = self.suspects.tasks.range(task(0)..=task(u32::MAX));
        known.take(1).count() > 0
    }

    /// Whether a task may start now, on a worker that runs others.
    pub(super) fn starts_beside_others(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let alone = job.is_some_and(|job| job.isolates(task));
        !alone && self.may_start(task)
    }

    /// Suspects of a step that wait.
    fn waiting_suspects(&self, key: StepKey) -> Vec<TaskKey> {
        if self.suspects.tasks.is_empty() {
            return Vec::new();
        }
        let task = |index: u32| TaskKey { step: key, index };
        let known = self.suspects.tasks.range(task(0)..=task(u32::MAX));
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        known
            .filter(|task| job.phase(**task) == Some(Phase::Waiting))
            .copied()
            .collect()
    }

    /// Tasks of a step that wait and start only alone.
    pub(super) fn waiting_trials(&self, key: StepKey) -> Vec<TaskKey> {
        let mut tasks = self.waiting_suspects(key);
        let job = self.jobs.get(&key.job);
        tasks.retain(|task| job.is_some_and(|job| job.isolates(*task)));
        tasks
    }
}
