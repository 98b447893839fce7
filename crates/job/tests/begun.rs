//! When a job counts as begun: what callers are told of jobs that wait.

mod support;

use std::time::Duration;

use job::Planner;
use job::Shown;
use job::StartReply;
use job::StopReply;
use support::add_claimed;
use support::listing;
use support::plan_at;
use support::planner;
use support::queue;
use support::spec;
use support::step;
use support::task;

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
    planner.take_listing(key, Duration::from_millis(20), &listing(vec![], vec![]));
    planner.stop_reply(key, first, 1, StopReply::Stopped);
    planner.advance(Duration::from_millis(40));
    planner.take_listing(key, Duration::from_millis(30), &listing(vec![], vec![]));
    counts.push(waiting(&planner));
    plan_at(&mut planner, 50);
    planner.start_reply(key, first, 2, StartReply::Refused);
    counts.push(waiting(&planner));
    let shown = planner.shown(JOB);
    plan_at(&mut planner, 1_000);
    planner.start_reply(key, first, 3, StartReply::Started);

    assert_eq!(counts, [1, 1, 1, 1, 1], "no worker has begun a task");
    assert_eq!(shown, Some(Shown::Pending));
    assert_eq!(waiting(&planner), 0);
    assert_eq!(planner.shown(JOB), Some(Shown::Active));
}
