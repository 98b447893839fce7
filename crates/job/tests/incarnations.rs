//! Workers that start again under the same id: the planner does not apply its state of one
//! incarnation to the next one.

mod support;

use job::Advice;
use job::FreeHelpers;
use job::JobStatus;
use job::Progress;
use job::ReportOrigin;
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
use support::incarnations::worker_with_ends;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Guards against ends of a new incarnation that are ignored, because their numbers start from
/// 1 again and were already processed for the former one.
#[test]
fn ends_of_a_new_incarnation_count_from_the_first_on() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let next = claim_next(&mut planner, key, 100);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let (task, run, started_on) = plan_at(&mut planner, 110)[0];

    let ends = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    deliver_report(&mut planner, next, 200, &report_of(NEXT_START, ends));

    assert_eq!(started_on, next);
    assert_eq!(planner.newest_end(next), 1);
    let batch = planner.take_batch(10);
    assert_eq!(batch.ends, vec![(next, 1)]);
    planner.batch_saved(&batch);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Completed));
}

/// Guards against failed runs that do not count as attempts because the worker has restarted.
#[test]
fn failed_runs_count_across_incarnations() {
    let mut planner = planner(1);
    let mut key = worker_with_ends(&mut planner);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let mut now = 10;

    for incarnation in 1..=2 {
        let (task, run, _) = plan_at(&mut planner, now)[0];
        let ends = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Failed)]);
        deliver_report(
            &mut planner,
            key,
            now + 5,
            &empty_report(FIRST_START + incarnation),
        );
        key = new_incarnation(&mut planner).expect("a next incarnation");
        planner.register_worker(info(FIRST_START + incarnation));
        deliver_report(
            &mut planner,
            key,
            now + 10,
            &report_of(FIRST_START + incarnation, ends),
        );
        now += 50;
    }

    assert_eq!(planner.unfinished(), 0);
    save(&mut planner);
    assert_eq!(planner.job_status(JOB), Some(JobStatus::Failed));
}

/// Guards against ending the current incarnation because of a registration that was read late
/// or whose clock went back.
#[test]
fn a_registration_alone_ends_no_incarnation() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let runs = start(&mut planner, 2);

    for incarnation in [NEXT_START, FIRST_START - 5000] {
        planner.register_worker(info(incarnation));
        let again = plan_at(&mut planner, 100);

        assert_eq!(again, vec![], "registered as {incarnation}");
        assert!(planner.has_booked(key, runs[0].0, runs[0].1));
    }
}

/// Guards against filling a new incarnation up to the capacity of the former one: the new one may
/// have less.
#[test]
fn a_worker_registered_as_another_incarnation_gets_no_work_until_it_reports() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);

    planner.advance(at(100));
    planner.register_worker(info(NEXT_START));
    let at_once = plan_at(&mut planner, 105);
    deliver_report(&mut planner, key, 90, &empty_report(FIRST_START));
    let overtaken = plan_at(&mut planner, 110);
    deliver_report(&mut planner, key, 120, &empty_report(FIRST_START));
    let answered = plan_at(&mut planner, 130);

    assert_eq!((at_once, overtaken), (vec![], vec![]));
    assert_eq!(answered.len(), 1);
}

/// Guards against ordering two incarnations by their clocks.
#[test]
fn an_incarnation_whose_clock_went_back_follows_the_current_one() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let runs = start(&mut planner, 1);

    deliver_report(&mut planner, key, 100, &empty_report(FIRST_START - 5000));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    planner.register_worker(info(FIRST_START - 5000));
    deliver_report(&mut planner, next, 110, &empty_report(FIRST_START - 5000));

    let again = plan_saved(&mut planner, 120);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].2), (runs[0].0, next));
    assert!(again[0].1 > runs[0].1);
}

/// Guards against a report of the former incarnation that arrives after one of the new
/// incarnation, and against a registration of the former one that is read late.
#[test]
fn an_ended_incarnation_does_not_come_back() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let next = claim_next(&mut planner, key, 100);
    let late_report = report_of(
        FIRST_START,
        worker_report(vec![running(task(9, 0, 0), 3)], Vec::new()),
    );

    let registered = planner.register_worker(info(FIRST_START));
    deliver_report(&mut planner, next, 50, &late_report);
    let overtaken = planner.match_incarnation(next, at(50), &late_report);
    deliver_report(&mut planner, next, 200, &late_report);

    assert_eq!(registered, None);
    assert_eq!(overtaken, ReportOrigin::Ended);
    assert_eq!(
        planner.match_incarnation(next, at(200), &late_report),
        ReportOrigin::Ended
    );
    assert_eq!(planner.worker_key("w1"), Some(next));
    assert_eq!(new_incarnation(&mut planner), None);
}

/// Guards against a report in answer to a call that was sent before the last report of the
/// current incarnation: it may be from an earlier one that this owner has never seen.
#[test]
fn an_overtaken_report_ends_no_incarnation() {
    let mut planner = planner(1);
    let key = planner.register_worker(worker("w1")).expect("new worker");
    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));

    planner.apply_report(key, at(90), &empty_report(FIRST_START));

    assert_eq!(new_incarnation(&mut planner), None);
    assert_eq!(planner.worker_key("w1"), Some(key));
}

