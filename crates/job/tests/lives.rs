//! Workers that start again under their id: what is known of one life does not outlive it.

mod support;

use std::time::Duration;

use job::Advice;
use job::FreeHelpers;
use job::LifeSeen;
use job::Listing;
use job::Order;
use job::Planner;
use job::Progress;
use job::RunEnd;
use job::RunId;
use job::Shown;
use job::StartReply;
use job::StopReply;
use job::TaskKey;
use job::Ticket;
use job::WorkerInfo;
use job::WorkerKey;

use support::ended;
use support::listing;
use support::plan_at;
use support::planner;
use support::room;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;

/// Start of the first life of a worker, and of the next one.
const FIRST: u64 = 1_790_000_000_000;
const NEXT: u64 = FIRST + 5000;

/// The job of these tests.
const JOB: u64 = 7;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn info(born: u64) -> WorkerInfo {
    WorkerInfo {
        born: Some(born),
        ..worker("w1")
    }
}

fn list(born: u64, of: Listing) -> Listing {
    Listing {
        born: Some(born),
        ..of
    }
}

fn nothing(born: u64) -> Listing {
    list(born, Listing::default())
}

/// A list that was asked for at a time and comes 2 ms later.
fn tell(planner: &mut Planner, key: WorkerKey, sent: u64, of: &Listing) {
    planner.advance(at(sent + 2));
    planner.take_listing(key, at(sent), of);
}

/// Plans, saves what has to be saved before a start, and plans again 5 ms later.
fn plan_saved(planner: &mut Planner, now: u64) -> Vec<(TaskKey, RunId, WorkerKey)> {
    let mut starts = plan_at(planner, now);
    save(planner);
    starts.extend(plan_at(planner, now + 5));
    starts
}

fn save(planner: &mut Planner) {
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
}

/// The life that a planner has found, by its orders.
fn begun(planner: &mut Planner) -> Option<WorkerKey> {
    let orders = planner.take_orders();
    orders.into_iter().find_map(|order| match order {
        Order::Begin { worker } => Some(worker),
        _ => None,
    })
}

/// A worker in its first life, claimed, whose first 20 ends are taken in.
fn with_history(planner: &mut Planner) -> WorkerKey {
    let key = planner.take_worker(info(FIRST)).expect("new worker");
    let ends = (1..=20).map(|number| ended(number, task(1, 0, 0), number, RunEnd::Stopped));
    let ends = listing(Vec::new(), ends.collect());
    tell(planner, key, 1, &list(FIRST, ends));
    key
}

/// Starts a job of one step at 10 ms; its starts are answered.
fn start(planner: &mut Planner, count: u32) -> Vec<(TaskKey, RunId)> {
    planner.take_job(JOB, spec(vec![step(count)]), None, false);
    let starts = plan_at(planner, 10);
    planner.advance(at(12));
    for &(task, run, key) in &starts {
        planner.start_reply(key, task, run, StartReply::Started);
    }
    starts.iter().map(|(task, run, _)| (*task, *run)).collect()
}

/// The worker registers and is claimed in its next life.
fn claim_next(planner: &mut Planner, key: WorkerKey, sent: u64) -> WorkerKey {
    planner.take_worker(info(NEXT));
    tell(planner, key, sent, &nothing(NEXT));
    let next = begun(planner).expect("a next life");
    tell(planner, next, sent + 5, &nothing(NEXT));
    next
}

/// Guards against ends that are taken for those of the former life by their numbers.
#[test]
fn ends_of_a_new_life_are_taken_from_the_first_on() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let next = claim_next(&mut planner, key, 100);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, there) = plan_at(&mut planner, 110)[0];

    let ends = listing(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    tell(&mut planner, next, 200, &list(NEXT, ends));

    assert_eq!(there, next);
    assert_eq!(planner.newest_end(next), 1);
    let batch = planner.take_batch(10);
    assert_eq!(batch.ends, vec![(next, 1)]);
    planner.batch_saved(&batch);
    assert_eq!(planner.shown(JOB), Some(Shown::Completed));
}

