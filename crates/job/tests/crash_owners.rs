//! Tasks that crash their workers while owners change or cannot save progress. A suspect is a task
//! that had a run on a worker that crashed.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::MAX_STARTS;
use support::task;

/// Submits `crashing` jobs of one task that crashes its workers, and twice as many jobs whose
/// tasks do not.
fn with_crashing_tasks(workers: usize, crashing: u64) -> CrashSim {
    let mut sim = CrashSim::new(workers);
    for id in 1..=crashing {
        sim.submit_tasks(id, 1, 800);
        sim.crashers.insert(task(id, 0, 0), CRASH_DELAY);
    }
    for id in crashing + 1..=3 * crashing {
        sim.submit_tasks(id, 2, 900);
    }
    sim
}

/// Returns whether all of the jobs 1 to `jobs` have ended.
fn jobs_ended(sim: &CrashSim, jobs: u64) -> bool {
    let is_final = |job_status| job_status != JobStatus::Pending && job_status != JobStatus::Active;
    (1..=jobs).all(|id| sim.status(id).is_some_and(is_final))
}

/// Guards against a second start of a suspect before its first crash is saved.
#[test]
fn a_task_does_not_start_again_before_its_first_crash_is_saved() {
    let mut sim = with_crashing_tasks(8, 1);
    sim.store_down = true;

    sim.run(Duration::from_secs(10));
    let starts_without_store = sim.start_count(task(1, 0, 0));
    sim.store_down = false;
    sim.run(Duration::from_secs(30));

    assert_eq!(starts_without_store, 1);
    assert_eq!(sim.status(1), Some(JobStatus::Failed));
}

/// Guards against more than one start of a suspect by each of several owners that cannot save
/// progress.
#[test]
fn owners_without_the_store_start_a_suspect_once_each() {
    let mut sim = with_crashing_tasks(8, 1);
    sim.store_down = true;

    for _ in 0..3 {
        sim.run(Duration::from_millis(1800));
        sim.take_over();
    }

    let starts = sim.start_count(task(1, 0, 0));
    assert!(starts <= 3, "{starts} starts by 3 owners");
}

/// Guards against suspects that start four times on shared workers because many workers crash
/// at the same time, so that no crash counts as certain.
#[test]
fn a_task_is_tried_alone_after_three_crashes_of_any_kind() {
    let mut sim = with_crashing_tasks(30, 12);

    let all_ended = sim.run_until(Duration::from_mins(2), |sim| jobs_ended(sim, 36));

    assert!(all_ended, "some job has not ended");
    for id in 1..=12 {
        let starts = sim.start_count(task(id, 0, 0));
        assert!(starts < MAX_STARTS, "job {id}: {starts} starts");
        assert_eq!(sim.status(id), Some(JobStatus::Failed), "job {id}");
    }
    for id in 13..=36 {
        assert_eq!(sim.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against one start more than allowed if an owner dies before it has saved the first
/// crash, which its successor does not count.
#[test]
fn an_unsaved_first_crash_does_not_exceed_the_start_limit() {
    let mut sim = with_crashing_tasks(30, 12);
    sim.run(Duration::from_millis(300));
    sim.take_over();

    let all_ended = sim.run_until(Duration::from_mins(2), |sim| jobs_ended(sim, 36));

    assert!(all_ended, "some job has not ended");
    for id in 1..=12 {
        let starts = sim.start_count(task(id, 0, 0));
        assert!(starts <= MAX_STARTS, "job {id}: {starts} starts");
    }
    for id in 13..=36 {
        assert_eq!(sim.status(id), Some(JobStatus::Completed), "job {id}");
    }
}
