//! The planner's state of a job: its rounds, steps and tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use crate::CrashRecord;
use crate::JobId;
use crate::JobSpec;
use crate::Outcome;
use crate::Progress;
use crate::RunId;
use crate::StepKey;
use crate::StepProgress;
use crate::StepSpec;
use crate::TaskKey;
use crate::WorkerId;
use crate::planner::OrganisationKey;
use crate::planner::Planner;
use crate::planner::WorkerKey;
use crate::planner::state::suspicion::Suspicion;
use crate::planner::times::expected::Expected;
use crate::planner::times::factor::StepTimes;
use crate::planner::times::run_times::RunTimes;

/// Maximum number of rounds of a job that one planning pass opens.
const MAX_OPENED: u32 = 64;

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The task has no active run and is not done.
    Waiting,
    /// This run was sent to this worker or reported by it, and may still be active.
    Active(WorkerKey, RunId),
    /// A run of the task succeeded.
    Done,
}

/// The planner's state of a task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub phase: Phase,
    /// Number of the newest run; 0 if there was none.
    pub run: RunId,
    /// Newest run that was lost, refused or has ended without success. Later reports of runs up to
    /// this one do not make the task active, and their ends count only if they are done or failed.
    pub last_closed: RunId,
    /// Runs that failed.
    pub failures: BTreeSet<RunId>,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Worker crashes that count against the task; `None` if there are none.
    pub suspicion: Option<Box<Suspicion>>,
    /// How often this owner has preempted the task.
    pub preempted: u32,
}

/// An advice call that has not been answered yet.
#[derive(Debug)]
pub(crate) struct AdviceCall {
    /// Workers that the call asks about.
    pub workers: Vec<WorkerId>,
    /// Incarnation of each worker when the call was made; the answer is valid for it alone.
    pub incarnations: Vec<Option<WorkerKey>>,
    /// Time from which on the call counts as lost.
    pub timeout_at: Duration,
}

/// Advice on a step: which workers may run it.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// Workers for which an advice call was answered. The answer for a step does not change.
    pub asked: HashSet<WorkerKey>,
    /// Workers that may run the step, each with its ticket and the ticket's expiry.
    pub permits: HashMap<WorkerKey, (String, Duration)>,
    /// Advice calls that have not been answered yet.
    pub calls: Vec<AdviceCall>,
    /// No advice call is made before this time.
    pub not_before: Duration,
}

/// The planner's state of a step in one round.
#[derive(Debug)]
pub(crate) struct StepState {
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    pub done: u32,
    /// Worker of each run that succeeded, and the logarithm of its duration in seconds.
    pub log_seconds: Vec<(WorkerKey, f64)>,
    /// What its ended runs tell about the time that its tasks take.
    pub times: StepTimes,
    /// Which workers may run the step, if its queue uses the advice service.
    pub advised: StepAdvice,
}

impl StepState {
    fn new(spec: &StepSpec) -> StepState {
        let task = TaskState {
            phase: Phase::Waiting,
            run: 0,
            last_closed: 0,
            failures: BTreeSet::new(),
            checkpoint: String::new(),
            suspicion: None,
            preempted: 0,
        };
        StepState {
            tasks: vec![task; spec.count as usize],
            done: 0,
            log_seconds: Vec::new(),
            times: StepTimes::default(),
            advised: StepAdvice::default(),
        }
    }

