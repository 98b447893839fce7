//! Start intents: a start of a suspected task is saved with the job's progress before it is
//! sent, so that the count of crashes survives a change of owners. The intent names the worker that
//! was chosen for the start, so that a successor counts it only if this very worker has crashed.

use crate::JobId;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::StepSpec;
use crate::TaskKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::crashes::crash_count::TRIAL_DELAY;
use crate::planner::order::rank::Rank;
use crate::planner::placement::reservations::Reservations;
use crate::planner::state::job_state::Phase;
use crate::planner::state::suspicion::MAX_CRASHES;
use crate::planner::state::suspicion::StartIntent;
use crate::planner::state::suspicion::Verdict;

impl Planner {
    /// Adds the tasks with saved crash records to the suspects. A record contains crashes or a
    /// start intent. The decisions that the former owner had not made yet are made after the delay.
    pub(crate) fn restore_suspects(&mut self, job: JobId, progress: &Progress) {
        let now = self.now;
        let key = |&(round, step, index): &(u32, u32, u32)| {
            let step = StepKey { job, round, step };
            TaskKey { step, index }
        };
        self.suspects.tasks.extend(progress.crashes.keys().map(key));
        for task in progress.undecided.iter().map(key) {
            if let Some(suspicion) = self.suspicion_of(task) {
                suspicion.alone_crash = Some(now);
                suspicion.not_before = now + TRIAL_DELAY;
            }
        }
    }

