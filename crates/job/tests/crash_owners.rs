//! Tasks that crash their workers while owners change or cannot save progress.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::MOST_STARTS;
use support::task;

/// `crashing` jobs with one task each that crashes its worker, and twice as many ordinary jobs.
fn with_crashing_tasks(workers: usize, crashing: u64) -> CrashSim {
    let mut field = CrashSim::new(workers);
    for id in 1..=crashing {
        field.submit_tasks(id, 1, 800);
        field.bad.insert(task(id, 0, 0), CRASH_DELAY);
    }
    for id in crashing + 1..=3 * crashing {
        field.submit_tasks(id, 2, 900);
    }
    field
}

fn jobs_ended(field: &CrashSim, jobs: u64) -> bool {
    let is_final = |shown| shown != JobStatus::Pending && shown != JobStatus::Active;
    (1..=jobs).all(|id| field.status(id).is_some_and(is_final))
}

/// Guards against a second start of a suspect before its first crash is saved.
#[test]
fn a_task_does_not_start_again_before_its_first_crash_is_saved() {
    let mut field = with_crashing_tasks(8, 1);
    field.store_down = true;

    field.run(Duration::from_secs(10));
    let starts_without_store = field.start_count(task(1, 0, 0));
    field.store_down = false;
    field.run(Duration::from_secs(30));

    assert_eq!(starts_without_store, 1);
    assert_eq!(field.status(1), Some(JobStatus::Failed));
}

/// Guards against several starts of a suspect by one owner in a series of owners that cannot
/// save progress.
#[test]
fn owners_without_the_store_start_a_suspect_once_each() {
    let mut field = with_crashing_tasks(8, 1);
    field.store_down = true;

    for _ in 0..3 {
        field.run(Duration::from_millis(1800));
        field.take_over();
    }

    let starts = field.start_count(task(1, 0, 0));
    assert!(starts <= 3, "{starts} starts by 3 owners");
}

/// Guards against suspects that start four times on shared workers because many workers crash
/// at the same time, so that no crash counts as certain.
#[test]
fn a_task_is_tried_alone_after_three_crashes_of_any_kind() {
    let mut field = with_crashing_tasks(30, 12);

    let all_ended = field.run_until(Duration::from_mins(2), |field| jobs_ended(field, 36));

    assert!(all_ended, "some job has not ended");
    for id in 1..=12 {
        let starts = field.start_count(task(id, 0, 0));
        assert!(starts < MOST_STARTS, "job {id}: {starts} starts");
        assert_eq!(field.status(id), Some(JobStatus::Failed), "job {id}");
    }
    for id in 13..=36 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against one start more than allowed after an owner died before it saved the first
/// crash.
#[test]
fn an_unsaved_first_crash_does_not_exceed_the_start_limit() {
    let mut field = with_crashing_tasks(30, 12);
    field.run(Duration::from_millis(300));
    field.take_over();

    let all_ended = field.run_until(Duration::from_mins(2), |field| jobs_ended(field, 36));

    assert!(all_ended, "some job has not ended");
    for id in 1..=12 {
        let starts = field.start_count(task(id, 0, 0));
        assert!(starts <= MOST_STARTS, "job {id}: {starts} starts");
    }
    for id in 13..=36 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}