    /// Returns whether all tasks are done.
    pub(crate) fn complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the number of waiting tasks.
    pub(crate) fn waiting(&self) -> usize {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.phase == Phase::Waiting);
        waiting.count()
    }

    /// Counts a failed run unless it is counted already; returns the number of failed runs. A gang
    /// fails as a whole: its failed runs are counted for task 0.
    pub(crate) fn count_failure(&mut self, index: u32, run: RunId, gang: bool) -> usize {
        let index = if gang { 0 } else { index as usize };
        let Some(task) = self.tasks.get_mut(index) else {
            return 0;
        };
        task.failures.insert(run);
        task.failures.len()
    }

    /// Returns the progress of the step to be saved.
    fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in (0..).zip(&self.tasks) {
            if task.phase == Phase::Done {
                progress.done.push(index);
                continue;
            }
            if !task.failures.is_empty() {
                progress.failures.insert(index, task.failures.clone());
            }
            if !task.checkpoint.is_empty() {
                progress.checkpoints.insert(index, task.checkpoint.clone());
            }
        }
        progress
    }

    /// Returns the crash records of the tasks that are not done, by task index.
    fn crash_records(&self) -> impl Iterator<Item = (u32, CrashRecord)> {
        let unfinished = (0..).zip(&self.tasks);
        let unfinished = unfinished.filter(|(_, task)| task.phase != Phase::Done);
        unfinished.filter_map(|(index, task)| Some((index, task.suspicion.as_ref()?.record()?)))
    }

    /// Returns the tasks, by index, of which it is not decided whether they caused a crash.
    fn undecided(&self) -> impl Iterator<Item = u32> {
        let undecided = (0..).zip(&self.tasks).filter(|(_, task)| {
            let suspicion = task.suspicion.as_ref();
            suspicion.is_some_and(|suspicion| suspicion.alone_crash.is_some())
        });
        undecided.map(|(index, _)| index)
    }

    /// Restores the saved progress of the step.
    fn restore(&mut self, progress: &StepProgress) {
        for (index, task) in (0..).zip(&mut self.tasks) {
            if progress.done.contains(&index) {
                task.phase = Phase::Done;
                self.done += 1;
            }
            if let Some(failures) = progress.failures.get(&index) {
                task.failures.clone_from(failures);
            }
            if let Some(checkpoint) = progress.checkpoints.get(&index) {
                task.checkpoint.clone_from(checkpoint);
            }
        }
    }
}

/// The planner's state of a job.
#[derive(Debug)]
pub(crate) struct JobState {
    pub spec: JobSpec,
    /// Organisation that the job belongs to.
    pub organisation: Option<OrganisationKey>,
    /// The job exceeds the share of its organisation.
    pub excess: bool,
    /// When the job was accepted. For a job of a former owner, this is computed from the wall
    /// clock; the age is limited to [`crate::planner::Policy::max_age`].
    pub accepted_at: Duration,
    /// Expected run time and work of the job, and its objective.
    pub expected: Expected,
    /// A former owner may have started tasks of the job.
    pub maybe_started: bool,
    /// A worker has reported a run of the job, to this owner or to a former one.
    pub started: bool,
    /// Steps by round: of each open round, and of each later one of which a run is known.
    pub rounds: BTreeMap<u32, Vec<StepState>>,
    /// Number of rounds that are open, so that their tasks may start. They are the first ones.
    pub opened_rounds: u32,
    /// Result of the job, once it has ended.
    pub outcome: Option<Outcome>,
    /// When the job ended, or was read as ended.
    pub ended_at: Duration,
    /// Outcome in the store; `None` until it is saved.
    pub saved_outcome: Option<Outcome>,
}

impl JobState {
    pub(crate) fn new(
        spec: JobSpec,
        accepted_at: Duration,
        maybe_started: bool,
        run_times: &RunTimes,
    ) -> JobState {
        let mut job = JobState {
            expected: Expected::new(&spec, run_times),
            spec,
            organisation: None,
            excess: false,
            accepted_at,
            maybe_started,
            started: false,
            rounds: BTreeMap::new(),
            opened_rounds: 0,
            outcome: None,
            ended_at: accepted_at,
            saved_outcome: None,
        };
        if job.spec.schedule.is_none() {
            job.open_round();
        }
        job
    }

    /// Adds the steps of a round of which a run is known, without opening the round: by this
    /// owner's clock it may not be due. Does nothing if the job has ended or has no such round.
    pub(crate) fn add_round(&mut self, round: u32) {
        if self.outcome.is_some() || round >= self.spec.rounds() {
            return;
        }
        let steps = self.spec.steps.iter();
        let round = self.rounds.entry(round);
        round.or_insert_with(|| steps.map(StepState::new).collect());
    }

