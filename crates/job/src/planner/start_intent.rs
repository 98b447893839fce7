//! Start intents: a start of a suspected task is saved with the job's progress before it is
//! sent, so that the count of crashes survives a change of owners.

use super::Planner;
use super::job_state::Phase;
use super::suspicion::MAX_CRASHES;
use super::suspicion::StartIntent;
use crate::JobId;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;

impl Planner {
    /// Adds the tasks with saved crash records to the suspects. A record contains crashes or a
    /// start intent.
    pub(super) fn restore_suspects(&mut self, job: JobId, progress: &Progress) {
        let tasks = progress.crashes.keys();
        let tasks = tasks.map(|&(round, step, index)| {
            let step = StepKey { job, round, step };
            TaskKey { step, index }
        });
        self.suspects.tasks.extend(tasks);
    }

    /// Resolves the start intents of the former owner at the end of recovery, when each of its
    /// workers has sent a report, has ended, or has an expired lease. A start that no worker has
    /// reported did not happen, unless a worker crashed before it sent a report: then the start
    /// counts as an uncertain crash.
    pub(super) fn resolve_intents(&mut self) {
        let unreported = std::mem::take(&mut self.suspects.unreported_crash);
        let suspects: Vec<TaskKey> = self.suspects.tasks.iter().copied().collect();
        for task in suspects {
            let Some(job) = self.jobs.get_mut(&task.step.job) else {
                continue;
            };
            let waiting = job.phase(task) == Some(Phase::Waiting);
            let Some(suspicion) = job.suspicion_mut(task).filter(|_| waiting) else {
                continue;
            };
            let Some(intent) = suspicion.intent.take() else {
                continue;
            };
            self.dirty_jobs.insert(task.step.job);
            if unreported {
                suspicion.uncertain.insert(intent.run);
            }
        }
    }

    /// Records a start intent for each waiting suspect of a step, so that the start may be sent
    /// once the intent is saved. Fails the job of a suspect with too many crashes.
    pub(super) fn record_intents(&mut self, key: StepKey) {
        let now = self.now;
        for task in self.waiting_suspects(key) {
            let Some(run) = self.upcoming_run(task) else {
                continue;
            };
            let Some(suspicion) = self.suspicion_of(task) else {
                continue;
            };
            if now < suspicion.not_before || suspicion.crash_count() == 0 {
                continue;
            }
            if suspicion.crash_count() >= MAX_CRASHES {
                self.fail_suspect(task, run);
                return;
            }
            if suspicion.intent.is_none_or(|intent| intent.run != run) {
                suspicion.intent = Some(StartIntent { run, saved: false });
                self.dirty_jobs.insert(key.job);
            }
        }
    }

    /// Returns the number of the next run of a task. All members of a gang start under the highest
    /// next number among them.
    fn upcoming_run(&self, task: TaskKey) -> Option<RunId> {
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

    /// Marks the start intents in a job's progress as saved.
    pub(super) fn mark_intents_saved(&mut self, job: JobId, progress: &Progress) {
        for (&(round, step, index), record) in &progress.crashes {
            let step = StepKey { job, round, step };
            let suspicion = self.suspicion_of(TaskKey { step, index });
            let intent = suspicion.and_then(|suspicion| suspicion.intent.as_mut());
            if let Some(intent) = intent.filter(|intent| record.pending == Some(intent.run)) {
                intent.saved = true;
            }
        }
    }

    /// Returns whether a task may start: it is not a suspect, or its start intent is saved and its
    /// delay has passed.
    pub(super) fn may_start(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicion(task));
        suspicion.is_none_or(|suspicion| suspicion.may_start(self.now))
    }

    /// Returns whether a step has suspects. Most steps have none, and checking each task of each
    /// waiting step took a third of a planning pass.
    pub(super) fn has_suspects(&self, key: StepKey) -> bool {
        let task = |index: u32| TaskKey { step: key, index };
        let of_step = self.suspects.tasks.range(task(0)..=task(u32::MAX));
        of_step.take(1).count() > 0
    }

    /// Returns whether a task may start on a worker that has other runs.
    pub(super) fn may_share_worker(&self, task: TaskKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let alone = job.is_some_and(|job| job.needs_trial(task));
        !alone && self.may_start(task)
    }

    /// Returns the suspects of a step that are waiting.
    fn waiting_suspects(&self, key: StepKey) -> Vec<TaskKey> {
        if self.suspects.tasks.is_empty() {
            return Vec::new();
        }
        let task = |index: u32| TaskKey { step: key, index };
        let of_step = self.suspects.tasks.range(task(0)..=task(u32::MAX));
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        of_step
            .filter(|task| job.phase(**task) == Some(Phase::Waiting))
            .copied()
            .collect()
    }

    /// Returns the waiting tasks of a step that may only start alone on a worker.
    pub(super) fn waiting_trials(&self, key: StepKey) -> Vec<TaskKey> {
        let mut tasks = self.waiting_suspects(key);
        let job = self.jobs.get(&key.job);
        tasks.retain(|task| job.is_some_and(|job| job.needs_trial(*task)));
        tasks
    }
}