/// Guards against a start that was sent to the former incarnation, is carried out by the new
/// one, and runs at the same time as the next start of its task.
#[test]
fn an_unconfirmed_start_is_kept_until_the_new_incarnation_refuses_it() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
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

/// Guards against a run of the new incarnation that is counted as lost with the former one.
#[test]
fn a_run_that_the_new_incarnation_reports_goes_on() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let runs = start(&mut planner, 2);
    let (task, run) = runs[0];
    let report = report_of(
        NEXT_START,
        worker_report(vec![running(task, run)], Vec::new()),
    );

    planner.register_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &report);
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    deliver_report(&mut planner, next, 110, &report);
    let again = plan_saved(&mut planner, 120);

    assert!(planner.has_booked(next, task, run));
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, runs[1].0);
    let losses = planner.take_losses();
    assert_eq!(losses.len(), 1);
    assert_eq!(losses[0].task, runs[1].0);
}

/// Guards against starting a task again after the new incarnation has reported a run as done
/// that was sent to the former one.
#[test]
fn a_run_that_the_new_incarnation_ended_is_not_started_again() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let (task, run) = start(&mut planner, 1)[0];
    let done = worker_report(Vec::new(), vec![ended(1, task, run, RunEnd::Done)]);
    let done = report_of(NEXT_START, done);

    planner.register_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &done);
    let early = plan_at(&mut planner, 103);
    let next = planner.worker_key("w1").expect("a next incarnation");
    deliver_report(&mut planner, next, 110, &done);
    let late = plan_at(&mut planner, 120);

    assert_eq!((early, late), (vec![], vec![]));
    assert_eq!(planner.unfinished(), 0);
}

/// Guards against starts on an incarnation whose capacity, in its registration, was not read yet.
#[test]
fn an_unregistered_incarnation_gets_no_work() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    planner.add_job(JOB, spec(vec![step(6)]), None, false);

    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    deliver_report(&mut planner, next, 110, &empty_report(NEXT_START));
    let before = plan_at(&mut planner, 120);
    let smaller = WorkerInfo {
        capacity: resources(2000, 64_000),
        ..info(NEXT_START)
    };
    planner.register_worker(smaller);
    let after = plan_at(&mut planner, 130);

    assert_eq!(before, vec![]);
    assert_eq!(after.len(), 2);
}

/// Guards against failing a job as impossible before the registration, with the capacity, of an
/// incarnation that could run it is read.
#[test]
fn a_job_waits_for_unregistered_incarnations() {
    let mut planner = planner(2);
    let key = planner
        .restore_worker(info(FIRST_START))
        .expect("a restored worker");
    deliver_report(&mut planner, key, 10, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    deliver_report(&mut planner, next, 20, &empty_report(NEXT_START));
    let small = WorkerInfo {
        capacity: resources(1000, 64_000),
        ..worker("w2")
    };
    let other = planner.register_worker(small).expect("new worker");
    deliver_report(&mut planner, other, 30, &WorkerReport::default());
    let mut wide = step(1);
    wide.need = resources(2000, 1000);
    planner.add_job(JOB, spec(vec![wide]), None, false);
    plan_at(&mut planner, 100);

    plan_at(&mut planner, 5000);
    let unfinished = planner.unfinished();
    planner.register_worker(info(NEXT_START));
    let starts = plan_at(&mut planner, 5100);

    assert_eq!(unfinished, 1);
    assert_eq!(starts.len(), 1);
}

/// Guards against ending the new incarnation when the end of the former one is detected late.
#[test]
fn the_end_of_a_former_incarnation_does_not_end_the_next() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    planner.mark_unresponsive(key);
    let next = claim_next(&mut planner, key, 100);

    planner.worker_ended(key);

    assert_eq!(planner.worker_key("w1"), Some(next));
}

/// Guards against ending an incarnation because of a report or a registration that names none,
/// such as a registration from another writer.
#[test]
fn reports_that_name_no_incarnation_are_ignored() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let runs = start(&mut planner, 1);

    planner.register_worker(worker("w1"));
    deliver_report(&mut planner, key, 100, &WorkerReport::default());
    let again = plan_at(&mut planner, 110);

    let unnamed = planner.match_incarnation(key, at(100), &WorkerReport::default());
    assert_eq!(unnamed, ReportOrigin::Unnamed);
    assert_eq!(again, vec![]);
    assert!(planner.has_booked(key, runs[0].0, runs[0].1));
    assert_eq!(
        planner.worker_info(key).and_then(|info| info.incarnation),
        Some(FIRST_START)
    );
}

/// A worker that names no incarnation gets a new id after a crash, so its id identifies the
/// incarnation.
#[test]
fn a_worker_that_names_no_incarnation_is_identified_by_its_id() {
    let mut planner = planner(1);
    support::add_claimed(&mut planner, "w1");

    assert_eq!(start(&mut planner, 3).len(), 3);
}

