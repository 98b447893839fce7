//! Simulation of tasks that crash their workers. A worker starts again after some seconds under
//! another id, or 0.1 s later under the same one, and the owner may change at any time. Starts
//! and crashes are counted on the workers' side.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::ActiveRun;
use job::Command;
use job::CrashRecord;
use job::EndedRun;
use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Planner;
use job::Policy;
use job::Progress;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StopReply;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;

use crate::support;

/// Simulated time per tick.
pub const TICK: Duration = Duration::from_millis(10);

/// Maximum number of starts of a task that crashes each of its workers: the platform's rules allow
/// two more starts after three crashes.
pub const MAX_STARTS: usize = 5;

/// Time from the start of such a task to the crash of its worker, unless a test sets another one.
pub const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Time within which the job of a task that crashes its workers must fail.
pub const FAILURE_LIMIT: Duration = Duration::from_secs(30);

/// Time from a crash until it shows in the list of machines, which the owner reads twice a second,
/// unless a test sets another one.
pub const DETECTION_DELAY: Duration = Duration::from_millis(500);

/// Time from a crash until the worker starts again under another id.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(3);

/// Time from a crash until the worker starts again under the same id.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Duration of a write to the store.
const SAVE_TIME: Duration = Duration::from_millis(30);

/// Maximum number of jobs in one write.
const MAX_JOBS: usize = 60;

/// Maximum number of workers whose rows are removed in one write.
const MAX_ROWS: usize = 35;

#[derive(Debug, Default)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub struct Incarnation {
    pub id: String,
    /// Start time of the incarnation; `None` if the worker does not report it.
    start_time: Option<u64>,
    /// Key in the current planner.
    pub key: Option<WorkerKey>,
    /// Number, start and end of the active run of each task.
    pub running: BTreeMap<TaskKey, (RunId, Duration, Duration)>,
    ended: Vec<EndedRun>,
    /// Time of the crash, if there was one.
    pub crashed_at: Option<Duration>,
    /// Nothing about the incarnation is reported to the owner any more: the owner was notified of
    /// its end, or a newer incarnation uses its id.
    retired: bool,
    /// The removal of the worker's row is saved.
    row_removed: bool,
    /// The worker runs but answers no calls.
    pub cut_off: bool,
    pub draining: bool,
    pub cores: u64,
}

/// A write to the store.
struct Save {
    started: Duration,
    batch: job::Batch,
    /// Ids of workers whose rows are removed.
    removed_rows: Vec<String>,
}

/// Workers and the planner of their owner.
pub struct CrashSim {
    pub now: Duration,
    pub epoch: u64,
    pub planner: Planner,
    /// All incarnations of the worker on each machine, the newest last.
    pub machines: Vec<Vec<Incarnation>>,
    jobs: BTreeMap<JobId, JobSpec>,
    /// Saved progress of each job.
    stored: BTreeMap<JobId, Progress>,
    /// The write to the store that is in progress.
    saving: Option<Save>,
    /// All writes to the store fail.
    pub store_down: bool,
    /// Tasks that crash their worker, with the time from start to crash.
    pub crashers: HashMap<TaskKey, Duration>,
    /// Time and machine of each start, by task.
    pub starts: HashMap<TaskKey, Vec<(Duration, usize)>>,
    /// Number of workers that crashed while the task ran on them, by task.
    pub crashes: HashMap<TaskKey, usize>,
    /// Number of failed runs, by task; always empty, since no task here fails by itself.
    pub failures: HashMap<TaskKey, usize>,
    /// Time from a crash until it shows in the list of machines.
    pub detection_delay: Duration,
    /// Crashed workers start again under the same id.
    same_ids: bool,
}

impl CrashSim {
    /// Creates workers that start again under another id.
    pub fn new(workers: usize) -> CrashSim {
        CrashSim::create(workers, false)
    }

    /// Creates workers that start again under the same id.
    pub fn with_same_ids(workers: usize) -> CrashSim {
        CrashSim::create(workers, true)
    }