/// Guards against failed runs that count as no attempt since the worker has started again.
#[test]
fn failed_runs_count_over_the_lives_of_their_worker() {
    let mut planner = planner(1);
    let mut key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let mut now = 10;

    for life in 1..=2 {
        let (task, run, _) = plan_at(&mut planner, now)[0];
        let ends = listing(Vec::new(), vec![ended(1, task, run, RunEnd::Failed)]);
        tell(&mut planner, key, now + 5, &nothing(FIRST + life));
        key = begun(&mut planner).expect("a next life");
        planner.take_worker(info(FIRST + life));
        tell(&mut planner, key, now + 10, &list(FIRST + life, ends));
        now += 50;
    }

    assert_eq!(planner.unfinished(), 0);
    save(&mut planner);
    assert_eq!(planner.shown(JOB), Some(Shown::Failed));
}

/// Guards against a registration that is read late, or whose clock went back, and ends the
/// life that is at work.
#[test]
fn a_registration_alone_ends_no_life() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let runs = start(&mut planner, 2);

    for born in [NEXT, FIRST - 5000] {
        planner.take_worker(info(born));
        let again = plan_at(&mut planner, 100);

        assert_eq!(again, vec![], "registered as {born}");
        assert!(planner.holds(key, runs[0].0, runs[0].1));
    }
}

/// Guards against a new life that is filled by what the former one had: it may be smaller.
#[test]
fn a_worker_that_has_registered_as_another_life_gets_no_work_until_it_answers() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);

    planner.advance(at(100));
    planner.take_worker(info(NEXT));
    let at_once = plan_at(&mut planner, 105);
    tell(&mut planner, key, 90, &nothing(FIRST));
    let overtaken = plan_at(&mut planner, 110);
    tell(&mut planner, key, 120, &nothing(FIRST));
    let answered = plan_at(&mut planner, 130);

    assert_eq!((at_once, overtaken), (vec![], vec![]));
    assert_eq!(answered.len(), 1);
}

/// Guards against the order of two lives being told by their clocks.
#[test]
fn a_life_whose_clock_went_back_follows_the_one_that_is_known() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let runs = start(&mut planner, 1);

    tell(&mut planner, key, 100, &nothing(FIRST - 5000));
    let next = begun(&mut planner).expect("a next life");
    planner.take_worker(info(FIRST - 5000));
    tell(&mut planner, next, 110, &nothing(FIRST - 5000));

    let again = plan_saved(&mut planner, 120);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].2), (runs[0].0, next));
    assert!(again[0].1 > runs[0].1);
}

/// Guards against an answer of the former life that comes after one of the new life, and
/// against its registration read late.
#[test]
fn a_life_that_is_over_does_not_come_back() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let next = claim_next(&mut planner, key, 100);
    let late = list(FIRST, listing(vec![running(task(9, 0, 0), 3)], Vec::new()));

    let registered = planner.take_worker(info(FIRST));
    tell(&mut planner, next, 50, &late);
    let overtaken = planner.life_seen(next, at(50), &late);
    tell(&mut planner, next, 200, &late);

    assert_eq!(registered, None);
    assert_eq!(overtaken, LifeSeen::Past);
    assert_eq!(planner.life_seen(next, at(200), &late), LifeSeen::Past);
    assert_eq!(planner.worker_of("w1"), Some(next));
    assert_eq!(begun(&mut planner), None);
}

/// Guards against an answer that was asked for before the known life was last heard of: it
/// may be of an earlier life that nobody here has met.
#[test]
fn an_answer_that_was_overtaken_ends_no_life() {
    let mut planner = planner(1);
    let key = planner.take_worker(worker("w1")).expect("new worker");
    tell(&mut planner, key, 100, &nothing(NEXT));

    planner.take_listing(key, at(90), &nothing(FIRST));

    assert_eq!(begun(&mut planner), None);
    assert_eq!(planner.worker_of("w1"), Some(key));
}

