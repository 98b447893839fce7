//! Tasks that crash the workers they start on. A crash counts against all tasks on the worker; it
//! is certain if the worker had confirmed the run and no other worker crashed at the time. After
//! two certain crashes, or three of any kind, the next start of a task is a trial: alone on a
//! worker. The job fails if the worker of a trial crashes, too, and in any case after five crashes.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;
use job::TaskKey;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use crash_sim::MAX_STARTS;
use support::task;

/// Guards against a task that is started again and again, though each start crashes a worker.
#[test]
fn a_task_that_crashes_its_workers_fails() {
    let mut sim = CrashSim::new(12);
    sim.submit_tasks(1, 2, 800);
    sim.crashers
        .insert(task(1, 0, 0), Duration::from_millis(10));
    for id in 2..10 {
        sim.submit_tasks(id, 2, 900);
    }

    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Failed)
    });

    let starts = sim.start_count(task(1, 0, 0));
    assert!(starts <= MAX_STARTS, "{starts} starts");
    assert!(failed, "job status: {:?}", sim.status(1));
    for id in 2..10 {
        assert_eq!(sim.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Creates a nearly full pool, with three jobs for each worker. The first task of each job in
/// `crashing` crashes its workers.
fn busy_pool(workers: usize, crashing: &[u64]) -> CrashSim {
    let mut sim = CrashSim::new(workers);
    sim.submit_load(crashing);
    sim
}

/// Guards against failing jobs whose tasks only shared workers with tasks that crash them. They
/// start again, some of them on a worker that another task crashes next.
#[test]
fn tasks_that_share_workers_with_crashing_tasks_complete() {
    let crashing = [3, 8, 13, 18, 23];
    let mut sim = busy_pool(12, &crashing);

    let all_ended = sim.run_until(Duration::from_secs(90), |sim| {
        (1..=36).all(|id| {
            sim.status(id)
                .is_some_and(|state| state != JobStatus::Pending && state != JobStatus::Active)
        })
    });

    assert!(all_ended, "some job has not ended");
    sim.check_starts(&crashing);
    sim.check_load(&crashing);
}

/// Guards against failing jobs after a rack lost power. After three times in a row, as many
/// crashes count against its tasks as against a task that causes them.
#[test]
fn a_lost_rack_fails_no_job() {
    let mut sim = busy_pool(12, &[]);

    sim.crash_repeatedly();

    sim.check_load(&[]);
}

/// Guards against failing a long task because all workers crash at the same time, repeatedly
/// while it runs. After the second time it runs alone on a worker, and still does not fail.
#[test]
fn a_task_whose_workers_all_crash_together_completes() {
    let mut sim = CrashSim::new(6);
    sim.submit_tasks(1, 1, 2000);
    for _ in 0..4 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task(1, 0, 0)).is_some());
        assert!(started, "the task never starts again");
        sim.run(Duration::from_millis(300));
        for machine in 0..6 {
            sim.crash(machine);
        }
    }

    let done = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "job status: {:?}", sim.status(1));
    assert_eq!(sim.crash_count(task(1, 0, 0)), 4);
}

/// Guards against counting a crash for a worker that is only unreachable until its lease has
/// expired.
#[test]
fn an_unreachable_worker_counts_as_no_crash() {
    let mut sim = CrashSim::new(4);
    sim.submit_tasks(1, 1, 1500);
    for _ in 0..6 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task(1, 0, 0)).is_some());
        assert!(started, "the task never starts again");
        let machine = sim.machine_of(task(1, 0, 0)).expect("a machine");
        // The worker stops its runs when its lease expires.
        sim.incarnation(machine).cut_off = true;
        sim.incarnation(machine).running.clear();
        sim.run(Duration::from_secs(5));
        sim.incarnation(machine).cut_off = false;
        sim.run(Duration::from_millis(20));
        assert_eq!(sim.planner.suspect_count(), 0);
    }

    let done = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "job status: {:?}", sim.status(1));
}

