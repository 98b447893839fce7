//! Ends of runs that are reported after the run was counted as lost.
//!
//! Guards against a task that starts again 0.4 s after its worker reported the former run as
//! done. The worker is unresponsive until its lease expires, and the run counts as lost (log
//! code 355, `lease over`). Then the worker reports the end (354, `done`), which was
//! acknowledged but ignored, and the waiting task starts again (350). The log shows 355, 354
//! and 350 of one task in this order.

mod support;

use std::time::Duration;

use job::Command;
use job::JobStatus;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::TaskKey;
use job::WorkerKey;
use job::WorkerReport;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::worker_report;

const JOB: u64 = 7;

/// Time in milliseconds at which the lease of a worker that reported at time 0 has certainly
/// expired, whatever the differences between clocks.
const EXPIRED: u64 = 7_000;

/// Passes in a report that was requested, and arrives, at `at` milliseconds.
fn report_at(planner: &mut Planner, key: WorkerKey, at: u64, report: &WorkerReport) {
    let at = Duration::from_millis(at);
    planner.advance(at);
    planner.apply_report(key, at, report);
}

/// Creates a planner with one worker, which runs the only task of a job.
fn one_run() -> (Planner, WorkerKey, TaskKey, RunId) {
    let mut planner = planner(1);
    let first = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(&mut planner, 1)[0];
    planner.start_reply(first, task, run, StartReply::Started);
    (planner, first, task, run)
}

fn save(planner: &mut Planner) {
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
}

/// Guards against a task that starts again after its run was reported as done.
#[test]
fn a_task_whose_lost_run_was_done_does_not_start_again() {
    let (mut planner, first, task, run) = one_run();
    planner.mark_unresponsive(first);
    assert_eq!(plan_at(&mut planner, EXPIRED), []);

    let done = worker_report(vec![], vec![ended(1, task, run, RunEnd::Done)]);
    report_at(&mut planner, first, EXPIRED + 10, &done);

    assert_eq!(plan_at(&mut planner, EXPIRED + 20), []);
    save(&mut planner);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Completed));
}

/// Guards against a replacement run that goes on after the lost run was reported as done.
#[test]
fn a_replacement_of_a_run_that_was_done_is_stopped() {
    let (mut planner, first, task, run) = one_run();
    planner.mark_unresponsive(first);
    plan_at(&mut planner, EXPIRED);
    let second = add(&mut planner, "w2");
    report_at(
        &mut planner,
        second,
        EXPIRED + 5,
        &worker_report(vec![], vec![]),
    );
    let (_, replacement, at) = plan_at(&mut planner, EXPIRED + 6)[0];
    planner.start_reply(at, task, replacement, StartReply::Started);
    let runs = worker_report(vec![running(task, replacement)], vec![]);
    report_at(&mut planner, second, EXPIRED + 8, &runs);

    let done = worker_report(vec![], vec![ended(1, task, run, RunEnd::Done)]);
    report_at(&mut planner, first, EXPIRED + 10, &done);

    let stopped = planner.take_commands().into_iter().any(|command| {
        matches!(command, Command::Stop { worker, run, .. } if worker == second && run == replacement)
    });
    assert!(stopped, "the replacement run goes on");
    save(&mut planner);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Completed));
}

/// Guards against a task that starts again while the reply that reports its end is on its way.
#[test]
fn a_run_is_not_lost_while_a_reply_may_arrive() {
    let (mut planner, first, _, _) = one_run();
    let second = add(&mut planner, "w2");
    report_at(&mut planner, second, 2, &worker_report(vec![], vec![]));
    let sent = Duration::from_secs(4);
    planner.await_reply(first, sent, Duration::from_millis(EXPIRED + 500));
    planner.mark_unresponsive(first);

    assert_eq!(plan_at(&mut planner, EXPIRED + 400), []);
    assert_eq!(plan_at(&mut planner, EXPIRED + 600).len(), 1);
}

/// Guards against runs that are never counted as lost because calls to their worker go on.
#[test]
fn replies_to_calls_after_lease_expiry_are_not_awaited() {
    let (mut planner, first, _, _) = one_run();
    let second = add(&mut planner, "w2");
    report_at(&mut planner, second, 2, &worker_report(vec![], vec![]));
    planner.mark_unresponsive(first);

    let sent = Duration::from_millis(EXPIRED);
    planner.await_reply(first, sent, Duration::from_millis(EXPIRED + 500));

    assert_eq!(plan_at(&mut planner, EXPIRED + 10).len(), 1);
}
