//! Orders of events in which crashes are not counted, or starts that never took place are, and
//! trials that wait behind others. Starts and crashes are counted on the workers' side.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;
use job::Schedule;
use job::TaskKey;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::DETECTION_DELAY;
use crash_sim::FAILURE_LIMIT;
use crash_sim::MAX_STARTS;
use crash_sim::TICK;
use support::task;

/// Creates a pool with one job, whose only task crashes its workers.
fn with_crashing_task(workers: usize) -> CrashSim {
    let mut sim = CrashSim::new(workers);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);
    sim
}

/// Creates a pool with a job of one task, and more tasks of 20 s each than fit, which start
/// after it.
fn full_pool(workers: usize) -> CrashSim {
    let mut sim = CrashSim::new(workers);
    let mut first = support::spec(vec![support::step(1)]);
    first.steps[0].estimate = Duration::from_secs(2);
    first.queue.slack = Duration::from_mins(10);
    sim.submit(1, first);
    for id in 2..=2 * workers as u64 {
        let mut step = support::step(4);
        step.estimate = Duration::from_secs(20);
        sim.submit(id, support::deferrable(step));
    }
    sim
}

/// Runs until the task is active, crashes three other workers, then the task's own, and runs until
/// the record of the crash is saved; the crash is uncertain.
fn crash_with_others(sim: &mut CrashSim, task: TaskKey) {
    let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task).is_some());
    assert!(started, "{task} is not started");
    sim.run(Duration::from_millis(100));
    let machine = sim.machine_of(task).expect("a machine");
    let uncertain = |sim: &CrashSim| {
        let record = sim.stored_record(task);
        record.map_or(0, |record| record.uncertain.len())
    };
    let before = uncertain(sim);
    let others = sim.machines_before_crash();
    let others = others.into_iter().filter(|other| *other != machine);
    for other in others.take(3) {
        sim.crash(other);
    }
    sim.run(Duration::from_millis(100));
    sim.crash(machine);
    let saved = sim.run_until(FAILURE_LIMIT, |sim| uncertain(sim) > before);
    assert!(saved, "no uncertain crash is saved");
}

/// Runs until one more worker has crashed under the task, or until its job has failed.
fn await_crash(sim: &mut CrashSim, task: TaskKey) {
    let crashes = sim.crash_count(task);
    let started = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.crash_count(task) > crashes || sim.status(task.step.job) == Some(JobStatus::Failed)
    });
    assert!(started, "{task} is not started again");
}

/// Guards against a failed job of a sound task after three crashes: two owners die between the
/// save of a start intent and the start, each beside a crash of another worker.
#[test]
fn starts_that_were_never_sent_do_not_fail_a_job() {
    let sound = task(1, 0, 0);
    let mut sim = full_pool(30);
    for _ in 0..3 {
        crash_with_others(&mut sim, sound);
        sim.run(Duration::from_secs(1));
    }

    for machine in [28, 29] {
        let former = sim.stored_intent(sound);
        let ahead = sim.run_until(FAILURE_LIMIT, |sim| {
            let intent = sim.stored_intent(sound);
            intent.is_some() && intent != former
        });
        assert!(ahead, "no start intent is saved");
        assert_eq!(sim.start_count(sound), 3);
        sim.crash(machine);
        sim.take_over();
    }
    sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert_eq!(sim.crash_count(sound), 3);
    assert_eq!(sim.status(1), Some(JobStatus::Completed));
}

/// Guards against a crash that a successor counts for a start that a stopping owner never sent: its
/// intent is saved when the owner is asked to stop.
#[test]
fn a_planned_release_withdraws_start_intents() {
    let sound = task(1, 0, 0);
    let mut sim = full_pool(30);
    crash_with_others(&mut sim, sound);
    let ahead = sim.run_until(FAILURE_LIMIT, |sim| sim.stored_intent(sound).is_some());
    assert!(ahead, "no start intent is saved");

    sim.planner.begin_release();
    sim.run(Duration::from_millis(100));

    assert_eq!(sim.stored_intent(sound), None);
    assert_eq!(sim.start_count(sound), 1);
}

