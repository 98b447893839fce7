//! Simulation of workers that are taken down by tasks. They come back after some seconds under
//! another id, or at once under the same one, and the owner may change at any time. Starts and
//! crashes are counted on the workers' side.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use job::ActiveRun;
use job::EndedRun;
use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Order;
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

/// Maximum number of starts of a task that crashes each worker: after three crashes, up to two
/// more starts are accepted by the platform.
pub const MOST_STARTS: usize = 5;

/// Time from the start of such a task to the crash of its worker.
pub const AT_ONCE: Duration = Duration::from_millis(10);

/// Time within which the job of a task that crashes its workers must fail.
pub const SOON: Duration = Duration::from_secs(30);

/// Time from a crash until the owner learns of it from the list of machines, which it requests
/// twice a second.
const CRASH_KNOWN: Duration = Duration::from_millis(500);

/// Time from a crash until a worker comes back under another id.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// Time from a crash until a worker comes back under the same id.
const QUICK_RETURN: Duration = Duration::from_millis(100);

/// Duration of a write to the store.
const SAVE_TIME: Duration = Duration::from_millis(30);

/// An incarnation of a worker.
#[derive(Debug, Default)]
pub struct Life {
    pub id: String,
    /// Start of the incarnation, if the worker reports it.
    name: Option<u64>,
    pub key: Option<WorkerKey>,
    /// Number, start and end of the active run of each task.
    pub running: BTreeMap<TaskKey, (RunId, Duration, Duration)>,
    ended: Vec<EndedRun>,
    /// Time of the crash, if there was one.
    pub died: Option<Duration>,
    /// The owner knows that the incarnation has ended.
    known: bool,
    /// The worker runs but answers no calls.
    pub cut: bool,
    pub draining: bool,
    pub cores: u64,
}

/// Workers and the planner of their owner.
pub struct Field {
    pub now: Duration,
    pub epoch: u64,
    pub planner: Planner,
    /// All incarnations of the worker at each place, the newest last.
    pub places: Vec<Vec<Life>>,
    jobs: BTreeMap<JobId, JobSpec>,
    stored: BTreeMap<JobId, Progress>,
    saving: Option<(Duration, job::Batch)>,
    /// All writes to the store fail.
    pub store_away: bool,
    /// Tasks that crash their worker, with the time from start to crash.
    pub bad: HashMap<TaskKey, Duration>,
    /// Time and place of each start, by task.
    pub starts: HashMap<TaskKey, Vec<(Duration, usize)>>,
    /// Number of workers that crashed while the task ran on them.
    pub crashes: HashMap<TaskKey, usize>,
    /// Number of failed runs, by task.
    pub failures: HashMap<TaskKey, usize>,
    /// Workers come back under the same id.
    same_ids: bool,
}

impl Field {
    pub fn new(workers: usize) -> Field {
        Field::open(workers, false)
    }

    /// Creates workers that come back under the same id.
    pub fn with_same_ids(workers: usize) -> Field {
        Field::open(workers, true)
    }

    fn open(workers: usize, same_ids: bool) -> Field {
        let mut field = Field {
            now: Duration::from_secs(10),
            epoch: 0,
            planner: support::planner(1),
            places: Vec::new(),
            jobs: BTreeMap::new(),
            stored: BTreeMap::new(),
            saving: None,
            store_away: false,
            bad: HashMap::new(),
            starts: HashMap::new(),
            crashes: HashMap::new(),
            failures: HashMap::new(),
            same_ids,
        };
        for place in 0..workers {
            field.places.push(vec![Life::new(place, 0, same_ids)]);
        }
        field.take_over();
        field
    }

    /// Replaces the owner by one that knows only what was stored.
    pub fn take_over(&mut self) {
        self.epoch += 1;
        self.saving = None;
        let rows = self.rows();
        self.planner = Planner::new(Policy::default(), self.epoch, self.now, Duration::ZERO);
        for (&id, spec) in &self.jobs {
            let progress = self.stored.get(&id);
            self.planner.take_job(id, spec.clone(), progress, true);
        }
        for life in self.places.iter_mut().flatten() {
            life.key = None;
            if life.known {
                continue;
            }
            let info = life.info();
            let row = WorkerInfo {
                incarnation: rows.get(&life.id).copied().unwrap_or(life.name),
                ..info.clone()
            };
            life.key = self.planner.recall_worker(row);
            if life.died.is_none() {
                self.planner.take_worker(info);
            }
        }
    }

    /// Incarnation of each worker in the rows that the owner leaves in the store.
    fn rows(&self) -> HashMap<String, Option<u64>> {
        let lives = self.places.iter().flatten();
        let known = lives.filter_map(|life| {
            let info = self.planner.worker(life.key?)?;
            Some((life.id.clone(), info.incarnation))
        });
        known.collect()
    }

    pub fn submit(&mut self, id: JobId, spec: JobSpec) {
        self.jobs.insert(id, spec.clone());
        self.planner.take_job(id, spec, None, false);
    }

    /// Submits a job whose tasks take `millis` each.
    pub fn submit_tasks(&mut self, id: JobId, count: u32, millis: u64) {
        let mut step = support::step(count);
        step.estimate = Duration::from_millis(millis);
        self.submit(id, support::spec(vec![step]));
    }

