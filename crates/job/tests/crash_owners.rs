//! Tasks that take down their workers while the owner changes, or cannot record what it
//! knows.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::MOST_STARTS;
use support::task;

/// Jobs of one task each, all of which take their workers down, beside sound ones.
fn many_bad(workers: usize, bad: u64) -> CrashSim {
    let mut field = CrashSim::new(workers);
    for id in 1..=bad {
        field.submit_tasks(id, 1, 800);
        field.bad.insert(task(id, 0, 0), CRASH_DELAY);
    }
    for id in bad + 1..=3 * bad {
        field.submit_tasks(id, 2, 900);
    }
    field
}

fn ended(field: &CrashSim, jobs: u64) -> bool {
    let over = |shown| shown != JobStatus::Pending && shown != JobStatus::Active;
    (1..=jobs).all(|id| field.status(id).is_some_and(over))
}

/// Guards against starts that rest on a crash which nobody but their owner knows of.
#[test]
fn a_task_does_not_start_again_before_its_first_crash_is_recorded() {
    let mut field = many_bad(8, 1);
    field.store_down = true;

    field.run(Duration::from_secs(10));
    let without = field.start_count(task(1, 0, 0));
    field.store_down = false;
    field.run(Duration::from_secs(30));

    assert_eq!(without, 1);
    assert_eq!(field.status(1), Some(JobStatus::Failed));
}

/// Guards against more than one start by each owner of a row of owners that can record nothing.
#[test]
fn owners_without_the_store_start_a_bad_task_once_each() {
    let mut field = many_bad(8, 1);
    field.store_down = true;

    for _ in 0..3 {
        field.run(Duration::from_millis(1800));
        field.take_over();
    }

    let starts = field.start_count(task(1, 0, 0));
    assert!(starts <= 3, "{starts} starts by 3 owners");
}

/// Guards against tasks that start four times beside others, since so many workers go down
/// that no crash counts as sure.
#[test]
fn a_task_is_tried_alone_after_three_crashes_of_any_kind() {
    let mut field = many_bad(30, 12);

    let all = field.run_until(Duration::from_mins(2), |field| ended(field, 36));

    assert!(all, "some job has not ended");
    for id in 1..=12 {
        let starts = field.start_count(task(id, 0, 0));
        assert!(starts < MOST_STARTS, "job {id}: {starts} starts");
        assert_eq!(field.status(id), Some(JobStatus::Failed), "job {id}");
    }
    for id in 13..=36 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against a start too many where an owner dies before it has recorded the first crash.
#[test]
fn an_owner_that_takes_the_first_crash_along_makes_for_no_start_too_many() {
    let mut field = many_bad(30, 12);
    field.run(Duration::from_millis(300));
    field.take_over();

    let all = field.run_until(Duration::from_mins(2), |field| ended(field, 36));

    assert!(all, "some job has not ended");
    for id in 1..=12 {
        let starts = field.start_count(task(id, 0, 0));
        assert!(starts <= MOST_STARTS, "job {id}: {starts} starts");
    }
    for id in 13..=36 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}
