//! What the planner learns from completed runs.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use job::Advice;
use job::EndedRun;
use job::JobId;
use job::JobSpec;
use job::Planner;
use job::RunEnd;
use job::TaskKey;
use job::WorkerKey;
use job::WorkerReport;
use support::add_claimed;
use support::plan_at;
use support::planner;
use support::spec;
use support::step;

/// Creates a gang of `count` members with an estimate of `estimate` ms, and an objective of twice
/// that plus a second.
fn gang(count: u32, estimate: u64) -> JobSpec {
    let mut step = step(count);
    step.gang = true;
    step.estimate = Duration::from_millis(estimate);
    spec(vec![step])
}

/// Reports the ends of these runs at `at` milliseconds; no other runs are on their workers.
/// `last_number` is the number of the newest reported end, and is advanced.
fn end_all(
    planner: &mut Planner,
    runs: &[(TaskKey, u64, WorkerKey)],
    at: u64,
    last_number: &mut u64,
) {
    let now = Duration::from_millis(at);
    planner.advance(now);
    let workers: BTreeSet<WorkerKey> = runs.iter().map(|(.., worker)| *worker).collect();
    for worker in workers {
        let mut report = WorkerReport::default();
        for &(task, run, _) in runs.iter().filter(|(.., of)| *of == worker) {
            *last_number += 1;
            report.ended.push(EndedRun {
                number: *last_number,
                task,
                run,
                how: RunEnd::Done,
                checkpoint: String::new(),
            });
        }
        planner.apply_report(worker, now, &report);
    }
}

/// Plans at `at` milliseconds, and confirms the starts.
fn start_all(planner: &mut Planner, at: u64) -> Vec<(TaskKey, u64, WorkerKey)> {
    let starts = plan_at(planner, at);
    for &(task, run, worker) in &starts {
        planner.start_reply(worker, task, run, job::StartReply::Started);
    }
    starts
}

/// Guards against gangs that could be in time but wait behind all others until it is too late, as
/// 24 of 210 did in a pool without faults. Callers declare a tenth of the time that their gangs
/// take, so an objective derived from the declared time ends while a gang is still waiting. The
/// planner must use the run times of the queue's earlier gangs instead.
#[test]
fn a_gang_is_ranked_by_learnt_and_not_by_declared_run_times() {
    const OLDEST: JobId = 89;
    const WAITING: JobId = 90;
    const LATER: JobId = 91;
    let mut planner = planner(1);
    add_claimed(&mut planner, "w1");
    // Thirty gangs take 5 s each, ten times the declared 0.5 s.
    let (mut at, mut last_number) = (0, 0);
    for id in 1..=30 {
        planner.add_job(id, gang(2, 500), None, false);
        let runs = start_all(&mut planner, at + 10);
        end_all(&mut planner, &runs, at + 5_010, &mut last_number);
        at += 5_010;
    }
    // The objective is 11 s by the learnt run time, 2 s by the declared one.
    planner.add_job(80, gang(2, 500), None, false);
    planner.add_job(81, gang(2, 500), None, false);
    let blocking = start_all(&mut planner, at + 10);
    planner.add_job(OLDEST, gang(2, 500), None, false);
    planner.advance(Duration::from_millis(at + 100));
    planner.add_job(WAITING, gang(2, 500), None, false);
    planner.advance(Duration::from_millis(at + 4_000));
    planner.add_job(LATER, gang(2, 500), None, false);

    end_all(&mut planner, &blocking, at + 5_000, &mut last_number);
    let starts = start_all(&mut planner, at + 5_010);

    let mut jobs: Vec<JobId> = starts.iter().map(|(task, ..)| task.step.job).collect();
    jobs.dedup();
    assert_eq!(
        jobs,
        vec![OLDEST, WAITING],
        "job WAITING has 6 s left and takes 5 s"
    );
}

/// Guards against jobs that count as late though they can be in time, because their objective was
/// computed without advice calls. It allows for one call in each step; a call for a gang takes a
/// second.
#[test]
fn an_objective_allows_for_a_call_for_advice_in_each_step() {
    let mut planner = planner(1);
    let mut job = gang(2, 1_000);
    job.queue.advice = Some(Advice {
        fixed: Duration::from_millis(700),
        each: Duration::from_millis(10),
        valid: Duration::from_millis(1500),
    });
    planner.add_job(1, job, None, false);

    let timing = planner.timing(1).expect("the job");

    // Twice the sum of one second for the gang and one for the call, plus one second.
    assert_eq!(timing.objective, Duration::from_secs(5));
}

/// Guards against gangs that take 1.3 times as long as needed, with all members occupying
/// their processors. One worker in three is slow, which no label shows, and a gang with a
/// member there runs at its speed if workers are chosen by free resources alone.
#[test]
fn a_gang_avoids_workers_on_which_tasks_took_longer() {
    const GANG: JobId = 90;
    let mut planner = planner(1);
    let slow = add_claimed(&mut planner, "slow");
    for nth in 0..3 {
        add_claimed(&mut planner, &format!("fast-{nth}"));
    }
    // Tasks take 1 s, and 1.3 s on the slow worker.
    let (mut at, mut last_number) = (0, 0);
    for id in 1..=8 {
        planner.add_job(id, spec(vec![step(16)]), None, false);
        let runs = start_all(&mut planner, at + 10);
        let (late, early): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|(.., worker)| *worker == slow);
        end_all(&mut planner, &early, at + 1_010, &mut last_number);
        end_all(&mut planner, &late, at + 1_310, &mut last_number);
        at += 1_310;
    }
    planner.add_job(GANG, gang(12, 1_000), None, false);

    let starts = start_all(&mut planner, at + 10);

    let gang: Vec<_> = starts
        .iter()
        .filter(|(task, ..)| task.step.job == GANG)
        .collect();
    assert_eq!(gang.len(), 12);
    assert!(gang.iter().all(|(.., worker)| *worker != slow));
}
