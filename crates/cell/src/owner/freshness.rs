//! How old the owner's knowledge of its ownership and of the jobs is.
//!
//! An owner that was frozen or cut off still believes that it owns the pool and knows its jobs:
//! callers were told that 0 jobs wait although a successor had accepted some. So callers get an
//! answer only if two facts were confirmed recently: that this process owned the pool, and that
//! it knew all jobs.

use std::time::Duration;

use job::RenewalAuthority;
use tokio::sync::watch;

use super::Pool;

/// Greatest age of the knowledge behind an answer to a caller.
const MAX_AGE: Duration = Duration::from_secs(2);

/// While the store alone confirms the ownership for longer than this, the workers' replies are
/// not examined. It is longer than the time between two planning cycles.
const TENURE_SLACK: Duration = Duration::from_millis(500);

/// When the owner's knowledge was last confirmed.
#[derive(Debug)]
pub(super) struct Freshness {
    /// Confirmations that this process owns the pool.
    pub(super) tenure: RenewalAuthority,
    /// Until when the ownership is confirmed, as of the last planning cycle: links renew leases
    /// until then.
    owned_until: watch::Sender<Duration>,
    /// When the newest successful read of the feed of job rows started: all jobs accepted
    /// before it are known.
    jobs_read: Duration,
    /// Queue lengths are not answered, since the knowledge is too old.
    mute: bool,
}

impl Freshness {
    /// All rows, including those of the used workers, were read no earlier than `now`.
    pub(super) fn new(now: Duration, tenure: RenewalAuthority) -> Freshness {
        Freshness {
            owned_until: watch::Sender::new(tenure.store_deadline()),
            tenure,
            jobs_read: now,
            mute: false,
        }
    }

    /// Subscribes to the time until which leases may be renewed.
    pub(super) fn subscribe_tenure(&self) -> watch::Receiver<Duration> {
        self.owned_until.subscribe()
    }

    /// Records that all jobs accepted before `started` are known.
    pub(super) fn record_jobs_read(&mut self, started: Duration) {
        self.jobs_read = self.jobs_read.max(started);
    }
}

impl Pool {
    /// Whether the ownership is confirmed, so that leases may be renewed.
    pub(super) fn owned(&self) -> bool {
        !self.deposed && self.context.now() < *self.freshness.owned_until.borrow()
    }

    /// Computes until when the ownership is confirmed, and publishes it to the links.
    pub(super) fn publish_tenure(&self, now: Duration) {
        let tenure = &self.freshness.tenure;
        let last_accepted = |worker: &str| {
            let key = self.planner.worker_key(worker)?;
            self.links.get(&key)?.last_accepted()
        };
        let end = if tenure.store_deadline() > now + TENURE_SLACK {
            tenure.store_deadline()
        } else {
            tenure.renewal_deadline(last_accepted)
        };
        self.freshness.owned_until.send_replace(end);
    }

    /// Whether the ownership and the knowledge of all jobs were confirmed recently.
    pub(super) fn jobs_current(&self) -> bool {
        let since = self.context.now().saturating_sub(MAX_AGE);
        self.freshness.jobs_read >= since && self.owned()
    }

    /// While the store accepts no writes, no job is accepted, so none is missed. If it only
    /// refuses the writes of this owner, the workers soon obey a successor. A store that
    /// refuses reads but still carries out the owner's writes does accept jobs: when it was
    /// treated like one that is down, the owner answered for the whole outage that 0 jobs wait,
    /// although six did.
    pub(super) fn check_freshness(&mut self, now: Duration) {
        let silent = self.context.ownership.borrow().unreachable_since;
        if silent.is_some_and(|since| self.freshness.tenure.last_write() < since) {
            self.freshness.record_jobs_read(now);
        }
        let mute = !self.jobs_current();
        if mute == self.freshness.mute {
            return;
        }
        self.freshness.mute = mute;
        let age = |at: Duration| now.saturating_sub(at).as_millis();
        let (written, read) = (
            age(self.freshness.tenure.last_write()),
            age(self.freshness.jobs_read),
        );
        log::warn!(
            code = 371, epoch = self.epoch, mute = mute, written_ms = written, read_ms = read;
            "freshness of the owner's state changed"
        );
    }
}
