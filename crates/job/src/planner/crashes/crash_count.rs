//! Counts worker crashes per task, and fails the jobs of tasks that cause them; see
//! [`crate::planner::state::suspicion`].

use std::collections::VecDeque;
use std::time::Duration;

use crate::Outcome;
use crate::RunId;
use crate::TaskKey;
use crate::planner::Finding;
use crate::planner::Planner;
use crate::planner::Suspect;
use crate::planner::state::job_state::Phase;
use crate::planner::state::roster::PlacedRun;
use crate::planner::state::roster::RunPhase;
use crate::planner::state::suspicion::Suspicion;
use crate::planner::state::suspicion::UnexplainedCrash;
use crate::planner::state::suspicion::Verdict;

/// A crash counts as uncertain if, within [`COMMON_CAUSE_WINDOW`] before it, at least this many
/// workers without suspects crashed. One is not enough: two tasks that crash their workers at
/// the same time are not rare.
const MASS_CRASH_WORKERS: usize = 2;

/// Delay between a crash and the trial that follows it. Within this time, all crashes of the
/// same moment are detected: a call to an idle worker fails within 0.65 s, and the list of
/// machines is read every 0.5 s.
pub(crate) const TRIAL_DELAY: Duration = Duration::from_millis(1200);

/// Two crashes that are detected within this time of each other may have a common cause. Of
/// workers that crash together, the first is detected within 0.5 s and the last within 1.2 s;
/// the remaining time is a margin.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(1500);

/// Time at work after which a task that lasts is cleared of earlier crashes, and its worker of earlier
/// failures. Tasks that crash their workers, and workers that fail all tasks, do so soon after the
/// start.
const SOUND_RUN_TIME: Duration = Duration::from_secs(6);

