//! Decides which jobs may be shown as failed because workers crashed while running their tasks.
//!
//! A task without a fault whose workers go down for other reasons can't be distinguished from
//! a task that crashes them. So it may fail under the same rules, and no earlier.

use std::time::Duration;

use site::RunLog;
use site::RunSpan;

/// Number of crashes after which a task fails, whether or not other tasks ran on the workers.
const MAX_CRASHES: usize = 5;

/// Minimum number of crashes after which a task fails if it was the only one on the worker at
/// the last crash.
const MIN_CRASHES: usize = 3;

/// Maximum time between the ends of two runs that a crash of their worker ended.
const SAME_CRASH: Duration = Duration::from_millis(5);

/// Whether a task of the job has had enough crashes to fail.
pub fn may_fail_after_crashes(log: &RunLog, job: &str) -> bool {
    let lost: Vec<RunSpan> = log.spans("").into_iter().filter(RunSpan::lost).collect();
    let job_runs: Vec<&RunSpan> = lost
        .iter()
        .filter(|span| span.task.starts_with(job))
        .collect();
    job_runs.iter().any(|last| {
        let crashes = job_runs
            .iter()
            .filter(|span| span.task == last.task)
            .count();
        let so_far = job_runs
            .iter()
            .filter(|span| span.task == last.task && span.begin <= last.begin)
            .count();
        crashes >= MAX_CRASHES || so_far >= MIN_CRASHES && crashed_alone(last, &lost)
    })
}

/// Whether no other task ran on the worker when it crashed.
fn crashed_alone(run: &RunSpan, lost: &[RunSpan]) -> bool {
    let same_crash = |other: &&RunSpan| {
        let ends = run.end.as_ref().zip(other.end.as_ref());
        let simultaneous = ends.is_some_and(|((run, _), (other, _))| {
            let gap = run.saturating_duration_since(*other);
            gap.max(other.saturating_duration_since(*run)) < SAME_CRASH
        });
        other.worker == run.worker && other.task != run.task && simultaneous
    };
    !lost.iter().any(|other| same_crash(&other))
}
