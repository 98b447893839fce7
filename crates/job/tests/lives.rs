//! Workers that start again under their id: what is known of one life does not outlive it.

mod support;

use job::Advice;
use job::FreeHelpers;
use job::JobStatus;
use job::LifeSeen;
use job::Progress;
use job::RunEnd;
use job::StartReply;
use job::StopReply;
use job::Ticket;
use job::WorkerInfo;
use job::WorkerReport;

use support::ended;
use support::incarnations::FIRST_START;
use support::incarnations::JOB;
use support::incarnations::NEXT_START;
use support::incarnations::at;
use support::incarnations::claim_next;
use support::incarnations::deliver_report;
use support::incarnations::empty_report;
use support::incarnations::info;
use support::incarnations::new_incarnation;
use support::incarnations::plan_saved;
use support::incarnations::report_of;
use support::incarnations::save;
use support::incarnations::start;
use support::incarnations::with_history;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Guards against ends that are taken for those of the former life by their numbers.
#[test]
fn ends_of_a_new_life_are_taken_from_the_first_on() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let next = claim_next(&mut planner, key, 100);
    planner.take_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, there) = plan_at(&mut planner, 110)[0];

    let ends = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    deliver_report(&mut planner, next, 200, &report_of(NEXT_START, ends));

    assert_eq!(there, next);
    assert_eq!(planner.newest_end(next), 1);
    let batch = planner.take_batch(10);
    assert_eq!(batch.ends, vec![(next, 1)]);
    planner.batch_saved(&batch);
    assert_eq!(planner.shown(JOB), Some(JobStatus::Completed));
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
        let ends = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Failed)]);
        deliver_report(
            &mut planner,
            key,
            now + 5,
            &empty_report(FIRST_START + life),
        );
        key = new_incarnation(&mut planner).expect("a next life");
        planner.take_worker(info(FIRST_START + life));
        deliver_report(
            &mut planner,
            key,
            now + 10,
            &report_of(FIRST_START + life, ends),
        );
        now += 50;
    }

    assert_eq!(planner.unfinished(), 0);
    save(&mut planner);
    assert_eq!(planner.shown(JOB), Some(JobStatus::Failed));
}

/// Guards against a registration that is read late, or whose clock went back, and ends the
/// life that is at work.
#[test]
fn a_registration_alone_ends_no_life() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    let runs = start(&mut planner, 2);

    for life in [NEXT_START, FIRST_START - 5000] {
        planner.take_worker(info(life));
        let again = plan_at(&mut planner, 100);

        assert_eq!(again, vec![], "registered as {life}");
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
    planner.take_worker(info(NEXT_START));
    let at_once = plan_at(&mut planner, 105);
    deliver_report(&mut planner, key, 90, &empty_report(FIRST_START));
    let overtaken = plan_at(&mut planner, 110);
    deliver_report(&mut planner, key, 120, &empty_report(FIRST_START));
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

    deliver_report(&mut planner, key, 100, &empty_report(FIRST_START - 5000));
    let next = new_incarnation(&mut planner).expect("a next life");
    planner.take_worker(info(FIRST_START - 5000));
    deliver_report(&mut planner, next, 110, &empty_report(FIRST_START - 5000));

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
    let late = report_of(
        FIRST_START,
        worker_report(vec![running(task(9, 0, 0), 3)], Vec::new()),
    );

    let registered = planner.take_worker(info(FIRST_START));
    deliver_report(&mut planner, next, 50, &late);
    let overtaken = planner.life_seen(next, at(50), &late);
    deliver_report(&mut planner, next, 200, &late);

    assert_eq!(registered, None);
    assert_eq!(overtaken, LifeSeen::Past);
    assert_eq!(planner.life_seen(next, at(200), &late), LifeSeen::Past);
    assert_eq!(planner.worker_of("w1"), Some(next));
    assert_eq!(new_incarnation(&mut planner), None);
}

