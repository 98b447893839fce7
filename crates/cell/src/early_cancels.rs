//! Early cancellations: those of jobs that are not stored.
//!
//! The store may carry out a write of a job seconds after its caller has stopped waiting for the reply.
//! If the caller cancels the job before that, nothing of the job can be read. The owner stores the
//! cancellation before the caller is told that the job does not exist, and a job that is read later is
//! a cancelled one. A successor reads the cancellations before it reads the jobs.
//!
//! Load that this answers: the cancels of jobs whose submissions got no reply while the store lost
//! replies, and a crowd that cancels ids which nobody has submitted. The owner writes cancellations along
//! with its other state, a bounded number at a time, and keeps a bounded number for a bounded time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use job::JobId;
use job::JobSpec;
use job::Requester;
use platform::Row;
use platform::RowName;
use snafu::ResultExt;
use snafu::Snafu;

use crate::OWNER_PART;
use crate::decode_row;
use crate::encode_row;
use crate::hex;
use crate::job_id_of;

/// Table of early cancellations, by job id and requester.
pub const EARLY_CANCEL_TABLE: &str = "early_cancels";

/// Time for which a cancellation is kept: several times what a write of the job may be late.
const KEPT: Duration = Duration::from_mins(1);

/// Shortest time for which a cancellation is still kept when its caller is told that it is stored.
const MIN_KEPT: Duration = Duration::from_secs(30);

/// Maximum number of cancellations that are kept: a successor reads their rows, also over a slow link.
pub const MAX_EARLY_CANCELS: usize = 2048;

/// Maximum number of rows of cancellations in one transaction of the owner.
pub const MAX_EARLY_WRITES: usize = 20;

/// A cancellation of a job that may be stored later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EarlyCancel {
    /// Id of the job.
    pub id: JobId,
    /// On whose behalf the job was cancelled. Only a job that the requester may see is cancelled.
    pub requester: Requester,
}

/// Why a row is not that of a cancellation.
#[derive(Debug, Snafu)]
pub enum EarlyCancelError {
    /// The key does not start with the id of a job.
    #[snafu(display("key: {source}"))]
    Key {
        /// Error of the decoder.
        source: job::IdError,
    },
    /// The value does not name a requester.
    #[snafu(display("requester: {source}"))]
    Requester {
        /// Error of the decoder.
        source: postcard::Error,
    },
}

impl EarlyCancel {
    /// Returns the name of the cancellation's row.
    #[must_use]
    pub fn row(&self) -> RowName {
        // The requester's name may take the whole length that a key may have.
        let requester = xxhash_rust::xxh3::xxh3_64(&self.value());
        let key = format!("{}.{requester:016x}", hex(self.id));
        RowName::new(EARLY_CANCEL_TABLE, OWNER_PART, &key)
    }

    /// Returns the value of the cancellation's row.
    #[must_use]
    pub fn value(&self) -> Vec<u8> {
        encode_row(&self.requester)
    }

    /// Decodes a cancellation from its row.
    ///
    /// # Errors
    /// See [`EarlyCancelError`].
    pub fn decode(row: &Row) -> Result<EarlyCancel, EarlyCancelError> {
        Ok(EarlyCancel {
            id: job_id_of(&row.name).context(KeySnafu)?,
            requester: decode_row(&row.value).context(RequesterSnafu)?,
        })
    }
}

/// What became of a cancellation that a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// It is stored.
    Stored {
        /// When it was first asked for. Jobs that were accepted before may have been read since.
        asked: Duration,
    },
    /// It is written with one of the next transactions.
    Pending,
    /// No more are kept; some expire after this time.
    Full(Duration),
}

/// Where a cancellation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// In memory only: the job's row contains the cancellation.
    Noted,
    /// To be written.
    Unsaved,
    /// In a transaction that writes it.
    Saving,
    /// In the store.
    Stored,
    /// In the store, to be removed.
    Expired,
    /// In a transaction that removes it.
    Removing,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    stage: Stage,
    /// When it is no longer needed. Counts only once it is noted or stored.
    expiry: Duration,
    /// When it was first asked for.
    asked: Duration,
}

/// Rows of cancellations that one transaction writes and removes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EarlyWrites {
    /// Cancellations whose rows are written.
    pub puts: Vec<EarlyCancel>,
    /// Cancellations whose rows are removed.
    pub removes: Vec<EarlyCancel>,
}

/// The early cancellations that an owner keeps.
#[derive(Debug, Default)]
pub struct EarlyCancels {
    entries: BTreeMap<EarlyCancel, Entry>,
    unsaved: VecDeque<EarlyCancel>,
    /// Cancellations in the order of their expiry, some of which has been postponed since.
    expiries: VecDeque<(Duration, EarlyCancel)>,
    expired: VecDeque<EarlyCancel>,
}

impl EarlyCancels {
    /// Returns the number of cancellations that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no cancellation is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a cancellation is to be written.
    #[must_use]
    pub fn has_unsaved(&self) -> bool {
        !self.unsaved.is_empty()
    }

    /// Returns the number of rows for which a transaction that is built now has to have room.
    #[must_use]
    pub fn next_writes(&mut self, now: Duration) -> usize {
        self.expire(now);
        (self.unsaved.len() + self.expired.len()).min(MAX_EARLY_WRITES)
    }

    /// Returns whether a job is cancelled.
    #[must_use]
    pub fn covers(&self, id: JobId, job: &JobSpec) -> bool {
        self.of_job(id).any(|cancel| cancel.requester.may_see(job))
    }

