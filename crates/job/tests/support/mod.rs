//! Fixtures for the planner tests.
//!
//! The tests pass to `Planner::add_job` the job's id and specification, its saved progress, and
//! whether a former owner may have started it.
#![allow(dead_code, missing_docs)]

pub mod incarnations;

use std::time::Duration;

use job::ActiveRun;
use job::Command;
use job::Config;
use job::EndedRun;
use job::JobId;
use job::JobSpec;
use job::Organisation;
use job::Planner;
use job::Policy;
use job::Queue;
use job::ResourceLimit;
use job::Resources;
use job::RunEnd;
use job::RunId;
use job::StepKey;
use job::StepSpec;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;

/// Creates a planner at time 0. An epoch above 1 is that of a successor, which has a former owner.
pub fn planner(epoch: u64) -> Planner {
    Planner::new(Policy::default(), epoch, Duration::ZERO, Duration::ZERO)
}

/// Creates a queue without advice; a job fails after `attempts` failed runs of a task or gang. The
/// objective of a job is twice the estimates of its dependent steps, plus 1 s.
pub fn queue(attempts: u32) -> Queue {
    Queue {
        name: "bins".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/bins/".to_owned(),
        service: "desk".to_owned(),
        priority: 0,
        attempts,
        stretch: 2.0,
        slack: Duration::from_secs(1),
        timeout: Duration::from_secs(3),
        advice: None,
        public: false,
    }
}

/// Creates a step of `count` tasks, each of one core and estimated at 1 s.
pub fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        need: resources(1000, 1000),
        estimate: Duration::from_secs(1),
        ..StepSpec::default()
    }
}

/// Creates resources of `cpu` thousandths of a core and `memory` megabytes.
pub fn resources(cpu: u64, memory: u64) -> Resources {
    Resources {
        cpu,
        memory,
        gpu: 0,
    }
}

/// Creates a job in a queue that allows two attempts of each task.
pub fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: queue(2),
        payload: "text".to_owned(),
        steps,
        schedule: None,
        received: Duration::ZERO,
        canceled: false,
        organisation: None,
    }
}

/// Creates an organisation that may have `cpu` thousandths of a core running; 0 for no limit.
pub fn organisation(name: &str, cpu: u64) -> Organisation {
    Organisation {
        name: name.to_owned(),
        weight: 1.0,
        limit: ResourceLimit(resources(cpu, 0)),
    }
}

/// Creates a job of an organisation that may have `cpu` thousandths of a core running.
pub fn spec_of(name: &str, cpu: u64, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        organisation: Some(organisation(name, cpu)),
        ..spec(steps)
    }
}

/// Creates a configuration of one queue, with these organisations.
pub fn config(version: u64, organisations: Vec<Organisation>) -> Config {
    Config {
        version,
        queues: vec![queue(2)],
        organisations,
        ..Config::default()
    }
}

/// Creates a job of low priority (2; 0 is the most urgent) that may wait for 20 s.
pub fn deferrable(step: StepSpec) -> JobSpec {
    let mut job = spec(vec![step]);
    job.queue.priority = 2;
    job.queue.slack = Duration::from_secs(20);
    job
}

/// Creates the registration of a worker of four cores.
pub fn worker(id: &str) -> WorkerInfo {
    WorkerInfo {
        id: id.to_owned(),
        incarnation: None,
        service: "desk".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        capacity: resources(4000, 64_000),
        labels: vec!["a".to_owned(), "r1-1".to_owned()],
        draining: false,
        remaining: None,
    }
}

/// Registers a worker.
pub fn add(planner: &mut Planner, id: &str) -> WorkerKey {
    planner.register_worker(worker(id)).expect("new worker")
}

/// Registers a worker that has accepted the owner's epoch and has no active runs.
pub fn add_claimed(planner: &mut Planner, id: &str) -> WorkerKey {
    let key = add(planner, id);
    planner.apply_report(key, Duration::ZERO, &WorkerReport::default());
    key
}

/// Returns the key of a task in the first round of a job.
pub fn task(job: JobId, step: u32, index: u32) -> TaskKey {
    let step = StepKey {
        job,
        round: 0,
        step,
    };
    TaskKey { step, index }
}

/// Returns an active run, as a worker report lists it.
pub fn running(task: TaskKey, run: RunId) -> ActiveRun {
    ActiveRun {
        task,
        run,
        checkpoint: String::new(),
        percent: 0,
    }
}

/// Returns an ended run, as a worker report lists it; `number` is that of the end among all ends on
/// the worker, from 1.
pub fn ended(number: u64, task: TaskKey, run: RunId, how: RunEnd) -> EndedRun {
    EndedRun {
        number,
        task,
        run,
        how,
        checkpoint: String::new(),
    }
}

/// Creates a report of a worker that names no incarnation.
pub fn worker_report(running: Vec<ActiveRun>, ended: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        incarnation: None,
        clock: Duration::ZERO,
        running,
        ended,
        more_ends: false,
    }
}

/// Takes the planner's commands and returns task, run and worker of each start.
pub fn starts(planner: &mut Planner) -> Vec<(TaskKey, RunId, WorkerKey)> {
    let commands = planner.take_commands();
    let starts = commands.into_iter().filter_map(|command| match command {
        Command::Start {
            worker, task, run, ..
        } => Some((task, run, worker)),
        _ => None,
    });
    starts.collect()
}

/// Plans at a time in milliseconds; returns task, run and worker of each start.
pub fn plan_at(planner: &mut Planner, millis: u64) -> Vec<(TaskKey, RunId, WorkerKey)> {
    planner.advance(Duration::from_millis(millis));
    planner.plan();
    starts(planner)
}
