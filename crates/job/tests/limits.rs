//! Limits on what an organisation may have running.

mod support;

use std::time::Duration;

use job::FreeHelpers;
use job::JobSpec;
use job::Planner;
use job::Policy;
use job::Requester;
use job::RunEnd;
use job::StartReply;
use job::StepSpec;
use job::StopReply;
use job::WorkerKey;
use job::WorkerReport;
use support::add;
use support::add_claimed;
use support::config;
use support::ended;
use support::organisation;
use support::plan_at;
use support::planner;
use support::resources;
use support::running;
use support::spec;
use support::spec_of;
use support::step;
use support::task;
use support::worker;
use support::worker_report;

/// Id of the first job of each test.
const JOB: u64 = 7;

/// Limit of the organisation in most tests, in thousandths of a core.
const LIMIT: u64 = 3000;

/// Creates a planner with two workers of four cores each, and a job of six tasks of one core whose
/// organisation may have three cores running.
fn limited() -> (Planner, [WorkerKey; 2]) {
    let mut planner = planner(1);
    let workers = ["w1", "w2"].map(|id| add_claimed(&mut planner, id));
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![step(6)]), None, false);
    (planner, workers)
}

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count)
    }
}

#[test]
fn no_more_runs_start_than_the_limit_allows() {
    let (mut planner, _) = limited();

    let first = plan_at(&mut planner, 10);
    let second = plan_at(&mut planner, 20);

    assert_eq!((first.len(), second.len()), (3, 0));
}

#[test]
fn each_limited_resource_counts() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut job = spec_of("stores", 0, vec![step(4)]);
    let limit = &mut job.organisation.as_mut().expect("an organisation").limit.0;
    limit.memory = 2000;
    planner.add_job(JOB, job, None, false);

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 2, "each task needs 1000 MB");
}

#[test]
fn work_without_an_organisation_is_not_limited() {
    let (mut planner, _) = limited();
    planner.add_job(JOB + 1, spec(vec![step(5)]), None, false);

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 8, "three of the organisation and five others");
}

#[test]
fn a_filler_counts_with_the_processors_that_it_uses() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let filler = StepSpec {
        filler: true,
        ..step(6)
    };
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![filler]), None, false);

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 3);
}

/// Guards against a start without a reply that is not counted, though its run may be active.
#[test]
fn a_start_without_a_reply_counts() {
    let (mut planner, _) = limited();
    for (task, run, worker) in plan_at(&mut planner, 10) {
        planner.start_reply(worker, task, run, StartReply::Unknown);
    }

    let starts = plan_at(&mut planner, 20);

    assert!(starts.is_empty());
}

#[test]
fn a_refused_start_does_not_count() {
    let (mut planner, _) = limited();
    let (task, run, worker) = plan_at(&mut planner, 10)[0];
    planner.start_reply(worker, task, run, StartReply::Refused);

    let starts = plan_at(&mut planner, 20);

    assert_eq!(starts.len(), 1);
}

/// Guards against runs that are being stopped and no longer count, though their workers still have
/// them.
#[test]
fn a_run_counts_until_its_end_is_reported() {
    let (mut planner, _) = limited();
    let first = plan_at(&mut planner, 10);
    for &(task, run, worker) in &first {
        planner.start_reply(worker, task, run, StartReply::Started);
    }
    planner.add_job(
        JOB + 1,
        spec_of("stores", LIMIT, vec![step(3)]),
        None,
        false,
    );
    planner.cancel(JOB);
    let stopping = plan_at(&mut planner, 20);
    for &(task, run, worker) in &first {
        planner.stop_reply(worker, task, run, StopReply::Stopped);
    }
    let stopped = plan_at(&mut planner, 30);
    let (one, run, worker) = first[0];
    let end = worker_report(vec![], vec![ended(1, one, run, RunEnd::Stopped)]);
    planner.apply_report(worker, Duration::from_millis(35), &end);

    let ended = plan_at(&mut planner, 40);

    assert!(stopping.is_empty() && stopped.is_empty());
    assert!(!ended.is_empty(), "one run has ended");
}

