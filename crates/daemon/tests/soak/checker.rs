//! Checks the guarantees of the scheduler against what callers and workers have observed.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::Value;
use site::Caller;
use site::RunSpan;
use site::WorkerEvent;

use crate::crash_limit::may_fail_after_crashes;
use crate::testbed::Testbed;
use crate::traffic::Job;
use crate::traffic::Outcome;
use crate::traffic::Repeats;

/// Timeout from the end of all faults until each job has a final state.
const FINAL_STATE_TIMEOUT: Duration = Duration::from_mins(1);

/// States of a job that has ended; they never change again.
const FINAL_STATES: [&str; 3] = ["completed", "failed", "canceled"];

/// Interval at which the state of a job is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of starts of a task that crashes each worker that runs it: the scheduler fails
/// its job after five crashes at the latest. One more start is allowed for each time that a
/// process was killed or stopped, since a crash is not counted if the owner ends before it has
/// recorded it, and for each run whose worker was draining, which counts as no crash.
const MAX_STARTS: usize = 5;

/// Largest number of cores that a worker ever has, and so of tasks that it may run, as each needs
/// one core.
const MAX_CORES: usize = 4;

/// How long after the answer to the cancel of its job a task may start.
const CANCEL_BOUND: Duration = Duration::from_secs(3);

/// How long before its round is due a task may start.
const EARLY_BOUND: Duration = Duration::from_millis(250);

/// Waits until the jobs have ended, checks all jobs and runs, and returns a description of each
/// violation.
pub async fn find_violations(testbed: &Testbed, jobs: &[Job]) -> Vec<String> {
    let caller = Caller::new();
    let servers = testbed.servers();
    let mut violations = Vec::new();
    let deadline = tokio::time::Instant::now() + FINAL_STATE_TIMEOUT;
    for job in jobs {
        let expected: &[&str] = match (job.outcome, job.fails || job.crashes) {
            (Outcome::Accepted, false) => &["completed"],
            (Outcome::Accepted, true) => &["failed"],
            (Outcome::Canceled, _) => &["canceled", "completed", "failed"],
            (Outcome::Refused | Outcome::Unknown, _) => continue,
        };
        let polling = wait_final(&caller, &servers, &job.path);
        let shown = match tokio::time::timeout_at(deadline, polling).await {
            Ok(shown) => shown,
            Err(_) => state(&caller, servers[0], &job.path).await,
        };
        let as_expected = expected.iter().any(|state| shown == *state);
        // A worker that went down for another reason also counts as a crash for its tasks.
        let failed_after_crashes =
            || shown == "failed" && may_fail_after_crashes(&testbed.log, &job.id);
        if !as_expected && !failed_after_crashes() {
            violations.push(format!(
                "job {}: outcome {:?} for its caller, but its state is {shown}, expected one of {expected:?}",
                job.id, job.outcome
            ));
        }
        if let Some(repeats) = &job.repeats {
            let spans = testbed.log.spans(&job.id);
            violations.extend(early_rounds(&spans, repeats));
            if shown == "completed" {
                violations.extend(missing_ends(&spans, job, repeats.rounds));
            }
        }
    }
    for job in jobs.iter().filter(|job| job.outcome == Outcome::Refused) {
        if testbed.log.starts(&job.id) > 0 {
            violations.push(format!(
                "job {}: was refused, but one of its tasks has started",
                job.id
            ));
        }
    }
    violations.extend(jobs.iter().filter_map(|job| late_start(testbed, job)));
    for job in jobs.iter().filter(|job| job.crashes) {
        // Task 0 of step 0 in round 0, the one that crashes its workers.
        let task = format!("{}.0.0.0", job.id);
        let starts = testbed.log.starts(&task);
        let spans = testbed.log.spans(&task);
        let left = spans.iter().filter(|span| span.left()).count();
        if starts > MAX_STARTS + testbed.process_ends + left {
            violations.push(format!(
                "job {}: {starts} starts of a task that crashes its workers",
                job.id
            ));
        }
    }
    // Includes starts that exceed the capacity of a worker that now has fewer cores.
    let disturbed = |at| testbed.contact.disturbed(at);
    violations.extend(testbed.log.violations_except(disturbed));
    violations.extend(over_capacity(&testbed.log.events()));
    violations
}