    fn create(workers: usize, same_ids: bool) -> CrashSim {
        let mut sim = CrashSim {
            now: Duration::from_secs(10),
            epoch: 0,
            planner: support::planner(1),
            machines: Vec::new(),
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            saving: None,
            store_down: false,
            crashers: HashMap::new(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            failures: HashMap::new(),
            detection_delay: DETECTION_DELAY,
            same_ids,
        };
        for machine in 0..workers {
            sim.machines
                .push(vec![Incarnation::new(machine, 0, same_ids)]);
        }
        sim.take_over();
        sim
    }

    /// Replaces the owner by a successor that has only what was stored.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.saving = None;
        let stored_incarnations = self.stored_incarnations();
        self.planner = Planner::new(Policy::default(), self.epoch, self.now, Duration::ZERO);
        for (&id, spec) in &self.jobs {
            let progress = self.stored.get(&id);
            self.planner.add_job(id, spec.clone(), progress, true);
        }
        for incarnation in self.machines.iter_mut().flatten() {
            incarnation.key = None;
            if incarnation.row_removed {
                continue;
            }
            incarnation.retired = false;
            let info = incarnation.info();
            let row = WorkerInfo {
                incarnation: stored_incarnations
                    .get(&incarnation.id)
                    .copied()
                    .unwrap_or(incarnation.start_time),
                ..info.clone()
            };
            incarnation.key = self.planner.restore_worker(row);
            if incarnation.crashed_at.is_none() {
                self.planner.register_worker(info);
            }
        }
    }

    /// Returns the incarnation in each worker's row. Written rows, unlike the progress of jobs
    /// and the removal of rows, count as saved at once, so they contain what the planner has.
    fn stored_incarnations(&self) -> HashMap<String, Option<u64>> {
        let incarnations = self.machines.iter().flatten();
        let by_worker = incarnations.filter_map(|incarnation| {
            let info = self.planner.worker_info(incarnation.key?)?;
            Some((incarnation.id.clone(), info.incarnation))
        });
        by_worker.collect()
    }

    pub fn submit(&mut self, id: JobId, spec: JobSpec) {
        self.jobs.insert(id, spec.clone());
        self.planner.add_job(id, spec, None, false);
    }

    /// Submits a job whose tasks take `millis` each.
    pub fn submit_tasks(&mut self, id: JobId, count: u32, millis: u64) {
        let mut step = support::step(count);
        step.estimate = Duration::from_millis(millis);
        self.submit(id, support::spec(vec![step]));
    }

    /// Submits three jobs of two tasks for each worker. The first task of each job in `crashers`
    /// crashes its workers [`CRASH_DELAY`] after each start.
    pub fn submit_load(&mut self, crashers: &[JobId]) {
        for id in 1..=self.load_jobs() {
            self.submit_tasks(id, 2, 1000 + 40 * id);
        }
        for &id in crashers {
            self.crashers.insert(support::task(id, 0, 0), CRASH_DELAY);
        }
    }

    /// Returns the number of jobs that [`CrashSim::submit_load`] submits.
    fn load_jobs(&self) -> JobId {
        3 * self.machines.len() as JobId
    }

    /// Checks that of these jobs, those in `crashers` have failed and the others have completed.
    pub fn check_load(&self, crashers: &[JobId]) {
        for id in 1..=self.load_jobs() {
            let expected = if crashers.contains(&id) {
                JobStatus::Failed
            } else {
                JobStatus::Completed
            };
            assert_eq!(self.status(id), Some(expected), "job {id}");
        }
    }

    /// Checks that the first task of each job in `crashers` was started at most [`MAX_STARTS`]
    /// times.
    pub fn check_starts(&self, crashers: &[JobId]) {
        for &id in crashers {
            let starts = self.start_count(support::task(id, 0, 0));
            assert!(starts <= MAX_STARTS, "job {id}: {starts} starts");
        }
    }

    /// Crashes the first eight workers at the same time, four times, 4.9 s apart, and then runs for
    /// a minute.
    pub fn crash_repeatedly(&mut self) {
        for _ in 0..4 {
            self.run(Duration::from_millis(900));
            for machine in 0..8 {
                self.crash(machine);
            }
            self.run(Duration::from_secs(4));
        }
        self.run(Duration::from_mins(1));
    }

