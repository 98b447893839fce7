//! Offloading: requests that run in another shard because this one has no free
//! workers.
//!
//! Only unrecorded (idempotent) requests are offloaded: if the reply of the
//! other shard is lost, the request may have run, and it runs again. A few
//! shards are asked at random, each of which starts the request at once or
//! refuses it. So no load figures that could be stale are published, and no
//! request waits in two queues.

use std::time::Duration;

use model::Answer;
use model::Family;
use model::offload_key;
use model::request_key;

use crate::Entry;
use crate::Machine;
use crate::OffloadResult;
use crate::Output;
use crate::RunHistory;
use crate::ShardReply;
use crate::Stage;
use crate::Submission;
use crate::WaiterKey;
use crate::intake::millis;

/// Maximum number of waiting requests offered to other shards again per tick.
const OFFERS_PER_TICK: usize = 32;

impl Machine {
    /// Remembers an unrecorded request that may be offloaded if it has to wait.
    pub(crate) fn note_offload_candidate(&mut self, key: &str) {
        if self.params.shards > 1 {
            self.offload_candidates.push_back(key.to_owned());
        }
    }

    /// Offers new requests that have to wait to other shards.
    pub(crate) fn offload_new(&mut self) {
        for key in std::mem::take(&mut self.offload_candidates) {
            if !self.offload(&key) && self.is_waiting(&key) {
                self.offload_retries.push_back(key);
            }
        }
    }

    /// Offers requests again for which no shard had free workers.
    pub(crate) fn retry_offloads(&mut self) {
        for _ in 0..OFFERS_PER_TICK.min(self.offload_retries.len()) {
            let Some(key) = self.offload_retries.pop_front() else {
                return;
            };
            if !self.offload(&key) && self.is_waiting(&key) {
                self.offload_retries.push_back(key);
            }
        }
    }

    fn is_waiting(&self, key: &str) -> bool {
        let entry = self.ledger.get(key);
        entry.is_some_and(|entry| matches!(entry.stage, Stage::Waiting(_)))
    }

    /// Offers a request to other shards if it waits for workers of this one;
    /// returns whether it does.
    fn offload(&mut self, key: &str) -> bool {
        let now = self.times.now;
        let Some(entry) = self.ledger.get_mut(key) else {
            return false;
        };
        let Stage::Waiting(job) = entry.stage else {
            return false;
        };
        if !self.core.offload(job) {
            return false;
        }
        self.request_keys.remove(&job);
        entry.stage = Stage::Offloaded;
        let local_millis = millis(now.saturating_sub(entry.submitted_at));
        let submission = Submission {
            request: entry.request.clone(),
            waited_millis: entry.prior_millis + local_millis,
            wait: true,
        };
        self.outputs
            .push(Output::Offload(key.to_owned(), submission));
        true
    }

    /// Answers an offloaded request with the answer of the other shard, or
    /// queues it here again.
    pub(crate) fn on_offload_done(&mut self, key: &str, result: OffloadResult) {
        let Some(entry) = self.ledger.get_mut(key) else {
            return;
        };
        if !matches!(entry.stage, Stage::Offloaded) {
            return;
        }
        let spec = Self::job_spec(entry);
        self.core.release_offloaded(&spec);
        match result {
            OffloadResult::Answer(answer) if answer.code.family() != Family::NotRun => {
                self.finish_offloaded(key, answer);
            }
            OffloadResult::Answer(_) | OffloadResult::Refused => self.requeue_offloaded(key),
            OffloadResult::Lost => {
                entry.add_history(RunHistory::EndUnknown);
                self.requeue_offloaded(key);
            }
        }
    }

    fn finish_offloaded(&mut self, key: &str, mut answer: Answer) {
        if let Some(entry) = self.ledger.get(key) {
            answer.id.clone_from(&entry.request.id);
        }
        self.finish(key, answer);
    }

    fn requeue_offloaded(&mut self, key: &str) {
        let cancelled = self.ledger.get(key).is_some_and(|entry| entry.cancelled);
        if cancelled {
            self.finish_cancelled(key);
            return;
        }
        self.requeue(key, None);
        if self.is_waiting(key) {
            self.offload_retries.push_back(key.to_owned());
        }
    }

    /// Handles a request offloaded by another shard: it starts now or not at
    /// all.
    pub(crate) fn on_run(&mut self, submission: &Submission, waiter: WaiterKey) {
        let request = &submission.request;
        let key = offload_key(&request_key(&request.team, &request.id), self.params.shard);
        if self.ledger.get(&key).is_some() {
            self.answer_repeated(&key, submission, waiter);
            return;
        }
        let remaining_millis = request
            .deadline_millis
            .saturating_sub(submission.waited_millis);
        let deadline = self.times.now + Duration::from_millis(remaining_millis);
        let mut entry = Entry::new(request.clone(), self.times.now, deadline, 0);
        entry.prior_millis = submission.waited_millis;
        let spec = Self::job_spec(&entry);
        let Some((job, worker)) = self.core.place_offloaded(self.times.now, spec) else {
            self.reply(waiter, ShardReply::Busy);
            return;
        };
        entry.stage = Stage::Waiting(job);
        entry.waiters.push(waiter);
        self.request_keys.insert(job, key.clone());
        self.ledger.insert(&key, entry);
        self.start(job, &[worker]);
    }
}