/// Guards against a start that is not counted: its worker crashes, the owner changes, and the
/// crash is found only after recovery has ended by the expiry of the leases.
#[test]
fn crashes_found_after_recovery_count() {
    let crashing = task(1, 0, 0);
    let mut sim = with_crashing_task(12);
    sim.run_until(FAILURE_LIMIT, |sim| sim.stored_crashes(crashing) > 0);
    sim.detection_delay = Duration::from_secs(20);

    for _ in 0..MAX_STARTS {
        await_crash(&mut sim, crashing);
        // The placement of the run is saved; its crash is not detected yet.
        sim.run(Duration::from_millis(100));
        sim.take_over();
    }

    let starts = sim.start_count(crashing);
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Replaces two owners in a row, each `delay` after the worker of the task has crashed under its
/// first run, and then crashes three of its workers at the same time as others. Returns the number
/// of its starts.
fn starts_after_two_lost_owners(delay: Duration) -> usize {
    let crashing = task(1, 0, 0);
    let mut sim = full_pool(30);
    for _ in 0..2 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(crashing).is_some());
        assert!(started, "the task is not started");
        let machine = sim.machine_of(crashing).expect("a machine");
        sim.crash(machine);
        sim.run(delay);
        sim.take_over();
    }
    for _ in 0..3 {
        crash_with_others(&mut sim, crashing);
    }
    sim.run(FAILURE_LIMIT);
    sim.start_count(crashing)
}