/// Guards against an answer that was asked for before the known life was last heard of: it
/// may be of an earlier life that nobody here has met.
#[test]
fn an_answer_that_was_overtaken_ends_no_life() {
    let mut planner = planner(1);
    let key = planner.take_worker(worker("w1")).expect("new worker");
    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));

    planner.take_listing(key, at(90), &empty_report(FIRST_START));

    assert_eq!(new_incarnation(&mut planner), None);
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
    deliver_report(&mut planner, next, 130, &empty_report(NEXT_START));
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
    let there = report_of(
        NEXT_START,
        worker_report(vec![running(task, run)], Vec::new()),
    );

    planner.take_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &there);
    let next = new_incarnation(&mut planner).expect("a next life");
    deliver_report(&mut planner, next, 110, &there);
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
    let done = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    let done = report_of(NEXT_START, done);

    planner.take_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &done);
    let early = plan_at(&mut planner, 103);
    let next = planner.worker_of("w1").expect("a next life");
    deliver_report(&mut planner, next, 110, &done);
    let late = plan_at(&mut planner, 120);

    assert_eq!((early, late), (vec![], vec![]));
    assert_eq!(planner.unfinished(), 0);
}

/// Guards against work for a life whose room nobody has told.
#[test]
fn a_life_that_has_not_registered_gets_no_work() {
    let mut planner = planner(1);
    let key = with_history(&mut planner);
    planner.take_job(JOB, spec(vec![step(6)]), None, false);

    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next life");
    deliver_report(&mut planner, next, 110, &empty_report(NEXT_START));
    let before = plan_at(&mut planner, 120);
    let smaller = WorkerInfo {
        capacity: resources(2000, 64_000),
        ..info(NEXT_START)
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
    let key = planner.recall_worker(info(FIRST_START)).expect("recalled");
    deliver_report(&mut planner, key, 10, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next life");
    deliver_report(&mut planner, next, 20, &empty_report(NEXT_START));
    let small = WorkerInfo {
        capacity: resources(1000, 64_000),
        ..worker("w2")
    };
    let other = planner.take_worker(small).expect("new worker");
    deliver_report(&mut planner, other, 30, &WorkerReport::default());
    let mut wide = step(1);
    wide.need = resources(2000, 1000);
    planner.take_job(JOB, spec(vec![wide]), None, false);
    plan_at(&mut planner, 100);

    plan_at(&mut planner, 5000);
    let unfinished = planner.unfinished();
    planner.take_worker(info(NEXT_START));
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
    deliver_report(&mut planner, key, 100, &WorkerReport::default());
    let again = plan_at(&mut planner, 110);

    let unnamed = planner.life_seen(key, at(100), &WorkerReport::default());
    assert_eq!(unnamed, LifeSeen::Unnamed);
    assert_eq!(again, vec![]);
    assert!(planner.holds(key, runs[0].0, runs[0].1));
    assert_eq!(
        planner.worker(key).and_then(|info| info.incarnation),
        Some(FIRST_START)
    );
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
    deliver_report(&mut planner, key, 1, &WorkerReport::default());
    let runs = start(&mut planner, 1);

    planner.take_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next life");
    deliver_report(&mut planner, next, 110, &empty_report(NEXT_START));

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
        ..info(NEXT_START)
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
    planner.take_worker(info(NEXT_START));
    planner.worker_silent(key);

    planner.worker_over(key);

    let next = new_incarnation(&mut planner).expect("a next life");
    assert_eq!(planner.worker(next), Some(&info(NEXT_START)));
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
        deliver_report(
            &mut planner,
            key,
            now,
            &empty_report(FIRST_START + life - 1),
        );
        for (task, run, there) in plan_saved(&mut planner, now + 10) {
            starts += 1;
            planner.start_reply(there, task, run, StartReply::Started);
            let there = worker_report(vec![running(task, run)], Vec::new());
            deliver_report(
                &mut planner,
                key,
                now + 20,
                &report_of(FIRST_START + life - 1, there),
            );
        }
        planner.take_worker(info(FIRST_START + life));
        deliver_report(
            &mut planner,
            key,
            now + 30,
            &empty_report(FIRST_START + life),
        );
        key = new_incarnation(&mut planner).expect("a next life");
    }
    plan_saved(&mut planner, 30_000);
    save(&mut planner);

    assert_eq!(planner.shown(JOB), Some(JobStatus::Failed));
    assert!((3..=5).contains(&starts), "{starts} starts");
}

/// A successor's row speaks of a life that is over: what ran there is over, too.
#[test]
fn a_successor_learns_that_the_life_it_was_left_is_over() {
    let mut planner = planner(2);
    let old = Progress::default();
    planner.take_job(JOB, spec(vec![step(1)]), Some(&old), true);
    let key = planner.recall_worker(info(FIRST_START)).expect("recalled");
    let before = plan_at(&mut planner, 10);

    planner.take_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 20, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next life");
    let unclaimed = plan_at(&mut planner, 30);
    deliver_report(&mut planner, next, 40, &empty_report(NEXT_START));
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
