//! The order in which changes are saved, and the job status shown before they are saved.

mod support;

use std::time::Duration;

use job::JobStatus;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StartReply;
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
