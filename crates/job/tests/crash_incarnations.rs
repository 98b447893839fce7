//! Tasks that crash their workers, which start again under the same id 0.1 s later, so that the
//! list of machines never shows the crash.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use support::task;

/// Creates a nearly full pool, with three jobs for each worker. The first task of each job in
/// `crashing` crashes its workers.
fn busy_pool(workers: usize, crashing: &[u64]) -> CrashSim {
    let mut sim = CrashSim::with_same_ids(workers);
    sim.submit_load(crashing);
    sim
}

/// Guards against crashes that are not detected because the worker has already restarted.
#[test]
fn a_task_that_crashes_workers_which_keep_their_ids_fails() {
    let crashing = [3];
    let mut sim = busy_pool(12, &crashing);

    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(3) == Some(JobStatus::Failed)
    });

    assert!(failed, "job status: {:?}", sim.status(3));
    sim.check_starts(&crashing);
}

/// Guards against too many crashes being counted against tasks that share workers with those
/// that crash them.
#[test]
fn other_tasks_on_workers_which_keep_their_ids_complete() {
    let crashing = [3, 8, 13, 18, 23];
    let mut sim = busy_pool(12, &crashing);

    sim.run(Duration::from_secs(90));

    sim.check_starts(&crashing);
    sim.check_load(&crashing);
}

/// Guards against failed jobs after many workers restart at the same time.
#[test]
fn a_restart_of_many_workers_fails_no_job() {
    let mut sim = busy_pool(12, &[]);

    sim.crash_repeatedly();

    sim.check_load(&[]);
}

/// Guards against a count of crashes that starts from zero with a successor, because the
/// worker's row names another incarnation.
#[test]
fn crashes_of_incarnations_unknown_to_a_successor_are_counted() {
    let mut sim = CrashSim::with_same_ids(8);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is detected after 0.1 s and saved 0.03 s later.
    sim.change_owners(task(1, 0, 0), Duration::from_millis(200));

    assert_eq!(sim.status(1), Some(JobStatus::Failed));
    sim.check_starts(&[1]);
}
