//! Whom the planner asks about, and when.

mod support;

use std::time::Duration;

use job::Advice;
use job::FreeHelpers;
use job::JobSpec;
use job::Planner;
use job::StepKey;
use job::StepSpec;
use job::Ticket;
use job::WorkerId;
use support::add_claimed;
use support::deferrable;
use support::plan_at;
use support::planner;
use support::resources;
use support::spec;
use support::step;
use support::task;

const LOOKUP: u64 = 7;
const FILLING: u64 = 8;

/// A job under advice; the service takes 80 ms and 1 ms a worker.
fn advised(step: StepSpec) -> JobSpec {
    let mut job = deferrable(step);
    job.queue.advice = Some(Advice {
        fixed: Duration::from_millis(80),
        each: Duration::from_millis(1),
        valid: Duration::from_millis(1500),
    });
    job
}

fn step_key() -> StepKey {
    task(LOOKUP, 0, 0).step
}

/// Answers that all of the workers asked about may run the step.
fn allow(planner: &mut Planner, asked: &[WorkerId], until: Duration) {
    let tickets: Vec<Ticket> = asked
        .iter()
        .map(|worker| Ticket {
            worker: worker.clone(),
            text: "ticket".to_owned(),
        })
        .collect();
    planner.take_advice(step_key(), asked, &tickets, until);
}

/// Symptom: lookups waited a second and more with room for hundreds of their
/// tasks in the pool. Sequence: the workers that may run a step are full by the
/// time of the answer; its tickets last; others are asked about only when they
/// are over. Cause: tickets counted, and not the room that they were good for.
#[test]
fn a_step_whose_workers_are_full_asks_about_others_at_once() {
    let mut planner = planner(1);
    for nth in 0..8 {
        add_claimed(&mut planner, &format!("full-{nth}"));
    }
    plan_at(&mut planner, 5);
    planner.take_job(LOOKUP, advised(step(8)), None, false);
    planner.advance(Duration::from_millis(10));
    let first = planner.next_ask(FreeHelpers::Some).expect("first call");
    let mut filling = spec(vec![step(32)]);
    filling.queue.priority = 0;
    planner.take_job(FILLING, filling, None, false);
    plan_at(&mut planner, 20);
    for nth in 0..8 {
        add_claimed(&mut planner, &format!("empty-{nth}"));
    }
    planner.advance(Duration::from_millis(100));
    allow(&mut planner, &first.workers, Duration::from_millis(1600));
    plan_at(&mut planner, 110);

    let second = planner.next_ask(FreeHelpers::Some).expect("second call");

    assert!(second.workers.iter().all(|id| id.starts_with("empty")));
}

#[test]
fn nobody_is_asked_about_while_tickets_last_and_there_is_room() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let mut apart = step(4);
    apart.worker_limit = 1;
    plan_at(&mut planner, 5);
    planner.take_job(LOOKUP, advised(apart), None, false);
    planner.advance(Duration::from_millis(10));
    let first = planner.next_ask(FreeHelpers::Some).expect("first call");
    allow(&mut planner, &first.workers, Duration::from_millis(1600));
    plan_at(&mut planner, 110);

    let second = planner.next_ask(FreeHelpers::Some);

    assert_eq!(second, None);
}

/// Symptom: wide lookups started a third of their tasks and asked again for the
/// others. Sequence: each worker has room for one task; the call names too few
/// workers for all tasks. Cause: a bound on a call's cost below what its own
/// step needed.
#[test]
fn a_wide_step_asks_about_enough_workers_for_all_its_tasks() {
    let mut planner = planner(1);
    for nth in 0..80 {
        add_claimed(&mut planner, &format!("w{nth}"));
    }
    let mut large = step(30);
    large.need = resources(3000, 1000);
    plan_at(&mut planner, 5);
    planner.take_job(LOOKUP, advised(large), None, false);
    planner.advance(Duration::from_millis(10));

    let ask = planner.next_ask(FreeHelpers::Some).expect("a call");

    assert_eq!(ask.workers.len(), 80, "30 tasks, if two in five may run it");
}

/// Symptom: with thousands of workers single tasks waited for good beside free ones.
/// Sequence: only a part of a large pool is looked at for a call; it is full, and so is
/// the part that is looked at next. Cause ruled out: the part moves on.
#[test]
fn free_workers_of_a_large_pool_are_found_wherever_they_are() {
    let mut planner = planner(1);
    for nth in 0..2400 {
        add_claimed(&mut planner, &format!("full-{nth}"));
    }
    planner.take_job(FILLING, spec(vec![step(9600)]), None, false);
    plan_at(&mut planner, 5);
    for nth in 0..100 {
        add_claimed(&mut planner, &format!("empty-{nth}"));
    }
    planner.take_job(LOOKUP, advised(step(8)), None, false);

    let mut asked = None;
    for at in 1..=8 {
        planner.advance(Duration::from_millis(5 + 30 * at));
        asked = asked.or(planner.next_ask(FreeHelpers::Some));
    }

    let asked = asked.expect("a call");
    assert!(asked.workers.iter().all(|id| id.starts_with("empty")));
}
