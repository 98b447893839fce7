//! What a report names before the planner has it: rounds that are not open yet, and jobs that were
//! not read yet.

mod support;

use std::time::Duration;

use job::Batch;
use job::JobId;
use job::JobSpec;
use job::JobStatus;
use job::Outcome;
use job::Placement;
use job::Planner;
use job::Policy;
use job::Progress;
use job::RunEnd;
use job::RunId;
use job::Schedule;
use job::StepKey;
use job::TaskKey;
use job::WorkerKey;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

const JOB: JobId = 7;

/// Time of the wall clock at which the successor takes over; 2.5 intervals after the first round.
const TAKE_OVER: Duration = Duration::from_millis(2_500);

/// Creates a job of `rounds` rounds, one each second from second 0 of the wall clock on.
fn repeated(rounds: u32) -> JobSpec {
    let schedule = Schedule {
        rounds,
        first: Duration::ZERO,
        interval: Duration::from_secs(1),
    };
    JobSpec {
        schedule: Some(schedule),
        ..spec(vec![step(1)])
    }
}

/// Creates the planner of a successor whose wall clock shows `wall` at time 0.
fn successor(wall: Duration) -> Planner {
    Planner::new(Policy::default(), 2, Duration::ZERO, wall)
}

/// Returns the only task of a round.
fn task_of(round: u32) -> TaskKey {
    let step = StepKey {
        job: JOB,
        round,
        step: 0,
    };
    TaskKey { step, index: 0 }
}

/// Reports ends to a planner at 1 ms.
fn report_ends(planner: &mut Planner, key: WorkerKey, ends: Vec<job::EndedRun>) {
    planner.advance(Duration::from_millis(1));
    planner.apply_report(key, Duration::from_millis(1), &worker_report(vec![], ends));
}

/// Plans twelve times, 100 ms apart from `from` milliseconds on; returns the rounds that start.
fn rounds_started(planner: &mut Planner, from: u64) -> Vec<u32> {
    let passes = (0..12).flat_map(|pass| plan_at(planner, from + pass * 100));
    passes.map(|(task, ..)| task.step.round).collect()
}

/// Saves all unsaved progress, and returns the batch.
fn save(planner: &mut Planner) -> Batch {
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    batch
}

/// Returns the number up to which a batch acknowledges a worker's ends.
fn acknowledged(batch: &Batch, key: WorkerKey) -> u64 {
    let found = batch.ends.iter().find(|(worker, _)| *worker == key);
    found.expect("a complete batch").1
}

/// Guards against a task that runs again although the successor was told that it is done, before
/// it had opened the task's round.
#[test]
fn a_done_task_of_a_round_that_is_not_open_does_not_start_again() {
    let mut planner = successor(TAKE_OVER);
    planner.add_job(JOB, repeated(3), None, true);
    let key = add(&mut planner, "w1");

    let ends = vec![
        ended(1, task_of(0), 1, RunEnd::Done),
        ended(2, task_of(2), 1, RunEnd::Done),
    ];
    report_ends(&mut planner, key, ends);

    assert_eq!(rounds_started(&mut planner, 10), [1]);
    let batch = save(&mut planner);
    let (_, progress) = &batch.jobs[0];
    assert_eq!(progress.steps[&(2, 0)].done, [0]);
    assert_eq!(acknowledged(&batch, key), 2);
}

/// The same for a gang, of which one member's end counts for all.
#[test]
fn a_done_gang_of_a_round_that_is_not_open_does_not_start_again() {
    let mut planner = successor(TAKE_OVER);
    let mut job = repeated(3);
    job.steps[0].gang = true;
    job.steps[0].count = 2;
    planner.add_job(JOB, job, None, true);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");

    report_ends(
        &mut planner,
        key,
        vec![ended(1, task_of(2), 1, RunEnd::Done)],
    );

    assert_eq!(rounds_started(&mut planner, 10), [0, 0, 1, 1]);
}

/// Guards against a task that starts more often than its queue allows, since a failed run of a
/// round that was not open was not counted.
#[test]
fn a_failed_run_of_a_round_that_is_not_open_is_counted() {
    let mut planner = successor(TAKE_OVER);
    planner.add_job(JOB, repeated(3), None, true);
    let key = add(&mut planner, "w1");

    let ends = vec![
        ended(1, task_of(2), 1, RunEnd::Failed),
        ended(2, task_of(2), 2, RunEnd::Failed),
    ];
    report_ends(&mut planner, key, ends);

    assert_eq!(save(&mut planner).jobs[0].1.outcome, Some(Outcome::Failed));
}

