//! Resources that a waiting job cannot use go to others.

mod support;

use std::time::Duration;

use job::EndedRun;
use job::JobSpec;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StepSpec;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use support::add_claimed;
use support::deferrable;
use support::ended;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::worker;
use support::worker_report;

/// Job whose tasks occupy workers for long.
const LONG: u64 = 1;

/// Job of a gang that does not fit beside them.
const GANG: u64 = 2;

/// Job of one small task.
const SMALL: u64 = 3;

/// Creates a job of a step whose tasks need a whole worker each.
fn whole_workers(count: u32) -> JobSpec {
    let step = StepSpec {
        need: resources(4000, 1000),
        ..step(count)
    };
    spec(vec![step])
}

/// Creates a job of a gang whose members need a whole worker each.
fn gang(count: u32) -> JobSpec {
    let mut job = whole_workers(count);
    job.steps[0].gang = true;
    job
}

/// Registers a worker that has no runs and has reported so.
fn claim(planner: &mut Planner, info: WorkerInfo) {
    let key = planner.register_worker(info).expect("a new worker");
    planner.apply_report(key, Duration::ZERO, &worker_report(vec![], vec![]));
}

/// Plans at 10 ms, and returns the jobs that start.
fn started_jobs(planner: &mut Planner) -> Vec<u64> {
    let started = plan_at(planner, 10);
    started.iter().map(|(task, ..)| task.step.job).collect()
}

/// Guards against idle workers of one service that are reserved for a gang of another, which may
/// never start there.
#[test]
fn a_gang_reserves_no_worker_of_another_service() {
    let mut planner = planner(1);
    let mut other = worker("b1");
    other.service = "bulk".to_owned();
    claim(&mut planner, other);
    add_claimed(&mut planner, "w1");
    let bulk = |mut job: JobSpec| {
        job.queue.service = "bulk".to_owned();
        job
    };
    planner.add_job(LONG, bulk(whole_workers(1)), None, false);
    plan_at(&mut planner, 1);

    planner.add_job(GANG, bulk(gang(1)), None, false);
    planner.add_job(SMALL, deferrable(step(1)), None, false);

    assert_eq!(started_jobs(&mut planner), [SMALL]);
}

/// The same for workers without the label that the gang requires.
#[test]
fn a_gang_reserves_no_worker_without_its_label() {
    let mut planner = planner(1);
    let mut labelled = worker("b1");
    labelled.labels.push("wide".to_owned());
    claim(&mut planner, labelled);
    add_claimed(&mut planner, "w1");
    let wide = |mut job: JobSpec| {
        job.steps[0].label = "wide".to_owned();
        job
    };
    planner.add_job(LONG, wide(whole_workers(1)), None, false);
    plan_at(&mut planner, 1);

    planner.add_job(GANG, wide(gang(1)), None, false);
    planner.add_job(SMALL, deferrable(step(1)), None, false);

    assert_eq!(started_jobs(&mut planner), [SMALL]);
}

/// Creates a job of tasks that last, one on each worker, which need half a worker.
fn lasting(count: u32) -> JobSpec {
    let step = StepSpec {
        need: resources(2000, 1000),
        long_running: true,
        worker_limit: 1,
        ..step(count)
    };
    spec(vec![step])
}

/// Guards against resources that are reserved without end for a gang that does not fit beside tasks
/// that last.
#[test]
fn a_gang_reserves_nothing_beside_tasks_that_last() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.add_job(LONG, lasting(2), None, false);
    plan_at(&mut planner, 1);

    planner.add_job(GANG, gang(2), None, false);
    planner.add_job(SMALL, deferrable(step(1)), None, false);

    assert_eq!(started_jobs(&mut planner), [SMALL]);
}

/// Guards against a worker that is paused although it is sound: tasks that last never end as done, and
/// each of them that fails after a long time at work counted as a failure of the worker.
#[test]
fn failures_of_tasks_that_have_worked_long_pause_no_worker() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    for job in 0..4 {
        let mut job_spec = lasting(1);
        job_spec.steps[0].need = resources(500, 1000);
        planner.add_job(LONG + job, job_spec, None, false);
    }
    let started = plan_at(&mut planner, 1);
    assert_eq!(started.len(), 4);
    let report = |runs: &[(TaskKey, RunId, WorkerKey)], ends: Vec<EndedRun>| {
        let runs = runs.iter().map(|&(task, run, _)| running(task, run));
        worker_report(runs.collect(), ends)
    };
    let at = |seconds: u64| Duration::from_secs(seconds);
    for second in 1..8 {
        planner.advance(at(second));
        planner.extend_lease(key);
        planner.apply_report(key, at(second), &report(&started, vec![]));
    }

    let ends = (1..).zip(&started);
    let ends = ends.map(|(number, &(task, run, _))| ended(number, task, run, RunEnd::Failed));
    planner.apply_report(key, at(7), &report(&[], ends.collect()));

    assert_eq!(plan_at(&mut planner, 7_010).len(), 4);
}