    /// Resolves the start intents of the former owner at the end of recovery. Those that name a
    /// worker were resolved with the placements, see [`crate::planner::recovery::inherited`]. Members of a gang start
    /// under one run number: if a worker has reported the run of another member, the start of this
    /// one was sent, and its worker has crashed without a report.
    pub(crate) fn resolve_intents(&mut self) {
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
            if job.gang_started(task.step, intent.run) {
                self.record_crash(task, intent.run, false, false);
            }
        }
    }

    /// Fails the job of a suspect of a step with too many crashes. Records the start intents of the
    /// members of a gang, which name no workers: they are chosen when the gang starts.
    pub(crate) fn record_intents(&mut self, key: StepKey) {
        let now = self.now;
        let gang = self.step_spec(key).is_some_and(|spec| spec.gang);
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
                if self.resolve_assumed(task) {
                    continue;
                }
                self.fail_suspect(task, run, Verdict::TooManyCrashes);
                return;
            }
            if gang {
                self.record_intent(task, run, None);
            }
        }
    }

    /// Records the intent to start a run of a suspect, on `worker` if it is known yet. The start may
    /// be sent once the intent is saved.
    pub(crate) fn record_intent(&mut self, task: TaskKey, run: RunId, worker: Option<WorkerKey>) {
        if self.releasing {
            return;
        }
        let Some(suspicion) = self.suspicion_of(task) else {
            return;
        };
        let recorded = suspicion.intent;
        if recorded.is_some_and(|intent| intent.run == run && intent.worker == worker) {
            return;
        }
        suspicion.intent = Some(StartIntent {
            run,
            worker,
            saved: false,
        });
        self.dirty_jobs.insert(task.step.job);
    }

    /// Returns whether a run of a task may be sent to a worker: the task is no suspect, or the
    /// intent to start the run there is saved.
    pub(crate) fn start_saved(&self, task: TaskKey, run: RunId, worker: WorkerKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let suspicion = job.and_then(|job| job.suspicion(task));
        suspicion.is_none_or(|suspicion| {
            let saved = |intent: StartIntent| {
                intent.saved && intent.run == run && intent.worker == Some(worker)
            };
            suspicion.crash_count() == 0 || suspicion.intent.is_some_and(saved)
        })
    }

    /// Returns the worker that the start intent of a task names.
    pub(crate) fn intended_worker(&self, task: TaskKey) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.step.job)?;
        job.suspicion(task)?.intent?.worker
    }

    /// Keeps free what the unsaved start intents of a step need on their workers, so that no other
    /// task takes it until they are saved. An intent whose worker cannot run the task any more is
    /// dropped.
    pub(crate) fn hold_intents(
        &mut self,
        rank: Rank,
        key: StepKey,
        spec: &StepSpec,
        reservations: &mut Reservations,
    ) {
        for task in self.waiting_suspects(key) {
            let Some(intent) = self.intent_of(task).filter(|intent| !intent.saved) else {
                continue;
            };
            let Some(worker) = intent.worker else {
                continue;
            };
            let alone = self.jobs[&key.job].needs_trial(task);
            let free = self.workers.get(worker).filter(|state| self.usable(state));
            let free = free.filter(|_| self.limit_admits(key));
            let free = free.filter(|state| !alone || state.runs.is_empty());
            let free = free.map(|state| reservations.remaining(worker, state.free()));
            let Some(free) = free.filter(|free| free.can_fit(&spec.booked())) else {
                if let Some(suspicion) = self.suspicion_of(task) {
                    suspicion.intent = None;
                }
                self.dirty_jobs.insert(key.job);
                continue;
            };
            let needed = if alone { free } else { spec.booked() };
            reservations.hold(worker, rank, key, needed);
        }
    }

    /// Returns whether a start intent of a task is being saved.
    pub(crate) fn awaits_save(&self, task: TaskKey) -> bool {
        let intent = self.intent_of(task);
        intent.is_some_and(|intent| !intent.saved && intent.worker.is_some())
    }

    fn intent_of(&self, task: TaskKey) -> Option<StartIntent> {
        self.jobs.get(&task.step.job)?.suspicion(task)?.intent
    }

    /// Withdraws the start intents that were not sent, since the pool is being released: a successor
    /// would count them if their workers crashed. No further ones are recorded. During recovery, the
    /// intents are those of the former owner, which may have sent the starts.
    pub fn begin_release(&mut self) {
        self.releasing = true;
        if self.recovering {
            return;
        }
        let suspects: Vec<TaskKey> = self.suspects.tasks.iter().copied().collect();
        for task in suspects {
            let job = self.jobs.get(&task.step.job);
            if job.and_then(|job| job.phase(task)) != Some(Phase::Waiting) {
                continue;
            }
            let Some(suspicion) = self.suspicion_of(task) else {
                continue;
            };
            if suspicion.intent.take().is_some() {
                self.dirty_jobs.insert(task.step.job);
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
    pub(crate) fn mark_intents_saved(&mut self, job: JobId, progress: &Progress) {
        for (key, record) in &progress.crashes {
            let &(round, step, index) = key;
            let step = StepKey { job, round, step };
            let Some(mut intent) = self.intent_of(TaskKey { step, index }) else {
                continue;
            };
            let placed = progress.placements.get(key);
            let same_worker = intent.worker.is_none_or(|worker| {
                let info = self.worker_info(worker);
                info.zip(placed).is_some_and(|(info, placed)| {
                    placed.worker == info.id && placed.incarnation == info.incarnation
                })
            });
            if record.pending == Some(intent.run) && same_worker {
                intent.saved = true;
                if let Some(suspicion) = self.suspicion_of(TaskKey { step, index }) {
                    suspicion.intent = Some(intent);
                }
            }
        }
    }

    /// Returns whether a worker may be chosen for a task: it is not a suspect, or its delay has
    /// passed. For a member of a gang, the start intent must be saved, too.
    pub(crate) fn may_start(&self, task: TaskKey) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get(&task.step.job) else {
            return true;
        };
        let gang = job.step(task.step).is_some_and(|(spec, _)| spec.gang);
        let suspicion = job.suspicion(task);
        suspicion.is_none_or(|suspicion| {
            if gang {
                suspicion.may_start(now)
            } else {
                suspicion.delay_over(now)
            }
        })
    }

    /// Returns whether a step has suspects. Most steps have none, and checking each task of each
    /// waiting step took a third of a planning pass.
    pub(crate) fn has_suspects(&self, key: StepKey) -> bool {
        let task = |index: u32| TaskKey { step: key, index };
        let of_step = self.suspects.tasks.range(task(0)..=task(u32::MAX));
        of_step.take(1).count() > 0
    }

    /// Returns whether a task may start on a worker that has other runs.
    pub(crate) fn may_share_worker(&self, task: TaskKey) -> bool {
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
    pub(crate) fn waiting_trials(&self, key: StepKey) -> Vec<TaskKey> {
        let mut tasks = self.waiting_suspects(key);
        let job = self.jobs.get(&key.job);
        tasks.retain(|task| job.is_some_and(|job| job.needs_trial(*task)));
        tasks
    }
}
