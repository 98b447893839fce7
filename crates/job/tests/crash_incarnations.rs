//! Tasks that crash workers which start again under the same id 0.1 s later, so that no list
//! of machines ever shows them as missing.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use support::task;

/// A nearly full pool in which the jobs `crashing` have tasks that crash their workers.
fn busy_pool(workers: usize, crashing: &[u64]) -> CrashSim {
    let mut field = CrashSim::with_same_ids(workers);
    field.submit_load(crashing);
    field
}

/// Guards against crashes that are not noticed because the worker has already restarted.
#[test]
fn a_task_that_crashes_workers_which_keep_their_ids_fails() {
    let crashing = [3];
    let mut field = busy_pool(12, &crashing);

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(3) == Some(JobStatus::Failed)
    });

    assert!(failed, "shown as {:?}", field.status(3));
    field.check_starts(&crashing);
}

/// Guards against too many crashes being counted against tasks that share workers with those
/// that crash them.
#[test]
fn other_tasks_on_workers_which_keep_their_ids_complete() {
    let crashing = [3, 8, 13, 18, 23];
    let mut field = busy_pool(12, &crashing);

    field.run(Duration::from_secs(90));

    field.check_starts(&crashing);
    field.check_load(&crashing);
}

/// Guards against failed jobs after many workers restart at the same time.
#[test]
fn a_restart_of_many_workers_fails_no_job() {
    let mut field = busy_pool(12, &[]);

    field.crash_repeatedly();

    field.check_load(&[]);
}

/// Guards against a count of crashes that starts from zero with a successor, because the
/// worker's row names another incarnation.
#[test]
fn crashes_of_incarnations_unknown_to_a_successor_are_counted() {
    let mut field = CrashSim::with_same_ids(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is noticed after 0.1 s and saved 0.03 s later.
    field.change_owners(task(1, 0, 0), Duration::from_millis(200));

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}
