//! The planner, event by event: placement, gangs, ends and take-overs.

mod support;

use std::time::Duration;

use job::Outcome;
use job::RunEnd;
use job::Shown;
use job::StartReply;
use support::add;
use support::add_claimed;
use support::ended;
use support::listing;
use support::plan_at;
use support::planner;
use support::queue;
use support::room;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;

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
    let one = listing(
        vec![running(task(JOB, 0, 1), 1)],
        vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)],
    );
    planner.take_listing(key, Duration::from_millis(20), &one);
    let early = plan_at(&mut planner, 30);
    let both = listing(vec![], vec![ended(2, task(JOB, 0, 1), 1, RunEnd::Done)]);
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
    let newest = listing(vec![], vec![ended(1, task(JOB, 0, 0), 2, RunEnd::Failed)]);
    planner.take_listing(second, Duration::ZERO, &newest);
    let oldest = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Failed)]);
    planner.take_listing(first, Duration::ZERO, &oldest);

    let starts = plan_at(&mut planner, 10);

    assert!(starts.is_empty(), "two attempts were allowed");
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    assert_eq!(planner.shown(JOB), Some(Shown::Failed));
}

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
    planner.take_listing(key, Duration::ZERO, &listing(left.collect(), vec![]));

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 1, "three of four cores are still taken");
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
    let late = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);

    planner.take_listing(cut, Duration::from_secs(15), &late);

    assert_eq!(planner.shown(JOB), Some(Shown::Active), "run 2 decides");
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
    let left = listing(vec![running(task(JOB, 0, 0), 3)], vec![]);

    planner.take_listing(key, Duration::ZERO, &left);

    assert!(plan_at(&mut planner, 10).is_empty());
    assert_eq!(planner.shown(JOB), Some(Shown::Active));
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
    planner.take_listing(key, Duration::from_millis(20), &listing(vec![], ends));

    let first = planner.take_batch(1);
    let second = planner.take_batch(1);

    assert!(first.ends.is_empty(), "a job is left out");
    assert_eq!(second.ends, vec![(key, 2)]);
    assert_eq!(second.jobs[0].1.outcome, Some(Outcome::Completed));
    assert_eq!(planner.shown(JOB), Some(Shown::Active), "not saved yet");
}

#[test]
fn a_job_that_fits_no_known_worker_fails() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut large = step(1);
    large.need = room(5000, 1);
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
    planner.take_listing(key, Duration::from_millis(590), &listing(vec![], vec![]));
    let unconfirmed = plan_at(&mut planner, 610);
    for index in 0..4 {
        planner.stop_reply(key, task(JOB, 0, index), 1, job::StopReply::Stopped);
    }
    planner.advance(Duration::from_millis(700));
    planner.take_listing(key, Duration::from_millis(690), &listing(vec![], vec![]));

    let again = plan_at(&mut planner, 710);

    assert!(unconfirmed.is_empty(), "a late start could still arrive");
    assert_eq!(again.len(), 4);
    assert!(again.iter().all(|(_, run, _)| *run == 2));
}

#[test]
fn a_queue_counts_the_jobs_of_which_nothing_has_started() {
    let mut planner = planner(1);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let before = planner.waiting(&queue(2).name);
    add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 10);

    let after = planner.waiting(&queue(2).name);

    assert_eq!((before, after), (1, 0));
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
    let left = listing(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 10);
    let gone = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
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
    planner.take_listing(key, Duration::from_millis(120), &listing(vec![], vec![]));

    let late = plan_at(&mut planner, 130);

    assert!(early.is_empty(), "the old owner may have started it on w1");
    assert_eq!(late.len(), 1);
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
    let still = listing(vec![running(task(JOB, 0, 0), 1)], vec![]);
    for millis in [10_500, 11_000, 11_500] {
        planner.advance(Duration::from_millis(millis));
        planner.lease_sent(stuck);
        planner.take_listing(stuck, Duration::from_millis(millis), &still);
        planner.plan();
    }
    let gone = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.take_listing(stuck, Duration::from_millis(11_600), &gone);

    let starts = plan_at(&mut planner, 11_600);

    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].2, stuck, "the worker rests");
}

/// Symptom: a task that was done ran again after a take-over. Sequence: as
/// above, but the old owner's run has ended as done when its worker is claimed,
/// before the job is known.
#[test]
fn an_end_of_a_job_learnt_later_counts() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let left = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Done)]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);

    let starts = plan_at(&mut planner, 3_000);

    assert!(starts.is_empty());
    let batch = planner.take_batch(10);
    assert_eq!(batch.jobs[0].1.outcome, Some(Outcome::Completed));
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
    let stopping = listing(stopping.collect(), vec![]);
    planner.take_listing(key, Duration::from_millis(10_090), &stopping);
    let early = plan_at(&mut planner, 10_110);
    let ends = (0..4).map(|nth| {
        let task = task(JOB, 0, nth);
        ended(u64::from(nth) + 1, task, 1, RunEnd::Stopped)
    });
    let stopped = listing(vec![], ends.collect());
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
    let before = listing(vec![], vec![]);

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
        let listed = listing(rest.collect(), vec![end]);
        planner.lease_sent(key);
        planner.take_listing(key, Duration::from_millis(millis), &listed);
        early.push(plan_at(&mut planner, millis));
    }

    let last = early.pop().expect("four rounds");

    assert!(early.iter().all(Vec::is_empty), "room is kept: {early:?}");
    assert_eq!(last.len(), 4);
    assert!(last.iter().all(|(task, ..)| task.step.job == JOB + 1));
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
    recalled.capacity = room(0, 0);
    let key = planner.take_worker(recalled).expect("new worker");
    let left = listing(vec![running(task(JOB, 0, 0), 1)], vec![]);
    planner.take_listing(key, Duration::ZERO, &left);
    planner.take_worker(worker("w1"));
    planner.advance(Duration::from_secs(3));
    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);
    let early = plan_at(&mut planner, 3_010);
    let gone = listing(vec![], vec![ended(1, task(JOB, 0, 0), 1, RunEnd::Stopped)]);
    planner.take_listing(key, Duration::from_millis(3_020), &gone);

    let late = plan_at(&mut planner, 3_030);

    assert!(early.is_empty(), "the run may take any room");
    assert_eq!(late.len(), 1);
}
