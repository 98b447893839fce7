//! Fixtures for workers that start again under the same id.

use std::time::Duration;

use job::Command;
use job::Planner;
use job::RunEnd;
use job::RunId;
use job::StartReply;
use job::TaskKey;
use job::WorkerInfo;
use job::WorkerKey;
use job::WorkerReport;

use super::ended;
use super::plan_at;
use super::spec;
use super::step;
use super::task;
use super::worker;
use super::worker_report;

/// Start times of the first incarnation of the worker, and of the next one, in milliseconds since
/// 1970. They identify the incarnations.
pub const FIRST_START: u64 = 1_790_000_000_000;
pub const NEXT_START: u64 = FIRST_START + 5000;

/// Job of these tests.
pub const JOB: u64 = 7;

pub fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates the registration of an incarnation of the worker `w1`.
pub fn info(incarnation: u64) -> WorkerInfo {
    WorkerInfo {
        incarnation: Some(incarnation),
        ..worker("w1")
    }
}

/// Marks a report as one of this incarnation.
pub fn report_of(incarnation: u64, report: WorkerReport) -> WorkerReport {
    WorkerReport {
        incarnation: Some(incarnation),
        ..report
    }
}

pub fn empty_report(incarnation: u64) -> WorkerReport {
    report_of(incarnation, WorkerReport::default())
}

/// Passes in a worker report that was requested at `sent` and arrives 2 ms later.
pub fn deliver_report(planner: &mut Planner, key: WorkerKey, sent: u64, report: &WorkerReport) {
    planner.advance(at(sent + 2));
    planner.apply_report(key, at(sent), report);
}

/// Plans, completes the save that must precede the start of a suspect, and plans again 5 ms later.
pub fn plan_saved(planner: &mut Planner, now: u64) -> Vec<(TaskKey, RunId, WorkerKey)> {
    let mut starts = plan_at(planner, now);
    save(planner);
    starts.extend(plan_at(planner, now + 5));
    starts
}

/// Saves all unsaved progress.
pub fn save(planner: &mut Planner) {
    let batch = planner.take_batch(10);
    planner.batch_saved(&batch);
}

/// Returns the key of the new incarnation in the planner's commands, if there is one.
pub fn new_incarnation(planner: &mut Planner) -> Option<WorkerKey> {
    let commands = planner.take_commands();
    commands.into_iter().find_map(|command| match command {
        Command::NewIncarnation { worker } => Some(worker),
        _ => None,
    })
}

/// Adds a worker in its first incarnation that is claimed and has reported its first 20 ended runs.
pub fn worker_with_ends(planner: &mut Planner) -> WorkerKey {
    let key = planner
        .register_worker(info(FIRST_START))
        .expect("new worker");
    let ends = (1..=20).map(|number| ended(number, task(1, 0, 0), number, RunEnd::Stopped));
    let ends = worker_report(Vec::new(), ends.collect());
    deliver_report(planner, key, 1, &report_of(FIRST_START, ends));
    key
}

/// Starts a job of one step with `count` tasks at 10 ms, and confirms its starts.
pub fn start(planner: &mut Planner, count: u32) -> Vec<(TaskKey, RunId)> {
    planner.add_job(JOB, spec(vec![step(count)]), None, false);
    let starts = plan_at(planner, 10);
    planner.advance(at(12));
    for &(task, run, key) in &starts {
        planner.start_reply(key, task, run, StartReply::Started);
    }
    starts.iter().map(|(task, run, _)| (*task, *run)).collect()
}

/// Registers and claims the next incarnation of the worker: the first of two reports, requested at
/// `sent` and 5 ms later, shows the planner that there is one, and the second claims it.
pub fn claim_next(planner: &mut Planner, key: WorkerKey, sent: u64) -> WorkerKey {
    planner.register_worker(info(NEXT_START));
    deliver_report(planner, key, sent, &empty_report(NEXT_START));
    let next = new_incarnation(planner).expect("a next incarnation");
    deliver_report(planner, next, sent + 5, &empty_report(NEXT_START));
    next
}
