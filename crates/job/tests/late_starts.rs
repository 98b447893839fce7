//! Starts that got no answer and are carried out seconds later, after their
//! job was cancelled: each is stopped, and the stop is sent again until the
//! worker has confirmed it.

mod support;

use std::time::Duration;

use job::JobSpec;
use job::Order;
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

/// The last lease that a worker may have been given, by a predecessor or by a
/// start at time 0, is over by every clock.
const LAPSED: u64 = 7_000;

fn canceled(steps: Vec<StepSpec>) -> JobSpec {
    let mut job = spec(steps);
    job.canceled = true;
    job
}

/// A run on a worker.
type Sent = (WorkerKey, TaskKey, RunId);

/// Stops among the orders.
fn stops(planner: &mut Planner) -> Vec<Sent> {
    let orders = planner.take_orders();
    let stops = orders.into_iter().filter_map(|order| match order {
        Order::Stop {
            worker, task, run, ..
        } => Some((worker, task, run)),
        _ => None,
    });
    stops.collect()
}

/// Starts the only task of the job on a worker of its own; no answer comes.
fn unanswered_start(planner: &mut Planner) -> Sent {
    add_claimed(planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let starts = plan_at(planner, 1);
    let (task, run, key) = starts[0];
    planner.start_reply(key, task, run, StartReply::Unknown);
    (key, task, run)
}

/// Cancels the job.
fn cancel(planner: &mut Planner) {
    planner.take_job(JOB, canceled(vec![step(1)]), None, false);
}

/// Lists one run at a time in milliseconds.
fn list(planner: &mut Planner, at: u64, (key, task, run): Sent) {
    let at = Duration::from_millis(at);
    planner.advance(at);
    planner.take_listing(key, at, &worker_report(vec![running(task, run)], vec![]));
}

/// The stop of `sent` is sent again as long as it gets no answer, also after
/// the run was listed once more, and no more once it was confirmed and the run
/// has ended. Its room comes back then, and no sooner.
fn assert_stopped_until_confirmed(planner: &mut Planner, at: u64, sent: Sent) {
    let (key, task, run) = sent;
    for _ in 0..3 {
        planner.stop_reply(key, task, run, StopReply::Unknown);
        assert_eq!(stops(planner), vec![sent], "sent again");
    }
    list(planner, at, sent);
    planner.stop_reply(key, task, run, StopReply::Unknown);
    assert_eq!(stops(planner), vec![sent], "sent again after a listing");
    planner.stop_reply(key, task, run, StopReply::Stopped);
    list(planner, at + 10, sent);
    assert_eq!(planner.load().placed, 1, "it is still ending");
    let over = worker_report(vec![], vec![ended(1, task, run, RunEnd::Stopped)]);
    planner.advance(Duration::from_millis(at + 20));
    planner.take_listing(key, Duration::from_millis(at + 20), &over);
    assert_eq!(stops(planner), vec![]);
    assert_eq!(planner.load().placed, 0);
    assert_eq!(planner.load().used, Resources::default());
}

/// Symptom: a task of a cancelled job ran on. Sequence: its start gets no
/// answer; the job is cancelled; the worker carries the start out. Cause ruled
/// out: the run is booked all the while, and its stop is repeated.
#[test]
fn a_late_start_of_a_cancelled_job_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);

    cancel(&mut planner);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 2_500, sent);
}

/// The same, with the answer to the start still under way at the cancel.
#[test]
fn a_cancel_before_the_answer_to_the_start_stops_it() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, key) = plan_at(&mut planner, 1)[0];
    let sent = (key, task, run);

    cancel(&mut planner);
    planner.start_reply(key, task, run, StartReply::Unknown);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 2_500, sent);
}

/// Sequence: a worker is silent until its lease is over by every clock; only
/// then it shows a run of a job that was cancelled meanwhile.
#[test]
fn a_run_listed_after_its_lease_was_counted_over_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    cancel(&mut planner);
    plan_at(&mut planner, LAPSED);
    assert_eq!(planner.load().placed, 0, "given up with the lease");

    list(&mut planner, LAPSED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, LAPSED + 200, sent);
}

/// Sequence: as before, but the job is cancelled only after the lease was
/// counted over, and its task waits meanwhile.
#[test]
fn a_cancel_after_the_lease_was_counted_over_stops_what_is_listed() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    plan_at(&mut planner, LAPSED);
    cancel(&mut planner);

    list(&mut planner, LAPSED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, LAPSED + 200, sent);
}

