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
use crate::SEAT_TABLE;
use crate::Seat;
use crate::decode_row;
use crate::decode_seat;
use crate::encode_row;
use crate::first_answer;
use crate::guard_row;
use crate::metrics::count;
use crate::seat_row;

/// A pool whose owner has not renewed for this long is taken over: three
/// renewals were missed.
const EXPIRY: Duration = Duration::from_millis(1200);

/// The same when the store is slow: a renewal then takes up to 1.2 s.
const SLOW_EXPIRY: Duration = Duration::from_millis(2500);

/// A read that takes longer than this shows that the store is slow; else one
/// takes 5 ms.
const SLOW_READ: Duration = Duration::from_millis(100);

/// Longest wait of the feed for a renewal.
const FEED_WAIT: Duration = Duration::from_millis(400);

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// Time without an answer to a plain read, after the feed has failed, from
/// which on the store counts as silent; a slow store takes 0.3 s.
const SILENT_AFTER: Duration = Duration::from_millis(400);

/// Longest time of looking for a store that is silent, before the feed is
/// tried again.
const PROBE_LIMIT: Duration = Duration::from_secs(5);

/// Time for the transaction that takes the pool; a slow store takes up to 1.2 s.
const TAKE_TIMEOUT: Duration = Duration::from_millis(1600);

/// Hosts try to take a free pool one after the other within this time. A write and
/// its read take 12 ms: of 8 hosts one writes, of 300 some twenty.
const STAGGER: Duration = Duration::from_millis(200);

/// A host with less of a core than this takes the pool only if no larger one
/// does: owning 350 workers peaks at 0.2 to 0.3 of a core.
const OWNER_CORES: f64 = 0.2;

/// Wait of such a host for the larger ones: one that was killed is back after 0.6 s,
/// and has its turn within 0.2 s. With 0.4 s, a host of 0.12 of a core took 350 workers
/// over while four larger ones started; it was 5.7 s until work started again, and the
/// day's worth 0.43 instead of 0.68 (2 of 18 plays).
const SMALL_WAIT: Duration = Duration::from_secs(1);

/// So many times the calls of an owner that cannot keep up must a host be able to make
/// to take the pool from it.
const RELIEF: u32 = 2;

/// Places within the stagger.
const PLACES: u32 = 1024;

/// Who owns the pool, as far as this process knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SeatView {
    /// Newest row read.
    pub seat: Option<Seat>,
    /// Its version; 0 if there is none.
    pub version: Version,
    /// The store has answered at least once.
    pub read: bool,
    /// Since when (monotonic time of this process) the store has not answered.
    pub silent: Option<Duration>,
}

impl SeatView {
    /// The owner, if it has not given up the pool.
    #[must_use]
    pub fn owner(&self) -> Option<&Seat> {
        self.seat.as_ref().filter(|seat| !seat.released)
    }
}

/// Follows the ownership and takes the pool when it is free.
pub struct SeatKeeper {
    context: Context,
    view: watch::Sender<SeatView>,
    /// When the newest row was seen first, with the store answering since.
    fresh: Duration,
    /// Time without renewals after which the pool is taken.
    expiry: Duration,
}

impl SeatKeeper {
    /// A keeper that publishes to `view`.
    #[must_use]
    pub fn new(context: Context, view: watch::Sender<SeatView>) -> SeatKeeper {
        let fresh = context.now();
        SeatKeeper {
            context,
            view,
            fresh,
            expiry: EXPIRY,
        }
    }

    /// Runs until the process stops.
    pub async fn run(mut self) {
        let store = self.context.store.clone();
        let mut follower = Follower::new(&store, SEAT_TABLE, true);
        let mut turn = None;
        loop {
            let now = self.context.now();
            let left = turn.map_or(FEED_WAIT, |turn: Duration| turn.saturating_sub(now));
            match follower.next(left.min(FEED_WAIT)).await {
                Ok(Change::Full(rows) | Change::Some(rows)) => self.take_rows(&rows),
                Err(error) => self.feed_failed(&error).await,
            }
            turn = self.next_turn(turn);
            if turn.is_some_and(|turn| self.context.now() >= turn) {
                turn = None;
                if self.confirmed().await && !self.context.stopping() {
                    self.take().await;
                }
            }
        }
    }

    fn take_rows(&mut self, rows: &[Row]) {
        let now = self.context.now();
        self.view.send_if_modified(|view| {
            let back = view.silent.take().is_some();
            let first = !std::mem::replace(&mut view.read, true);
            if back || first {
                self.fresh = now;
                log::info!(code = 302, back = back; "store answers");
            }
            back || first
        });
        for row in rows {
            match decode_seat(&row.value) {
                Ok(seat) => self.publish(seat, row.version),
                Err(error) => {
                    count(&self.context.metrics.unreadable, SEAT_TABLE);
                    log::error!(code = 303, error:% = error; "seat row unreadable");
                    self.publish_unreadable(row.version);
                }
            }
        }
    }

    fn publish(&mut self, seat: Seat, version: Version) {
        let now = self.context.now();
        let fresh = &mut self.fresh;
        self.view.send_if_modified(|view| {
            if version <= view.version {
                return false;
            }
            let changed = view.seat.as_ref().map(|seat| seat.epoch) != Some(seat.epoch);
            if changed || seat.released {
                log::info!(
                    code = 304, epoch = seat.epoch, owner = seat.node.as_str(),
                    released = seat.released, version = version; "owner of the pool"
                );
            }
            *fresh = now;
            view.version = version;
            view.seat = Some(seat);
            true
        });
    }

