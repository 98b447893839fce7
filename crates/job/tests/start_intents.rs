//! Start intents and placements: which of them a successor counts as crashes, and which of them
//! allow a start.

mod support;

use std::ops::RangeInclusive;
use std::time::Duration;

use job::CrashRecord;
use job::JobSpec;
use job::JobStatus;
use job::Placement;
use job::Planner;
use job::Progress;
use job::StartReply;
use job::WorkerInfo;
use job::WorkerKey;

use support::task;

/// Creates the progress of a job in which one crash counts against the first task, and its next
/// start is intended.
fn with_intent() -> Progress {
    let mut progress = Progress::default();
    let record = CrashRecord {
        runs: [1].into(),
        pending: Some(2),
        ..CrashRecord::default()
    };
    progress.crashes.insert((0, 0, 0), record);
    progress
}

/// Creates a job of one gang with two members.
fn gang() -> JobSpec {
    let mut step = support::step(2);
    step.gang = true;
    support::spec(vec![step])
}

/// Saves everything, and returns the progress of job 1 if it was among it.
fn save(planner: &mut Planner) -> Option<Progress> {
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
    let mut jobs = batch.jobs.into_iter();
    jobs.find_map(|(id, progress)| (id == 1).then_some(progress))
}

/// Lets a successor read `progress` of a gang, and a worker report the second member of the intended
/// run. Returns the number of crashes that count against the first member.
fn crashes_after_recovery(progress: &Progress) -> usize {
    let mut planner = support::planner(3);
    let row = support::worker("w1");
    let key = planner.restore_worker(row).expect("a new worker");
    planner.add_job(1, gang(), Some(progress), true);
    let runs = vec![support::running(task(1, 0, 1), 2)];
    planner.extend_lease(key);
    planner.apply_report(key, Duration::ZERO, &support::worker_report(runs, vec![]));
    planner.process_timeouts();
    let saved = save(&mut planner);
    let saved = saved.as_ref().unwrap_or(progress);
    let record = saved.crashes.get(&(0, 0, 0));
    record.map_or(0, |record| record.runs.len() + record.uncertain.len())
}

/// Guards against a start of a gang's member that is not counted: its worker has crashed before the
/// placements were saved, but a worker reports another member of the run.
#[test]
fn the_intent_of_a_started_gang_is_counted() {
    let progress = with_intent();

    assert_eq!(crashes_after_recovery(&progress), 2);
}

/// Guards against a start that is not counted: an owner that is asked to stop during its recovery
/// withdraws the intents of the former owner, which may have sent the starts.
#[test]
fn a_release_during_recovery_keeps_the_intents_of_the_former_owner() {
    let mut progress = with_intent();
    let mut planner = support::planner(2);
    planner.restore_worker(support::worker("w1"));
    planner.add_job(1, gang(), Some(&progress), true);

    planner.begin_release();
    progress = save(&mut planner).unwrap_or(progress);

    assert_eq!(crashes_after_recovery(&progress), 2);
}

/// Guards against a start on a worker that no saved intent names: the intended worker ends while the
/// intent to start there is being saved.
#[test]
fn an_intent_for_another_worker_allows_no_start() {
    let mut planner = support::planner(1);
    let mut progress = with_intent();
    progress.crashes.entry((0, 0, 0)).or_default().pending = None;
    let workers = ["w1", "w2"].map(|id| support::add_claimed(&mut planner, id));
    let spec = support::spec(vec![support::step(1)]);
    planner.add_job(1, spec, Some(&progress), false);
    support::plan_at(&mut planner, 10);
    let batch = planner.take_batch(10);
    let placed = &batch.jobs[0].1.placements[&(0, 0, 0)];
    let intended = usize::from(placed.worker == "w2");
    planner.worker_ended(workers[intended]);
    support::plan_at(&mut planner, 20);

    planner.batch_saved(&batch);

    assert_eq!(support::plan_at(&mut planner, 30), []);
    save(&mut planner);
    let starts = support::plan_at(&mut planner, 40);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].2, workers[1 - intended]);
}