    /// Opens the next round.
    fn open_round(&mut self) {
        self.add_round(self.opened_rounds);
        self.opened_rounds += 1;
    }

    /// Opens the rounds that are due at the time `wall` since 1970, but no more than
    /// [`MAX_OPENED`]; returns whether there are any.
    fn open_due_rounds(&mut self, wall: Duration) -> bool {
        let Some(schedule) = self.spec.schedule else {
            return false;
        };
        let before = self.opened_rounds;
        let end = schedule.rounds.min(before.saturating_add(MAX_OPENED));
        while self.outcome.is_none()
            && self.opened_rounds < end
            && schedule.due(self.opened_rounds) <= wall
        {
            self.open_round();
        }
        self.opened_rounds > before
    }

    /// Restores the progress that a former owner saved.
    pub(crate) fn restore(&mut self, progress: &Progress) {
        for (&(round, step), saved) in &progress.steps {
            self.add_round(round);
            let steps = self.rounds.get_mut(&round);
            if let Some(state) = steps.and_then(|steps| steps.get_mut(step as usize)) {
                state.restore(saved);
                self.started = true;
            }
        }
        for (&(round, step, index), record) in &progress.crashes {
            // The crash record may be all that was saved of the round.
            self.add_round(round);
            let steps = self.rounds.get_mut(&round);
            let state = steps.and_then(|steps| steps.get_mut(step as usize));
            let task = state.and_then(|state| state.tasks.get_mut(index as usize));
            if let Some(task) = task.filter(|task| task.phase != Phase::Done) {
                task.suspicion = Some(Box::new(Suspicion::restored(record)));
            }
        }
        for &(round, ..) in progress.placements.keys() {
            self.add_round(round);
        }
        self.outcome = progress.outcome;
        self.saved_outcome = progress.outcome;
        if self.outcome.is_some() {
            self.drop_details();
        }
    }

    /// Returns the progress of the job to be saved, without the placements of its runs.
    pub(crate) fn progress(&self) -> Progress {
        let mut progress = Progress {
            outcome: self.outcome,
            ..Progress::default()
        };
        if self.outcome.is_some() {
            return progress;
        }
        if self.started {
            // Any entry, even an empty one, marks the job as started for a successor.
            progress.steps.insert((0, 0), StepProgress::default());
        }
        for (&round, steps) in &self.rounds {
            for (step, state) in (0..).zip(steps) {
                let step_progress = state.progress();
                if step_progress != StepProgress::default() {
                    progress.steps.insert((round, step), step_progress);
                }
                let crashes = state.crash_records();
                let crashes = crashes.map(|(index, record)| ((round, step, index), record));
                progress.crashes.extend(crashes);
                let undecided = state.undecided().map(|index| (round, step, index));
                progress.undecided.extend(undecided);
            }
        }
        progress
    }

    /// Returns whether the job counts as unfinished in the lengths of the queues. A failure counts
    /// as its end only once it is saved: until then, a successor may decide otherwise. A cancel
    /// counts at once, since it is stored in the job's own row; so does a completion.
    pub(crate) fn in_progress(&self) -> bool {
        match self.outcome {
            None => true,
            Some(Outcome::Failed) => self.saved_outcome.is_none(),
            Some(Outcome::Completed | Outcome::Canceled) => false,
        }
    }

