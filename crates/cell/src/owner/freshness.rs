//! Whether the owner's state is recent enough to answer callers from it.
//!
//! An owner that was frozen or cut off does not notice that it has lost the pool: such owners
//! replied that 0 jobs wait although a successor had accepted some. So callers get a queue
//! length only if two facts were confirmed recently: that this process owned the pool, and
//! that it had read all job rows.

use std::time::Duration;

use job::RenewalAuthority;
use tokio::sync::watch;

use super::Pool;

/// Maximum age of the last read of the job rows for a reply to a caller.
const MAX_AGE: Duration = Duration::from_secs(2);

/// While the last write to the store alone confirms the ownership for longer than this, the
/// workers' replies are not examined. It is longer than the time between two planning cycles.
const STORE_MARGIN: Duration = Duration::from_millis(500);

/// When the ownership and the read of all job rows were last confirmed.
#[derive(Debug)]
pub(super) struct Freshness {
    /// Confirmations that this process owns the pool.
    pub(super) authority: RenewalAuthority,
    /// Until when the ownership is confirmed, as of the last planning cycle: links renew leases
    /// until then.
    owned_until: watch::Sender<Duration>,
    /// When the newest successful read of the feed of job rows started: all jobs accepted
    /// before it have been read.
    jobs_read: Duration,
    /// Requests for queue lengths get no reply, since the ownership or the job rows are not
    /// confirmed recently.
    stale: bool,
}

impl Freshness {
    /// Creates the state of an owner that started to read its rows at `now`.
    pub(super) fn new(now: Duration, authority: RenewalAuthority) -> Freshness {
        Freshness {
            owned_until: watch::Sender::new(authority.store_deadline()),
            authority,
            jobs_read: now,
            stale: false,
        }
    }

    /// Subscribes to the time until which leases may be renewed.
    pub(super) fn subscribe_owned_until(&self) -> watch::Receiver<Duration> {
        self.owned_until.subscribe()
    }

    /// Time up to which all accepted jobs have been read.
    pub(super) fn jobs_read(&self) -> Duration {
        self.jobs_read
    }

    /// Records that all jobs accepted before `started` have been read.
    pub(super) fn record_jobs_read(&mut self, started: Duration) {
        self.jobs_read = self.jobs_read.max(started);
    }
}

impl Pool {
    /// Whether the ownership is confirmed, so that leases may be renewed.
    pub(super) fn owned(&self) -> bool {
        !self.has_successor && self.context.now() < *self.freshness.owned_until.borrow()
    }

    /// Computes until when the ownership is confirmed, and publishes it to the links.
    pub(super) fn publish_owned_until(&self, now: Duration) {
        let authority = &self.freshness.authority;
        let last_accepted = |worker: &str| {
            let key = self.planner.worker_key(worker)?;
            self.links.get(&key)?.last_accepted()
        };
        let end = if authority.store_deadline() > now + STORE_MARGIN {
            authority.store_deadline()
        } else {
            authority.renewal_deadline(last_accepted)
        };
        self.freshness.owned_until.send_replace(end);
    }

    /// Whether the ownership is confirmed and all job rows were read recently.
    pub(super) fn jobs_current(&self) -> bool {
        let since = self.context.now().saturating_sub(MAX_AGE);
        self.freshness.jobs_read >= since && self.owned()
    }

    /// Logs whether queue lengths can be answered. While the store accepts no writes, no job
    /// is accepted, so the job rows count as read. If it only refuses the writes of this
    /// owner, the workers soon obey a successor. A store that refuses reads but still carries
    /// out the owner's writes does accept jobs: when it was treated like one that is down, the
    /// owner replied for the whole outage that 0 jobs wait, although six did.
    pub(super) fn check_freshness(&mut self, now: Duration) {
        let outage_start = self.context.ownership.borrow().unreachable_since;
        if outage_start.is_some_and(|since| self.freshness.authority.last_write() < since) {
            self.freshness.record_jobs_read(now);
        }
        let stale = !self.jobs_current();
        if stale == self.freshness.stale {
            return;
        }
        self.freshness.stale = stale;
        let age = |at: Duration| now.saturating_sub(at).as_millis();
        let (written, read) = (
            age(self.freshness.authority.last_write()),
            age(self.freshness.jobs_read),
        );
        log::warn!(
            code = 371, epoch = self.epoch, mute = stale, written_ms = written, read_ms = read;
            "ability to answer queue lengths changed; while mute, callers who ask get 503"
        );
    }
}
