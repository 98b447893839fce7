//! Ownership of the pool: who has it, and when to take it.
//!
//! The owner renews one row of the store. Safety does not rest on its expiry:
//! each write of the owner is conditional on that row, and workers refuse
//! orders of a lower epoch. A take-over that comes too early therefore costs
//! an interruption, never a double start.

use std::time::Duration;

use job::Epoch;
use platform::Committed;
use platform::Row;
use platform::StoreError;
use platform::Transaction;
use platform::Version;
use tokio::sync::watch;

use crate::Change;
use crate::Context;
use crate::Follower;
use crate::Guard;
use crate::OWNERSHIP_TABLE;
use crate::Ownership;
use crate::decode_ownership;
use crate::decode_row;
use crate::encode_row;
use crate::guard_row;
use crate::metrics::count;
use crate::ownership_row;
use crate::probe_store;

/// A pool whose owner has not renewed for this long is taken over: three
/// renewals were missed.
const OWNER_EXPIRY: Duration = Duration::from_millis(1200);

/// The same when the store is slow: a renewal then takes up to 1.2 s.
const SLOW_STORE_EXPIRY: Duration = Duration::from_millis(2500);

/// A read that takes longer than this shows that the store is slow; else one
/// takes 5 ms.
const SLOW_READ: Duration = Duration::from_millis(100);

/// Longest wait of the feed for a renewal.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Time without an answer to a plain read, after the feed has failed, from
/// which on the store counts as silent; a slow store takes 0.3 s.
const PROBE_WINDOW: Duration = Duration::from_millis(400);

/// Longest time of looking for a store that is silent, before the feed is
/// tried again.
const PROBE_LIMIT: Duration = Duration::from_secs(5);

/// Time for the transaction that takes the pool; a slow store takes up to 1.2 s.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1600);

/// Hosts try to take a may_take pool one after the other within this time. A write and
/// its read take 12 ms: of 8 hosts one writes, of 300 some twenty.
const STAGGER: Duration = Duration::from_millis(200);

/// A host with less of a core than this takes the pool only if no larger one
/// does: owning 350 workers peaks at 0.2 to 0.3 of a core.
const MIN_OWNER_CORES: f64 = 0.2;

/// Wait of such a host for the larger ones: one that was killed is back after 0.6 s,
/// and has its attempt_at within 0.2 s. With 0.4 s, a host of 0.12 of a core took 350 workers
/// over while four larger ones started; it was 5.7 s until work started again, and the
/// day's worth 0.43 instead of 0.68 (2 of 18 plays).
const SMALL_HOST_DELAY: Duration = Duration::from_secs(1);

/// So many times the calls of an owner that cannot keep up must a host be able to make
/// to take the pool from it.
const RELIEF_FACTOR: u32 = 2;

/// Places within the stagger.
const STAGGER_SLOTS: u32 = 1024;

/// Who owns the pool, as far as this process knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// Newest row read.
    pub ownership: Option<Ownership>,
    /// Its version; 0 if there is none.
    pub version: Version,
    /// The store has answered at least once.
    pub loaded: bool,
    /// Since when (monotonic time of this process) the store has not answered.
    pub unreachable_since: Option<Duration>,
}

impl OwnershipView {
    /// The owner, if it has not given up the pool.
    #[must_use]
    pub fn owner(&self) -> Option<&Ownership> {
        self.ownership
            .as_ref()
            .filter(|ownership| !ownership.released)
    }
}

/// Follows the ownership and takes the pool when it is may_take.
pub struct OwnerElection {
    context: Context,
    view: watch::Sender<OwnershipView>,
    /// When the newest row was seen first, with the store answering since.
    renewed_at: Duration,
    /// Time without renewals after which the pool is taken.
    expiry: Duration,
}

impl OwnerElection {
    /// A keeper that publishes to `view`.
    #[must_use]
    pub fn new(context: Context, view: watch::Sender<OwnershipView>) -> OwnerElection {
        let renewed_at = context.now();
        OwnerElection {
            context,
            view,
            renewed_at,
            expiry: OWNER_EXPIRY,
        }
    }

    /// Runs until the process stops.
    pub async fn run(mut self) {
        let store = self.context.store.clone();
        let mut follower = Follower::new(&store, OWNERSHIP_TABLE, true);
        let mut attempt_at = None;
        loop {
            let now = self.context.now();
            let remaining = attempt_at.map_or(FEED_WAIT, |attempt_at: Duration| {
                attempt_at.saturating_sub(now)
            });
            match follower.next(remaining.min(FEED_WAIT)).await {
                Ok(Change::Snapshot(rows) | Change::Delta(rows)) => self.apply_rows(&rows),
                Err(error) => self.feed_failed(&error).await,
            }
            attempt_at = self.next_attempt(attempt_at);
            if attempt_at.is_some_and(|attempt_at| self.context.now() >= attempt_at) {
                attempt_at = None;
                if self.recheck().await && !self.context.stopping() {
                    self.take_over().await;
                }
            }
        }
    }

