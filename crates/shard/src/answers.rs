//! Evaluates the results of an attempt: either its request gets a final answer
//! or it runs again.

use std::time::Duration;

use model::Answer;
use model::Code;
use model::digest;
use worker::End;
use worker::EndResult;

use crate::Entry;
use crate::MemberState;
use crate::Origin;
use crate::RunHistory;

/// Maximum number of attempts of a request, restarts included.
pub const MAX_ATTEMPTS: u32 = 4;

/// Time within which an interrupted request must start again if its own
/// deadline is earlier.
pub const RESTART_GRACE: Duration = Duration::from_secs(15);

/// What follows for a request after an attempt has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The request gets this final answer.
    Answer(Answer),
    /// The request runs again, from this checkpoint if there is one.
    Retry(Option<String>),
}

/// Evaluates an attempt whose members have all ended. `extra` are results of
/// tasks that are not among the members of `entry`.
#[must_use]
pub fn evaluate_attempt(entry: &Entry, extra: &[(&str, &End)]) -> AttemptOutcome {
    let mut ends: Vec<(&str, &End)> = extra.to_vec();
    let mut not_started = 0;
    let mut unreachable = false;
    let mut interrupted = false;
    for member in &entry.members {
        match &member.state {
            MemberState::Ended(end) => ends.push((&member.worker, end)),
            MemberState::NotStarted => not_started += 1,
            MemberState::Unreachable => unreachable = true,
            _ => interrupted = true,
        }
    }
    let answer =
        |code, reason: &str| AttemptOutcome::Answer(answer_without_output(entry, code, reason));
    if unreachable {
        return answer(
            Code::HostLost,
            "its worker cannot be reached; it may have run",
        );
    }
    let none_started = not_started == entry.members.len() && extra.is_empty();
    if entry.cancelled && none_started && !entry.may_have_run() {
        return answer(Code::Cancelled, "cancelled before it started");
    }
    if none_started && !entry.cancelled {
        return AttemptOutcome::Retry(None);
    }
    let any_ended_with = |expected| ends.iter().any(|(_, end)| end.result == expected);
    if not_started == 0
        && !interrupted
        && ends
            .iter()
            .all(|(_, end)| end.result == EndResult::Succeeded)
    {
        return AttemptOutcome::Answer(success_answer(entry, &ends));
    }
    if entry.cancelled {
        return AttemptOutcome::Answer(stop_answer(entry, &ends, interrupted));
    }
    if any_ended_with(EndResult::Checkpointed)
        && !interrupted
        && not_started == 0
        && ends.len() == 1
    {
        return AttemptOutcome::Retry(Some(ends[0].1.output.clone()));
    }
    let may_retry =
        entry.request.idempotent && entry.attempt < MAX_ATTEMPTS && entry.origin == Origin::Caller;
    if may_retry {
        return AttemptOutcome::Retry(None);
    }
    if any_ended_with(EndResult::Failed) {
        return AttemptOutcome::Answer(failure_answer(entry, &ends));
    }
    answer(Code::HostLost, "it was interrupted; it may have run")
}

/// Answer to a request that was cancelled after its start was sent. It depends
/// on how the task ended, not on the stop that was sent: if a task that ended by itself
/// before the stop arrived were answered as stopped, its caller would take that
/// for a failure and submit it again.
fn stop_answer(entry: &Entry, ends: &[(&str, &End)], interrupted: bool) -> Answer {
    if interrupted || entry.history == RunHistory::EndUnknown {
        let reason = "cancelled, but nobody knows how it ended; it may have run";
        return answer_without_output(entry, Code::HostLost, reason);
    }
    if ends.iter().any(|(_, end)| end.result == EndResult::Failed) {
        return failure_answer(entry, ends);
    }
    answer_without_output(entry, Code::TaskStopped, "stopped by its caller")
}

fn answer_without_output(entry: &Entry, code: Code, reason: &str) -> Answer {
    let mut answer = Answer::without_output(&entry.request.id, code, reason);
    answer.waited_millis = entry.waited_millis;
    answer
}

fn success_answer(entry: &Entry, ends: &[(&str, &End)]) -> Answer {
    let is_intact = ends
        .iter()
        .all(|(_, end)| digest(&end.output) == end.digest);
    if !is_intact {
        let reason = "its output was damaged on the way from the worker";
        return answer_without_output(entry, Code::HostLost, reason);
    }
    with_output(answer_without_output(entry, Code::Ok, ""), ends)
}

fn failure_answer(entry: &Entry, ends: &[(&str, &End)]) -> Answer {
    with_output(
        answer_without_output(entry, Code::TaskFailed, "the task failed"),
        ends,
    )
}

fn with_output(mut answer: Answer, ends: &[(&str, &End)]) -> Answer {
    let outputs: Vec<&str> = ends.iter().map(|(_, end)| &*end.output).collect();
    answer.output = outputs.join("\n");
    answer.digest = digest(&answer.output);
    answer.worker = ends
        .first()
        .map_or_else(String::new, |(worker, _)| (*worker).to_owned());
    answer
}
