//! Decides which jobs may have failed because workers went down while they ran their tasks.
//!
//! The scheduler cannot distinguish a task that crashes its workers from a task whose workers go
//! down for other reasons. So it may fail the job of the latter too, but only after the number of
//! crashes at which it fails the job of a task that crashes its workers. The limits of this
//! module are the limits of the scheduler.

use std::time::Duration;

use site::RunLog;
use site::RunSpan;

/// Number of crashes after which the scheduler fails a task's job, even if other tasks ran on the
/// workers too.
const CRASH_LIMIT: usize = 5;

/// Number of crashes after which the scheduler fails a task's job if the task was the only one on
/// its worker at the last of them. The scheduler starts a task alone on a worker after two crashes
/// that certainly hit it, or three of any kind.
const LONE_CRASH_LIMIT: usize = 3;

/// Two runs on one worker that ended less than this time apart were ended by the same crash: a
/// worker that goes down logs the ends of all its runs one right after the other.
const SAME_CRASH_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a task of the job has had enough crashes for the job to fail. `job` is the job's id,
/// with which the names of its tasks begin.
pub fn may_fail_after_crashes(log: &RunLog, job: &str) -> bool {
    let lost_runs: Vec<RunSpan> = log.spans("").into_iter().filter(RunSpan::lost).collect();
    let job_runs: Vec<&RunSpan> = lost_runs
        .iter()
        .filter(|span| span.task.starts_with(job))
        .collect();
    // The job may fail at any of its crashes, so each is tried as the last one.
    job_runs.iter().any(|last| {
        let crashes = job_runs
            .iter()
            .filter(|span| span.task == last.task)
            .count();
        let crashes_so_far = job_runs
            .iter()
            .filter(|span| span.task == last.task && span.begin <= last.begin)
            .count();
        crashes >= CRASH_LIMIT
            || crashes_so_far >= LONE_CRASH_LIMIT && crashed_alone(last, &lost_runs)
    })
}

/// Whether no other task ran on the worker when it went down. `lost_runs` are all runs that ended
/// because their worker went down.
fn crashed_alone(run: &RunSpan, lost_runs: &[RunSpan]) -> bool {
    let same_crash = |other: &&RunSpan| {
        let ends = run.end.as_ref().zip(other.end.as_ref());
        let simultaneous = ends.is_some_and(|((run, _), (other, _))| {
            let gap = run.saturating_duration_since(*other);
            gap.max(other.saturating_duration_since(*run)) < SAME_CRASH_INTERVAL
        });
        other.worker == run.worker && other.task != run.task && simultaneous
    };
    !lost_runs.iter().any(|other| same_crash(&other))
}