    /// Returns whether a job with this id may be cancelled.
    #[must_use]
    pub fn names(&self, id: JobId) -> bool {
        self.of_job(id).next().is_some()
    }

    fn of_job(&self, id: JobId) -> impl Iterator<Item = &EarlyCancel> {
        // The smallest requester.
        let first = EarlyCancel {
            id,
            requester: Requester::Queue(String::new()),
        };
        let from = self.entries.range(first..);
        from.map(|(cancel, _)| cancel)
            .take_while(move |cancel| cancel.id == id)
    }

    /// Records a cancellation of a job that is not known, to be written.
    pub fn record(&mut self, cancel: EarlyCancel, now: Duration) -> Recorded {
        let full = self.entries.len() >= MAX_EARLY_CANCELS;
        let entry = self.entries.get(&cancel);
        match entry.map(|entry| (entry.stage, entry.asked)) {
            Some((Stage::Unsaved | Stage::Saving, _)) => return Recorded::Pending,
            Some((Stage::Stored, asked)) => {
                self.postpone(cancel, now);
                return Recorded::Stored { asked };
            }
            None if full => {
                let first = self.expiries.front();
                let wait = first.map_or(KEPT, |(expiry, _)| expiry.saturating_sub(now));
                return Recorded::Full(wait);
            }
            None => {}
            // It counts as asked for now.
            Some((Stage::Noted | Stage::Expired | Stage::Removing, _)) => {
                self.entries.remove(&cancel);
            }
        }
        self.set(&cancel, Stage::Unsaved, now);
        self.unsaved.push_back(cancel);
        Recorded::Pending
    }

    /// Keeps a cancellation that the row of a job contains which was not read yet.
    pub fn note(&mut self, cancel: EarlyCancel, now: Duration) {
        if self.entries.len() < MAX_EARLY_CANCELS && !self.entries.contains_key(&cancel) {
            self.set(&cancel, Stage::Noted, now);
            self.expiries.push_back((now + KEPT, cancel));
        }
    }

    /// Adds a cancellation that a former owner has stored.
    pub fn restore(&mut self, cancel: EarlyCancel, now: Duration) {
        self.set(&cancel, Stage::Stored, now);
        self.expiries.push_back((now + KEPT, cancel));
    }

    /// Takes the rows to write and to remove in the next transaction.
    pub fn take(&mut self, now: Duration) -> EarlyWrites {
        self.expire(now);
        let mut writes = EarlyWrites::default();
        while writes.puts.len() < MAX_EARLY_WRITES
            && let Some(cancel) = self.unsaved.pop_front()
        {
            self.set(&cancel, Stage::Saving, now);
            writes.puts.push(cancel);
        }
        while writes.puts.len() + writes.removes.len() < MAX_EARLY_WRITES
            && let Some(cancel) = self.expired.pop_front()
        {
            if self.is_at(&cancel, Stage::Expired) {
                self.set(&cancel, Stage::Removing, now);
                writes.removes.push(cancel);
            }
        }
        writes
    }

    /// Records that a transaction was carried out.
    pub fn saved(&mut self, writes: &EarlyWrites, now: Duration) {
        for cancel in &writes.puts {
            self.set(cancel, Stage::Stored, now);
            self.expiries.push_back((now + KEPT, cancel.clone()));
        }
        for cancel in &writes.removes {
            // Unless the job was cancelled again meanwhile.
            if self.is_at(cancel, Stage::Removing) {
                self.entries.remove(cancel);
            }
        }
    }

    /// Puts back the rows of a transaction that was not carried out, or may not have been.
    pub fn failed(&mut self, writes: EarlyWrites, now: Duration) {
        for cancel in writes.puts.into_iter().rev() {
            self.set(&cancel, Stage::Unsaved, now);
            self.unsaved.push_front(cancel);
        }
        for cancel in writes.removes {
            if self.is_at(&cancel, Stage::Removing) {
                self.set(&cancel, Stage::Expired, now);
                self.expired.push_back(cancel);
            }
        }
    }

    /// Keeps a stored cancellation for longer, if little of its time is left.
    fn postpone(&mut self, cancel: EarlyCancel, now: Duration) {
        let expiry = self.entries.get(&cancel).map(|entry| entry.expiry);
        if expiry.is_some_and(|expiry| expiry < now + MIN_KEPT) {
            self.set(&cancel, Stage::Stored, now);
            self.expiries.push_back((now + KEPT, cancel));
        }
    }

    /// Finds the cancellations that are no longer needed.
    fn expire(&mut self, now: Duration) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, cancel)) = self.expiries.pop_front() else {
                return;
            };
            let Some(entry) = self.entries.get(&cancel).copied() else {
                continue;
            };
            match entry.stage {
                Stage::Noted if entry.expiry <= now => {
                    self.entries.remove(&cancel);
                }
                Stage::Stored if entry.expiry <= now => {
                    self.set(&cancel, Stage::Expired, now);
                    self.expired.push_back(cancel);
                }
                _ => {}
            }
        }
    }

    fn is_at(&self, cancel: &EarlyCancel, stage: Stage) -> bool {
        self.entries
            .get(cancel)
            .is_some_and(|entry| entry.stage == stage)
    }

    fn set(&mut self, cancel: &EarlyCancel, stage: Stage, now: Duration) {
        let expiry = now + KEPT;
        let asked = self.entries.get(cancel).map_or(now, |entry| entry.asked);
        let entry = Entry {
            stage,
            expiry,
            asked,
        };
        self.entries.insert(cancel.clone(), entry);
    }
}
