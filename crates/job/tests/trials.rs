//! Trials: starts of suspects alone on a worker. Their number is limited, and none may wait without
//! end behind others.

mod crash_sim;
mod support;

use std::time::Duration;

use job::CrashRecord;
use job::JobStatus;
use job::Progress;
use job::RunEnd;
use job::TaskKey;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use crash_sim::MAX_STARTS;
use support::task;

/// Creates a pool with one job, whose only task crashes its workers.
fn with_crashing_task(workers: usize) -> CrashSim {
    let mut sim = CrashSim::new(workers);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);
    sim
}

/// Creates the progress of a job in which two crashes count against each of the first `count` tasks.
fn crashed_twice(count: u32) -> Progress {
    let mut progress = Progress::default();
    for index in 0..count {
        let record = CrashRecord {
            runs: [1, 2].into(),
            ..CrashRecord::default()
        };
        progress.crashes.insert((0, 0, index), record);
    }
    progress
}

/// Runs until the task is active, crashes its worker, and runs until the record of the crash is
/// saved.
fn crash_worker_of(sim: &mut CrashSim, task: TaskKey) {
    let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task).is_some());
    assert!(started, "{task} is not started");
    sim.run(Duration::from_millis(100));
    let machine = sim.machine_of(task).expect("a machine");
    let crashes = sim.stored_crashes(task);
    sim.crash(machine);
    let saved = sim.run_until(FAILURE_LIMIT, |sim| sim.stored_crashes(task) > crashes);
    assert!(saved, "the crash is not saved");
}

/// Submits urgent jobs for a time: five tasks a second that crash their workers, and 120 tasks of a
/// second each that do not. `jobs` is the number of jobs submitted so far.
fn submit_urgent(sim: &mut CrashSim, jobs: &mut u64, time: Duration) {
    let end = sim.now + time;
    while sim.now < end {
        sim.submit_tasks(*jobs + 1, 1, 800);
        sim.crashers.insert(task(*jobs + 1, 0, 0), CRASH_DELAY);
        sim.submit_tasks(*jobs + 2, 24, 1000);
        *jobs += 2;
        sim.run(Duration::from_millis(200));
    }
}

/// Guards against a trial that waits behind one for which no usable worker is large enough,
/// while all workers are idle.
#[test]
fn a_trial_that_fits_no_usable_worker_does_not_hold_up_others() {
    let (large, small) = (task(1, 0, 0), task(2, 0, 0));
    let mut sim = CrashSim::new(3);
    sim.resize(0, 8);
    let mut step = support::step(1);
    step.need = support::resources(6000, 1000);
    let mut large_job = support::spec(vec![step]);
    large_job.queue.slack = Duration::from_mins(5);
    sim.submit(1, large_job);
    crash_worker_of(&mut sim, large);
    sim.run(Duration::from_secs(4));
    sim.resize(0, 8);
    crash_worker_of(&mut sim, large);
    // The worker starts again with four cores.
    sim.run(Duration::from_secs(4));
    let mut small_job = support::spec(vec![support::step(1)]);
    small_job.queue.slack = Duration::from_mins(10);
    sim.submit(2, small_job);
    for _ in 0..2 {
        crash_worker_of(&mut sim, small);
    }

    sim.run(FAILURE_LIMIT);

    assert_eq!(sim.start_count(large), 2);
    assert_eq!(sim.start_count(small), 3);
    assert_eq!(sim.status(2), Some(JobStatus::Completed));
}

/// Guards against trials of one step that wait for the same worker, one after the other.
#[test]
fn trials_of_a_step_wait_for_different_workers() {
    let mut sim = CrashSim::new(36);
    sim.submit_tasks(1, 2, 800);
    for _ in 0..2 {
        crash_worker_of(&mut sim, task(1, 0, 0));
    }
    assert_eq!(sim.crash_count(task(1, 0, 1)), 2);
    sim.submit_tasks(2, 160, 60_000);

    sim.run(Duration::from_millis(1300));

    assert_eq!(sim.planner.load().reserved_workers, 2);
}