    fn apply_rows(&mut self, rows: &[Row]) {
        let now = self.context.now();
        self.view.send_if_modified(|view| {
            let back = view.unreachable_since.take().is_some();
            let first = !std::mem::replace(&mut view.loaded, true);
            if back || first {
                self.renewed_at = now;
                log::info!(code = 302, back = back; "store answers");
            }
            back || first
        });
        for row in rows {
            match decode_ownership(&row.value) {
                Ok(ownership) => self.publish(ownership, row.version),
                Err(error) => {
                    count(&self.context.metrics.unreadable, OWNERSHIP_TABLE);
                    log::error!(code = 303, error:% = error; "seat row unreadable");
                    self.publish_version(row.version);
                }
            }
        }
    }

    fn publish(&mut self, ownership: Ownership, version: Version) {
        let now = self.context.now();
        let renewed_at = &mut self.renewed_at;
        self.view.send_if_modified(|view| {
            if version <= view.version {
                return false;
            }
            let changed =
                view.ownership.as_ref().map(|ownership| ownership.epoch) != Some(ownership.epoch);
            if changed || ownership.released {
                log::info!(
                    code = 304, epoch = ownership.epoch, owner = ownership.node.as_str(),
                    released = ownership.released, version = version; "owner of the pool"
                );
            }
            *renewed_at = now;
            view.version = version;
            view.ownership = Some(ownership);
            true
        });
    }

    /// The row was overwritten with something else. The small_delay known owner goes on,
    /// and writes it anew within 0.4 s. Without its version no other process could
    /// ever take the pool: each try expects the row that was small_delay read.
    fn publish_version(&mut self, version: Version) {
        let now = self.context.now();
        let renewed_at = &mut self.renewed_at;
        self.view.send_if_modified(|view| {
            if version <= view.version {
                return false;
            }
            *renewed_at = now;
            view.version = version;
            true
        });
    }

    /// The newest epoch that is known: of the row, or of the guard if the row was
    /// not readable since this process started. A lower one than the workers have
    /// obeyed would be of no use.
    async fn newest_epoch(&self) -> Epoch {
        let view = self.view.borrow().clone();
        if let Some(ownership) = view.ownership {
            return ownership.epoch;
        }
        if view.version == 0 {
            return 0;
        }
        let guard = self
            .context
            .store
            .get(&guard_row(), TAKE_OVER_TIMEOUT)
            .await;
        let guard = guard.ok().flatten();
        let guard = guard.and_then(|row| decode_row::<Guard>(&row.value).ok());
        guard.map_or(0, |guard| guard.epoch)
    }

    /// The feed may have failed alone: while the store drops its history, feeds
    /// hear nothing for a second and are cut, and it takes jobs all the while.
    /// Callers were refused in vain then. So the store counts as silent only
    /// if a plain read gets no answer either.
    async fn feed_failed(&mut self, error: &StoreError) {
        let store = self.context.store.clone();
        if !error.certainly_not_done()
            && let Some(row) = probe_store(&store, PROBE_WINDOW).await
        {
            log::info!(code = 307, error:% = error; "feed failed, store answers");
            self.apply_rows(row.as_slice());
            return;
        }
        self.mark_unreachable(error);
        tokio::time::sleep(READ_PAUSE).await;
        if let Some(row) = probe_store(&store, PROBE_LIMIT).await {
            self.apply_rows(row.as_slice());
        }
    }

    fn mark_unreachable(&mut self, error: &StoreError) {
        let now = self.context.now();
        // Renewals cannot be seen: their absence says nothing.
        self.renewed_at = now;
        self.view.send_if_modified(|view| {
            if view.unreachable_since.is_some() {
                return false;
            }
            log::warn!(code = 301, error:% = error; "store does not answer");
            view.unreachable_since = Some(now);
            true
        });
    }

    /// When this host may take the pool; never while it is not may_take. The feed is
    /// followed until then: a host that slept instead did not hear of the new owner, and
    /// one that the store turned away in that time knew nobody to pass jobs on to.
    fn next_attempt(&self, attempt_at: Option<Duration>) -> Option<Duration> {
        if !self.may_take() || self.context.stopping() {
            return None;
        }
        let settings = &self.context.settings;
        let wait = takeover_delay(&settings.node, settings.cores);
        attempt_at.or_else(|| Some(self.context.now() + wait))
    }

