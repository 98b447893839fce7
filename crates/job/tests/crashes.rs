//! Tasks that take down the workers they start on.

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

/// Guards against a task that is started again without end, though its workers go down.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
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

/// A pool that is nearly full, with bad tasks among sound ones.
fn busy(workers: usize, bad: &[u64]) -> CrashSim {
    let mut field = CrashSim::new(workers);
    field.submit_load(bad);
    field
}

/// Of the runs on a worker that crashes only one is to blame. Their neighbours start
/// again, some of them beside the next bad task; counted alike, they would be given up.
#[test]
fn neighbours_of_several_bad_tasks_are_completed() {
    let bad = [3, 8, 13, 18, 23];
    let mut field = busy(12, &bad);

    let ended = field.run_until(Duration::from_secs(90), |field| {
        (1..=36).all(|id| {
            field
                .status(id)
                .is_some_and(|shown| shown != JobStatus::Pending && shown != JobStatus::Active)
        })
    });

    assert!(ended, "some job has not ended");
    field.check_starts(&bad);
    field.check_load(&bad);
}

/// A rack that loses power takes sound tasks with it, however often. Three times in a
/// row, its tasks had met as many crashes as a bad one.
#[test]
fn a_lost_rack_is_no_reason_to_give_tasks_up() {
    let mut field = busy(12, &[]);

    field.crash_repeatedly();

    field.check_load(&[]);
}

