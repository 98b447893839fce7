//! Which jobs are ended because no worker could ever take them.

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

/// A worker whose label no other has.
fn special(id: &str) -> WorkerInfo {
    let mut special = worker(id);
    special.labels = vec!["b".to_owned()];
    special
}

/// What a predecessor's row tells of a worker.
fn recall(planner: &mut Planner, info: WorkerInfo) -> job::WorkerKey {
    let id = info.id.clone();
    let left = WorkerInfo {
        draining: true,
        ..info
    };
    let key = planner.take_worker(left).expect("new worker");
    planner.lose_worker(&id);
    key
}

/// Outcomes that are about to be recorded.
fn outcomes(planner: &mut Planner) -> Vec<Option<Outcome>> {
    let batch = planner.take_batch(10);
    batch.jobs.iter().map(|(_, told)| told.outcome).collect()
}

/// A job was shown as failed though it could run. The only worker with its
/// label crashed; the job arrived before the next one was there. It was judged
/// by the workers of that moment.
#[test]
fn a_label_that_is_away_fails_no_job() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let away = planner.take_worker(special("w2")).expect("new worker");
    planner.take_listing(away, Duration::ZERO, &worker_report(vec![], vec![]));
    plan_at(&mut planner, 10_000);
    planner.worker_over(away);
    planner.take_job(JOB, spec(vec![labelled("b")]), None, false);
    let early = plan_at(&mut planner, 20_000);
    let told = outcomes(&mut planner);
    let back = planner.take_worker(special("w3")).expect("new worker");
    planner.take_listing(
        back,
        Duration::from_secs(20),
        &worker_report(vec![], vec![]),
    );

    let late = plan_at(&mut planner, 21_000);

    assert_eq!((early, told), (vec![], vec![]));
    assert_eq!(late.len(), 1);
}

/// A gang was shown as failed though the pool could hold it. One of two workers
/// crashed, and the gang was judged by the other.
#[test]
fn a_pool_that_is_small_for_a_while_fails_no_gang() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let away = add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 10_000);
    planner.worker_over(away);
    planner.take_job(JOB, spec(vec![gang(6)]), None, false);
    plan_at(&mut planner, 20_000);
    let told = outcomes(&mut planner);
    add_claimed(&mut planner, "w3");

    let starts = plan_at(&mut planner, 21_000);

    assert_eq!(told, vec![]);
    assert_eq!(starts.len(), 6);
}

/// Every job was shown as failed after a take-over. The registrations could
/// not be read, so the workers were known only by the rows that the former
/// owner had left of them; their size was not known, and was taken for none.
#[test]
fn workers_of_unknown_size_fail_no_job() {
    let mut planner = planner(2);
    let left = WorkerInfo {
        capacity: resources(0, 0),
        labels: vec![],
        ..worker("w1")
    };
    let key = recall(&mut planner, left);
    planner.take_listing(key, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    planner.lease_sent(key);
    plan_at(&mut planner, 3_500);
    let told = outcomes(&mut planner);
    planner.take_worker(worker("w1"));

    let starts = plan_at(&mut planner, 4_000);

    assert_eq!(told, vec![]);
    assert_eq!(starts.len(), 1);
}

/// A gang was shown as failed after a take-over. A worker died together with
/// the owner; its successor judged by the workers that were left, though the
/// row of the dead one tells what it was.
#[test]
fn workers_that_died_with_the_owner_count() {
    let mut planner = planner(2);
    add_claimed(&mut planner, "w1");
    let mut other = worker("w2");
    other.address = ([127, 0, 0, 1], 2).into();
    let dead = recall(&mut planner, other);
    plan_at(&mut planner, 100);
    planner.worker_over(dead);
    planner.take_job(JOB, spec(vec![gang(6)]), None, false);

    plan_at(&mut planner, 10_000);

    assert_eq!(outcomes(&mut planner), vec![]);
}

/// A gang was shown as failed while the pool was still growing: judged a fixed
/// time after the take-over, by the workers that had registered until then.
#[test]
fn a_growing_pool_fails_no_gang() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 2_900);
    let second = planner.take_worker(worker("w2")).expect("new worker");
    planner.take_listing(second, Duration::ZERO, &worker_report(vec![], vec![]));
    planner.take_job(JOB, spec(vec![gang(12)]), None, false);
    plan_at(&mut planner, 3_200);
    let told = outcomes(&mut planner);
    add_claimed(&mut planner, "w3");

    let starts = plan_at(&mut planner, 4_000);

    assert_eq!(told, vec![]);
    assert_eq!(starts.len(), 12);
}

/// What no worker has ever been able to take is refused at once.
#[test]
fn what_no_worker_ever_could_take_fails() {
    let mut large = step(1);
    large.need = resources(5_000, 1);
    for poison in [large, labelled("never"), gang(9)] {
        let mut planner = planner(1);
        add_claimed(&mut planner, "w1");
        let gone = add_claimed(&mut planner, "w2");
        plan_at(&mut planner, 10);
        planner.worker_over(gone);
        plan_at(&mut planner, 9_000);
        planner.take_job(JOB, spec(vec![poison]), None, false);

        plan_at(&mut planner, 9_010);

        assert_eq!(outcomes(&mut planner), vec![Some(Outcome::Failed)]);
    }
}

/// A worker that came back under a new id at its address is one worker, also
/// while its former life is not given up yet.
#[test]
fn two_lives_of_a_worker_count_once() {
    let mut planner = planner(1);
    let first = add_claimed(&mut planner, "w1");
    plan_at(&mut planner, 10);
    planner.lose_worker("w1");
    planner.lease_sent(first);
    add_claimed(&mut planner, "w2");
    plan_at(&mut planner, 20);
    planner.worker_over(first);
    planner.take_job(JOB, spec(vec![gang(6)]), None, false);

    plan_at(&mut planner, 9_000);

    assert_eq!(outcomes(&mut planner), vec![Some(Outcome::Failed)]);
}