impl Planner {
    /// Takes the findings on suspects since the last call.
    pub fn take_findings(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.suspects.findings)
    }

    /// Returns the number of tasks that may only start alone on a worker.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        let needs_trial = |task: &&TaskKey| {
            let job = self.jobs.get(&task.step.job);
            job.is_some_and(|job| job.needs_trial(**task))
        };
        self.suspects.tasks.iter().filter(needs_trial).count()
    }

    pub(crate) fn suspicion_of(&mut self, task: TaskKey) -> Option<&mut Suspicion> {
        self.jobs.get_mut(&task.step.job)?.suspicion_mut(task)
    }

    pub(crate) fn record_finding(&mut self, task: TaskKey, run: RunId, finding: Finding) {
        let crashes = self.suspicion_of(task);
        let crashes = crashes.map_or(0, |suspicion| suspicion.crash_count());
        self.suspects.findings.push(Suspect {
            task,
            run,
            finding,
            crashes,
        });
    }

    /// Counts the crash of a worker against the runs that were on it. If `all_known` is set, these
    /// are all of its runs, except for `transferred` runs that may have been on it or may be on
    /// its next incarnation.
    pub(crate) fn count_crash(
        &mut self,
        runs: &[(TaskKey, PlacedRun)],
        all_known: bool,
        transferred: usize,
    ) {
        let alone = all_known && runs.len() == 1 && transferred == 0;
        let now = self.now;
        let recent = self.suspects.unexplained.iter();
        let recent = recent.filter(|crash| now < crash.at + COMMON_CAUSE_WINDOW);
        let common_cause = recent.count() >= MASS_CRASH_WORKERS;
        let mut any_suspect = false;
        for (task, placed) in runs {
            if self.worked_long(*task, placed) {
                self.forget_crashes(*task);
            }
            // A start without a reply may never have reached the crashed incarnation.
            let certain = placed.phase == RunPhase::Running && !common_cause;
            any_suspect |= self.record_crash(*task, placed.run, certain, alone);
        }
        if all_known && !any_suspect {
            self.record_unexplained(runs.iter().map(|(task, _)| *task).collect());
        }
    }

    /// Whether a run of a task that lasts has been at work for [`SOUND_RUN_TIME`].
    pub(crate) fn worked_long(&self, task: TaskKey, placed: &PlacedRun) -> bool {
        let lasts = self
            .step_spec(task.step)
            .is_some_and(|spec| spec.long_running);
        lasts
            && placed.phase == RunPhase::Running
            && placed.phase_since + SOUND_RUN_TIME <= self.now
    }

    /// Clears a task of all crashes so far.
    fn forget_crashes(&mut self, task: TaskKey) {
        if let Some(suspicion) = self.suspicion_of(task) {
            suspicion.crashes.clear();
            suspicion.uncertain.clear();
            suspicion.unrecorded_start = false;
            suspicion.alone_crash = None;
            self.dirty_jobs.insert(task.step.job);
        }
    }

    /// Counts a crash against a task; returns whether the task needs a trial. `alone` is set if
    /// no other run was on the worker.
    pub(crate) fn record_crash(
        &mut self,
        task: TaskKey,
        run: RunId,
        certain: bool,
        alone: bool,
    ) -> bool {
        let now = self.now;
        let first_run = run == self.run_base + 1;
        let job = self.jobs.get_mut(&task.step.job);
        let Some(job) = job.filter(|job| job.outcome.is_none()) else {
            return false;
        };
        let unrecorded = self.suspects.unreported_crash && job.maybe_started && first_run;
        let Some((_, step)) = job.step_mut(task.step) else {
            return false;
        };
        let state = step.tasks.get_mut(task.index as usize);
        let Some(state) = state.filter(|state| state.phase != Phase::Done) else {
            return false;
        };
        let unrecorded = unrecorded && state.suspicion.is_none();
        let suspicion = state.suspicion.get_or_insert_default();
        suspicion.unrecorded_start |= unrecorded;
        suspicion.intent = suspicion.intent.filter(|intent| intent.run != run);
        suspicion.assumed.take_if(|assumed| *assumed == run);
        if certain {
            suspicion.crashes.insert(run);
        } else {
            suspicion.uncertain.insert(run);
        }
        let needs_trial = suspicion.needs_trial();
        if needs_trial {
            suspicion.not_before = now + TRIAL_DELAY;
            suspicion.alone_crash = (alone && certain).then_some(now);
        }
        self.dirty_jobs.insert(task.step.job);
        self.suspects.tasks.insert(task);
        if needs_trial {
            let unexplained = &mut self.suspects.unexplained;
            unexplained.retain(|crash| !crash.tasks.contains(&task));
            self.record_finding(task, run, Finding::Suspected);
        }
        needs_trial
    }

    /// Removes a run from the crashes of its task, since no worker crash has ended it.
    pub(crate) fn clear_run(&mut self, task: TaskKey, run: RunId) {
        let now = self.now;
        let Some(suspicion) = self.suspicion_of(task) else {
            return;
        };
        if !suspicion.clear_run(run) {
            return;
        }
        let needs_trial = suspicion.needs_trial();
        // The wait for the next trial begins now; that for the fate of an assumed crash has ended.
        suspicion.not_before = suspicion.not_before.min(now + TRIAL_DELAY).max(now);
        self.dirty_jobs.insert(task.step.job);
        if needs_trial {
            self.record_finding(task, run, Finding::Cleared);
        }
    }

    /// Decides about suspects that were alone on a worker that crashed, once crashes with a common
    /// cause would have been detected. Fails the jobs of those that caused the crash.
    pub(crate) fn decide_suspects(&mut self) {
        let now = self.now;
        self.suspects
            .unexplained
            .retain(|crash| crash.at + COMMON_CAUSE_WINDOW + TRIAL_DELAY >= now);
        let mut crashers = Vec::new();
        self.suspects.decision_due = false;
        for task in std::mem::take(&mut self.suspects.tasks) {
            let job = self.jobs.get_mut(&task.step.job);
            let Some(job) = job.filter(|job| job.outcome.is_none()) else {
                continue;
            };
            let Some(suspicion) = job.suspicion_mut(task) else {
                continue;
            };
            self.suspects.tasks.insert(task);
            if now < suspicion.not_before {
                self.suspects.decision_due |= suspicion.alone_crash.is_some();
                continue;
            }
            let alone = suspicion.alone_crash.take();
            if alone.is_some() {
                // A successor has nothing left to decide.
                self.dirty_jobs.insert(task.step.job);
            }
            let unexplained = &self.suspects.unexplained;
            let sole_crash = alone.is_some_and(|at| is_sole_crash(unexplained, at));
            let run = suspicion.crashes.last().copied();
            if sole_crash && suspicion.trial_decides() {
                crashers.extend(run.map(|run| (task, run)));
            }
        }
        for (task, run) in crashers {
            self.fail_suspect(task, run, Verdict::Trial);
        }
    }

    /// Records a crash of a worker that had these tasks and no suspect.
    pub(crate) fn record_unexplained(&mut self, tasks: Vec<TaskKey>) {
        let at = self.now;
        self.suspects
            .unexplained
            .push_back(UnexplainedCrash { at, tasks });
        self.save_undecided();
    }

    /// Saves again the jobs of suspects for which a decision is due, since a crash that may have a
    /// common cause has been detected.
    fn save_undecided(&mut self) {
        for task in &self.suspects.tasks {
            let job = self.jobs.get(&task.step.job);
            let suspicion = job.and_then(|job| job.suspicion(*task));
            if suspicion.is_some_and(|suspicion| suspicion.alone_crash.is_some()) {
                self.dirty_jobs.insert(task.step.job);
            }
        }
    }

    /// Fails the job of a suspect.
    pub(crate) fn fail_suspect(&mut self, task: TaskKey, run: RunId, verdict: Verdict) {
        self.record_finding(task, run, Finding::JobFailed(verdict));
        self.finish_job(task.step.job, Outcome::Failed);
    }
}

/// Returns whether no other crash near `at` shows a common cause.
pub(crate) fn is_sole_crash(unexplained: &VecDeque<UnexplainedCrash>, at: Duration) -> bool {
    let mut others = unexplained.iter();
    !others.any(|crash| crash.at.abs_diff(at) < COMMON_CAUSE_WINDOW)
}