/// All workers go down at once, again and again, as often as one long task is at work.
/// It is tried alone after the second time, and still not to blame.
#[test]
fn a_task_that_only_outlives_its_workers_is_completed() {
    let mut field = CrashSim::new(6);
    field.submit_tasks(1, 1, 2000);
    for _ in 0..4 {
        let at_work = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(at_work, "it waits for good");
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

/// A worker that is only cut off, or whose lease runs out, has not crashed.
#[test]
fn a_cut_link_counts_as_no_crash() {
    let mut field = CrashSim::new(4);
    field.submit_tasks(1, 1, 1500);
    for _ in 0..6 {
        let at_work = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(at_work, "it waits for good");
        let place = field.place_of(task(1, 0, 0)).expect("a place");
        // What runs there is stopped when the lease is over.
        field.incarnation(place).cut_off = true;
        field.incarnation(place).running.clear();
        field.run(Duration::from_secs(5));
        field.incarnation(place).cut_off = false;
        field.run(Duration::from_millis(20));
        assert_eq!(field.planner.suspects(), 0);
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// Workers that leave as they had announced take their runs with them.
#[test]
fn workers_that_leave_count_as_no_crash() {
    let mut field = CrashSim::new(4);
    field.submit_tasks(1, 1, 1500);
    for _ in 0..5 {
        let at_work = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(at_work, "it waits for good");
        let place = field.place_of(task(1, 0, 0)).expect("a place");
        field.drain(place);
        field.run(Duration::from_millis(100));
        field.crash(place);
        field.run(Duration::from_millis(700));
        assert_eq!(field.planner.suspects(), 0);
    }

    let done = field.run_until(FAILURE_LIMIT, |field| {
        field.status(1) == Some(JobStatus::Completed)
    });

    assert!(done, "shown as {:?}", field.status(1));
}

/// A count in the owner's memory alone began anew with each owner.
#[test]
fn the_count_of_crashes_outlives_the_owner() {
    let mut field = CrashSim::new(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);

    // The crash is known after 0.5 s, and saved 0.03 s later.
    field.change_owners(task(1, 0, 0), Duration::from_millis(560));

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}

/// An owner that dies while a trial is under way has counted it before: its successor
/// does not know the run, and need not.
#[test]
fn a_trial_is_counted_before_it_is_sent() {
    let mut field = CrashSim::new(8);
    field.submit_tasks(1, 1, 800);
    field.bad.insert(task(1, 0, 0), CRASH_DELAY);
    let twice = field.run_until(FAILURE_LIMIT, |field| field.crash_count(task(1, 0, 0)) == 2);
    assert!(twice, "it waits for good");
    field.run(Duration::from_millis(600));

    for crashes in 3..10 {
        let next = field.run_until(FAILURE_LIMIT, |field| {
            field.crash_count(task(1, 0, 0)) >= crashes
                || field.status(1) == Some(JobStatus::Failed)
        });
        assert!(next, "it waits for good");
        // Nobody has learnt of the crash yet.
        field.take_over();
    }

    assert_eq!(field.status(1), Some(JobStatus::Failed));
    field.check_starts(&[1]);
}

/// Without a record, no trial: a series of owners would each begin one. Sound work goes
/// on meanwhile.
#[test]
fn trials_wait_while_the_store_is_away() {
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

/// A task may take its worker down only after a while; the time since its start tells
/// nothing then.
#[test]
fn a_task_that_crashes_its_workers_late_is_given_up() {
    let mut field = busy(12, &[]);
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

/// A suspect takes nothing but its worker with it.
#[test]
fn a_trial_runs_alone() {
    let bad = [3];
    let mut field = busy(8, &bad);
    let mut trials = 0;

    for _ in 0..3000 {
        field.run(crash_sim::TICK);
        for place in 0..8 {
            let life = field.incarnation(place);
            let down = life.crashed_at.is_some();
            let runs: Vec<TaskKey> = life.running.keys().copied().collect();
            let tried = runs.iter().any(|task| field.crash_count(*task) >= 2);
            if tried && !down {
                trials += 1;
                assert_eq!(runs.len(), 1, "{runs:?}");
            }
        }
    }

    assert!(trials > 0, "no trial was seen");
    field.check_starts(&bad);
}

/// The member of a gang that takes its worker down gives the gang up, as soon as a
/// single task would be.
#[test]
fn a_gang_with_a_bad_member_is_given_up() {
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

/// A gang whose workers go down for reasons of their own is completed, with the members
/// that met two crashes alone on a worker each.
#[test]
fn a_sound_gang_outlives_its_workers() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(12);
    step.gang = true;
    step.estimate = Duration::from_millis(900);
    field.submit(1, support::spec(vec![step]));
    for member in [0, 0, 11] {
        let member = task(1, 0, member);
        let at_work = field.run_until(FAILURE_LIMIT, |field| field.place_of(member).is_some());
        assert!(at_work, "it waits for good");
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

/// Tasks that last may fail as often as they like, but not take the pool down.
#[test]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
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

/// A gang whose workers had all gone down twice, for reasons of their own, waited for as
/// many idle workers as it had members, and in a pool that is in use there are never so
/// many.
#[test]
fn a_wide_gang_outlives_mass_crashes() {
    let mut field = CrashSim::new(8);
    let mut step = support::step(20);
    step.gang = true;
    step.estimate = Duration::from_secs(3);
    field.submit(1, support::spec(vec![step]));
    for _ in 0..3 {
        let at_work = field.run_until(FAILURE_LIMIT, |field| {
            field.place_of(task(1, 0, 0)).is_some()
        });
        assert!(at_work, "it waits for good");
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

/// Four crashes of any kind, with nothing proven: the next start is to be alone.
const SHARED_CRASHES: usize = 4;

/// Guards against a sound task that is given up for crashes of workers that it shared.
#[test]
fn a_task_is_not_given_up_before_it_was_alone() {
    let mut planner = support::planner(1);
    planner.take_job(7, support::spec(vec![support::step(1)]), None, false);
    for nth in 0..SHARED_CRASHES {
        let now = 2_000 * (nth as u64 + 1);
        support::add_claimed(&mut planner, &format!("w{nth}"));
        // The start is recorded before it is sent.
        let mut starts = support::plan_at(&mut planner, now);
        let batch = planner.take_batch(10);
        planner.batch_saved(&batch);
        starts.extend(support::plan_at(&mut planner, now + 10));
        let (task, run, key) = starts[0];
        planner.start_reply(key, task, run, job::StartReply::Unknown);
        planner.worker_over(key);
    }

    assert_eq!(planner.suspects(), 1, "it is to be tried alone");
    assert_eq!(planner.shown(7), Some(JobStatus::Pending));
}
