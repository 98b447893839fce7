//! How old the owner's knowledge is.
//!
//! An owner that was frozen or cut off goes on believing that it owns the pool
//! and knows its jobs: callers were told that 0 jobs wait while a successor had
//! accepted some. So an answer is given only if two things are known to have
//! been true lately: that the pool was ours, and that all jobs were known.

use std::time::Duration;

use super::Pool;

/// What callers are told may be this old.
const MOST_AGE: Duration = Duration::from_secs(2);

/// A worker vouches for this long after a call that it obeyed was sent: a call
/// waits there for 1 s, and until the next one is answered it takes as long.
const VOUCH_AGE: Duration = Duration::from_millis(2500);

/// What the owner knows, and since when.
#[derive(Debug)]
pub(super) struct Standing {
    /// The pool was certainly ours: the newest write that was done began.
    written: Duration,
    /// All accepted jobs were known: the newest read of the feed began.
    read: Duration,
    /// Counts are not told.
    mute: bool,
}

impl Standing {
    /// Everything was read from `now` on.
    pub(super) fn new(now: Duration) -> Standing {
        Standing {
            written: now,
            read: now,
            mute: false,
        }
    }

    /// A write that began at `begun` was done: no successor had one before.
    pub(super) fn wrote(&mut self, begun: Duration) {
        self.written = self.written.max(begun);
    }

    /// All jobs that were accepted before `begun` are known.
    pub(super) fn read(&mut self, begun: Duration) {
        self.read = self.read.max(begun);
    }
}

impl Pool {
    /// Whether the pool was ours lately: a write was done, or over half of the
    /// workers obeyed us. A successor claims all workers first, so they vouch
    /// for us while the store is away, in which nobody can follow us.
    pub(super) fn owned(&self) -> bool {
        if self.deposed {
            return false;
        }
        let now = self.context.now();
        if self.standing.written >= now.saturating_sub(MOST_AGE) {
            return true;
        }
        let since = now.saturating_sub(VOUCH_AGE);
        let heard = self.links.values().filter(|link| link.heard_since(since));
        heard.count() * 2 > self.links.len()
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
        let silent = self.context.seat.borrow().silent;
        if silent.is_some_and(|since| self.standing.written < since) {
            self.standing.read(now);
        }
        let mute = !self.knows_jobs();
        if mute == self.standing.mute {
            return;
        }
        self.standing.mute = mute;
        let age = |at: Duration| now.saturating_sub(at).as_millis();
        let (written, read) = (age(self.standing.written), age(self.standing.read));
        log::warn!(
            code = 371, epoch = self.epoch, mute = mute, written_ms = written, read_ms = read;
            "age of the owner's knowledge"
        );
    }
}
