//! The order in which changes are saved, and the job status shown before they are saved.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Placement;
use job::Planner;
use job::Progress;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StepProgress;
use job::TaskKey;
use job::WorkerKey;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::queue;
use support::resources;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Number of jobs that start at the same time.
const JOBS: u64 = 200;

/// Maximum number of jobs in a transaction.
const BATCH: usize = 60;

/// Starts one task per job, each on a worker of its own; returns the starts.
fn start_all(planner: &mut Planner) -> Vec<(TaskKey, RunId, WorkerKey)> {
    for id in 0..JOBS {
        add_claimed(planner, &format!("w{id}"));
        let mut whole = step(1);
        whole.need = resources(4000, 1000);
        planner.add_job(id, spec(vec![whole]), None, false);
    }
    let starts = plan_at(planner, 10);
    for &(task, run, key) in &starts {
        planner.start_reply(key, task, run, StartReply::Started);
    }
    starts
}

/// Guards against ends that are saved, and jobs that are shown as completed, seconds late when many
/// jobs start at the same time. The start of a job is saved as well. Batches were filled in the
/// order of job ids, and no end counts as recorded before its whole batch is saved.
#[test]
fn ends_are_saved_before_job_starts() {
    let mut planner = planner(1);
    let starts = start_all(&mut planner);
    let &(task, run, key) = starts.iter().max_by_key(|start| start.0).expect("starts");
    let done = worker_report(vec![], vec![ended(1, task, run, RunEnd::Done)]);
    planner.apply_report(key, Duration::from_millis(20), &done);

    let first = planner.take_batch(BATCH);
    let mut jobs = first.jobs.len();
    while planner.has_unsaved() {
        jobs += planner.take_batch(BATCH).jobs.len();
    }

    let outcome = first.jobs.iter().find(|(id, _)| *id == task.step.job);
    assert!(outcome.is_some_and(|(_, progress)| progress.outcome.is_some()));
    assert!(first.ends.contains(&(key, 1)), "its end counts as recorded");
    assert_eq!(
        first.jobs.len(),
        BATCH,
        "job starts fill the remaining batch"
    );
    assert_eq!(jobs, 200, "each job is saved once");
}

/// Guards against a job that is shown as pending but not counted as waiting. It fails because no
/// worker is large enough for it. It counted as ended as soon as that was decided, but is shown as
/// failed only once that is saved. A successor without workers keeps such a job waiting.
#[test]
fn an_impossible_job_waits_until_its_outcome_is_saved() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 10_000);
    let mut huge = step(1);
    huge.need = resources(64_000, 1);
    planner.add_job(7, spec(vec![huge]), None, false);
    plan_at(&mut planner, 20_000);
    let waiting = |planner: &Planner| planner.count_queue(&queue(2).name).waiting;
    let before = (planner.job_status(7), waiting(&planner));
    let batch = planner.take_batch(BATCH);
    planner.batch_saved(&batch);

    let after = (planner.job_status(7), waiting(&planner));

    assert_eq!(before, (Some(JobStatus::Pending), 1));
    assert_eq!(after, (Some(JobStatus::Failed), 0));
}

/// Guards against results that all become late while the store is so slow that more jobs end than a
/// transaction holds: those that can still be shown in time are saved first.
#[test]
fn outcomes_in_time_are_saved_before_late_ones() {
    let mut planner = planner(1);
    for id in 0..JOBS {
        add_claimed(&mut planner, &format!("w{id}"));
        let mut job = spec(vec![step(1)]);
        job.steps[0].need = resources(4000, 1000);
        // The objective of every second job ends after 3 s, that of the others after a minute.
        if id.is_multiple_of(2) {
            job.queue.slack = Duration::from_mins(1);
        }
        planner.add_job(id, job, None, false);
    }
    let starts = plan_at(&mut planner, 10);
    while planner.has_unsaved() {
        planner.take_batch(BATCH);
    }
    planner.advance(Duration::from_secs(10));
    for &(task, run, key) in &starts {
        let done = worker_report(vec![], vec![ended(1, task, run, RunEnd::Done)]);
        planner.apply_report(key, Duration::from_secs(10), &done);
    }

    let first = planner.take_batch(BATCH);

    assert_eq!(first.jobs.len(), BATCH);
    assert!(first.jobs.iter().all(|(id, _)| id.is_multiple_of(2)));
    assert!(!first.ends_complete);
}

/// Creates the progress of a job whose first task the former owner has placed on worker `w1`.
fn placed() -> Progress {
    let mut progress = Progress::default();
    let placement = Placement {
        run: 1,
        worker: "w1".to_owned(),
        incarnation: None,
    };
    progress.placements.insert((0, 0, 0), placement);
    progress.steps.insert((0, 0), StepProgress::default());
    progress
}

/// Guards against a placement of the former owner that is lost when its successor saves the job
/// before the worker has reported: the next successor would not count a crash under the run.
#[test]
fn a_placement_on_a_silent_worker_is_saved_again() {
    let mut planner = planner(2);
    planner.restore_worker(worker("w1")).expect("a new worker");
    let other = planner.restore_worker(worker("w2")).expect("a new worker");
    planner.add_job(7, spec(vec![step(2)]), Some(&placed()), true);
    let failed = ended(1, task(7, 0, 1), 1, RunEnd::Failed);
    planner.apply_report(other, Duration::ZERO, &worker_report(vec![], vec![failed]));

    let batch = planner.take_batch(BATCH);

    let (_, progress) = batch.jobs.first().expect("the job has a failed run");
    assert_eq!(progress.placements, placed().placements);
}

/// Crashes the worker of a task twice while nothing else runs on it; returns whether the second crash
/// is left to the decision of a successor. With `others`, another worker crashes at the same time.
fn undecided_after_two_crashes(others: bool) -> bool {
    let mut planner = planner(1);
    planner.add_job(7, spec(vec![step(1)]), None, false);
    let mut at = 10;
    for id in ["w1", "w2"] {
        let key = add_claimed(&mut planner, id);
        plan_at(&mut planner, at);
        let batch = planner.take_batch(BATCH);
        planner.batch_saved(&batch);
        for (task, run, key) in plan_at(&mut planner, at + 1) {
            planner.start_reply(key, task, run, StartReply::Started);
        }
        planner.start_reply(key, task(7, 0, 0), planner_run(id), StartReply::Started);
        planner.worker_ended(key);
        at += 5000;
    }
    if others {
        let key = add_claimed(&mut planner, "w3");
        planner.worker_ended(key);
    }
    let batch = planner.take_batch(BATCH);
    let saved = batch.jobs.iter().find(|(id, _)| *id == 7);
    saved.is_some_and(|(_, progress)| !progress.undecided.is_empty())
}

/// Returns the number of the run that a test starts on a worker.
fn planner_run(worker: &str) -> RunId {
    if worker == "w1" { 1 } else { 2 }
}

/// Guards against a successor that fails the job of a task for a crash that other workers shared: it
/// does not know of the other crashes.
#[test]
fn only_a_sole_crash_is_left_to_a_successor() {
    assert!(undecided_after_two_crashes(false));
    assert!(!undecided_after_two_crashes(true));
}