/// Guards against a start that was sent to the former life, is carried out by the new one,
/// and runs beside the next start of its task.
#[test]
fn an_unconfirmed_start_waits_until_the_new_life_has_refused_it() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(&mut planner, 10)[0];
    planner.start_reply(key, task, run, StartReply::Unknown);

    let next = claim_next(&mut planner, key, 100);
    let early = plan_at(&mut planner, 115);
    planner.advance(at(120));
    planner.stop_reply(next, task, run, StopReply::Stopped);
    let before_listed = plan_at(&mut planner, 125);
    tell(&mut planner, next, 130, &nothing(NEXT));
    let after = plan_at(&mut planner, 140);

    assert_eq!(early, vec![]);
    assert_eq!(before_listed, vec![]);
    assert_eq!(after.len(), 1);
    assert_eq!(after[0].0, task);
}

/// Guards against a run of the new life that is given up with the former one.
#[test]
fn a_run_that_the_new_life_lists_goes_on() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let runs = start(&mut planner, 2);
    let (task, run) = runs[0];
    let there = list(NEXT, listing(vec![running(task, run)], Vec::new()));

    planner.take_worker(info(NEXT));
    tell(&mut planner, key, 100, &there);
    let next = begun(&mut planner).expect("a next life");
    tell(&mut planner, next, 110, &there);
    let again = plan_saved(&mut planner, 120);

    assert!(planner.holds(next, task, run));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, runs[1].0);
    let losses = planner.take_losses();
    assert_eq!(losses.len(), 1);
    assert_eq!(losses[0].task, runs[1].0);
}

/// Guards against an end that the new life lists for a run which was sent to the former.
#[test]
fn a_run_that_the_new_life_has_ended_is_not_started_again() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let (task, run) = start(&mut planner, 1)[0];
    let done = listing(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    let done = list(NEXT, done);

    planner.take_worker(info(NEXT));
    tell(&mut planner, key, 100, &done);
    let early = plan_at(&mut planner, 103);
    let next = planner.worker_of("w1").expect("a next life");
    tell(&mut planner, next, 110, &done);
    let late = plan_at(&mut planner, 120);

    assert_eq!((early, late), (vec![], vec![]));
    assert_eq!(planner.unfinished(), 0);
}

/// A worker of which it was heard for 10 s, and a task that it has confirmed since by its
/// answer to the start alone; beside it one that could take the task.
fn with_fresh_start(planner: &mut Planner) -> (WorkerKey, TaskKey, RunId) {
    let key = with_history(planner);
    tell(planner, key, 9990, &nothing(FIRST));
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, _) = plan_at(planner, 10_000)[0];
    planner.advance(at(10_002));
    planner.start_reply(key, task, run, StartReply::Started);
    support::add_claimed(planner, "w2");
    (key, task, run)
}

/// A job of `count` tasks of which a list has shown all but the last; the start of that gets
/// no answer, 0.25 s after 10 s, and the worker is silent.
fn with_unanswered_start(planner: &mut Planner, count: u32) -> (WorkerKey, TaskKey) {
    let key = with_history(planner);
    tell(planner, key, 9990, &nothing(FIRST));
    planner.take_job(JOB, spec(vec![step(count)]), None, false);
    let starts = plan_at(planner, 10_000);
    let (last, confirmed) = starts.split_last().expect("starts");
    planner.advance(at(10_002));
    for &(task, run, _) in confirmed {
        planner.start_reply(key, task, run, StartReply::Started);
    }
    let runs = confirmed.iter().map(|&(task, run, _)| running(task, run));
    let runs = list(FIRST, listing(runs.collect(), Vec::new()));
    tell(planner, key, 10_004, &runs);
    planner.advance(at(10_250));
    planner.start_reply(key, last.0, last.1, StartReply::Unknown);
    planner.worker_silent(key);
    support::add_claimed(planner, "w2");
    (key, last.0)
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
    let there = list(FIRST, listing(vec![running(task, run)], Vec::new()));
    tell(&mut planner, key, 10_010, &there);
    planner.worker_silent(key);

    let late = plan_at(&mut planner, 15_000);

    assert_eq!(late.len(), 1);
}