/// Guards against a trial that never comes, of a task with low priority: urgent tasks that crash
/// their workers keep arriving, and their trials take every worker that becomes idle.
#[test]
fn a_trial_gets_its_turn_while_more_urgent_ones_keep_arriving() {
    let sound = task(1, 0, 0);
    let mut sim = CrashSim::new(60);
    let mut step = support::step(1);
    step.estimate = Duration::from_secs(20);
    let mut late = support::spec(vec![step]);
    late.queue.stretch = 0.0;
    late.queue.priority = 2;
    sim.submit(1, late);
    crash_worker_of(&mut sim, sound);
    let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(sound).is_some());
    assert!(started, "the task is not started again");
    let mut jobs = 1;
    submit_urgent(&mut sim, &mut jobs, Duration::from_secs(5));
    if let Some(machine) = sim.machine_of(sound) {
        sim.crash(machine);
    }
    let starts = sim.start_count(sound);
    assert!((2..MAX_STARTS).contains(&sim.crash_count(sound)));

    submit_urgent(&mut sim, &mut jobs, FAILURE_LIMIT);

    let trials = sim.start_count(sound) - starts;
    assert!(trials > 0, "no trial in {FAILURE_LIMIT:?}");
}

/// Guards against a trial that waits for the end of another task's long trial, while all other
/// workers are idle.
#[test]
fn a_long_trial_does_not_hold_up_others() {
    let (long, short) = (task(1, 0, 0), task(2, 0, 0));
    let mut sim = CrashSim::new(4);
    sim.submit_tasks(1, 1, 300_000);
    for _ in 0..2 {
        crash_worker_of(&mut sim, long);
    }
    let tried = sim.run_until(FAILURE_LIMIT, |sim| sim.start_count(long) == 3);
    assert!(tried, "the first trial does not start");
    sim.submit_tasks(2, 1, 1000);
    for _ in 0..2 {
        crash_worker_of(&mut sim, short);
    }

    sim.run(FAILURE_LIMIT);

    assert_eq!(sim.start_count(short), 3);
    assert_eq!(sim.status(2), Some(JobStatus::Completed));
}

/// Guards against a worker that takes no tasks after a change of owners, as long as a suspect runs
/// there, though the suspect is not alone.
#[test]
fn an_adopted_run_beside_another_is_no_trial() {
    let (suspect, other) = (task(1, 0, 0), task(1, 0, 1));
    let mut planner = support::planner(2);
    let key = support::add(&mut planner, "w1");
    let progress = crashed_twice(1);
    planner.add_job(
        1,
        support::spec(vec![support::step(2)]),
        Some(&progress),
        true,
    );
    let runs = vec![support::running(suspect, 3), support::running(other, 1)];
    planner.apply_report(key, Duration::ZERO, &support::worker_report(runs, vec![]));
    planner.add_job(2, support::spec(vec![support::step(1)]), None, false);

    let starts = support::plan_at(&mut planner, 10);

    assert_eq!(planner.suspect_count(), 1);
    assert_eq!(starts.len(), 1, "two of four cores are free");
}

/// Guards against gangs that keep most of the pool from other work: each of them reserved a worker
/// for each of its suspects.
#[test]
fn gangs_with_suspects_share_the_limit_on_trials() {
    let mut planner = support::planner(1);
    for nth in 0..24 {
        support::add_claimed(&mut planner, &format!("w{nth}"));
    }
    planner.add_job(1, support::spec(vec![support::step(96)]), None, false);
    support::plan_at(&mut planner, 10);
    let progress = crashed_twice(2);
    let mut gang = support::step(4);
    gang.gang = true;
    for id in 2..8 {
        planner.add_job(
            id,
            support::spec(vec![gang.clone()]),
            Some(&progress),
            false,
        );
    }
    support::plan_at(&mut planner, 20);
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);

    support::plan_at(&mut planner, 30);

    assert_eq!(planner.suspect_count(), 12);
    assert_eq!(planner.load().reserved_workers, 2);
}

