//! How long the planner waits for starts that may have reached another incarnation of their
//! worker than the current one.
//!
//! A lease of 4.5 s has certainly expired after 4.83 s, and the longest one, of 6 s, after 6.39 s:
//! both include 4 % for differences of clocks and 0.15 s for the transit of the command. If the
//! command that grants the longest lease may be carried out up to 4 s late, it is 10.39 s. Each
//! test plans just before or just after such a time.

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
use support::incarnations::worker_with_ends;
use support::plan_at;
use support::planner;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Adds a worker that has sent reports for 10 s, a run that it has confirmed at 10.002 s by its
/// reply to the start but not in a report, and a second worker that could run the task.
fn unreported_start(planner: &mut Planner) -> (WorkerKey, TaskKey, RunId) {
    let key = worker_with_ends(planner);
    deliver_report(planner, key, 9990, &empty_report(FIRST_START));
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(planner, 10_000)[0];
    planner.advance(at(10_002));
    planner.start_reply(key, task, run, StartReply::Started);
    support::add_claimed(planner, "w2");
    (key, task, run)
}

/// Adds a job of `count` tasks that is started at 10 s. A report lists the runs of all but the last
/// task; the start of that one counts as unanswered after 0.25 s, and the worker as unresponsive.
fn unanswered_start(planner: &mut Planner, count: u32) -> (WorkerKey, TaskKey, RunId) {
    let key = worker_with_ends(planner);
    deliver_report(planner, key, 9990, &empty_report(FIRST_START));
    planner.add_job(JOB, spec(vec![step(count)]), None, false);
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
    planner.mark_unresponsive(key);
    support::add_claimed(planner, "w2");
    (key, last.0, last.1)
}

/// Guards against a run that is counted as lost when the lease has expired by the clock of the
/// current incarnation, while another incarnation, which has not reported yet, still has it. Its
/// lease is measured by its own clock, and a late renewal may extend it.
#[test]
fn an_unreported_start_is_kept_until_no_late_renewal_can_arrive() {
    let mut planner = planner(1);
    let (key, task, _) = unreported_start(&mut planner);
    planner.mark_unresponsive(key);

    let early = plan_at(&mut planner, 20_300);
    let late = plan_at(&mut planner, 20_500);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
}

/// Guards against waiting longer than needed: if a report of the current incarnation has listed
/// the run, it is lost as soon as that incarnation's lease has expired.
#[test]
fn a_reported_start_is_lost_with_its_lease() {
    let mut planner = planner(1);
    let (key, task, run) = unreported_start(&mut planner);
    let report = report_of(
        FIRST_START,
        worker_report(vec![running(task, run)], Vec::new()),
    );
    deliver_report(&mut planner, key, 10_010, &report);
    planner.mark_unresponsive(key);

    let late = plan_at(&mut planner, 15_000);

    assert_eq!(late.len(), 1);
}

/// Guards against a start that reaches an incarnation which has not reported yet, seconds after it
/// was sent, and runs there at the same time as the next start of its task.
#[test]
fn an_unanswered_start_is_kept_until_it_cannot_arrive_late() {
    let mut planner = planner(1);
    let (key, task, _) = unanswered_start(&mut planner, 1);

    let early = plan_at(&mut planner, 20_600);
    let late = plan_at(&mut planner, 20_800);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
    assert_ne!(late[0].2, key);
}

/// Guards against reported runs that are counted as lost only as late as an unrelated unanswered
/// start.
#[test]
fn reported_runs_do_not_wait_for_an_unanswered_start() {
    let mut planner = planner(1);
    let (key, last, _) = unanswered_start(&mut planner, 2);

    let late = plan_at(&mut planner, 15_100);

    assert_eq!(late.len(), 1);
    assert_ne!(late[0].0, last);
    assert_ne!(late[0].2, key);
}

/// Guards against a run whose lease is longer than the successor assumes, because a command
/// of the former owner that was meant for a former incarnation extended it.
#[test]
fn a_run_found_at_take_over_is_kept_for_the_longest_lease() {
    let mut planner = planner(2);
    let saved_progress = Progress::default();
    planner.add_job(JOB, spec(vec![step(1)]), Some(&saved_progress), true);
    let key = planner
        .restore_worker(info(FIRST_START))
        .expect("a restored worker");
    planner.register_worker(info(FIRST_START));
    let run = worker_report(vec![running(task(JOB, 0, 0), 3)], Vec::new());
    deliver_report(&mut planner, key, 5000, &report_of(FIRST_START, run));
    support::add_claimed(&mut planner, "w2");
    planner.mark_unresponsive(key);

    let early = plan_at(&mut planner, 11_300);
    let late = plan_at(&mut planner, 11_500);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a successor that waits for an unresponsive worker only as long as a normal lease
/// lasts. A delayed renewal of the former owner may have given a lease of the maximum length to an
/// incarnation of that worker which has not reported yet.
#[test]
fn a_successor_waits_for_an_unresponsive_worker_by_the_longest_lease() {
    let mut planner = planner(2);
    let saved_progress = Progress::default();
    planner.add_job(JOB, spec(vec![step(1)]), Some(&saved_progress), true);
    planner
        .restore_worker(info(FIRST_START))
        .expect("a restored worker");
    let other = planner
        .restore_worker(worker("w2"))
        .expect("a restored worker");
    planner.register_worker(worker("w2"));
    deliver_report(&mut planner, other, 10, &WorkerReport::default());

    // The former owner renews leases for 2.5 s after half of the workers were claimed.
    plan_at(&mut planner, 20);
    let early = plan_at(&mut planner, 8800);
    let late = plan_at(&mut planner, 9000);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a start that is confirmed by a late reply and is counted as lost while
/// renewals that were sent before may still arrive.
#[test]
fn a_start_that_is_confirmed_late_is_kept_from_then_on() {
    let mut planner = planner(1);
    let (key, task, run) = unanswered_start(&mut planner, 1);
    planner.advance(at(11_900));
    planner.start_reply(key, task, run, StartReply::Started);

    let early = plan_at(&mut planner, 22_200);
    let late = plan_at(&mut planner, 22_400);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against a run that is counted as lost too early. Its start was sent before the worker
/// named its incarnation, and may still reach the first one that it names.
#[test]
fn a_start_that_may_reach_the_first_named_incarnation_is_kept() {
    let mut planner = planner(1);
    let key = planner.register_worker(worker("w1")).expect("new worker");
    deliver_report(&mut planner, key, 1, &WorkerReport::default());
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(&mut planner, 10)[0];
    planner.advance(at(260));
    planner.start_reply(key, task, run, StartReply::Unknown);
    planner.register_worker(info(FIRST_START));
    deliver_report(&mut planner, key, 300, &empty_report(FIRST_START));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    planner.mark_unresponsive(next);
    support::add_claimed(&mut planner, "w2");

    let early = plan_at(&mut planner, 10_600);
    let late = plan_at(&mut planner, 10_800);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, task);
}