/// Guards against a start that reaches an unmet life seconds after it was sent, and runs there
/// beside the next start of its task.
#[test]
fn a_start_without_an_answer_is_waited_for_until_it_can_be_late_no_more() {
    let mut planner = planner(1);
    let (key, task) = with_unanswered_start(&mut planner, 1);

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
    let (key, last) = with_unanswered_start(&mut planner, 2);

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
    let key = planner.recall_worker(info(FIRST)).expect("recalled");
    planner.take_worker(info(FIRST));
    let run = listing(vec![running(task(JOB, 0, 0), 3)], Vec::new());
    tell(&mut planner, key, 5000, &list(FIRST, run));
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
    planner.recall_worker(info(FIRST)).expect("recalled");
    let other = planner.recall_worker(worker("w2")).expect("recalled");
    planner.take_worker(worker("w2"));
    tell(&mut planner, other, 10, &Listing::default());

    // The predecessor renews for 2.5 s after half of the workers were claimed.
    plan_at(&mut planner, 20);
    let early = plan_at(&mut planner, 8800);
    let late = plan_at(&mut planner, 9000);

    assert_eq!(early, vec![]);
    assert_eq!(late.len(), 1);
}

/// Guards against work for a life whose room nobody has told.
#[test]
fn a_life_that_has_not_registered_gets_no_work() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(6)]), None, false);

    tell(&mut planner, key, 100, &nothing(NEXT));
    let next = begun(&mut planner).expect("a next life");
    tell(&mut planner, next, 110, &nothing(NEXT));
    let before = plan_at(&mut planner, 120);
    let smaller = WorkerInfo {
        capacity: room(2000, 64_000),
        ..info(NEXT)
    };
    planner.take_worker(smaller);
    let after = plan_at(&mut planner, 130);

    assert_eq!(before, vec![]);
    assert_eq!(after.len(), 2);
}

/// Guards against a job that is refused as impossible while the room of a life that could
/// take it is not known yet.
#[test]
fn a_job_waits_for_lives_that_have_not_registered() {
    let mut planner = planner(2);
    let key = planner.recall_worker(info(FIRST)).expect("recalled");
    tell(&mut planner, key, 10, &nothing(NEXT));
    let next = begun(&mut planner).expect("a next life");
    tell(&mut planner, next, 20, &nothing(NEXT));
    let small = WorkerInfo {
        capacity: room(1000, 64_000),
        ..worker("w2")
    };
    let other = planner.take_worker(small).expect("new worker");
    tell(&mut planner, other, 30, &Listing::default());
    let mut wide = step(1);
    wide.need = room(2000, 1000);
    planner.take_job(JOB, spec(vec![wide]), None, false);
    plan_at(&mut planner, 100);

    plan_at(&mut planner, 5000);
    let unfinished = planner.unfinished();
    planner.take_worker(info(NEXT));
    let starts = plan_at(&mut planner, 5100);

    assert_eq!(unfinished, 1);
    assert_eq!(starts.len(), 1);
}

/// Guards against the death of a former life, learnt late, that ends the new one.
#[test]
fn the_death_of_a_former_life_does_not_touch_the_next() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.worker_silent(key);
    let next = claim_next(&mut planner, key, 100);

    planner.worker_over(key);

    assert_eq!(planner.worker_of("w1"), Some(next));
}

/// Guards against a list or a registration of another writer that takes a worker's life
/// away.
#[test]
fn what_names_no_life_changes_nothing() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let runs = start(&mut planner, 1);

    planner.take_worker(worker("w1"));
    tell(&mut planner, key, 100, &Listing::default());
    let again = plan_at(&mut planner, 110);

    let unnamed = planner.life_seen(key, at(100), &Listing::default());
    assert_eq!(unnamed, LifeSeen::Unnamed);
    assert_eq!(again, vec![]);
    assert!(planner.holds(key, runs[0].0, runs[0].1));
    assert_eq!(planner.worker(key).and_then(|info| info.born), Some(FIRST));
}

/// Workers that name no life have another id after a crash: the id tells the life.
#[test]
fn a_worker_that_names_no_life_is_served_by_its_id() {
    let mut planner = planner(1);
    support::add_claimed(&mut planner, "w1");

    assert_eq!(start(&mut planner, 3).len(), 3);
}

/// Guards against a worker that begins to name its lives, and is taken for the one that
/// did not.
#[test]
fn a_worker_that_begins_to_name_its_life_has_started_again() {
    let mut planner = planner(1);
    let key = planner.take_worker(worker("w1")).expect("new worker");
    tell(&mut planner, key, 1, &Listing::default());
    let runs = start(&mut planner, 1);

    planner.take_worker(info(NEXT));
    tell(&mut planner, key, 100, &nothing(NEXT));
    let next = begun(&mut planner).expect("a next life");
    tell(&mut planner, next, 110, &nothing(NEXT));

    let again = plan_saved(&mut planner, 120);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].2), (runs[0].0, next));
}

