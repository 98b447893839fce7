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

const JOB: u64 = 7;

#[test]
fn a_worker_is_never_booked_over_its_capacity() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(6)]), None, false);

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 4, "four cores");
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut gang = step(6);
    gang.gang = true;
    planner.take_job(JOB, spec(vec![gang]), None, false);
    let alone = plan_at(&mut planner, 10);
    add_claimed(&mut planner, "w2");

    let starts = plan_at(&mut planner, 20);

    assert!(alone.is_empty(), "six do not fit on four cores");
    assert_eq!(starts.len(), 6);
    assert!(starts.iter().all(|(_, run, _)| *run == 1), "one run number");
}

#[test]
fn a_later_step_waits_for_all_tasks_before_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    let mut second = step(1);
    second.after = vec![0];
    planner.take_job(JOB, spec(vec![step(2), second]), None, false);
    plan_at(&mut planner, 10);
    let one = worker_report(
        vec![running(task(JOB, 0, 1), 1)],
        vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)],
    );
    planner.take_listing(key, Duration::from_millis(20), &one);
    let early = plan_at(&mut planner, 30);
    let both = worker_report(vec![], vec![ended(2, task(JOB, 0, 1), 1, RunEnd::Done)]);
    planner.take_listing(key, Duration::from_millis(40), &both);

    let late = plan_at(&mut planner, 50);

    assert!(early.is_empty());
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task(JOB, 1, 0));
}

/// Symptom: a task was started again after as many failed runs as its queue
/// allows. Sequence: the store is away; two runs fail on two workers, neither
/// end is recorded; a successor claims the worker of the second run first.
/// Cause: ends of runs older than the newest one known were passed over.
#[test]
fn failed_ends_count_in_any_order() {
    let mut planner = planner(2);
    let first = add(&mut planner, "w1");
    let second = add(&mut planner, "w2");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    let newest = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 2, RunEnd::Failed)]);
    planner.take_listing(second, Duration::ZERO, &newest);
    let oldest = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Failed)]);
    planner.take_listing(first, Duration::ZERO, &oldest);

    let starts = plan_at(&mut planner, 10);

    assert!(starts.is_empty(), "two attempts were allowed");
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    assert_eq!(planner.shown(JOB), Some(JobStatus::Failed));
}

/// Symptom: tasks of a worker that died silently never ran again. Sequence:
/// the worker stops answering; its calls are repeated. Cause: each repetition
/// counted as a renewal of its lease.
#[test]
fn a_silent_workers_tasks_run_elsewhere_after_its_lease() {
    let mut planner = planner(1);
    let silent = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.start_reply(silent, task(JOB, 0, 0), 1, StartReply::Started);
    planner.worker_silent(silent);
    add_claimed(&mut planner, "w2");
    let early = plan_at(&mut planner, 14_600);

    let starts = plan_at(&mut planner, 14_900);

    assert!(early.is_empty(), "the lease may not be over yet");
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].1, 2, "a higher run number");
}

#[test]
fn an_end_from_before_the_lease_was_over_does_not_stand_after_it() {
    let mut planner = planner(1);
    let cut = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.worker_silent(cut);
    add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 14_900);
    let late = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);

    planner.take_listing(cut, Duration::from_secs(15), &late);

    assert_eq!(planner.shown(JOB), Some(JobStatus::Active), "run 2 decides");
}

#[test]
fn an_end_is_recorded_only_with_the_progress_that_holds_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10);
    let ends = vec![
        ended(1, task(JOB, 0, 0), 1, RunEnd::Done),
        ended(2, task(JOB + 1, 0, 0), 1, RunEnd::Done),
    ];
    planner.take_listing(key, Duration::from_millis(20), &worker_report(vec![], ends));

    let first = planner.take_batch(1);
    let second = planner.take_batch(1);

    assert!(first.ends.is_empty(), "a job is left out");
    assert_eq!(second.ends, vec![(key, 2)]);
    assert_eq!(second.jobs[0].1.outcome, Some(Outcome::Completed));
    assert_eq!(planner.shown(JOB), Some(JobStatus::Active), "not saved yet");
}

#[test]
fn a_job_that_fits_no_known_worker_fails() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut large = step(1);
    large.need = resources(5000, 1);
    planner.take_job(JOB, spec(vec![large]), None, false);
    plan_at(&mut planner, 3_500);

    let batch = planner.take_batch(10);

    assert_eq!(batch.jobs[0].1.outcome, Some(Outcome::Failed));
}

#[test]
fn a_worker_that_leaves_gets_no_new_task() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut leaving = worker("w1");
    leaving.draining = true;
    planner.take_worker(leaving);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);

    assert!(plan_at(&mut planner, 10).is_empty());
}

#[test]
fn a_start_without_answer_keeps_its_room_until_it_was_stopped() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10);
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Unknown);
    }
    planner.advance(Duration::from_millis(600));
    planner.take_listing(
        key,
        Duration::from_millis(590),
        &worker_report(vec![], vec![]),
    );
    let unconfirmed = plan_at(&mut planner, 610);
    for index in 0..4 {
        planner.stop_reply(key, task(JOB, 0, index), 1, job::StopReply::Stopped);
    }
    planner.advance(Duration::from_millis(700));
    planner.take_listing(
        key,
        Duration::from_millis(690),
        &worker_report(vec![], vec![]),
    );

    let again = plan_at(&mut planner, 710);

    assert!(unconfirmed.is_empty(), "a late start could still arrive");
    assert_eq!(again.len(), 4);
    assert!(again.iter().all(|(_, run, _)| *run == 2));
}