/// Guards against runs on a worker that is cut off, which are active until its lease expires.
#[test]
fn runs_of_an_unresponsive_worker_count_until_its_lease_expires() {
    let (mut planner, workers) = limited();
    let first = plan_at(&mut planner, 10_000);
    for &(task, run, worker) in &first {
        planner.start_reply(worker, task, run, StartReply::Started);
    }
    for worker in workers {
        planner.mark_unresponsive(worker);
    }
    add_claimed(&mut planner, "w3");
    let early = plan_at(&mut planner, 14_600);

    let late = plan_at(&mut planner, 14_900);

    assert_eq!((first.len(), early.len(), late.len()), (3, 0, 3));
}

#[test]
fn a_gang_starts_only_if_its_limit_allows_all_members() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.add_job(JOB, spec_of("stores", 5000, vec![step(2)]), None, false);
    let single = plan_at(&mut planner, 10);
    planner.add_job(JOB + 1, spec_of("stores", 5000, vec![gang(4)]), None, false);
    let blocked = plan_at(&mut planner, 20);
    let (_, run, worker) = single[0];
    let ends = (1..).zip(&single);
    let ends = ends.map(|(number, (task, ..))| ended(number, *task, run, RunEnd::Done));
    let report = worker_report(vec![], ends.collect());
    planner.apply_report(worker, Duration::from_millis(25), &report);

    let starts = plan_at(&mut planner, 30);

    assert_eq!((single.len(), blocked.len(), starts.len()), (2, 0, 4));
}

/// Creates a successor with one worker that has sent a report and one that has not, both of four
/// cores, and a new job of an organisation. The platform tolerates a tenth more than the limit.
fn successor(limit: u64) -> (Planner, WorkerKey) {
    let policy = Policy {
        overshoot: 0.1,
        ..Policy::default()
    };
    let mut planner = Planner::new(policy, 2, Duration::ZERO, Duration::ZERO);
    let claimed = planner.restore_worker(worker("w1")).expect("a new worker");
    let silent = planner.restore_worker(worker("w2")).expect("a new worker");
    planner.register_worker(worker("w1"));
    planner.register_worker(worker("w2"));
    planner.apply_report(claimed, Duration::ZERO, &WorkerReport::default());
    planner.advance(Duration::from_secs(3));
    planner.record_jobs_read(Duration::from_secs(3));
    planner.add_job(JOB, spec_of("stores", limit, vec![step(4)]), None, false);
    (planner, silent)
}

/// Guards against a successor that does not count what the former owner has started, and may still
/// start, on a worker that has not sent a report.
#[test]
fn after_a_take_over_a_silent_worker_counts_as_full() {
    let (mut planner, silent) = successor(6000);
    let before = plan_at(&mut planner, 3010);
    let one = worker_report(vec![running(task(JOB + 1, 0, 0), 1)], vec![]);
    planner.add_job(JOB + 1, spec_of("stores", 6000, vec![step(1)]), None, true);
    planner.apply_report(silent, Duration::from_millis(3020), &one);

    let after = plan_at(&mut planner, 3030);

    assert_eq!(before.len(), 2, "6.6 cores without the four of the worker");
    assert_eq!(after.len(), 2, "the others of four tasks");
}

#[test]
fn what_cannot_be_known_may_use_what_the_platform_tolerates_alone() {
    let (mut planner, _) = successor(3000);

    let starts = plan_at(&mut planner, 3010);

    assert!(starts.is_empty(), "3.3 cores are fewer than the worker has");
}

/// Guards against runs of a job that was not read yet: their organisation is unknown.
#[test]
fn a_worker_with_an_unknown_run_counts_as_full() {
    let (mut planner, silent) = successor(6000);
    let one = worker_report(vec![running(task(99, 0, 0), 1)], vec![]);
    planner.apply_report(silent, Duration::from_millis(3005), &one);

    let starts = plan_at(&mut planner, 3010);

    assert_eq!(starts.len(), 2);
}

#[test]
fn runs_of_the_former_owner_count() {
    let mut planner = planner(2);
    let key = planner.restore_worker(worker("w1")).expect("a new worker");
    planner.register_worker(worker("w1"));
    add_claimed(&mut planner, "w2");
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![step(6)]), None, true);
    let found = vec![running(task(JOB, 0, 0), 1), running(task(JOB, 0, 1), 1)];
    planner.apply_report(key, Duration::ZERO, &worker_report(found, vec![]));

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 1);
}