/// Guards against counting a crash for a drained worker that leaves while it has runs.
#[test]
fn drained_workers_that_leave_count_as_no_crash() {
    let mut sim = CrashSim::new(4);
    sim.submit_tasks(1, 1, 1500);
    for _ in 0..5 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task(1, 0, 0)).is_some());
        assert!(started, "the task never starts again");
        let machine = sim.machine_of(task(1, 0, 0)).expect("a machine");
        sim.drain(machine);
        sim.run(Duration::from_millis(100));
        sim.crash(machine);
        sim.run(Duration::from_millis(700));
        assert_eq!(sim.planner.suspect_count(), 0);
    }

    let done = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "job status: {:?}", sim.status(1));
}

/// Guards against a count of crashes that starts from zero with each owner.
#[test]
fn the_count_of_crashes_survives_a_change_of_owners() {
    let mut sim = CrashSim::new(8);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is detected after 0.5 s and saved 0.03 s later.
    sim.change_owners(task(1, 0, 0), Duration::from_millis(560));

    assert_eq!(sim.status(1), Some(JobStatus::Failed));
    sim.check_starts(&[1]);
}

/// Guards against a trial that no owner counts, since the owner died before it detected the crash
/// of the worker. The intent to start is saved before the start is sent, so the successor finds the
/// trial in the saved progress.
#[test]
fn the_intent_of_a_trial_is_counted_by_a_successor() {
    let mut sim = CrashSim::new(8);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);
    let crashed_twice = sim.run_until(FAILURE_LIMIT, |sim| sim.crash_count(task(1, 0, 0)) == 2);
    assert!(crashed_twice, "the task never starts again");
    sim.run(Duration::from_millis(600));

    for crashes in 3..10 {
        let crashed_or_failed = sim.run_until(FAILURE_LIMIT, |sim| {
            sim.crash_count(task(1, 0, 0)) >= crashes || sim.status(1) == Some(JobStatus::Failed)
        });
        assert!(crashed_or_failed, "the task never starts again");
        // The owner has not detected the crash yet.
        sim.take_over();
    }

    assert_eq!(sim.status(1), Some(JobStatus::Failed));
    sim.check_starts(&[1]);
}

/// Guards against a trial that starts before the intent to start is saved: each owner in a series
/// would start one. Other tasks start meanwhile.
#[test]
fn trials_wait_while_the_store_is_unavailable() {
    let mut sim = CrashSim::new(8);
    sim.submit_tasks(1, 1, 800);
    sim.crashers.insert(task(1, 0, 0), CRASH_DELAY);
    sim.run_until(FAILURE_LIMIT, |sim| sim.crash_count(task(1, 0, 0)) == 2);
    sim.store_down = true;
    sim.submit_tasks(2, 4, 500);

    sim.run(Duration::from_secs(9));

    assert_eq!(sim.start_count(task(1, 0, 0)), 2);
    assert_eq!(sim.start_count(task(2, 0, 3)), 1);
    sim.store_down = false;
    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Failed)
    });
    assert!(failed, "job status: {:?}", sim.status(1));
}

/// Guards against relying on the time since the start: a task may crash its worker late.
#[test]
fn a_task_that_crashes_its_workers_late_fails() {
    let mut sim = busy_pool(12, &[]);
    sim.crashers
        .insert(task(5, 0, 1), Duration::from_millis(900));

    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(5) == Some(JobStatus::Failed)
    });

    assert!(failed, "job status: {:?}", sim.status(5));
    let starts = sim.start_count(task(5, 0, 1));
    assert!(starts <= MAX_STARTS, "{starts} starts");
    sim.run(Duration::from_secs(30));
    for id in (1..=36).filter(|id| *id != 5) {
        assert_eq!(sim.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against trials on workers with other runs.
#[test]
fn a_trial_runs_alone() {
    let crashing = [3];
    let mut sim = busy_pool(8, &crashing);
    let mut trials = 0;

    for _ in 0..3000 {
        sim.run(crash_sim::TICK);
        for machine in 0..8 {
            let worker = sim.incarnation(machine);
            let crashed = worker.crashed_at.is_some();
            let runs: Vec<TaskKey> = worker.running.keys().copied().collect();
            let in_trial = runs.iter().any(|task| sim.crash_count(*task) >= 2);
            if in_trial && !crashed {
                trials += 1;
                assert_eq!(runs.len(), 1, "{runs:?}");
            }
        }
    }

    assert!(trials > 0, "no trial was seen");
    sim.check_starts(&crashing);
}

/// Guards against more starts of a gang member that crashes its workers than of a single task.
#[test]
fn a_gang_with_a_crashing_member_fails() {
    let mut sim = CrashSim::new(8);
    let mut step = support::step(12);
    step.gang = true;
    step.estimate = Duration::from_millis(900);
    sim.submit(1, support::spec(vec![step]));
    sim.crashers.insert(task(1, 0, 7), CRASH_DELAY);
    for id in 2..8 {
        sim.submit_tasks(id, 2, 1100);
    }

    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Failed)
    });

    assert!(failed, "job status: {:?}", sim.status(1));
    let starts = sim.start_count(task(1, 0, 7));
    assert!(starts <= MAX_STARTS, "{starts} starts");
    sim.run(Duration::from_secs(10));
    for id in 2..8 {
        assert_eq!(sim.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against failing a gang whose workers crash for other reasons. Members with two counted
/// crashes each start alone on a worker.
#[test]
fn a_gang_whose_workers_crash_for_other_reasons_completes() {
    let mut sim = CrashSim::new(8);
    let mut step = support::step(12);
    step.gang = true;
    step.estimate = Duration::from_millis(900);
    sim.submit(1, support::spec(vec![step]));
    for member in [0, 0, 11] {
        let member = task(1, 0, member);
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(member).is_some());
        assert!(started, "the task never starts again");
        sim.run(Duration::from_millis(200));
        let machine = sim.machine_of(member).expect("a machine");
        sim.crash(machine);
        sim.run(Duration::from_millis(100));
    }

    let done = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "job status: {:?}", sim.status(1));
}

