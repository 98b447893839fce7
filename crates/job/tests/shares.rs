//! Shares of organisations when the pool is full.

mod support;

use std::time::Duration;

use job::JobId;
use job::JobSpec;
use job::Planner;
use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec_of;
use support::step;

/// Ids of the first jobs of two organisations.
const FLOOD: JobId = 100;
const USUAL: JobId = 500;

/// Creates a job of one task, received `millis` after the first second of 1970, whose organisation has a
/// share of two jobs a second.
fn job_of(name: &str, millis: u64) -> JobSpec {
    let mut job = spec_of(name, 0, vec![step(1)]);
    job.received = Duration::from_millis(1000 + millis);
    if let Some(organisation) = &mut job.organisation {
        organisation.weight = 2.0;
    }
    job
}

/// Adds ten jobs of one organisation and then two of another one, all received within a second.
fn flood(planner: &mut Planner, old: bool) {
    for number in 0..10 {
        planner.add_job(FLOOD + number, job_of("stores", 10 * number), None, old);
    }
    for number in 0..2 {
        planner.add_job(USUAL + number, job_of("desk", 500), None, old);
    }
}

/// Plans, and returns the jobs that have started.
fn started(planner: &mut Planner, millis: u64) -> Vec<JobId> {
    let starts = plan_at(planner, millis);
    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.sort_unstable();
    jobs
}

/// Guards against an organisation that delays others by submitting five times its share.
#[test]
fn jobs_beyond_a_share_go_last() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    flood(&mut planner, false);

    let jobs = started(&mut planner, 10);

    assert_eq!(jobs.len(), 4, "the worker has four cores");
    assert_eq!(jobs.iter().filter(|job| **job >= USUAL).count(), 2);
}

/// Guards against idle workers while only jobs in excess of a share wait.
#[test]
fn jobs_beyond_a_share_use_what_is_left() {
    let mut planner = planner(1);
    for id in ["w1", "w2", "w3"] {
        add_claimed(&mut planner, id);
    }
    flood(&mut planner, false);

    assert_eq!(started(&mut planner, 10).len(), 12);
}

#[test]
fn a_successor_finds_as_many_jobs_in_excess() {
    let mut planner = planner(2);
    add_claimed(&mut planner, "w1");
    flood(&mut planner, true);
    planner.add_job(FLOOD + 50, job_of("stores", 900), None, false);

    let jobs = started(&mut planner, 10);

    assert_eq!(jobs.len(), 4);
    assert_eq!(jobs.iter().filter(|job| **job >= USUAL).count(), 2);
}
