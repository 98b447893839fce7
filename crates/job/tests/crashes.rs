//! Tasks that crash the workers they start on.

mod crash_sim;
mod support;

use std::time::Duration;

use job::JobStatus;
use job::TaskKey;

use crash_sim::CRASH_DELAY;
use crash_sim::CrashSim;
use crash_sim::FAILURE_LIMIT;
use crash_sim::MOST_STARTS;
use support::task;

/// Guards against a task that is started again and again, though each start crashes a worker.
#[test]
fn a_task_that_crashes_its_workers_fails() {
    let mut field = CrashSim::new(12);
    field.submit_tasks(1, 2, 800);
    field.bad.insert(task(1, 0, 0), Duration::from_millis(10));
    for id in 2..10 {
        field.submit_tasks(id, 2, 900);
    }

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Failed)
    });

    let starts = field.start_count(task(1, 0, 0));
    assert!(starts <= MOST_STARTS, "{starts} starts");
    assert!(failed, "shown as {:?}", field.status(1));
    for id in 2..10 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// A nearly full pool in which the jobs `crashing` have tasks that crash their workers.
fn busy_pool(workers: usize, crashing: &[u64]) -> CrashSim {
    let mut field = CrashSim::new(workers);
    field.submit_load(crashing);
    field
}

/// Guards against failed jobs whose tasks only shared workers with those that crash them.
/// Such tasks start again, some of them on a worker that another such task crashes next.
#[test]
fn tasks_that_share_workers_with_crashing_tasks_complete() {
    let crashing = [3, 8, 13, 18, 23];
    let mut field = busy_pool(12, &crashing);

    let all_ended = field.run_until(Duration::from_secs(90), |field| {
        (1..=36).all(|id| {
            field
                .status(id)
                .is_some_and(|shown| shown != JobStatus::Pending && shown != JobStatus::Active)
        })
    });

    assert!(all_ended, "some job has not ended");
    field.check_starts(&crashing);
    field.check_load(&crashing);
}

/// Guards against failed jobs after a rack lost power. After three times in a row, its tasks
/// had met as many crashes as a task that causes them.
#[test]
fn a_lost_rack_fails_no_job() {
    let mut field = busy_pool(12, &[]);

    field.crash_repeatedly();

    field.check_load(&[]);
}

