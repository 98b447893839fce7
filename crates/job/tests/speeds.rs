//! Placement on workers of different speeds, in a simulated pool without a network.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use job::ActiveRun;
use job::IncarnationId;
use job::JobId;
use job::JobSpec;
use job::Mechanism;
use job::Planner;
use job::Policy;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::Switches;
use job::TaskKey;
use job::WorkerKey;
use job::WorkerReport;
use support::ended;
use support::plan_at;
use support::running;
use support::spec;
use support::step;
use support::worker;

/// Time of one step of the simulation, in milliseconds.
const TICK: u64 = 20;

/// Time of a run that does not depend on its worker, until its end is reported, in milliseconds.
const DELAY: f64 = 150.0;

/// A run under way.
struct Run {
    begin: u64,
    end: u64,
    task: TaskKey,
    number: RunId,
    worker: WorkerKey,
}

/// A job under way.
struct Open {
    due: u64,
    left: u32,
    urgent: bool,
    gang: bool,
    /// A task takes seven times as long as the others.
    long: bool,
}

/// A simulated pool.
struct Pool {
    planner: Planner,
    now: u64,
    next_job: JobId,
    factors: HashMap<WorkerKey, f64>,
    ends: HashMap<WorkerKey, u64>,
    runs: Vec<Run>,
    jobs: HashMap<JobId, Open>,
    /// Starts: time, task, worker.
    starts: Vec<(u64, TaskKey, WorkerKey)>,
    /// Urgent jobs without a long task that ended: when, and whether in time.
    urgent: Vec<(u64, bool)>,
}

impl Pool {
    /// Creates a pool of workers with these factors on run times.
    fn new(factors: &[f64], on: &[Mechanism]) -> Pool {
        let policy = Policy {
            switches: Switches::enabling(on),
            ..Policy::default()
        };
        let planner = Planner::new(policy, 1, Duration::ZERO, Duration::ZERO);
        let mut pool = Pool {
            planner,
            now: 0,
            next_job: 0,
            factors: HashMap::new(),
            ends: HashMap::new(),
            runs: Vec::new(),
            jobs: HashMap::new(),
            starts: Vec::new(),
            urgent: Vec::new(),
        };
        for (nth, factor) in factors.iter().enumerate() {
            pool.add_worker(&format!("w{nth}"), 1, *factor);
        }
        pool
    }

    fn add_worker(&mut self, id: &str, incarnation: IncarnationId, factor: f64) -> WorkerKey {
        let mut info = worker(id);
        info.incarnation = Some(incarnation);
        let key = self.planner.register_worker(info).expect("new worker");
        self.factors.insert(key, factor);
        self.report(key, Vec::new());
        key
    }

    /// Delivers a report of a worker with these ends.
    fn report(&mut self, key: WorkerKey, ended: Vec<job::EndedRun>) {
        let info = self.planner.worker_info(key).expect("the worker");
        let report = WorkerReport {
            incarnation: info.incarnation,
            ended,
            running: self
                .runs
                .iter()
                .filter(|run| run.worker == key)
                .map(|run| progress_of(run, self.now))
                .collect(),
            ..WorkerReport::default()
        };
        let now = Duration::from_millis(self.now);
        self.planner.advance(now);
        self.planner.apply_report(key, now, &report);
    }

    fn add_job(&mut self, job: JobSpec, due: u64) {
        self.next_job += 1;
        let open = Open {
            due: self.now + due,
            left: job.steps[0].count,
            urgent: job.queue.priority == 0,
            gang: job.steps[0].gang,
            long: false,
        };
        self.jobs.insert(self.next_job, open);
        self.planner.add_job(self.next_job, job, None, false);
    }