/// Guards against a crash that is counted for a start on an earlier incarnation of the worker.
#[test]
fn a_crash_of_a_later_incarnation_is_not_counted() {
    let mut progress = with_intent();
    let placement = Placement {
        run: 2,
        worker: "w1".to_owned(),
        incarnation: Some(2000),
    };
    progress.placements.insert((0, 0, 0), placement);
    let mut planner = support::planner(2);
    let row = WorkerInfo {
        incarnation: Some(2001),
        ..support::worker("w1")
    };
    let key = planner.restore_worker(row).expect("a new worker");
    let spec = support::spec(vec![support::step(1)]);
    planner.add_job(1, spec, Some(&progress), true);

    planner.worker_ended(key);

    let saved = save(&mut planner).expect("unsaved progress");
    assert!(saved.crashes[&(0, 0, 0)].uncertain.is_empty());
}

/// Creates a successor that has waited for the leases of the former owner to end. Of a task with four
/// uncertain crashes, it has the placement of a fifth run on a worker that answers no calls. A second
/// worker is idle.
fn with_silent_worker() -> (Planner, [WorkerKey; 2]) {
    let mut progress = Progress::default();
    let record = CrashRecord {
        uncertain: (1..=4).collect(),
        pending: Some(5),
        ..CrashRecord::default()
    };
    let placement = Placement {
        run: 5,
        worker: "w1".to_owned(),
        incarnation: None,
    };
    progress.crashes.insert((0, 0, 0), record);
    progress.placements.insert((0, 0, 0), placement);
    let mut planner = support::planner(2);
    let keys = ["w1", "w2"].map(|id| {
        let row = support::worker(id);
        let key = planner.restore_worker(row).expect("a new worker");
        planner.register_worker(support::worker(id));
        key
    });
    let spec = support::spec(vec![support::step(1)]);
    planner.add_job(1, spec, Some(&progress), true);
    planner.mark_unresponsive(keys[0]);
    pass_seconds(&mut planner, 1..=12, keys[1]);
    (planner, keys)
}

/// Lets a worker report every second, and saves all progress. Returns the number of starts.
fn pass_seconds(planner: &mut Planner, seconds: RangeInclusive<u64>, key: WorkerKey) -> usize {
    let mut count = 0;
    for second in seconds {
        planner.advance(Duration::from_secs(second));
        planner.extend_lease(key);
        let report = support::worker_report(vec![], vec![]);
        planner.apply_report(key, Duration::from_secs(second), &report);
        for (task, run, key) in support::plan_at(planner, 1000 * second) {
            planner.start_reply(key, task, run, StartReply::Unknown);
            count += 1;
        }
        save(planner);
    }
    count
}

/// Guards against a failed job of a task with four crashes: its next start was intended on a worker
/// that answers no calls, but is still registered.
#[test]
fn an_assumed_crash_does_not_fail_a_job() {
    let (mut planner, [_, idle]) = with_silent_worker();

    let at_once = pass_seconds(&mut planner, 13..=20, idle);
    let later = pass_seconds(&mut planner, 21..=40, idle);

    assert_eq!((at_once, later.min(1)), (0, 1));
    assert_ne!(planner.job_status(1), Some(JobStatus::Failed));
}

/// Guards against a sixth start: the crash of the silent worker is found after the recovery.
#[test]
fn an_assumed_crash_that_is_found_fails_the_job() {
    let (mut planner, [silent, idle]) = with_silent_worker();

    planner.worker_ended(silent);
    let starts = pass_seconds(&mut planner, 13..=40, idle);

    assert_eq!(starts, 0);
    assert_eq!(planner.job_status(1), Some(JobStatus::Failed));
}

/// Guards against a wait for the crash of a worker that has sent its report.
#[test]
fn a_report_takes_an_assumed_crash_back() {
    let (mut planner, [silent, idle]) = with_silent_worker();

    planner.extend_lease(silent);
    let report = support::worker_report(vec![], vec![]);
    planner.apply_report(silent, Duration::from_secs(13), &report);
    let starts = pass_seconds(&mut planner, 13..=18, idle);

    assert!(starts > 0, "no start");
}

/// Guards against a sixth start: a worker crashes under the task after the assumed crash was taken
/// back.
#[test]
fn an_assumed_crash_is_taken_back_once() {
    let (mut planner, [silent, idle]) = with_silent_worker();
    planner.extend_lease(silent);
    let report = support::worker_report(vec![], vec![]);
    planner.apply_report(silent, Duration::from_secs(13), &report);
    planner.mark_unresponsive(silent);
    pass_seconds(&mut planner, 13..=18, idle);

    planner.worker_ended(idle);
    let starts = pass_seconds(&mut planner, 19..=40, silent);

    assert_eq!(starts, 0);
    assert_eq!(planner.job_status(1), Some(JobStatus::Failed));
}
