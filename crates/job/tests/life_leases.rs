//! Starts that may be on another life of their worker than the one that is known: how long they
//! are waited for.

mod support;

use job::Planner;
use job::Progress;
use job::RunId;
use job::StartReply;
use job::TaskKey;
use job::WorkerKey;
use job::WorkerReport;

use support::incarnations::FIRST_START;
use support::incarnations::JOB;
use support::incarnations::at;
use support::incarnations::deliver_report;
use support::incarnations::empty_report;
use support::incarnations::info;
use support::incarnations::new_incarnation;
use support::incarnations::report_of;
use support::incarnations::with_history;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// A worker of which it was heard for 10 s, and a task that it has confirmed since by its
/// answer to the start alone; beside it one that could take the task.
fn with_fresh_start(planner: &mut Planner) -> (WorkerKey, TaskKey, RunId) {
    let key = with_history(planner);
    deliver_report(planner, key, 9990, &empty_report(FIRST_START));
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(planner, 10_000)[0];
    planner.advance(at(10_002));
    planner.start_reply(key, task, run, StartReply::Started);
    support::add_claimed(planner, "w2");
    (key, task, run)
}

/// A job of `count` tasks of which a list has shown all but the last; the start of that gets
/// no answer, 0.25 s after 10 s, and the worker is silent.
fn with_unanswered_start(planner: &mut Planner, count: u32) -> (WorkerKey, TaskKey, RunId) {
    let key = with_history(planner);
    deliver_report(planner, key, 9990, &empty_report(FIRST_START));
    planner.take_job(JOB, spec(vec![step(count)]), None, false);
    let starts = plan_at(planner, 10_000);
    let (last, confirmed) = starts.split_last().expect("starts");
    planner.advance(at(10_002));
    for &(task, run, _) in confirmed {
        planner.start_reply(key, task, run, StartReply::Started);
    }
    let runs = confirmed.iter().map(|&(task, run, _)| running(task, run));
    let runs = report_of(FIRST_START, worker_report(runs.collect(), Vec::new()));
    deliver_report(planner, key, 10_004, &runs);
    planner.advance(at(10_250));
    planner.start_reply(key, last.0, last.1, StartReply::Unknown);
    planner.worker_silent(key);
    support::add_claimed(planner, "w2");
    (key, last.0, last.1)
}

/// Guards against a start that an unmet life holds under a lease on its own clock, which a late
/// renewal may extend, and that is given up by the clock of the former life.
#[test]
fn a_start_that_no_list_has_shown_is_waited_for_until_no_renewal_can_be_late() {
    let mut planner = planner(1);
    let (key, task, _) = with_fresh_start(&mut planner);
    planner.worker_silent(key);

    let early = plan_at(&mut planner, 20_300);
    let late = plan_at(&mut planner, 20_500);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
}

/// The same start is given up with the usual lease once a list has shown whose it is.
#[test]
fn a_start_that_a_list_has_shown_is_given_up_with_its_lease() {
    let mut planner = planner(1);
    let (key, task, run) = with_fresh_start(&mut planner);
    let there = report_of(
        FIRST_START,
        worker_report(vec![running(task, run)], Vec::new()),
    );
    deliver_report(&mut planner, key, 10_010, &there);
    planner.worker_silent(key);

    let late = plan_at(&mut planner, 15_000);

    assert_eq!(late.len(), 1);
}

/// Guards against a start that reaches an unmet life seconds after it was sent, and runs there
/// beside the next start of its task.
#[test]
fn a_start_without_an_answer_is_waited_for_until_it_can_be_late_no_more() {
    let mut planner = planner(1);
    let (key, task, _) = with_unanswered_start(&mut planner, 1);

    let early = plan_at(&mut planner, 20_600);
    let late = plan_at(&mut planner, 20_800);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
    assert_ne!(late[0].2, key);
}

/// Guards against runs that wait for a start which they have nothing to do with.
#[test]
fn what_a_list_has_shown_does_not_wait_for_a_start_without_an_answer() {
    let mut planner = planner(1);
    let (key, last, _) = with_unanswered_start(&mut planner, 2);

    let late = plan_at(&mut planner, 15_100);

    assert_eq!(late.len(), 1);
    assert_ne!(late[0].0, last);
    assert_ne!(late[0].2, key);
}

/// Guards against a run that a former owner's order has given a longer lease than its
/// successor counts, since it was meant for a former life.
#[test]
fn what_a_claim_finds_is_waited_for_by_the_longest_lease() {
    let mut planner = planner(2);
    let old = Progress::default();
    planner.take_job(JOB, spec(vec![step(1)]), Some(&old), true);
    let key = planner.recall_worker(info(FIRST_START)).expect("recalled");
    planner.take_worker(info(FIRST_START));
    let run = worker_report(vec![running(task(JOB, 0, 0), 3)], Vec::new());
    deliver_report(&mut planner, key, 5000, &report_of(FIRST_START, run));
    support::add_claimed(&mut planner, "w2");
    planner.worker_silent(key);

    let early = plan_at(&mut planner, 11_300);
    let late = plan_at(&mut planner, 11_500);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a successor that waits for a silent worker by the usual lease, while an
/// order of its predecessor gave an unmet life of it the longest one.
#[test]
fn a_successor_waits_for_a_silent_worker_by_the_longest_lease() {
    let mut planner = planner(2);
    let old = Progress::default();
    planner.take_job(JOB, spec(vec![step(1)]), Some(&old), true);
    planner.recall_worker(info(FIRST_START)).expect("recalled");
    let other = planner.recall_worker(worker("w2")).expect("recalled");
    planner.take_worker(worker("w2"));
    deliver_report(&mut planner, other, 10, &WorkerReport::default());

    // The predecessor renews for 2.5 s after half of the workers were claimed.
    plan_at(&mut planner, 20);
    let early = plan_at(&mut planner, 8800);
    let late = plan_at(&mut planner, 9000);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a start that a late answer confirms, and that is given up while renewals
/// which were sent until then may still come.
#[test]
fn a_start_that_is_confirmed_late_is_waited_for_from_then_on() {
    let mut planner = planner(1);
    let (key, task, run) = with_unanswered_start(&mut planner, 1);
    planner.advance(at(11_900));
    planner.start_reply(key, task, run, StartReply::Started);

    let early = plan_at(&mut planner, 22_200);
    let late = plan_at(&mut planner, 22_400);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a start that may yet reach a life which nobody had named before, and is
/// waited for by that life's lease alone.
#[test]
fn a_start_that_may_yet_reach_the_first_named_life_is_waited_for() {
    let mut planner = planner(1);
    let key = planner.take_worker(worker("w1")).expect("new worker");
    deliver_report(&mut planner, key, 1, &WorkerReport::default());
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(&mut planner, 10)[0];
    planner.advance(at(260));
    planner.start_reply(key, task, run, StartReply::Unknown);
    planner.take_worker(info(FIRST_START));
    deliver_report(&mut planner, key, 300, &empty_report(FIRST_START));
    let next = new_incarnation(&mut planner).expect("a next life");
    planner.worker_silent(next);
    support::add_claimed(&mut planner, "w2");

    let early = plan_at(&mut planner, 10_600);
    let late = plan_at(&mut planner, 10_800);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
}