/// Guards against treating a worker that starts to name its incarnation as the same incarnation
/// as before.
#[test]
fn a_worker_that_starts_to_name_its_incarnation_has_restarted() {
    let mut planner = planner(1);
    let key = planner.register_worker(worker("w1")).expect("new worker");
    deliver_report(&mut planner, key, 1, &WorkerReport::default());
    let runs = start(&mut planner, 1);

    planner.register_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 100, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    deliver_report(&mut planner, next, 110, &empty_report(NEXT_START));

    let again = plan_saved(&mut planner, 120);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].0, again[0].2), (runs[0].0, next));
}

/// Guards against a worker that is called forever at the address of its former incarnation.
#[test]
fn an_unresponsive_worker_is_called_at_its_new_address() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let elsewhere = ([127, 0, 0, 1], 2).into();
    planner.register_worker(WorkerInfo {
        address: elsewhere,
        ..info(NEXT_START)
    });
    let before = planner.reregistered();

    planner.mark_unresponsive(key);

    assert_eq!(before, vec![]);
    assert_eq!(planner.reregistered(), vec![(key, elsewhere)]);
}

/// Guards against losing a new incarnation that registered before the former one ended.
#[test]
fn an_incarnation_that_registered_before_the_former_one_ended_is_used() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    planner.register_worker(info(NEXT_START));
    planner.mark_unresponsive(key);

    planner.worker_ended(key);

    let next = new_incarnation(&mut planner).expect("a next incarnation");
    assert_eq!(planner.worker_info(next), Some(&info(NEXT_START)));
}

/// Guards against crashes that are not counted, or counted twice: each incarnation that ends
/// counts once.
#[test]
fn each_incarnation_that_ends_under_a_task_counts_as_one_crash() {
    let mut planner = planner(1);
    let mut key = worker_with_ends(&mut planner);
    planner.add_job(JOB, spec(vec![step(1)]), None, false);
    let mut starts = 0;
    for incarnation in 1..=10_u64 {
        let now = 2000 * incarnation;
        deliver_report(
            &mut planner,
            key,
            now,
            &empty_report(FIRST_START + incarnation - 1),
        );
        for (task, run, started_on) in plan_saved(&mut planner, now + 10) {
            starts += 1;
            planner.start_reply(started_on, task, run, StartReply::Started);
            let running_list = worker_report(vec![running(task, run)], Vec::new());
            deliver_report(
                &mut planner,
                key,
                now + 20,
                &report_of(FIRST_START + incarnation - 1, running_list),
            );
        }
        planner.register_worker(info(FIRST_START + incarnation));
        deliver_report(
            &mut planner,
            key,
            now + 30,
            &empty_report(FIRST_START + incarnation),
        );
        key = new_incarnation(&mut planner).expect("a next incarnation");
    }
    plan_saved(&mut planner, 30_000);
    save(&mut planner);

    assert_eq!(planner.job_status(JOB), Some(JobStatus::Failed));
    assert!((3..=5).contains(&starts), "{starts} starts");
}

/// A successor reads a row of an incarnation that has ended, so the runs there have ended, too.
#[test]
fn a_successor_learns_that_the_saved_incarnation_has_ended() {
    let mut planner = planner(2);
    let saved_progress = Progress::default();
    planner.add_job(JOB, spec(vec![step(1)]), Some(&saved_progress), true);
    let key = planner
        .restore_worker(info(FIRST_START))
        .expect("a restored worker");
    let before = plan_at(&mut planner, 10);

    planner.register_worker(info(NEXT_START));
    deliver_report(&mut planner, key, 20, &empty_report(NEXT_START));
    let next = new_incarnation(&mut planner).expect("a next incarnation");
    let unclaimed = plan_at(&mut planner, 30);
    deliver_report(&mut planner, next, 40, &empty_report(NEXT_START));
    let after = plan_at(&mut planner, 50);

    assert_eq!((before, unclaimed), (vec![], vec![]));
    assert!(!planner.recovering());
    assert_eq!(after.len(), 1);
}

/// Guards against sending a ticket of a former incarnation to the next one, which refuses it.
#[test]
fn a_ticket_that_was_asked_for_before_a_restart_is_not_used_after_it() {
    let mut planner = planner(1);
    let key = worker_with_ends(&mut planner);
    let mut job = spec(vec![step(1)]);
    job.queue.advice = Some(Advice {
        fixed: at(80),
        each: at(1),
        valid: at(1500),
    });
    planner.add_job(JOB, job, None, false);
    plan_at(&mut planner, 10);
    let request = planner
        .next_advice_request(FreeHelpers::Most)
        .expect("a call");

    claim_next(&mut planner, key, 20);
    let ticket = Ticket {
        worker: "w1".to_owned(),
        text: "of the first incarnation".to_owned(),
    };
    planner.handle_advice(request.step, &request.workers, &[ticket], at(2000));
    let starts = plan_at(&mut planner, 100);
    let again = planner.next_advice_request(FreeHelpers::Most);

    assert_eq!(starts, vec![]);
    assert_eq!(
        again.map(|request| request.workers),
        Some(vec!["w1".to_owned()])
    );
}
