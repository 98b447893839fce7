//! Jobs that fail because no worker could ever run them.

mod support;

use std::time::Duration;

use job::Outcome;
use job::Planner;
use job::StepSpec;
use job::WorkerInfo;
use support::add_claimed;
use support::plan_at;
use support::planner;
use support::resources;
use support::spec;
use support::step;
use support::worker;
use support::worker_report;

const JOB: u64 = 7;

/// Creates a step that only workers with this label may run.
fn labelled(label: &str) -> StepSpec {
    let mut labelled = step(1);
    label.clone_into(&mut labelled.label);
    labelled
}

fn gang(count: u32) -> StepSpec {
    let mut gang = step(count);
    gang.gang = true;
    gang
}

/// Creates a worker with the label `b`, which workers of the fixture do not have.
fn labelled_worker(id: &str) -> WorkerInfo {
    let mut labelled_worker = worker(id);
    labelled_worker.labels = vec!["b".to_owned()];
    labelled_worker
}

/// Adds a worker and removes its registration, so that the planner has only the data in the row
/// that the former owner stored.
fn add_former_worker(planner: &mut Planner, info: WorkerInfo) -> job::WorkerKey {
    let id = info.id.clone();
    let registration = WorkerInfo {
        draining: true,
        ..info
    };
    let key = planner.register_worker(registration).expect("new worker");
    planner.deregister_worker(&id);
    key
}

/// Takes the unsaved progress of up to ten jobs, and returns their outcomes.
fn outcomes(planner: &mut Planner) -> Vec<Option<Outcome>> {
    let batch = planner.take_batch(10);
    batch
        .jobs
        .iter()
        .map(|(_, progress)| progress.outcome)
        .collect()
}

/// Guards against a job that fails though it can run. The only worker with its label crashed, the
/// job was accepted before the next such worker registered, and it was checked against the current
/// workers.
#[test]
fn a_job_whose_label_has_no_current_worker_does_not_fail() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let crashed = planner
        .register_worker(labelled_worker("w2"))
        .expect("new worker");
    planner.apply_report(crashed, Duration::ZERO, &worker_report(vec![], vec![]));
    plan_at(&mut planner, 10_000);
    planner.worker_ended(crashed);
    planner.add_job(JOB, spec(vec![labelled("b")]), None, false);
    let early = plan_at(&mut planner, 20_000);
    let early_outcomes = outcomes(&mut planner);
    let replacement = planner
        .register_worker(labelled_worker("w3"))
        .expect("new worker");
    planner.apply_report(
        replacement,
        Duration::from_secs(20),
        &worker_report(vec![], vec![]),
    );

    let late = plan_at(&mut planner, 21_000);

    assert_eq!((early, early_outcomes), (vec![], vec![]));
    assert_eq!(late.len(), 1);
}

/// Guards against a gang that fails though it fits into the pool. One of two workers
/// crashed, and the gang was checked against the other.
#[test]
fn a_temporarily_small_pool_fails_no_gang() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let crashed = add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 10_000);
    planner.worker_ended(crashed);
    planner.add_job(JOB, spec(vec![gang(6)]), None, false);
    plan_at(&mut planner, 20_000);
    let early_outcomes = outcomes(&mut planner);
    add_claimed(&mut planner, "w3");

    let starts = plan_at(&mut planner, 21_000);

    assert_eq!(early_outcomes, vec![]);
    assert_eq!(starts.len(), 6);
}

/// Guards against a take-over after which every job fails. The registrations could not be
/// read, so the successor had only the rows of the workers, which do not state their capacity,
/// and took it for zero.
#[test]
fn workers_of_unknown_capacity_fail_no_job() {
    let mut planner = planner(2);
    let registration = WorkerInfo {
        capacity: resources(0, 0),
        labels: vec![],
        ..worker("w1")
    };
    let key = add_former_worker(&mut planner, registration);
    planner.apply_report(key, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    planner.extend_lease(key);
    plan_at(&mut planner, 3_500);
    let early_outcomes = outcomes(&mut planner);
    planner.register_worker(worker("w1"));

    let starts = plan_at(&mut planner, 4_000);

    assert_eq!(early_outcomes, vec![]);
    assert_eq!(starts.len(), 1);
}

/// Guards against a gang that fails after a take-over. A worker crashed together with the
/// owner, and the successor counted only the remaining workers, though the row of the crashed
/// worker states its capacity.
#[test]
fn workers_that_died_with_the_owner_count() {
    let mut planner = planner(2);
    add_claimed(&mut planner, "w1");
    let mut other = worker("w2");
    other.address = ([127, 0, 0, 1], 2).into();
    let lost_worker = add_former_worker(&mut planner, other);
    plan_at(&mut planner, 100);
    planner.worker_ended(lost_worker);
    planner.add_job(JOB, spec(vec![gang(6)]), None, false);

    plan_at(&mut planner, 10_000);

    assert_eq!(outcomes(&mut planner), vec![]);
}

/// Guards against a gang that fails while the pool is still growing: it was checked a fixed
/// time after the take-over, against the workers that had registered by then.
#[test]
fn a_growing_pool_fails_no_gang() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 2_900);
    let second = planner.register_worker(worker("w2")).expect("new worker");
    planner.apply_report(second, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.add_job(JOB, spec(vec![gang(12)]), None, false);
    plan_at(&mut planner, 3_200);
    let early_outcomes = outcomes(&mut planner);
    add_claimed(&mut planner, "w3");

    let starts = plan_at(&mut planner, 4_000);

    assert_eq!(early_outcomes, vec![]);
    assert_eq!(starts.len(), 12);
}

/// A job that no worker has ever been able to run fails at once.
#[test]
fn jobs_that_no_worker_could_ever_run_fail() {
    let mut large = step(1);
    large.need = resources(5_000, 1);
    for impossible_step in [large, labelled("never"), gang(9)] {
        let mut planner = planner(1);
        add_claimed(&mut planner, "w1");
        let removed = add_claimed(&mut planner, "w2");
        plan_at(&mut planner, 10);
        planner.worker_ended(removed);
        plan_at(&mut planner, 9_000);
        planner.add_job(JOB, spec(vec![impossible_step]), None, false);

        plan_at(&mut planner, 9_010);

        assert_eq!(outcomes(&mut planner), vec![Some(Outcome::Failed)]);
    }
}

/// A worker that has started again under a new id at its address counts as one worker, even
/// while its previous incarnation has not been removed.
#[test]
fn two_incarnations_of_a_worker_count_once() {
    let mut planner = planner(1);
    let first = add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 10);
    planner.deregister_worker("w1");
    planner.extend_lease(first);
    add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 20);
    planner.worker_ended(first);
    planner.add_job(JOB, spec(vec![gang(6)]), None, false);

    plan_at(&mut planner, 9_000);

    assert_eq!(outcomes(&mut planner), vec![Some(Outcome::Failed)]);
}
