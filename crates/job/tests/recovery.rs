//! When tasks of a predecessor may start again.

mod support;

use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec;
use support::step;

const JOB: u64 = 7;

/// A task ran in two places after a take-over. The row of a worker that a
/// predecessor had used could not be decoded, so the worker was not known, and
/// the tasks of a predecessor did not wait for it.
#[test]
fn an_unknown_worker_holds_back_what_it_may_run() {
    let mut planner = planner(2);
    planner.miss_worker();
    add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    let early = plan_at(&mut planner, 6_300);

    let late = plan_at(&mut planner, 6_500);

    assert!(early.is_empty(), "its lease may not be over yet");
    assert_eq!(late.len(), 1);
}