/// Guards against a done task that runs again where the successor's clock is behind, so that the
/// round is not due yet. Later rounds still wait for their time.
#[test]
fn a_done_task_of_a_round_that_is_not_due_does_not_start_again() {
    let mut planner = successor(Duration::from_millis(500));
    planner.add_job(JOB, repeated(3), None, true);
    let key = add(&mut planner, "w1");

    report_ends(
        &mut planner,
        key,
        vec![ended(1, task_of(1), 1, RunEnd::Done)],
    );

    assert_eq!(rounds_started(&mut planner, 10), [0]);
    assert_eq!(rounds_started(&mut planner, 1_200), [2]);
}

/// Guards against a start before its time: the former owner's clock was ahead, and a run of a round
/// that is not due yet has failed.
#[test]
fn a_reported_round_that_is_not_due_waits_for_its_time() {
    let mut planner = successor(Duration::from_millis(500));
    let mut job = repeated(2);
    job.steps[0].count = 2;
    planner.add_job(JOB, job, None, true);
    let key = add(&mut planner, "w1");

    report_ends(
        &mut planner,
        key,
        vec![ended(1, task_of(1), 1, RunEnd::Failed)],
    );

    let early: Vec<u32> = (1..5)
        .flat_map(|pass| plan_at(&mut planner, pass * 100))
        .map(|(task, ..)| task.step.round)
        .collect();
    assert_eq!(early, [0, 0]);
    assert_eq!(rounds_started(&mut planner, 500), [1, 1]);
}

