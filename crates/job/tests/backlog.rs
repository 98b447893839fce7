//! Gangs under a backlog: more of them wait than the pool can take.

mod support;

use std::time::Duration;

use job::Advice;
use job::FreeHelpers;
use job::JobId;
use job::JobSpec;
use job::RunEnd;
use job::WorkerReport;
use support::add_claimed;
use support::deferrable;
use support::ended;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;

/// A gang of two cores that takes four seconds and is wanted within nine.
fn gang() -> JobSpec {
    let mut step = step(2);
    step.gang = true;
    step.estimate = Duration::from_secs(4);
    spec(vec![step])
}

/// Symptom: after a burst of gangs, nearly all of them ended just too late for
/// as long as the backlog lasted. Sequence: they wait until room is free, in
/// order of their due times; when it is a gang's turn, less time is left than it
/// takes. Cause: a gang counted as in time while half of its work fitted.
#[test]
fn gangs_that_can_still_be_in_time_go_before_those_that_cannot() {
    const OLDEST: JobId = 1;
    const HOPELESS: JobId = 2;
    const HOPEFUL: JobId = 3;
    let mut planner = planner(1);
    planner.take_job(OLDEST, gang(), None, false);
    planner.take_job(HOPELESS, gang(), None, false);
    planner.advance(Duration::from_secs(4));
    planner.take_job(HOPEFUL, gang(), None, false);
    // Room for two of the three, three seconds before the first two are due.
    planner.advance(Duration::from_secs(6));
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 6_010);

    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.dedup();
    // The oldest late gang keeps its rank, so that it starts at all.
    assert_eq!(jobs, vec![OLDEST, HOPEFUL]);
}

/// Symptom: single tasks waited for seconds for advice while gangs wasted half
/// of the service's time. Sequence: a hundred gangs wait for room for seconds;
/// each asks which workers may run it, and asks anew when its tickets have run
/// out. Cause: a gang asked however far it was from its turn.
#[test]
fn only_gangs_that_could_start_next_ask_for_advice() {
    let mut planner = planner(1);
    for at in 0..4 {
        add_claimed(&mut planner, &format!("w{at}"));
    }
    for id in 1..=9 {
        let mut job = gang();
        job.steps[0].count = 4;
        job.steps[0].need = resources(2000, 1000);
        job.queue.advice = Some(Advice {
            fixed: Duration::from_millis(40),
            each: Duration::from_millis(1),
            valid: Duration::from_millis(2500),
        });
        planner.take_job(id, job, None, false);
    }
    plan_at(&mut planner, 10);

    let mut asks = 0;
    while planner.next_ask(FreeHelpers::Some).is_some() {
        asks += 1;
    }

    assert_eq!(asks, 2, "16 cores are free, each gang wants 8");
}

/// Symptom: under a backlog fewer gangs were in time than there was room for.
/// Sequence: a large gang is due first; it takes the room of two small ones, which
/// then miss their objective. Cause: gangs were served in order of due times alone.
#[test]
fn small_gangs_go_first_when_not_all_can_be_in_time() {
    const LARGE: JobId = 1;
    const SMALL: JobId = 2;
    let mut planner = planner(1);
    let mut large = gang();
    large.steps[0].count = 4;
    planner.take_job(LARGE, large, None, false);
    planner.advance(Duration::from_millis(500));
    planner.take_job(SMALL, gang(), None, false);
    planner.take_job(SMALL + 1, gang(), None, false);
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 600);

    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.dedup();
    assert_eq!(jobs, vec![SMALL, SMALL + 1]);
}

/// A large gang that has waited for long goes before small ones that come later.
#[test]
fn large_gangs_are_not_left_over_for_good() {
    const LARGE: JobId = 1;
    const SMALL: JobId = 2;
    let mut planner = planner(1);
    let mut large = gang();
    large.steps[0].count = 4;
    large.queue.slack = Duration::from_secs(20);
    planner.take_job(LARGE, large, None, false);
    planner.advance(Duration::from_secs(20));
    for id in SMALL..SMALL + 9 {
        let mut small = gang();
        small.queue.slack = Duration::from_secs(20);
        planner.take_job(id, small, None, false);
    }
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 20_010);

    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|(task, ..)| task.step.job == LARGE));
}

/// Symptom: under a backlog two fifths of the workers were kept free for gangs, a fifth
/// of all processors stood idle there, and the gangs did not start. Sequence: a gang
/// waits for seats; as few workers as could hold it when empty are kept for it, and
/// longer tasks run on there; seats that come free on other workers go to less urgent
/// tasks. Cause: whole workers were kept, and not seats on all that may run the gang.
#[test]
fn a_gang_gathers_the_seats_that_come_free_on_any_worker() {
    const LONG: JobId = 1;
    const SHORT: JobId = 2;
    const GANG: JobId = 3;
    const PATIENT: JobId = 4;
    let mut planner = planner(1);
    for at in 0..4 {
        add_claimed(&mut planner, &format!("w{at}"));
    }
    let mut each = step(4);
    each.need = resources(2000, 1000);
    each.worker_limit = 1;
    planner.take_job(LONG, spec(vec![each.clone()]), None, false);
    let long = plan_at(&mut planner, 10);
    planner.take_job(SHORT, spec(vec![each.clone()]), None, false);
    let short = plan_at(&mut planner, 20);
    let mut wide = gang();
    wide.steps[0].count = 4;
    wide.steps[0].need = resources(2000, 1000);
    planner.take_job(GANG, wide, None, false);
    let mut many = deferrable(each);
    many.steps[0].count = 8;
    many.steps[0].worker_limit = 0;
    planner.take_job(PATIENT, many, None, false);

    let mut started = Vec::new();
    for (number, &(task, run, worker)) in (1..).zip(&short) {
        let here = long.iter().find(|(.., other)| *other == worker);
        let listing = WorkerReport {
            running: here
                .map(|&(task, run, _)| running(task, run))
                .into_iter()
                .collect(),
            ended: vec![ended(number, task, run, RunEnd::Done)],
            ..WorkerReport::default()
        };
        let now = 100 + 100 * number;
        planner.advance(Duration::from_millis(now));
        planner.take_listing(worker, Duration::from_millis(now), &listing);
        started.extend(plan_at(&mut planner, now + 10));
    }

    let jobs: Vec<JobId> = started.iter().map(|(task, ..)| task.step.job).collect();
    assert_eq!(jobs, vec![GANG; 4]);
}