    /// Replaces the owner `delay` after each crash under the task, until its job has failed, or ten
    /// times.
    pub fn change_owners(&mut self, task: TaskKey, delay: Duration) {
        let mut crashes = 0;
        let job = task.step.job;
        while self.status(job) != Some(JobStatus::Failed) && crashes < 10 {
            let again = self.run_until(FAILURE_LIMIT, |sim| {
                sim.crash_count(task) > crashes || sim.status(job) == Some(JobStatus::Failed)
            });
            assert!(
                again,
                "{task} is not started again and its job does not fail"
            );
            crashes = self.crash_count(task);
            self.run(delay);
            self.take_over();
        }
    }

    pub fn status(&self, id: JobId) -> Option<JobStatus> {
        self.planner.job_status(id)
    }

    pub fn start_count(&self, task: TaskKey) -> usize {
        self.starts.get(&task).map_or(0, Vec::len)
    }

    pub fn crash_count(&self, task: TaskKey) -> usize {
        self.crashes.get(&task).copied().unwrap_or(0)
    }

    /// Returns the crash record of a task in the store.
    pub fn stored_record(&self, task: TaskKey) -> Option<&CrashRecord> {
        let step = task.step;
        let progress = self.stored.get(&step.job)?;
        progress.crashes.get(&(step.round, step.step, task.index))
    }

    /// Returns the number of crashes in the store that count against a task.
    pub fn stored_crashes(&self, task: TaskKey) -> usize {
        self.stored_record(task)
            .map_or(0, |record| record.runs.len() + record.uncertain.len())
    }

    /// Returns the start intent of a task in the store.
    pub fn stored_intent(&self, task: TaskKey) -> Option<RunId> {
        self.stored_record(task)?.pending
    }

    /// Returns the machine of the worker that a task's placement in the store names.
    pub fn stored_machine(&self, task: TaskKey) -> Option<usize> {
        let step = task.step;
        let progress = self.stored.get(&step.job)?;
        let placement = progress
            .placements
            .get(&(step.round, step.step, task.index))?;
        let named = |incarnations: &Vec<Incarnation>| {
            let newest = incarnations.last();
            newest.is_some_and(|incarnation| incarnation.id == placement.worker)
        };
        self.machines.iter().position(named)
    }

    /// Returns the machines on which no worker has crashed.
    pub fn machines_before_crash(&self) -> Vec<usize> {
        let machines = (0..).zip(&self.machines);
        let machines = machines.filter(|(_, incarnations)| {
            incarnations.len() == 1 && incarnations[0].crashed_at.is_none()
        });
        machines.map(|(machine, _)| machine).collect()
    }

    /// Registers another number of cores for the worker on a machine.
    pub fn resize(&mut self, machine: usize, cores: u64) {
        let incarnation = self.incarnation(machine);
        incarnation.cores = cores;
        let info = incarnation.info();
        self.planner.register_worker(info);
    }

    /// Returns whether the removal of the rows of all crashed workers is saved.
    pub fn rows_removed(&self) -> bool {
        let incarnations = self.machines.iter().flatten();
        let mut crashed = incarnations.filter(|incarnation| incarnation.crashed_at.is_some());
        crashed.all(|incarnation| incarnation.row_removed)
    }

    /// Returns the newest incarnation of the worker on a machine.
    pub fn incarnation(&mut self, machine: usize) -> &mut Incarnation {
        self.machines[machine].last_mut().expect("an incarnation")
    }

    pub fn machine_of(&self, task: TaskKey) -> Option<usize> {
        let runs_here = |incarnations: &Vec<Incarnation>| {
            incarnations
                .last()
                .is_some_and(|incarnation| incarnation.runs_task(task))
        };
        self.machines.iter().position(runs_here)
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs the simulation until a condition is met; returns whether that happened within `time`.
    pub fn run_until(&mut self, time: Duration, condition: impl Fn(&CrashSim) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.tick();
        }
        condition(self)
    }

