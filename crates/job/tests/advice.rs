//! Advice calls: which workers the planner asks about, and when.

mod support;

use std::time::Duration;

use job::Advice;
use job::CrashRecord;
use job::FreeHelpers;
use job::JobSpec;
use job::Planner;
use job::Progress;
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

/// Job that needs advice.
const LOOKUP: u64 = 7;

/// Job that needs no advice and fills the workers.
const FILLING: u64 = 8;

/// Creates a job whose queue uses the advice service; a call takes 80 ms and 1 ms per worker.
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

/// Answers that all workers asked about may run the step, with tickets that are valid until
/// `until`.
fn allow(planner: &mut Planner, asked: &[WorkerId], until: Duration) {
    let tickets: Vec<Ticket> = asked
        .iter()
        .map(|worker| Ticket {
            worker: worker.clone(),
            text: "ticket".to_owned(),
        })
        .collect();
    planner.handle_advice(step_key(), asked, &tickets, until);
}

/// Guards against tasks that wait a second or more while the pool has slots for hundreds of them.
/// The workers that may run a step are full when the answer arrives. As long as their tickets
/// were valid, no call asked about others, because free resources were not considered.
#[test]
fn a_step_whose_workers_are_full_asks_about_others_at_once() {
    let mut planner = planner(1);
    for nth in 0..8 {
        add_claimed(&mut planner, &format!("full-{nth}"));
    }
    plan_at(&mut planner, 5);
    planner.add_job(LOOKUP, advised(step(8)), None, false);
    planner.advance(Duration::from_millis(10));
    let first = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("first call");
    let mut filling = spec(vec![step(32)]);
    filling.queue.priority = 0;
    planner.add_job(FILLING, filling, None, false);
    plan_at(&mut planner, 20);
    for nth in 0..8 {
        add_claimed(&mut planner, &format!("empty-{nth}"));
    }
    planner.advance(Duration::from_millis(100));
    allow(&mut planner, &first.workers, Duration::from_millis(1600));
    plan_at(&mut planner, 110);

    let second = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("second call");

    assert!(second.workers.iter().all(|id| id.starts_with("empty")));
}

#[test]
fn no_call_is_made_while_tickets_are_valid_and_slots_are_free() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let mut spread_step = step(4);
    spread_step.worker_limit = 1;
    plan_at(&mut planner, 5);
    planner.add_job(LOOKUP, advised(spread_step), None, false);
    planner.advance(Duration::from_millis(10));
    let first = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("first call");
    allow(&mut planner, &first.workers, Duration::from_millis(1600));
    plan_at(&mut planner, 110);

    let second = planner.next_advice_request(FreeHelpers::Some);

    assert_eq!(second, None);
}

/// Guards against steps of many tasks of which only a third starts after the first advice call.
/// Each worker has a slot for one task, and the limit on the size of a call was below what the
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
    planner.add_job(LOOKUP, advised(large), None, false);
    planner.advance(Duration::from_millis(10));

    let request = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("a call");

    assert_eq!(
        request.workers.len(),
        80,
        "enough for 30 tasks if two in five workers may run them"
    );
}

/// Guards against single tasks that never start though workers are free. Only a part of a large
/// pool is scanned for a call; here, this part and the next one are full, so the scan must go on
/// to later parts.
#[test]
fn free_workers_of_a_large_pool_are_found_wherever_they_are() {
    let mut planner = planner(1);
    for nth in 0..2400 {
        add_claimed(&mut planner, &format!("full-{nth}"));
    }
    planner.add_job(FILLING, spec(vec![step(9600)]), None, false);
    plan_at(&mut planner, 5);
    for nth in 0..100 {
        add_claimed(&mut planner, &format!("empty-{nth}"));
    }
    planner.add_job(LOOKUP, advised(step(8)), None, false);

    let mut asked = None;
    for at in 1..=8 {
        planner.advance(Duration::from_millis(5 + 30 * at));
        asked = asked.or(planner.next_advice_request(FreeHelpers::Some));
    }

    let asked = asked.expect("a call");
    assert!(asked.workers.iter().all(|id| id.starts_with("empty")));
}

/// Creates a planner with a busy worker and a job whose only task needs a trial and has a ticket
/// for that worker until 1.6 s.
fn trial_beside_busy_worker() -> Planner {
    let mut planner = planner(1);
    add_claimed(&mut planner, "busy");
    planner.add_job(FILLING, spec(vec![step(1)]), None, false);
    plan_at(&mut planner, 5);
    let mut progress = Progress::default();
    let record = CrashRecord {
        runs: [1, 2].into(),
        ..CrashRecord::default()
    };
    progress.crashes.insert((0, 0, 0), record);
    planner.add_job(LOOKUP, advised(step(1)), Some(&progress), false);
    planner.advance(Duration::from_millis(10));
    let first = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("first call");
    allow(&mut planner, &first.workers, Duration::from_millis(1600));
    plan_at(&mut planner, 110);
    planner
}

/// Guards against a trial that waits beside idle workers: the step has a ticket for a worker with
/// free resources, but with other runs, and no call asked about idle ones.
#[test]
fn a_trial_asks_about_idle_workers() {
    let mut planner = trial_beside_busy_worker();
    add_claimed(&mut planner, "idle");

    let second = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("second call");

    assert_eq!(second.workers, ["idle"]);
}

/// Guards against a trial that waits beside an idle worker for which its ticket has expired.
#[test]
fn a_trial_renews_the_ticket_of_an_idle_worker() {
    let mut planner = trial_beside_busy_worker();
    add_claimed(&mut planner, "idle");
    allow(
        &mut planner,
        &["idle".to_owned()],
        Duration::from_millis(300),
    );
    plan_at(&mut planner, 400);

    let second = planner
        .next_advice_request(FreeHelpers::Some)
        .expect("second call");

    assert_eq!(second.workers, ["idle"]);
}
