//! The planner, event by event: placement, gangs and ends.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Outcome;
use job::RunEnd;
use job::StartReply;
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

/// Id of the first job of each test.
const JOB: u64 = 7;

#[test]
fn a_worker_is_never_booked_over_its_capacity() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(6)]), None, false);

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 4, "the worker has four cores");
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut gang = step(6);
    gang.gang = true;
    planner.add_job(JOB, spec(vec![gang]), None, false);
    let too_small = plan_at(&mut planner, 10);
    add_claimed(&mut planner, "w2");

    let starts = plan_at(&mut planner, 20);

    assert!(too_small.is_empty(), "six do not fit on four cores");
    assert_eq!(starts.len(), 6);
    assert!(
        starts.iter().all(|(_, run, _)| *run == 1),
        "all members have the same run number"
    );
}

#[test]
fn a_later_step_waits_for_all_tasks_before_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    let mut second = step(1);
    second.after = vec![0];
    planner.add_job(JOB, spec(vec![step(2), second]), None, false);
    plan_at(&mut planner, 10);
    let one = worker_report(
        vec![running(task(JOB, 0, 1), 1)],
        vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)],
    );
    planner.apply_report(key, Duration::from_millis(20), &one);
    let early = plan_at(&mut planner, 30);
    let both = worker_report(vec![], vec![ended(2, task(JOB, 0, 1), 1, RunEnd::Done)]);
    planner.apply_report(key, Duration::from_millis(40), &both);

    let late = plan_at(&mut planner, 50);

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task(JOB, 1, 0));
}

/// Guards against a task that is started again after as many failed runs as its queue allows. The
/// store is unavailable, two runs fail on two workers, and neither end is saved; the successor gets
/// the report of the second run first, and ignored ends of runs older than the newest one.
#[test]
fn failed_ends_count_in_any_order() {
    let mut planner = planner(2);
    let first = add(&mut planner, "w1");
    let second = add(&mut planner, "w2");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    let newest = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 2, RunEnd::Failed)]);
    planner.apply_report(second, Duration::ZERO, &newest);
    let oldest = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Failed)]);
    planner.apply_report(first, Duration::ZERO, &oldest);

    let starts = plan_at(&mut planner, 10);

    assert!(starts.is_empty(), "only two attempts are allowed");
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Failed));
}

/// Guards against tasks that never start again after their worker has stopped answering: each
/// repeated call to the worker counted as a renewal of its lease.
#[test]
fn tasks_of_an_unresponsive_worker_start_elsewhere_after_lease_expiry() {
    let mut planner = planner(1);
    let unresponsive = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.start_reply(unresponsive, task(JOB, 0, 0), 1, StartReply::Started);
    planner.mark_unresponsive(unresponsive);
    add_claimed(&mut planner, "w2");
    // A lease granted at 10 s has certainly expired at 14.83 s.
    let early = plan_at(&mut planner, 14_600);

    let starts = plan_at(&mut planner, 14_900);

    assert!(early.is_empty(), "the lease may not have expired yet");
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, 2, "the new run has a higher number");
}

#[test]
fn an_end_reported_after_the_lease_expired_does_not_count() {
    let mut planner = planner(1);
    let expired = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.mark_unresponsive(expired);
    add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 14_900);
    let late = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);

    planner.apply_report(expired, Duration::from_secs(15), &late);

    assert_eq!(
        planner.job_status(JOB),
        Some(JobStatus::Active),
        "only the end of run 2 counts"
    );
}

#[test]
fn an_end_is_recorded_only_with_the_progress_that_holds_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10);
    let ends = vec![
        ended(1, task(JOB, 0, 0), 1, RunEnd::Done),
        ended(2, task(JOB + 1, 0, 0), 1, RunEnd::Done),
    ];
    planner.apply_report(key, Duration::from_millis(20), &worker_report(vec![], ends));

    let first = planner.take_batch(1);
    let second = planner.take_batch(1);

    assert!(first.ends.is_empty(), "the batch leaves a job out");
    assert_eq!(second.ends, vec![(key, 2)]);
    assert_eq!(second.jobs[0].1.outcome, Some(Outcome::Completed));
    assert_eq!(
        planner.job_status(JOB),
        Some(JobStatus::Active),
        "the outcome is not saved yet"
    );
}

#[test]
fn a_job_too_large_for_every_worker_fails() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut large = step(1);
    large.need = resources(5000, 1);
    planner.add_job(JOB, spec(vec![large]), None, false);
    plan_at(&mut planner, 3_500);

    let batch = planner.take_batch(10);

    assert_eq!(batch.jobs[0].1.outcome, Some(Outcome::Failed));
}

#[test]
fn a_draining_worker_gets_no_new_task() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut leaving = worker("w1");
    leaving.draining = true;
    planner.register_worker(leaving);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);

    assert!(plan_at(&mut planner, 10).is_empty());
}

#[test]
fn a_start_without_reply_holds_its_resources_until_it_is_stopped() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10);
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Unknown);
    }
    planner.advance(Duration::from_millis(600));
    planner.apply_report(
        key,
        Duration::from_millis(590),
        &worker_report(vec![], vec![]),
    );
    let unconfirmed = plan_at(&mut planner, 610);
    for index in 0..4 {
        planner.stop_reply(key, task(JOB, 0, index), 1, job::StopReply::Stopped);
    }
    planner.advance(Duration::from_millis(700));
    planner.apply_report(
        key,
        Duration::from_millis(690),
        &worker_report(vec![], vec![]),
    );

    let again = plan_at(&mut planner, 710);

    assert!(
        unconfirmed.is_empty(),
        "the start commands could still arrive"
    );
    assert_eq!(again.len(), 4);
    assert!(again.iter().all(|(_, run, _)| *run == 2));
}

