//! When tasks of a former owner may start again after a take-over.

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

/// Guards against a job status that goes from active back to pending, because the owner crashed and
/// its successor has no report yet from the worker that runs the job.
#[test]
fn a_job_is_undecided_until_its_workers_report() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    plan_at(&mut planner, 10);
    let before = planner.status_undecided(JOB);
    let report = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.apply_report(key, Duration::from_millis(20), &report);

    let after = planner.status_undecided(JOB);

    assert_eq!((before, after), (true, false));
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}

/// Guards against a task that runs on two workers after a take-over. The row of a worker that
/// the former owner had used could not be decoded, so the successor did not count the worker,
/// and started the former owner's tasks without waiting for the worker's lease.
#[test]
fn tasks_wait_for_the_lease_of_a_worker_whose_row_is_unreadable() {
    let mut planner = planner(2);
    planner.add_unreadable_worker();
    let key = planner.restore_worker(worker("w1")).expect("a new worker");
    planner.register_worker(worker("w1"));
    planner.apply_report(key, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    // The former owner still reaches one of two workers, and renews leases for 2.5 s more. The last
    // of these leases has certainly expired 4.83 s later.
    plan_at(&mut planner, 10);
    let early = plan_at(&mut planner, 7_300);

    let late = plan_at(&mut planner, 7_400);

    assert!(early.is_empty(), "the lease may not have expired yet");
    assert_eq!(late.len(), 1);
}