    /// Submits three jobs of two tasks for each worker; the first task of each job in `bad`
    /// crashes its workers at once.
    pub fn submit_busy(&mut self, bad: &[JobId]) {
        for id in 1..=self.busy_jobs() {
            self.submit_tasks(id, 2, 1000 + 40 * id);
        }
        for &id in bad {
            self.bad.insert(support::task(id, 0, 0), AT_ONCE);
        }
    }

    /// Number of jobs that [`Field::submit_busy`] submits.
    fn busy_jobs(&self) -> JobId {
        3 * self.places.len() as JobId
    }

    /// Checks that of these jobs the bad ones have failed and the others have completed.
    pub fn check_busy(&self, bad: &[JobId]) {
        for id in 1..=self.busy_jobs() {
            let expected = if bad.contains(&id) {
                JobStatus::Failed
            } else {
                JobStatus::Completed
            };
            assert_eq!(self.shown(id), Some(expected), "job {id}");
        }
    }

    /// Checks that no bad task was started more than [`MOST_STARTS`] times.
    pub fn check_starts(&self, bad: &[JobId]) {
        for &id in bad {
            let starts = self.starts_of(support::task(id, 0, 0));
            assert!(starts <= MOST_STARTS, "job {id}: {starts} starts");
        }
    }

    /// Crashes eight workers at once, four times, 4.9 s apart, and then runs for a minute.
    pub fn crash_many(&mut self) {
        for _ in 0..4 {
            self.run(Duration::from_millis(900));
            for place in 0..8 {
                self.crash(place);
            }
            self.run(Duration::from_secs(4));
        }
        self.run(Duration::from_mins(1));
    }

    /// Replaces the owner `known` after each crash under the task, until its job has failed.
    pub fn change_owners(&mut self, task: TaskKey, known: Duration) {
        let mut crashes = 0;
        let job = task.step.job;
        while self.shown(job) != Some(JobStatus::Failed) && crashes < 10 {
            let again = self.run_until(SOON, |field| {
                field.crashes_of(task) > crashes || field.shown(job) == Some(JobStatus::Failed)
            });
            assert!(again, "it waits for good");
            crashes = self.crashes_of(task);
            self.run(known);
            self.take_over();
        }
    }

    pub fn shown(&self, id: JobId) -> Option<JobStatus> {
        self.planner.shown(id)
    }

    pub fn starts_of(&self, task: TaskKey) -> usize {
        self.starts.get(&task).map_or(0, Vec::len)
    }

    pub fn crashes_of(&self, task: TaskKey) -> usize {
        self.crashes.get(&task).copied().unwrap_or(0)
    }

    /// Newest incarnation of the worker at a place.
    pub fn life(&mut self, place: usize) -> &mut Life {
        self.places[place].last_mut().expect("a life")
    }

    /// Place at which a task is running.
    pub fn place_of(&self, task: TaskKey) -> Option<usize> {
        let at = |lives: &Vec<Life>| lives.last().is_some_and(|life| life.holds(task));
        self.places.iter().position(at)
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs the simulation until a condition holds; returns whether that happened within `time`.
    pub fn run_until(&mut self, time: Duration, holds: impl Fn(&Field) -> bool) -> bool {
        let end = self.now + time;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.tick();
        }
        holds(self)
    }

    /// Crashes the worker at a place, with all its runs.
    pub fn crash(&mut self, place: usize) {
        let now = self.now;
        let life = self.life(place);
        if life.died.is_some() {
            return;
        }
        life.died = Some(now);
        let lost: Vec<TaskKey> = std::mem::take(&mut life.running).into_keys().collect();
        for task in lost {
            *self.crashes.entry(task).or_default() += 1;
        }
    }

    /// Marks the worker at a place as draining.
    pub fn drain(&mut self, place: usize) {
        let life = self.life(place);
        life.draining = true;
        let info = life.info();
        self.planner.take_worker(info);
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.planner.advance(self.now);
        self.end_runs();
        self.come_back();
        self.tell_owner();
        self.planner.plan();
        for order in self.planner.take_orders() {
            self.obey(&order);
        }
        self.save();
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let mut down = Vec::new();
        for (place, lives) in self.places.iter_mut().enumerate() {
            let Some(life) = lives.last_mut() else {
                continue;
            };
            let due = life.running.iter();
            let due = due.filter(|(_, (_, _, end))| *end <= now);
            let due: Vec<TaskKey> = due.map(|(task, _)| *task).collect();
            for task in due {
                if self.bad.contains_key(&task) {
                    down.push(place);
                    break;
                }
                life.end(task, RunEnd::Done);
            }
        }
        for place in down {
            self.crash(place);
        }
    }