    /// Ends due runs, plans, and starts what the planner sends.
    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (over, running): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.end <= now);
        self.runs = running;
        for run in over {
            let number = self.ends.entry(run.worker).or_default();
            *number += 1;
            let end = ended(*number, run.task, run.number, RunEnd::Done);
            self.report(run.worker, vec![end]);
            self.task_done(run.task);
        }
        if now.is_multiple_of(400) {
            for key in self.factors.keys().copied().collect::<Vec<_>>() {
                self.report(key, Vec::new());
            }
        }
        let starts = plan_at(&mut self.planner, now);
        for &(task, run, worker) in &starts {
            self.planner
                .start_reply(worker, task, run, StartReply::Started);
            let gang = self.jobs.get(&task.step.job).is_some_and(|job| job.gang);
            let members = starts.iter().filter(|(other, ..)| other.step == task.step);
            let factor = if gang {
                let factors = members.map(|(.., member)| self.factors[member]);
                factors.fold(0.0, f64::max)
            } else {
                self.factors[&worker]
            };
            let millis = work_of(task, gang, self.estimate(task)) * factor;
            self.starts.push((now, task, worker));
            let millis = millis + DELAY;
            self.runs.push(Run {
                begin: now,
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                end: now + millis as u64,
                task,
                number: run,
                worker,
            });
        }
    }

    /// Time of a job's tasks on a worker of factor 1, in milliseconds.
    fn estimate(&self, task: TaskKey) -> f64 {
        let urgent = self.jobs.get(&task.step.job).is_some_and(|job| job.urgent);
        if urgent { 680.0 } else { 2900.0 }
    }

    fn task_done(&mut self, task: TaskKey) {
        let id = task.step.job;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.left -= 1;
        job.long |= is_long(task);
        if job.gang || job.left == 0 {
            if job.urgent && !job.long {
                self.urgent.push((self.now, self.now <= job.due));
            }
            self.jobs.remove(&id);
        }
    }

    /// Runs until `until` ms with an urgent job each 100 ms and one with slack each `slack_each`.
    fn run(&mut self, until: u64, slack_each: u64) {
        while self.now < until {
            if self.now.is_multiple_of(100) {
                self.add_job(urgent(), URGENT_DUE);
            }
            if self.now.is_multiple_of(slack_each) {
                self.add_job(with_slack(), 14_500);
            }
            self.tick();
        }
    }

    /// Share of the urgent jobs that ended late from `from` ms on.
    fn late_share(&self, from: u64) -> f64 {
        let counted = self.urgent.iter().filter(|(at, _)| *at >= from);
        let late = counted.clone().filter(|(_, in_time)| !in_time).count();
        #[allow(clippy::cast_precision_loss)]
        let share = late as f64 / counted.count().max(1) as f64;
        share
    }

    /// Mean error of the estimated factors against the true ones, relative to the pool's mean.
    fn error(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)]
        let count = self.factors.len() as f64;
        let mean = self.factors.values().map(|factor| factor.ln()).sum::<f64>() / count;
        let errors = self.factors.iter().map(|(key, factor)| {
            let estimated = f64::from(self.planner.factor_percent(*key)) / 100.0;
            (estimated.ln() - (factor.ln() - mean)).abs()
        });
        errors.sum::<f64>() / count
    }

    /// Returns the worker of this factor with the most runs.
    fn busiest(&self, factor: f64) -> WorkerKey {
        let runs = |key: WorkerKey| self.runs.iter().filter(|run| run.worker == key).count();
        let alike = self
            .factors
            .iter()
            .filter(|(_, own)| (**own - factor).abs() < 0.01);
        let busiest = alike.max_by_key(|(key, _)| (runs(**key), **key));
        *busiest.expect("a worker").0
    }

    /// Changes the factor of a worker, also for what is left of its runs.
    fn turn_slow(&mut self, key: WorkerKey, factor: f64) {
        let former = self.factors.insert(key, factor).expect("the worker");
        for run in self.runs.iter_mut().filter(|run| run.worker == key) {
            #[allow(clippy::cast_precision_loss)]
            let left = (run.end - self.now) as f64 * factor / former;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let left = left as u64;
            run.end = self.now + left;
        }
    }

    fn key(&self, id: &str) -> WorkerKey {
        self.planner.worker_key(id).expect("the worker")
    }
}

/// Returns a run as its worker reports it.
fn progress_of(run: &Run, now: u64) -> ActiveRun {
    let part = (now - run.begin) * 100 / (run.end - run.begin).max(1);
    ActiveRun {
        percent: u32::try_from(part.min(99)).expect("a percentage"),
        ..running(run.task, run.number)
    }
}

/// Returns whether a single task takes seven times as long as its siblings.
fn is_long(task: TaskKey) -> bool {
    (task.step.job * 7 + u64::from(task.index) * 11) % 100 < 3
}

/// Returns the time of a task on a worker of factor 1: the estimate, up to 15 % more or less, and
/// seven times as long for three in a hundred single tasks.
fn work_of(task: TaskKey, gang: bool, estimate: f64) -> f64 {
    let seed = task.step.job * 31 + u64::from(if gang { 0 } else { task.index });
    let hash = (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 17) % 1000;
    #[allow(clippy::cast_precision_loss)]
    let part = hash as f64 / 1000.0;
    let tail = if is_long(task) && !gang { 7.0 } else { 1.0 };
    estimate * (0.85 + 0.3 * part) * tail
}

/// Time within which callers want urgent jobs done, in milliseconds. A part of the objective is taken
/// by what the planner does not see.
const URGENT_DUE: u64 = 850;

/// A job of three tasks of 0.68 s.
fn urgent() -> JobSpec {
    let mut job = spec(vec![step(3)]);
    job.steps[0].estimate = Duration::from_millis(680);
    "urgent".clone_into(&mut job.queue.name);
    job.queue.stretch = 1.5;
    job.queue.slack = Duration::from_millis(250);
    job
}