/// Sequence: a worker's registration vanishes and its lease ends, so it is
/// dropped; it registers again and shows the run.
#[test]
fn a_run_on_a_worker_that_registers_again_is_stopped() {
    let mut planner = planner(1);
    let (_, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    planner.lose_worker("w1");
    plan_at(&mut planner, LAPSED);
    let again = (add(&mut planner, "w1"), task, run);

    list(&mut planner, LAPSED + 100, again);

    assert_eq!(stops(&mut planner), vec![again]);
    assert_stopped_until_confirmed(&mut planner, LAPSED + 200, again);
}

/// Sequence: the job ended so long ago that it is forgotten.
#[test]
fn a_run_of_a_forgotten_job_is_stopped() {
    let mut planner = planner(1);
    let sent = unanswered_start(&mut planner);
    cancel(&mut planner);
    plan_at(&mut planner, LAPSED);
    planner.forget(&[JOB]);

    list(&mut planner, LAPSED + 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, LAPSED + 200, sent);
}

/// Sequence: a predecessor's start of a job cancelled since is listed by the
/// worker when the successor first reaches it.
#[test]
fn a_successor_stops_what_its_predecessor_started_late() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    planner.take_job(JOB, canceled(vec![step(1)]), None, true);
    let sent = (key, task(JOB, 0, 0), 1);

    list(&mut planner, 100, sent);

    assert_eq!(stops(&mut planner), vec![sent]);
    assert_stopped_until_confirmed(&mut planner, 200, sent);
}

/// The same with a cancel that becomes known after the run was adopted, and
/// with a worker that is reached only after the take-over is complete.
#[test]
fn a_successor_stops_what_it_has_adopted() {
    for at in [100, LAPSED] {
        let mut planner = planner(2);
        let key = add(&mut planner, "w1");
        planner.take_job(JOB, spec(vec![step(1)]), None, true);
        plan_at(&mut planner, at);
        let sent = (key, task(JOB, 0, 0), 1);
        list(&mut planner, at + 10, sent);

        cancel(&mut planner);

        assert_eq!(stops(&mut planner), vec![sent], "at {at}");
        assert_stopped_until_confirmed(&mut planner, at + 100, sent);
    }
}

/// Sequence: a successor learns of the job, and that it was cancelled, only
/// after the worker has listed its run.
#[test]
fn a_successor_stops_a_run_of_a_job_learnt_later() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let sent = (key, task(JOB, 0, 0), 1);
    list(&mut planner, 100, sent);

    planner.take_job(JOB, canceled(vec![step(1)]), None, false);

    assert_eq!(stops(&mut planner), vec![sent], "once");
    assert_stopped_until_confirmed(&mut planner, 200, sent);
}

/// Symptom: a second run of a task went on beside the one that was booked.
/// Sequence: a worker lists a run while another run of its task is booked
/// there; the stop gets no answer, and neither do the renewals that follow.
/// Cause: the stop was sent without a booking, and an unanswered stop is sent
/// again only for the run that is booked.
#[test]
fn a_stop_beside_another_booked_run_is_repeated() {
    let mut planner = planner(2);
    let key = add_claimed(&mut planner, "w1");
    planner.take_job(JOB, spec(vec![step(1)]), None, true);
    let (task, booked, _) = plan_at(&mut planner, 10)[0];
    let other = (key, task, 1);
    list(&mut planner, 20, other);
    assert_eq!(stops(&mut planner), vec![other]);

    planner.stop_reply(key, task, 1, StopReply::Unknown);

    assert_eq!(stops(&mut planner), vec![other], "sent again");
    assert!(booked > 1);
    planner.stop_reply(key, task, 1, StopReply::Stopped);
    assert_eq!(stops(&mut planner), vec![], "confirmed");
    assert_eq!(planner.load().placed, 1, "the booked run goes on");
}

