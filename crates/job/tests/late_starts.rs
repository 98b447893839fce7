//! Starts that get no reply and are carried out seconds later, after their job was cancelled:
//! each run is stopped, and the stop is sent again until the worker confirms it.

mod support;

use std::time::Duration;

use job::Command;
use job::JobSpec;
use job::Planner;
use job::Resources;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::StepSpec;
use job::StopReply;
use job::TaskKey;
use job::WorkerKey;
use job::WorkerReport;
use support::add;
use support::add_claimed;
use support::ended;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker_report;

const JOB: u64 = 7;

/// Time in milliseconds at which the last lease that a former owner, or a start at time 0,
/// may have given a worker has certainly expired, whatever the differences between clocks.
const EXPIRED: u64 = 7_000;

fn canceled(steps: Vec<StepSpec>) -> JobSpec {
    let mut job = spec(steps);
    job.canceled = true;
    job
}

/// A run that was sent to a worker.
type SentRun = (WorkerKey, TaskKey, RunId);

/// Takes the commands, and returns the stops among them.
fn stops(planner: &mut Planner) -> Vec<SentRun> {
    let commands = planner.take_commands();
    let stops = commands.into_iter().filter_map(|command| match command {
        Command::Stop {
            worker, task, run, ..
        } => Some((worker, task, run)),
        _ => None,
    });
    stops.collect()
}

/// Starts the only task of the job on the only worker; the start gets no reply.
fn unanswered_start(planner: &mut Planner) -> SentRun {
    add_claimed(planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let starts = plan_at(planner, 1);
    let (task, run, key) = starts[0];
    planner.start_reply(key, task, run, StartReply::Unknown);
    (key, task, run)
}

/// Cancels the job: its row, marked as cancelled, is read again.
fn cancel(planner: &mut Planner) {
    planner.add_job(JOB, canceled(vec![step(1)]), None, false);
}

/// Sends a report at `at` milliseconds that lists one run.
fn report_at(planner: &mut Planner, at: u64, (key, task, run): SentRun) {
    let at = Duration::from_millis(at);
    planner.advance(at);
    planner.apply_report(key, at, &worker_report(vec![running(task, run)], vec![]));
}

/// Asserts that the stop of `sent` is sent again as long as it gets no reply, also after another
/// report of the run, but not after it is confirmed. The run's resources are freed only when its
/// end is reported.
fn assert_stopped_until_confirmed(planner: &mut Planner, at: u64, sent: SentRun) {
    let (key, task, run) = sent;
    for _ in 0..3 {
        planner.stop_reply(key, task, run, StopReply::Unknown);
        assert_eq!(stops(planner), vec![sent], "sent again");
    }
    report_at(planner, at, sent);
    planner.stop_reply(key, task, run, StopReply::Unknown);
    assert_eq!(stops(planner), vec![sent], "sent again after a report");
    planner.stop_reply(key, task, run, StopReply::Stopped);
    report_at(planner, at + 10, sent);
    assert_eq!(planner.load().placed, 1, "the run is still ending");
    let end_report = worker_report(vec![], vec![ended(1, task, run, RunEnd::Stopped)]);
    planner.advance(Duration::from_millis(at + 20));
    planner.apply_report(key, Duration::from_millis(at + 20), &end_report);
    assert_eq!(stops(planner), vec![]);
    assert_eq!(planner.load().placed, 0);
    assert_eq!(planner.load().booked, Resources::default());
}

/// Guards against a run of a cancelled job that goes on: its start gets no reply, the job is
/// cancelled, and then the worker carries out the start. The run stays booked meanwhile,
/// and its stop is sent again.
#[test]
fn a_late_start_of_a_cancelled_job_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);

    cancel(&mut planner);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 2_500, sent);
}

/// The same, with a cancel that comes before the start counts as unanswered.
#[test]
fn a_cancel_before_the_answer_to_the_start_stops_it() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, key) = plan_at(&mut planner, 1)[0];
    let sent = (key, task, run);

    cancel(&mut planner);
    planner.start_reply(key, task, run, StartReply::Unknown);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 2_500, sent);
}

/// Guards against a run of a cancelled job that goes on because its worker was unresponsive
/// until the lease had certainly expired, and reported the run only after that.
#[test]
fn a_run_reported_after_lease_expiry_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    cancel(&mut planner);
    plan_at(&mut planner, EXPIRED);
    assert_eq!(planner.load().placed, 0, "the run is lost with the lease");

    report_at(&mut planner, EXPIRED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, EXPIRED + 200, sent);
}