    /// The row was overwritten with something else. The last known owner goes on,
    /// and writes it anew within 0.4 s. Without its version no other process could
    /// ever take the pool: each try expects the row that was last read.
    fn publish_unreadable(&mut self, version: Version) {
        let now = self.context.now();
        let fresh = &mut self.fresh;
        self.view.send_if_modified(|view| {
            if version <= view.version {
                return false;
            }
            *fresh = now;
            view.version = version;
            true
        });
    }

    /// The newest epoch that is known: of the row, or of the guard if the row was
    /// not readable since this process started. A lower one than the workers have
    /// obeyed would be of no use.
    async fn newest_epoch(&self) -> Epoch {
        let view = self.view.borrow().clone();
        if let Some(seat) = view.seat {
            return seat.epoch;
        }
        if view.version == 0 {
            return 0;
        }
        let guard = self
            .context
            .store
            .read_row(&guard_row(), TAKE_TIMEOUT)
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
            && let Some(row) = first_answer(&store, SILENT_AFTER).await
        {
            log::info!(code = 307, error:% = error; "feed failed, store answers");
            self.take_rows(row.as_slice());
            return;
        }
        self.lost(error);
        tokio::time::sleep(READ_PAUSE).await;
        if let Some(row) = first_answer(&store, PROBE_LIMIT).await {
            self.take_rows(row.as_slice());
        }
    }

    fn lost(&mut self, error: &StoreError) {
        let now = self.context.now();
        // Renewals cannot be seen: their absence says nothing.
        self.fresh = now;
        self.view.send_if_modified(|view| {
            if view.silent.is_some() {
                return false;
            }
            log::warn!(code = 301, error:% = error; "store does not answer");
            view.silent = Some(now);
            true
        });
    }

    /// When this host may take the pool; never while it is not free. The feed is
    /// followed until then: a host that slept instead did not hear of the new owner, and
    /// one that the store turned away in that time knew nobody to pass jobs on to.
    fn next_turn(&self, turn: Option<Duration>) -> Option<Duration> {
        if !self.free() || self.context.stopping() {
            return None;
        }
        let settings = &self.context.settings;
        let wait = take_turn(&settings.node, settings.cores);
        turn.or_else(|| Some(self.context.now() + wait))
    }

    fn free(&self) -> bool {
        let view = self.view.borrow();
        if view.silent.is_some() || !view.read {
            return false;
        }
        let me = &self.context;
        let Some(seat) = &view.seat else {
            // An unreadable row may be that of an owner that renews.
            return view.version == 0 || me.now().saturating_sub(self.fresh) > self.expiry;
        };
        let mine = seat.incarnation == me.incarnation;
        // An earlier run of this host's process is certainly over.
        let former = seat.node == me.settings.node && !mine;
        // A killed process breaks off its calls: one missed renewal is enough.
        let expiry = if me.suspects(seat.epoch) {
            self.expiry / 2
        } else {
            self.expiry
        };
        let expired = me.now().saturating_sub(self.fresh) > expiry;
        seat.released && !mine || former || expired && !mine || self.relieves(seat)
    }

    /// Whether this host is to take the pool from one that cannot keep up. Only a much
    /// larger one does, so the pool never comes back.
    fn relieves(&self, seat: &Seat) -> bool {
        let calls = self.context.settings.owner_calls();
        let known = seat.calls > 0;
        known && seat.strained && seat.calls.saturating_mul(RELIEF) <= calls
    }

    /// Reads the row once more before the pool is taken: the feed may have hung, the
    /// store may be slow, or another host was faster.
    ///
    /// Read before the stagger alone, the row was out of date by the time of the
    /// write: of 299 hosts most wrote in vain, up to 100 of these writes waited in
    /// the owner's part of the store, the new owner's renewals behind them, and the
    /// pool was free again: 12 times in 30 s.
    async fn confirmed(&mut self) -> bool {
        let begin = self.context.now();
        let store = &self.context.store;
        let row = match store.read_row(&seat_row(), TAKE_TIMEOUT).await {
            Ok(row) => row,
            Err(error) => {
                self.lost(&error);
                tokio::time::sleep(READ_PAUSE).await;
                return false;
            }
        };
        let slow = self.context.now().saturating_sub(begin) > SLOW_READ;
        self.take_rows(row.as_slice());
        self.expiry = if slow { SLOW_EXPIRY } else { EXPIRY };
        self.free()
    }

    async fn take(&mut self) {
        let view = self.view.borrow().clone();
        let epoch = job::next_epoch(self.newest_epoch().await);
        let seat = Seat {
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
            expect: vec![(seat_row(), view.version)],
            puts: vec![
                (seat_row(), encode_row(&seat)),
                (guard_row(), encode_row(&guard)),
            ],
            removes: Vec::new(),
        };
        match self.context.store.commit(&transaction, TAKE_TIMEOUT).await {
            Ok(Committed::Done(version)) => self.publish(seat, version),
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

/// How long a host waits before it takes a free pool: each another time, so that few
/// write at the same moment, and small hosts only when no larger one has.
#[must_use]
pub fn take_turn(node: &str, cores: f64) -> Duration {
    // Names differ in their last digits; sums of their bytes lay side by side.
    let hash = xxhash_rust::xxh3::xxh3_64(node.as_bytes());
    let place = u32::try_from(hash % u64::from(PLACES)).unwrap_or(0);
    let last = if cores < OWNER_CORES {
        SMALL_WAIT
    } else {
        Duration::ZERO
    };
    STAGGER * place / PLACES + last
}