#[test]
fn a_lower_limit_stops_nothing_and_lets_nothing_start() {
    let (mut planner, _) = limited();
    plan_at(&mut planner, 10);
    planner.configure(&config(2, vec![organisation("stores", 1000)]));
    planner.plan();
    let lowered = planner.take_commands();
    planner.configure(&config(3, vec![organisation("stores", 5000)]));

    let raised = plan_at(&mut planner, 30);

    assert!(lowered.is_empty());
    assert_eq!(raised.len(), 2);
}

#[test]
fn the_limit_of_an_organisation_outlasts_its_configuration() {
    let (mut planner, _) = limited();
    planner.configure(&config(2, vec![organisation("stores", 1000)]));
    planner.configure(&config(3, vec![]));

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 1);
}

/// Guards against work of one organisation that is delayed since a gang of another one, which its
/// limit does not let start, has workers reserved for it.
#[test]
fn a_delayed_gang_does_not_delay_other_organisations() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![step(3)]), None, false);
    plan_at(&mut planner, 10);
    planner.add_job(
        JOB + 1,
        spec_of("stores", LIMIT, vec![gang(3)]),
        None,
        false,
    );
    plan_at(&mut planner, 20);
    planner.add_job(JOB + 2, spec_of("desk", 0, vec![step(5)]), None, false);

    let starts = plan_at(&mut planner, 30);

    assert_eq!(starts.len(), 5, "all cores that are left");
}

/// Guards against a gang that waits without end, since each core that its organisation's limit frees
/// is used by a later task of the same organisation.
#[test]
fn later_tasks_leave_a_late_gang_its_share_of_the_limit() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    add_claimed(&mut planner, "w2");
    planner.add_job(JOB, spec_of("stores", 4000, vec![step(4)]), None, false);
    let mut running = plan_at(&mut planner, 10);
    let mut late = spec_of("stores", 4000, vec![gang(3)]);
    (late.queue.stretch, late.queue.slack) = (0.0, Duration::ZERO);
    planner.add_job(JOB + 1, late, None, false);
    planner.cancel(JOB);
    planner.plan();
    planner.take_commands();
    planner.add_job(JOB + 2, spec_of("stores", 4000, vec![step(4)]), None, false);
    let mut started = Vec::new();
    for number in 1..=3 {
        let (one, run, worker) = running.pop().expect("four runs");
        let end = worker_report(vec![], vec![ended(number, one, run, RunEnd::Stopped)]);
        planner.apply_report(worker, Duration::from_millis(10 * number), &end);
        started.extend(plan_at(&mut planner, 10 * number + 15));
    }

    let jobs: Vec<u64> = started.iter().map(|(task, ..)| task.step.job).collect();
    assert_eq!(jobs, vec![JOB + 1; 3]);
}

/// Guards against an organisation that uses less than half of its limit for seconds, since a late gang
/// needs most of it.
#[test]
fn a_late_gang_leaves_half_of_the_limit_to_later_tasks() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec_of("stores", 4000, vec![step(1)]), None, false);
    plan_at(&mut planner, 10);
    let mut late = spec_of("stores", 4000, vec![gang(4)]);
    (late.queue.stretch, late.queue.slack) = (0.0, Duration::ZERO);
    planner.add_job(JOB + 1, late, None, false);
    planner.add_job(JOB + 2, spec_of("stores", 4000, vec![step(4)]), None, false);

    let starts = plan_at(&mut planner, 20);

    assert_eq!(starts.len(), 1, "two of four cores are used then");
}

/// Guards against an organisation that uses little of its limit, and makes callers wait, for a gang
/// that has time.
#[test]
fn tasks_may_start_before_a_delayed_gang_that_has_time() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![step(2)]), None, false);
    plan_at(&mut planner, 10);
    planner.add_job(
        JOB + 1,
        spec_of("stores", LIMIT, vec![gang(2)]),
        None,
        false,
    );
    planner.add_job(
        JOB + 2,
        spec_of("stores", LIMIT, vec![step(1)]),
        None,
        false,
    );

    let starts = plan_at(&mut planner, 20);

    assert_eq!(starts.len(), 1);
}