    /// Returns the runs of the job that may still be active.
    pub(crate) fn active_runs(&self, id: JobId) -> Vec<(TaskKey, WorkerKey, RunId)> {
        let mut runs = Vec::new();
        for (&round, steps) in &self.rounds {
            for (step, state) in (0..).zip(steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    let step = StepKey {
                        job: id,
                        round,
                        step,
                    };
                    if let Phase::Active(worker, run) = task.phase {
                        runs.push((TaskKey { step, index }, worker, run));
                    }
                }
            }
        }
        runs
    }

    /// Drops the rounds and the payload, which an ended job does not need.
    pub(crate) fn drop_details(&mut self) {
        self.rounds.clear();
        self.spec.payload = String::new();
    }

    /// Returns a step; `None` if its round is not open or the step does not exist.
    pub(crate) fn step(&self, key: StepKey) -> Option<(&StepSpec, &StepState)> {
        let spec = self.spec.steps.get(key.step as usize)?;
        let state = self.rounds.get(&key.round)?.get(key.step as usize)?;
        Some((spec, state))
    }

    pub(crate) fn step_mut(&mut self, key: StepKey) -> Option<(&StepSpec, &mut StepState)> {
        let spec = self.spec.steps.get(key.step as usize)?;
        let state = self
            .rounds
            .get_mut(&key.round)?
            .get_mut(key.step as usize)?;
        Some((spec, state))
    }

    /// Returns whether a worker has reported the run of any member of a gang.
    pub(crate) fn gang_started(&self, key: StepKey, run: RunId) -> bool {
        let gang = self.step(key).filter(|(spec, _)| spec.gang);
        gang.is_some_and(|(_, step)| {
            let mut members = step.tasks.iter();
            members.any(|member| member.run == run || member.last_closed == run)
        })
    }

    /// Returns whether all tasks of all rounds are done.
    pub(crate) fn complete(&self) -> bool {
        let all_rounds = self.rounds.len() >= self.spec.rounds() as usize;
        all_rounds && self.rounds.values().flatten().all(StepState::complete)
    }
}

impl Planner {
    /// Completes a job whose tasks are all done; otherwise opens its steps that have waiting
    /// tasks and whose preceding steps are complete.
    pub(crate) fn open_steps(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.complete() {
            self.finish_job(id, Outcome::Completed);
            return;
        }
        for (&round, steps) in job.rounds.range(..job.opened_rounds) {
            for (number, (spec, state)) in (0..).zip(job.spec.steps.iter().zip(steps)) {
                let preceding_done =
                    |&after: &u32| steps.get(after as usize).is_none_or(StepState::complete);
                let key = StepKey {
                    job: id,
                    round,
                    step: number,
                };
                if !state.complete() && spec.after.iter().all(preceding_done) && state.waiting() > 0
                {
                    self.pending_steps.insert(key);
                }
            }
        }
    }

    /// Lets the waiting tasks of a step start, once its round is open.
    pub(crate) fn mark_pending(&mut self, key: StepKey) {
        let job = self.jobs.get(&key.job);
        if job.is_some_and(|job| key.round < job.opened_rounds) {
            self.pending_steps.insert(key);
        }
    }

    /// Opens the rounds of repeated jobs that are due.
    pub(crate) fn open_rounds(&mut self) {
        let wall = self.wall_origin + self.now;
        let jobs = self.jobs.iter_mut();
        let opened: Vec<JobId> = jobs
            .filter_map(|(&id, job)| job.open_due_rounds(wall).then_some(id))
            .collect();
        for id in opened {
            self.open_steps(id);
        }
    }
}

impl JobState {
    pub(crate) fn suspicion(&self, task: TaskKey) -> Option<&Suspicion> {
        let (_, step) = self.step(task.step)?;
        step.tasks.get(task.index as usize)?.suspicion.as_deref()
    }

    pub(crate) fn suspicion_mut(&mut self, task: TaskKey) -> Option<&mut Suspicion> {
        let (_, step) = self.step_mut(task.step)?;
        let state = step.tasks.get_mut(task.index as usize)?;
        state.suspicion.as_deref_mut()
    }

    /// Returns whether a task may only start alone on a worker.
    pub(crate) fn needs_trial(&self, task: TaskKey) -> bool {
        self.suspicion(task).is_some_and(Suspicion::needs_trial)
    }

    /// Returns the phase of a task; `None` if its round is not open or the task does not exist.
    pub(crate) fn phase(&self, task: TaskKey) -> Option<Phase> {
        let (_, step) = self.step(task.step)?;
        Some(step.tasks.get(task.index as usize)?.phase)
    }
}
