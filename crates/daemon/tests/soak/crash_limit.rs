//! Decides which jobs may have failed because workers went down while they ran their tasks.
//!
//! The scheduler cannot distinguish a task that crashes its workers from a task whose workers go
//! down for other reasons. So the latter may fail too, but only after as many crashes.

use std::time::Duration;

use site::RunLog;
use site::RunSpan;

/// Number of crashes after which a task may fail, even if other tasks ran on the workers too.
const MAX_CRASHES: usize = 5;

/// Number of crashes after which a task may fail if it was the only task on its worker at the
/// last of them.
const MIN_CRASHES: usize = 3;

/// Two runs on one worker that ended less than this time apart were ended by the same crash.
const SAME_CRASH_INTERVAL: Duration = Duration::from_millis(5);

/// Whether a task of the job has had enough crashes to fail.
pub fn may_fail_after_crashes(log: &RunLog, job: &str) -> bool {
    let lost_runs: Vec<RunSpan> = log.spans("").into_iter().filter(RunSpan::lost).collect();
    let job_runs: Vec<&RunSpan> = lost_runs
        .iter()
        .filter(|span| span.task.starts_with(job))
        .collect();
    job_runs.iter().any(|last| {
        let crashes = job_runs
            .iter()
            .filter(|span| span.task == last.task)
            .count();
        let crashes_so_far = job_runs
            .iter()
            .filter(|span| span.task == last.task && span.begin <= last.begin)
            .count();
        crashes >= MAX_CRASHES || crashes_so_far >= MIN_CRASHES && crashed_alone(last, &lost_runs)
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