/// The same, but the job is cancelled only after the lease has expired, while its task is waiting.
#[test]
fn a_cancel_after_lease_expiry_stops_a_reported_run() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    plan_at(&mut planner, EXPIRED);
    cancel(&mut planner);

    report_at(&mut planner, EXPIRED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, EXPIRED + 200, sent);
}

/// Guards against a run that goes on after its worker was removed, because its registration
/// was removed and its lease expired. The worker registers again and reports the run.
#[test]
fn a_run_on_a_worker_that_registers_again_is_stopped() {
    let mut planner = planner(1);
    let (_, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    planner.deregister_worker("w1");
    plan_at(&mut planner, EXPIRED);
    let registered_again = (add(&mut planner, "w1"), task, run);

    report_at(&mut planner, EXPIRED + 100, registered_again);

    assert_eq!(stops(&mut planner), vec![registered_again]);
    assert_stopped_until_confirmed(&mut planner, EXPIRED + 200, registered_again);
}

/// Guards against a run that goes on because its job ended so long ago that its row was removed.
#[test]
fn a_run_of_a_removed_job_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    cancel(&mut planner);
    plan_at(&mut planner, EXPIRED);
    planner.remove_jobs(&[JOB]);

    report_at(&mut planner, EXPIRED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, EXPIRED + 200, sent);
}

/// Guards against a run of a cancelled job that the former owner started, and that a worker
/// reports when the successor first reaches it.
#[test]
fn a_successor_stops_a_run_of_its_predecessor() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.add_job(JOB, canceled(vec![step(1)]), None, true);
    let sent = (key, task(JOB, 0, 0), 1);

    report_at(&mut planner, 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 200, sent);
}

/// The same with a cancel that is read after the run was adopted, for a worker that is reached
/// during recovery and for one that is reached after it.
#[test]
fn a_successor_stops_an_adopted_run() {
    for at in [100, EXPIRED] {
        let mut planner = planner(2);
        let key = add(&mut planner, "w1");
        planner.add_job(JOB, spec(vec![step(1)]), None, true);
        plan_at(&mut planner, at);
        let sent = (key, task(JOB, 0, 0), 1);
        report_at(&mut planner, at + 10, sent);

        cancel(&mut planner);

        assert_eq!(stops(&mut planner), vec![sent], "at {at}");
        assert_stopped_until_confirmed(&mut planner, at + 100, sent);
    }
}

/// Guards against a run that goes on because the successor reads the cancelled job only after
/// the worker has reported the run.
#[test]
fn a_successor_stops_a_run_of_a_job_read_later() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let sent = (key, task(JOB, 0, 0), 1);
    report_at(&mut planner, 100, sent);

    planner.add_job(JOB, canceled(vec![step(1)]), None, false);

    assert_eq!(stops(&mut planner), vec![sent], "once");
    assert_stopped_until_confirmed(&mut planner, 200, sent);
}

/// Guards against a second run of a task that goes on next to the booked one. A worker reports
/// a run while another run of its task is booked there, and neither the stop nor the renewals
/// after it are answered. Unanswered stops were sent again only for booked runs.
#[test]
fn a_stop_of_an_unbooked_run_is_sent_again() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec(vec![step(1)]), None, true);
    let (task, booked, _) = plan_at(&mut planner, 10)[0];
    let other = (key, task, 1);
    report_at(&mut planner, 20, other);
    assert_eq!(stops(&mut planner), vec![other]);

    planner.stop_reply(key, task, 1, StopReply::Unknown);

    assert_eq!(stops(&mut planner), vec![other], "sent again");
    assert!(booked > 1);
    planner.stop_reply(key, task, 1, StopReply::Stopped);
    assert_eq!(stops(&mut planner), vec![], "confirmed");
    assert_eq!(planner.load().placed, 1, "the booked run goes on");
}

/// Guards against a worker that never gets work again after it reported two runs of a task whose
/// job was not read yet: the second booking replaced the first, whose resources were never freed.
#[test]
fn two_runs_of_a_job_that_was_not_read_free_their_resources() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let task = task(JOB, 0, 0);
    let report = worker_report(vec![running(task, 1), running(task, 2)], vec![]);
    planner.apply_report(key, Duration::ZERO, &report);
    let stopped = stops(&mut planner);
    let ends = vec![
        ended(1, task, 1, RunEnd::Stopped),
        ended(2, task, 2, RunEnd::Stopped),
    ];
    planner.apply_report(key, Duration::from_millis(10), &worker_report(vec![], ends));
    planner.advance(Duration::from_secs(3));

    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);

    assert_eq!(stopped, vec![(key, task, 1), (key, task, 2)]);
    assert_eq!(plan_at(&mut planner, 3_010).len(), 1);
}

