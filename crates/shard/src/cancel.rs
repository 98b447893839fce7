//! Cancel calls: waiting requests are withdrawn, running tasks are sent a stop.

use event::Event;
use event::Kind;
use model::Code;

use crate::Entry;
use crate::Machine;
use crate::Output;
use crate::Record;
use crate::RunHistory;
use crate::ShardReply;
use crate::Stage;
use crate::StopMode;
use crate::WaiterKey;
use crate::machine::CancelCall;
use crate::machine::PendingRecord;

/// Effects of a cancel call on the requests processed so far.
#[derive(Debug, Default)]
struct CancelProgress {
    /// Keys of requests withdrawn before any start; one common record cancels
    /// them.
    withdrawn: Vec<String>,
    /// Number of requests that count as cancelled by the call.
    count: u32,
    /// Whether the record of some request's answer is already being written.
    recording: bool,
}

impl Machine {
    pub(crate) fn keys_with_label(&self, team: &str, label: &str) -> Vec<String> {
        let has_label = |entry: &Entry| entry.request.team == team && entry.request.label == label;
        let entries = self.ledger.iter().filter(|(_, entry)| has_label(entry));
        entries.map(|(key, _)| key.clone()).collect()
    }

    /// Withdraws waiting requests, with one record for all, and stops running
    /// ones.
    pub(crate) fn on_cancel(&mut self, keys: Vec<String>, waiter: WaiterKey) {
        let mut progress = CancelProgress::default();
        for key in keys {
            self.cancel_one(key, &mut progress);
        }
        if progress.withdrawn.is_empty() && !progress.recording {
            self.reply(waiter, ShardReply::Cancelled(progress.count));
            return;
        }
        self.close_withdrawn(&progress.withdrawn);
        let record = Record::Cancel {
            keys: progress.withdrawn.clone(),
            at_millis: self.times.wall_millis,
        };
        let call = CancelCall {
            keys: progress.withdrawn,
            count: progress.count,
            waiter,
        };
        self.append(record, PendingRecord::Cancelled(call));
    }

    /// Cancels one request. A request that an earlier call cancelled counts
    /// again: a caller that lost the reply repeats the call, and would
    /// otherwise get the reply that nothing was cancelled. The reply waits until
    /// the records of the answers are in the table.
    fn cancel_one(&mut self, key: String, progress: &mut CancelProgress) {
        let Some(entry) = self.ledger.get(&key) else {
            return;
        };
        let (may_have_run, recorded) = (entry.may_have_run(), entry.recorded);
        match &entry.stage {
            Stage::Done(answer) => progress.count += u32::from(is_cancelled(answer.code)),
            Stage::Closing(answer) if is_cancelled(answer.code) => {
                progress.count += 1;
                progress.recording |= recorded;
            }
            Stage::Closing(_) => {}
            Stage::Waiting(_) | Stage::Recording(_) => {
                progress.count += 1;
                self.withdraw(&key);
                if recorded && !may_have_run {
                    progress.withdrawn.push(key);
                } else {
                    progress.recording |= recorded;
                    self.finish_cancelled(&key);
                }
            }
            Stage::Offloaded | Stage::Running(_) => {
                progress.count += 1;
                self.stop_running(&key);
            }
        }
    }

    pub(crate) fn finish_cancelled(&mut self, key: &str) {
        let Some(entry) = self.ledger.get(key) else {
            return;
        };
        let (code, reason) = match entry.history {
            RunHistory::NeverStarted => (Code::Cancelled, "cancelled before it started"),
            RunHistory::EndKnown => (Code::TaskStopped, "cancelled between two attempts"),
            RunHistory::EndUnknown => {
                (Code::HostLost, "cancelled; an earlier attempt may have run")
            }
        };
        self.finish_without_output(key, code, reason);
    }

    /// Closes cancelled requests, so that they can't start any more. Their
    /// callers get the answer once its record is in the table.
    fn close_withdrawn(&mut self, keys: &[String]) {
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
