//! Tasks that crash their workers while owners change or cannot save progress. A suspect is a task
//! that had a run on a worker that crashed.

mod crash_sim;
mod support;

use std::time::Duration;

use job::Finding;
use job::JobStatus;
use job::TaskKey;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::DETECTION_DELAY;
use crash_sim::FAILURE_LIMIT;
use crash_sim::MAX_STARTS;
use crash_sim::TICK;
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

/// Creates 30 workers, and tasks of 20 s for five sixths of their cores.
fn with_other_tasks() -> CrashSim {
    let mut sim = CrashSim::new(30);
    sim.submit_tasks(2, 100, 20_000);
    sim.run(Duration::from_millis(200));
    sim
}

/// Submits the job of the task, and runs until it is started. Returns its machine.
fn start_first(sim: &mut CrashSim, task: TaskKey) -> usize {
    sim.submit_tasks(task.step.job, 1, 800);
    sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task).is_some());
    sim.machine_of(task).expect("a machine")
}

/// Crashes three other workers, and then that of the task, whose crash is thus uncertain.
fn crash_beside_others(sim: &mut CrashSim, task: TaskKey) {
    let machine = sim.machine_of(task).expect("a machine");
    let others = sim.machines_before_crash().into_iter();
    for other in others.filter(|other| *other != machine).take(3) {
        sim.crash(other);
    }
    sim.run(Duration::from_millis(100));
    sim.crash(machine);
    sim.run(DETECTION_DELAY);
}

/// Crashes the worker of each start of a task beside others until a start is a trial. Returns the
/// number of its crashes until then.
fn crash_until_trial(sim: &mut CrashSim, task: TaskKey) -> usize {
    sim.planner.take_findings();
    loop {
        sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task).is_some());
        sim.run(TICK);
        let findings = sim.planner.take_findings();
        let mut findings = findings.into_iter();
        if findings.any(|suspect| suspect.finding == Finding::Tried) {
            return sim.crash_count(task);
        }
        crash_beside_others(sim, task);
    }
}

/// Replaces the owner before it has recorded the first start of a task, and whose crash is found
/// `detection` later. The next crashes are uncertain, and so is that of the first trial.
fn check_unrecorded_start(detection: Duration) {
    let crashing = task(1, 0, 0);
    let mut sim = with_other_tasks();
    let machine = start_first(&mut sim, crashing);
    sim.crash(machine);
    sim.detection_delay = detection;
    sim.take_over();
    sim.run_until(FAILURE_LIMIT, |sim| !sim.planner.recovering());
    sim.detection_delay = DETECTION_DELAY;

    crash_until_trial(&mut sim, crashing);
    crash_beside_others(&mut sim, crashing);
    sim.crashers.insert(crashing, CRASH_DELAY);
    sim.run(FAILURE_LIMIT);

    let starts = sim.start_count(crashing);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(sim.status(1), Some(JobStatus::Failed));
}

/// Guards against a sixth start: the worker of a start that is not recorded crashes, and this is found
/// during recovery.
#[test]
fn a_start_that_is_not_recorded_brings_the_trial_forward() {
    check_unrecorded_start(DETECTION_DELAY);
}

/// Guards against a sixth start: the crash of the worker is not found before recovery ends.
#[test]
fn a_silent_worker_brings_the_trial_forward() {
    check_unrecorded_start(Duration::from_secs(20));
}

/// Guards against trials of tasks of which each start is recorded, or none can have taken place.
#[test]
fn known_starts_do_not_bring_the_trial_forward() {
    let crashing = task(1, 0, 0);

    let mut no_crash = with_other_tasks();
    no_crash.submit_tasks(1, 1, 800);
    no_crash.take_over();
    let mut new_job = with_other_tasks();
    new_job.crash(29);
    new_job.take_over();
    new_job.run(Duration::from_secs(10));
    new_job.submit_tasks(1, 1, 800);
    let mut adopted = with_other_tasks();
    start_first(&mut adopted, crashing);
    adopted.crash(29);
    adopted.take_over();
    let mut recorded = with_other_tasks();
    start_first(&mut recorded, crashing);
    crash_beside_others(&mut recorded, crashing);
    recorded.run(Duration::from_millis(100));
    recorded.crash(29);
    recorded.take_over();

    for mut sim in [no_crash, new_job, adopted, recorded] {
        assert_eq!(crash_until_trial(&mut sim, crashing), 3);
    }
}
