//! Requests of a shard: all that are open, and those answered within the
//! retention period.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use model::Answer;
use model::Epoch;
use sched::Timestamp;

use crate::Acceptance;
use crate::Accepted;
use crate::Entry;
use crate::MemberState;
use crate::Placement;
use crate::Record;
use crate::RunHistory;
use crate::Stage;
use crate::attempt_id;

/// Requests of a shard: all that are open, and those answered within the
/// retention period.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<String, Entry>,
    /// Answered requests with the time of the answer, oldest first.
    answered: VecDeque<(Timestamp, String)>,
}

/// Times at which one input is handled. Decisions use the monotonic time; the
/// wall clock is recorded for later owners, whose monotonic clocks differ.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Time since this owner's shard task started.
    pub now: Timestamp,
    /// Wall clock, in milliseconds since 1970.
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

    /// Adds a request, replacing an entry with the same key.
    pub fn insert(&mut self, key: &str, entry: Entry) {
        self.entries.insert(key.to_owned(), entry);
    }

    /// Whether it contains no requests.
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

    /// Applies a recorded answer. The request itself may be missing: it may
    /// have been recorded in an older segment, of which only the answers are
    /// read.
    fn replay_end(&mut self, key: &str, answer: Answer, now: Timestamp) {
        if !self.entries.contains_key(key) {
            let entry = Entry::from_report(key, model::Resources::default(), now);
            self.entries.insert(key.to_owned(), entry);
        }
        let already_closed = self.entries.get(key).is_some_and(Entry::is_closed);
        if !already_closed {
            self.finish(key, answer, now);
        }
    }

    /// Marks a request as answered and drops its members.
    pub fn finish(&mut self, key: &str, answer: Answer, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.stage = Stage::Done(answer);
            entry.members = Vec::new();
            entry.earlier_members = Vec::new();
            self.answered.push_back((now, key.to_owned()));
        }
    }

    /// Removes requests that were answered longer ago than the retention
    /// period.
    pub fn remove_expired(&mut self, now: Timestamp, retention: Duration) {
        while let Some((at, _)) = self.answered.front() {
            if *at + retention > now {
                return;
            }
            if let Some((_, key)) = self.answered.pop_front() {
                self.entries.remove(&key);
            }
        }
    }

    /// Applies a record of a former owner.
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

    /// Applies the record of an acceptance; the time until the latest start is
    /// converted from the wall clock.
    fn replay_accept(&mut self, accepted: &Accepted, times: Times) {
        let request = accepted.request.clone();
        let key = model::request_key(&request.team, &request.id);
        if self.entries.contains_key(&key) {
            return;
        }
        let remaining = accepted.until_millis.saturating_sub(times.wall_millis);
        let deadline = times.now + Duration::from_millis(remaining);
        let mut entry = Entry::new(request, times.now, deadline, accepted.until_millis);
        entry.recorded = true;
        entry.acceptance = Acceptance::Recorded;
        self.entries.insert(key, entry);
    }

    /// Applies the record of an intent. The states of its members are unknown
    /// until their workers are claimed and list their tasks.
    fn replay_intent(&mut self, key: &str, epoch: Epoch, attempt: u32, placed: &[Placement]) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.is_closed() || attempt <= entry.attempt {
            return;
        }
        entry.attempt = attempt;
        entry.epoch = epoch;
        // An earlier attempt, or this one if it has ended, may have started.
        if attempt > 1 || placed.is_empty() {
            entry.history = RunHistory::EndUnknown;
        }
        let member = |(index, place): (usize, &Placement)| crate::Member {
            attempt: attempt_id(key, epoch, attempt, index),
            worker: place.worker.clone(),
            incarnation: place.run.clone(),
            state: MemberState::Unknown,
        };
        entry.members = placed.iter().enumerate().map(member).collect();
        entry.stage = Stage::Running(None);
    }
}

/// Answer to a request that was cancelled before it started.
#[must_use]
pub fn cancelled_answer(key: &str) -> Answer {
    let id = key.split_once('/').map_or(key, |(_, id)| id);
    Answer::without_output(id, model::Code::Cancelled, "cancelled before it started")
}