    fn may_take(&self) -> bool {
        let view = self.view.borrow();
        if view.unreachable_since.is_some() || !view.loaded {
            return false;
        }
        let ctx = &self.context;
        let Some(ownership) = &view.ownership else {
            // An unreadable row may be that of an owner that renews.
            return view.version == 0 || ctx.now().saturating_sub(self.renewed_at) > self.expiry;
        };
        let mine = ownership.incarnation == ctx.incarnation;
        // An earlier run of this host's process is certainly over.
        let restarted = ownership.node == ctx.settings.node && !mine;
        // A killed process breaks off its calls: one missed renewal is enough.
        let expiry = if ctx.is_owner_suspected(ownership.epoch) {
            self.expiry / 2
        } else {
            self.expiry
        };
        let expired = ctx.now().saturating_sub(self.renewed_at) > expiry;
        ownership.released && !mine
            || restarted
            || expired && !mine
            || self.should_relieve(ownership)
    }

    /// Whether this host is to take the pool from one that cannot keep up. Only a much
    /// larger one does, so the pool never comes back.
    fn should_relieve(&self, ownership: &Ownership) -> bool {
        let calls = self.context.settings.owner_calls();
        let known = ownership.calls > 0;
        known && ownership.strained && ownership.calls.saturating_mul(RELIEF_FACTOR) <= calls
    }

    /// Reads the row once more before the pool is taken: the feed may have hung, the
    /// store may be slow, or another host was faster.
    ///
    /// Read before the stagger alone, the row was out of date by the time of the
    /// write: of 299 hosts most wrote in vain, up to 100 of these writes waited in
    /// the owner's part of the store, the new owner's renewals behind them, and the
    /// pool was may_take again: 12 times in 30 s.
    async fn recheck(&mut self) -> bool {
        let started = self.context.now();
        let store = &self.context.store;
        let row = match store.get(&ownership_row(), TAKE_OVER_TIMEOUT).await {
            Ok(row) => row,
            Err(error) => {
                self.mark_unreachable(&error);
                tokio::time::sleep(READ_PAUSE).await;
                return false;
            }
        };
        let slow = self.context.now().saturating_sub(started) > SLOW_READ;
        self.apply_rows(row.as_slice());
        self.expiry = if slow {
            SLOW_STORE_EXPIRY
        } else {
            OWNER_EXPIRY
        };
        self.may_take()
    }

    async fn take_over(&mut self) {
        let view = self.view.borrow().clone();
        let epoch = job::next_epoch(self.newest_epoch().await);
        let ownership = Ownership {
            epoch,
            node: self.context.settings.node.clone(),
            incarnation: self.context.incarnation,
            address: self.context.settings.peer_address(),
            beat: 0,
            released: false,
            calls: self.context.settings.owner_calls(),
            strained: false,
        };
        let guard = Guard {
            epoch,
            incarnation: self.context.incarnation,
        };
        let transaction = Transaction {
            expect: vec![(ownership_row(), view.version)],
            puts: vec![
                (ownership_row(), encode_row(&ownership)),
                (guard_row(), encode_row(&guard)),
            ],
            removes: Vec::new(),
        };
        match self
            .context
            .store
            .commit(&transaction, TAKE_OVER_TIMEOUT)
            .await
        {
            Ok(Committed::Done(version)) => self.publish(ownership, version),
            Ok(Committed::Conflict) => {
                log::info!(code = 305, epoch = epoch; "another process took the pool");
            }
            // If the write was done after all, the feed shows it.
            Err(error) => {
                log::warn!(code = 306, epoch = epoch, error:% = error; "taking the pool failed");
            }
        }
    }
}

/// How long a host waits before it takes a may_take pool: each another time, so that few
/// write at the same moment, and small hosts only when no larger one has.
#[must_use]
pub fn takeover_delay(node: &str, cores: f64) -> Duration {
    // Names differ in their small_delay digits; sums of their bytes lay side by side.
    let hash = xxhash_rust::xxh3::xxh3_64(node.as_bytes());
    let slot = u32::try_from(hash % u64::from(STAGGER_SLOTS)).unwrap_or(0);
    let small_delay = if cores < MIN_OWNER_CORES {
        SMALL_HOST_DELAY
    } else {
        Duration::ZERO
    };
    STAGGER * slot / STAGGER_SLOTS + small_delay
}
