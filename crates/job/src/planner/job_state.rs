//! A job as the planner tracks it: rounds, steps and tasks.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::Planner;
use super::WorkerKey;
use super::expected::Expected;
use super::run_times::RunTimes;
use super::suspicion::Suspicion;
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

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// To be started.
    Waiting,
    /// A run may be alive on the worker.
    Active(WorkerKey, RunId),
    /// Ended as done.
    Done,
}

#[derive(Clone, Debug)]
pub(super) struct TaskState {
    pub phase: Phase,
    /// Number of the newest start; 0 for none.
    pub run: RunId,
    /// Ends of runs up to this one do not count any more: the worker's lease
    /// was over before the end was recorded.
    pub void: RunId,
    /// Runs that ended as failed.
    pub failures: BTreeSet<RunId>,
    pub checkpoint: String,
    /// What is known against it, if workers crashed under it.
    pub suspicion: Option<Box<Suspicion>>,
    /// How often it was preempted, by this owner.
    pub preempted: u32,
}

/// A call for advice that is under way.
#[derive(Debug)]
pub(super) struct AdviceCall {
    /// The workers asked about.
    pub workers: Vec<WorkerId>,
    /// The life of each that the answer will be for.
    pub lives: Vec<Option<WorkerKey>>,
    /// It counts as lost at this time.
    pub lost: Duration,
}

/// What is known of the workers that may run a step.
#[derive(Debug, Default)]
pub(super) struct Advised {
    /// Workers that were asked about; the answer for a step does not change.
    pub asked: HashSet<WorkerKey>,
    /// Workers that may run it, with ticket and the time it ends.
    pub good: HashMap<WorkerKey, (String, Duration)>,
    /// Calls that are under way.
    pub calls: Vec<AdviceCall>,
    /// No call before this time.
    pub after: Duration,
}

#[derive(Debug)]
pub(super) struct StepState {
    pub tasks: Vec<TaskState>,
    pub done: u32,
    /// Workers of the runs that were done, and the logarithms of their seconds.
    pub took: Vec<(WorkerKey, f64)>,
    pub advised: Advised,
}

impl StepState {
    fn new(spec: &StepSpec) -> StepState {
        let task = TaskState {
            phase: Phase::Waiting,
            run: 0,
            void: 0,
            failures: BTreeSet::new(),
            checkpoint: String::new(),
            suspicion: None,
            preempted: 0,
        };
        StepState {
            tasks: vec![task; spec.count as usize],
            done: 0,
            took: Vec::new(),
            advised: Advised::default(),
        }
    }

    pub(super) fn complete(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    pub(super) fn waiting(&self) -> usize {
        let waiting = self
            .tasks
            .iter()
            .filter(|task| task.phase == Phase::Waiting);
        waiting.count()
    }

    /// Counts a failed run once; gives the failed runs so far. A gang fails as
    /// a whole: its runs count for task 0.
    pub(super) fn count_failure(&mut self, index: u32, run: RunId, gang: bool) -> usize {
        let index = if gang { 0 } else { index as usize };
        let Some(task) = self.tasks.get_mut(index) else {
            return 0;
        };
        task.failures.insert(run);
        task.failures.len()
    }

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

    /// What is known against tasks that are not done.
    fn crashes(&self) -> impl Iterator<Item = (u32, CrashRecord)> {
        let open = (0..).zip(&self.tasks);
        let open = open.filter(|(_, task)| task.phase != Phase::Done);
        open.filter_map(|(index, task)| Some((index, task.suspicion.as_ref()?.record()?)))
    }

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

#[derive(Debug)]
pub(super) struct JobState {
    pub spec: JobSpec,
    /// When the job was accepted, as far as known.
    pub born: Duration,
    /// What it will take, and when it is wanted.
    pub expected: Expected,
    /// A predecessor may have started it.
    pub old: bool,
    /// A worker has said that it runs a task, now or under a predecessor.
    pub begun: bool,
    pub rounds: BTreeMap<u32, Vec<StepState>>,
    /// Rounds opened so far.
    pub opened: u32,
    pub outcome: Option<Outcome>,
    /// When it ended, or became known as ended.
    pub ended: Duration,
    /// The outcome, once it was saved.
    pub saved: Option<Outcome>,
}

impl JobState {
    pub(super) fn new(spec: JobSpec, born: Duration, old: bool, learnt: &RunTimes) -> JobState {
        let mut job = JobState {
            expected: Expected::new(&spec, learnt),
            spec,
            born,
            old,
            begun: false,
            rounds: BTreeMap::new(),
            opened: 0,
            outcome: None,
            ended: born,
            saved: None,
        };
        if job.spec.schedule.is_none() {
            job.open_round();
        }
        job
    }

    pub(super) fn open_round(&mut self) {
        let steps = self.spec.steps.iter().map(StepState::new).collect();
        self.rounds.insert(self.opened, steps);
        self.opened += 1;
    }

    pub(super) fn restore(&mut self, progress: &Progress) {
        self.outcome = progress.outcome;
        self.saved = progress.outcome;
        for (&(round, step), saved) in &progress.steps {
            while self.opened <= round {
                self.open_round();
            }
            let steps = self.rounds.get_mut(&round);
            if let Some(state) = steps.and_then(|steps| steps.get_mut(step as usize)) {
                state.restore(saved);
                self.begun = true;
            }
        }
        for (&(round, step, index), record) in &progress.crashes {
            let steps = self.rounds.get_mut(&round);
            let state = steps.and_then(|steps| steps.get_mut(step as usize));
            let task = state.and_then(|state| state.tasks.get_mut(index as usize));
            if let Some(task) = task.filter(|task| task.phase != Phase::Done) {
                task.suspicion = Some(Box::new(Suspicion::restored(record)));
            }
        }
        if self.outcome.is_some() {
            self.shrink();
        }
    }

    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            outcome: self.outcome,
            ..Progress::default()
        };
        if self.outcome.is_some() {
            return progress;
        }
        if self.begun {
            // An entry, even an empty one, says that the job has begun.
            progress.steps.insert((0, 0), StepProgress::default());
        }
        for (&round, steps) in &self.rounds {
            for (step, state) in (0..).zip(steps) {
                let told = state.progress();
                if told != StepProgress::default() {
                    progress.steps.insert((round, step), told);
                }
                let crashes = state.crashes();
                let crashes = crashes.map(|(index, record)| ((round, step, index), record));
                progress.crashes.extend(crashes);
            }
        }
        progress
    }

