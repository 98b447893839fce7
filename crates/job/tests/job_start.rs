//! When a job counts as started, and so is shown as active and not counted as waiting.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StopReply;
use job::TaskKey;
use job::WorkerKey;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::queue;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker_report;

const JOB: u64 = 7;

/// Returns the number of waiting jobs of the queue.
fn waiting(planner: &Planner) -> usize {
    planner.count_queue(&queue(2).name).waiting
}

/// Guards against a queue length that misses jobs whose starts were not confirmed. Workers left
/// half of the commands unanswered and carried them out seconds later. The queue length was given
/// as 1, while 10 jobs had waited for 5 s without a running task; the owner logged `waiting jobs of
/// a queue counted` (code 372) with waiting=1, ordered=41 (jobs with unanswered starts) and
/// unfinished=176. It counted a job as started when the first start command was sent, even if the
/// command got no reply or was refused, or the run was stopped.
#[test]
fn a_job_waits_until_a_worker_confirms_a_run_of_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let first = task(JOB, 0, 0);
    let mut counts = vec![waiting(&planner)];

    plan_at(&mut planner, 10);
    counts.push(waiting(&planner));
    planner.start_reply(key, first, 1, StartReply::Unknown);
    counts.push(waiting(&planner));
    // The report does not list the run, so the planner stops it; the worker confirms the stop.
    planner.apply_report(
        key,
        Duration::from_millis(20),
        &worker_report(vec![], vec![]),
    );
    planner.stop_reply(key, first, 1, StopReply::Stopped);
    planner.advance(Duration::from_millis(40));
    planner.apply_report(
        key,
        Duration::from_millis(30),
        &worker_report(vec![], vec![]),
    );
    counts.push(waiting(&planner));
    plan_at(&mut planner, 50);
    planner.start_reply(key, first, 2, StartReply::Refused);
    counts.push(waiting(&planner));
    let early_status = planner.job_status(JOB);
    plan_at(&mut planner, 1_000);
    planner.start_reply(key, first, 3, StartReply::Started);

    assert_eq!(counts, [1, 1, 1, 1, 1], "no worker has confirmed a run");
    assert_eq!(early_status, Some(JobStatus::Pending));
    assert_eq!(waiting(&planner), 0);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}

/// Adds two workers and sends the starts of a gang of two tasks, one to each; returns the runs.
fn gang_of_two(planner: &mut Planner) -> Vec<(TaskKey, RunId, WorkerKey)> {
    add_claimed(planner, "w1");
    add_claimed(planner, "w2");
    let mut gang = step(2);
    gang.need = resources(3000, 1000);
    gang.gang = true;
    planner.add_job(JOB, spec(vec![gang]), None, false);
    plan_at(planner, 10)
}

/// Guards against a gang that counts as started while one member waits for another whose start got
/// no reply. A gang has started only when all of its members are running.
#[test]
fn a_gang_waits_until_all_its_members_run() {
    let mut planner = planner(1);
    let starts = gang_of_two(&mut planner);

    planner.start_reply(starts[0].2, starts[0].0, 1, StartReply::Started);
    planner.start_reply(starts[1].2, starts[1].0, 1, StartReply::Unknown);
    let early = (waiting(&planner), planner.job_status(JOB));
    let late_report = worker_report(vec![running(starts[1].0, 1)], vec![]);
    planner.apply_report(starts[1].2, Duration::from_millis(20), &late_report);

    assert_eq!(early, (1, Some(JobStatus::Pending)));
    assert_eq!(
        (waiting(&planner), planner.job_status(JOB)),
        (0, Some(JobStatus::Active))
    );
}

/// The same with members that ended without doing work, because the others did not start in time.
#[test]
fn a_gang_whose_members_ended_alone_still_waits() {
    let mut planner = planner(1);
    for (task, run, key) in gang_of_two(&mut planner) {
        let alone = worker_report(vec![], vec![ended(1, task, run, RunEnd::GangIncomplete)]);
        planner.apply_report(key, Duration::from_millis(20), &alone);
    }
    let batch = planner.take_batch(10);

    assert_eq!(
        (waiting(&planner), planner.job_status(JOB)),
        (1, Some(JobStatus::Pending))
    );
    assert!(
        !batch.jobs[0].1.has_started(),
        "nor does its saved progress mark it as started"
    );
}

/// The start gets no reply, and the run has ended by the next report: the reported end shows that
/// the job had started.
#[test]
fn a_job_of_which_only_an_end_is_reported_has_started() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(2)]), None, false);
    plan_at(&mut planner, 10);
    planner.start_reply(key, task(JOB, 0, 0), 1, StartReply::Unknown);

    let end = ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped);
    planner.apply_report(
        key,
        Duration::from_millis(20),
        &worker_report(vec![], vec![end]),
    );

    assert_eq!(
        (waiting(&planner), planner.job_status(JOB)),
        (0, Some(JobStatus::Active))
    );
}

/// After a take-over, a job has started if a worker reports a run of it; a job of which no run
/// is reported is waiting.
#[test]
fn a_successor_counts_reported_runs() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, true);

    let report = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);

    assert_eq!(waiting(&planner), 1);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
    assert_eq!(planner.job_status(JOB + 1), Some(JobStatus::Pending));
}

/// Guards against an active job that is shown as pending after a take-over while its worker
/// cannot be reached, because the start of the job was not saved.
#[test]
fn a_job_that_has_started_stays_started_after_a_take_over() {
    let mut former = planner(1);
    let key = add_claimed(&mut former, "w1");
    former.add_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut former, 10);
    former.start_reply(key, task(JOB, 0, 0), 1, StartReply::Started);
    let batch = former.take_batch(10);
    let saved = batch.jobs.first().map(|(_, progress)| progress);

    let mut successor = planner(2);
    successor.add_job(JOB, spec(vec![step(1)]), saved, true);

    assert_eq!(waiting(&successor), 0);
    assert_eq!(successor.job_status(JOB), Some(JobStatus::Active));
}

/// A job has started if a worker reports another run of a task than the one booked there.
#[test]
fn a_job_with_an_unbooked_run_of_a_booked_task_has_started() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 2_100);
    let other = worker_report(vec![running(task(JOB, 0, 0), 3)], vec![]);

    planner.apply_report(key, Duration::from_millis(2_110), &other);

    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}

/// Guards against showing a job as pending if a worker reported a run of it before the job was
/// read.
#[test]
fn a_job_with_a_run_reported_before_it_was_read_has_started() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let report = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);

    planner.add_job(JOB, spec(vec![step(1)]), None, false);

    assert_eq!(waiting(&planner), 0);
}

/// A job has started if a worker reports the end of a run only after the lease has expired, so that
/// the end does not count.
#[test]
fn a_job_with_an_end_reported_too_late_has_started() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    plan_at(&mut planner, 9_000);
    let late_report = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);

    planner.apply_report(key, Duration::from_millis(9_010), &late_report);

    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}
