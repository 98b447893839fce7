//! Workers whose room shrinks and grows while tasks run there.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Order;
use job::Planner;
use job::RunEnd;
use job::StartReply;
use job::StopReply;
use job::WorkerInfo;
use support::add_claimed;
use support::deferrable;
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

/// A worker of four cores that has so many now.
fn sized(id: &str, cores: u64) -> WorkerInfo {
    WorkerInfo {
        capacity: resources(cores * 1000, 64_000),
        ..worker(id)
    }
}

/// Plans and confirms the starts; gives how many there were.
fn start_at(planner: &mut Planner, millis: u64) -> usize {
    let starts = plan_at(planner, millis);
    for &(task, run, worker) in &starts {
        planner.start_reply(worker, task, run, StartReply::Started);
    }
    starts.len()
}

#[test]
fn a_worker_that_has_shrunk_gets_only_what_fits() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(1, spec(vec![step(8)]), None, false);
    start_at(&mut planner, 10);
    planner.take_worker(sized("w1", 2));
    let done = vec![
        ended(1, task(1, 0, 0), 1, RunEnd::Done),
        ended(2, task(1, 0, 1), 1, RunEnd::Done),
    ];
    let rest = vec![running(task(1, 0, 2), 1), running(task(1, 0, 3), 1)];
    planner.take_listing(key, Duration::from_millis(100), &worker_report(rest, done));

    let full = start_at(&mut planner, 200);
    planner.take_worker(sized("w1", 3));
    let grown = start_at(&mut planner, 300);

    assert_eq!((full, grown), (0, 1));
}

/// A run that is being stopped holds its room until its end is listed, also in a room
/// that has shrunk meanwhile.
#[test]
fn what_is_being_stopped_counts_in_a_room_that_has_shrunk() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(1, spec(vec![step(2)]), None, false);
    start_at(&mut planner, 10);
    let mut canceled = spec(vec![step(2)]);
    canceled.canceled = true;
    planner.take_job(1, canceled, None, false);
    planner.take_worker(sized("w1", 2));
    planner.take_job(2, spec(vec![step(1)]), None, false);

    let stopping = start_at(&mut planner, 20);
    for index in 0..2 {
        planner.stop_reply(key, task(1, 0, index), 1, StopReply::Stopped);
    }
    let stopped = start_at(&mut planner, 30);
    let ends = vec![ended(1, task(1, 0, 0), 1, RunEnd::Stopped)];
    let rest = vec![running(task(1, 0, 1), 1)];
    planner.take_listing(key, Duration::from_millis(40), &worker_report(rest, ends));
    let listed = start_at(&mut planner, 50);

    assert_eq!((stopping, stopped, listed), (0, 0, 1));
}

/// A job was shown as failed though it only had to wait. Its owner took over while the
/// workers were small; the rows of its predecessor told how large they are, and what the
/// workers said of themselves replaced that.
#[test]
fn a_pool_that_has_shrunk_fails_no_job() {
    let mut planner = planner(2);
    let key = planner.recall_worker(worker("w1")).expect("a new worker");
    planner.take_worker(sized("w1", 1));
    planner.take_listing(key, Duration::ZERO, &worker_report(vec![], vec![]));
    let mut large = step(1);
    large.need = resources(3000, 1000);
    planner.take_job(1, spec(vec![large]), None, false);

    start_at(&mut planner, 10_000);
    let small = planner.take_batch(10).jobs;
    planner.take_worker(worker("w1"));
    let grown = start_at(&mut planner, 10_100);

    assert!(small.iter().all(|(_, told)| told.outcome.is_none()));
    assert_eq!(grown, 1);
    assert_ne!(planner.shown(1), Some(JobStatus::Failed));
}

/// A gang that is too large for the pool waited for good. One worker had shrunk and
/// grown again; it counted as two, one of each size.
#[test]
fn a_worker_of_two_sizes_counts_once() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    start_at(&mut planner, 1000);
    planner.take_worker(sized("w1", 3));
    start_at(&mut planner, 2000);
    planner.take_worker(worker("w1"));
    start_at(&mut planner, 3000);
    let mut gang = step(10);
    gang.gang = true;
    planner.take_job(1, spec(vec![gang]), None, false);

    start_at(&mut planner, 20_000);

    let batch = planner.take_batch(10);
    assert_eq!(batch.jobs[0].1.outcome, Some(job::Outcome::Failed));
}

/// Tasks were stopped for a gang that could not start there: their worker had shrunk,
/// and what they left was still more than it had.
#[test]
fn nothing_is_stopped_where_that_makes_no_room() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    let mut saving = step(4);
    saving.checkpointed = true;
    planner.take_job(1, deferrable(saving), None, false);
    start_at(&mut planner, 10);
    planner.take_worker(sized("w1", 1));
    let rest = (0..4).map(|index| running(task(1, 0, index), 1));
    planner.take_listing(
        key,
        Duration::from_millis(50),
        &worker_report(rest.collect(), vec![]),
    );
    let mut gang = step(2);
    gang.gang = true;
    planner.take_job(2, spec(vec![gang]), None, false);

    planner.advance(Duration::from_millis(100));
    planner.plan();

    let orders = planner.take_orders();
    let stops = orders.iter();
    let stops = stops.filter(|order| matches!(order, Order::Stop { .. }));
    assert_eq!(stops.count(), 0);
}
