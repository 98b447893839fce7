//! Who may renew the leases of workers, and when a successor may take them for
//! over.
//!
//! Without a rule that both owners can judge alone, an owner that is cut off
//! from the store and shares no reachable worker with its successor renews
//! leases for good, while the successor counts them as over: tasks run on two
//! workers at a time. The rule:
//!
//! - An owner renews for [`STORE_VOUCH`] after the start of its newest write
//!   that was done. Beyond that, it renews for [`WORKER_VOUCH`] after over half
//!   of its workers have obeyed it, but not for longer than [`LONGEST_CUT`].
//! - "Its workers" are those with a row in the store. The successor reads the
//!   same rows, since none changes without a write of the owner. A worker obeys
//!   one owner at a time; so once the successor has claimed half of them, or
//!   knows that they are dead, its predecessor renews for `WORKER_VOUCH` more.
//!   One that reaches fewer waits for `LONGEST_CUT`.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::WorkerId;

/// How long a write that was done shows that the pool is ours: five renewals of
/// the ownership, 0.4 s apart.
pub const STORE_VOUCH: Duration = Duration::from_secs(2);

/// How long a worker that obeyed vouches, from when the call was sent: a call
/// waits there for 0.4 s, and two that are left unanswered take 0.8 s each.
pub const WORKER_VOUCH: Duration = Duration::from_millis(2500);

/// Longest time for which an owner goes on without the store. A successor that reaches fewer
/// than half of the workers waits as long.
pub const LONGEST_CUT: Duration = Duration::from_mins(2);

/// What an owner's right to renew leases rests on.
#[derive(Debug)]
pub struct Tenure {
    /// The newest write that was done began then.
    written: Duration,
    /// Workers with a row.
    rows: BTreeSet<WorkerId>,
    /// Workers whose row is being written or removed: it may be there or not.
    open: BTreeSet<WorkerId>,
}

impl Tenure {
    /// Tenure of an owner that has read the rows of `workers` at `now`.
    #[must_use]
    pub fn new(now: Duration, workers: impl IntoIterator<Item = WorkerId>) -> Tenure {
        Tenure {
            written: now,
            rows: workers.into_iter().collect(),
            open: BTreeSet::new(),
        }
    }

    /// When the newest write that was done began.
    #[must_use]
    pub fn written(&self) -> Duration {
        self.written
    }

    /// Until when the store alone vouches.
    #[must_use]
    pub fn by_store(&self) -> Duration {
        self.written + STORE_VOUCH
    }

    /// A write that began at `begun` was done.
    pub fn wrote(&mut self, begun: Duration) {
        self.written = self.written.max(begun);
    }

    /// A write that changes the row of this worker is being sent.
    pub fn changing(&mut self, worker: &str) {
        self.open.insert(worker.to_owned());
    }

    /// The row of this worker was written.
    pub fn added(&mut self, worker: &str) {
        self.open.remove(worker);
        self.rows.insert(worker.to_owned());
    }

    /// The row of this worker was removed.
    pub fn removed(&mut self, worker: &str) {
        self.open.remove(worker);
        self.rows.remove(worker);
    }

    /// Until when leases may be renewed. `heard` gives when the newest call was
    /// sent that a worker obeyed.
    #[must_use]
    pub fn until(&self, heard: impl Fn(&str) -> Option<Duration>) -> Duration {
        let by_workers = self.vouched(heard).min(self.written + LONGEST_CUT);
        self.by_store().max(by_workers)
    }

    /// Until when over half of the workers vouch, whether a write without an
    /// answer was done or not: with its rows, and without them.
    fn vouched(&self, heard: impl Fn(&str) -> Option<Duration>) -> Duration {
        let settled = self.rows.difference(&self.open);
        let mut times: Vec<Duration> = settled.filter_map(|worker| heard(worker)).collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        // None of the workers in doubt counts for us, each counts as one.
        let all = self.rows.union(&self.open).count();
        let last = times.get(all / 2);
        last.map_or(Duration::ZERO, |last| *last + WORKER_VOUCH)
    }
}

/// What a successor knows of its predecessor's tenure.
#[derive(Debug)]
pub(crate) struct Succession {
    began: Duration,
    /// Workers with a row when we took over.
    rows: usize,
    /// Since when the predecessor cannot have over half of them.
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

    /// Takes note of how many of the workers may still obey the predecessor.
    pub(crate) fn update(&mut self, now: Duration, doubtful: usize) {
        if self.outvoted.is_none() && doubtful * 2 <= self.rows {
            self.outvoted = Some(now);
        }
    }

    /// When the predecessor has sent its last renewal.
    pub(crate) fn last_renewal(&self) -> Duration {
        let by_store = self.began + STORE_VOUCH;
        match self.outvoted {
            Some(_) if self.rows == 0 => by_store,
            Some(since) => by_store.max(since + WORKER_VOUCH),
            None => self.began + LONGEST_CUT,
        }
    }
}
