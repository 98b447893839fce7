//! What the ends of an attempt mean for its request.

use std::time::Duration;

use model::Answer;
use model::Code;
use model::digest;
use worker::End;
use worker::EndResult;

use crate::Entry;
use crate::MemberState;
use crate::Origin;
use crate::Past;

/// Attempts of a request, restarts included.
pub const ATTEMPTS: u32 = 4;

/// Time within which an interrupted request must start again, if its own
/// deadline lies earlier.
pub const RESTART_GRACE: Duration = Duration::from_secs(15);

/// What becomes of a request whose attempt is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Its final answer.
    Answer(Answer),
    /// It runs again, from a checkpoint if there is one.
    Again(Option<String>),
}

/// Judges an attempt; `extra` are ends beside those of the members.
#[must_use]
pub fn judge(entry: &Entry, extra: &[(&str, &End)]) -> Verdict {
    let mut ends: Vec<(&str, &End)> = extra.to_vec();
    let mut unstarted = 0;
    let mut missing = false;
    let mut gone = false;
    for member in &entry.members {
        match &member.state {
            MemberState::Ended(end) => ends.push((&member.worker, end)),
            MemberState::NotStarted => unstarted += 1,
            MemberState::Missing => missing = true,
            _ => gone = true,
        }
    }
    let answer = |code, reason: &str| Verdict::Answer(bare(entry, code, reason));
    if missing {
        return answer(
            Code::HostLost,
            "its worker cannot be reached; it may have run",
        );
    }
    let none_started = unstarted == entry.members.len() && extra.is_empty();
    if entry.cancelled && none_started && !entry.touched() {
        return answer(Code::Cancelled, "cancelled before it started");
    }
    if none_started && !entry.cancelled {
        return Verdict::Again(None);
    }
    let result = |wanted| ends.iter().any(|(_, end)| end.result == wanted);
    if unstarted == 0
        && !gone
        && ends
            .iter()
            .all(|(_, end)| end.result == EndResult::Succeeded)
    {
        return Verdict::Answer(success(entry, &ends));
    }
    if entry.cancelled {
        return Verdict::Answer(stopped(entry, &ends, gone));
    }
    if result(EndResult::Checkpointed) && !gone && unstarted == 0 && ends.len() == 1 {
        return Verdict::Again(Some(ends[0].1.output.clone()));
    }
    let again =
        entry.request.idempotent && entry.attempt < ATTEMPTS && entry.origin == Origin::Caller;
    if again {
        return Verdict::Again(None);
    }
    if result(EndResult::Failed) {
        return Verdict::Answer(failure(entry, &ends));
    }
    answer(Code::HostLost, "it was interrupted; it may have run")
}

/// Answer to a request whose caller cancelled it while it ran. A stop that was
/// sent is not one that was carried out: a task that ended by itself first was
/// answered as stopped, and its caller, told that it failed, did it again.
fn stopped(entry: &Entry, ends: &[(&str, &End)], gone: bool) -> Answer {
    if gone || entry.past == Past::Unseen {
        let reason = "cancelled, but nobody knows how it ended; it may have run";
        return bare(entry, Code::HostLost, reason);
    }
    if ends.iter().any(|(_, end)| end.result == EndResult::Failed) {
        return failure(entry, ends);
    }
    bare(entry, Code::TaskStopped, "stopped by its caller")
}

fn bare(entry: &Entry, code: Code, reason: &str) -> Answer {
    let mut answer = Answer::without_output(&entry.request.id, code, reason);
    answer.waited_millis = entry.waited_millis;
    answer
}

fn success(entry: &Entry, ends: &[(&str, &End)]) -> Answer {
    let whole = ends
        .iter()
        .all(|(_, end)| digest(&end.output) == end.digest);
    if !whole {
        let reason = "its output was damaged on the way from the worker";
        return bare(entry, Code::HostLost, reason);
    }
    with_output(bare(entry, Code::Ok, ""), ends)
}

fn failure(entry: &Entry, ends: &[(&str, &End)]) -> Answer {
    with_output(bare(entry, Code::TaskFailed, "the task failed"), ends)
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