/// Guards against a gang member that goes on after a cancel. Its start gets no reply, the job is
/// cancelled while the other members wait for it, and then it starts.
#[test]
fn a_late_member_of_a_cancelled_gang_is_stopped() {
    let mut planner = planner(1);
    let keys = [
        add_claimed(&mut planner, "w1"),
        add_claimed(&mut planner, "w2"),
    ];
    let mut gang = step(2);
    gang.gang = true;
    gang.need = resources(4000, 1000);
    planner.add_job(JOB, spec(vec![gang.clone()]), None, false);
    let starts = plan_at(&mut planner, 1);
    let (late, run, slow) = starts[0];
    planner.start_reply(slow, late, run, StartReply::Unknown);
    let (other, _, fast) = starts[1];
    planner.start_reply(fast, other, run, StartReply::Started);

    planner.add_job(JOB, canceled(vec![gang]), None, false);

    let mut stopped = stops(&mut planner);
    stopped.sort_unstable();
    let mut all = vec![(slow, late, run), (fast, other, run)];
    all.sort_unstable();
    assert_eq!(stopped, all);
    assert!(keys.contains(&slow) && keys.contains(&fast));
    let end_report = worker_report(vec![], vec![ended(1, other, run, RunEnd::Stopped)]);
    planner.apply_report(fast, Duration::from_millis(300), &end_report);
    assert_stopped_until_confirmed(&mut planner, 2_500, (slow, late, run));
}

/// The same in a gang that is broken, since the start of one member was refused. The member
/// whose start got no reply is being stopped already when the job is cancelled.
#[test]
fn a_late_member_of_a_broken_gang_is_stopped_after_the_cancel() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let mut gang = step(2);
    gang.gang = true;
    gang.need = resources(4000, 1000);
    planner.add_job(JOB, spec(vec![gang.clone()]), None, false);
    let starts = plan_at(&mut planner, 1);
    let (late, run, slow) = starts[0];
    planner.start_reply(slow, late, run, StartReply::Unknown);
    let (other, _, fast) = starts[1];
    planner.start_reply(fast, other, run, StartReply::Refused);
    assert_eq!(stops(&mut planner), vec![(slow, late, run)]);

    planner.add_job(JOB, canceled(vec![gang]), None, false);

    assert_stopped_until_confirmed(&mut planner, 2_500, (slow, late, run));
}

/// Guards against resources that are freed too early or twice. A stop gets no reply and is
/// carried out late, before the start that it is for, and the worker then reports no run. The
/// resources are freed once, when a stop is confirmed.
#[test]
fn a_stop_that_is_carried_out_late_frees_resources_once() {
    let mut planner = planner(1);
    let (key, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    stops(&mut planner);
    planner.stop_reply(key, task, run, StopReply::Unknown);
    stops(&mut planner);
    let at = Duration::from_secs(2);
    planner.advance(at);
    planner.apply_report(key, at, &WorkerReport::default());
    let booked_before = planner.load().booked;
    planner.stop_reply(key, task, run, StopReply::Stopped);
    let later = Duration::from_millis(2_100);
    planner.advance(later);

    planner.apply_report(key, later, &WorkerReport::default());

    assert_eq!(
        booked_before,
        resources(1000, 1000),
        "the start may still be carried out"
    );
    assert_eq!(planner.load().booked, Resources::default());
    planner.stop_reply(key, task, run, StopReply::Unknown);
    assert_eq!(stops(&mut planner), vec![], "the run has ended");
}

/// Guards against a stop that is sent again after the end of the run was reported, when the
/// stop itself is counted as unanswered later.
#[test]
fn a_reported_end_ends_the_repetition_of_a_stop() {
    let mut planner = planner(1);
    let (key, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    stops(&mut planner);
    let end_report = worker_report(vec![], vec![ended(1, task, run, RunEnd::Stopped)]);
    planner.apply_report(key, Duration::from_millis(300), &end_report);

    planner.stop_reply(key, task, run, StopReply::Unknown);

    assert_eq!(stops(&mut planner), vec![]);
}
