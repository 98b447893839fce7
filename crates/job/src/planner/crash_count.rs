//! Counts crashes, and gives up the tasks that are to blame for them; see
//! [`super::suspicion`].

use std::time::Duration;

use super::Finding;
use super::Planner;
use super::Suspect;
use super::job_state::Phase;
use super::roster::PlacedRun;
use super::roster::RunPhase;
use super::suspicion::Suspicion;
use crate::Outcome;
use crate::RunId;
use crate::TaskKey;

/// Workers without suspects that went down before, within [`COMMON_CAUSE_WINDOW`], from which
/// on a crash is held against none of the tasks: two bad tasks at a time are not rare.
const MASS_CRASH_WORKERS: usize = 2;

/// Pause before a trial. Workers that went down together are known to be dead by then:
/// an idle one is missed within 0.65 s, and the list of machines is asked for each 0.5 s.
const TRIAL_DELAY: Duration = Duration::from_millis(1200);

/// Time between two crashes within which they speak for a common cause: the first of
/// them is learnt of within 0.5 s, the last within 1.2 s, and some slack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(1500);

impl Planner {
    /// Findings since the last call.
    pub fn take_findings(&mut self) -> Vec<Suspect> {
        std::mem::take(&mut self.suspects.findings)
    }

    /// Tasks that start only alone.
    #[must_use]
    pub fn suspect_count(&self) -> usize {
        let isolates = |task: &&TaskKey| {
            let job = self.jobs.get(&task.step.job);
            job.is_some_and(|job| job.isolates(**task))
        };
        self.suspects.tasks.iter().filter(isolates).count()
    }

    pub(super) fn suspicion_of(&mut self, task: TaskKey) -> Option<&mut Suspicion> {
        self.jobs.get_mut(&task.step.job)?.suspicion_mut(task)
    }

    pub(super) fn record_finding(&mut self, task: TaskKey, run: RunId, finding: Finding) {
        let crashes = self.suspicion_of(task);
        let crashes = crashes.map_or(0, |suspicion| suspicion.count());
        self.suspects.findings.push(Suspect {
            task,
            run,
            finding,
            crashes,
        });
    }

    /// A worker has crashed under these runs, which have been given up; `known` says
    /// that they are all that it ran, but for `moved` ones that may have been there.
    pub(super) fn count_crash(&mut self, runs: &[(TaskKey, PlacedRun)], known: bool, moved: usize) {
        let alone = known && runs.len() == 1 && moved == 0;
        let now = self.now;
        let recent = self.suspects.crash_times.iter();
        let recent = recent.filter(|death| now < **death + COMMON_CAUSE_WINDOW);
        let common = recent.count() >= MASS_CRASH_WORKERS;
        let mut guilty = false;
        for (task, placed) in runs {
            // A start without an answer may have come too late for the crash.
            let certain = placed.phase == RunPhase::Running && !common;
            guilty |= self.record_crash(*task, placed.run, certain, alone);
        }
        if known && !guilty {
            self.suspects.crash_times.push_back(self.now);
        }
        // It may have had a run that its former owner has recorded ahead.
        self.suspects.unreported |= !known && self.recovering;
    }

    /// Counts a crash; gives whether the task starts only alone now.
    fn record_crash(&mut self, task: TaskKey, run: RunId, certain: bool, alone: bool) -> bool {
        let now = self.now;
        let job = self.jobs.get_mut(&task.step.job);
        let Some(job) = job.filter(|job| job.outcome.is_none()) else {
            return false;
        };
        let Some((_, step)) = job.step_mut(task.step) else {
            return false;
        };
        let state = step.tasks.get_mut(task.index as usize);
        let Some(state) = state.filter(|state| state.phase != Phase::Done) else {
            return false;
        };
        let suspicion = state.suspicion.get_or_insert_default();
        suspicion.intent = suspicion.intent.filter(|ahead| ahead.run != run);
        if certain {
            suspicion.crashes.insert(run);
        } else {
            suspicion.uncertain.insert(run);
        }
        let isolates = suspicion.needs_trial();
        if isolates {
            suspicion.not_before = now + TRIAL_DELAY;
            suspicion.alone_crash = (alone && certain).then_some(now);
        }
        self.dirty.insert(task.step.job);
        self.suspects.tasks.insert(task);
        if isolates {
            self.record_finding(task, run, Finding::Suspected);
        }
        isolates
    }

    /// A run has ended in another way than with its worker.
    pub(super) fn clear_run(&mut self, task: TaskKey, run: RunId) {
        let Some(suspicion) = self.suspicion_of(task) else {
            return;
        };
        if !suspicion.clear_run(run) {
            return;
        }
        let isolates = suspicion.needs_trial();
        self.dirty.insert(task.step.job);
        if isolates {
            self.record_finding(task, run, Finding::Cleared);
        }
    }

    /// Gives up the suspects that are proven to be to blame.
    pub(super) fn judge_suspects(&mut self) {
        let now = self.now;
        self.suspects
            .crash_times
            .retain(|death| *death + COMMON_CAUSE_WINDOW + TRIAL_DELAY >= now);
        let mut proven = Vec::new();
        self.suspects.judging = false;
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
                self.suspects.judging |= suspicion.alone_crash.is_some();
                continue;
            }
            let alone = suspicion.alone_crash.take();
            let near =
                |at: Duration| move |death: &Duration| death.abs_diff(at) < COMMON_CAUSE_WINDOW;
            let proof = alone.is_some_and(|at| !self.suspects.crash_times.iter().any(near(at)));
            let run = suspicion.crashes.last().copied();
            if proof && suspicion.trial_decides() {
                proven.extend(run.map(|run| (task, run)));
            }
        }
        for (task, run) in proven {
            self.fail_suspect(task, run);
        }
    }

    pub(super) fn fail_suspect(&mut self, task: TaskKey, run: RunId) {
        self.record_finding(task, run, Finding::GivenUp);
        self.finish(task.step.job, Outcome::Failed);
    }
}
