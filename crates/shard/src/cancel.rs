//! Cancel calls: waiting requests are withdrawn, running tasks are sent a stop.

use event::Event;
use event::Kind;
use model::Code;

use crate::Entry;
use crate::Machine;
use crate::Output;
use crate::Past;
use crate::Record;
use crate::ShardReply;
use crate::Stage;
use crate::StopMode;
use crate::WaiterKey;
use crate::machine::Pending;
use crate::machine::Withdrawn;

/// Effects of a cancel call on the requests processed so far.
#[derive(Debug, Default)]
struct Found {
    /// Keys of waiting requests whose cancellation goes into one common record.
    waiting: Vec<String>,
    /// Number of requests that count as cancelled by the call.
    count: u32,
    /// Whether the record of some request's answer is already being written.
    recording: bool,
}

impl Machine {
    pub(crate) fn labelled(&self, team: &str, label: &str) -> Vec<String> {
        let means = |entry: &Entry| entry.request.team == team && entry.request.label == label;
        let entries = self.ledger.iter().filter(|(_, entry)| means(entry));
        entries.map(|(key, _)| key.clone()).collect()
    }

    /// Withdraws waiting requests, with one record for all, and stops running
    /// ones.
    pub(crate) fn on_cancel(&mut self, keys: Vec<String>, waiter: WaiterKey) {
        let mut found = Found::default();
        for key in keys {
            self.cancel_one(key, &mut found);
        }
        if found.waiting.is_empty() && !found.recording {
            self.reply(waiter, ShardReply::Cancelled(found.count));
            return;
        }
        self.close_cancelled(&found.waiting);
        let record = Record::Cancel {
            keys: found.waiting.clone(),
            at_millis: self.times.wall_millis,
        };
        let withdrawn = Withdrawn {
            keys: found.waiting,
            count: found.count,
            waiter,
        };
        self.append(record, Pending::Cancelled(withdrawn));
    }

    /// Cancels one request. A request that an earlier call cancelled counts
    /// again: a caller that lost the reply repeats the call, and would otherwise
    /// be told that nothing was cancelled. The reply waits until the records of
    /// the answers are in the table.
    fn cancel_one(&mut self, key: String, found: &mut Found) {
        let Some(entry) = self.ledger.get(&key) else {
            return;
        };
        let (touched, durable) = (entry.touched(), entry.recorded);
        match &entry.stage {
            Stage::Done(answer) => found.count += u32::from(is_cancelled(answer.code)),
            Stage::Closing(answer) if is_cancelled(answer.code) => {
                found.count += 1;
                found.recording |= durable;
            }
            Stage::Closing(_) => {}
            Stage::Waiting(_) | Stage::Recording(_) => {
                found.count += 1;
                self.withdraw(&key);
                if durable && !touched {
                    found.waiting.push(key);
                } else {
                    found.recording |= durable;
                    self.finish_cancelled(&key);
                }
            }
            Stage::Lent | Stage::Running(_) => {
                found.count += 1;
                self.stop_running(&key);
            }
        }
    }

    pub(crate) fn finish_cancelled(&mut self, key: &str) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let (code, reason) = match entry.past {
            Past::Untouched => (Code::Cancelled, "cancelled before it started"),
            Past::Seen => (Code::TaskStopped, "cancelled between two attempts"),
            Past::Unseen => (Code::HostLost, "cancelled; an earlier attempt may have run"),
        };
        self.finish_bare(key, code, reason);
    }

    /// Closes cancelled requests, so that they can't start any more. Their callers
    /// get the answer once its record is in the table.
    fn close_cancelled(&mut self, keys: &[String]) {
        for key in keys {
            if let Some(entry) = self.ledger.get_mut(key) {
                entry.stage = Stage::Closing(crate::cancelled_answer(key));
            }
        }
    }

    fn stop_running(&mut self, key: &str) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        entry.cancelled = true;
        let open = entry
            .members
            .iter()
            .filter(|member| !member.state.is_settled());
        let stops: Vec<Output> = open
            .map(|m| Output::Stop(m.worker.clone(), m.attempt.clone(), StopMode::Kill))
            .collect();
        self.outputs.extend(stops);
        self.event(Event::new(Kind::StopAsked).request(key));
    }
}

/// Whether an answer code says that the request was cancelled by its caller.
pub(crate) fn is_cancelled(code: Code) -> bool {
    matches!(code, Code::Cancelled | Code::TaskStopped)
}
