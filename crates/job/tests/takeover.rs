//! What a successor makes of the work that it finds.

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

/// Symptom: starts brought a worker over its capacity after a take-over.
/// Sequence: a job is cancelled; the owner leaves before its tasks have
/// stopped; the successor claims the worker and starts other work there.
/// Cause: tasks of ended jobs were adopted without the room they hold.
#[test]
fn tasks_of_an_ended_job_hold_their_room_at_take_over() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let mut canceled = spec(vec![step(3)]);
    canceled.canceled = true;
    planner.take_job(JOB, canceled, None, true);
    planner.take_job(JOB + 1, spec(vec![step(3)]), None, false);
    let left = (0..3).map(|index| running(task(JOB, 0, index), 1));
    planner.take_listing(key, Duration::ZERO, &worker_report(left.collect(), vec![]));

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 1, "three of four cores are still taken");
}

#[test]
fn old_tasks_wait_for_silent_workers_and_new_ones_do_not() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    add(&mut planner, "w2");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    // Later than any process may still tell the former owner of a job.
    planner.advance(Duration::from_millis(2100));
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 2110);
    planner.advance(Duration::from_secs(5));
    planner.lease_sent(key);

    let late = plan_at(&mut planner, 7000);

    assert_eq!(early.len(), 1);
    assert_eq!(early[0].0, task(JOB + 1, 0, 0));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task(JOB, 0, 0));
    assert!(late[0].1 > 100_000, "above all runs of the predecessor");
}

#[test]
fn a_running_task_is_adopted_at_take_over() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    let left = worker_report(vec![running(task(JOB, 0, 0), 3)], vec![]);

    planner.take_listing(key, Duration::ZERO, &left);

    assert!(plan_at(&mut planner, 10).is_empty());
    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
}

/// Symptom: a task ran on two workers after a take-over. Sequence: the owner is
/// cut from the store alone; another takes over and reads the jobs; a job is
/// accepted, and the process that accepts it tells the old owner, which starts
/// it; the successor claims that worker, and only then learns of the job.
/// Cause: a run of a job that was not known yet was stopped but not counted,
/// and the job started at once.
#[test]
fn a_run_of_a_job_learnt_later_is_counted() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let left = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 10);
    let gone = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.take_listing(key, Duration::from_millis(20), &gone);

    let late = plan_at(&mut planner, 30);

    assert!(early.is_empty(), "the old owner's run is still there");
    assert_eq!(late.len(), 1);
}

/// The same, with the worker that the old owner used not claimed yet.
#[test]
fn a_job_learnt_just_after_a_take_over_waits_for_all_workers() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.advance(Duration::from_millis(100));
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 110);
    planner.take_listing(
        key,
        Duration::from_millis(120),
        &worker_report(vec![], vec![]),
    );

    let late = plan_at(&mut planner, 130);

    assert!(early.is_empty(), "the old owner may have started it on w1");
    assert_eq!(late.len(), 1);
}

/// Symptom: a task that was done ran again after a take-over. Sequence: as
/// above, but the old owner's run has ended as done when its worker is claimed,
/// before the job is known.
#[test]
fn an_end_of_a_job_learnt_later_counts() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let left = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);

    let starts = plan_at(&mut planner, 3_000);

    assert!(starts.is_empty());
    let batch = planner.take_batch(10);
    assert_eq!(batch.jobs[0].1.outcome, Some(Outcome::Completed));
}

/// Symptom: one start over a worker's capacity after a take-over. Sequence: the
/// successor knows a worker by its row only, so not how large it is; the worker
/// lists a run of a job that is not known; then it becomes known how large the
/// worker is. Cause: the run was to fill the worker, but filled the nothing that
/// was known of it.
#[test]
fn a_worker_with_a_run_of_unknown_size_gets_no_work() {
    let mut planner = planner(2);
    let mut recalled = worker("w1");
    recalled.capacity = resources(0, 0);
    let key = planner.take_worker(recalled).expect("new worker");
    let left = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_worker(worker("w1"));
    planner.advance(Duration::from_secs(3));
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 3_010);
    let gone = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.take_listing(key, Duration::from_millis(3_020), &gone);

    let late = plan_at(&mut planner, 3_030);

    assert!(early.is_empty(), "the run may take any room");
    assert_eq!(late.len(), 1);
}

/// Symptom: a task ran on two workers at a time. Sequence: the owner is cut off
/// from the store with most workers; its successor reaches the others only,
/// waits for one lease, and starts the tasks of the silent ones elsewhere, while
/// the former owner renews their leases. Cause: the wait did not depend on how
/// many workers may still obey the former owner.
#[test]
fn a_successor_that_reaches_fewer_than_half_waits_longer() {
    let starts_after = |reached: usize| {
        let mut planner = planner(2);
        planner.take_job(JOB, spec(vec![step(1)]), None, true);
        for at in 0..4 {
            let info = worker(&format!("w{at}"));
            let key = planner.recall_worker(info.clone()).expect("a new worker");
            planner.take_worker(info);
            if at < reached {
                planner.take_listing(key, Duration::ZERO, &worker_report(vec![], vec![]));
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