#[test]
fn no_advice_is_requested_for_work_that_the_limit_delays() {
    let (mut planner, _) = limited();
    plan_at(&mut planner, 10);
    let mut advised = spec_of("stores", LIMIT, vec![step(1)]);
    advised.queue.advice = Some(job::Advice {
        fixed: Duration::from_millis(10),
        each: Duration::from_millis(1),
        valid: Duration::from_secs(1),
    });
    let other = JobSpec {
        organisation: None,
        ..advised.clone()
    };
    planner.add_job(JOB + 1, advised, None, false);
    plan_at(&mut planner, 20);
    let delayed = planner.next_advice_request(FreeHelpers::Most);
    planner.add_job(JOB + 2, other, None, false);
    plan_at(&mut planner, 30);

    let allowed = planner.next_advice_request(FreeHelpers::Most);

    assert!(delayed.is_none());
    assert_eq!(allowed.map(|request| request.step.job), Some(JOB + 2));
}

/// Guards against starts beyond a lower limit that the owner could not read.
#[test]
fn no_work_of_organisations_starts_while_the_limits_are_unknown() {
    let (mut planner, _) = limited();
    planner.add_job(JOB + 1, spec(vec![step(1)]), None, false);
    planner.set_limits_outdated(true);
    let outdated = plan_at(&mut planner, 10);
    planner.set_limits_outdated(false);

    let current = plan_at(&mut planner, 20);

    assert_eq!((outdated.len(), current.len()), (1, 3));
}

#[test]
fn a_job_beyond_the_limit_is_found_before_it_is_accepted() {
    let stores = organisation("stores", LIMIT);
    let too_wide = spec(vec![step(9), gang(4)]);
    let too_large = spec(vec![StepSpec {
        need: resources(LIMIT + 1, 1),
        ..step(1)
    }]);

    let found = [too_wide, too_large, spec(vec![gang(3)])]
        .map(|job| stores.excessive_step(&job).map(|excessive| excessive.step));

    assert_eq!(found, [Some(1), Some(0), None]);
}

#[test]
fn only_the_organisation_of_a_job_sees_it() {
    let (planner, _) = limited();
    let organisation = |name: &str| Requester::Organisation(name.to_owned());
    let queue = |name: &str| Requester::Queue(name.to_owned());

    assert!(planner.is_open_to(JOB, Some(&organisation("stores"))));
    assert!(!planner.is_open_to(JOB, Some(&organisation("desk"))));
    assert!(planner.is_open_to(JOB, Some(&queue("bins"))));
    assert!(!planner.is_open_to(JOB, Some(&queue("other"))));
}

/// Guards against the cancel of a job by another organisation that has submitted a job under the same
/// id, while the store refused the place of the first one.
#[test]
fn a_row_of_another_organisation_does_not_cancel_a_job() {
    let (mut planner, _) = limited();
    let mut foreign = spec_of("desk", 0, vec![step(1)]);
    foreign.canceled = true;

    planner.add_job(JOB, foreign, None, false);

    assert_eq!(plan_at(&mut planner, 10).len(), 3);
}

#[test]
fn the_count_survives_a_new_incarnation_of_a_worker() {
    let mut planner = planner(1);
    let mut info = worker("w1");
    info.incarnation = Some(1);
    let key = planner.register_worker(info).expect("a new worker");
    let report = |incarnation| WorkerReport {
        incarnation: Some(incarnation),
        ..WorkerReport::default()
    };
    planner.apply_report(key, Duration::ZERO, &report(1));
    planner.add_job(JOB, spec_of("stores", LIMIT, vec![step(6)]), None, false);
    let first = plan_at(&mut planner, 10);
    for &(task, run, worker) in &first {
        planner.start_reply(worker, task, run, StartReply::Unknown);
    }
    planner.apply_report(key, Duration::from_millis(20), &report(2));
    add_claimed(&mut planner, "w2");

    let starts = plan_at(&mut planner, 30);

    assert_eq!(first.len(), 3);
    assert!(starts.is_empty(), "the starts may still reach the worker");
    let _ = add(&mut planner, "w3");
}

/// Guards against an addition that overflows, and a limit that then seems to suffice.
#[test]
fn the_largest_need_does_not_overflow() {
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    let mut huge = spec_of("stores", LIMIT, vec![gang(2)]);
    huge.steps[0].need = resources(1000, u64::MAX);
    planner.add_job(JOB, huge, None, false);
    planner.add_job(
        JOB + 1,
        spec_of("stores", LIMIT, vec![step(3)]),
        None,
        false,
    );

    let starts = plan_at(&mut planner, 10);

    assert_eq!(starts.len(), 3);
}