/// Guards against a sixth start: two owners in a row die before they have detected the crash of the
/// task's first run under them, and the later crashes are uncertain.
#[test]
fn first_crashes_lost_by_two_owners_do_not_exceed_the_start_limit() {
    let starts = starts_after_two_lost_owners(Duration::from_millis(100));

    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Guards against a sixth start: two owners in a row die before they have saved where the task's
/// first run under them was placed, and the later crashes are uncertain.
#[test]
fn first_starts_lost_by_two_owners_do_not_exceed_the_start_limit() {
    let starts = starts_after_two_lost_owners(Duration::ZERO);

    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Guards against a sixth start: one owner dies before it has saved the first crash, and each of
/// the next ones between the save of a crash and the decision on the trial.
#[test]
fn a_decision_lost_by_each_owner_does_not_exceed_the_start_limit() {
    let crashing = task(1, 0, 0);
    let mut sim = with_crashing_task(12);
    await_crash(&mut sim, crashing);
    sim.take_over();

    for _ in 0..MAX_STARTS {
        let crashes = sim.stored_crashes(crashing);
        await_crash(&mut sim, crashing);
        sim.run_until(FAILURE_LIMIT, |sim| {
            sim.stored_crashes(crashing) > crashes || sim.status(1) == Some(JobStatus::Failed)
        });
        sim.take_over();
    }
    sim.run(FAILURE_LIMIT);

    let starts = sim.start_count(crashing);
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert_eq!(sim.status(1), Some(JobStatus::Failed));
}

/// Guards against lost crash records of a repeated job: a round without any other progress is
/// not open when a successor reads the records.
#[test]
fn crash_records_of_a_later_round_survive_a_change_of_owners() {
    let mut sim = CrashSim::new(12);
    let mut spec = support::spec(vec![support::step(1)]);
    spec.schedule = Some(Schedule {
        rounds: 2,
        first: Duration::from_secs(10),
        interval: Duration::from_secs(3),
    });
    sim.submit(1, spec);
    let mut crashing = task(1, 0, 0);
    crashing.step.round = 1;
    sim.crashers.insert(crashing, CRASH_DELAY);

    for crash in 0..=MAX_STARTS {
        await_crash(&mut sim, crashing);
        sim.run_until(Duration::from_secs(1), |sim| {
            sim.stored_crashes(crashing) > 0
        });
        assert!(
            sim.stored_crashes(crashing) > 0 || sim.status(1) == Some(JobStatus::Failed),
            "crash {crash} is not saved"
        );
        sim.take_over();
    }

    let starts = sim.start_count(crashing);
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Guards against a crash that a successor does not find: the worker's row is removed with the first
/// 60 unsaved jobs, and the owner dies before the crash record is saved with the next ones.
#[test]
fn a_crash_is_recorded_no_later_than_the_row_of_its_worker_is_removed() {
    let crashing = task(1000, 0, 0);
    let mut sim = CrashSim::new(12);
    sim.submit_tasks(1000, 1, 800);
    sim.crashers.insert(crashing, CRASH_DELAY);
    let mut canceled = support::spec(vec![support::step(1)]);
    canceled.canceled = true;
    let mut jobs = 0;

    for _ in 0..=MAX_STARTS {
        await_crash(&mut sim, crashing);
        // The crash is detected in the next tick.
        sim.run(DETECTION_DELAY.saturating_sub(TICK));
        for _ in 0..80 {
            jobs += 1;
            sim.submit(jobs, canceled.clone());
        }
        let removed = sim.run_until(FAILURE_LIMIT, CrashSim::rows_removed);
        assert!(removed, "the worker's row is not removed");
        sim.take_over();
    }

    let starts = sim.start_count(crashing);
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Crashes the worker of a sound task's trial and an idle one at the same time. With `take_over`, the
/// owner dies between the save of the crash and the verdict. Returns the status of the job.
fn sound_trial_beside_another_crash(take_over: bool) -> Option<JobStatus> {
    let sound = task(1, 0, 0);
    let mut sim = CrashSim::new(12);
    sim.submit_tasks(1, 1, 2000);
    for crashes in 1..=3 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(sound).is_some());
        assert!(started, "start {crashes} does not take place");
        sim.run(Duration::from_millis(100));
        let machine = sim.machine_of(sound).expect("a machine");
        if crashes == 3 {
            let mut others = sim.machines_before_crash().into_iter();
            let idle = others.rfind(|other| *other != machine);
            sim.crash(idle.expect("an idle worker"));
        }
        sim.crash(machine);
        let saved = sim.run_until(FAILURE_LIMIT, |sim| sim.stored_crashes(sound) == crashes);
        assert!(saved, "crash {crashes} is not saved");
    }
    if take_over {
        sim.take_over();
    }
    sim.run(FAILURE_LIMIT);
    sim.status(1)
}

/// Guards against a failed job of a sound task whose trial was on one of two workers that crashed at
/// the same time.
#[test]
fn a_trial_beside_another_crash_does_not_fail_a_job() {
    let status = sound_trial_beside_another_crash(false);

    assert_eq!(status, Some(JobStatus::Completed));
}

/// Guards against a failed job of a sound task whose trial was on one of two workers that crashed at
/// the same time: the owner dies before the verdict, and the successor does not know of the other
/// crash.
#[test]
fn a_successor_does_not_fail_a_job_for_a_trial_beside_another_crash() {
    let status = sound_trial_beside_another_crash(true);

    assert_eq!(status, Some(JobStatus::Completed));
}

/// Guards against a failed job of a sound task after three crashes: two owners die between the save of
/// a start intent and the start, and its worker, which has not crashed, answers no calls.
#[test]
fn workers_that_are_cut_off_do_not_fail_a_job() {
    let sound = task(1, 0, 0);
    let mut sim = full_pool(30);
    for _ in 0..3 {
        crash_with_others(&mut sim, sound);
        sim.run(Duration::from_secs(1));
    }

    for _ in 0..2 {
        let former = sim.stored_intent(sound);
        let ahead = sim.run_until(FAILURE_LIMIT, |sim| {
            let intent = sim.stored_intent(sound);
            intent.is_some() && intent != former
        });
        assert!(ahead, "no start intent is saved");
        assert_eq!(sim.start_count(sound), 3);
        let machine = sim.stored_machine(sound).expect("a placement");
        sim.incarnation(machine).cut_off = true;
        sim.take_over();
    }
    sim.run(Duration::from_mins(1));

    assert_eq!(sim.crash_count(sound), 3);
    assert_eq!(sim.status(1), Some(JobStatus::Completed));
}