/// Guards against a gang that waits without end for an idle worker for one of its members.
#[test]
fn a_gang_with_a_suspect_starts_though_no_worker_becomes_idle() {
    let member = task(2, 0, 0);
    let mut sim = CrashSim::new(2);
    let mut step = support::step(2);
    step.worker_limit = 1;
    step.estimate = Duration::from_mins(5);
    sim.submit(1, support::spec(vec![step.clone()]));
    sim.run(Duration::from_millis(100));
    step.gang = true;
    step.estimate = Duration::from_secs(1);
    sim.submit(2, support::spec(vec![step]));
    for _ in 0..2 {
        crash_worker_of(&mut sim, member);
    }

    sim.run(FAILURE_LIMIT);

    assert_eq!(sim.start_count(member), 3);
    assert_eq!(sim.status(2), Some(JobStatus::Completed));
}

/// Guards against a verdict on a trial that is put off because another task crashes its first worker
/// at the same time, though that task has become a suspect by the time of the verdict.
#[test]
fn crashes_of_another_crashing_task_do_not_put_off_the_verdict() {
    let (tried, other) = (task(1, 0, 0), task(2, 0, 0));
    let mut sim = with_crashing_task(12);
    let in_trial = sim.run_until(FAILURE_LIMIT, |sim| sim.start_count(tried) == 3);
    assert!(in_trial, "no trial");
    sim.submit_tasks(2, 1, 800);
    sim.crashers.insert(other, CRASH_DELAY);

    sim.run(FAILURE_LIMIT);

    assert_eq!(sim.start_count(tried), 3);
    assert_eq!(sim.status(1), Some(JobStatus::Failed));
    assert_eq!(sim.status(2), Some(JobStatus::Failed));
}

/// Guards against a trial that waits behind all trials of a wide step, though it has waited as long.
#[test]
fn steps_take_turns_with_their_trials() {
    let mut planner = support::planner(1);
    let key = support::add_claimed(&mut planner, "w1");
    let mut wide = support::spec(vec![support::step(8)]);
    wide.queue.slack = Duration::from_mins(1);
    planner.add_job(1, wide, Some(&crashed_twice(8)), false);
    let late = support::deferrable(support::step(1));
    planner.add_job(2, late, Some(&crashed_twice(1)), false);
    let mut tried = Vec::new();
    let mut ended = Vec::new();
    for second in 0..5 {
        // The intent to start the next trial is recorded and saved.
        support::plan_at(&mut planner, 10 + 1000 * second);
        let batch = planner.take_batch(10);
        planner.batch_saved(&batch);
        for (task, run, _) in support::plan_at(&mut planner, 20 + 1000 * second) {
            tried.push(task.step.job);
            let number = ended.len() as u64 + 1;
            ended.push(support::ended(number, task, run, RunEnd::Done));
        }
        planner.advance(Duration::from_millis(520 + 1000 * second));
        let report = support::worker_report(vec![], ended.clone());
        planner.apply_report(key, Duration::from_millis(510 + 1000 * second), &report);
    }

    assert_eq!(tried, [1, 1, 1, 2, 1]);
}

/// Creates a pool in which each worker runs a task that lasts, and one job of a task of twenty seconds.
fn beside_lasting_tasks() -> CrashSim {
    let mut sim = CrashSim::new(6);
    let mut lasting = support::step(6);
    lasting.long_running = true;
    lasting.worker_limit = 1;
    lasting.estimate = Duration::from_mins(10);
    sim.submit(1, support::spec(vec![lasting]));
    sim.run(Duration::from_secs(8));
    sim.submit_tasks(2, 1, 20_000);
    sim
}

/// Guards against more starts than are allowed of a task that crashes its workers, where each worker
/// runs a task that lasts. The other tasks do not fail.
#[test]
fn a_task_that_crashes_workers_fails_beside_tasks_that_last() {
    let crasher = task(2, 0, 0);
    let mut sim = beside_lasting_tasks();
    sim.crashers.insert(crasher, CRASH_DELAY);

    sim.run(Duration::from_mins(2));

    assert_eq!(sim.status(2), Some(JobStatus::Failed));
    assert!(sim.start_count(crasher) <= MAX_STARTS);
    assert_ne!(sim.status(1), Some(JobStatus::Failed));
}
