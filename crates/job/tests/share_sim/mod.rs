//! Replay of a load of organisations on a planner: tasks of one core that run for 1 s.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use job::ActiveRun;
use job::JobId;
use job::JobSpec;
use job::Mechanism;
use job::Planner;
use job::Policy;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StepSpec;
use job::Switches;
use job::TaskKey;
use job::WorkerKey;

use crate::support::config;
use crate::support::ended;
use crate::support::organisation;
use crate::support::spec_of;
use crate::support::starts;
use crate::support::step;
use crate::support::worker;
use crate::support::worker_report;

/// Time of one step of the replay.
pub const TICK: u64 = 50;

/// Run time of each task, in milliseconds.
const RUN_TIME: u64 = 1000;

/// Number of workers, of four cores each.
const WORKERS: usize = 10;

/// Time within which callers want a job, in milliseconds: twice the estimate and 1 s.
const OBJECTIVE: u64 = 3000;

/// A submitted job.
struct Submitted {
    spec: JobSpec,
    at: u64,
    open: u32,
    started: Option<u64>,
    ended: Option<u64>,
}

/// A run on a worker.
struct Run {
    task: TaskKey,
    number: RunId,
    worker: usize,
    ends: u64,
}

pub struct ShareSim {
    pub planner: Planner,
    pub now: u64,
    policy: Policy,
    workers: Vec<WorkerKey>,
    jobs: BTreeMap<JobId, Submitted>,
    runs: Vec<Run>,
    /// Number of ends, by worker.
    ends: Vec<u64>,
    /// Milliseconds of one core that each organisation has had.
    pub work: HashMap<String, u64>,
    /// Weights of organisations; 1 if not listed.
    pub weights: HashMap<String, f64>,
    /// Starts so far.
    pub started: Vec<(u64, TaskKey, WorkerKey)>,
}

impl ShareSim {
    pub fn new(on: &[Mechanism]) -> ShareSim {
        let policy = Policy {
            switches: Switches::new(on, &[]),
            ..Policy::default()
        };
        let mut sim = ShareSim {
            planner: Planner::new(policy, 1, Duration::ZERO, Duration::ZERO),
            now: 0,
            policy,
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            runs: Vec::new(),
            ends: vec![0; WORKERS],
            work: HashMap::new(),
            weights: HashMap::new(),
            started: Vec::new(),
        };
        sim.register();
        sim
    }

    /// Submits a job; returns its id.
    pub fn submit(&mut self, name: &str, priority: u32, step: StepSpec) -> JobId {
        self.submit_late(name, priority, step, 0)
    }

    /// Submits a job that was accepted `age` milliseconds ago; returns its id.
    pub fn submit_late(&mut self, name: &str, priority: u32, step: StepSpec, age: u64) -> JobId {
        let id = self.jobs.len() as JobId + 1;
        let mut spec = spec_of(name, 0, vec![step]);
        spec.queue.priority = priority;
        spec.received = Duration::from_millis(self.now - age);
        if let Some(organisation) = &mut spec.organisation {
            organisation.weight = self.weights.get(name).copied().unwrap_or(1.0);
        }
        self.planner.add_job(id, spec.clone(), None, age > 0);
        let submitted = Submitted {
            open: spec.steps[0].count,
            spec,
            at: self.now,
            started: None,
            ended: None,
        };
        self.jobs.insert(id, submitted);
        id
    }

    /// Submits `count` jobs of one task.
    pub fn submit_many(&mut self, name: &str, count: u64) {
        for _ in 0..count {
            self.submit(name, 0, step(1));
        }
    }

