//! Workers whose capacity shrinks and grows while tasks run there.

mod support;

use std::time::Duration;

use job::Command;
use job::JobStatus;
use job::Planner;
use job::RunEnd;
use job::StartReply;
use job::StopReply;
use job::WorkerInfo;
use support::add_claimed;
use support::deferrable;
use support::ended;
use support::incarnations::FIRST_START;
use support::incarnations::claim_next;
use support::incarnations::worker_with_ends;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Returns the registration of a worker with this number of cores; that of `worker` has four.
fn worker_with_cores(id: &str, cores: u64) -> WorkerInfo {
    WorkerInfo {
        capacity: resources(cores * 1000, 64_000),
        ..worker(id)
    }
}

/// Plans and confirms the starts; returns how many there were.
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
    planner.add_job(1, spec(vec![step(8)]), None, false);
    start_at(&mut planner, 10);
    planner.register_worker(worker_with_cores("w1", 2));
    let done = vec![
        ended(1, task(1, 0, 0), 1, RunEnd::Done),
        ended(2, task(1, 0, 1), 1, RunEnd::Done),
    ];
    let remaining = vec![running(task(1, 0, 2), 1), running(task(1, 0, 3), 1)];
    planner.apply_report(
        key,
        Duration::from_millis(100),
        &worker_report(remaining, done),
    );

    let full = start_at(&mut planner, 200);
    planner.register_worker(worker_with_cores("w1", 3));
    let grown = start_at(&mut planner, 300);

    assert_eq!((full, grown), (0, 1));
}

/// A run that is being stopped holds its resources until its end is reported, even if the
/// capacity has shrunk meanwhile.
#[test]
fn runs_being_stopped_count_against_a_shrunk_capacity() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(1, spec(vec![step(2)]), None, false);
    start_at(&mut planner, 10);
    let mut canceled = spec(vec![step(2)]);
    canceled.canceled = true;
    planner.add_job(1, canceled, None, false);
    planner.register_worker(worker_with_cores("w1", 2));
    planner.add_job(2, spec(vec![step(1)]), None, false);

    let stopping = start_at(&mut planner, 20);
    for index in 0..2 {
        planner.stop_reply(key, task(1, 0, index), 1, StopReply::Stopped);
    }
    let stopped = start_at(&mut planner, 30);
    let ends = vec![ended(1, task(1, 0, 0), 1, RunEnd::Stopped)];
    let remaining = vec![running(task(1, 0, 1), 1)];
    planner.apply_report(
        key,
        Duration::from_millis(40),
        &worker_report(remaining, ends),
    );
    let reported = start_at(&mut planner, 50);

    assert_eq!((stopping, stopped, reported), (0, 0, 1));
}

/// Guards against a job that fails though it only has to wait. Its owner took over while
/// the workers were small; the former owner's rows stated their full capacity, but the
/// workers' current registrations overwrote it.
#[test]
fn a_pool_that_has_shrunk_fails_no_job() {
    let mut planner = planner(2);
    let key = planner.restore_worker(worker("w1")).expect("a new worker");
    planner.register_worker(worker_with_cores("w1", 1));
    planner.apply_report(key, Duration::ZERO, &worker_report(vec![], vec![]));
    let mut large = step(1);
    large.need = resources(3000, 1000);
    planner.add_job(1, spec(vec![large]), None, false);

    start_at(&mut planner, 10_000);
    let small = planner.take_batch(10).jobs;
    planner.register_worker(worker("w1"));
    let grown = start_at(&mut planner, 10_100);

    assert!(small.iter().all(|(_, saved)| saved.outcome.is_none()));
    assert_eq!(grown, 1);
    assert_ne!(planner.job_status(1), Some(JobStatus::Failed));
}

/// Guards against a gang that waits forever though it is too large for the pool. A worker that
/// has shrunk and grown again counted as two workers, one of each size.
#[test]
fn a_worker_of_two_sizes_counts_once() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    start_at(&mut planner, 1000);
    planner.register_worker(worker_with_cores("w1", 3));
    start_at(&mut planner, 2000);
    planner.register_worker(worker("w1"));
    start_at(&mut planner, 3000);
    let mut gang = step(10);
    gang.gang = true;
    planner.add_job(1, spec(vec![gang]), None, false);

    start_at(&mut planner, 20_000);

    let batch = planner.take_batch(10);
    assert_eq!(batch.jobs[0].1.outcome, Some(job::Outcome::Failed));
}

/// Guards against tasks that are preempted for a gang that cannot start on their worker. The
/// worker has shrunk, and its remaining tasks still use more than its capacity.
#[test]
fn no_run_is_preempted_where_that_frees_no_resources() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    let mut checkpointed_step = step(4);
    checkpointed_step.checkpointed = true;
    planner.add_job(1, deferrable(checkpointed_step), None, false);
    start_at(&mut planner, 10);
    planner.register_worker(worker_with_cores("w1", 1));
    let remaining = (0..4).map(|index| running(task(1, 0, index), 1));
    planner.apply_report(
        key,
        Duration::from_millis(50),
        &worker_report(remaining.collect(), vec![]),
    );
    let mut gang = step(2);
    gang.gang = true;
    planner.add_job(2, spec(vec![gang]), None, false);

    planner.advance(Duration::from_millis(100));
    planner.plan();

    let commands = planner.take_commands();
    let stops = commands.iter();
    let stops = stops.filter(|command| matches!(command, Command::Stop { .. }));
    assert_eq!(stops.count(), 0);
}

/// Guards against filling a new incarnation up to its whole capacity while the registrations are
/// stale, though the worker has shrunk before: its fill limit was that of current registrations.
#[test]
fn a_new_incarnation_gets_the_fill_limit_of_stale_registrations() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    for cores in [2, 4] {
        planner.register_worker(WorkerInfo {
            incarnation: Some(FIRST_START),
            ..worker_with_cores("w1", cores)
        });
    }
    planner.set_registrations_stale(true);
    let next = claim_next(&mut planner, key, 100);
    planner.add_job(1, spec(vec![step(4)]), None, false);

    let starts = plan_at(&mut planner, 110);

    assert!(starts.iter().all(|(_, _, worker)| *worker == next));
    assert_eq!(starts.len(), 2);
}

/// Guards against filling a new worker up to its whole capacity while the registrations are stale,
/// though another worker of the pool has shrunk before.
#[test]
fn a_new_worker_gets_the_fill_limit_of_stale_registrations() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.register_worker(worker_with_cores("w1", 2));
    planner.set_registrations_stale(true);
    let new = add_claimed(&mut planner, "w2");
    planner.add_job(1, spec(vec![step(8)]), None, false);

    let starts = plan_at(&mut planner, 10);

    let on_new = starts.iter().filter(|(_, _, worker)| *worker == new);
    assert_eq!(on_new.count(), 2);
}
