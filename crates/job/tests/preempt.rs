//! Gangs that preempt less urgent tasks with checkpoints.

mod support;

use std::time::Duration;

use job::Command;
use job::JobSpec;
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

/// Job of less urgent tasks, which are preempted.
const LOOKUP: u64 = 7;

/// First gang; later ones have higher ids.
const GANG: u64 = 8;

fn checkpointed_step(count: u32) -> StepSpec {
    StepSpec {
        checkpointed: true,
        ..step(count)
    }
}

/// Creates a job of one gang, which is more urgent (priority 1) than that of [`deferrable`] (2).
fn gang(count: u32) -> JobSpec {
    let mut gang = spec(vec![StepSpec {
        gang: true,
        ..step(count)
    }]);
    gang.queue.priority = 1;
    gang
}

/// Adds a worker of four cores, plans at a time in milliseconds, and confirms the starts.
fn busy_worker(planner: &mut Planner, id: &str, millis: u64) -> WorkerKey {
    let key = add_claimed(planner, id);
    for (task, run, worker) in plan_at(planner, millis) {
        planner.start_reply(worker, task, run, StartReply::Started);
    }
    key
}

/// Plans, and returns the number of starts and the runs to be stopped.
fn commands_at(planner: &mut Planner, millis: u64) -> (usize, Vec<(TaskKey, RunId)>) {
    planner.advance(Duration::from_millis(millis));
    planner.plan();
    let mut starts = 0;
    let mut stops = Vec::new();
    for command in planner.take_commands() {
        match command {
            Command::Start { .. } => starts += 1,
            Command::Stop {
                task, run, reason, ..
            } => {
                let gang = reason.gang().expect("the run was preempted for a gang");
                assert!(gang.job >= GANG, "{gang:?}");
                stops.push((task, run));
            }
            Command::Disconnect { .. } | Command::NewIncarnation { .. } => {}
        }
    }
    (starts, stops)
}

/// Guards against gangs that are late while a fifth of the pool's processors are idle. Less urgent
/// tasks fill the workers, and a gang needs several slots at the same time. Workers reserved for
/// it stayed half empty until their last task had ended, because the tasks were not preempted,
/// though they can resume from checkpoints.
#[test]
fn a_gang_preempts_tasks_that_can_resume_later() {
    let mut planner = planner(1);
    planner.add_job(LOOKUP, deferrable(checkpointed_step(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(3), None, false);
    let (early, stops) = commands_at(&mut planner, 20);
    let (again, more) = commands_at(&mut planner, 30);
    let mut ends = Vec::new();
    for (number, &(task, run)) in (1..).zip(&stops) {
        let mut end = ended(number, task, run, RunEnd::Stopped);
        end.checkpoint = "saved".to_owned();
        ends.push(end);
    }
    let remaining = (0..4).map(|at| task(LOOKUP, 0, at));
    let remaining = remaining.filter(|task| stops.iter().all(|(stopped, _)| stopped != task));
    let remaining = remaining.map(|task| running(task, 1)).collect();
    planner.apply_report(
        key,
        Duration::from_millis(300),
        &worker_report(remaining, ends),
    );

    let late = plan_at(&mut planner, 310);

    assert_eq!(stops.len(), 3, "only as many as needed are preempted");
    assert_eq!(
        (early, again, more.len()),
        (0, 0, 0),
        "the resources are not free yet"
    );
    assert_eq!(late.len(), 3);
    assert!(late.iter().all(|(task, ..)| task.step.job == GANG));
}

#[test]
fn a_preempted_task_resumes_from_its_checkpoint() {
    let mut planner = planner(1);
    planner.add_job(LOOKUP, deferrable(checkpointed_step(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(4), None, false);
    let (_, stops) = commands_at(&mut planner, 20);
    let mut ends = Vec::new();
    for (number, &(task, run)) in (1..).zip(&stops) {
        let mut end = ended(number, task, run, RunEnd::Stopped);
        end.checkpoint = format!("saved-{}", task.index);
        ends.push(end);
    }
    planner.apply_report(
        key,
        Duration::from_millis(300),
        &worker_report(vec![], ends),
    );
    commands_at(&mut planner, 310);
    add_claimed(&mut planner, "w2");
    planner.advance(Duration::from_millis(320));
    planner.plan();

    let resumed = planner.take_commands();

    assert_eq!(resumed.len(), 4);
    for command in resumed {
        let Command::Start {
            task, checkpoint, ..
        } = command
        else {
            panic!("expected a start: {command:?}");
        };
        assert_eq!(checkpoint, format!("saved-{}", task.index));
    }
}

#[test]
fn tasks_that_would_lose_their_work_are_not_preempted() {
    let mut planner = planner(1);
    planner.add_job(LOOKUP, deferrable(step(4)), None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(3), None, false);

    let (_, stops) = commands_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

#[test]
fn tasks_as_urgent_as_the_gang_are_not_preempted() {
    let mut planner = planner(1);
    let mut equal = deferrable(checkpointed_step(4));
    equal.queue.priority = 1;
    planner.add_job(LOOKUP, equal, None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(3), None, false);

    let (_, stops) = commands_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

/// Tasks whose job could not be in time after a preemption keep their resources.
#[test]
fn tasks_without_time_to_spare_are_not_preempted() {
    let mut planner = planner(1);
    let mut tight = deferrable(checkpointed_step(4));
    tight.queue.slack = Duration::ZERO;
    planner.add_job(LOOKUP, tight, None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(3), None, false);

    let (_, stops) = commands_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

#[test]
fn nothing_is_preempted_for_a_gang_that_would_still_not_fit() {
    let mut planner = planner(1);
    planner.add_job(LOOKUP, deferrable(checkpointed_step(4)), None, false);
    busy_worker(&mut planner, "w1", 10);
    planner.add_job(GANG, gang(5), None, false);
    add_claimed(&mut planner, "w2");
    let mut other = deferrable(step(4));
    other.queue.priority = 0;
    planner.add_job(LOOKUP + 2, other, None, false);

    let (_, stops) = commands_at(&mut planner, 20);

    assert!(stops.is_empty(), "{stops:?}");
}

/// Guards against tasks that make no progress while more gangs are accepted: a task is
/// preempted, resumes, is preempted again, and so on, and each resumption costs the time to
/// restore its checkpoint.
#[test]
fn a_task_is_preempted_twice_at_most() {
    let mut planner = planner(1);
    planner.add_job(LOOKUP, deferrable(checkpointed_step(4)), None, false);
    let key = busy_worker(&mut planner, "w1", 10);
    let mut preempted = Vec::new();
    let mut number = 0;
    for round in 0..3_u64 {
        let gang_id = GANG + round;
        let begin = 1_000 * (round + 1);
        planner.add_job(gang_id, gang(4), None, false);
        let (_, stops) = commands_at(&mut planner, begin);
        preempted.push(stops.len());
        let mut ends = Vec::new();
        for &(task, run) in &stops {
            number += 1;
            ends.push(ended(number, task, run, RunEnd::Stopped));
        }
        planner.extend_lease(key);
        planner.apply_report(
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
        planner.apply_report(
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
