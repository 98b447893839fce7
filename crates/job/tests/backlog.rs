//! Gangs under a backlog: more of them wait than the pool can run.

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

/// Creates a job of one gang of two cores that takes four seconds, with an objective of nine
/// seconds: twice that time plus one second.
fn gang() -> JobSpec {
    let mut step = step(2);
    step.gang = true;
    step.estimate = Duration::from_secs(4);
    spec(vec![step])
}

/// Guards against a backlog in which nearly all gangs end just too late. They start in order of
/// their due times, each when less time remains than it takes, because a gang counted as in time
/// if half of its run time remained.
#[test]
fn gangs_that_can_still_be_in_time_go_before_those_that_cannot() {
    const OLDEST: JobId = 1;
    const LATE: JobId = 2;
    const IN_TIME: JobId = 3;
    let mut planner = planner(1);
    planner.add_job(OLDEST, gang(), None, false);
    planner.add_job(LATE, gang(), None, false);
    planner.advance(Duration::from_secs(4));
    planner.add_job(IN_TIME, gang(), None, false);
    // Two of the three fit on four cores, three seconds before the first two are due.
    planner.advance(Duration::from_secs(6));
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 6_010);

    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.dedup();
    // The oldest late gang is ranked like one in time, so that it starts eventually.
    assert_eq!(jobs, vec![OLDEST, IN_TIME]);
}

/// Guards against gangs that use half of the advice service's time to no effect, so that single
/// tasks wait seconds for advice. A hundred gangs wait for resources, and a call was made for
/// each whenever its tickets had expired, even if it could not start soon.
#[test]
fn advice_calls_are_made_only_for_gangs_that_could_start_next() {
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
        planner.add_job(id, job, None, false);
    }
    plan_at(&mut planner, 10);

    let mut calls = 0;
    while planner.next_advice_request(FreeHelpers::Some).is_some() {
        calls += 1;
    }

    assert_eq!(calls, 2, "16 cores are free, each gang needs 8");
}

/// Guards against a backlog in which fewer gangs are in time than could be. A large gang
/// that is due first takes the resources of two small ones, which then miss their
/// objective, if gangs are served only in order of due times.
#[test]
fn small_gangs_go_first_when_not_all_can_be_in_time() {
    const LARGE: JobId = 1;
    const SMALL: JobId = 2;
    let mut planner = planner(1);
    let mut large = gang();
    large.steps[0].count = 4;
    planner.add_job(LARGE, large, None, false);
    planner.advance(Duration::from_millis(500));
    planner.add_job(SMALL, gang(), None, false);
    planner.add_job(SMALL + 1, gang(), None, false);
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 600);

    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.dedup();
    assert_eq!(jobs, vec![SMALL, SMALL + 1]);
}

/// A large gang that has waited for a long time goes before small ones that are accepted later.
#[test]
fn large_gangs_are_not_postponed_forever() {
    const LARGE: JobId = 1;
    const SMALL: JobId = 2;
    let mut planner = planner(1);
    let mut large = gang();
    large.steps[0].count = 4;
    large.queue.slack = Duration::from_secs(20);
    planner.add_job(LARGE, large, None, false);
    planner.advance(Duration::from_secs(20));
    for id in SMALL..SMALL + 9 {
        let mut small = gang();
        small.queue.slack = Duration::from_secs(20);
        planner.add_job(id, small, None, false);
    }
    add_claimed(&mut planner, "w1");

    let starts = plan_at(&mut planner, 20_010);

    assert_eq!(starts.len(), 4);
    assert!(starts.iter().all(|(task, ..)| task.step.job == LARGE));
}

/// Guards against reservations of whole workers: under a backlog, two fifths of the workers were
/// reserved for gangs, a fifth of all processors were idle there, and the gangs did not start. The
/// smallest number of workers with enough capacity when empty was reserved, while longer tasks
/// still ran there, and slots that became free on other workers went to less urgent tasks.
#[test]
fn a_gang_reserves_slots_that_become_free_on_any_worker() {
    const LONG: JobId = 1;
    const SHORT: JobId = 2;
    const GANG: JobId = 3;
    const LESS_URGENT: JobId = 4;
    let mut planner = planner(1);
    for at in 0..4 {
        add_claimed(&mut planner, &format!("w{at}"));
    }
    let mut each = step(4);
    each.need = resources(2000, 1000);
    each.worker_limit = 1;
    planner.add_job(LONG, spec(vec![each.clone()]), None, false);
    let long = plan_at(&mut planner, 10);
    planner.add_job(SHORT, spec(vec![each.clone()]), None, false);
    let short = plan_at(&mut planner, 20);
    let mut wide = gang();
    wide.steps[0].count = 4;
    wide.steps[0].need = resources(2000, 1000);
    planner.add_job(GANG, wide, None, false);
    let mut many = deferrable(each);
    many.steps[0].count = 8;
    many.steps[0].worker_limit = 0;
    planner.add_job(LESS_URGENT, many, None, false);

    let mut started = Vec::new();
    for (number, &(task, run, worker)) in (1..).zip(&short) {
        let long_run = long.iter().find(|(.., other)| *other == worker);
        let report = WorkerReport {
            running: long_run
                .map(|&(task, run, _)| running(task, run))
                .into_iter()
                .collect(),
            ended: vec![ended(number, task, run, RunEnd::Done)],
            ..WorkerReport::default()
        };
        let now = 100 + 100 * number;
        planner.advance(Duration::from_millis(now));
        planner.apply_report(worker, Duration::from_millis(now), &report);
        started.extend(plan_at(&mut planner, now + 10));
    }

    let jobs: Vec<JobId> = started.iter().map(|(task, ..)| task.step.job).collect();
    assert_eq!(jobs, vec![GANG; 4]);
}
