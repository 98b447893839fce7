//! Status of a request as reported to its caller. It separates what the workers
//! have confirmed from what the shard has only sent.

use crate::Entry;
use crate::Machine;
use crate::MemberState;
use crate::ShardReply;
use crate::Stage;
use crate::WaiterKey;
use crate::intake::pending_answer;

impl Machine {
    /// Answers a status call: with the final answer of the request, or with a
    /// pending answer that describes its current state.
    pub(crate) fn on_status(&mut self, key: &str, waiter: WaiterKey) {
        let Some(entry) = self.ledger.get(key) else {
            self.reply(waiter, ShardReply::Unknown);
            return;
        };
        let answer = if let Some(answer) = entry.answer() {
            answer.clone()
        } else {
            let id = entry.request.id.clone();
            pending_answer(&id, &self.status_text(key))
        };
        self.reply(waiter, ShardReply::Answer(answer));
    }

    fn status_text(&mut self, key: &str) -> String {
        let Some(entry) = self.ledger.get(key) else {
            return String::new();
        };
        match entry.stage {
            Stage::Waiting(_) | Stage::Recording(_) if !entry.survives_takeover() => {
                "its acceptance is being recorded".to_owned()
            }
            Stage::Waiting(job) => match self.core.blocking_limit(job) {
                Some(limit) => format!("waiting for {limit}"),
                None => "waiting".to_owned(),
            },
            Stage::Offloaded => "no room in its shard; another was asked".to_owned(),
            Stage::Recording(_) => "placed; its intent is being recorded".to_owned(),
            Stage::Running(_) => members_text(entry),
            Stage::Closing(_) | Stage::Done(_) => "its answer is being recorded".to_owned(),
        }
    }
}

/// Describes the members of an attempt. A start that was sent is not reported
/// as running: while the worker's reply is under way or lost, the worker may
/// never have received the start, and the request would appear to run where
/// nothing does.
fn members_text(entry: &Entry) -> String {
    let workers_in = |wanted: &MemberState| {
        let matching = entry.members.iter().filter(|m| m.state == *wanted);
        matching
            .map(|member| &*member.worker)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let (started, sent) = (
        workers_in(&MemberState::Started),
        workers_in(&MemberState::Sent),
    );
    let unknown = workers_in(&MemberState::Unknown);
    let ended = entry.members.iter().filter(|m| m.state.is_settled());
    let ended = ended.count();
    let mut parts = Vec::new();
    if !started.is_empty() {
        parts.push(format!("running on {started}"));
    }
    if !sent.is_empty() {
        parts.push(format!("start sent to {sent}, which has not confirmed it"));
    }
    if !unknown.is_empty() {
        parts.push(format!(
            "placed by an earlier owner on {unknown}, which was not asked yet"
        ));
    }
    if ended > 0 {
        parts.push(format!("{ended} ended"));
    }
    parts.join("; ")
}
