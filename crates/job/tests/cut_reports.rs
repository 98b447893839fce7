//! Worker reports that list only a part of the ended runs, since the worker has more of them than it
//! lists at a time.

mod support;

use std::time::Duration;

use job::RunEnd;
use job::WorkerReport;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::spec;
use support::step;
use support::worker_report;

const JOB: u64 = 7;

/// A report that lists no run although the worker has further ends.
fn cut_report() -> WorkerReport {
    WorkerReport {
        more_ends: true,
        ..worker_report(vec![], vec![])
    }
}

/// Guards against a second run of a task whose end as done is not among the ends that its worker lists
/// at a time: it counted as lost, since no report named it.
#[test]
fn a_run_is_not_lost_while_its_worker_has_further_ends_to_list() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(&mut planner, 1)[0];
    planner.start_reply(key, task, run, job::StartReply::Started);

    planner.advance(Duration::from_millis(500));
    planner.apply_report(key, Duration::from_millis(400), &cut_report());
    let again = plan_at(&mut planner, 501).len();
    planner.advance(Duration::from_millis(900));
    let end = ended(501, task, run, RunEnd::Done);
    planner.apply_report(
        key,
        Duration::from_millis(800),
        &worker_report(vec![], vec![end]),
    );

    let later = plan_at(&mut planner, 901).len();

    assert_eq!((again, later), (0, 0));
    assert_eq!(planner.booked_runs(key), 0);
}

/// Guards against a successor that starts a task whose end as done its worker has not listed yet.
#[test]
fn a_worker_is_not_claimed_before_all_of_its_ends_are_listed() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");

    planner.advance(Duration::from_millis(100));
    planner.apply_report(key, Duration::from_millis(50), &cut_report());
    let cut = planner.claimed(key);
    planner.apply_report(
        key,
        Duration::from_millis(90),
        &worker_report(vec![], vec![]),
    );

    assert_eq!((cut, planner.claimed(key)), (false, true));
}
