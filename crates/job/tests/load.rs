//! Load of the pool in logs and metrics.

mod support;

use job::StartReply;
use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec;
use support::step;
use support::task;

const JOB: u64 = 7;

/// Guards against a load that counts runs as running before a worker has confirmed them:
/// operators were shown four running tasks on a worker that had not replied to any start.
#[test]
fn a_run_counts_as_running_once_it_is_confirmed() {
    let mut planner = planner(1);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(4)]), None, false);
    plan_at(&mut planner, 10);
    let unconfirmed = planner.load().running;
    planner.start_reply(key, task(JOB, 0, 0), 1, StartReply::Started);
    planner.start_reply(key, task(JOB, 0, 1), 1, StartReply::Unknown);

    let load = planner.load();

    assert_eq!((unconfirmed, load.running), (0, 1));
    assert_eq!(
        load.booked.cpu, 4000,
        "unconfirmed runs hold resources, too"
    );
}
