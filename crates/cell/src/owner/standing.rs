//! How old the owner's knowledge is.
//!
//! An owner that was frozen or cut off goes on believing that it owns the pool
//! and knows its jobs: callers were told that 0 jobs wait while a successor had
//! accepted some. So an answer is given only if two things are known to have
//! been true lately: that the pool was ours, and that all jobs were known.

use std::time::Duration;

use job::Tenure;
use tokio::sync::watch;

use super::Pool;

/// What callers are told may be this old.
const MOST_AGE: Duration = Duration::from_secs(2);

/// While the store alone vouches for longer than this, workers are not looked at
/// for it: longer than a round takes to come.
const TENURE_SLACK: Duration = Duration::from_millis(500);

/// What the owner knows, and since when.
#[derive(Debug)]
pub(super) struct Standing {
    /// That the pool is ours.
    pub(super) tenure: Tenure,
    /// Until when it is, as of the last round: links renew leases until then.
    until: watch::Sender<Duration>,
    /// All accepted jobs were known: the newest read of the feed began.
    read: Duration,
    /// Counts are not told.
    mute: bool,
}

impl Standing {
    /// Everything was read from `now` on, the rows of workers among it.
    pub(super) fn new(now: Duration, tenure: Tenure) -> Standing {
        Standing {
            until: watch::Sender::new(tenure.by_store()),
            tenure,
            read: now,
            mute: false,
        }
    }

    /// Follows until when leases may be renewed.
    pub(super) fn follow_tenure(&self) -> watch::Receiver<Duration> {
        self.until.subscribe()
    }

    /// All jobs that were accepted before `begun` are known.
    pub(super) fn read(&mut self, begun: Duration) {
        self.read = self.read.max(begun);
    }
}

impl Pool {
    /// Whether the pool was ours lately, and leases may be renewed.
    pub(super) fn owned(&self) -> bool {
        !self.deposed && self.context.now() < *self.standing.until.borrow()
    }

    /// Works out until when the pool is ours, and tells the links.
    pub(super) fn publish_tenure(&self, now: Duration) {
        let tenure = &self.standing.tenure;
        let heard = |worker: &str| {
            let key = self.planner.worker_of(worker)?;
            self.links.get(&key)?.heard()
        };
        let end = if tenure.by_store() > now + TENURE_SLACK {
            tenure.by_store()
        } else {
            tenure.until(heard)
        };
        self.standing.until.send_replace(end);
    }

    /// Whether the pool was ours and all its jobs were known lately.
    pub(super) fn knows_jobs(&self) -> bool {
        let since = self.context.now().saturating_sub(MOST_AGE);
        self.standing.read >= since && self.owned()
    }

    /// While the store takes nothing no job is accepted, so none is missed. If it
    /// takes nothing of us alone, the workers soon obey a successor. A store that
    /// refuses reads and still does our writes accepts jobs: taken for one that
    /// is away, it let the owner tell for as long as that lasted of 0 jobs that
    /// wait, while six did.
    pub(super) fn check_standing(&mut self, now: Duration) {
        let silent = self.context.ownership.borrow().unreachable_since;
        if silent.is_some_and(|since| self.standing.tenure.written() < since) {
            self.standing.read(now);
        }
        let mute = !self.knows_jobs();
        if mute == self.standing.mute {
            return;
        }
        self.standing.mute = mute;
        let age = |at: Duration| now.saturating_sub(at).as_millis();
        let (written, read) = (age(self.standing.tenure.written()), age(self.standing.read));
        log::warn!(
            code = 371, epoch = self.epoch, mute = mute, written_ms = written, read_ms = read;
            "age of the owner's knowledge"
        );
    }
}