    /// Whether callers see it as not ended. A cancel is known by the job's own
    /// row; a failure that is not saved yet may be judged anew by a successor.
    pub(super) fn open(&self) -> bool {
        match self.outcome {
            None => true,
            Some(Outcome::Failed) => self.saved.is_none(),
            Some(Outcome::Completed | Outcome::Canceled) => false,
        }
    }

    /// Runs that may be alive.
    pub(super) fn alive(&self, id: JobId) -> Vec<(TaskKey, WorkerKey, RunId)> {
        let mut alive = Vec::new();
        for (&round, steps) in &self.rounds {
            for (step, state) in (0..).zip(steps) {
                for (index, task) in (0..).zip(&state.tasks) {
                    let step = StepKey {
                        job: id,
                        round,
                        step,
                    };
                    if let Phase::Active(worker, run) = task.phase {
                        alive.push((TaskKey { step, index }, worker, run));
                    }
                }
            }
        }
        alive
    }

    /// Frees what an ended job does not need any more.
    pub(super) fn shrink(&mut self) {
        self.rounds.clear();
        self.spec.payload = String::new();
    }

    pub(super) fn step(&self, key: StepKey) -> Option<(&StepSpec, &StepState)> {
        let spec = self.spec.steps.get(key.step as usize)?;
        let state = self.rounds.get(&key.round)?.get(key.step as usize)?;
        Some((spec, state))
    }

    pub(super) fn step_mut(&mut self, key: StepKey) -> Option<(&StepSpec, &mut StepState)> {
        let spec = self.spec.steps.get(key.step as usize)?;
        let state = self
            .rounds
            .get_mut(&key.round)?
            .get_mut(key.step as usize)?;
        Some((spec, state))
    }

    /// All rounds were opened and all their tasks ended as done.
    pub(super) fn complete(&self) -> bool {
        let all = self.opened >= self.spec.rounds();
        all && self.rounds.values().flatten().all(StepState::complete)
    }
}

impl Planner {
    /// Opens the steps of a job that wait for nothing any more.
    pub(super) fn open_steps(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.complete() {
            self.finish(id, Outcome::Completed);
            return;
        }
        for (&round, steps) in &job.rounds {
            for (number, (spec, state)) in (0..).zip(job.spec.steps.iter().zip(steps)) {
                let free = |&after: &u32| steps.get(after as usize).is_none_or(StepState::complete);
                let key = StepKey {
                    job: id,
                    round,
                    step: number,
                };
                if !state.complete() && spec.after.iter().all(free) && state.waiting() > 0 {
                    self.open.insert(key);
                }
            }
        }
    }

    /// Opens the rounds of repeated jobs that are due.
    pub(super) fn open_rounds(&mut self) {
        let now = self.wall + self.now;
        let mut due = Vec::new();
        for (&id, job) in &self.jobs {
            let Some(schedule) = job.spec.schedule else {
                continue;
            };
            let next = schedule.first + schedule.interval * job.opened;
            if job.outcome.is_none() && job.opened < schedule.rounds && next <= now {
                due.push(id);
            }
        }
        for id in due {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.open_round();
            }
            self.open_steps(id);
        }
    }
}