/// Symptom: a worker got no work for good. Sequence: it lists two runs of a
/// task of a job that is not known. Cause: the second booking replaced the
/// first, whose room was never given back.
#[test]
fn two_runs_of_an_unknown_job_give_their_room_back() {
    let mut planner = planner(2);
    let key = add(&mut planner, "w1");
    let task = task(JOB, 0, 0);
    let two = worker_report(vec![running(task, 1), running(task, 2)], vec![]);
    planner.take_listing(key, Duration::ZERO, &two);
    let stopped = stops(&mut planner);
    let ends = vec![
        ended(1, task, 1, RunEnd::Stopped),
        ended(2, task, 2, RunEnd::Stopped),
    ];
    planner.take_listing(key, Duration::from_millis(10), &worker_report(vec![], ends));
    planner.advance(Duration::from_secs(3));

    planner.take_job(JOB + 1, spec(vec![step(1)]), None, false);

    assert_eq!(stopped, vec![(key, task, 1), (key, task, 2)]);
    assert_eq!(plan_at(&mut planner, 3_010).len(), 1);
}

/// Sequence: one member's start gets no answer; the job is cancelled while the
/// other members wait for it; that member begins late.
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
    planner.take_job(JOB, spec(vec![gang.clone()]), None, false);
    let starts = plan_at(&mut planner, 1);
    let (late, run, slow) = starts[0];
    planner.start_reply(slow, late, run, StartReply::Unknown);
    let (other, _, fast) = starts[1];
    planner.start_reply(fast, other, run, StartReply::Started);

    planner.take_job(JOB, canceled(vec![gang]), None, false);

    let mut stopped = stops(&mut planner);
    stopped.sort_unstable();
    let mut all = vec![(slow, late, run), (fast, other, run)];
    all.sort_unstable();
    assert_eq!(stopped, all);
    assert!(keys.contains(&slow) && keys.contains(&fast));
    let over = worker_report(vec![], vec![ended(1, other, run, RunEnd::Stopped)]);
    planner.take_listing(fast, Duration::from_millis(300), &over);
    assert_stopped_until_confirmed(&mut planner, 2_500, (slow, late, run));
}

/// Sequence: a gang is broken since one member was lost; another member, whose
/// start got no answer, is being stopped for that; the job is cancelled.
#[test]
fn a_late_member_of_a_broken_gang_is_stopped_after_the_cancel() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    let mut gang = step(2);
    gang.gang = true;
    gang.need = resources(4000, 1000);
    planner.take_job(JOB, spec(vec![gang.clone()]), None, false);
    let starts = plan_at(&mut planner, 1);
    let (late, run, slow) = starts[0];
    planner.start_reply(slow, late, run, StartReply::Unknown);
    let (other, _, fast) = starts[1];
    planner.start_reply(fast, other, run, StartReply::Refused);
    assert_eq!(stops(&mut planner), vec![(slow, late, run)]);

    planner.take_job(JOB, canceled(vec![gang]), None, false);

    assert_stopped_until_confirmed(&mut planner, 2_500, (slow, late, run));
}

/// Sequence: a stop gets no answer and is carried out late, before the start
/// that it is meant for; then the worker lists neither. The room is given back
/// once, and only when a stop was confirmed.
#[test]
fn a_stop_that_is_carried_out_late_gives_the_room_back_once() {
    let mut planner = planner(1);
    let (key, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    stops(&mut planner);
    planner.stop_reply(key, task, run, StopReply::Unknown);
    stops(&mut planner);
    let at = Duration::from_secs(2);
    planner.advance(at);
    planner.take_listing(key, at, &WorkerReport::default());
    let held = planner.load().used;
    planner.stop_reply(key, task, run, StopReply::Stopped);
    let later = Duration::from_millis(2_100);
    planner.advance(later);

    planner.take_listing(key, later, &WorkerReport::default());

    assert_eq!(held, resources(1000, 1000), "the start may still come");
    assert_eq!(planner.load().used, Resources::default());
    planner.stop_reply(key, task, run, StopReply::Unknown);
    assert_eq!(stops(&mut planner), vec![], "the run is over");
}

/// Sequence: the end of a stopped run is listed before the answer to the stop
/// is given up.
#[test]
fn an_end_that_is_listed_ends_the_repetition() {
    let mut planner = planner(1);
    let (key, task, run) = unanswered_start(&mut planner);
    cancel(&mut planner);
    stops(&mut planner);
    let over = worker_report(vec![], vec![ended(1, task, run, RunEnd::Stopped)]);
    planner.take_listing(key, Duration::from_millis(300), &over);

    planner.stop_reply(key, task, run, StopReply::Unknown);

    assert_eq!(stops(&mut planner), vec![]);
}