/// Guards against a long-running task that may crash workers without limit, since the number of
/// its failed runs is not limited.
#[test]
fn a_long_running_task_that_crashes_its_workers_fails() {
    let mut sim = CrashSim::new(8);
    let mut step = support::step(2);
    step.long_running = true;
    sim.submit(1, support::spec(vec![step]));
    sim.crashers.insert(task(1, 0, 1), CRASH_DELAY);

    let failed = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Failed)
    });

    assert!(failed, "job status: {:?}", sim.status(1));
    let starts = sim.start_count(task(1, 0, 1));
    assert!(starts <= MAX_STARTS, "{starts} starts");
}

/// Guards against a gang that never starts. After all of its workers had crashed twice for other
/// reasons, it waited for as many idle workers as it has members, which a busy pool never has.
#[test]
fn a_wide_gang_completes_after_mass_crashes() {
    let mut sim = CrashSim::new(8);
    let mut step = support::step(20);
    step.gang = true;
    step.estimate = Duration::from_secs(3);
    sim.submit(1, support::spec(vec![step]));
    for _ in 0..3 {
        let started = sim.run_until(FAILURE_LIMIT, |sim| sim.machine_of(task(1, 0, 0)).is_some());
        assert!(started, "the task never starts again");
        sim.run(Duration::from_millis(300));
        for machine in 0..8 {
            sim.crash(machine);
        }
        sim.run(Duration::from_secs(4));
    }
    for id in 2..30 {
        sim.submit_tasks(id, 2, 900);
    }

    let done = sim.run_until(FAILURE_LIMIT, |sim| {
        sim.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "job status: {:?}", sim.status(1));
}

/// Number of uncertain crashes in the test; after these, the next start has to be a trial.
const UNCERTAIN_CRASHES: usize = 4;

/// Guards against failing a job for crashes of workers on which its task was not alone.
#[test]
fn a_task_does_not_fail_before_a_trial() {
    let mut planner = support::planner(1);
    planner.add_job(7, support::spec(vec![support::step(1)]), None, false);
    for nth in 0..UNCERTAIN_CRASHES {
        let now = 2_000 * (nth as u64 + 1);
        support::add_claimed(&mut planner, &format!("w{nth}"));
        // The start intent is saved before the start is sent.
        let mut starts = support::plan_at(&mut planner, now);
        let batch = planner.take_batch(10);
        planner.batch_saved(&batch);
        starts.extend(support::plan_at(&mut planner, now + 10));
        let (task, run, key) = starts[0];
        planner.start_reply(key, task, run, job::StartReply::Unknown);
        planner.worker_ended(key);
    }

    assert_eq!(
        planner.suspect_count(),
        1,
        "the next start has to be a trial"
    );
    assert_eq!(planner.job_status(7), Some(JobStatus::Pending));
}
