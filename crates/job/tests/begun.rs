//! When a job counts as begun: what callers are told of jobs that wait.

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

/// Jobs of the queue that wait.
fn waiting(planner: &Planner) -> usize {
    planner.count_queue(&queue(2).name).waiting
}

/// Workers left half of the orders unanswered and carried them out seconds
/// later. Callers who asked for the length of a queue were told that one job
/// waits, while ten had waited for 5 s without a task of theirs running. The
/// owner knew them all, and logged "queue counted" with waiting=1, ordered=41,
/// unfinished=176: it counted a job as begun once it had ordered the first
/// start, and never took that back when the start got no answer, was refused,
/// or was withdrawn.
#[test]
fn a_job_waits_until_a_worker_says_that_a_task_of_it_runs() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let first = task(JOB, 0, 0);
    let mut counts = vec![waiting(&planner)];

    plan_at(&mut planner, 10);
    counts.push(waiting(&planner));
    planner.start_reply(key, first, 1, StartReply::Unknown);
    counts.push(waiting(&planner));
    // Listed nowhere, so withdrawn; the worker confirms that it is gone.
    planner.take_listing(
        key,
        Duration::from_millis(20),
        &worker_report(vec![], vec![]),
    );
    planner.stop_reply(key, first, 1, StopReply::Stopped);
    planner.advance(Duration::from_millis(40));
    planner.take_listing(
        key,
        Duration::from_millis(30),
        &worker_report(vec![], vec![]),
    );
    counts.push(waiting(&planner));
    plan_at(&mut planner, 50);
    planner.start_reply(key, first, 2, StartReply::Refused);
    counts.push(waiting(&planner));
    let shown = planner.shown(JOB);
    plan_at(&mut planner, 1_000);
    planner.start_reply(key, first, 3, StartReply::Started);

    assert_eq!(counts, [1, 1, 1, 1, 1], "no worker has begun a task");
    assert_eq!(shown, Some(JobStatus::Pending));
    assert_eq!(waiting(&planner), 0);
    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
}

/// Orders the start of a gang of two tasks, on two workers; gives its seats.
fn gang_of_two(planner: &mut Planner) -> Vec<(TaskKey, RunId, WorkerKey)> {
    add_claimed(planner, "w1");
    add_claimed(planner, "w2");
    let mut gang = step(2);
    gang.need = resources(3000, 1000);
    gang.gang = true;
    planner.take_job(JOB, spec(vec![gang]), None, false);
    plan_at(planner, 10)
}

/// One member of a gang ran and waited for another, whose start had got no
/// answer. The job was shown as active, and was missing from those that wait,
/// though a gang starts only when all its members are there.
#[test]
fn a_gang_waits_until_all_its_members_are_there() {
    let mut planner = planner(1);
    let seats = gang_of_two(&mut planner);

    planner.start_reply(seats[0].2, seats[0].0, 1, StartReply::Started);
    planner.start_reply(seats[1].2, seats[1].0, 1, StartReply::Unknown);
    let early = (waiting(&planner), planner.shown(JOB));
    let late = worker_report(vec![running(seats[1].0, 1)], vec![]);
    planner.take_listing(seats[1].2, Duration::from_millis(20), &late);

    assert_eq!(early, (1, Some(JobStatus::Pending)));
    assert_eq!(
        (waiting(&planner), planner.shown(JOB)),
        (0, Some(JobStatus::Active))
    );
}

/// The same with a member that gave up waiting for the others: it ended
/// without having worked.
#[test]
fn a_gang_whose_members_waited_in_vain_still_waits() {
    let mut planner = planner(1);
    for (task, run, key) in gang_of_two(&mut planner) {
        let alone = worker_report(vec![], vec![ended(1, task, run, RunEnd::GangIncomplete)]);
        planner.take_listing(key, Duration::from_millis(20), &alone);
    }
    let batch = planner.take_batch(10);

    assert_eq!(
        (waiting(&planner), planner.shown(JOB)),
        (1, Some(JobStatus::Pending))
    );
    assert!(
        !batch.jobs[0].1.has_started(),
        "nor does its saved progress say so"
    );
}

/// A start got no answer, and the task ran and ended before the worker was
/// heard again: the end tells that the job had begun.
#[test]
fn a_job_of_which_only_an_end_is_known_has_begun() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(2)]), None, false);
    plan_at(&mut planner, 10);
    planner.start_reply(key, task(JOB, 0, 0), 1, StartReply::Unknown);

    let gone = ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped);
    planner.take_listing(
        key,
        Duration::from_millis(20),
        &worker_report(vec![], vec![gone]),
    );

    assert_eq!(
        (waiting(&planner), planner.shown(JOB)),
        (0, Some(JobStatus::Active))
    );
}

/// After a take-over, a job of which a worker lists a task has begun; one of
/// which nothing is known waits.
#[test]
fn a_successor_counts_what_workers_list() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, true);

    let left = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);

    assert_eq!(waiting(&planner), 1);
    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
    assert_eq!(planner.shown(JOB + 1), Some(JobStatus::Pending));
}

/// Callers who had seen a job as active were told after a take-over that none
/// of its tasks had started, for as long as the worker that ran it could not be
/// reached: nothing that lasts said that it had begun.
#[test]
fn a_job_that_has_begun_stays_begun_after_a_take_over() {
    let mut former = planner(1);
    let key = add_claimed(&mut former, "w1");
    former.take_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut former, 10);
    former.start_reply(key, task(JOB, 0, 0), 1, StartReply::Started);
    let batch = former.take_batch(10);
    let saved = batch.jobs.first().map(|(_, progress)| progress);

    let mut successor = planner(2);
    successor.take_job(JOB, spec(vec![step(1)]), saved, true);

    assert_eq!(waiting(&successor), 0);
    assert_eq!(successor.shown(JOB), Some(JobStatus::Active));
}

/// The owner learns of a run in three more ways. Each tells that the job has
/// begun: a worker lists another run of a task than the one that is booked
/// there,
#[test]
fn another_run_of_a_booked_task_has_begun() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 2_100);
    let other = worker_report(vec![running(task(JOB, 0, 0), 3)], vec![]);

    planner.take_listing(key, Duration::from_millis(2_110), &other);

    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
}

/// or a run of a job that becomes known later,
#[test]
fn a_run_listed_before_its_job_was_known_has_begun() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let left = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);

    planner.take_job(JOB, spec(vec![step(1)]), None, false);

    assert_eq!(waiting(&planner), 0);
}

/// or an end that does not count any more, since the lease was over.
#[test]
fn an_end_that_comes_too_late_has_begun() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    plan_at(&mut planner, 9_000);
    let late = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);

    planner.take_listing(key, Duration::from_millis(9_010), &late);

    assert_eq!(planner.shown(JOB), Some(JobStatus::Active));
}
