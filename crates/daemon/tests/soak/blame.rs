//! Which jobs may be shown as failed, since workers went down under their tasks.
//!
//! A sound task under which workers go down for other reasons can't be told from one that
//! takes them down. It may be given up as that one is, and no sooner.

use std::time::Duration;

use site::RunLog;
use site::RunSpan;

/// Crashes of a task after which it is given up, whatever else went down.
const MOST_CRASHES: usize = 5;

/// Least crashes of a task that is given up for the last one, which it met alone.
const FEWEST_CRASHES: usize = 3;

/// Time within which the runs of a worker that goes down end.
const AT_ONCE: Duration = Duration::from_millis(5);

/// Whether some task of a job has met the crashes for which it may be given up.
pub fn may_be_given_up(log: &RunLog, job: &str) -> bool {
    let lost: Vec<RunSpan> = log.spans("").into_iter().filter(RunSpan::lost).collect();
    let own: Vec<&RunSpan> = lost
        .iter()
        .filter(|span| span.task.starts_with(job))
        .collect();
    own.iter().any(|last| {
        let crashes = own.iter().filter(|span| span.task == last.task).count();
        let before = own
            .iter()
            .filter(|span| span.task == last.task && span.begin <= last.begin)
            .count();
        crashes >= MOST_CRASHES || before >= FEWEST_CRASHES && alone(last, &lost)
    })
}

/// Whether no other run was on the worker when it went down.
fn alone(one: &RunSpan, lost: &[RunSpan]) -> bool {
    let together = |other: &&RunSpan| {
        let ends = one.end.as_ref().zip(other.end.as_ref());
        let near = ends.is_some_and(|((one, _), (other, _))| {
            let apart = one.saturating_duration_since(*other);
            apart.max(other.saturating_duration_since(*one)) < AT_ONCE
        });
        other.worker == one.worker && other.task != one.task && near
    };
    !lost.iter().any(|other| together(&other))
}