/// A job of six tasks of 2.9 s, to be done in 14.5 s.
fn with_slack() -> JobSpec {
    let mut job = spec(vec![step(6)]);
    job.steps[0].estimate = Duration::from_millis(2900);
    job.queue.priority = 2;
    job.queue.stretch = 4.0;
    job.queue.slack = Duration::from_secs(3);
    job
}

/// Thirty workers: a third each with these factors.
fn thirds(factors: [f64; 3]) -> Vec<f64> {
    (0..30).map(|nth| factors[nth % 3]).collect()
}

const ON: &[Mechanism] = &[Mechanism::PlacementByEnd];

/// Guards against urgent jobs that are late because of where they run: the fast third of the
/// workers could carry them all, and two thirds of the pool are in use.
#[test]
fn urgent_jobs_run_on_fast_workers_while_others_have_slack() {
    let mut pool = Pool::new(&thirds([0.6, 1.0, 1.6]), ON);

    pool.run(40_000, 400);

    let late = pool.late_share(12_000);
    let mut off = Pool::new(&thirds([0.6, 1.0, 1.6]), &[]);
    off.run(40_000, 400);
    let late_off = off.late_share(12_000);
    assert!(late < 0.1, "{late} of the urgent jobs are late");
    assert!(late_off > 0.3, "{late_off} of them are late without it");
}

/// Guards against another order of starts where speeds hardly matter: the commands are those
/// without the mechanism.
#[test]
fn about_equal_workers_get_the_same_commands_as_without_the_mechanism() {
    for factors in [[1.0, 1.0, 1.3], [0.8, 1.0, 1.25], [1.0, 1.0, 1.0]] {
        let mut off = Pool::new(&thirds(factors), &[]);
        let mut on = Pool::new(&thirds(factors), ON);

        off.run(30_000, 300);
        on.run(30_000, 300);

        assert_eq!(on.starts, off.starts, "factors {factors:?}");
    }
}

/// Guards against speeds that are known too late: ten seconds of load suffice.
#[test]
fn estimates_are_near_the_true_factors_after_ten_seconds() {
    let mut pool = Pool::new(&thirds([0.6, 1.0, 1.6]), ON);

    pool.run(10_000, 300);

    let error = pool.error();
    assert!(error < 0.2, "mean error {error}");
}

/// Guards against a gang whose members wait for one on a slow worker.
#[test]
fn a_gang_runs_on_workers_of_like_speed() {
    let mut pool = Pool::new(&thirds([0.6, 1.0, 1.6]), ON);
    pool.run(20_000, 400);
    let mut gang = urgent();
    gang.steps[0].gang = true;
    gang.steps[0].count = 6;

    pool.add_job(gang, URGENT_DUE);
    let id = pool.next_job;
    while pool.jobs.contains_key(&id) {
        pool.tick();
    }

    let members = pool
        .starts
        .iter()
        .filter(|(_, task, _)| task.step.job == id);
    let factors: Vec<f64> = members.map(|(.., worker)| pool.factors[worker]).collect();
    assert_eq!(factors, vec![0.6; 6], "{:?}", pool.planner.pool_speeds());
}

/// Guards against a worker that has turned slow, or recovered, and still counts as before.
#[test]
fn a_worker_that_turns_slow_and_recovers_is_known_in_seconds() {
    let mut pool = Pool::new(&thirds([0.6, 1.0, 1.6]), ON);
    pool.run(20_000, 300);
    let key = pool.busiest(0.6);
    let before = pool.planner.factor_percent(key);

    pool.turn_slow(key, 3.3);
    pool.run(32_000, 300);
    let slow = pool.planner.factor_percent(key);
    pool.factors.insert(key, 0.6);
    pool.run(80_000, 300);

    let after = pool.planner.factor_percent(key);
    assert!(before < 80, "{before} percent before");
    assert!(slow > 200, "{slow} percent while it is slow");
    assert!(after < 100, "{after} percent after it has recovered");
}

/// Guards against a new incarnation that counts as slow because the former one was.
#[test]
fn a_new_incarnation_begins_without_a_speed() {
    let mut pool = Pool::new(&thirds([0.6, 1.0, 1.6]), ON);
    pool.run(20_000, 300);
    let former = pool.key("w2");
    let before = pool.planner.factor_percent(former);

    pool.runs.retain(|run| run.worker != former);
    let now = Duration::from_millis(pool.now);
    let report = WorkerReport {
        incarnation: Some(2),
        ..WorkerReport::default()
    };
    pool.planner.apply_report(former, now, &report);

    let next = pool.planner.factor_percent(pool.key("w2"));
    assert!(before > 120, "{before} percent before");
    // The pool's mean of known workers may differ from that of all.
    assert!((90..=115).contains(&next), "{next} percent");
}
