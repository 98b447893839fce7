//! All requests that a shard remembers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use model::Answer;
use model::Epoch;
use sched::Now;

use crate::Acceptance;
use crate::Accepted;
use crate::Entry;
use crate::MemberState;
use crate::Past;
use crate::Placed;
use crate::Record;
use crate::Stage;
use crate::attempt_id;

/// All requests that a shard remembers.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<String, Entry>,
    ended: VecDeque<(Now, String)>,
}

/// Times of one input: the monotonic one decides, the wall clock is kept for
/// later owners, who have another monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Time since the shard's task began.
    pub now: Now,
    /// Milliseconds since 1970.
    pub wall_millis: u64,
}

impl Ledger {
    /// A request by its key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// A request by its key.
    pub fn get_mut(&mut self, key: &str) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Adds a request.
    pub fn insert(&mut self, key: &str, entry: Entry) {
        self.entries.insert(key.to_owned(), entry);
    }

    /// Whether it remembers nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All requests.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Entry)> {
        self.entries.iter()
    }

    /// All requests.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&String, &mut Entry)> {
        self.entries.iter_mut()
    }

    /// Takes in an answer that an earlier owner recorded; the request itself
    /// may stand in an older segment that is no longer read.
    fn replay_end(&mut self, key: &str, answer: Answer, now: Now) {
        if !self.entries.contains_key(key) {
            let entry = Entry::orphan(key, model::Resources::default(), now);
            self.entries.insert(key.to_owned(), entry);
        }
        let known = self.entries.get(key).is_some_and(Entry::is_over);
        if !known {
            self.finish(key, answer, now);
        }
    }

    /// Marks a request as answered.
    pub fn finish(&mut self, key: &str, answer: Answer, now: Now) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.stage = Stage::Done(answer);
            entry.members = Vec::new();
            entry.spent = Vec::new();
            self.ended.push_back((now, key.to_owned()));
        }
    }

    /// Forgets answers older than the retention.
    pub fn forget(&mut self, now: Now, retention: Duration) {
        while let Some((at, _)) = self.ended.front() {
            if *at + retention > now {
                return;
            }
            if let Some((_, key)) = self.ended.pop_front() {
                self.entries.remove(&key);
            }
        }
    }

    /// Applies a record of an earlier owner.
    pub fn replay(&mut self, record: &Record, times: Times) {
        match record {
            Record::Accept(accepted) => self.replay_accept(accepted, times),
            Record::Intent {
                key,
                epoch,
                attempt,
                placed,
            } => self.replay_intent(key, *epoch, *attempt, placed),
            Record::End { key, answer, .. } => {
                self.replay_end(key, answer.clone(), times.now);
            }
            Record::Cancel { keys, .. } => {
                for key in keys {
                    let answer = cancelled_answer(key);
                    self.replay_end(key, answer, times.now);
                }
            }
        }
    }

    fn replay_accept(&mut self, accepted: &Accepted, times: Times) {
        let request = accepted.request.clone();
        let key = model::request_key(&request.team, &request.id);
        if self.entries.contains_key(&key) {
            return;
        }
        let left = accepted.until_millis.saturating_sub(times.wall_millis);
        let deadline = times.now + Duration::from_millis(left);
        let mut entry = Entry::new(request, times.now, deadline, accepted.until_millis);
        entry.recorded = true;
        entry.acceptance = Acceptance::Safe;
        self.entries.insert(key, entry);
    }

    fn replay_intent(&mut self, key: &str, epoch: Epoch, attempt: u32, placed: &[Placed]) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.is_over() || attempt <= entry.attempt {
            return;
        }
        entry.attempt = attempt;
        entry.epoch = epoch;
        if attempt > 1 || placed.is_empty() {
            entry.past = Past::Unseen;
        }
        let member = |(index, place): (usize, &Placed)| crate::Member {
            attempt: attempt_id(key, epoch, attempt, index),
            worker: place.worker.clone(),
            run: place.run.clone(),
            state: MemberState::Unknown,
        };
        entry.members = placed.iter().enumerate().map(member).collect();
        entry.stage = Stage::Running(None);
    }
}

/// Answer to a request that was withdrawn before it started.
#[must_use]
pub fn cancelled_answer(key: &str) -> Answer {
    let id = key.split_once('/').map_or(key, |(_, id)| id);
    Answer::without_output(id, model::Code::Cancelled, "cancelled before it started")
}