    fn come_back(&mut self) {
        for (place, lives) in self.places.iter_mut().enumerate() {
            let pause = if self.same_ids {
                QUICK_RETURN
            } else {
                RETURN_TIME
            };
            let Some(former) = lives.last_mut() else {
                continue;
            };
            if former.died.is_some_and(|died| died + pause <= self.now) {
                let key = former.key;
                // The list of machines never lacks an id that is in use again.
                former.known |= self.same_ids;
                let mut life = Life::new(place, lives.len(), self.same_ids);
                life.key = self.planner.take_worker(life.info());
                // A new registration alone does not end the former incarnation.
                let key = key.filter(|key| self.planner.worker(*key).is_some());
                life.key = life.key.or(key.filter(|_| self.same_ids));
                lives.push(life);
            }
        }
    }

    fn tell_owner(&mut self) {
        // The owner requests the list of machines only if it doubts that some worker still runs.
        let asked = self.planner.doubtful();
        for life in self.places.iter_mut().flatten().filter(|life| !life.known) {
            let Some(key) = life.key else { continue };
            let listed = asked.iter().any(|(asked, _)| *asked == key);
            match life.died {
                Some(died) if listed && died + CRASH_KNOWN <= self.now => {
                    life.known = true;
                    self.planner.worker_over(key);
                }
                Some(_) => self.planner.worker_silent(key),
                None if life.cut => self.planner.worker_silent(key),
                None => {
                    self.planner.lease_sent(key);
                    let listing = life.listing(self.now);
                    self.planner.take_listing(key, self.now, &listing);
                }
            }
        }
    }

    fn life_of(&mut self, key: WorkerKey) -> Option<(usize, &mut Life)> {
        let mut lives = self.places.iter_mut().enumerate();
        lives.find_map(|(place, lives)| {
            let life = lives.last_mut()?;
            (life.key == Some(key)).then_some((place, life))
        })
    }

    fn obey(&mut self, order: &Order) {
        let now = self.now;
        match *order {
            Order::Start {
                worker, task, run, ..
            } => {
                let until = self.time_of(task);
                let Some((place, life)) = self.life_of(worker) else {
                    return;
                };
                if life.died.is_some() || life.cut {
                    let reply = StartReply::Unknown;
                    self.planner.start_reply(worker, task, run, reply);
                    return;
                }
                life.running.insert(task, (run, now, now + until));
                self.starts.entry(task).or_default().push((now, place));
                self.check_twice(task);
                self.planner
                    .start_reply(worker, task, run, StartReply::Started);
            }
            Order::Stop {
                worker, task, run, ..
            } => {
                if let Some((_, life)) = self.life_of(worker)
                    && life.died.is_none()
                    && !life.cut
                {
                    life.end(task, RunEnd::Stopped);
                    self.planner
                        .stop_reply(worker, task, run, StopReply::Stopped);
                }
            }
            Order::Begin { worker } => {
                let id = self.planner.worker(worker).map(|info| info.id.clone());
                let mut lives = self.places.iter_mut().filter_map(|lives| lives.last_mut());
                if let Some(life) = lives.find(|life| Some(&life.id) == id.as_ref()) {
                    life.key = Some(worker);
                }
            }
            Order::Drop { .. } => {}
        }
    }

    fn time_of(&self, task: TaskKey) -> Duration {
        let step = &self.jobs[&task.step.job].steps[task.step.step as usize];
        self.bad.get(&task).copied().unwrap_or(step.estimate)
    }

    fn check_twice(&self, task: TaskKey) {
        let lives = self.places.iter().filter_map(|lives| lives.last());
        let there = lives.filter(|life| life.holds(task)).count();
        assert_eq!(there, 1, "{task} runs on two workers");
    }

    fn save(&mut self) {
        if let Some((begun, batch)) = self.saving.take() {
            if self.now < begun + SAVE_TIME {
                self.saving = Some((begun, batch));
                return;
            }
            if self.store_away {
                self.planner.batch_failed(&batch);
                return;
            }
            let jobs = batch.jobs.iter().cloned();
            self.stored.extend(jobs);
            self.planner.batch_saved(&batch);
        }
        if self.planner.unsaved() {
            self.saving = Some((self.now, self.planner.take_batch(60)));
        }
    }
}

impl Life {
    fn new(place: usize, life: usize, same_id: bool) -> Life {
        let id = if same_id {
            format!("w{place}")
        } else {
            format!("w{place}-{life}")
        };
        Life {
            id,
            name: same_id.then_some(1000 + life as u64),
            cores: 4,
            ..Life::default()
        }
    }

    fn info(&self) -> WorkerInfo {
        let mut info = support::worker(&self.id);
        info.incarnation = self.name;
        info.draining = self.draining;
        info.capacity = support::room(self.cores * 1000, 64_000);
        info
    }

    fn holds(&self, task: TaskKey) -> bool {
        self.running.contains_key(&task)
    }

    fn end(&mut self, task: TaskKey, how: RunEnd) {
        if let Some((run, ..)) = self.running.remove(&task) {
            let number = self.ended.len() as u64 + 1;
            self.ended.push(support::ended(number, task, run, how));
        }
    }

    fn listing(&self, now: Duration) -> WorkerReport {
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
            incarnation: self.name,
            ..support::listing(running.collect(), self.ended.clone())
        }
    }
}

/// All tasks that were ever started.
pub fn tasks(field: &Field) -> HashSet<TaskKey> {
    field.starts.keys().copied().collect()
}