/// Reports a task that started more than [`CANCEL_BOUND`] after the cancel of its job was answered, unless
/// a fault keeps processes from being in touch.
fn late_start(testbed: &Testbed, job: &Job) -> Option<String> {
    let canceled_at = job.canceled_at?;
    let bound = canceled_at + CANCEL_BOUND;
    let spans = testbed.log.spans(&job.id);
    let mut late = spans.iter().filter(|span| span.begin > bound);
    let late = late.find(|span| !testbed.contact.disturbed(span.begin))?;
    Some(format!(
        "{}: started {:?} after the cancel of its job was answered",
        late.task,
        late.begin.saturating_duration_since(canceled_at)
    ))
}

/// Reports each run of a repeated job that started more than [`EARLY_BOUND`] before its round was
/// due.
fn early_rounds(spans: &[RunSpan], repeats: &Repeats) -> Vec<String> {
    let early = spans.iter().filter(|span| {
        let due = repeats.first + repeats.interval * round_of(&span.task);
        span.begin + EARLY_BOUND < due
    });
    early
        .map(|span| format!("{}: started before its round was due", span.task))
        .collect()
}

/// Returns the round in the name of a task: job, round, step and index, separated by dots.
fn round_of(task: &str) -> u32 {
    let round = task.split('.').nth(1).and_then(|round| round.parse().ok());
    round.expect("a round in the task's name")
}

/// Reports a completed job of which fewer tasks have ended successfully than it has.
fn missing_ends(spans: &[RunSpan], job: &Job, rounds: u32) -> Option<String> {
    let done = spans
        .iter()
        .filter(|span| span.end.as_ref().is_some_and(|(_, how)| how == "done"));
    let tasks: HashSet<&str> = done.map(|span| span.task.as_str()).collect();
    let expected = (rounds * job.tasks) as usize;
    (tasks.len() != expected).then(|| {
        format!(
            "job {}: completed with {} of {expected} tasks done",
            job.id,
            tasks.len()
        )
    })
}

/// Polls the servers one after the other until one shows a final state of the job, and returns
/// the state.
async fn wait_final(caller: &Caller, servers: &[SocketAddr], path: &str) -> Value {
    for server in servers.iter().cycle() {
        let shown = state(caller, *server, path).await;
        if FINAL_STATES.iter().any(|state| shown == *state) {
            return shown;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Value::Null
}

/// State of a job, as one server shows it; null if it shows none or does not answer.
async fn state(caller: &Caller, server: SocketAddr, path: &str) -> Value {
    let (_, body) = caller.send(Method::GET, server, path, &Value::Null).await;
    body["state"].clone()
}

/// Reports each start on a worker that was already running [`MAX_CORES`] tasks. A worker that now
/// has fewer cores is not checked here: it logs [`WorkerEvent::Overbooked`] itself, which
/// [`site::RunLog::violations`] reports.
fn over_capacity(events: &[WorkerEvent]) -> Vec<String> {
    let mut running: HashMap<&str, usize> = HashMap::new();
    let mut violations = Vec::new();
    for event in events {
        match event {
            WorkerEvent::Started(worker, task, _) => {
                let count = running.entry(worker).or_default();
                *count += 1;
                if *count > MAX_CORES {
                    violations.push(format!(
                        "worker {worker}: {task} started while {MAX_CORES} tasks ran"
                    ));
                }
            }
            WorkerEvent::Ended(worker, ..) => {
                let count = running.entry(worker).or_default();
                // Each end follows its start in the log, so the count is 1 or more.
                *count = count.saturating_sub(1);
            }
            WorkerEvent::Discarded(..)
            | WorkerEvent::Acknowledged(..)
            | WorkerEvent::Overbooked(..)
            | WorkerEvent::StartedDraining(..) => {}
        }
    }
    violations
}

/// Formats the number of jobs by outcome.
pub fn summary(jobs: &[Job]) -> String {
    let count = |outcome: Outcome| jobs.iter().filter(|job| job.outcome == outcome).count();
    format!(
        "{} jobs: {} accepted, {} cancelled, {} refused, {} unknown",
        jobs.len(),
        count(Outcome::Accepted),
        count(Outcome::Canceled),
        count(Outcome::Refused),
        count(Outcome::Unknown)
    )
}
