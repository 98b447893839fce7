//! How a request stands, as its caller is told: what is known of it, kept
//! apart from what was only ordered.

use crate::Entry;
use crate::Machine;
use crate::MemberState;
use crate::ShardReply;
use crate::Stage;
use crate::WaiterKey;
use crate::intake::pending_answer;

impl Machine {
    pub(crate) fn on_status(&mut self, key: &str, waiter: WaiterKey) {
        let Some(entry) = self.ledger.get(key) else {
            self.reply(waiter, ShardReply::Unknown);
            return;
        };
        let answer = if let Some(answer) = entry.answer() {
            answer.clone()
        } else {
            let id = entry.request.id.clone();
            pending_answer(&id, &self.standing(key))
        };
        self.reply(waiter, ShardReply::Answer(answer));
    }

    fn standing(&mut self, key: &str) -> String {
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
            Stage::Lent => "no room in its shard; another was asked".to_owned(),
            Stage::Recording(_) => "placed; its intent is being recorded".to_owned(),
            Stage::Running(_) => whereabouts(entry),
            Stage::Closing(_) | Stage::Done(_) => "its answer is being recorded".to_owned(),
        }
    }
}

/// What is known of each member of an attempt. A start that was sent is not
/// said to run: while its answer is on the way, or lost, the worker may never
/// have heard of it, which shows as a request that "runs" where nothing does.
fn whereabouts(entry: &Entry) -> String {
    let on = |wanted: &MemberState| {
        let here = entry.members.iter().filter(|m| m.state == *wanted);
        here.map(|member| &*member.worker)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let (started, sent) = (on(&MemberState::Started), on(&MemberState::Sent));
    let unknown = on(&MemberState::Unknown);
    let over = entry.members.iter().filter(|m| m.state.is_settled());
    let over = over.count();
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
    if over > 0 {
        parts.push(format!("{over} ended"));
    }
    parts.join("; ")
}
