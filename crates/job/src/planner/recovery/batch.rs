//! Batches of progress to save. Callers may see the outcome of a job only after it is saved.
//!
//! An end is the end of a run. Each worker numbers its ends from 1 and repeats them in its reports
//! until they are acknowledged, which may happen only after the progress that contains them is
//! saved.

use crate::JobId;
use crate::Placement;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::crashes::crash_count::is_sole_crash;
use crate::planner::order::save_order::save_rank;
use crate::planner::state::job_state::JobState;
use crate::planner::state::job_state::Phase;
use crate::planner::state::job_state::TaskState;

/// Progress to be saved in one transaction.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// Progress of each job.
    pub jobs: Vec<(JobId, Progress)>,
    /// For each worker, the number of the newest end that may be acknowledged once the batch is
    /// saved: those before its first end of a job that was not read yet. Empty unless the batch is
    /// complete, see `ends_complete`.
    pub ends: Vec<(WorkerKey, u64)>,
    /// The batch leaves out no job with unsaved ends, an unsaved outcome or unsaved crash records.
    pub ends_complete: bool,
}

impl Planner {
    /// Returns whether any progress is not saved yet.
    #[must_use]
    pub fn has_unsaved(&self) -> bool {
        !self.dirty_jobs.is_empty() || !self.started_jobs.is_empty()
    }

    /// Takes up to `limit` jobs whose progress must be saved: first those in `dirty_jobs`, which
    /// have unsaved ends, outcomes or crash records, then those of which only a start is unsaved
    /// (`started_jobs`). If all were taken in order of id, an end would wait for 17 transactions
    /// after a thousand jobs have started at the same time. Numbers of ends are included only if no
    /// dirty job is left out, because the numbers do not show to which job an end belongs.
    pub fn take_batch(&mut self, limit: usize) -> Batch {
        let mut ids: Vec<JobId> = self.dirty_jobs.iter().copied().collect();
        if ids.len() > limit {
            ids.sort_by_cached_key(|id| self.jobs.get(id).map(|job| save_rank(job, self.now)));
        }
        ids.extend(self.started_jobs.difference(&self.dirty_jobs));
        ids.truncate(limit);
        let mut batch = Batch::default();
        for id in ids {
            self.dirty_jobs.remove(&id);
            self.started_jobs.remove(&id);
            if let Some(job) = self.jobs.get(&id) {
                batch.jobs.push((id, self.progress_of(id, job)));
            }
        }
        if self.dirty_jobs.is_empty() {
            batch.ends_complete = true;
            batch.ends = self.processed_ends();
        }
        batch
    }

    /// Returns the progress of a job to be saved, with the placement of each run that may be active
    /// and of each start that is about to be sent.
    fn progress_of(&self, id: JobId, job: &JobState) -> Progress {
        let mut progress = job.progress();
        if job.outcome.is_some() {
            return progress;
        }
        // A successor does not know of the other crashes, so only a sole one is left to its decision.
        progress.undecided.retain(|&(round, step, index)| {
            let step = StepKey {
                job: id,
                round,
                step,
            };
            let suspicion = job.suspicion(TaskKey { step, index });
            let at = suspicion.and_then(|suspicion| suspicion.alone_crash);
            at.is_some_and(|at| is_sole_crash(&self.suspects.unexplained, at))
        });
        for (&round, steps) in &job.rounds {
            for (step, state) in (0..).zip(steps) {
                let key = StepKey {
                    job: id,
                    round,
                    step,
                };
                for (index, task) in (0..).zip(&state.tasks) {
                    let placement = self.placement(TaskKey { step: key, index }, task);
                    let placement = placement.map(|placement| ((round, step, index), placement));
                    progress.placements.extend(placement);
                }
            }
        }
        progress
    }

    /// Returns the placement of a task's run that may be active, or that is about to be sent.
    fn placement(&self, key: TaskKey, task: &TaskState) -> Option<Placement> {
        let named = |worker: WorkerKey, run: RunId| {
            let info = self.worker_info(worker)?;
            Some(Placement {
                run,
                worker: info.id.clone(),
                incarnation: info.incarnation,
            })
        };
        match task.phase {
            Phase::Active(worker, run) => named(worker, run),
            Phase::Waiting => {
                let intent = task.suspicion.as_ref();
                let intent = intent.and_then(|suspicion| suspicion.intent);
                let intended = intent.and_then(|intent| named(intent.worker?, intent.run));
                intended.or_else(|| self.inherited.get(key).cloned())
            }
            Phase::Done => None,
        }
    }

    /// Marks a batch as saved: its outcomes may be shown to callers, and the starts of suspected
    /// tasks whose intents it contains may be sent.
    pub fn batch_saved(&mut self, batch: &Batch) {
        for (id, progress) in &batch.jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.saved_outcome = progress.outcome;
            }
            self.mark_intents_saved(*id, progress);
        }
    }

    /// Marks the jobs of a failed batch as unsaved again. They all become dirty jobs, since the
    /// batch does not show of which only the start was unsaved.
    pub fn batch_failed(&mut self, batch: &Batch) {
        self.dirty_jobs.extend(batch.jobs.iter().map(|(id, _)| *id));
    }
}
