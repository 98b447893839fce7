//! Decides how long an owner may renew the leases of workers, and when its successor may treat
//! them as expired.
//!
//! Each owner must be able to decide this alone. Otherwise an owner that is cut off from the
//! store and shares no reachable worker with its successor would renew leases forever, while the
//! successor treats them as expired and starts the same tasks on other workers. The rule:
//!
//! - An owner renews leases for [`STORE_WINDOW`] after the start of its newest successful write to
//!   the store. After that, it renews them for [`MAJORITY_WINDOW`] after over half of its workers
//!   have accepted a command, but at most [`MAX_STORE_OUTAGE`] after the start of that write.
//! - The owner's workers are those with a row in the store. The successor reads the same rows,
//!   since only a write of the owner changes them. A worker accepts commands of one owner at a
//!   time, so once the successor has claimed half of the workers, or found in the list of machines
//!   that they have crashed, its predecessor renews leases for at most `MAJORITY_WINDOW` more. A
//!   successor that reaches fewer workers waits for `MAX_STORE_OUTAGE`.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::WorkerId;

/// How long a successful write proves that this process owns the pool: five renewals of the
/// ownership, 0.4 s apart.
pub const STORE_WINDOW: Duration = Duration::from_secs(2);

/// How long an accepted command counts, from when it was sent. It covers a renewal call, which
/// waits for 0.4 s at the worker, and two calls without a reply, which time out after 0.8 s each.
pub const MAJORITY_WINDOW: Duration = Duration::from_millis(2500);

/// Maximum time for which an owner renews leases without the store. A successor that reaches
/// fewer than half of the workers waits for the same time.
pub const MAX_STORE_OUTAGE: Duration = Duration::from_mins(2);

/// State from which an owner derives until when it may renew leases.
#[derive(Debug)]
pub struct RenewalAuthority {
    /// When the newest successful write to the store started.
    last_write: Duration,
    /// Workers with a row in the store.
    rows: BTreeSet<WorkerId>,
    /// Workers whose row is being written or removed, so that it may or may not exist.
    pending: BTreeSet<WorkerId>,
}

impl RenewalAuthority {
    /// Creates the state of an owner that read the rows of `workers` at `now`.
    #[must_use]
    pub fn new(now: Duration, workers: impl IntoIterator<Item = WorkerId>) -> RenewalAuthority {
        RenewalAuthority {
            last_write: now,
            rows: workers.into_iter().collect(),
            pending: BTreeSet::new(),
        }
    }

    /// Returns when the newest successful write to the store started.
    #[must_use]
    pub fn last_write(&self) -> Duration {
        self.last_write
    }

    /// Returns the time until which the newest write alone allows renewals.
    #[must_use]
    pub fn store_deadline(&self) -> Duration {
        self.last_write + STORE_WINDOW
    }

    /// Records a successful write to the store that started at `write_start`.
    pub fn record_write(&mut self, write_start: Duration) {
        self.last_write = self.last_write.max(write_start);
    }

    /// Records that a write which adds or removes the row of this worker is being sent.
    pub fn row_pending(&mut self, worker: &str) {
        self.pending.insert(worker.to_owned());
    }

    /// Records that the row of this worker was written.
    pub fn row_written(&mut self, worker: &str) {
        self.pending.remove(worker);
        self.rows.insert(worker.to_owned());
    }

    /// Records that the row of this worker was removed.
    pub fn row_removed(&mut self, worker: &str) {
        self.pending.remove(worker);
        self.rows.remove(worker);
    }

    /// Returns the time until which leases may be renewed. `accepted_at` returns when the newest
    /// command that a worker accepted was sent.
    #[must_use]
    pub fn renewal_deadline(&self, accepted_at: impl Fn(&str) -> Option<Duration>) -> Duration {
        let by_majority = self
            .majority_deadline(accepted_at)
            .min(self.last_write + MAX_STORE_OUTAGE);
        self.store_deadline().max(by_majority)
    }

    /// Returns the time until which a majority of the workers allows renewals, whether or not a
    /// write without a reply has changed their rows.
    fn majority_deadline(&self, accepted_at: impl Fn(&str) -> Option<Duration>) -> Duration {
        let settled = self.rows.difference(&self.pending);
        let mut times: Vec<Duration> = settled.filter_map(|worker| accepted_at(worker)).collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // Workers with an unconfirmed row count in the total but not towards the majority.
        let all = self.rows.union(&self.pending).count();
        let last = times.get(all / 2);
        last.map_or(Duration::ZERO, |last| *last + MAJORITY_WINDOW)
    }
}

/// State from which a successor derives how long its predecessor may renew leases.
#[derive(Debug)]
pub(crate) struct PredecessorAuthority {
    /// When the successor took over.
    taken_over: Duration,
    /// Number of workers with a row at the take-over.
    rows: usize,
    /// Since when at most half of these workers may accept commands of the predecessor.
    minority_since: Option<Duration>,
}

impl PredecessorAuthority {
    pub(crate) fn new(taken_over: Duration) -> PredecessorAuthority {
        PredecessorAuthority {
            taken_over,
            rows: 0,
            minority_since: None,
        }
    }

    /// Counts a worker with a row.
    pub(crate) fn add_row(&mut self) {
        self.rows += 1;
    }

    /// Records that at `now`, `uncertain` workers may still accept commands of the predecessor.
    pub(crate) fn update(&mut self, now: Duration, uncertain: usize) {
        if self.minority_since.is_none() && uncertain * 2 <= self.rows {
            self.minority_since = Some(now);
        }
    }

    /// Returns the latest time at which the predecessor may send a renewal.
    pub(crate) fn last_renewal(&self) -> Duration {
        let store_deadline = self.taken_over + STORE_WINDOW;
        match self.minority_since {
            Some(_) if self.rows == 0 => store_deadline,
            Some(since) => store_deadline.max(since + MAJORITY_WINDOW),
            None => self.taken_over + MAX_STORE_OUTAGE,
        }
    }
}
