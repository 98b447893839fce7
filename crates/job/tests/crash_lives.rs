//! Tasks that take down workers which start again under their id, 0.1 s later: no list of
//! machines ever misses them.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use support::task;

/// A pool that is nearly full, with bad tasks among sound ones.
fn busy(workers: usize, bad: &[u64]) -> CrashSim {
    let mut field = CrashSim::with_same_ids(workers);
    field.submit_load(bad);
    field
}

/// Guards against crashes that nobody notices since the worker is there again.
#[test]
fn a_task_that_crashes_workers_with_lasting_ids_is_given_up() {
    let bad = [3];
    let mut field = busy(12, &bad);

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(3) == Some(JobStatus::Failed)
    });

    assert!(failed, "shown as {:?}", field.status(3));
    field.check_starts(&bad);
}

/// Guards against neighbours of bad tasks that are counted for more than their crashes.
#[test]
fn neighbours_on_workers_with_lasting_ids_are_completed() {
    let bad = [3, 8, 13, 18, 23];
    let mut field = busy(12, &bad);

    field.run(Duration::from_secs(90));

    field.check_starts(&bad);
    field.check_load(&bad);
}

/// Guards against sound tasks that are given up since many workers start again at once.
#[test]
fn many_workers_that_start_again_are_no_reason_to_give_tasks_up() {
    let mut field = busy(12, &[]);

    field.crash_repeatedly();

    field.check_load(&[]);
}

/// Guards against a count of crashes that a successor begins anew, since the row of the
/// worker tells another life.
#[test]
fn crashes_of_lives_that_a_successor_never_met_are_counted() {
    let mut field = CrashSim::with_same_ids(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is known after 0.1 s, and saved 0.03 s later.
    field.change_owners(task(1, 0, 0), Duration::from_millis(200));

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}