/// Guards against tasks that never start, since their round was opened for a run that a worker
/// reported.
#[test]
fn the_other_tasks_of_a_reported_round_start() {
    let mut planner = successor(TAKE_OVER);
    let mut job = repeated(3);
    job.steps[0].count = 2;
    planner.add_job(JOB, job, None, true);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");

    let report = worker_report(vec![running(task_of(2), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);
    let mut started = rounds_started(&mut planner, 1);

    started.sort_unstable();
    assert_eq!(started, [0, 0, 1, 1, 2]);
}

/// Guards against a second run beside one that a worker reported before its job was read, in a
/// round that is not open when the job is read.
#[test]
fn a_run_of_a_job_read_later_is_counted_in_each_round() {
    let mut planner = successor(TAKE_OVER);
    let key = add(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let report = worker_report(vec![running(task_of(2), 1)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);
    planner.add_job(JOB, repeated(3), None, false);

    let started = rounds_started(&mut planner, 10);

    assert_eq!(started, [0, 1], "the run of round 2 has not ended");
}

/// Guards against a crash that is not counted: the worker of the former owner ends before its
/// first report, and the saved placement names a round that was not open.
#[test]
fn a_crash_under_a_saved_placement_counts_in_each_round() {
    let mut planner = successor(TAKE_OVER);
    let key = planner.restore_worker(worker("w1")).expect("a new worker");
    let placement = Placement {
        run: 1,
        worker: "w1".to_owned(),
        incarnation: None,
    };
    let mut progress = Progress::default();
    progress.placements.insert((2, 0, 0), placement);
    planner.add_job(JOB, repeated(3), Some(&progress), true);

    planner.worker_ended(key);

    let batch = save(&mut planner);
    let (_, progress) = &batch.jobs[0];
    assert!(progress.crashes.contains_key(&(2, 0, 0)));
}

/// Guards against one start too many of a task that fails: the worker of the former owner reports
/// only after the recovery has ended, when its runs count as lost.
#[test]
fn a_failed_run_that_is_reported_after_recovery_is_counted() {
    let outcome_after = |runs: &[RunId]| {
        let mut planner = planner(2);
        planner.add_job(JOB, spec(vec![step(1)]), None, true);
        let key = planner.restore_worker(worker("w1")).expect("a new worker");
        planner.register_worker(worker("w1"));
        plan_at(&mut planner, 200_000);
        assert!(!planner.recovering());
        let ends = (1..).zip(runs);
        let ends = ends.map(|(number, &run)| ended(number, task_of(0), run, RunEnd::Failed));
        let report = worker_report(vec![], ends.collect());
        planner.apply_report(key, Duration::from_secs(200), &report);
        save(&mut planner).jobs[0].1.outcome
    };

    assert_eq!(outcome_after(&[1]), None);
    assert_eq!(outcome_after(&[1, 2]), Some(Outcome::Failed));
}

/// Creates a planner to which a worker has reported the done task of a job that was not read yet.
fn with_unread_job() -> (Planner, WorkerKey) {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    report_ends(
        &mut planner,
        key,
        vec![ended(4, task(JOB, 0, 0), 1, RunEnd::Done)],
    );
    (planner, key)
}

/// Guards against a done task that runs again after two changes of owner: the first successor
/// acknowledged the end before it had read the job, and ended before it had stored it.
#[test]
fn an_end_is_not_acknowledged_before_its_job_is_read() {
    let (mut planner, key) = with_unread_job();

    let before = acknowledged(&save(&mut planner), key);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let after = save(&mut planner);

    assert_eq!(before, 3);
    assert_eq!(after.jobs[0].1.outcome, Some(Outcome::Completed));
    assert_eq!(acknowledged(&after, key), 4);
}

/// Guards against an end that is dropped in a long outage of the store, in which no job is read.
#[test]
fn an_end_is_kept_until_its_job_is_read() {
    let (mut planner, key) = with_unread_job();

    plan_at(&mut planner, 60_000);
    let before = acknowledged(&save(&mut planner), key);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);

    assert_eq!(before, 3);
    assert_eq!(plan_at(&mut planner, 60_010), []);
    assert_eq!(
        save(&mut planner).jobs[0].1.outcome,
        Some(Outcome::Completed)
    );
}

/// Guards against a worker whose later ends are never acknowledged, since it has one of a job whose
/// row was removed.
#[test]
fn an_end_of_a_job_that_does_not_exist_is_acknowledged() {
    let (mut planner, key) = with_unread_job();

    planner.record_jobs_read(Duration::ZERO);
    let early = acknowledged(&save(&mut planner), key);
    planner.record_jobs_read(Duration::from_millis(2));
    let late = acknowledged(&save(&mut planner), key);

    assert_eq!(early, 3, "the rows were read before the end was reported");
    assert_eq!(late, 4);
}

/// Guards against a done task that runs again once its job can be read: this owner cannot decode
/// the job's rows, so it cannot store the end.
#[test]
fn an_end_of_an_unreadable_job_is_not_acknowledged() {
    let mut planner = planner(2);
    planner.add_unreadable_job(JOB);
    let key = add(&mut planner, "w1");
    report_ends(
        &mut planner,
        key,
        vec![ended(4, task(JOB, 0, 0), 1, RunEnd::Done)],
    );

    planner.record_jobs_read(Duration::from_secs(1));

    assert_eq!(acknowledged(&save(&mut planner), key), 3);
}

/// Guards against acknowledgements that end for good: a worker reports a run of a task that its
/// job does not have.
#[test]
fn an_end_of_a_task_that_does_not_exist_is_acknowledged() {
    let mut planner = planner(2);
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    let key = add(&mut planner, "w1");
    let ends = [task_of(9), task(JOB, 5, 0), task(JOB, 0, 5)];
    let ends = (1..).zip(ends);
    let ends = ends.map(|(number, task)| ended(number, task, 1, RunEnd::Done));

    report_ends(&mut planner, key, ends.collect());

    assert_eq!(acknowledged(&save(&mut planner), key), 3);
    assert_eq!(planner.take_unknown_ends().len(), 3);
    let started = plan_at(&mut planner, 10);
    assert_eq!(started.len(), 1);
}

/// Guards against a second run of a task that the former owner started after the successor had read
/// the jobs: the store was down for seconds, so the job's row is read late.
#[test]
fn a_job_that_is_read_late_waits_for_all_workers() {
    const NOW: Duration = Duration::from_secs(4);
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.restore_worker(worker("w2"));
    planner.advance(NOW);
    planner.apply_report(key, NOW, &worker_report(vec![], vec![]));

    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    planner.record_jobs_read(NOW);
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    let started = plan_at(&mut planner, 4_010);

    let started: Vec<JobId> = started.iter().map(|(task, ..)| task.step.job).collect();
    assert_eq!(started, [JOB + 1], "only the job accepted later may start");
}

/// Guards against a status that goes back from active to pending: all that is reported of a repeated
/// job is the end of a run in a round that is not open, after the recovery has ended.
#[test]
fn a_job_with_an_end_reported_too_late_has_started_in_each_round() {
    let mut planner = successor(Duration::ZERO);
    let mut job = repeated(30);
    job.schedule.as_mut().expect("a schedule").first = Duration::from_mins(1);
    planner.add_job(JOB, job, None, true);
    let key = add(&mut planner, "w1");
    plan_at(&mut planner, 9_000);
    let ends = vec![ended(1, task_of(2), 1, RunEnd::Expired)];

    planner.apply_report(
        key,
        Duration::from_millis(9_010),
        &worker_report(vec![], ends),
    );

    assert_eq!(planner.job_status(JOB), Some(JobStatus::Active));
}
