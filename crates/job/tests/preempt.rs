//! Gangs that take the room of less urgent tasks which save their progress.

mod support;

use std::time::Duration;

use job::JobSpec;
use job::Order;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StepSpec;
use job::TaskKey;
use job::WorkerKey;
use support::add_claimed;
use support::deferrable;
use support::ended;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker_report;

const LOOKUP: u64 = 7;
const GANG: u64 = 8;

fn saving(count: u32) -> StepSpec {
    StepSpec {
        checkpointed: true,
        ..step(count)
    }
}

fn gang(count: u32) -> JobSpec {
    let mut gang = spec(vec![StepSpec {
        gang: true,
        ..step(count)
    }]);
    gang.queue.priority = 1;
    gang
}

/// A worker of four cores that runs what it was given.
fn busy_worker(planner: &mut Planner, id: &str, millis: u64) -> WorkerKey {
    let key = add_claimed(planner, id);
    for (task, run, worker) in plan_at(planner, millis) {
        planner.start_reply(worker, task, run, StartReply::Started);
    }
    key
}

/// Plans and gives the starts and the stops.
fn orders_at(planner: &mut Planner, millis: u64) -> (usize, Vec<(TaskKey, RunId)>) {
    planner.advance(Duration::from_millis(millis));
    planner.plan();
    let mut starts = 0;
    let mut stops = Vec::new();
    for order in planner.take_orders() {
        match order {
            Order::Start { .. } => starts += 1,
            Order::Stop {
                task, run, reason, ..
            } => {
                let gang = reason.gang().expect("preempted for a gang");
                assert!(gang.job >= GANG, "{gang:?}");
                stops.push((task, run));
            }
            Order::Drop { .. } | Order::Begin { .. } => {}
        }
    }
    (starts, stops)
}

/// Symptom: on a pool with a fifth of its processors idle, gangs waited for
/// seconds and were late. Sequence: tasks of a lookup fill the workers; a gang
/// comes that needs several seats at the same time; workers are kept free for it
/// and stand half empty until their last task has ended. Cause: lookups, which
/// can wait and go on where they stopped, were never asked to make room.
#[test]
fn a_gang_takes_the_room_of_tasks_that_can_go_on_later() {
    let mut planner = planner(1);
    planner.take_job(LOOKUP, deferrable(saving(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(3), None, false);
    let (early, stops) = orders_at(&mut planner, 20);
    let (again, more) = orders_at(&mut planner, 30);
    let mut ends = Vec::new();
    for (number, &(task, run)) in (1..).zip(&stops) {
        let mut end = ended(number, task, run, RunEnd::Stopped);
        end.checkpoint = "saved".to_owned();
        ends.push(end);
    }
    let left = (0..4).map(|at| task(LOOKUP, 0, at));
    let left = left.filter(|task| stops.iter().all(|(stopped, _)| stopped != task));
    let left = left.map(|task| running(task, 1)).collect();
    planner.take_listing(key, Duration::from_millis(300), &worker_report(left, ends));

    let late = plan_at(&mut planner, 310);

    assert_eq!(stops.len(), 3, "no more than needed");
    assert_eq!(
        (early, again, more.len()),
        (0, 0, 0),
        "room is not free yet"
    );
    assert_eq!(late.len(), 3);
    assert!(late.iter().all(|(task, ..)| task.step.job == GANG));
}

#[test]
fn a_preempted_task_goes_on_from_its_checkpoint() {
    let mut planner = planner(1);
    planner.take_job(LOOKUP, deferrable(saving(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(4), None, false);
    let (_, stops) = orders_at(&mut planner, 20);
    let mut ends = Vec::new();
    for (number, &(task, run)) in (1..).zip(&stops) {
        let mut end = ended(number, task, run, RunEnd::Stopped);
        end.checkpoint = format!("saved-{}", task.index);
        ends.push(end);
    }
    planner.take_listing(
        key,
        Duration::from_millis(300),
        &worker_report(vec![], ends),
    );
    orders_at(&mut planner, 310);
    add_claimed(&mut planner, "w2");
    planner.advance(Duration::from_millis(320));
    planner.plan();

    let resumed = planner.take_orders();

    assert_eq!(resumed.len(), 4);
    for order in resumed {
        let Order::Start {
            task, checkpoint, ..
        } = order
        else {
            panic!("not a start: {order:?}");
        };
        assert_eq!(checkpoint, format!("saved-{}", task.index));
    }
}

#[test]
fn tasks_that_would_lose_their_work_are_not_preempted() {
    let mut planner = planner(1);
    planner.take_job(LOOKUP, deferrable(step(4)), None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(3), None, false);

    let (_, stops) = orders_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

#[test]
fn tasks_as_urgent_as_the_gang_are_not_preempted() {
    let mut planner = planner(1);
    let mut equal = deferrable(saving(4));
    equal.queue.priority = 1;
    planner.take_job(LOOKUP, equal, None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(3), None, false);

    let (_, stops) = orders_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

/// A lookup that could not be in time after a pause keeps its room.
#[test]
fn tasks_without_time_to_spare_are_not_preempted() {
    let mut planner = planner(1);
    let mut tight = deferrable(saving(4));
    tight.queue.slack = Duration::ZERO;
    planner.take_job(LOOKUP, tight, None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(3), None, false);

    let (_, stops) = orders_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

#[test]
fn nothing_is_stopped_for_a_gang_that_would_not_fit_all_the_same() {
    let mut planner = planner(1);
    planner.take_job(LOOKUP, deferrable(saving(4)), None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.take_job(GANG, gang(5), None, false);
    add_claimed(&mut planner, "w2");
    let mut other = deferrable(step(4));
    other.queue.priority = 0;
    planner.take_job(LOOKUP + 2, other, None, false);

    let (_, stops) = orders_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

/// Symptom: lookups came to nothing while gangs kept coming. Sequence: a task
/// is preempted, resumes, is preempted again, and so on. Cause: each resumption
/// costs time to restore, and nothing bounded how often it was paid.
#[test]
fn a_task_is_preempted_twice_at_most() {
    let mut planner = planner(1);
    planner.take_job(LOOKUP, deferrable(saving(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    let mut preempted = Vec::new();
    let mut number = 0;
    for round in 0..3_u64 {
        let gang_id = GANG + round;
        let begin = 1_000 * (round + 1);
        planner.take_job(gang_id, gang(4), None, false);
        let (_, stops) = orders_at(&mut planner, begin);
        preempted.push(stops.len());
        let mut ends = Vec::new();
        for &(task, run) in &stops {
            number += 1;
            ends.push(ended(number, task, run, RunEnd::Stopped));
        }
        planner.lease_sent(key);
        planner.take_listing(
            key,
            Duration::from_millis(begin + 300),
            &worker_report(vec![], ends),
        );
        let starts = plan_at(&mut planner, begin + 310);
        let mut ends = Vec::new();
        for (task, run, worker) in starts {
            planner.start_reply(worker, task, run, StartReply::Started);
            number += 1;
            ends.push(ended(number, task, run, RunEnd::Done));
        }
        planner.take_listing(
            key,
            Duration::from_millis(begin + 600),
            &worker_report(vec![], ends),
        );
        for (task, run, worker) in plan_at(&mut planner, begin + 610) {
            planner.start_reply(worker, task, run, StartReply::Started);
        }
    }

    assert_eq!(preempted, [4, 4, 0]);
}