/// Guards against blaming a long task for crashes of all workers at once, each time while it
/// runs. After the second time it is tried alone, and still not blamed.
#[test]
fn a_task_whose_workers_all_crash_together_completes() {
    let mut field = CrashSim::new(6);
    field.submit_tasks(1, 1, 2000);
    for _ in 0..4 {
        let started = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(started, "the task never starts again");
        field.run(Duration::from_millis(300));
        for place in 0..6 {
            field.crash(place);
        }
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
    assert_eq!(field.crash_count(task(1, 0, 0)), 4);
}

/// Guards against counting a crash for a worker that is only unreachable and whose lease
/// expires.
#[test]
fn an_unreachable_worker_counts_as_no_crash() {
    let mut field = CrashSim::new(4);
    field.submit_tasks(1, 1, 1500);
    for _ in 0..6 {
        let started = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(started, "the task never starts again");
        let place = field.place_of(task(1, 0, 0)).expect("a place");
        // The worker stops its runs when its lease expires.
        field.incarnation(place).cut_off = true;
        field.incarnation(place).running.clear();
        field.run(Duration::from_secs(5));
        field.incarnation(place).cut_off = false;
        field.run(Duration::from_millis(20));
        assert_eq!(field.planner.suspect_count(), 0);
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// Guards against counting a crash for a drained worker that leaves while it has runs.
#[test]
fn drained_workers_that_leave_count_as_no_crash() {
    let mut field = CrashSim::new(4);
    field.submit_tasks(1, 1, 1500);
    for _ in 0..5 {
        let started = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(started, "the task never starts again");
        let place = field.place_of(task(1, 0, 0)).expect("a place");
        field.drain(place);
        field.run(Duration::from_millis(100));
        field.crash(place);
        field.run(Duration::from_millis(700));
        assert_eq!(field.planner.suspect_count(), 0);
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// Guards against a count of crashes that starts from zero with each owner.
#[test]
fn the_count_of_crashes_survives_a_change_of_owners() {
    let mut field = CrashSim::new(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is noticed after 0.5 s and saved 0.03 s later.
    field.change_owners(task(1, 0, 0), Duration::from_millis(560));

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}

/// Guards against a trial that no owner counts, since its owner died before it noticed the
/// crash. The start intent is saved before the start, so the successor needs no report of it.
#[test]
fn the_intent_of_a_trial_is_counted_by_a_successor() {
    let mut field = CrashSim::new(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);
    let crashed_twice =
        field.run_until(FAILURE_LIMIT, |field| field.crash_count(task(1, 0, 0)) == 2);
    assert!(crashed_twice, "the task never starts again");
    field.run(Duration::from_millis(600));

    for crashes in 3..10 {
        let crashed_or_failed = field.run_until(FAILURE_LIMIT, |field| {
            field.crash_count(task(1, 0, 0)) >= crashes
                || field.status(1) == Some(JobStatus::Failed)
        });
        assert!(crashed_or_failed, "the task never starts again");
        // The owner has not noticed the crash yet.
        field.take_over();
    }

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}

/// Guards against a trial that starts before its intent is saved: each owner in a series would
/// start one. Other tasks start meanwhile.
#[test]
fn trials_wait_while_the_store_is_unavailable() {
    let mut field = CrashSim::new(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);
    field.run_until(FAILURE_LIMIT, |field| field.crash_count(task(1, 0, 0)) == 2);
    field.store_down = true;
    field.submit_tasks(2, 4, 500);

    field.run(Duration::from_secs(9));

    assert_eq!(field.start_count(task(1, 0, 0)), 2);
    assert_eq!(field.start_count(task(2, 0, 3)), 1);
    field.store_down = false;
    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Failed)
    });
    assert!(failed, "shown as {:?}", field.status(1));
}

/// Guards against relying on the time since the start: a task may crash its worker late.
#[test]
fn a_task_that_crashes_its_workers_late_fails() {
    let mut field = busy_pool(12, &[]);
    field.bad.insert(task(5, 0, 1), Duration::from_millis(900));

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(5) == Some(JobStatus::Failed)
    });

    assert!(failed, "shown as {:?}", field.status(5));
    let starts = field.start_count(task(5, 0, 1));
    assert!(starts <= MOST_STARTS, "{starts} starts");
    field.run(Duration::from_secs(30));
    for id in (1..=36).filter(|id| *id != 5) {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against trials that share a worker with other runs.
#[test]
fn a_trial_runs_alone() {
    let crashing = [3];
    let mut field = busy_pool(8, &crashing);
    let mut trials = 0;

    for _ in 0..3000 {
        field.run(crash_sim::TICK);
        for place in 0..8 {
            let worker = field.incarnation(place);
            let crashed = worker.crashed_at.is_some();
            let runs: Vec<TaskKey> = worker.running.keys().copied().collect();
            let in_trial = runs.iter().any(|task| field.crash_count(*task) >= 2);
            if in_trial && !crashed {
                trials += 1;
                assert_eq!(runs.len(), 1, "{runs:?}");
            }
        }
    }

    assert!(trials > 0, "no trial was seen");
    field.check_starts(&crashing);
}

/// Guards against a gang whose crashing member is started more often than a single task would be.
#[test]
fn a_gang_with_a_crashing_member_fails() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(12);
    step.gang = true;
    step.estimate = Duration::from_millis(900);
    field.submit(1, support::spec(vec![step]));
    field.bad.insert(task(1, 0, 7), CRASH_DELAY);
    for id in 2..8 {
        field.submit_tasks(id, 2, 1100);
    }

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Failed)
    });

    assert!(failed, "shown as {:?}", field.status(1));
    let starts = field.start_count(task(1, 0, 7));
    assert!(starts <= MOST_STARTS, "{starts} starts");
    field.run(Duration::from_secs(10));
    for id in 2..8 {
        assert_eq!(field.status(id), Some(JobStatus::Completed), "job {id}");
    }
}

/// Guards against failing a gang whose workers crash for other reasons. Members that met two
/// crashes start alone on a worker each.
#[test]
fn a_gang_whose_workers_crash_for_other_reasons_completes() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(12);
    step.gang = true;
    step.estimate = Duration::from_millis(900);
    field.submit(1, support::spec(vec![step]));
    for member in [0, 0, 11] {
        let member = task(1, 0, member);
        let started = field.run_until(FAILURE_LIMIT, |field| field.place_of(member).is_some());
        assert!(started, "the task never starts again");
        field.run(Duration::from_millis(200));
        let place = field.place_of(member).expect("a place");
        field.crash(place);
        field.run(Duration::from_millis(100));
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// Guards against a lasting task that may crash workers without limit, since the number of its
/// failed runs is not limited.
#[test]
fn a_lasting_task_that_crashes_its_workers_fails() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(2);
    step.long_running = true;
    field.submit(1, support::spec(vec![step]));
    field.bad.insert(task(1, 0, 1), CRASH_DELAY);

    let failed = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Failed)
    });

    assert!(failed, "shown as {:?}", field.status(1));
    let starts = field.start_count(task(1, 0, 1));
    assert!(starts <= MOST_STARTS, "{starts} starts");
}

/// Guards against a gang that waits forever. After all of its workers had crashed twice for
/// other reasons, it waited for as many idle workers as it has members, which a busy pool
/// never has.
#[test]
fn a_wide_gang_completes_after_mass_crashes() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(20);
    step.gang = true;
    step.estimate = Duration::from_secs(3);
    field.submit(1, support::spec(vec![step]));
    for _ in 0..3 {
        let started = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(started, "the task never starts again");
        field.run(Duration::from_millis(300));
        for place in 0..8 {
            field.crash(place);
        }
        field.run(Duration::from_secs(4));
    }
    for id in 2..30 {
        field.submit_tasks(id, 2, 900);
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// Number of uncertain crashes after which the next start has to be a trial.
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
