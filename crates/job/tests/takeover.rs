//! How a successor handles the runs and jobs of the former owner.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Outcome;
use job::RunEnd;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

const JOB: u64 = 7;

/// Guards against overbooking a worker after a take-over. A job was cancelled, and the owner
/// left before its tasks had stopped. The successor adopted the runs without the resources
/// that they use, and started other work there.
#[test]
fn tasks_of_an_ended_job_keep_their_resources_at_take_over() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let mut canceled = spec(vec![step(3)]);
    canceled.canceled = true;
    planner.add_job(JOB, canceled, None, true);
    planner.add_job(JOB + 1, spec(vec![step(3)]), None, false);
    let runs = (0..3).map(|index| running(task(JOB, 0, index), 1));
    planner.apply_report(key, Duration::ZERO, &worker_report(runs.collect(), vec![]));

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 1, "three of four cores are still taken");
}

#[test]
fn tasks_of_a_former_owner_wait_for_unresponsive_workers_and_new_ones_do_not() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    add(&mut planner, "w2");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    // By this time, no process sends jobs to the former owner any more.
    planner.advance(Duration::from_millis(2100));
    planner.record_jobs_read(Duration::from_millis(2100));
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 2110);
    planner.advance(Duration::from_secs(5));
    planner.extend_lease(key);

    let late = plan_at(&mut planner, 7000);

    assert_eq!(early.len(), 1);
    assert_eq!(early[0].0, task(JOB + 1, 0, 0));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task(JOB, 0, 0));
    assert!(
        late[0].1 > 100_000,
        "the run number is above those of the former owner"
    );
}

#[test]
fn a_running_task_is_adopted_at_take_over() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    let report = worker_report(vec![running(task(JOB, 0, 0), 3)], vec![]);

    planner.apply_report(key, Duration::ZERO, &report);

    assert!(plan_at(&mut planner, 10).is_empty());
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}

/// Guards against a task that runs on two workers after a take-over. The owner cannot reach
/// the store, and a successor takes over and reads the jobs. Then a job is accepted, and the
/// accepting process sends it to the former owner, which starts it. The successor claims that
/// worker and reads the job only after that. It stopped the run, since it had no such job, without
/// counting it, and started the job as soon as it had read it.
#[test]
fn a_run_of_a_job_read_later_is_counted() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let report = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 10);
    let end_report = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.apply_report(key, Duration::from_millis(20), &end_report);

    let late = plan_at(&mut planner, 30);

    assert!(early.is_empty(), "the former owner's run has not ended");
    assert_eq!(late.len(), 1);
}

/// The same, with a worker of the former owner that is not claimed yet.
#[test]
fn a_job_read_just_after_a_take_over_waits_for_all_workers() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.advance(Duration::from_millis(100));
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 110);
    planner.apply_report(
        key,
        Duration::from_millis(120),
        &worker_report(vec![], vec![]),
    );

    let late = plan_at(&mut planner, 130);

    assert!(
        early.is_empty(),
        "the former owner may have started it on w1"
    );
    assert_eq!(late.len(), 1);
}

/// Guards against a done task that runs again after a take-over: as above, but the former
/// owner's run is already done when its worker is claimed, before the successor reads the job.
#[test]
fn an_end_of_a_job_read_later_counts() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let report = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);
    planner.apply_report(key, Duration::ZERO, &report);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);

    let starts = plan_at(&mut planner, 3_000);

    assert!(starts.is_empty());
    let batch = planner.take_batch(10);
    assert_eq!(batch.jobs[0].1.outcome, Some(Outcome::Completed));
}

/// Guards against overbooking a worker by one start after a take-over. The successor has only
/// the worker's row, which states no capacity, when the worker reports a run of a job that was
/// not read yet; the capacity is read later. The run was booked with the whole capacity of the
/// worker, which was zero at that time.
#[test]
fn a_worker_with_a_run_of_unknown_size_gets_no_work() {
    let mut planner = planner(2);
    let mut row = worker("w1");
    row.capacity = resources(0, 0);
    let key = planner.register_worker(row).expect("new worker");
    let report = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);
    planner.register_worker(worker("w1"));
    planner.advance(Duration::from_secs(3));
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 3_010);
    let end_report = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.apply_report(key, Duration::from_millis(3_020), &end_report);

    let late = plan_at(&mut planner, 3_030);

    assert!(early.is_empty(), "the run may use any resources");
    assert_eq!(late.len(), 1);
}

/// Guards against a task that runs on two workers. The owner and most workers are cut off from the
/// store, and the successor reaches only the other workers. It waited for one lease and then
/// started the tasks of the unreachable workers elsewhere, while the former owner still renewed
/// their leases. The wait has to depend on how many workers the former owner may still reach.
#[test]
fn a_successor_that_reaches_fewer_than_half_waits_longer() {
    let starts_after = |reached: usize| {
        let mut planner = planner(2);
        planner.add_job(JOB, spec(vec![step(1)]), None, true);
        for at in 0..4 {
            let info = worker(&format!("w{at}"));
            let key = planner.restore_worker(info.clone()).expect("a new worker");
            planner.register_worker(info);
            if at < reached {
                planner.apply_report(key, Duration::ZERO, &worker_report(vec![], vec![]));
            }
        }
        let seconds = (1..200).find(|second| !plan_at(&mut planner, second * 1000).is_empty());
        seconds.expect("a start")
    };

    assert_eq!(starts_after(4), 1);
    assert_eq!(
        starts_after(2),
        9,
        "2.5 s, then a lease of 4.8 s, from second 1 on"
    );
    assert!(starts_after(1) > 120);
}
