//! Judges a run log against what must always hold. It reads what the workers
//! logged, never what the product says.

use std::collections::HashMap;
use std::time::Duration;

use model::Resources;
use model::WorkerId;

use crate::Run;

/// Something that must never happen, but did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A worker held more than it has.
    OverCapacity {
        /// Worker.
        worker: WorkerId,
        /// When, since the log began.
        at: Duration,
    },
    /// Two attempts of one request ran at the same time.
    ConcurrentAttempts {
        /// Key of the request.
        request: String,
        /// Both attempts.
        attempts: [String; 2],
    },
    /// A request that must run at most once ran again.
    RepeatedRun {
        /// Key of the request.
        request: String,
        /// Number of its runs.
        runs: usize,
    },
    /// A request ran although its caller was told that it did not.
    RanDespiteNotRun {
        /// Key of the request.
        request: String,
    },
}

/// Workers that held more than `capacity` at some time.
#[must_use]
pub fn check_capacity(runs: &[Run], capacity: Resources) -> Vec<Violation> {
    let mut by_worker: HashMap<&str, Vec<(Duration, bool, &Run)>> = HashMap::new();
    for run in runs {
        let steps = by_worker.entry(&run.worker).or_default();
        steps.push((run.started_at, true, run));
        if let Some(until) = run.ended_at {
            steps.push((until, false, run));
        }
    }
    let mut violations = Vec::new();
    for (worker, mut steps) in by_worker {
        // At the same instant ends come before starts.
        steps.sort_by_key(|(at, starts, _)| (*at, *starts));
        let mut held = Resources::default();
        for (at, starts, run) in steps {
            held = if starts {
                held.plus(&run.needs)
            } else {
                held.minus(&run.needs)
            };
            if !held.fits(&capacity) {
                let worker = worker.to_owned();
                violations.push(Violation::OverCapacity { worker, at });
                break;
            }
        }
    }
    violations
}

/// Requests of which two attempts overlapped in time. Members of one attempt
/// may overlap.
#[must_use]
pub fn check_overlaps(runs: &[Run]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (request, runs) in by_request(runs) {
        for (index, first) in runs.iter().enumerate() {
            let clash = runs[index + 1..]
                .iter()
                .find(|second| clashes(first, second));
            if let Some(second) = clash {
                let attempts = [first.attempt.clone(), second.attempt.clone()];
                let request = request.to_owned();
                violations.push(Violation::ConcurrentAttempts { request, attempts });
            }
        }
    }
    violations
}

fn clashes(first: &Run, second: &Run) -> bool {
    let same_member = first.attempt == second.attempt;
    let same_attempt = attempt_of(&first.attempt) == attempt_of(&second.attempt);
    let before = |a: &Run, b: &Run| a.ended_at.is_some_and(|until| until <= b.started_at);
    (same_member || !same_attempt) && !before(first, second) && !before(second, first)
}

fn attempt_of(attempt: &str) -> &str {
    attempt
        .rsplit_once('.')
        .map_or(attempt, |(attempt, _)| attempt)
}

/// Requests out of `once` that ran more than once.
#[must_use]
pub fn check_at_most_once(runs: &[Run], once: &[String]) -> Vec<Violation> {
    let runs = by_request(runs);
    let mut violations = Vec::new();
    for request in once {
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

/// Requests out of `not_run`, of which the caller was told that they did not
/// run, that did.
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
