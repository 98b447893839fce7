//! Checks a run log against the guarantees of the scheduler. It relies only on
//! what the workers recorded, never on what the scheduler reports.

use std::collections::HashMap;
use std::time::Duration;

use model::Resources;
use model::WorkerId;

use crate::Run;

/// Violation of a guarantee of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// The tasks that ran on a worker needed more than its capacity.
    OverCapacity {
        /// Id of the worker.
        worker: WorkerId,
        /// Time of the violation, counted from the creation of the log.
        at: Duration,
    },
    /// Two attempts of one request ran at the same time, on any workers.
    ConcurrentAttempts {
        /// Key of the request.
        request: String,
        /// Ids of both attempts.
        attempts: [String; 2],
    },
    /// A request that must run at most once ran more than once.
    RepeatedRun {
        /// Key of the request.
        request: String,
        /// Number of runs of the request.
        runs: usize,
    },
    /// A request ran although the answer to its caller was "not run".
    RanDespiteNotRun {
        /// Key of the request.
        request: String,
    },
}

/// Finds workers on which the running tasks exceeded `capacity` at any time.
#[must_use]
pub fn check_capacity(runs: &[Run], capacity: Resources) -> Vec<Violation> {
    let mut by_worker: HashMap<&str, Vec<(Duration, bool, &Run)>> = HashMap::new();
    for run in runs {
        let changes = by_worker.entry(&run.worker).or_default();
        changes.push((run.started_at, true, run));
        if let Some(end) = run.ended_at {
            changes.push((end, false, run));
        }
    }
    let mut violations = Vec::new();
    for (worker, mut changes) in by_worker {
        // Ends sort before starts of the same instant, since a task may start on the
        // resources of one that has just ended.
        changes.sort_by_key(|(at, is_start, _)| (*at, *is_start));
        let mut booked = Resources::default();
        for (at, is_start, run) in changes {
            booked = if is_start {
                booked.plus(&run.needs)
            } else {
                booked.minus(&run.needs)
            };
            if !booked.fits(&capacity) {
                let worker = worker.to_owned();
                violations.push(Violation::OverCapacity { worker, at });
                break;
            }
        }
    }
    violations
}

/// Finds requests of which two attempts ran at the same time. The members of a
/// gang run at the same time within one attempt, which is no violation.
#[must_use]
pub fn check_overlaps(runs: &[Run]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (request, runs) in by_request(runs) {
        for (index, first) in runs.iter().enumerate() {
            let conflict = runs[index + 1..]
                .iter()
                .find(|second| overlap(first, second));
            if let Some(second) = conflict {
                let attempts = [first.attempt.clone(), second.attempt.clone()];
                let request = request.to_owned();
                violations.push(Violation::ConcurrentAttempts { request, attempts });
            }
        }
    }
    violations
}

/// Whether two runs of one request overlap in time without being different members of
/// the same attempt.
fn overlap(first: &Run, second: &Run) -> bool {
    let same_member = first.attempt == second.attempt;
    let same_attempt = without_member(&first.attempt) == without_member(&second.attempt);
    let ended_before = |a: &Run, b: &Run| a.ended_at.is_some_and(|end| end <= b.started_at);
    (same_member || !same_attempt) && !ended_before(first, second) && !ended_before(second, first)
}

/// Removes the member index from an attempt id, whose form is
/// `KEY#EPOCH.ATTEMPT.MEMBER`.
fn without_member(attempt: &str) -> &str {
    attempt
        .rsplit_once('.')
        .map_or(attempt, |(attempt, _)| attempt)
}

/// Finds requests that ran more than once among those that must not; `at_most_once`
/// lists their keys.
#[must_use]
pub fn check_at_most_once(runs: &[Run], at_most_once: &[String]) -> Vec<Violation> {
    let runs = by_request(runs);
    let mut violations = Vec::new();
    for request in at_most_once {
        let count = runs.get(request.as_str()).map_or(0, Vec::len);
        if count > 1 {
            violations.push(Violation::RepeatedRun {
                request: request.clone(),
                runs: count,
            });
        }
    }
    violations
}

/// Finds requests that ran although their callers got the answer "not run";
/// `not_run` lists the keys of the requests with this answer.
#[must_use]
pub fn check_not_run(runs: &[Run], not_run: &[String]) -> Vec<Violation> {
    let runs = by_request(runs);
    not_run
        .iter()
        .filter(|request| runs.contains_key(request.as_str()))
        .map(|request| Violation::RanDespiteNotRun {
            request: request.clone(),
        })
        .collect()
}

fn by_request(runs: &[Run]) -> HashMap<&str, Vec<&Run>> {
    let mut requests: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs {
        requests.entry(&run.request).or_default().push(run);
    }
    requests
}