    /// Goes on by one tick: ends runs, reports them, and plans.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.planner.advance(Duration::from_millis(self.now));
        self.report();
        self.planner.plan();
        for (task, run, worker) in starts(&mut self.planner) {
            let index = self.workers.iter().position(|key| *key == worker);
            self.planner
                .start_reply(worker, task, run, StartReply::Started);
            let job = self.jobs.get_mut(&task.step.job).expect("submitted");
            job.started.get_or_insert(self.now);
            self.started.push((self.now, task, worker));
            self.runs.push(Run {
                task,
                number: run,
                worker: index.expect("registered"),
                ends: self.now + RUN_TIME,
            });
        }
    }

    /// Replaces the owner by a successor, with or without what the former one has learnt.
    pub fn take_over(&mut self, with_usage: bool) {
        let learnt = self.planner.learnt_usage();
        let now = Duration::from_millis(self.now);
        self.planner = Planner::new(self.policy, 2, now, Duration::ZERO);
        if with_usage {
            self.planner.restore_usage(&learnt);
        }
        for (&id, job) in self.jobs.iter().filter(|(_, job)| job.ended.is_none()) {
            self.planner.add_job(id, job.spec.clone(), None, true);
        }
        self.register();
        self.ends = vec![0; WORKERS];
        self.report();
    }

    /// Sets the limit of an organisation, in thousandths of a core.
    pub fn limit(&mut self, version: u64, name: &str, cpu: u64) {
        self.planner
            .configure(&config(version, vec![organisation(name, cpu)]));
    }

    /// Returns the number of cores that an organisation uses.
    pub fn running(&self, name: &str) -> usize {
        let runs = self.runs.iter();
        let own = runs.filter(|run| {
            self.jobs[&run.task.step.job]
                .spec
                .organisation_name()
                .unwrap()
                == name
        });
        own.count()
    }

    /// Returns the share of the jobs of an organisation, of those submitted within a time, that ended
    /// within their objective.
    pub fn service(&self, name: &str, times: std::ops::Range<u64>) -> f64 {
        let own = self
            .jobs
            .values()
            .filter(|job| job.spec.organisation_name().unwrap() == name && times.contains(&job.at));
        let own: Vec<&Submitted> = own.collect();
        let in_time = |job: &&&Submitted| job.ended.is_some_and(|end| end <= job.at + OBJECTIVE);
        own.iter().filter(in_time).count() as f64 / own.len() as f64
    }

    /// Returns how long the jobs of an organisation of this priority, submitted within a time, waited for
    /// their first start, in milliseconds.
    pub fn waits(&self, name: &str, priority: u32, times: std::ops::Range<u64>) -> Vec<u64> {
        let own = self.jobs.values().filter(|job| {
            let same = job.spec.organisation_name().unwrap() == name;
            same && job.spec.queue.priority == priority && times.contains(&job.at)
        });
        let waits = own.map(|job| job.started.map_or(u64::MAX, |started| started - job.at));
        waits.collect()
    }

    /// Returns how long a job waited for its first start.
    pub fn waited(&self, id: JobId) -> Option<u64> {
        let job = &self.jobs[&id];
        job.started.map(|started| started - job.at)
    }

    fn register(&mut self) {
        let ids = (0..WORKERS).map(|index| worker(&format!("w{index}")));
        let keys = ids.map(|info| self.planner.register_worker(info).expect("new"));
        self.workers = keys.collect();
        self.report();
    }

    /// Sends a report of each worker, with the runs that have ended.
    fn report(&mut self) {
        let now = self.now;
        for (index, &key) in self.workers.iter().enumerate() {
            let own = self.runs.iter().filter(|run| run.worker == index);
            let mut running = Vec::new();
            let mut ends = Vec::new();
            for run in own {
                if run.ends <= now {
                    self.ends[index] += 1;
                    ends.push(ended(self.ends[index], run.task, run.number, RunEnd::Done));
                    let job = self.jobs.get_mut(&run.task.step.job).expect("submitted");
                    job.open -= 1;
                    if job.open == 0 {
                        job.ended = Some(now);
                    }
                    let name = job.spec.organisation_name().expect("an organisation");
                    *self.work.entry(name.clone()).or_default() += RUN_TIME;
                } else {
                    running.push(ActiveRun {
                        task: run.task,
                        run: run.number,
                        checkpoint: String::new(),
                        percent: u32::try_from(100 - (run.ends - now) / 10).unwrap_or_default(),
                    });
                }
            }
            let report = worker_report(running, ends);
            self.planner
                .apply_report(key, Duration::from_millis(now), &report);
        }
        self.runs.retain(|run| run.ends > now);
    }
}