    /// Crashes the worker on a machine, with all its runs.
    pub fn crash(&mut self, machine: usize) {
        let now = self.now;
        let incarnation = self.incarnation(machine);
        if incarnation.crashed_at.is_some() {
            return;
        }
        incarnation.crashed_at = Some(now);
        let lost_runs: Vec<TaskKey> = std::mem::take(&mut incarnation.running)
            .into_keys()
            .collect();
        for task in lost_runs {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    pub fn drain(&mut self, machine: usize) {
        let incarnation = self.incarnation(machine);
        incarnation.draining = true;
        let info = incarnation.info();
        self.planner.register_worker(info);
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.planner.advance(self.now);
        self.end_runs();
        self.restart_workers();
        self.report_to_owner();
        self.planner.plan();
        for command in self.planner.take_commands() {
            self.execute(&command);
        }
        self.save();
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let mut crashing = Vec::new();
        for (machine, incarnations) in self.machines.iter_mut().enumerate() {
            let Some(incarnation) = incarnations.last_mut() else {
                continue;
            };
            let due_runs = incarnation.running.iter();
            let due_runs = due_runs.filter(|(_, (_, _, end))| *end <= now);
            let due_runs: Vec<TaskKey> = due_runs.map(|(task, _)| *task).collect();
            for task in due_runs {
                if self.crashers.contains_key(&task) {
                    crashing.push(machine);
                    break;
                }
                incarnation.end(task, RunEnd::Done);
            }
        }
        for machine in crashing {
            self.crash(machine);
        }
    }

    fn restart_workers(&mut self) {
        for (machine, incarnations) in self.machines.iter_mut().enumerate() {
            let pause = if self.same_ids {
                RESTART_DELAY
            } else {
                REPLACEMENT_DELAY
            };
            let Some(former) = incarnations.last_mut() else {
                continue;
            };
            if former
                .crashed_at
                .is_some_and(|crashed_at| crashed_at + pause <= self.now)
            {
                let key = former.key;
                // An id that is in use again does not show as missing in the list of machines.
                former.retired |= self.same_ids;
                former.row_removed |= self.same_ids;
                let mut incarnation = Incarnation::new(machine, incarnations.len(), self.same_ids);
                incarnation.key = self.planner.register_worker(incarnation.info());
                // The planner returns no key for an id in use: the registration does not end the
                // former incarnation, whose key stays until `Command::NewIncarnation`.
                let key = key.filter(|key| self.planner.worker_info(*key).is_some());
                incarnation.key = incarnation.key.or(key.filter(|_| self.same_ids));
                incarnations.push(incarnation);
            }
        }
    }

    fn report_to_owner(&mut self) {
        // The owner looks up only these workers in the list of machines.
        let unresponsive = self.planner.unresponsive_workers();
        for incarnation in self
            .machines
            .iter_mut()
            .flatten()
            .filter(|incarnation| !incarnation.retired)
        {
            let Some(key) = incarnation.key else { continue };
            let checked = unresponsive.iter().any(|(asked_key, _)| *asked_key == key);
            match incarnation.crashed_at {
                Some(crashed_at) if checked && crashed_at + self.detection_delay <= self.now => {
                    incarnation.retired = true;
                    self.planner.worker_ended(key);
                }
                Some(_) => self.planner.mark_unresponsive(key),
                None if incarnation.cut_off => self.planner.mark_unresponsive(key),
                None => {
                    self.planner.extend_lease(key);
                    let worker_report = incarnation.worker_report(self.now);
                    self.planner.apply_report(key, self.now, &worker_report);
                }
            }
        }
    }

    /// Returns the newest incarnation on a machine if it has this key in the planner.
    fn incarnation_of(&mut self, key: WorkerKey) -> Option<(usize, &mut Incarnation)> {
        let mut incarnations = self.machines.iter_mut().enumerate();
        incarnations.find_map(|(machine, incarnations)| {
            let incarnation = incarnations.last_mut()?;
            (incarnation.key == Some(key)).then_some((machine, incarnation))
        })
    }

    fn execute(&mut self, command: &Command) {
        let now = self.now;
        match *command {
            Command::Start {
                worker, task, run, ..
            } => {
                let duration = self.duration_of(task);
                let Some((machine, incarnation)) = self.incarnation_of(worker) else {
                    return;
                };
                if incarnation.crashed_at.is_some() || incarnation.cut_off {
                    let reply = StartReply::Unknown;
                    self.planner.start_reply(worker, task, run, reply);
                    return;
                }
                incarnation.running.insert(task, (run, now, now + duration));
                self.starts.entry(task).or_default().push((now, machine));
                self.check_single(task);
                self.planner
                    .start_reply(worker, task, run, StartReply::Started);
            }
            Command::Stop {
                worker, task, run, ..
            } => {
                if let Some((_, incarnation)) = self.incarnation_of(worker)
                    && incarnation.crashed_at.is_none()
                    && !incarnation.cut_off
                {
                    incarnation.end(task, RunEnd::Stopped);
                    self.planner
                        .stop_reply(worker, task, run, StopReply::Stopped);
                }
            }
            Command::NewIncarnation { worker } => {
                let id = self.planner.worker_info(worker).map(|info| info.id.clone());
                let mut incarnations = self
                    .machines
                    .iter_mut()
                    .filter_map(|incarnations| incarnations.last_mut());
                if let Some(incarnation) =
                    incarnations.find(|incarnation| Some(&incarnation.id) == id.as_ref())
                {
                    incarnation.key = Some(worker);
                }
            }
            Command::Disconnect { .. } => {}
        }
    }

    fn duration_of(&self, task: TaskKey) -> Duration {
        let step = &self.jobs[&task.step.job].steps[task.step.step as usize];
        self.crashers.get(&task).copied().unwrap_or(step.estimate)
    }

    /// Checks that a task runs on one worker only.
    fn check_single(&self, task: TaskKey) {
        let incarnations = self
            .machines
            .iter()
            .filter_map(|incarnations| incarnations.last());
        let running_on = incarnations
            .filter(|incarnation| incarnation.runs_task(task))
            .count();
        assert_eq!(running_on, 1, "{task} runs on two workers");
    }

    fn save(&mut self) {
        if let Some(save) = self.saving.take() {
            if self.now < save.started + SAVE_TIME {
                self.saving = Some(save);
                return;
            }
            if self.store_down {
                self.planner.batch_failed(&save.batch);
                return;
            }
            let jobs = save.batch.jobs.iter().cloned();
            self.stored.extend(jobs);
            self.planner.batch_saved(&save.batch);
            for incarnation in self.machines.iter_mut().flatten() {
                incarnation.row_removed |= save.removed_rows.contains(&incarnation.id);
            }
        }
        let retired = self.machines.iter().flatten();
        let retired = retired.filter(|incarnation| incarnation.retired && !incarnation.row_removed);
        let mut removed_rows: Vec<String> = retired
            .map(|incarnation| incarnation.id.clone())
            .take(MAX_ROWS)
            .collect();
        if self.planner.has_unsaved() || !removed_rows.is_empty() {
            let batch = self.planner.take_batch(MAX_JOBS);
            if !batch.ends_complete {
                removed_rows.clear();
            }
            self.saving = Some(Save {
                started: self.now,
                batch,
                removed_rows,
            });
        }
    }
}

impl Incarnation {
    fn new(machine: usize, incarnation: usize, same_id: bool) -> Incarnation {
        let id = if same_id {
            format!("w{machine}")
        } else {
            format!("w{machine}-{incarnation}")
        };
        Incarnation {
            id,
            start_time: same_id.then_some(1000 + incarnation as u64),
            cores: 4,
            ..Incarnation::default()
        }
    }

    fn info(&self) -> WorkerInfo {
        let mut info = support::worker(&self.id);
        info.incarnation = self.start_time;
        info.draining = self.draining;
        info.capacity = support::resources(self.cores * 1000, 64_000);
        info
    }

    fn runs_task(&self, task: TaskKey) -> bool {
        self.running.contains_key(&task)
    }

    fn end(&mut self, task: TaskKey, how: RunEnd) {
        if let Some((run, ..)) = self.running.remove(&task) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(support::ended(number, task, run, how));
        }
    }

    fn worker_report(&self, now: Duration) -> WorkerReport {
        let running = self.running.iter();
        let running = running.map(|(task, (run, begin, end))| {
            let whole = end.saturating_sub(*begin).as_millis().max(1);
            let percent = (now.saturating_sub(*begin).as_millis() * 100 / whole).min(100);
            ActiveRun {
                percent: u32::try_from(percent).unwrap_or(100),
                ..support::running(*task, *run)
            }
        });
        WorkerReport {
            incarnation: self.start_time,
            ..support::worker_report(running.collect(), self.ended.clone())
        }
    }
}

pub fn tasks(sim: &CrashSim) -> HashSet<TaskKey> {
    sim.starts.keys().copied().collect()
}