/// Guards against a worker that is asked for good where its former life was.
#[test]
fn a_silent_worker_is_asked_where_it_has_registered_anew() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let elsewhere = ([127, 0, 0, 1], 2).into();
    planner.take_worker(WorkerInfo {
        address: elsewhere,
        ..info(NEXT)
    });
    let before = planner.moved();

    planner.worker_silent(key);

    assert_eq!(before, vec![]);
    assert_eq!(planner.moved(), vec![(key, elsewhere)]);
}

/// Guards against a worker that registered anew before the lease of its former life was
/// over, and is forgotten with that.
#[test]
fn a_life_that_registered_before_the_former_was_given_up_is_used() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.take_worker(info(NEXT));
    planner.worker_silent(key);

    planner.worker_over(key);

    let next = begun(&mut planner).expect("a next life");
    assert_eq!(planner.worker(next), Some(&info(NEXT)));
}

/// Guards against crashes that count for nothing, or twice: one a life.
#[test]
fn each_life_that_ends_under_a_task_counts_as_one_crash() {
    let mut planner = planner(1);
    let mut key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let mut starts = 0;
    for life in 1..=10_u64 {
        let now = 2000 * life;
        tell(&mut planner, key, now, &nothing(FIRST + life - 1));
        for (task, run, there) in plan_saved(&mut planner, now + 10) {
            starts += 1;
            planner.start_reply(there, task, run, StartReply::Started);
            let there = listing(vec![running(task, run)], Vec::new());
            tell(&mut planner, key, now + 20, &list(FIRST + life - 1, there));
        }
        planner.take_worker(info(FIRST + life));
        tell(&mut planner, key, now + 30, &nothing(FIRST + life));
        key = begun(&mut planner).expect("a next life");
    }
    plan_saved(&mut planner, 30_000);
    save(&mut planner);

    assert_eq!(planner.shown(JOB), Some(Shown::Failed));
    assert!((3..=5).contains(&starts), "{starts} starts");
}

/// A successor's row speaks of a life that is over: what ran there is over, too.
#[test]
fn a_successor_learns_that_the_life_it_was_left_is_over() {
    let mut planner = planner(2);
    let old = Progress::default();
    planner.take_job(JOB, spec(vec![step(1)]), Some(&old), true);
    let key = planner.recall_worker(info(FIRST)).expect("recalled");
    let before = plan_at(&mut planner, 10);

    planner.take_worker(info(NEXT));
    tell(&mut planner, key, 20, &nothing(NEXT));
    let next = begun(&mut planner).expect("a next life");
    let unclaimed = plan_at(&mut planner, 30);
    tell(&mut planner, next, 40, &nothing(NEXT));
    let after = plan_at(&mut planner, 50);

    assert_eq!((before, unclaimed), (vec![], vec![]));
    assert!(!planner.recovering());
    assert_eq!(after.len(), 1);
}

/// Guards against a ticket of a former life that is shown to the next one, which refuses it.
#[test]
fn a_ticket_that_was_asked_for_before_a_restart_is_not_used_after_it() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let mut job = spec(vec![step(1)]);
    job.queue.advice = Some(Advice {
        fixed: at(80),
        each: at(1),
        valid: at(1500),
    });
    planner.take_job(JOB, job, None, false);
    plan_at(&mut planner, 10);
    let ask = planner.next_ask(FreeHelpers::Most).expect("a call");

    claim_next(&mut planner, key, 20);
    let ticket = Ticket {
        worker: "w1".to_owned(),
        text: "of the first life".to_owned(),
    };
    planner.take_advice(ask.step, &ask.workers, &[ticket], at(2000));
    let starts = plan_at(&mut planner, 100);
    let again = planner.next_ask(FreeHelpers::Most);

    assert_eq!(starts, vec![]);
    assert_eq!(again.map(|ask| ask.workers), Some(vec!["w1".to_owned()]));
}
