//! The limit on the number of starts that an owner may send, which protects its network link.
//!
//! A burst of starts, such as those after a take-over, was sent without a limit over a slow link:
//! on a link of 2 Mbit/s (log line 373), 199,304 bytes of commands in a second, and answers
//! that took 0.9 s. Gang members ended because the others did not start in time, and ends were
//! reported seconds late.

mod support;

use std::time::Duration;

use job::Planner;
use job::StartReply;
use job::WorkerKey;
use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec;
use support::starts;
use support::step;

/// Guards against more starts than the link can carry.
#[test]
fn no_more_tasks_start_than_the_budget_allows() {
    let mut planner = planner(1);
    for worker in ["w1", "w2", "w3"] {
        add_claimed(&mut planner, worker);
    }
    planner.add_job(7, spec(vec![step(10)]), None, false);

    planner.set_start_budget(3);
    let first = plan_at(&mut planner, 1).len();
    planner.set_start_budget(0);
    let second = plan_at(&mut planner, 2).len();
    planner.set_start_budget(20);
    let third = plan_at(&mut planner, 3).len();

    assert_eq!((first, second, third), (3, 0, 7));
}

/// Guards against gangs of which only a part is started.
#[test]
fn a_gang_starts_whole_or_waits_for_the_budget() {
    let mut planner = planner(1);
    for worker in ["w1", "w2", "w3"] {
        add_claimed(&mut planner, worker);
    }
    let mut gang = step(10);
    gang.gang = true;
    planner.add_job(7, spec(vec![gang]), None, false);

    planner.set_start_budget(0);
    let none = plan_at(&mut planner, 1).len();
    // Any budget above 0 is enough for a whole gang.
    planner.set_start_budget(2);
    let all = plan_at(&mut planner, 2).len();

    assert_eq!((none, all), (0, 10));
}

/// Guards against a pause of a sound worker whose start had become too old on its way: the next one
/// may be in time.
#[test]
fn a_worker_gets_the_next_start_after_one_that_came_too_late() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.add_job(7, spec(vec![step(1)]), None, false);
    let first = plan_at(&mut planner, 1);
    let (task, run, worker) = first[0];

    planner.advance(Duration::from_millis(2));
    planner.start_reply(worker, task, run, StartReply::Expired);
    let second = plan_at(&mut planner, 3).len();

    assert_eq!((first.len(), second), (1, 1));
}

/// Guards against a trial that starts although the owner may start nothing.
#[test]
fn a_trial_waits_for_the_budget() {
    let mut planner = planner(1);
    let mut workers = ["w1", "w2", "w3", "w4"]
        .map(|name| add_claimed(&mut planner, name))
        .to_vec();
    planner.add_job(7, spec(vec![step(1)]), None, false);
    let mut now = Duration::ZERO;
    let mut started = |planner: &mut Planner, workers: &[WorkerKey]| {
        let mut started = Vec::new();
        for _ in 0..30 {
            now += Duration::from_millis(100);
            planner.advance(now);
            for worker in workers {
                planner.extend_lease(*worker);
            }
            planner.plan();
            started.extend(starts(planner));
            let batch = planner.take_batch(10);
            planner.batch_saved(&batch);
        }
        started
    };
    for _ in 0..2 {
        let (task, run, worker) = started(&mut planner, &workers)[0];
        planner.start_reply(worker, task, run, StartReply::Started);
        planner.worker_ended(worker);
        workers.retain(|key| *key != worker);
    }

    planner.set_start_budget(0);
    let held = started(&mut planner, &workers).len();
    planner.set_start_budget(1);
    let trial = started(&mut planner, &workers).len();

    assert_eq!(planner.suspect_count(), 1);
    assert_eq!((held, trial), (0, 1));
}
