//! When tasks of a predecessor may start again.

mod support;

use std::time::Duration;

use job::JobStatus;
use support::add;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

const JOB: u64 = 7;

/// A job went from active back to pending: the owner died, and its successor
/// had not yet asked the worker that ran the job.
#[test]
fn a_job_is_undecided_until_the_workers_have_told() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    plan_at(&mut planner, 10);
    let before = planner.undecided(JOB);
    let listed = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::from_millis(20), &listed);

    let after = planner.undecided(JOB);

    assert_eq!((before, after), (true, false));
    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
}

/// A task ran in two places after a take-over. The row of a worker that a
/// predecessor had used could not be decoded, so the worker was not known, and
/// the tasks of a predecessor did not wait for it.
#[test]
fn an_unknown_worker_holds_back_what_it_may_run() {
    let mut planner = planner(2);
    planner.miss_worker();
    let key = planner.recall_worker(worker("w1")).expect("a new worker");
    planner.take_worker(worker("w1"));
    planner.take_listing(key, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    // The former owner, left with one of two workers, renews for 2.5 s more.
    plan_at(&mut planner, 10);
    let early = plan_at(&mut planner, 7_300);

    let late = plan_at(&mut planner, 7_400);

    assert!(early.is_empty(), "its lease may not be over yet");
    assert_eq!(late.len(), 1);
}