/// Symptom: counter checks on a worker that stood still were late by seconds.
/// Sequence: a worker answers, lists its tasks, and none of them makes
/// progress; another worker has room.
#[test]
fn a_task_that_stands_still_is_moved() {
    let mut planner = planner(1);
    let stuck = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.start_reply(stuck, task(JOB, 0, 0), 1, StartReply::Started);
    add_claimed(&mut planner, "w2");
    let still = worker_report(vec![running(task(JOB, 0, 0), 1)], vec![]);
    for millis in [10_500, 11_000, 11_500] {
        planner.advance(Duration::from_millis(millis));
        planner.lease_sent(stuck);
        planner.take_listing(stuck, Duration::from_millis(millis), &still);
        planner.plan();
    }
    let gone = worker_report(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.take_listing(stuck, Duration::from_millis(11_600), &gone);

    let starts = plan_at(&mut planner, 11_600);

    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].2, stuck, "the worker rests");
}

#[test]
fn an_ended_job_is_forgotten_after_its_retention() {
    let mut planner = planner(1);
    let mut canceled = spec(vec![step(1)]);
    canceled.canceled = true;
    planner.take_job(JOB, canceled, None, false);
    let unsaved = planner.expired(Duration::ZERO, 10);
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    let early = planner.expired(Duration::from_mins(1), 10);
    planner.advance(Duration::from_secs(61));

    let late = planner.expired(Duration::from_mins(1), 10);

    assert!(unsaved.is_empty(), "its end was not recorded yet");
    assert!(early.is_empty());
    assert_eq!(late, vec![JOB]);
    planner.forget(&late);
    assert_eq!(planner.shown(JOB), None);
}

#[test]
fn a_run_that_is_stopping_holds_its_room_until_its_end_is_listed() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10_000);
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Started);
    }
    let mut canceled = spec(vec![step(4)]);
    canceled.canceled = true;
    planner.take_job(JOB, canceled, None, false);
    for index in 0..4 {
        planner.stop_reply(key, task(JOB, 0, index), 1, job::StopReply::Stopped);
    }
    planner.take_job(JOB + 1, spec(vec![step(4)]), None, false);
    planner.advance(Duration::from_millis(10_100));
    let stopping = (0..4).map(|index| running(task(JOB, 0, index), 1));
    let stopping = worker_report(stopping.collect(), vec![]);
    planner.take_listing(key, Duration::from_millis(10_090), &stopping);
    let early = plan_at(&mut planner, 10_110);
    let ends = (0..4).map(|nth| {
        let task = task(JOB, 0, nth);
        ended(u64::from(nth) + 1, task, 1, RunEnd::Stopped)
    });
    let stopped = worker_report(vec![], ends.collect());
    planner.take_listing(key, Duration::from_millis(10_150), &stopped);

    let late = plan_at(&mut planner, 10_160);

    assert!(early.is_empty(), "what is being stopped still counts");
    assert_eq!(late.len(), 4);
}

/// What keeps a confirmed run from being taken for gone: a listing that was
/// asked for before the confirmation says nothing of it.
#[test]
fn a_listing_asked_for_before_a_start_was_confirmed_does_not_end_it() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(4)]), None, false);
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 10_000);
    planner.advance(Duration::from_millis(10_010));
    for index in 0..4 {
        planner.start_reply(key, task(JOB, 0, index), 1, StartReply::Started);
    }
    let before = worker_report(vec![], vec![]);

    planner.take_listing(key, Duration::from_millis(10_005), &before);

    assert!(
        plan_at(&mut planner, 10_020).is_empty(),
        "the worker is full"
    );
}

/// Symptom: on a quiet day, a gang that only few workers may run waited 27 s.
/// Sequence: its objective passes; less urgent tasks that are still in time go
/// first, and take each processor as it becomes free. Cause: nothing kept room
/// for a gang that was late.
#[test]
fn a_late_gang_is_not_starved_by_less_urgent_tasks() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10_000);
    let mut gang = step(4);
    gang.gang = true;
    planner.take_job(JOB + 1, spec(vec![gang]), None, false);
    // Its objective of 3 s passes.
    planner.advance(Duration::from_secs(14));
    for nth in 0..4 {
        let mut small = spec(vec![step(1)]);
        small.queue.priority = 2;
        planner.take_job(JOB + 2 + nth, small, None, false);
    }
    let mut early = Vec::new();
    for nth in 0..4_u32 {
        let millis = 14_000 + 100 * (u64::from(nth) + 1);
        let rest = (nth + 1..4).map(|at| running(task(JOB, 0, at), 1));
        let end = ended(u64::from(nth) + 1, task(JOB, 0, nth), 1, RunEnd::Done);
        let listed = worker_report(rest.collect(), vec![end]);
        planner.lease_sent(key);
        planner.take_listing(key, Duration::from_millis(millis), &listed);
        early.push(plan_at(&mut planner, millis));
    }

    let last = early.pop().expect("four rounds");

    assert!(early.iter().all(Vec::is_empty), "room is kept: {early:?}");
    assert_eq!(last.len(), 4);
    assert!(last.iter().all(|(task, ..)| task.step.job == JOB + 1));
}