/// Guards against urgent tasks that are seconds late because their worker makes no progress, though
/// it answers calls and reports its runs, and another worker has free resources.
#[test]
fn a_task_without_progress_is_moved() {
    let mut planner = planner(1);
    let stalled = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.start_reply(stalled, task(JOB, 0, 0), 1, StartReply::Started);
    add_claimed(&mut planner, "w2");
    let unchanged = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    for millis in [10_500, 11_000, 11_500] {
        planner.advance(Duration::from_millis(millis));
        planner.extend_lease(stalled);
        planner.apply_report(stalled, Duration::from_millis(millis), &unchanged);
        planner.plan();
    }
    let stopped = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.apply_report(stalled, Duration::from_millis(11_600), &stopped);

    let starts = plan_at(&mut planner, 11_600);

    assert_eq!(starts.len(), 1);
    assert_ne!(
        starts[0].2, stalled,
        "the stalled worker gets no work for a while"
    );
}

#[test]
fn an_ended_job_is_removed_after_its_retention() {
    let mut planner = planner(1);
    let mut canceled = spec(vec![step(1)]);
    canceled.canceled = true;
    planner.add_job(JOB, canceled, None, false);
    let unsaved = planner.expired_jobs(Duration::ZERO, 10);
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    let early = planner.expired_jobs(Duration::from_mins(1), 10);
    planner.advance(Duration::from_secs(61));

    let late = planner.expired_jobs(Duration::from_mins(1), 10);

    assert!(unsaved.is_empty(), "the end is not saved yet");
    assert!(early.is_empty());
    assert_eq!(late, vec![JOB]);
    planner.remove_jobs(&late);
    assert_eq!(planner.job_status(JOB), None);
}

#[test]
fn a_run_being_stopped_holds_its_resources_until_its_end_is_reported() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10_000);
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Started);
    }
    let mut canceled = spec(vec![step(4)]);
    canceled.canceled = true;
    planner.add_job(JOB, canceled, None, false);
    for index in 0..4 {
        planner.stop_reply(key, task(JOB, 0, index), 1, job::StopReply::Stopped);
    }
    planner.add_job(JOB + 1, spec(vec![step(4)]), None, false);
    planner.advance(Duration::from_millis(10_100));
    let stopping = (0..4).map(|index| running(task(JOB, 0, index), 1));
    let stopping = worker_report(stopping.collect(), vec![]);
    planner.apply_report(key, Duration::from_millis(10_090), &stopping);
    let early = plan_at(&mut planner, 10_110);
    let ends = (0..4).map(|nth| {
        let task = task(JOB, 0, nth);
        ended(u64::from(nth) + 1, task, 1, RunEnd::Stopped)
    });
    let stopped = worker_report(vec![], ends.collect());
    planner.apply_report(key, Duration::from_millis(10_150), &stopped);

    let late = plan_at(&mut planner, 10_160);

    assert!(
        early.is_empty(),
        "runs being stopped still hold their resources"
    );
    assert_eq!(late.len(), 4);
}

/// A report that was requested before a start was confirmed may not list that run yet, so the run
/// must not be counted as lost.
#[test]
fn a_report_requested_before_a_start_was_confirmed_does_not_end_the_run() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(4)]), None, false);
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.advance(Duration::from_millis(10_010));
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Started);
    }
    let before = worker_report(vec![], vec![]);

    planner.apply_report(key, Duration::from_millis(10_005), &before);

    assert!(
        plan_at(&mut planner, 10_020).is_empty(),
        "the confirmed runs still fill the worker"
    );
}

/// Guards against a gang that never starts once it is late. In a lightly loaded pool, a gang that
/// only few workers may run waited 27 s: its objective passed, and less urgent tasks that were
/// still in time took each processor as it became free, since no resources were reserved for a
/// late gang.
#[test]
fn a_late_gang_is_not_starved_by_less_urgent_tasks() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10_000);
    let mut gang = step(4);
    gang.gang = true;
    planner.add_job(JOB + 1, spec(vec![gang]), None, false);
    // The gang's objective of 3 s passes.
    planner.advance(Duration::from_secs(14));
    for nth in 0..4 {
        let mut small = spec(vec![step(1)]);
        small.queue.priority = 2;
        planner.add_job(JOB + 2 + nth, small, None, false);
    }
    let mut early = Vec::new();
    for nth in 0..4_u32 {
        let millis = 14_000 + 100 * (u64::from(nth) + 1);
        let remaining = (nth + 1..4).map(|at| running(task(JOB, 0, at), 1));
        let end = ended(u64::from(nth) + 1, task(JOB, 0, nth), 1, RunEnd::Done);
        let listed = worker_report(remaining.collect(), vec![end]);
        planner.extend_lease(key);
        planner.apply_report(key, Duration::from_millis(millis), &listed);
        early.push(plan_at(&mut planner, millis));
    }

    let last = early.pop().expect("four passes");

    assert!(
        early.iter().all(Vec::is_empty),
        "resources are reserved for the gang: {early:?}"
    );
    assert_eq!(last.len(), 4);
    assert!(last.iter().all(|(task, ..)| task.step.job == JOB + 1));
}
