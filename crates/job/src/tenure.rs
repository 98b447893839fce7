//! Decides how long an owner may renew the leases of workers, and when its successor may treat
//! them as expired.
//!
//! Each owner must be able to decide this alone. Otherwise an owner that is cut off from the
//! store and shares no reachable worker with its successor would renew leases forever, while the
//! successor treats them as expired and starts the same tasks on other workers. The rule:
//!
//! - An owner renews leases for [`STORE_VOUCH`] after the start of its newest successful write to
//!   the store. Beyond that, it renews them for [`WORKER_VOUCH`] after over half of its workers
//!   have accepted a command, but at most [`LONGEST_CUT`] after the start of that write.
//! - "Its workers" are those with a row in the store. The successor reads the same rows, since
//!   only a write of the owner changes them. A worker accepts commands of one owner at a time, so
//!   once the successor has claimed half of the workers, or knows that they have crashed, its
//!   predecessor renews leases for at most `WORKER_VOUCH` more. A successor that reaches fewer
//!   workers waits for `LONGEST_CUT`.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::WorkerId;

/// How long a successful write proves that this process owns the pool: five renewals of the
/// ownership, 0.4 s apart.
pub const STORE_VOUCH: Duration = Duration::from_secs(2);

/// How long an accepted command counts, from when it was sent. It covers a renewal call, which
/// waits for 0.4 s at the worker, and two calls without a reply, which time out after 0.8 s each.
pub const WORKER_VOUCH: Duration = Duration::from_millis(2500);

/// Maximum time for which an owner renews leases without the store. A successor that reaches
/// fewer than half of the workers waits for the same time.
pub const LONGEST_CUT: Duration = Duration::from_mins(2);

/// State from which an owner derives until when it may renew leases.
#[derive(Debug)]
pub struct Tenure {
    /// Start of the newest successful write to the store.
    written: Duration,
    /// Workers with a row in the store.
    rows: BTreeSet<WorkerId>,
    /// Workers whose row is being written or removed, so that it may or may not exist.
    open: BTreeSet<WorkerId>,
}

impl Tenure {
    /// Creates the state of an owner that read the rows of `workers` at `now`.
    #[must_use]
    pub fn new(now: Duration, workers: impl IntoIterator<Item = WorkerId>) -> Tenure {
        Tenure {
            written: now,
            rows: workers.into_iter().collect(),
            open: BTreeSet::new(),
        }
    }

    /// Start of the newest successful write to the store.
    #[must_use]
    pub fn written(&self) -> Duration {
        self.written
    }

    /// Time until which the newest write alone allows renewals.
    #[must_use]
    pub fn by_store(&self) -> Duration {
        self.written + STORE_VOUCH
    }

    /// Records a successful write to the store that started at `begun`.
    pub fn wrote(&mut self, begun: Duration) {
        self.written = self.written.max(begun);
    }

    /// Records that a write which adds or removes the row of this worker is being sent.
    pub fn changing(&mut self, worker: &str) {
        self.open.insert(worker.to_owned());
    }

    /// Records that the row of this worker was written.
    pub fn added(&mut self, worker: &str) {
        self.open.remove(worker);
        self.rows.insert(worker.to_owned());
    }

    /// Records that the row of this worker was removed.
    pub fn removed(&mut self, worker: &str) {
        self.open.remove(worker);
        self.rows.remove(worker);
    }

    /// Time until which leases may be renewed. `heard` returns when the newest command that a
    /// worker accepted was sent.
    #[must_use]
    pub fn until(&self, heard: impl Fn(&str) -> Option<Duration>) -> Duration {
        let by_workers = self.vouched(heard).min(self.written + LONGEST_CUT);
        self.by_store().max(by_workers)
    }

    /// Time until which a majority of the workers allows renewals, whether or not a write without
    /// a reply has changed their rows.
    fn vouched(&self, heard: impl Fn(&str) -> Option<Duration>) -> Duration {
        let settled = self.rows.difference(&self.open);
        let mut times: Vec<Duration> = settled.filter_map(|worker| heard(worker)).collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // Workers with an unconfirmed row count in the total but not towards the majority.
        let all = self.rows.union(&self.open).count();
        let last = times.get(all / 2);
        last.map_or(Duration::ZERO, |last| *last + WORKER_VOUCH)
    }
}

/// What a successor knows of how long its predecessor may renew leases.
#[derive(Debug)]
pub(crate) struct Succession {
    began: Duration,
    /// Number of workers with a row at the take-over.
    rows: usize,
    /// When it became certain that at most half of these workers accept commands of the
    /// predecessor.
    outvoted: Option<Duration>,
}

impl Succession {
    pub(crate) fn new(began: Duration) -> Succession {
        Succession {
            began,
            rows: 0,
            outvoted: None,
        }
    }

    pub(crate) fn add_row(&mut self) {
        self.rows += 1;
    }

    /// Records how many of the workers may still accept commands of the predecessor.
    pub(crate) fn update(&mut self, now: Duration, doubtful: usize) {
        if self.outvoted.is_none() && doubtful * 2 <= self.rows {
            self.outvoted = Some(now);
        }
    }

    /// Latest time at which the predecessor may have sent a renewal.
    pub(crate) fn last_renewal(&self) -> Duration {
        let by_store = self.began + STORE_VOUCH;
        match self.outvoted {
            Some(_) if self.rows == 0 => by_store,
            Some(since) => by_store.max(since + WORKER_VOUCH),
            None => self.began + LONGEST_CUT,
        }
    }
}
