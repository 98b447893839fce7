//! Runs that the former owner has placed, until it is known what became of them.
//!
//! Each start is saved with its worker: the start of a suspect before it is sent, all others with
//! the next write. So a successor knows which runs were on a worker that crashes before it has
//! sent a report, and counts the crash against these tasks alone. Without that, a task that crashes
//! its workers would have one more start under each owner that dies before it has detected the
//! crash.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::JobId;
use crate::Placement;
use crate::Progress;
use crate::StepKey;
use crate::TaskKey;
use crate::WorkerId;
use crate::planner::LossCause;
use crate::planner::LostRun;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::job_state::Phase;

/// Time after recovery within which a crash of a worker of the former owner is found: its registration
/// expires, or it reports as another incarnation. Most outages of the store are shorter.
const CRASH_SEARCH_TIME: Duration = Duration::from_secs(20);

/// Placements of the former owner on workers that have neither sent a report nor ended.
#[derive(Debug, Default)]
pub(crate) struct InheritedRuns {
    /// End of the search for crashes of these workers; zero before recovery has ended.
    search_end: Duration,
    by_task: BTreeMap<TaskKey, Placement>,
    by_worker: HashMap<WorkerId, Vec<TaskKey>>,
}

impl InheritedRuns {
    fn add(&mut self, task: TaskKey, placement: &Placement) {
        let of_worker = self.by_worker.entry(placement.worker.clone()).or_default();
        of_worker.push(task);
        self.by_task.insert(task, placement.clone());
    }

    /// Returns the placement of a task whose fate is unknown.
    pub(crate) fn get(&self, task: TaskKey) -> Option<&Placement> {
        self.by_task.get(&task)
    }

    /// Removes and returns the placements on a worker.
    fn take_worker(&mut self, id: &str) -> Vec<(TaskKey, Placement)> {
        let tasks = self.by_worker.remove(id).unwrap_or_default();
        let placed = tasks.into_iter();
        placed
            .filter_map(|task| Some((task, self.by_task.remove(&task)?)))
            .collect()
    }
}

impl Planner {
    /// Adds the placements that the former owner has saved for a job.
    pub(crate) fn restore_placements(&mut self, job: JobId, progress: &Progress) {
        for (&(round, step, index), placement) in &progress.placements {
            let step = StepKey { job, round, step };
            self.inherited.add(TaskKey { step, index }, placement);
        }
    }

    /// Drops the placements on a worker that has sent its first report: the report lists each run
    /// that is on it, and its ends. The worker has not crashed under the other runs.
    pub(crate) fn resolve_reported(&mut self, key: WorkerKey) {
        let id = self.workers[key].info.id.clone();
        for (task, placement) in self.inherited.take_worker(&id) {
            self.clear_run(task, placement.run);
            self.started_jobs.insert(task.step.job);
        }
    }

    /// Counts the crash of a worker that has sent no report against the runs that the former owner
    /// has placed on it. A worker that left has not crashed under its runs. If its lease has expired,
    /// its runs remain as [`Planner::assume_crashes`] has left them.
    pub(crate) fn resolve_ended(&mut self, key: WorkerKey, cause: LossCause) {
        let worker = &self.workers[key];
        let (id, incarnation) = (worker.info.id.clone(), worker.info.incarnation);
        let unreported = !worker.claimed && worker.inherited;
        self.suspects.unreported_crash |= unreported && cause == LossCause::Crashed;
        let placed = self.inherited.take_worker(&id);
        let other_runs = placed.len().saturating_sub(1);
        let tasks = placed.iter().map(|(task, _)| *task).collect();
        let mut any_suspect = false;
        for (task, placement) in placed {
            self.started_jobs.insert(task.step.job);
            // The crash of an earlier incarnation is recorded before its row is replaced.
            let same = incarnation.is_none_or(|incarnation| {
                let placed_on = placement.incarnation;
                placed_on.is_none_or(|placed_on| placed_on == incarnation)
            });
            match cause {
                LossCause::Crashed if same => {
                    let lost = LostRun {
                        task,
                        run: placement.run,
                        worker: id.clone(),
                        cause,
                        confirmed: false,
                        age: Duration::ZERO,
                        other_runs,
                    };
                    self.lost_runs.push(lost);
                    any_suspect |= self.record_crash(task, placement.run, false, false);
                }
                LossCause::Left => self.clear_run(task, placement.run),
                _ => {
                    // The worker's fate will not be learnt any more.
                    if let Some(suspicion) = self.suspicion_of(task) {
                        suspicion
                            .assumed
                            .take_if(|assumed| *assumed == placement.run);
                    }
                }
            }
        }
        if unreported && cause == LossCause::Crashed && !any_suspect {
            self.record_unexplained(tasks);
        }
    }

    /// Counts an uncertain crash for each placement on a worker of which nothing is known when the
    /// recovery ends. The count is corrected once the worker sends a report. No job fails for such a
    /// crash, see [`Planner::resolve_assumed`].
    pub(crate) fn assume_crashes(&mut self) {
        let mut workers = self.workers.values();
        let unreported = workers.any(|worker| worker.inherited && !worker.claimed);
        self.suspects.unreported_crash |= unreported;
        let by_id = &self.by_id;
        let unknown: Vec<(TaskKey, Placement)> = self
            .inherited
            .by_task
            .iter()
            // The row of a worker that has left or whose crash is recorded no longer exists.
            .filter(|(_, placement)| by_id.contains_key(&placement.worker))
            .map(|(task, placement)| (*task, placement.clone()))
            .collect();
        self.inherited
            .by_task
            .retain(|_, placement| by_id.contains_key(&placement.worker));
        self.inherited
            .by_worker
            .retain(|id, _| by_id.contains_key(id));
        for (task, placement) in unknown {
            let job = self.jobs.get(&task.step.job);
            if job.and_then(|job| job.phase(task)) == Some(Phase::Waiting) {
                self.record_crash(task, placement.run, false, false);
                if let Some(suspicion) = self.suspicion_of(task) {
                    suspicion.assumed = Some(placement.run);
                }
            }
        }
        self.inherited.search_end = self.now + CRASH_SEARCH_TIME;
    }

    /// Takes back the assumed crash of a task, once a crash would have been found. Until then, the
    /// task waits. Returns false if no crash of the task is assumed.
    pub(crate) fn resolve_assumed(&mut self, task: TaskKey) -> bool {
        let (now, search_end) = (self.now, self.inherited.search_end);
        let Some(suspicion) = self.suspicion_of(task) else {
            return false;
        };
        let Some(run) = suspicion.assumed else {
            return false;
        };
        if now < search_end {
            suspicion.not_before = search_end;
        } else {
            self.clear_run(task, run);
        }
        true
    }
}
